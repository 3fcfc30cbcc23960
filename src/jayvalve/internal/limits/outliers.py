"""Ejection of endpoints that fail or are far slower than their equals."""

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
    """Ejects endpoints of one capability.

    An endpoint is ejected after consecutive failures, or when its average latency exceeds
    latency_factor times the median of the others. The ejection time doubles with each
    ejection up to a cap. When it has passed, one request probes the endpoint; its result
    restores or ejects it again. At most a third of the endpoints are ejected, so that a fault
    common to all of them does not leave none. A probed endpoint counts as ejected.

    Attributes:
        max_failures: Consecutive failures that eject.
        latency_factor: Ratio to the median latency that ejects.
        base_ejection_s: Time of the first ejection.
        max_ejection_s: Cap of the ejection time.

    """

    MAX_SHARE_DIVISOR = 3
    LATENCY_WEIGHT = 0.2
    MIN_SAMPLES = 10
    MIN_PEERS = 2
    # Below this latency a ratio between endpoints has no meaning for callers.
    MIN_LATENCY_S = 0.01
    # A probe whose result never came is repeated after this time.
    PROBE_LIMIT_S = 30.0

    max_failures: int = 5
    latency_factor: float = 3.0
    base_ejection_s: float = 5.0
    max_ejection_s: float = 300.0
    _endpoints: dict[str, _Endpoint] = attrs.field(init=False, factory=dict)

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Replace the set of endpoints; those that stay keep their record.

        When the set shrinks, the endpoints whose ejection ends first are restored until the
        cap holds again.
        """
        self._endpoints = {name: self._endpoints.get(name, _Endpoint()) for name in names}
        surplus = len(self.ejected) - self.cap
        by_end = sorted(self.ejected, key=lambda name: self._endpoints[name].ejected_until_s)
        for name in by_end[: max(0, surplus)]:
            self._restore(self._endpoints[name])

    @property
    def cap(self) -> int:
        """Number of endpoints that may be ejected at once."""
        return len(self._endpoints) // self.MAX_SHARE_DIVISOR

    @property
    def ejected(self) -> list[str]:
        """Endpoints that are ejected or being probed."""
        return sorted(
            name for name, state in self._endpoints.items() if state.ejected_until_s is not None
        )

    def usable(self, name: str, now: float) -> bool:
        """Return whether a request may go to the endpoint; does not start a probe."""
        state = self._endpoints.get(name)
        if state is None or state.ejected_until_s is None:
            return True
        if now < state.ejected_until_s:
            return False
        probing_s = state.probing_since_s
        return probing_s is None or now - probing_s >= self.PROBE_LIMIT_S

    def record_dispatch(self, name: str, now: float) -> None:
        """Take note that a request goes to the endpoint; after an ejection it is the probe."""
        state = self._endpoints.get(name)
        if state is not None and state.ejected_until_s is not None and self.usable(name, now):
            state.probing_since_s = now

    def record_success(self, name: str, latency_s: float, now: float) -> None:
        """Take note of an answer and its latency."""
        state = self._endpoints.get(name)
        if state is None:
            return
        state.failures = 0
        if state.ejected_until_s is not None:
            # Answers to requests sent before the ejection do not count as a probe.
            if state.probing_since_s is not None:
                self._end_probe(name, state, latency_s, now)
            return
        previous_s = latency_s if state.latency_s is None else state.latency_s
        state.latency_s = previous_s + self.LATENCY_WEIGHT * (latency_s - previous_s)
        state.samples += 1
        if state.samples >= self.MIN_SAMPLES and self._is_slow(name, state.latency_s):
            self._eject(state, now)

    def record_failure(self, name: str, now: float) -> None:
        """Take note of a failed request."""
        state = self._endpoints.get(name)
        if state is None:
            return
        state.failures += 1
        if state.ejected_until_s is not None:
            if state.probing_since_s is not None:
                self._extend(state, now)
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
            self._extend(state, now)
            return
        self._restore(state)

    @staticmethod
    def _restore(state: _Endpoint) -> None:
        # The count of ejections stays and falls by one per recovery, so that an endpoint that
        # fails again soon is ejected for longer.
        state.ejections = max(0, state.ejections - 1)
        state.ejected_until_s = state.probing_since_s = None
        state.failures = state.samples = 0
        state.latency_s = None

    def _eject(self, state: _Endpoint, now: float) -> None:
        if len(self.ejected) < self.cap:
            self._extend(state, now)

    def _extend(self, state: _Endpoint, now: float) -> None:
        duration_s = min(self.max_ejection_s, self.base_ejection_s * 2.0**state.ejections)
        state.ejections = min(state.ejections + 1, 16)
        state.ejected_until_s = now + duration_s
        state.probing_since_s = None
        state.failures = 0
