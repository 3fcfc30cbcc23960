"""Settings of one process, read from a JSON file."""

import pathlib
from typing import Any

import attrs

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.schema import check_against_schema, parse_json

__all__ = ["CallerToken", "EndpointSettings", "LimitSettings", "Settings", "load_settings"]

MEBIBYTE = 1024 * 1024


@attrs.frozen
class EndpointSettings:
    """Settings of the endpoint that a sidecar sends calls to.

    Attributes:
        max_running: Maximum number of calls that run at the same time.
        max_waiting: Maximum number of calls that wait at the same time.

    """

    name: str
    adapter: str
    url: str
    max_running: int = 32
    max_waiting: int = 1000
    queue: str = "jayvalve"


@attrs.frozen
class CallerToken:
    """Salted SHA-256 hash, in hexadecimal, of one organisation's token."""

    organisation: str
    salt: str
    hash: str


@attrs.frozen
class LoggingSettings:
    """Level and format of the log lines."""

    level: str = "INFO"
    json: bool = False


@attrs.frozen
class TlsSettings:
    """Paths of the PEM files for TLS.

    Attributes:
        certificate: Certificate of this process.
        key: Private key of the certificate.
        authority: Certificates of the trusted certificate authority.

    """

    certificate: str
    key: str
    authority: str


@attrs.frozen
class LimitSettings:
    """Bounds on what clients can make a process hold; schemas/settings.json has the units."""

    held_mb: int = 512
    peer_held_mb: int = 512
    connections: int = 2000
    peer_connections: int = 2000
    address_share: float = 0.8
    stall_seconds: float = 30.0


@attrs.frozen
class Settings:
    """Settings of an entry or a sidecar; schemas/settings.json describes each one."""

    instance: str
    data_centre: str
    peer_address: str
    http_address: str
    seeds: list[str] = attrs.field(factory=list)
    log_url: str | None = None
    instance_list_url: str | None = None
    endpoint: EndpointSettings | None = None
    callers: list[CallerToken] = attrs.field(factory=list)
    routing: str = "jayvalve"
    history_memory_bytes: int = 64 * MEBIBYTE
    max_body_bytes: int = 8 * MEBIBYTE
    drain_seconds: float = 60.0
    balancer_delay_seconds: float = 1.0
    retention_seconds: float = 86_400.0
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    tls: TlsSettings | None = None

    @classmethod
    def from_config(cls, config: Any, source: str = "settings") -> "Settings":
        """Build settings from a parsed JSON document.

        Raises:
            InvalidSettingsError: the document is not valid; the message lists every fault with
                its path.

        """
        check_against_schema(config, "settings", source)
        values = dict(config)
        for service in ("log", "instance_list"):
            section = values.pop(service, None)
            values[f"{service}_url"] = section["url"] if section else None
        if "endpoint" in values:
            values["endpoint"] = EndpointSettings(**values["endpoint"])
        if "logging" in values:
            values["logging"] = LoggingSettings(**values["logging"])
        if "limits" in values:
            values["limits"] = LimitSettings(**values["limits"])
        if "tls" in values:
            values["tls"] = TlsSettings(**values["tls"])
        values["callers"] = [CallerToken(**caller) for caller in values.get("callers", [])]
        return cls(**values)

    def require_endpoint(self) -> EndpointSettings:
        """Return the endpoint settings, which a sidecar requires.

        Raises:
            InvalidSettingsError: the settings contain no endpoint.

        """
        if self.endpoint is None:
            raise InvalidSettingsError("$.endpoint: a sidecar needs an endpoint")
        return self.endpoint


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        InvalidSettingsError: the file cannot be read or is not valid.

    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingsError(f"{path}: cannot be read: {error}") from error
    return Settings.from_config(parse_json(text, path), path)
