"""Permits to send requests to engines that have limited their rate.

All gateways together keep an engine's limit. A share for each gateway would be a request in many
seconds in a large fleet, and would stay unused where there is no demand. Instead, one gateway, the
engine's coordinator, counts the requests of all, and the others ask it before each request. The
cost is one message each way for a request to a limited engine, whatever the size of the fleet.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.coordinators import Coordinators, coordinator_share
from jayvalve.internal.gateway.engine_limits import EngineLimits
from jayvalve.internal.gateway.limit_messages import decode_report, encode_report
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.limits import Pacer, PacingDecision
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock

__all__ = ["PermitSettings", "SendPermits"]

_log = logger.bind(part="permits")

_DECIDED = "decided"
_STOPPING = "leaving"


@attrs.frozen
class PermitSettings:
    """Parameters of permits.

    Attributes:
        burst_s: Requests that may be sent at once after a pause, as a number of seconds at the
            limited rate, in addition to one request.
        urgent_burst_s: The same for urgent requests; the difference is kept free for them.
        max_coordinators: Maximum number of coordinators to ask before this gateway decides alone.
        call_timeout_s: Timeout of a question to a coordinator, in seconds.
        avoid_unresponsive_s: How long to avoid a gateway that did not answer, in seconds.
        avoid_stopping_s: How long to avoid a gateway that is shutting down, in seconds.
        unknown_share: Part of a limit that a gateway hands out while it neither hears other
            gateways nor knows how many there are.
        max_engines: Maximum number of engines whose requests are counted.

    """

    burst_s: float = 0.5
    urgent_burst_s: float = 0.75
    max_coordinators: int = 2
    call_timeout_s: float = 0.15
    avoid_unresponsive_s: float = 1.0
    avoid_stopping_s: float = 4.0
    unknown_share: float = 0.25
    max_engines: int = 4096


class SendPermits:
    """Grants and obtains permits to send requests to limited engines.

    Args:
        limits: Known limits of the engines.
        known_gateways: Returns the number of registered gateways, including this one, or None if
            the register has not been read yet.

    """

    def __init__(
        self,
        limits: EngineLimits,
        calls: PeerCalls,
        coordinators: Coordinators,
        known_gateways: Callable[[], int | None],
        clock: Clock,
        settings: PermitSettings,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._calls = calls
        self._coordinators = coordinators
        self._known_gateways = known_gateways
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        # Ordered by their last use, for the bound on their number.
        self._pacers: OrderedDict[EngineKey, Pacer] = OrderedDict()
        self._ready_at_s: dict[EngineKey, float] = {}
        calls.on("permit")(self._serve_permit)

    def is_limited(self, key: EngineKey) -> bool:
        """Return whether a request to the engine needs a permit."""
        return self._limits.per_s(key) is not None

    def expected_wait_s(self, key: EngineKey) -> float:
        """Return how long the next request to the engine is expected to wait, in seconds."""
        ready_at_s = self._ready_at_s.get(key)
        if ready_at_s is None:
            return 0.0
        wait_s = ready_at_s - self._clock.now()
        if wait_s <= 0.0 or not self.is_limited(key):
            del self._ready_at_s[key]
            return 0.0
        return wait_s

    async def acquire(self, key: EngineKey, max_delay_s: float, urgent: bool) -> float | None:
        """Return the seconds after which a request may be sent, or None if it may not.

        Args:
            key: The engine.
            max_delay_s: Longest acceptable wait in seconds.
            urgent: Whether the request may use the part of the burst that is kept for urgent ones.

        """
        order = self._coordinators.order(key.label)
        for coordinator in order[: self._settings.max_coordinators]:
            if coordinator == self._coordinators.own:
                return self._record("own", key, self._decide(key, max_delay_s, urgent))
            decision = await self._ask(coordinator, key, max_delay_s, urgent)
            if decision is not None:
                return self._record("coordinator", key, decision)
        return self._record("alone", key, self._decide(key, max_delay_s, urgent, alone=True))

    async def _ask(
        self, coordinator: tuple[str, int], key: EngineKey, max_delay_s: float, urgent: bool
    ) -> PacingDecision | None:
        """Ask a coordinator; return None if it did not decide."""
        arguments = [*encode_report(self._limits.report_of(key)), max_delay_s, urgent]
        settings = self._settings
        try:
            answer, *detail = await self._calls.call(
                coordinator, "permit", arguments, settings.call_timeout_s
            )
        except PeerTimeoutError as error:
            self._coordinators.avoid(coordinator, settings.avoid_unresponsive_s, str(error))
            return None
        if answer != _DECIDED:
            self._coordinators.avoid(
                coordinator, settings.avoid_stopping_s, "the gateway is shutting down"
            )
            return None
        granted, delay_s, next_delay_s = detail
        return PacingDecision(bool(granted), float(delay_s), float(next_delay_s))

    def _record(self, source: str, key: EngineKey, decision: PacingDecision) -> float | None:
        outcome = "granted" if decision.granted else "denied"
        self._metrics.count("jayvalve_gateway_permits_total", source=source, outcome=outcome)
        now = self._clock.now()
        self._ready_at_s[key] = now + decision.next_delay_s
        if len(self._ready_at_s) > self._settings.max_engines:
            self._ready_at_s = {
                engine: ready_at_s
                for engine, ready_at_s in self._ready_at_s.items()
                if ready_at_s > now
            }
        return decision.delay_s if decision.granted else None

    def _decide(
        self, key: EngineKey, max_delay_s: float, urgent: bool, alone: bool = False
    ) -> PacingDecision:
        """Decide as the engine's coordinator, or for this gateway alone if none answered."""
        per_s = self._limits.per_s(key)
        if per_s is None:
            return PacingDecision(True, 0.0, 0.0)
        settings = self._settings
        heard, known = self._coordinators.heard, self._known_gateways()
        if alone:
            rate = per_s / max(heard, known or 1)
        else:
            rate = per_s * coordinator_share(heard, known, settings.unknown_share)
        now = self._clock.now()
        burst_s = settings.urgent_burst_s if urgent else settings.burst_s
        pacer = self._pacers.pop(key, None)
        if pacer is None:
            # Another gateway may have granted permits until now, so no burst is left.
            pacer = Pacer.full(1.0 + settings.urgent_burst_s * rate, now)
        self._pacers[key] = pacer
        while len(self._pacers) > settings.max_engines:
            self._pacers.popitem(last=False)
        return pacer.reserve(now, rate, 1.0 + burst_s * rate, max_delay_s)

    async def _serve_permit(self, arguments: list[Any]) -> list[Any]:
        engine_id, born_ms, per_s, age_s, max_delay_s, urgent = arguments
        if self._coordinators.withdrawn:
            return [_STOPPING]
        key = EngineKey(str(engine_id), int(born_ms))
        delay_s = float(max_delay_s)
        if not math.isfinite(delay_s):
            raise ValueError(f"{max_delay_s!r} is not a number of seconds")
        self._limits.learn(decode_report([engine_id, born_ms, per_s, age_s]))
        decision = self._decide(key, delay_s, bool(urgent))
        return [_DECIDED, decision.granted, decision.delay_s, decision.next_delay_s]
