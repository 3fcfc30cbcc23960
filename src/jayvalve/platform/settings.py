"""Settings of a process, in the format that the deployment template renders."""

import json
import math
import pathlib
import resource
from typing import Any

import attrs

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.gateway.quota_bucket import QuotaBounds

__all__ = ["PlatformSettings", "StoreLimits", "load_platform_settings"]

MS_PER_S = 1000.0
BYTES_PER_MEGABIT = 125_000
# Part of the memory that is left free unless limits.memory_margin_mb says otherwise: for what is
# not counted, such as fragments and objects that wait for the garbage collector.
MARGIN_DIVISOR = 8


def _descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


@attrs.frozen
class StoreLimits:
    """Address and limits of the platform's store.

    Attributes:
        partitions: Number of partitions of each topic.
        record_bytes: Maximum size of a record.
        call_bytes: Maximum total size of the records of one append.
        retention_s: How long the store keeps records, in seconds.

    """

    address: tuple[str, int]
    partitions: int
    record_bytes: int
    call_bytes: int
    retention_s: float


@attrs.frozen
class PlatformSettings:
    """Settings of one process.

    Attributes:
        frontend: IP address and port to which callers connect.
        readiness: Address at which the platform checks whether the process is ready.
        peer: Address for calls and messages from other gateways.
        control: Additional address at which readiness and metrics are served, or None.
        drain_s: Time within which a draining engine must stop receiving new work, in seconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        memory_mb: Memory of the machine, in MiB.
        memory_margin_mb: Part of it that the process leaves free, in MiB.
        file_descriptors: Maximum number of open descriptors of the process.
        link_bytes_per_s: Speed of the machine's network link, or None if the platform does not
            give it.
        quota_bounds: How far the requests of an organisation may exceed its limit.

    """

    instance: str
    data_centre: str
    frontend: tuple[str, int]
    readiness: tuple[str, int]
    peer: tuple[str, int]
    control: tuple[str, int] | None
    store: StoreLimits
    drain_s: float
    grace_s: float
    memory_mb: int
    memory_margin_mb: int = attrs.field(
        default=attrs.Factory(lambda self: self.memory_mb // MARGIN_DIVISOR, takes_self=True)
    )
    file_descriptors: int = attrs.field(factory=_descriptor_limit)
    link_bytes_per_s: float | None = None
    quota_bounds: QuotaBounds = attrs.field(factory=QuotaBounds)

    @classmethod
    def from_config(cls, config: Any) -> "PlatformSettings":
        """Build from the rendered template.

        Raises:
            InvalidSettingsError: a field is missing or malformed.

        """
        try:
            return cls._build(config)
        except KeyError as error:
            raise InvalidSettingsError(f"platform settings: {error} is missing") from error
        except (TypeError, ValueError, AttributeError, IndexError) as error:
            raise InvalidSettingsError(f"platform settings: {error}") from error

    @classmethod
    def _build(cls, config: Any) -> "PlatformSettings":
        listen, bounds, store = config["listen_addresses"], config["bounds"], config["platform"]
        limits = config["limits"]
        control = listen.get("control_plane")
        return cls(
            instance=str(config["node_name"]),
            data_centre=str(config["zone"]),
            frontend=_parse_address(listen["frontend"]),
            readiness=_parse_address(listen["ready"]),
            peer=(str(config["ip"]), int(config["internal_ports"][0])),
            control=_parse_address(control) if control else None,
            store=StoreLimits(
                address=_parse_address(store["address"]),
                partitions=_require_positive_integer(store["parts"], "platform.parts"),
                record_bytes=_require_positive_integer(
                    store["record_bytes"], "platform.record_bytes"
                ),
                call_bytes=_require_positive_integer(store["call_bytes"], "platform.call_bytes"),
                retention_s=float(store["retention_s"]),
            ),
            drain_s=float(bounds.get("drain_ms", 2000)) / MS_PER_S,
            grace_s=float(bounds.get("grace_s", 8)),
            memory_mb=int(limits["memory_mb"]),
            **_optional_limits(limits),
            link_bytes_per_s=_link_bytes_per_s(limits.get("link_mbps")),
            quota_bounds=_quota_bounds(bounds),
        )


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        InvalidSettingsError: the file cannot be read or is not valid.

    """
    try:
        document = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidSettingsError(f"{path}: cannot be read: {error}") from error
    return PlatformSettings.from_config(document)


def _parse_address(value: Any) -> tuple[str, int]:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{value!r} is not an address of the form host:port")
    return host, int(port)


def _link_bytes_per_s(megabits_per_s: Any) -> float | None:
    if megabits_per_s is None:
        return None
    if float(megabits_per_s) <= 0:
        raise ValueError(f"limits.link_mbps must be greater than 0, not {megabits_per_s!r}")
    return float(megabits_per_s) * BYTES_PER_MEGABIT


def _optional_limits(limits: dict[str, Any]) -> dict[str, int]:
    values = {
        name: _require_positive_integer(limits[name], f"limits.{name}")
        for name in ("memory_margin_mb", "file_descriptors")
        if limits.get(name) is not None
    }
    if "file_descriptors" in values:
        values["file_descriptors"] = min(values["file_descriptors"], _descriptor_limit())
    if values.get("memory_margin_mb", 0) >= int(limits["memory_mb"]):
        raise ValueError("limits.memory_margin_mb must be less than limits.memory_mb")
    return values


def _quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    usual = QuotaBounds()
    window_s = float(bounds.get("quota_window_s", usual.window_s))
    overshoot = float(bounds.get("quota_overshoot", usual.overshoot))
    allowance = float(bounds.get("quota_allowance", usual.allowance))
    if not 0.0 < window_s < math.inf:
        raise ValueError(f"bounds.quota_window_s must be greater than 0, not {window_s!r}")
    if not (0.0 <= overshoot < math.inf and 0.0 <= allowance < math.inf):
        raise ValueError("bounds.quota_overshoot and quota_allowance must be at least 0")
    if overshoot == 0.0 and allowance == 0.0:
        raise ValueError("bounds.quota_overshoot and quota_allowance must not both be 0")
    return QuotaBounds(window_s, overshoot, allowance)


def _require_positive_integer(value: Any, name: str) -> int:
    if type(value) is not int or value < 1:
        raise ValueError(f"{name} must be a positive whole number, not {value!r}")
    return value
