"""Lateness of this process's own event loop."""

__all__ = ["LocalHealth"]


class LocalHealth:
    """Raises the time limits while this process's own event loop is late.

    A slow process misses answers that arrived in time; without this it would accuse others.
    """

    LAG_UNIT_S = 0.1
    MAX_PATIENCE = 8.0
    PAUSE_S = 0.5
    _DECAY = 0.7
    _NEGLIGIBLE_LAG_S = 0.01

    def __init__(self) -> None:
        self._lag_s = 0.0

    @property
    def patience(self) -> float:
        """Factor from 1 to MAX_PATIENCE for all time limits."""
        return min(self.MAX_PATIENCE, 1.0 + self._lag_s / self.LAG_UNIT_S)

    def observe_lag(self, lag_s: float) -> None:
        """Record how late a timer fired; the effect of a single delay decays."""
        self._lag_s = max(lag_s, self._lag_s * self._DECAY)
        if self._lag_s < self._NEGLIGIBLE_LAG_S:
            self._lag_s = 0.0
