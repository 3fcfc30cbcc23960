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
    """Contexts made from one state of the files.

    Attributes:
        callers: For the HTTP server; callers show a token instead of a certificate.
        server: For connections of other processes, which must show a certificate.
        client: For connections to other processes.

    """

    def __init__(self, settings: TlsSettings) -> None:
        self.callers = _context(settings, ssl.PROTOCOL_TLS_SERVER)
        self.server = _context(settings, ssl.PROTOCOL_TLS_SERVER)
        self.server.verify_mode = ssl.CERT_REQUIRED
        self.client = _context(settings, ssl.PROTOCOL_TLS_CLIENT)
        # Replaced instances get new addresses, so certificates name no address. The authority
        # must therefore issue certificates to processes of this deployment only.
        self.client.check_hostname = False
        self.client.verify_mode = ssl.CERT_REQUIRED


class TlsFiles:
    """Follows the files; a change gives new contexts, which only new connections use."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._seen = self._state()
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
        """Load the files again if they changed; return whether the contexts are new.

        Files that are not valid are reported and the old contexts stay, because a file may
        be half written or the key may not have been replaced yet.
        """
        try:
            state = self._state()
            if state == self._seen:
                return False
            contexts = TlsContexts(self._settings)
        except InvalidSettingsError as error:
            _log.error("TLS files are not usable, the earlier ones stay in use: {}", error.message)
            return False
        self._seen, self._contexts = state, contexts
        _log.info("TLS files were reloaded")
        return True

    async def run(self, apply: Callable[[TlsContexts], None]) -> None:
        """Call apply with new contexts after each change of the files, until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            if self.reload():
                apply(self._contexts)

    def _state(self) -> list[tuple[int, int, int]]:
        paths = (self._settings.certificate, self._settings.key, self._settings.authority)
        try:
            found = [os.stat(path) for path in paths]
        except OSError as error:
            raise InvalidSettingsError(f"$.tls: {error}") from error
        return [(item.st_mtime_ns, item.st_size, item.st_ino) for item in found]


def _context(settings: TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.certificate, settings.key)
        context.load_verify_locations(settings.authority)
    except (OSError, ssl.SSLError) as error:
        raise InvalidSettingsError(f"$.tls: {settings.certificate}: {error}") from error
    return context
