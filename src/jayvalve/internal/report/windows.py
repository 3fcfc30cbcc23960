"""Latency histograms over time in bounded memory."""

from collections.abc import Iterator
from typing import Any

from jayvalve.internal.metrics import Histogram
from jayvalve.internal.timing import Clock

__all__ = [
    "BETWEEN_TOKENS",
    "FIRST_TOKEN",
    "MINUTE_S",
    "OTHER_CALLERS",
    "PROGRAM",
    "SLOT_S",
    "LatencyWindows",
    "SloRecorder",
]

MINUTE_S = 60
SLOT_S = 300
MINUTE_RETENTION_S = 3600
SLOT_RETENTION_S = 86_400
# 16 callers take 14 MB when all their series have a full day of values.
MAX_CALLERS = 16
OTHER_CALLERS = "(other)"

FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
PROGRAM = "program"


class LatencyWindows:
    """Windows of one series: one per minute for an hour and one per 5 minutes for a day.

    Closed windows are kept encoded, because an open histogram takes about 28 KB and an encoded
    one typically less than 200 bytes. Windows without values are not kept. Each series reuses a
    single histogram for all its windows: a new one per window fragmented the heap, and the
    resident size was far above that of the live data.
    """

    def __init__(self) -> None:
        self._histogram = Histogram()
        self._open_start = 0
        self._advanced_to = -1
        self._minutes: dict[int, str] = {}
        self._slots: dict[int, str] = {}

    @property
    def empty(self) -> bool:
        """Whether no window contains a value."""
        return not self._histogram.count and not self._minutes and not self._slots

    def record(self, seconds: float, now: float, count: int = 1) -> None:
        """Add a duration ``count`` times at the Unix time ``now``."""
        self.advance(now)
        if not self._histogram.count:
            self._open_start = _floor(now, MINUTE_S)
        self._histogram.record(seconds, count)

    def advance(self, now: float) -> None:
        """Close the windows that ended before the Unix time ``now`` and drop the expired ones."""
        minute = _floor(now, MINUTE_S)
        if minute == self._advanced_to:
            return
        self._advanced_to = minute
        # If the clock was set back, the open window stays open and takes the new values.
        if not self._histogram.count or minute > self._open_start:
            if self._histogram.count:
                self._minutes[self._open_start] = self._histogram.encode()
                self._histogram.reset()
            self._close_slots(now)
        _expire(self._minutes, now - MINUTE_RETENTION_S - MINUTE_S)
        _expire(self._slots, now - SLOT_RETENTION_S - SLOT_S)

    def windows(self, now: float) -> list[dict[str, Any]]:
        """Return each window with its start, its length in seconds and its encoded histogram."""
        self.advance(now)
        minutes = dict(self._minutes)
        if self._histogram.count:
            minutes[self._open_start] = self._histogram.encode()
        found = [_window(start, MINUTE_S, text) for start, text in minutes.items()]
        return found + [_window(start, SLOT_S, text) for start, text in self._slots.items()]

    def _close_slots(self, now: float) -> None:
        """Merge the minutes of each closed slot.

        The open minute must be empty, because its histogram is used for the merge.
        """
        current = _floor(now, SLOT_S)
        last = next(reversed(self._slots), -1)
        for start in sorted({_floor(minute, SLOT_S) for minute in self._minutes}):
            if last < start < current:
                for minute in range(start, start + SLOT_S, MINUTE_S):
                    if minute in self._minutes:
                        self._histogram.merge_encoded(self._minutes[minute])
                self._slots[start] = self._histogram.encode()
                self._histogram.reset()


class SloRecorder:
    """Records latencies by measure, rank and caller.

    Callers above the limit are recorded together as ``(other)``. A caller without values in the
    last day no longer counts towards the limit.
    """

    def __init__(self, clock: Clock, max_callers: int = MAX_CALLERS) -> None:
        self._clock = clock
        self._max_callers = max_callers
        self._callers: dict[str, dict[tuple[str, str], LatencyWindows]] = {}
        self._idle_checked_at = float("-inf")

    def record(self, measure: str, rank: str, caller: str, seconds: float, count: int = 1) -> None:
        """Add a duration ``count`` times at the current time."""
        if caller not in self._callers and len(self._callers) >= self._max_callers:
            self._drop_idle(MINUTE_S)
            if len(self._callers) >= self._max_callers:
                caller = OTHER_CALLERS
        series = self._callers.setdefault(caller, {})
        if (measure, rank) not in series:
            series[measure, rank] = LatencyWindows()
        series[measure, rank].record(seconds, self._clock.wall(), count)

    def document(self) -> dict[str, Any]:
        """Return the current time and all series with their windows."""
        now = self._clock.wall()
        self._drop_idle()
        return {"now": now, "series": list(self._series(now))}

    def _series(self, now: float) -> Iterator[dict[str, Any]]:
        for caller, series in sorted(self._callers.items()):
            for (measure, rank), windows in sorted(series.items()):
                yield {
                    "caller": caller,
                    "measure": measure,
                    "rank": rank,
                    "windows": windows.windows(now),
                }

    def _drop_idle(self, interval_s: float = 0.0) -> None:
        """Drop callers without values, unless the last check was under ``interval_s`` ago."""
        now = self._clock.wall()
        if now - self._idle_checked_at < interval_s:
            return
        self._idle_checked_at = now
        for series in self._callers.values():
            for windows in series.values():
                windows.advance(now)
        self._callers = {
            caller: series
            for caller, series in self._callers.items()
            if not all(windows.empty for windows in series.values())
        }


def _floor(moment: float, step: int) -> int:
    return int(moment // step) * step


def _window(start: int, seconds: int, histogram: str) -> dict[str, Any]:
    return {"start": start, "seconds": seconds, "histogram": histogram}


def _expire(windows: dict[int, str], before: float) -> None:
    for start in [start for start in windows if start < before]:
        del windows[start]
