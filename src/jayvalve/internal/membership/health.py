"""Lag of this process's own event loop."""

__all__ = ["LocalHealth"]


class LocalHealth:
    """Extends the detector's timeouts while this process's own event loop lags.

    A slow process handles answers late although they arrived in time. Without longer timeouts it
    would report healthy processes as failed.

    Attributes:
        LAG_UNIT_S: Lag that raises the multiplier by 1, in seconds.
        PAUSE_THRESHOLD_S: Lag above which this process is considered paused, in seconds.

    """

    LAG_UNIT_S = 0.1
    MAX_TIMEOUT_MULTIPLIER = 8.0
    PAUSE_THRESHOLD_S = 0.5
    _DECAY = 0.7
    _NEGLIGIBLE_LAG_S = 0.01

    def __init__(self) -> None:
        self._lag_s = 0.0

    @property
    def timeout_multiplier(self) -> float:
        """Factor for all timeouts, from 1 to MAX_TIMEOUT_MULTIPLIER."""
        return min(self.MAX_TIMEOUT_MULTIPLIER, 1.0 + self._lag_s / self.LAG_UNIT_S)

    def observe_lag(self, lag_s: float) -> None:
        """Record how late a timer fired, in seconds; the effect of a single delay decays."""
        self._lag_s = max(lag_s, self._lag_s * self._DECAY)
        if self._lag_s < self._NEGLIGIBLE_LAG_S:
            self._lag_s = 0.0
