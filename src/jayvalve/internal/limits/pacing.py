"""Pacing of requests to a rate that may change at any time."""

import attrs

from jayvalve.internal.validation import check_range

__all__ = ["Pacer", "PacingDecision"]


@attrs.frozen
class PacingDecision:
    """Whether a request may be sent.

    Attributes:
        granted: Whether the request was counted and may be sent after delay_s.
        delay_s: Seconds until the request may be sent; if it was not granted, the seconds that it
            would have had to wait.
        next_delay_s: Seconds that the next request would have to wait.

    """

    granted: bool
    delay_s: float
    next_delay_s: float


@attrs.define
class Pacer:
    """Spaces requests at a rate with a small burst (leaky bucket as a meter).

    The level counts requests, not time, so that a changed rate applies to those that wait as well.

    Attributes:
        level: Requests that were granted and have not leaked out yet.

    """

    level: float = 0.0
    _updated_s: float = 0.0

    @classmethod
    def full(cls, burst: float, now: float) -> "Pacer":
        """Return a pacer without unused burst, for a count whose past is unknown."""
        return cls(level=burst, updated_s=now)

    def reserve(
        self, now: float, rate_per_s: float, burst: float, max_delay_s: float
    ) -> PacingDecision:
        """Count a request unless it would have to wait for longer than max_delay_s.

        Args:
            now: Monotonic time in seconds.
            rate_per_s: Requests per second.
            burst: Number of requests that may be sent at once after a pause, at least 1.
            max_delay_s: Longest acceptable wait in seconds.

        Raises:
            InvalidSettingsError: the rate or the burst is out of range.

        """
        check_range(rate_per_s, "rate_per_s", 1e-6, 1e9)
        check_range(burst, "burst", 1.0, 1e9)
        elapsed_s = max(0.0, now - self._updated_s)
        self.level = max(0.0, self.level - elapsed_s * rate_per_s)
        self._updated_s = now
        delay_s = self._delay_s(rate_per_s, burst)
        granted = delay_s <= max_delay_s
        if granted:
            self.level += 1.0
        return PacingDecision(granted, delay_s, self._delay_s(rate_per_s, burst))

    def _delay_s(self, rate_per_s: float, burst: float) -> float:
        return max(0.0, self.level + 1.0 - burst) / rate_per_s
