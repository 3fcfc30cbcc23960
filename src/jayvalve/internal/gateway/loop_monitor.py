"""Measures how late the event loop runs its tasks.

On a machine that is short of processor time, timeouts pass while answers wait to be read. Such
timeouts look like failures of the other side. The histogram and the log line show the difference.
"""

import asyncio

import attrs
from loguru import logger

from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock

__all__ = ["LoopMonitor", "MonitorSettings"]

_log = logger.bind(part="loop_monitor")


@attrs.frozen
class MonitorSettings:
    """Intervals of the measurement.

    Attributes:
        interval_s: Time between two measurements, in seconds.
        late_s: Delay from which the loop counts as late, in seconds; half of the shortest timeout
            that takes an engine or a path out of use, which is that of a connection.
        log_interval_s: Minimum time between two log lines about a late loop, in seconds.

    """

    interval_s: float = 0.1
    late_s: float = 0.12
    log_interval_s: float = 1.0


class LoopMonitor:
    """Measures the delay of the event loop, and logs when it is late."""

    def __init__(self, clock: Clock, settings: MonitorSettings, metrics: Metrics) -> None:
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._last_logged_s = float("-inf")

    async def run(self) -> None:
        """Measure until cancelled."""
        settings = self._settings
        while True:
            due_s = self._clock.now() + settings.interval_s
            await asyncio.sleep(settings.interval_s)
            now = self._clock.now()
            delay_s = max(0.0, now - due_s)
            self._metrics.observe("jayvalve_gateway_loop_delay_seconds", delay_s)
            if delay_s >= settings.late_s and now - self._last_logged_s >= settings.log_interval_s:
                self._last_logged_s = now
                _log.bind(delay_s=round(delay_s, 3)).warning("the event loop is late")
