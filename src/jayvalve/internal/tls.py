"""TLS contexts of one process, built from the PEM files in its settings."""

import asyncio
import os
import ssl
from collections.abc import Callable

from loguru import logger

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.settings import TlsSettings

__all__ = ["TlsContexts", "TlsFiles"]

RELOAD_INTERVAL_S = 5.0

_log = logger.bind(part="tls")


class TlsContexts:
    """SSL contexts created from one version of the PEM files.

    Attributes:
        callers: For the HTTP server; callers authenticate with a token, not a certificate.
        server: For connections from other processes, which must present a certificate.
        client: For connections to other processes.

    """

    def __init__(self, settings: TlsSettings) -> None:
        self.callers = _create_context(settings, ssl.PROTOCOL_TLS_SERVER)
        self.server = _create_context(settings, ssl.PROTOCOL_TLS_SERVER)
        self.server.verify_mode = ssl.CERT_REQUIRED
        self.client = _create_context(settings, ssl.PROTOCOL_TLS_CLIENT)
        # Replacement instances get new addresses, so certificates contain no addresses to check.
        # The authority must therefore issue certificates only to processes of this deployment.
        self.client.check_hostname = False
        self.client.verify_mode = ssl.CERT_REQUIRED


class TlsFiles:
    """Reloads the PEM files when they change; only new connections use the new contexts."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._loaded_state = self._file_state()
        self._contexts = TlsContexts(settings)

    def __repr__(self) -> str:
        return f"TlsFiles({self._settings!r})"

    @classmethod
    def from_config(cls, settings: TlsSettings) -> "TlsFiles":
        """Load the files.

        Raises:
            InvalidSettingsError: a file cannot be read or is not valid.

        """
        return cls(settings)

    @property
    def contexts(self) -> TlsContexts:
        """The contexts in use."""
        return self._contexts

    def reload(self) -> bool:
        """Reload the files if they have changed; return whether the contexts were replaced.

        If the files cannot be loaded, the error is logged and the previous contexts stay in
        use, because a file may be partly written or the key may not have been replaced yet.
        """
        try:
            state = self._file_state()
            if state == self._loaded_state:
                return False
            contexts = TlsContexts(self._settings)
        except InvalidSettingsError as error:
            _log.error(
                "TLS files cannot be loaded; keeping the previous contexts: {}", error.message
            )
            return False
        self._loaded_state, self._contexts = state, contexts
        _log.info("TLS files reloaded")
        return True

    async def run(self, apply: Callable[[TlsContexts], None]) -> None:
        """Call apply with new contexts after each change of the files, until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            if self.reload():
                apply(self._contexts)

    def _file_state(self) -> list[tuple[int, int, int]]:
        paths = (self._settings.certificate, self._settings.key, self._settings.authority)
        try:
            stats = [os.stat(path) for path in paths]
        except OSError as error:
            raise InvalidSettingsError(f"$.tls: {error}") from error
        return [(result.st_mtime_ns, result.st_size, result.st_ino) for result in stats]


def _create_context(settings: TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.certificate, settings.key)
        context.load_verify_locations(settings.authority)
    except (OSError, ssl.SSLError) as error:
        raise InvalidSettingsError(
            f"$.tls: cannot load {settings.certificate}, its key or the authority: {error}"
        ) from error
    return context
