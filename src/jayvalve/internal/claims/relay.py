"""Relays claims and outcomes of one partition to the log."""

import asyncio
import random

import attrs
from loguru import logger

from jayvalve.errors import KeyExpiredError, LogUnavailableError, OverloadedError
from jayvalve.internal.claims.records import (
    Claim,
    Outcome,
    Settled,
    parse_batch,
    stream_name,
)
from jayvalve.internal.claims.table import ClaimTable
from jayvalve.internal.log import Appender, LogClient, LogFollower, LogRecord
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import ClaimDecision, ClaimRequest, KeyQuery, OutcomeReport
from jayvalve.verdict import Verdict

__all__ = ["ClaimRelay", "WaitingLimit"]

MAX_WAITING_REQUESTS = 1024
# The log drops records by its own clock. The margin covers clock differences and the time
# between the check of the key's age and the append of its claim.
EXPIRY_MARGIN_S = 3600.0

_log = logger.bind(part="claims")


class WaitingLimit:
    """Context manager that limits how many requests of one kind wait for the log."""

    def __init__(self, maximum: int = MAX_WAITING_REQUESTS) -> None:
        self._maximum = maximum
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Number of requests that are waiting now."""
        return self._waiting

    def __enter__(self) -> None:
        if self._waiting >= self._maximum:
            raise LogUnavailableError(f"{self._waiting} requests are already waiting for the log")
        self._waiting += 1

    def __exit__(self, *exception: object) -> None:
        self._waiting -= 1


class ClaimRelay:
    """Decides the claims of one partition, each after reading its record back from the stream.

    Two relays may safely serve the same partition, for example during a membership change,
    because both decide by the order of the records in the log. A relay that lags behind only
    decides later.
    """

    def __init__(
        self,
        log: LogClient,
        number: int,
        retention_s: float,
        *,
        clock: Clock | None = None,
        claims_limit: WaitingLimit | None = None,
        outcomes_limit: WaitingLimit | None = None,
        table: ClaimTable | None = None,
        rng: random.Random | None = None,
        poll_s: float = 1.0,
    ) -> None:
        self._log = log
        self._stream = stream_name(number)
        self._retention_s = retention_s
        self._clock = clock or Clock()
        self._claims_limit = claims_limit or WaitingLimit()
        self._outcomes_limit = outcomes_limit or WaitingLimit()
        self._table = table if table is not None else ClaimTable(retention_s)
        self._follower = LogFollower(log, self._stream, self._apply, rng=rng, poll_s=poll_s)
        self._appender = Appender(log, self._stream, clock=self._clock, rng=rng)
        self._waiters: dict[tuple[str, str], list[asyncio.Future[None]]] = {}

    def __repr__(self) -> str:
        return f"ClaimRelay({self._stream!r}, {self._follower!r})"

    @property
    def table(self) -> ClaimTable:
        """State of the keys in the partition; read only."""
        return self._table

    @property
    def caught_up(self) -> bool:
        """Whether the retained stream has been read to its end at least once."""
        return self._follower.caught_up

    async def run(self) -> None:
        """Follow the stream and append submitted items until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._appender.run())

    async def claim(self, request: ClaimRequest, deadline: Deadline) -> ClaimDecision:
        """Claim a key and return the decision.

        The requester may dispatch only if the state is granted. After an error it must not
        dispatch, so every error has the verdict not_run. The claim may still reach the log
        after an error; a later request with the same claim id finds it.

        Raises:
            KeyExpiredError: the key is so old that the log may have dropped some of its claims.
            KeyReusedError: the key belongs to a request with a different body.
            LogUnavailableError: no decision was read from the log before the deadline, or too
                many claims are waiting for the log.
            OverloadedError: the partition has its maximum number of keys.

        """
        self._check_key_age(request)
        with self._claims_limit:
            await self._wait_caught_up(deadline)
            if not self._is_decided(request):
                item = Claim.from_request(request)
                await self._append_and_read("claim", item.claim_id, item.as_item(), deadline)
        self._table.check_body(request.organisation, request.key, request.body_digest)
        decision = await self._read_decision(request.organisation, request.key, request.claim_id)
        holder = (decision.attempt_id, decision.endpoint, decision.incarnation)
        if decision.state == "granted" and holder != (
            request.attempt_id,
            request.endpoint,
            request.incarnation,
        ):
            # The claim id was granted to another attempt, and only that attempt may dispatch.
            return attrs.evolve(decision, state="held")
        return decision

    async def report_outcome(self, report: OutcomeReport, deadline: Deadline) -> ClaimDecision:
        """Record an outcome and return the resulting state of the key.

        Raises:
            LogUnavailableError: the outcome was not read back from the log before the deadline,
                or too many outcomes are waiting for the log. Reporting it again is safe, because
                a repeated outcome has no effect.

        """
        with self._outcomes_limit:
            await self._wait_caught_up(deadline)
            item = Outcome.from_report(report)
            if not self._is_outcome_recorded(item):
                _, item_id = _kind_and_id(item)
                await self._append_and_read("outcome", item_id, item.as_item(), deadline)
        return self._table.decision(report.organisation, report.key, report.claim_id)

    async def settle(self, settlement: Settled, deadline: Deadline) -> ClaimDecision:
        """Record an operator's decision and return the resulting state of the key.

        Raises:
            LogUnavailableError: the decision was not read back from the log before the deadline.

        """
        await self._wait_caught_up(deadline)
        await self._append_and_read("settled", settlement.settle_id, settlement.as_item(), deadline)
        return self._table.decision(settlement.organisation, settlement.key)

    async def query(self, query: KeyQuery, deadline: Deadline) -> ClaimDecision:
        """Return the state of a key as of the last record read from the stream.

        Raises:
            LogUnavailableError: the stream could not be read to its end before the deadline.

        """
        await self._wait_caught_up(deadline)
        return await self._read_decision(query.organisation, query.key)

    def _check_key_age(self, request: ClaimRequest) -> None:
        if request.key_created <= 0.0:
            return
        age_s = self._clock.wall() - request.key_created
        if age_s > self._retention_s - EXPIRY_MARGIN_S:
            raise KeyExpiredError(
                f"key {request.key!r} was created {age_s:.0f} s ago, which is after or too close "
                f"to the end of the retention time of {self._retention_s:.0f} s"
            )

    def _is_decided(self, request: ClaimRequest) -> bool:
        """Return whether the records read so far already decide the request.

        Raises:
            OverloadedError: the key is new and the partition has its maximum number of keys.

        """
        state = self._table.get(request.organisation, request.key)
        if state is None and self._table.full:
            raise OverloadedError(
                f"{self._stream} already has the maximum of {len(self._table)} keys"
            )
        if state is None:
            return False
        next_attempt_number = state.claim.attempt_number + 1
        return (
            state.claim.body_digest != request.body_digest
            or state.verdict != Verdict.NOT_RUN
            or request.attempt_number != next_attempt_number
        )

    def _is_outcome_recorded(self, outcome: Outcome) -> bool:
        state = self._table.get(outcome.organisation, outcome.key)
        return (
            state is not None
            and state.claim.claim_id == outcome.claim_id
            and state.verdict in (outcome.verdict, Verdict.RAN, Verdict.NOT_RUN)
        )

    async def _wait_caught_up(self, deadline: Deadline) -> None:
        try:
            await self._follower.wait_caught_up(deadline.remaining_s)
        except TimeoutError:
            raise LogUnavailableError(
                f"{self._stream} could not be read to its end before the deadline"
            ) from None

    async def _append_and_read(
        self, kind: str, item_id: str, item: list, deadline: Deadline
    ) -> None:
        """Append an item and wait until the follower has applied a record with its id."""
        applied = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault((kind, item_id), [])
        waiters.append(applied)
        appended = self._appender.submit(item, deadline)
        appended.add_done_callback(_retrieve_exception)
        try:
            await asyncio.wait_for(applied, deadline.remaining_s)
        except TimeoutError:
            raise LogUnavailableError(
                f"{kind} was not read back from {self._stream} before the deadline"
            ) from None
        finally:
            # The append may still be pending: the record may have been read back although the
            # answer to the append was lost.
            appended.cancel()
            waiters.remove(applied)
            if not waiters:
                self._waiters.pop((kind, item_id), None)

    def _apply(self, record: LogRecord) -> None:
        for result in self._table.apply(record):
            kind, item_id = _kind_and_id(result.item)
            if result.reason:
                _log.debug("{} {} had no effect: {}", kind, item_id, result.reason)
            for waiter in self._waiters.get((kind, item_id), ()):
                if not waiter.done():
                    waiter.set_result(None)

    async def _read_decision(
        self, organisation: str, key: str, claim_id: str = ""
    ) -> ClaimDecision:
        """Return the decision for a key, reading a dropped body from the log again."""
        decision = self._table.decision(organisation, key, claim_id)
        state = self._table.get(organisation, key)
        if state is None or not state.body_dropped:
            return decision
        try:
            page = await self._log.read(self._stream, state.outcome_offset, 1, 0.0)
        except LogUnavailableError as error:
            _log.warning(
                "the body of an outcome could not be read again from the log: {}", error.message
            )
            return decision
        for item in (item for record in page.records for item in parse_batch(record.data)):
            if isinstance(item, Outcome) and item.claim_id == decision.claim_id and item.body:
                return attrs.evolve(decision, headers=dict(item.headers), body=item.body)
        return decision


def _kind_and_id(item: Claim | Outcome | Settled) -> tuple[str, str]:
    if isinstance(item, Claim):
        return "claim", item.claim_id
    if isinstance(item, Outcome):
        # A claim may have two outcomes: first may_have_run and later ran.
        return "outcome", f"{item.claim_id} {item.verdict}"
    return "settled", item.settle_id


def _retrieve_exception(future: asyncio.Future) -> None:
    """Retrieve the exception of an append, so that asyncio does not log it as never retrieved."""
    if not future.cancelled():
        future.exception()
