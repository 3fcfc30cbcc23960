"""Messages between gateways about the limits that engines name."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from jayvalve.internal.gateway.engine_limits import EngineLimits, LimitReport
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.peer_calls import PeerCalls
from jayvalve.internal.timing import Clock

__all__ = ["LimitExchange", "LimitExchangeSettings", "decode_report", "encode_report"]

Address = tuple[str, int]

_NOTICE_KIND = "limits"
# Stands for an engine without a limit.
_NO_LIMIT = -1.0
_MAX_PER_S = 1e6


def encode_report(report: LimitReport) -> list[Any]:
    """Return the fields of a report as they are sent."""
    per_s = _NO_LIMIT if report.per_s is None else report.per_s
    return [report.key.id, report.key.born_ms, per_s, report.age_s]


def decode_report(fields: list[Any]) -> LimitReport:
    """Return a report from its fields.

    Raises:
        ValueError, TypeError: the fields are malformed.

    """
    engine_id, born_ms, per_s, age_s = fields
    limit, age = float(per_s), float(age_s)
    if type(born_ms) is not int or not math.isfinite(limit) or limit > _MAX_PER_S:
        raise ValueError(f"{fields!r} does not describe a limit of an engine")
    if not (math.isfinite(age) and age >= 0.0):
        raise ValueError(f"{age_s!r} is not the age of an observation")
    return LimitReport(EngineKey(str(engine_id), born_ms), None if limit < 0 else limit, age)


@attrs.frozen
class LimitExchangeSettings:
    """Intervals of the messages.

    Attributes:
        min_interval_s: Minimum time between two rounds of messages.
        keepalive_interval_s: Time after which limits are repeated, for gateways that have started
            or missed a message, in seconds.

    """

    min_interval_s: float = 0.05
    keepalive_interval_s: float = 1.0


class LimitExchange:
    """Tells the other gateways which limits the engines named to this one.

    Nothing is sent while no engine names a limit.

    Args:
        targets: Returns the addresses of the other gateways.

    """

    def __init__(
        self,
        limits: EngineLimits,
        calls: PeerCalls,
        targets: Callable[[], Iterable[Address]],
        clock: Clock,
        settings: LimitExchangeSettings,
    ) -> None:
        self._limits = limits
        self._calls = calls
        self._targets = targets
        self._clock = clock
        self._settings = settings
        self._changed = asyncio.Event()
        calls.on_notice(_NOTICE_KIND)(self._receive)

    def notify_change(self) -> None:
        """Send the limits in the next round, without waiting for the keepalive interval."""
        self._changed.set()

    async def run(self) -> None:
        """Send limits until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.keepalive_interval_s):
                    await self._changed.wait()
            self._changed.clear()
            reports = [encode_report(report) for report in self._limits.report()]
            if reports:
                for address in self._targets():
                    self._calls.notify(address, _NOTICE_KIND, reports)
            await asyncio.sleep(self._settings.min_interval_s)

    def _receive(self, reports: list[Any]) -> None:
        for fields in reports:
            self._limits.learn(decode_report(fields))
