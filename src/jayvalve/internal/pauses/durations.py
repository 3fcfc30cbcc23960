"""Running quantiles and expected remaining times of tool pauses."""

import bisect
from collections import deque

__all__ = ["PauseDurations"]

# With a window of this size, the rank of the estimated 95% quantile is accurate to about 2%,
# and the estimate still follows changes in the behaviour of a tool.
DEFAULT_WINDOW_PAUSES = 256


class PauseDurations:
    """Most recent pauses of one tool, sorted by duration."""

    def __init__(self, window: int = DEFAULT_WINDOW_PAUSES) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._window = window

    def __len__(self) -> int:
        return len(self._sorted)

    def observe(self, pause_s: float) -> None:
        """Record the duration of a finished pause."""
        if len(self._recent) == self._window:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]
        self._recent.append(pause_s)
        bisect.insort(self._sorted, pause_s)

    def quantile(self, q: float) -> float:
        """Return the q-quantile of the recorded pauses."""
        if not self._sorted:
            raise ValueError("no pause has been observed")
        return self._sorted[min(len(self._sorted) - 1, int(q * len(self._sorted)))]

    def expected_remaining_s(self, elapsed_s: float, default_s: float) -> float:
        """Return the mean remaining time of pauses that have lasted elapsed_s.

        If no recorded pause was longer, the remaining time is assumed to equal the elapsed time,
        as for a heavy-tailed distribution, and to be at least ``default_s``.
        """
        first = bisect.bisect_right(self._sorted, elapsed_s)
        longer = self._sorted[first:]
        if not longer:
            return max(default_s, elapsed_s)
        return sum(longer) / len(longer) - elapsed_s
