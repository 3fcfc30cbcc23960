"""Requests that were running when engines ended, and which of them are no longer sent.

A request may end each engine that begins to run it. Other requests that ran there at the same time
look alike, so a single end proves nothing: a request is blocked after the ends of several engines
that no other request with more of them explains, and a request that completes is cleared. Engines
that end together may have a common cause, such as a loss of power, and count as one.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.timing import Clock

__all__ = ["CrashRecords", "CrashReport", "CrashSettings", "decode_crash", "encode_crash"]

_log = logger.bind(part="crash_records")


# Time within which the gateways learn of the end of an engine, in seconds.
NEWS_S = 1.0


@attrs.frozen
class CrashSettings:
    """Parameters of the decision.

    Attributes:
        blocked_after: Number of engines that must have ended one after the other while they ran a
            request before it is blocked.
        retention_s: How long the end of an engine counts, in seconds. A blocked request is tried
            again after this time without another end.
        max_requests: Maximum number of requests that are remembered; those whose last engine
            ended longest ago are dropped.
        max_reported: Maximum number of records in a message to another gateway.
        report_age_s: Maximum age of a record of a request that is not blocked in such a message,
            in seconds. Those of blocked requests are repeated for as long as they count.

    """

    blocked_after: int = 3
    retention_s: float = 300.0
    max_requests: int = 4096
    max_reported: int = 64
    report_age_s: float = 3.0


@attrs.frozen
class CrashReport:
    """A request and an engine that ended while it ran it, or the completion of the request.

    Attributes:
        fingerprint: Checksum that identifies the request, whichever gateway it reaches.
        engine: The engine, or None if the request completed.
        age_s: Seconds since the end of the engine or the completion.
        on_trial: Whether an earlier end was known when the engine began the request. Gateways of
            an earlier release do not tell; their reports count as such.
        run_s: How long the engine had run the request, in seconds.

    """

    fingerprint: str
    engine: EngineKey | None
    age_s: float
    on_trial: bool = True
    run_s: float = 0.0


def encode_crash(report: CrashReport) -> list[Any]:
    """Return the fields of a report as they are sent to another gateway."""
    if report.engine is None:
        return [report.fingerprint, report.age_s]
    engine = [report.engine.id, report.engine.born_ms]
    return [report.fingerprint, report.age_s, *engine, report.on_trial, report.run_s]


def decode_crash(fields: list[Any]) -> CrashReport:
    """Return a report from its fields.

    Raises:
        ValueError, TypeError: the fields are malformed.

    """
    fingerprint, age_s, *engine = fields
    age = _decode_seconds(age_s)
    if not isinstance(fingerprint, str):
        raise ValueError(f"{fields!r} does not describe the end of an engine")
    if not engine:
        return CrashReport(fingerprint, None, age)
    engine_id, born_ms, *run = engine
    if type(born_ms) is not int:
        raise ValueError(f"{born_ms!r} is not the start time of an engine")
    key = EngineKey(str(engine_id), born_ms)
    if not run:
        return CrashReport(fingerprint, key, age)
    on_trial, run_s = run
    return CrashReport(fingerprint, key, age, bool(on_trial), _decode_seconds(run_s))


def _decode_seconds(value: Any) -> float:
    seconds = float(value)
    if not (math.isfinite(seconds) and seconds >= 0.0):
        raise ValueError(f"{value!r} is not a duration")
    return seconds


@attrs.frozen
class _End:
    """End of an engine: the times at which it began the request and ended."""

    at_s: float
    began_s: float
    on_trial: bool


def _count_separate(ends: Iterable[_End]) -> int:
    """Return how many of the ends have no common cause in time.

    A trial begins after the ends before it. Another run does so only if it began when the gateways
    must have known of these.
    """
    count, last_s = 0, float("-inf")
    for end in sorted(ends, key=lambda end: end.at_s):
        if end.on_trial:
            count += 1
        elif end.began_s > last_s + NEWS_S:
            count += 1
            last_s = end.at_s
    return count


@attrs.define
class _Suspect:
    ends: dict[EngineKey, _End] = attrs.field(factory=dict)
    cleared_s: float = float("-inf")
    blocked: bool = False

    @property
    def last_s(self) -> float:
        return max((end.at_s for end in self.ends.values()), default=self.cleared_s)

    def separate_ends(self, explained: Collection[EngineKey] = ()) -> int:
        """Return how many engines ended one after the other and not under another request."""
        return _count_separate(end for key, end in self.ends.items() if key not in explained)


class CrashRecords:
    """Counts, for each request, the engines that ended while they ran it."""

    def __init__(self, clock: Clock, settings: CrashSettings) -> None:
        self._clock = clock
        self._settings = settings
        # Ordered by the time of the last record, oldest first.
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._has_culprits = False
        # Engines that have ended and when this was learned, the latest last.
        self._ended: OrderedDict[EngineKey, float] = OrderedDict()
        # Engines that were taken for ended wrongly, and when that was found.
        self._retracted: OrderedDict[EngineKey, float] = OrderedDict()

    @property
    def blocked(self) -> int:
        """Number of requests that are not sent."""
        self._expire()
        return sum(suspect.blocked for suspect in self._suspects.values())

    @property
    def empty(self) -> bool:
        """Whether no request is suspected."""
        self._expire()
        return not self._suspects

    @property
    def has_repeated(self) -> bool:
        """Whether more than one engine has ended under the same request.

        Engines that end for another reason, even many at once, each take other requests along.
        """
        self._expire()
        return any(len(suspect.ends) > 1 for suspect in self._suspects.values())

    def has_ended(self, engine: EngineKey) -> bool:
        """Return whether an engine has ended while it ran requests."""
        return engine in self._ended

    def ended_s(self, engine: EngineKey) -> float | None:
        """Return when the end of an engine was learned, or None if it has not ended."""
        return self._ended.get(engine)

    def retract(self, engine: EngineKey) -> None:
        """Take back the end of an engine that has answered since.

        Other gateways may tell of the same end again; each finds out by itself.
        """
        if self._ended.pop(engine, None) is None:
            return
        self._retracted[engine] = self._clock.now()
        while len(self._retracted) > self._settings.max_requests:
            self._retracted.popitem(last=False)
        for fingerprint, suspect in list(self._suspects.items()):
            withdrawn = suspect.ends.pop(engine, None)
            if withdrawn is not None and not suspect.ends and suspect.cleared_s == -math.inf:
                del self._suspects[fingerprint]
        self._decide()

    def ends(self, fingerprint: str) -> int:
        """Return how many engines have ended while they ran a request and count against it."""
        self._expire()
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else len(suspect.ends)

    def blocked_for_s(self, fingerprint: str) -> float | None:
        """Return for how long a request is not sent, in seconds, or None if it may be sent."""
        self._expire()
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.blocked:
            return None
        return max(0.0, suspect.last_s + self._settings.retention_s - self._clock.now())

    def record(self, reports: list[CrashReport]) -> bool:
        """Add reports of this or of another gateway; return whether they contain anything new."""
        now = self._clock.now()
        news = False
        for report in reports:
            at_s = now - max(0.0, report.age_s)
            if at_s < now - self._settings.retention_s:
                continue
            if report.engine is None:
                news |= self._clear(report.fingerprint, at_s)
            else:
                end = _End(at_s, at_s - max(0.0, report.run_s), report.on_trial)
                news |= self._add_end(report.fingerprint, report.engine, end)
        self._expire()
        limit = self._settings.blocked_after
        if news and (
            self._has_culprits or any(self.ends(each.fingerprint) >= limit for each in reports)
        ):
            self._decide()
        return news

    def clear(self, fingerprint: str) -> bool:
        """Record that a request has completed now, and return whether that is news.

        Ends from before that count no more, also those of which this gateway learns later.
        """
        if fingerprint not in self._suspects:
            self._suspects[fingerprint] = _Suspect()
            while len(self._suspects) > self._settings.max_requests:
                self._suspects.popitem(last=False)
        return self.record([CrashReport(fingerprint, None, 0.0)])

    def report(self) -> list[CrashReport]:
        """Return the records that other gateways should know.

        Requests with more ends come first, then the newest. An engine takes many requests along
        that it may have been running, which must not crowd out one that has ended several.
        """
        self._expire()
        cutoff_s = self._clock.now() - self._settings.report_age_s
        recent = [
            (fingerprint, suspect)
            for fingerprint, suspect in reversed(self._suspects.items())
            if suspect.blocked or suspect.last_s >= cutoff_s
        ]
        recent.sort(key=lambda item: (item[1].blocked, len(item[1].ends)), reverse=True)
        reports: list[CrashReport] = []
        for fingerprint, _ in recent:
            if len(reports) >= self._settings.max_reported:
                break
            reports += self.report_of(fingerprint)
        return reports

    def report_of(self, fingerprint: str) -> list[CrashReport]:
        """Return the records of one request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return []
        now = self._clock.now()
        if not suspect.ends:
            return [CrashReport(fingerprint, None, now - suspect.cleared_s)]
        return [
            CrashReport(fingerprint, engine, now - end.at_s, end.on_trial, end.at_s - end.began_s)
            for engine, end in suspect.ends.items()
        ]

    def _add_end(self, fingerprint: str, engine: EngineKey, end: _End) -> bool:
        if end.at_s <= self._retracted.get(engine, -math.inf):
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect()
        known = suspect.ends.get(engine)
        if end.at_s <= suspect.cleared_s or (
            known is not None and (known.on_trial or not end.on_trial)
        ):
            return False
        suspect.ends[engine] = end
        self._ended.setdefault(engine, self._clock.now())
        if len(self._ended) > self._settings.max_requests:
            self._ended.popitem(last=False)
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > self._settings.max_requests:
            self._suspects.popitem(last=False)
        return True

    def _clear(self, fingerprint: str, at_s: float) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or at_s <= suspect.cleared_s:
            return False
        suspect.cleared_s = at_s
        suspect.ends = {engine: end for engine, end in suspect.ends.items() if end.at_s > at_s}
        self._suspects.move_to_end(fingerprint)
        return True

    def _decide(self) -> None:
        """Block the requests with enough ends that no other request explains better.

        The decision depends only on the records, not on the order in which they arrived, so that
        all gateways with the same records block the same requests.
        """
        limit = self._settings.blocked_after
        culprits = [
            suspect for suspect in self._suspects.values() if suspect.separate_ends() >= limit
        ]
        self._has_culprits = bool(culprits)
        by_ends: dict[int, set[EngineKey]] = {}
        for culprit in culprits:
            by_ends.setdefault(len(culprit.ends), set()).update(culprit.ends)
        # Engines that ended under a request with more ends, by number of ends.
        explained_above: dict[int, set[EngineKey]] = {}
        for fingerprint, suspect in self._suspects.items():
            count = len(suspect.ends)
            explained = explained_above.get(count)
            if explained is None:
                more = (engines for ends, engines in by_ends.items() if ends > count)
                explained = explained_above[count] = set().union(*more)
            blocked = suspect.separate_ends(explained) >= limit
            if blocked != suspect.blocked:
                suspect.blocked = blocked
                _log.bind(
                    fingerprint=fingerprint,
                    blocked=blocked,
                    engines=sorted(engine.id for engine in suspect.ends),
                ).warning("decided about a request under which engines ended")

    def _expire(self) -> None:
        cutoff_s = self._clock.now() - self._settings.retention_s
        while self._suspects:
            fingerprint, oldest = next(iter(self._suspects.items()))
            if oldest.last_s > cutoff_s:
                return
            del self._suspects[fingerprint]
