"""Limits on the rate of requests that engines name in their answers."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
from loguru import logger

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.timing import Clock

__all__ = ["EngineLimits", "LimitReport", "LimitSettings"]

_log = logger.bind(part="engine_limits")


@attrs.frozen
class LimitSettings:
    """Bounds on what is remembered of limits.

    Attributes:
        min_per_s: Rate that applies to an engine whose limit is lower, in requests per second.
            Only an answer can lift a limit, so even an engine that takes none is asked at times.
        lifted_retention_s: How long a lifted limit is remembered, in seconds, so that a late
            message of another gateway does not set it again.
        max_engines: Maximum number of engines; those observed longest ago are dropped.
        max_reported: Maximum number of limits in a message to another gateway.
        report_age_s: Maximum age of an observation in such a message, in seconds.
        significant_change: Smallest relative change of a limit of which the other gateways are
            told at once. Smaller ones are in the next periodic message.

    """

    min_per_s: float = 0.2
    lifted_retention_s: float = 10.0
    max_engines: int = 4096
    max_reported: int = 64
    report_age_s: float = 3.0
    significant_change: float = 0.25


@attrs.frozen
class LimitReport:
    """A gateway's newest observation of an engine's limit.

    Attributes:
        per_s: Requests per second from all gateways together, or None if there is no limit.
        age_s: Seconds since the engine's answer arrived.

    """

    key: EngineKey
    per_s: float | None
    age_s: float


@attrs.frozen
class _Observation:
    per_s: float | None
    observed_s: float
    own: bool


class EngineLimits:
    """Newest known limit of each engine, from this gateway's answers and from other gateways.

    The newest observation applies, whoever made it. Limits belong to one incarnation of an engine.

    Args:
        on_change: Called when an answer to this gateway set, changed or lifted a limit.

    """

    def __init__(
        self, clock: Clock, settings: LimitSettings, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        # Ordered by the time of the observation, oldest first.
        self._engines: OrderedDict[EngineKey, _Observation] = OrderedDict()

    @property
    def limited(self) -> int:
        """Number of engines with a limit."""
        return sum(observation.per_s is not None for observation in self._engines.values())

    def per_s(self, key: EngineKey) -> float | None:
        """Return the requests per second that all gateways together may send, or None."""
        observation = self._engines.get(key)
        if observation is None or observation.per_s is None:
            return None
        return max(self._settings.min_per_s, observation.per_s)

    def observe(self, key: EngineKey, per_s: float | None) -> None:
        """Record the limit in an engine's answer to this gateway; None if it names none."""
        previous = self._engines.get(key)
        if previous is None and per_s is None:
            return
        self._store(key, _Observation(per_s, self._clock.now(), own=True))
        if self._is_significant(None if previous is None else previous.per_s, per_s):
            self._log_change(key, per_s, previous, "an answer")
            self._on_change()

    def learn(self, report: LimitReport) -> None:
        """Record another gateway's observation unless a newer one is known."""
        observed_s = self._clock.now() - max(0.0, report.age_s)
        previous = self._engines.get(report.key)
        if previous is not None and previous.observed_s >= observed_s:
            return
        if previous is None and report.per_s is None:
            return
        if self._is_significant(None if previous is None else previous.per_s, report.per_s):
            self._log_change(report.key, report.per_s, previous, "another gateway")
        self._store(report.key, _Observation(report.per_s, observed_s, own=False))

    def report_of(self, key: EngineKey) -> LimitReport:
        """Return the newest observation of an engine, whoever made it."""
        observation = self._engines.get(key)
        if observation is None:
            return LimitReport(key, None, 0.0)
        return LimitReport(key, observation.per_s, self._clock.now() - observation.observed_s)

    def report(self) -> list[LimitReport]:
        """Return this gateway's recent observations, the newest first."""
        now = self._clock.now()
        reports = []
        for key, observation in reversed(self._engines.items()):
            age_s = now - observation.observed_s
            if age_s > self._settings.report_age_s or len(reports) >= self._settings.max_reported:
                break
            if observation.own:
                reports.append(LimitReport(key, observation.per_s, age_s))
        return reports

    def _is_significant(self, previous: float | None, per_s: float | None) -> bool:
        if previous is None or per_s is None:
            return previous is not per_s
        return abs(per_s - previous) > self._settings.significant_change * max(per_s, previous)

    def _store(self, key: EngineKey, observation: _Observation) -> None:
        self._engines[key] = observation
        self._engines.move_to_end(key)
        cutoff_s = self._clock.now() - self._settings.lifted_retention_s
        while self._engines:
            oldest = next(iter(self._engines.values()))
            lifted = oldest.per_s is None and oldest.observed_s < cutoff_s
            if not lifted and len(self._engines) <= self._settings.max_engines:
                return
            self._engines.popitem(last=False)

    @staticmethod
    def _log_change(
        key: EngineKey, per_s: float | None, previous: _Observation | None, source: str
    ) -> None:
        _log.bind(
            engine=key.id,
            per_s=per_s,
            previous_per_s=previous.per_s if previous else None,
            source=source,
        ).info("the engine's limit changed")
