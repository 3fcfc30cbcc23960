"""Ejection of endpoints that fail or are far slower than their peers."""

import statistics
from collections.abc import Iterable

import attrs

__all__ = ["OutlierDetector"]


@attrs.define
class _Endpoint:
    failures: int = 0
    latency_s: float | None = None
    samples: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    probing_since_s: float | None = None


@attrs.define
class OutlierDetector:
    """Ejects failing and slow endpoints from the endpoints of one capability.

    An endpoint is ejected after ``max_failures`` consecutive failures, or when its average
    latency exceeds ``latency_factor`` times the median of the others. The ejection time doubles
    with each ejection, up to a cap. After that time, one request probes the endpoint, and its
    result either restores the endpoint or ejects it again. At most a third of the endpoints are
    ejected at the same time, so that a fault common to all of them does not exclude them all.
    An endpoint stays ejected, even after its ejection time, until a probe or ``set_endpoints``
    restores it.

    Attributes:
        max_failures: Number of consecutive failures after which an endpoint is ejected.
        latency_factor: Ratio to the median latency above which an endpoint is ejected.
        base_ejection_s: Duration of the first ejection, in seconds.
        max_ejection_s: Maximum duration of an ejection, in seconds.

    """

    # At most one in this many endpoints is ejected, so with fewer endpoints none is.
    MAX_SHARE_DIVISOR = 3
    # Weight of a new sample in the average latency.
    LATENCY_WEIGHT = 0.2
    # Number of answers of an endpoint that are needed to compare its latency.
    MIN_SAMPLES = 10
    # Number of other endpoints with enough answers that are needed for a comparison.
    MIN_PEERS = 2
    # Below this latency, a difference between endpoints does not matter to callers.
    MIN_LATENCY_S = 0.01
    # A probe that has no result after this time is repeated.
    PROBE_TIMEOUT_S = 30.0

    max_failures: int = 5
    latency_factor: float = 3.0
    base_ejection_s: float = 5.0
    max_ejection_s: float = 300.0
    _endpoints: dict[str, _Endpoint] = attrs.field(init=False, factory=dict)

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Replace the set of endpoints; endpoints that remain in the set keep their state.

        When the set shrinks, the endpoints whose ejection ends first are restored until the
        number of ejected endpoints is within the cap again.
        """
        self._endpoints = {name: self._endpoints.get(name, _Endpoint()) for name in names}
        surplus = len(self.ejected) - self.cap
        by_end = sorted(self.ejected, key=lambda name: self._endpoints[name].ejected_until_s)
        for name in by_end[: max(0, surplus)]:
            self._restore(self._endpoints[name])

    @property
    def cap(self) -> int:
        """Maximum number of endpoints that are ejected at the same time."""
        return len(self._endpoints) // self.MAX_SHARE_DIVISOR

    @property
    def ejected(self) -> list[str]:
        """Endpoints that are ejected, including those that await or undergo a probe."""
        return sorted(
            name for name, state in self._endpoints.items() if state.ejected_until_s is not None
        )

    def usable(self, name: str, now: float) -> bool:
        """Return whether a request may be sent to the endpoint, without starting a probe."""
        state = self._endpoints.get(name)
        if state is None or state.ejected_until_s is None:
            return True
        if now < state.ejected_until_s:
            return False
        probing_s = state.probing_since_s
        return probing_s is None or now - probing_s >= self.PROBE_TIMEOUT_S

    def record_dispatch(self, name: str, now: float) -> None:
        """Record a request to the endpoint.

        The request is a probe if the ejection time has passed and no other probe is in progress; a
        probe that has timed out is no longer in progress.
        """
        state = self._endpoints.get(name)
        if state is not None and state.ejected_until_s is not None and self.usable(name, now):
            state.probing_since_s = now

    def record_success(self, name: str, latency_s: float, now: float) -> None:
        """Record an answer and its latency."""
        state = self._endpoints.get(name)
        if state is None:
            return
        state.failures = 0
        if state.ejected_until_s is not None:
            # An answer to a request sent before the ejection is not the result of a probe.
            if state.probing_since_s is not None:
                self._end_probe(name, state, latency_s, now)
            return
        previous_s = latency_s if state.latency_s is None else state.latency_s
        state.latency_s = previous_s + self.LATENCY_WEIGHT * (latency_s - previous_s)
        state.samples += 1
        if state.samples >= self.MIN_SAMPLES and self._is_slow(name, state.latency_s):
            self._eject(state, now)

    def record_failure(self, name: str, now: float) -> None:
        """Record a failed request."""
        state = self._endpoints.get(name)
        if state is None:
            return
        state.failures += 1
        if state.ejected_until_s is not None:
            if state.probing_since_s is not None:
                self._start_ejection(state, now)
        elif state.failures >= self.max_failures:
            self._eject(state, now)

    def _is_slow(self, name: str, latency_s: float) -> bool:
        others = [
            state.latency_s
            for other, state in self._endpoints.items()
            if other != name and state.latency_s is not None and state.samples >= self.MIN_SAMPLES
        ]
        if len(others) < self.MIN_PEERS or latency_s < self.MIN_LATENCY_S:
            return False
        return latency_s > self.latency_factor * statistics.median(others)

    def _end_probe(self, name: str, state: _Endpoint, latency_s: float, now: float) -> None:
        if self._is_slow(name, latency_s):
            self._start_ejection(state, now)
            return
        self._restore(state)

    @staticmethod
    def _restore(state: _Endpoint) -> None:
        # Lowers the number of ejections by one instead of resetting it, so that an endpoint that
        # soon fails again is ejected for longer.
        state.ejections = max(0, state.ejections - 1)
        state.ejected_until_s = state.probing_since_s = None
        state.failures = state.samples = 0
        state.latency_s = None

    def _eject(self, state: _Endpoint, now: float) -> None:
        if len(self.ejected) < self.cap:
            self._start_ejection(state, now)

    def _start_ejection(self, state: _Endpoint, now: float) -> None:
        duration_s = min(self.max_ejection_s, self.base_ejection_s * 2.0**state.ejections)
        # Bounds the exponent above, because 2.0**1024 overflows.
        state.ejections = min(state.ejections + 1, 16)
        state.ejected_until_s = now + duration_s
        state.probing_since_s = None
        state.failures = 0
