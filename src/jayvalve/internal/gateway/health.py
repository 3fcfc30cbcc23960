"""Health of engines, derived from the outcomes of real requests.

Liveness checks are not used: an engine may pass them while it fails part of its requests, and the
reverse. A failing engine is not ejected. Its cost rises in proportion to its share of failures, so
that it loses little work to a short burst of errors or to a single bad network path.
"""

import math
from collections.abc import Mapping

import attrs

from jayvalve.internal.timing import Clock

__all__ = ["EngineHealth", "HealthSettings", "HealthTracker", "PeerReport"]


@attrs.frozen
class HealthSettings:
    """Weights of observed outcomes and of other gateways' reports.

    Attributes:
        half_life_s: Time in which an outcome loses half of its weight, in seconds. An engine is
            trusted again when its failures have decayed.
        prior: Number of successes assumed for every engine, so that a single failure has little
            effect.
        floor: Failure shares below this are treated as zero. Healthy services answer 1 or 2 in
            100 calls with an error of their own, so one error in a dozen calls is normal.
        near_weight: Weight of reports from gateways in the same data centre.
        far_weight: Weight of reports from other data centres. A network path may be bad for the
            callers of one data centre only.
        min_reporters: Minimum number of gateways that must report failures of an engine before
            their reports are used. A single gateway's network path may be the cause.
        min_reported_failures: Number of failures, after decay, from which a gateway reports an
            engine to the others.

    """

    half_life_s: float = 4.0
    prior: float = 3.0
    floor: float = 0.07
    near_weight: float = 0.6
    far_weight: float = 0.2
    min_reporters: int = 2
    min_reported_failures: float = 0.4


@attrs.define
class EngineHealth:
    """Exponentially decayed counts of an engine's successes and failures."""

    half_life_s: float
    successes: float = 0.0
    failures: float = 0.0
    _updated_s: float = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Add an outcome."""
        self.decay(now)
        if failed:
            self.failures += 1.0
        else:
            self.successes += 1.0

    def decay(self, now: float) -> None:
        """Decay the counts to the given time."""
        factor = math.pow(0.5, max(0.0, now - self._updated_s) / self.half_life_s)
        self.successes *= factor
        self.failures *= factor
        self._updated_s = now


@attrs.frozen
class PeerReport:
    """Another gateway's report on the engines that failed its requests.

    Attributes:
        counts: Failures and successes by engine id.

    """

    received_s: float
    data_centre: str
    counts: Mapping[str, tuple[float, float]]


class HealthTracker:
    """Tracks engines' failure shares from this gateway's requests and other gateways' reports."""

    # Gateways repeat their reports while failures go on, so an older report is out of date.
    REPORT_TTL_S = 3.0
    # Maximum number of engines named in the reports that are kept; one takes about 250 bytes.
    MAX_REPORTED = 20_000

    def __init__(self, clock: Clock, settings: HealthSettings, data_centre: str) -> None:
        self._clock = clock
        self._settings = settings
        self._data_centre = data_centre
        self._engines: dict[str, EngineHealth] = {}
        self._reports: dict[str, PeerReport] = {}
        self._reported = 0

    def record(self, engine_id: str, failed: bool) -> None:
        """Record the outcome of a request."""
        health = self._engines.get(engine_id)
        if health is None:
            health = self._engines[engine_id] = EngineHealth(self._settings.half_life_s)
        health.record(failed, self._clock.now())

    def forget(self, engine_id: str) -> None:
        """Drop the outcomes of an engine that has left."""
        self._engines.pop(engine_id, None)

    def receive(
        self, sender: str, data_centre: str, counts: Mapping[str, tuple[float, float]]
    ) -> None:
        """Store another gateway's report, which replaces its earlier one."""
        now = self._clock.now()
        self._drop(sender)
        # Most gateways see no failures. Empty reports are not stored, since each choice of an
        # engine scans all reports.
        if counts:
            self._reports[sender] = PeerReport(now, data_centre, counts)
            self._reported += len(counts)
            self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        """Drop reports that are out of date or too many, the oldest first."""
        while self._reports:
            sender, oldest = next(iter(self._reports.items()))
            current = now - oldest.received_s <= self.REPORT_TTL_S
            if current and self._reported <= self.MAX_REPORTED:
                return
            self._drop(sender)

    def _drop(self, sender: str) -> None:
        report = self._reports.pop(sender, None)
        if report is not None:
            self._reported -= len(report.counts)

    def report(self) -> dict[str, tuple[float, float]]:
        """Return the failures and successes of the engines that recently failed requests."""
        now = self._clock.now()
        counts = {}
        for engine_id, health in self._engines.items():
            health.decay(now)
            if health.failures >= self._settings.min_reported_failures:
                counts[engine_id] = (round(health.failures, 2), round(health.successes, 2))
        return counts

    def failure_share(self, engine_id: str) -> float:
        """Return the expected share of requests that fail at an engine, from 0 to 1."""
        settings = self._settings
        now = self._clock.now()
        failures = successes = 0.0
        own = self._engines.get(engine_id)
        if own is not None:
            own.decay(now)
            failures, successes = own.failures, own.successes
        reporters = [
            (report, report.counts[engine_id])
            for report in self._reports.values()
            if engine_id in report.counts and now - report.received_s <= self.REPORT_TTL_S
        ]
        if len(reporters) >= settings.min_reporters:
            for report, (failed, succeeded) in reporters:
                near = report.data_centre == self._data_centre
                weight = settings.near_weight if near else settings.far_weight
                failures += weight * failed
                successes += weight * succeeded
        share = failures / (failures + successes + settings.prior)
        return share if share >= settings.floor else 0.0
