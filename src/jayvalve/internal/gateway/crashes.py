"""Detection of engines that end while they run requests, shared between the gateways."""

import asyncio
from collections.abc import Callable
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
from jayvalve.internal.gateway.http_client import HttpPool
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.trials import RequestTrials
from jayvalve.internal.hashing import digest
from jayvalve.internal.timing import Clock

__all__ = ["CRASH_NOTICES", "CrashDetector", "fingerprint_of"]

CRASH_NOTICES = "crashes"

_log = logger.bind(part="crashes")


def fingerprint_of(request: CallerRequest, program: str | None) -> str:
    """Return a checksum that is equal for the same request at any gateway.

    Two callers' requests with the same path and body are the same request to an engine. Without a
    body, requests of different programs differ in what they ask for only by their program.
    """
    parts = [request.method, request.headers.get("Host", ""), request.target]
    if not request.body:
        parts.append(program or "")
    return digest("\n".join(parts).encode() + b"\n" + request.body)


@attrs.frozen
class _Run:
    """Run of a request that broke off at a time."""

    broke_s: float
    run_s: float
    on_trial: bool


def _add_run(runs: dict[str, _Run], fingerprint: str, run: _Run) -> None:
    known = runs.get(fingerprint)
    if known is None or (run.on_trial and not known.on_trial):
        runs[fingerprint] = run


class CrashDetector:
    """Finds out whether an engine has ended under the requests that broke off there.

    A connection also breaks in a network fault. An engine counts as ended only if it then refuses
    connections, or if its next incarnation appears soon after.

    Args:
        pool: Checks whether an engine accepts connections.
        trials: Trials of suspected requests; one ends only when its engine was checked.
        on_news: Called when the other gateways should be told.

    """

    # Engines write their entries about once a second, and gateways read them twice a second.
    RESTART_VISIBLE_S = 5.0

    def __init__(
        self,
        records: CrashRecords,
        pool: HttpPool,
        trials: RequestTrials,
        clock: Clock,
        on_news: Callable[[], None],
    ) -> None:
        self._trials = trials
        self._clock = clock
        self._records = records
        self._pool = pool
        self._on_news = on_news
        # Runs at engines that are being checked.
        self._broken: dict[EngineKey, dict[str, _Run]] = {}
        # Runs at engines that accepted connections again, with the time of the check.
        self._unconfirmed: dict[EngineKey, tuple[float, dict[str, _Run]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_broken(
        self,
        engine: EngineKey,
        address: tuple[str, int],
        fingerprint: str,
        on_trial: bool = False,
        run_s: float = 0.0,
    ) -> None:
        """Check the engine at which a request broke off, and record its end if it has ended.

        Args:
            engine: The engine.
            address: IP address and port of the engine.
            fingerprint: The request.
            on_trial: Whether the request ran there on trial.
            run_s: Time from the start of the attempt until it broke off, in seconds.

        """
        run = _Run(self._clock.now(), run_s, on_trial)
        pending = self._broken.get(engine)
        if pending is not None:
            _add_run(pending, fingerprint, run)
            return
        self._broken[engine] = {fingerprint: run}
        task = asyncio.ensure_future(self._check(engine, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_complete(self, fingerprint: str) -> None:
        """Clear a request that an engine has completed."""
        if self._records.ends(fingerprint) and self._records.record(
            [CrashReport(fingerprint, None, 0.0)]
        ):
            self._on_news()

    def items(self) -> list[Any]:
        """Return the records for a notice to the other gateways."""
        return [encode_crash(report) for report in self._records.report()]

    def receive(self, items: list[Any]) -> None:
        """Record what another gateway has found."""
        self._records.record([decode_crash(fields) for fields in items])

    async def _check(self, engine: EngineKey, address: tuple[str, int]) -> None:
        try:
            ended = await self._pool.refuses_connections(address)
        finally:
            runs = self._broken.pop(engine)
        if ended:
            self._record_end(engine, runs)
        else:
            self._await_restart(engine, runs)
        for fingerprint in runs:
            self._trials.end(fingerprint)

    def end_trial(self, fingerprint: str) -> None:
        """End the trial of a request whose attempt is over, after the check of its engine."""
        if not any(fingerprint in names for names in self._broken.values()):
            self._trials.end(fingerprint)

    def _await_restart(self, engine: EngineKey, runs: dict[str, _Run]) -> None:
        now = self._clock.now()
        self._unconfirmed = {
            key: (at_s, earlier)
            for key, (at_s, earlier) in self._unconfirmed.items()
            if now - at_s <= self.RESTART_VISIBLE_S
        }
        _, all_runs = self._unconfirmed.get(engine, (now, {}))
        for fingerprint, run in runs.items():
            _add_run(all_runs, fingerprint, run)
        self._unconfirmed[engine] = now, all_runs

    def record_restart(self, engine: EngineKey) -> None:
        """Record the end of an engine whose next incarnation has appeared."""
        at_s, runs = self._unconfirmed.pop(engine, (0.0, {}))
        if runs and self._clock.now() - at_s <= self.RESTART_VISIBLE_S:
            self._record_end(engine, runs)

    def _record_end(self, engine: EngineKey, runs: dict[str, _Run]) -> None:
        _log.bind(engine=engine.id, requests=len(runs)).info(
            "an engine ended while it ran requests"
        )
        now = self._clock.now()
        reports = [
            CrashReport(fingerprint, engine, now - run.broke_s, run.on_trial, run.run_s)
            for fingerprint, run in runs.items()
        ]
        if self._records.record(reports):
            self._on_news()
