"""Concurrency limit that adapts to the measured latency."""

import math

import attrs

from jayvalve.internal.validation import check_range

__all__ = ["ConcurrencyLimit"]


@attrs.define
class _BaselineProbe:
    """Measures the baseline latency.

    The first ``skip`` answers are ignored, because their requests started before the probe.
    """

    SAMPLES = 10

    skip: int
    total_s: float = 0.0
    count: int = 0

    def add(self, latency_s: float) -> float | None:
        """Add a sample; return the mean once there are enough samples."""
        if self.skip > 0:
            self.skip -= 1
            return None
        self.total_s += latency_s
        self.count += 1
        return self.total_s / self.count if self.count >= self.SAMPLES else None


@attrs.define
class ConcurrencyLimit:
    """Limits requests in progress by the gradient of the latency.

    The gradient is the ratio of the accepted to the recent latency, at most 1. The accepted
    latency is ``tolerance`` times the baseline, but at least ``floor_s``. If the gradient is below
    1, the target of the limit is the limit times the gradient; otherwise it is the limit plus its
    square root. Each answer moves the limit only by ``SMOOTHING`` of the distance to the target.
    The limit grows only while at least half of it is in use, because latency under light load
    says nothing about a higher limit. The baseline is measured repeatedly, each time except the
    first at half the limit: a long-term average would follow a slowly growing queue, and the
    limit would never stop growing.

    Attributes:
        minimum: Lower bound of the limit.
        maximum: Upper bound of the limit.
        initial: Initial limit.
        tolerance: Accepted ratio of recent to baseline latency.
        floor_s: Latency up to which latency alone does not shrink the limit, in seconds. Short
            latencies vary by large factors without any queueing, and would otherwise collapse the
            limit.

    """

    # Weight of a new sample in the recent latency.
    RECENT_WEIGHT = 0.2
    # Share of the distance to its target by which each answer moves the limit.
    SMOOTHING = 0.2
    # Lower bound of the gradient; also the gradient applied for a dropped request.
    MIN_GRADIENT = 0.5
    # Number of answers between two probes, as a multiple of the limit. A probe takes as
    # many answers as requests are running (at most the limit) plus ``_BaselineProbe.SAMPLES``,
    # which is 1.5 times the limit for a limit of 20. It runs at half the limit, so the probes cost
    # about 4% of the throughput.
    PROBE_INTERVAL_LIMITS = 20
    MIN_PROBE_INTERVAL_ANSWERS = 200

    minimum: int = 1
    maximum: int = 1024
    initial: int = 16
    tolerance: float = 1.5
    floor_s: float = 0.005
    _limit: float = attrs.field(init=False)
    _running: int = attrs.field(init=False, default=0)
    _recent_s: float | None = attrs.field(init=False, default=None)
    _baseline_s: float | None = attrs.field(init=False, default=None)
    _probe: _BaselineProbe | None = attrs.field(init=False, factory=lambda: _BaselineProbe(0))
    _answers_since_probe: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        check_range(self.minimum, "minimum", 1, self.maximum)
        check_range(self.initial, "initial", self.minimum, self.maximum)
        check_range(self.tolerance, "tolerance", 1.0, 100.0)
        self._limit = float(self.initial)

    @property
    def limit(self) -> int:
        """Maximum number of requests in progress; halved during each probe except the first."""
        if self._probe is not None and self._baseline_s is not None:
            return max(self.minimum, int(self._limit / 2))
        return int(self._limit)

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    def acquire(self) -> bool:
        """Reserve a slot; return False if the limit is reached."""
        if self._running >= self.limit:
            return False
        self._running += 1
        return True

    def release(self, latency_s: float | None = None, *, dropped: bool = False) -> None:
        """Release a slot.

        ``latency_s`` is None for a request that says nothing about latency, such as a cancelled
        one. ``dropped`` means that the endpoint refused the request or timed out, which lowers
        the limit.

        Raises:
            ValueError: no slot is reserved.

        """
        if self._running == 0:
            raise ValueError("release() called while no slot is reserved")
        in_use = self._running
        self._running -= 1
        if dropped:
            self._move_towards(self._limit * self.MIN_GRADIENT)
        elif latency_s is not None and latency_s >= 0 and math.isfinite(latency_s):
            self._observe(latency_s, in_use)

    def _observe(self, latency_s: float, in_use: int) -> None:
        recent_s = latency_s if self._recent_s is None else self._recent_s
        self._recent_s = recent_s + self.RECENT_WEIGHT * (latency_s - recent_s)
        if self._probe is not None:
            self._continue_probe(self._probe, latency_s)
        elif self._baseline_s is not None:
            self._adapt(self._recent_s, self._baseline_s, in_use)

    def _continue_probe(self, probe: _BaselineProbe, latency_s: float) -> None:
        measured_s = probe.add(latency_s)
        if measured_s is not None:
            self._baseline_s = self._recent_s = measured_s
            self._probe = None
            self._answers_since_probe = 0

    def _adapt(self, recent_s: float, baseline_s: float, in_use: int) -> None:
        accepted_s = max(self.tolerance * baseline_s, self.floor_s)
        gradient = 1.0
        if recent_s > accepted_s:
            gradient = max(self.MIN_GRADIENT, accepted_s / recent_s)
        if gradient < 1.0:
            self._move_towards(self._limit * gradient)
        elif in_use >= self._limit / 2:
            self._move_towards(self._limit + math.sqrt(self._limit))
        self._answers_since_probe += 1
        probe_interval_answers = max(
            self.MIN_PROBE_INTERVAL_ANSWERS, self.PROBE_INTERVAL_LIMITS * self.limit
        )
        # If the latency is still too high at the minimum limit, queueing does not cause it and a
        # lower limit would not help, so the baseline must be out of date.
        baseline_outdated = gradient < 1.0 and self.limit == self.minimum
        if baseline_outdated or self._answers_since_probe >= probe_interval_answers:
            self._probe = _BaselineProbe(skip=self._running)

    def _move_towards(self, target: float) -> None:
        moved = self._limit + self.SMOOTHING * (target - self._limit)
        self._limit = min(float(self.maximum), max(float(self.minimum), moved))
