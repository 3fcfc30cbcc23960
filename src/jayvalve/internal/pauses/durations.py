"""Running quantiles of tool pauses."""

import bisect
from collections import deque

__all__ = ["PauseDurations"]

# A window this long holds the 95% quantile to about 2% of rank and follows changes of a tool.
WINDOW = 256


class PauseDurations:
    """The most recent pauses of one tool, kept in order of length."""

    def __init__(self, window: int = WINDOW) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._window = window

    def __len__(self) -> int:
        return len(self._sorted)

    def observe(self, pause_s: float) -> None:
        """Add a finished pause."""
        if len(self._recent) == self._window:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]
        self._recent.append(pause_s)
        bisect.insort(self._sorted, pause_s)

    def quantile(self, q: float) -> float:
        """Return the pause that a share q of the pauses does not exceed."""
        if not self._sorted:
            raise ValueError("no pause has been observed")
        return self._sorted[min(len(self._sorted) - 1, int(q * len(self._sorted)))]

    def expected_remaining_s(self, elapsed_s: float, default_s: float) -> float:
        """Return the mean remaining time of pauses that have lasted elapsed_s.

        Without an observed pause of that length the remainder is taken to be as long as the
        time elapsed, as for a heavy-tailed distribution, and at least ``default_s``.
        """
        first = bisect.bisect_right(self._sorted, elapsed_s)
        longer = self._sorted[first:]
        if not longer:
            return max(default_s, elapsed_s)
        return sum(longer) / len(longer) - elapsed_s
