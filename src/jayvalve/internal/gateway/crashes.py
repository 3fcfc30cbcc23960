"""Detection of engines that end while they run requests, shared between the gateways."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.calls import CallerRequest
from jayvalve.internal.gateway.crash_records import (
    CrashRecords,
    CrashReport,
    decode_crash,
    encode_crash,
)
from jayvalve.internal.gateway.engine_probe import ProbeResult, is_down, probe_engine
from jayvalve.internal.gateway.http_client import HttpPool
from jayvalve.internal.gateway.in_hand import Address, EngineRun, RequestsInHand
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.trials import RequestTrials
from jayvalve.internal.hashing import digest
from jayvalve.internal.timing import Clock

__all__ = ["CRASH_NOTICES", "CrashDetector", "DetectorSettings", "fingerprint_of"]

CRASH_NOTICES = "crashes"
# Maximum number of engines that leave as planned which are remembered.
MAX_LEAVING = 4096

_log = logger.bind(part="crashes")


def fingerprint_of(request: CallerRequest, program: str | None) -> str:
    """Return a checksum that is equal for the same request at any gateway.

    Two callers' requests with the same path and body are the same request to an engine. Without a
    body, requests of different programs differ in what they ask for only by their program.
    """
    parts = [request.method, request.headers.get("Host", ""), request.target]
    if not request.body:
        parts.append(program or "")
    return digest("\n".join(parts).encode() + b"\n", request.body)


@attrs.frozen
class DetectorSettings:
    """Times of the checks.

    Attributes:
        watch_interval_s: Interval at which the engine of an unfinished trial is checked, in
            seconds.
        silent_trial_s: How long such a trial lasts at most, in seconds, after its time limit, at an
            engine that neither answers nor refuses connections.
        together_s: Attempts at an engine that are given up this long before or after others break
            off there count as broken off with them, in seconds.

    """

    watch_interval_s: float = 0.4
    silent_trial_s: float = 10.0
    together_s: float = 5.0


class CrashDetector:
    """Finds out under which requests an engine has ended.

    All requests that an engine may have been running when it ended are suspected, also those that
    this gateway had given up. A connection also breaks in a network fault, and a cut link makes an
    engine silent. An engine counts as ended only if it refuses connections or closes them at once,
    if its entry is gone and it does not answer, if another incarnation or another engine has taken
    its place, or if another gateway has found that it ended. An answer of the same incarnation
    takes that back.

    Args:
        in_hand: Attempts at engines whose end is not known.
        pool: Checks whether an engine accepts connections.
        trials: Trials of suspected requests; one ends only when the end of its run is known.
        on_news: Called when the other gateways should be told.

    """

    def __init__(
        self,
        records: CrashRecords,
        in_hand: RequestsInHand,
        pool: HttpPool,
        trials: RequestTrials,
        clock: Clock,
        on_news: Callable[[], None],
    ) -> None:
        self._trials = trials
        self._clock = clock
        self._records = records
        self._in_hand = in_hand
        self._pool = pool
        self._on_news = on_news
        self._settings = DetectorSettings()
        # Engines that are being checked.
        self._checked: set[EngineKey] = set()
        # Engines that leave as planned, the latest last.
        self._leaving: OrderedDict[EngineKey, None] = OrderedDict()
        # Engines that are taken for ended and have answered since.
        self._answered: set[EngineKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def record_broken(self, run: EngineRun) -> None:
        """Check the engine at which an attempt broke off, and record its end if it has ended."""
        if not self._in_hand.is_open(run):
            return
        run.broke_s = self._clock.now()
        self._in_hand.abandon(run)
        self._start_check(run.engine, run.address)

    def record_refused(self, engine: EngineKey) -> None:
        """Record that nothing listens any more at the address of an engine."""
        self._record_end(engine)

    def record_answer(self, run: EngineRun) -> None:
        """Record that an engine has answered an attempt, so that it has not ended before."""
        self._in_hand.record_life(run.engine)
        ended_s = self._records.ended_s(run.engine)
        if ended_s is not None and run.began_s > ended_s and run.engine not in self._answered:
            self._answered.add(run.engine)
            self._start(self._retract_end(run.engine))

    def record_restart(self, engine: EngineKey) -> None:
        """Record the end of an engine whose next incarnation has appeared."""
        self._answered.discard(engine)
        self._record_end(engine)

    def record_address(self, engine: EngineKey, address: Address) -> None:
        """Record that an engine has an address; another one that had it before has ended."""
        for earlier in self._in_hand.engines_at(address):
            if earlier != engine:
                self._record_end(earlier)

    def record_leaving(self, engine: EngineKey) -> None:
        """Record that an engine leaves as planned, so that its end is no sign of a crash."""
        self._in_hand.dismiss(engine)
        self._leaving[engine] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)

    def record_removed(self, engine: EngineKey) -> None:
        """Check an engine whose entry is gone: it may have ended, or it leaves as planned."""
        self._answered.discard(engine)
        runs = self._in_hand.runs_of(engine)
        if runs:
            self._start(self._check_removed(runs[0]))

    def record_complete(self, fingerprint: str) -> None:
        """Clear a request that an engine has completed."""
        # Other gateways may learn of an end of an engine at an earlier attempt only later.
        has_attempts = self._in_hand.complete_request(fingerprint)
        if (has_attempts or self._records.ends(fingerprint)) and self._records.clear(fingerprint):
            self._on_news()

    def items(self) -> list[Any]:
        """Return the records for a notice to the other gateways."""
        return [encode_crash(report) for report in self._records.report()]

    def receive(self, items: list[Any]) -> None:
        """Record what another gateway has found, and what this one had sent to the same engines."""
        reports = [decode_crash(fields) for fields in items]
        self._records.record(reports)
        for report in reports:
            if report.engine is None:
                self._in_hand.complete_request(report.fingerprint)
            elif self._in_hand.has_runs(report.engine):
                self._record_end(report.engine, self._clock.now() - report.age_s)

    def end_trial(self, run: EngineRun | None, fingerprint: str) -> None:
        """End the trial of a request once the end of its run is known.

        Args:
            run: The attempt on trial, or None if the request was not sent.
            fingerprint: The request.

        """
        if run is None or not self._in_hand.is_open(run):
            self._trials.end(fingerprint)
        else:
            self._start(self._watch_trial(run))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_check(self, engine: EngineKey, address: Address) -> None:
        if engine not in self._checked:
            self._checked.add(engine)
            self._start(self._check(engine, address))

    async def _check(self, engine: EngineKey, address: Address) -> None:
        started_s = self._clock.now()
        try:
            ended = await is_down(self._pool, address)
        finally:
            self._checked.discard(engine)
        if ended and self._in_hand.answered_s(engine) < started_s:
            self._record_end(engine)

    async def _check_removed(self, run: EngineRun) -> None:
        result = await probe_engine(self._pool, run.address, run.health_path)
        if result is ProbeResult.ANSWERED:
            self._in_hand.dismiss(run.engine)
        else:
            # An engine that is only cut off is back with the same entry.
            self._record_end(run.engine)

    async def _retract_end(self, engine: EngineKey) -> None:
        """Take back the end of an engine that has answered, unless its next incarnation did."""
        await asyncio.sleep(self._in_hand.settings.restart_visible_s)
        if engine in self._answered:
            self._answered.discard(engine)
            _log.bind(engine=engine.id).info("an engine that was taken for ended has answered")
            self._records.retract(engine)

    async def _watch_trial(self, run: EngineRun) -> None:
        """Keep a trial until the end of its run is known, or the engine cannot be running it."""
        settings = self._settings
        bounds = self._in_hand.settings
        # An engine drops a request whose connection has failed; otherwise its time limit counts.
        over_s = run.broke_s if run.broke_s is not None else run.limit_s + bounds.limit_margin_s
        over_s += bounds.restart_visible_s
        try:
            while self._in_hand.is_open(run):
                result = await probe_engine(self._pool, run.address, run.health_path)
                if result is ProbeResult.REFUSED:
                    self._record_end(run.engine)
                    return
                silent = result is ProbeResult.SILENT
                if self._clock.now() > over_s + (settings.silent_trial_s if silent else 0.0):
                    return
                self._trials.extend(run.fingerprint)
                await asyncio.sleep(settings.watch_interval_s)
        finally:
            self._trials.end(run.fingerprint)

    def _record_end(self, engine: EngineKey, at_s: float | None = None) -> None:
        """Suspect all requests that an engine may have been running when it ended.

        Args:
            engine: The engine.
            at_s: Time at which it ended, or None if it is not known.

        """
        now = self._clock.now()
        answered_s = self._in_hand.answered_s(engine)
        runs = self._in_hand.take_ended(engine)
        if engine in self._leaving:
            return
        broken = [
            run.broke_s for run in runs if run.broke_s is not None and run.broke_s > answered_s
        ]
        # Attempts that began after the first break have only met what was left of the engine.
        down_s = min(broken, default=math.inf)
        runs = [run for run in runs if run.began_s < down_s]
        if not runs:
            return
        recent = [time_s for time_s in broken if now - time_s <= self._settings.together_s]
        latest_s = at_s if at_s is not None else max(recent, default=now)
        margin_s = self._in_hand.settings.limit_margin_s
        reports = []
        for run in runs:
            if run.broke_s is not None:
                end_s = run.broke_s
            else:
                end_s = min(max(latest_s, run.began_s), run.limit_s + margin_s)
            reports.append(
                CrashReport(run.fingerprint, engine, now - end_s, run.on_trial, end_s - run.began_s)
            )
        _log.bind(
            engine=engine.id,
            requests=len(runs),
            given_up=sum(run.broke_s is None and run.abandoned_s is not None for run in runs),
        ).info("an engine ended while it may have run requests")
        if self._records.record(reports):
            self._on_news()
