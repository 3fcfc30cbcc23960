"""Execution of one call: attempts at endpoints until one answers or the error is final."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import (
    DeadlineExceededError,
    EndpointFailedError,
    JayvalveError,
    KeyRequiredError,
    LogUnavailableError,
    MayHaveRunError,
)
from jayvalve.internal.entry.answers import summarize
from jayvalve.internal.entry.call_body import CallBody, request_digest
from jayvalve.internal.entry.call_stream import CallStream
from jayvalve.internal.entry.dispatch import AttemptDispatcher
from jayvalve.internal.entry.endpoints import EndpointDirectory, Target
from jayvalve.internal.entry.journal import Answer, Journal
from jayvalve.internal.entry.key_claims import ClaimGrant, KeyClaims
from jayvalve.internal.entry.request import CallRequest
from jayvalve.internal.event_stream import EventStreamError
from jayvalve.internal.hashing import digest, partition
from jayvalve.internal.limits import RetryPolicy
from jayvalve.internal.membership import Member
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.model_stream import ModelStream
from jayvalve.internal.operator.observer import CallObserver
from jayvalve.internal.programs import Amount, Intent, Term
from jayvalve.internal.routing import Capability, RoutingCall
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import Chunk, Completed, Dispatch, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["CallExecution", "ExecutionContext"]

# Time in which a caller whose connection broke can reconnect with the same request id before
# its repeatable call is cancelled.
ABANDON_GRACE_S = 2.0

_log = logger.bind(part="calls")


# An incarnation is a start time in milliseconds, which fits in 41 bits until the year 2039.
# Shifted left by 20 bits, it stays below 2**63 until the year 2248.
INSTANCE_BITS = 20


class AttemptIds:
    """Generates the attempt ids of one process: a number for the process and a counter.

    Entries that start in the same millisecond have equal incarnations. Their ids must differ,
    because a sidecar answers a known id with the answer it has stored for that id. The number
    of a process therefore contains its incarnation and a hash of its instance name.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self._process_number = incarnation << INSTANCE_BITS | partition(
            instance, 1 << INSTANCE_BITS
        )
        self._counter = itertools.count(1)

    def next(self) -> str:
        """Return an id that no process has used before."""
        return f"{self._process_number}-{next(self._counter)}"


@attrs.frozen
class ExecutionContext:
    """Dependencies shared by all executions of one entry."""

    clock: Clock
    directory: EndpointDirectory
    dispatcher: AttemptDispatcher
    retries: RetryPolicy
    claims: KeyClaims | None
    metrics: Metrics
    attempt_ids: AttemptIds
    observer: CallObserver


class CallExecution:
    """Runs one call of a program and streams its answer.

    Args:
        context: Dependencies shared with the entry's other executions.
        call: The caller's request.
        turn: Number of the turn assigned to the call.
        journal: Records the intents and the turn.
        term: Term under which this entry owns the program.
        stream: Receives the parts of the answer.
        deadline: Deadline of the whole call, including all its attempts.

    Raises:
        KeyRequiredError: the call may not be repeated and has no key.
    """

    def __init__(
        self,
        context: ExecutionContext,
        call: CallRequest,
        turn: int,
        journal: Journal,
        term: Term,
        stream: CallStream,
        deadline: Deadline,
    ) -> None:
        self._context = context
        self._call = call
        self._turn = turn
        self._journal = journal
        self._term = term
        self._stream = stream
        self._deadline = deadline
        self._excluded: set[str] = set()
        self._may_have_run = False
        self._abandoned = False
        self._running_attempt: tuple[Target, str] | None = None
        self._body = CallBody(call, journal)
        self._repeatable = self._is_repeatable()

    @property
    def digest(self) -> str:
        """Checksum of the request, used to recognise a repeated request."""
        return request_digest(self._call)

    async def run(self) -> Answer:
        """Send the answer to the stream and return it once its turn has been recorded."""
        self._context.retries.budget.record_request(self._context.clock.now())
        watcher = asyncio.ensure_future(self._cancel_if_abandoned())
        try:
            return await self._run_attempts()
        finally:
            watcher.cancel()

    async def _run_attempts(self) -> Answer:
        recovered = await self._recover_open_intent()
        if recovered is not None:
            return recovered
        for attempt in itertools.count(1):
            attempt_id = self._context.attempt_ids.next()
            try:
                return await self._attempt(attempt_id)
            except JayvalveError as error:
                await self._retry_or_raise(error, attempt)
        raise AssertionError("unreachable")

    async def _cancel_if_abandoned(self) -> None:
        """Cancel a repeatable call that still has no reader after the grace period."""
        while self._repeatable and not self._stream.ended:
            await self._stream.wait_until_abandoned()
            await asyncio.sleep(ABANDON_GRACE_S)
            if self._stream.readers == 0 and self._running_attempt is not None:
                target, attempt_id = self._running_attempt
                _log.info("cancelling attempt {}: no reader is left", attempt_id)
                self._abandoned = True
                await self._context.dispatcher.cancel(target.sidecar, attempt_id)
                return

    def _is_repeatable(self) -> bool:
        call = self._call
        if call.service is None:
            return True
        endpoint = self._context.directory.service(call.service)
        listed = any(call.path.startswith(path) for path in endpoint.non_repeatable_paths)
        if listed or call.declared_repeatable is False:
            if call.key is None:
                raise KeyRequiredError(
                    f"calls of {call.service}{call.path} may not be repeated and need an "
                    "Idempotency-Key"
                )
            return False
        return True

    async def _retry_or_raise(self, error: JayvalveError, attempt: int) -> None:
        decision = self._context.retries.decide(
            error,
            repeatable=self._repeatable,
            attempt=attempt,
            deadline=self._deadline,
            now=self._context.clock.now(),
        )
        self._may_have_run |= error.verdict is not Verdict.NOT_RUN
        if not decision.retry or self._stream.started or self._abandoned:
            if self._may_have_run and error.verdict is Verdict.NOT_RUN:
                # The last attempt did not run, but an earlier one may have.
                error.verdict = Verdict.MAY_HAVE_RUN
            raise error
        _log.info(
            "attempt {} for program {} failed ({}); retrying",
            attempt,
            self._call.program,
            error.code,
        )
        self._context.metrics.count("jayvalve_retries_total", code=error.code)
        await asyncio.sleep(decision.delay_s)

    async def _attempt(self, attempt_id: str) -> Answer:
        if self._deadline.expired:
            raise DeadlineExceededError("the deadline has passed", verdict=Verdict.NOT_RUN)
        target = self._context.directory.choose(self._routing_call(attempt_id))
        started_s = self._context.clock.now()
        self._stream.record_attempt(self._turn, target.endpoint.name)
        try:
            body, amount = self._body.prepare()
            answer = await self._attempt_at(target, attempt_id, body, amount)
        except JayvalveError as error:
            self._excluded.add(target.view.name)
            self._context.directory.failed(attempt_id, target, error.verdict is not Verdict.NOT_RUN)
            raise
        self._context.directory.completed(attempt_id, target, self._context.clock.now() - started_s)
        return answer

    def _routing_call(self, attempt_id: str) -> RoutingCall:
        call = self._call
        capability = (
            Capability(service=call.service) if call.service else Capability(model=call.model or "")
        )
        return RoutingCall(
            attempt_id,
            call.program,
            capability,
            self._body.prefix(),
            call.rank == "urgent",
            frozenset(self._excluded),
        )

    def _intent_fields(self, attempt_id: str, target: Target) -> dict[str, Any]:
        return {
            "turn": self._turn,
            "request_id": self._call.request_id,
            "attempt_id": attempt_id,
            "endpoint": target.endpoint.name,
            "incarnation": target.sidecar.incarnation,
            "repeatable": self._repeatable,
        }

    async def _attempt_at(
        self, target: Target, attempt_id: str, body: bytes, amount: Amount
    ) -> Answer:
        grant: ClaimGrant | None = None
        try:
            await self._journal.record_intent(self._intent_fields(attempt_id, target), amount)
            if not self._repeatable:
                grant = await self._claim(target, attempt_id)
                if grant.answer is not None:
                    return await self._finish_with_earlier_answer(attempt_id, grant)
            self._running_attempt = target, attempt_id
            dispatch = self._dispatch(target, attempt_id, body, grant)
            parts = self._context.dispatcher.run(target.sidecar, dispatch, self._deadline)
            return await self._consume(target, attempt_id, parts, amount, grant)
        except JayvalveError as error:
            await self._record_failure(attempt_id, amount, error, grant)
            raise

    async def _claim(self, target: Target, attempt_id: str) -> ClaimGrant:
        if self._context.claims is None:
            raise LogUnavailableError(
                "this entry has no log service and cannot run calls that need an Idempotency-Key"
            )
        return await self._context.claims.claim(
            organisation=self._call.organisation,
            key=self._call.key or "",
            body_digest=self.digest,
            attempt_id=attempt_id,
            endpoint=target.endpoint.name,
            sidecar=target.sidecar,
            key_created=self._call.key_created,
            deadline=self._deadline,
        )

    def _dispatch(
        self, target: Target, attempt_id: str, body: bytes, grant: ClaimGrant | None
    ) -> Dispatch:
        call = self._call
        return Dispatch(
            attempt_id=attempt_id,
            program=f"{call.organisation}/{call.program}",
            organisation=call.organisation,
            epoch=self._term.epoch,
            handover=self._term.handover,
            incarnation=target.sidecar.incarnation,
            rank=call.rank,
            attained_tokens=int(self._journal.attained_tokens),
            deadline_ms=int(self._deadline.remaining_s * 1000),
            service=call.service or "",
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=body,
            repeatable=self._repeatable,
            claim_offset=grant.offset if grant is not None else -1,
            stream=call.stream,
        )

    async def _consume(
        self,
        target: Target | None,
        attempt_id: str,
        parts: AsyncIterator[Any],
        amount: Amount,
        grant: ClaimGrant | None,
    ) -> Answer:
        """Forward the answer, replicate the turn, then send the last part.

        The target is None for a recovered attempt.
        """
        try:
            return await self._forward(target, attempt_id, parts, amount, grant)
        except EventStreamError as error:
            raise EndpointFailedError(f"the stream broke off: {error}") from error

    async def _forward(
        self,
        target: Target | None,
        attempt_id: str,
        parts: AsyncIterator[Any],
        amount: Amount,
        grant: ClaimGrant | None,
    ) -> Answer:
        events = ModelStream()
        head = ResponseHead(200, {})
        body: list[bytes] = []
        sent_chunks = 0
        async for part in parts:
            if isinstance(part, ResponseHead):
                head = self._caller_head(part)
                if self._is_stream(head.status):
                    self._stream.send(head)
            elif isinstance(part, Chunk):
                body.append(part.data)
                if self._is_stream(head.status):
                    sent_chunks += self._send_events(events.feed(part.data), sent_chunks)
            elif target is not None:
                self._context.directory.observe_load(target.view.name, part.load)
        if self._is_stream(head.status):
            sent_chunks += self._send_events(events.finish(), sent_chunks)
        raw_body = b"".join(body)
        answer = Answer(head.status, head.headers, self._body.visible(raw_body))
        await self._end_turn(attempt_id, answer, amount, grant, raw_body)
        self._send_rest(answer, events, sent_chunks)
        return answer

    def _is_stream(self, status: int) -> bool:
        """Return whether an answer with this status is a stream of events."""
        return self._call.stream and _is_success(status)

    def _send_events(self, events: bytes, sent_chunks: int) -> int:
        """Send complete events, if any, as one chunk and return the number of chunks sent."""
        ready = self._body.visible(events)
        if not ready:
            return 0
        self._stream.send(Chunk(sent_chunks, ready))
        return 1

    def _send_rest(self, answer: Answer, events: ModelStream, sent_chunks: int) -> None:
        rest = answer.body
        if self._stream.started:
            rest = events.done_event
        else:
            self._stream.send(ResponseHead(answer.status, answer.headers))
        if rest:
            self._stream.send(Chunk(sent_chunks, rest))
            sent_chunks += 1
        self._stream.send(
            Completed(answer.status, str(answer.verdict), sent_chunks, digest(answer.body))
        )

    def _caller_head(self, part: ResponseHead) -> ResponseHead:
        headers = {
            name: value
            for name, value in part.headers.items()
            if name.lower() not in ("content-length", "transfer-encoding", "server", "date")
        }
        headers["Jayvalve-Verdict"] = str(Verdict.RAN)
        headers["Jayvalve-Program"] = self._call.program
        headers["Jayvalve-Turn"] = str(self._turn)
        return ResponseHead(part.status, headers)

    async def _end_turn(
        self,
        attempt_id: str,
        answer: Answer,
        amount: Amount,
        grant: ClaimGrant | None,
        raw_body: bytes,
    ) -> None:
        used, messages = Amount(calls=1), None
        if self._call.model is not None and _is_success(answer.status):
            summary = summarize(raw_body, self._call.stream)
            # If the engine reports no usage, the whole reservation is charged.
            used = Amount(summary.total_tokens or amount.tokens, 1)
            if summary.message is not None:
                messages = [*self._body.messages, summary.message]
        if grant is not None and self._context.claims is not None:
            self._context.claims.report(grant, answer.status, answer.headers, answer.body)
        await self._replicate_turn(attempt_id, used, answer, messages)

    async def _replicate_turn(
        self, attempt_id: str, used: Amount, answer: Answer, messages: list[Any] | None
    ) -> None:
        try:
            await self._journal.end_turn(attempt_id, used, answer, self.digest, messages)
        except JayvalveError as error:
            # The call ran, so an error with the verdict not_run must not reach the caller.
            raise MayHaveRunError(f"the turn could not be replicated: {error.message}") from error

    async def _finish_with_earlier_answer(self, attempt_id: str, grant: ClaimGrant) -> Answer:
        """Record the turn with the answer of an earlier attempt, send the answer and return it."""
        status, headers, body = grant.answer or (0, {}, b"")
        head = self._caller_head(ResponseHead(status, headers))
        answer = Answer(status, head.headers, body)
        await self._replicate_turn(attempt_id, Amount(), answer, None)
        self._send_rest(answer, ModelStream(), 0)
        return answer

    async def _record_failure(
        self, attempt_id: str, amount: Amount, error: JayvalveError, grant: ClaimGrant | None
    ) -> None:
        not_run = error.verdict is Verdict.NOT_RUN
        try:
            if grant is not None and not_run and self._context.claims is not None:
                await self._context.claims.report_not_run(grant, self._deadline)
            await self._journal.end_attempt(attempt_id, Amount() if not_run else amount)
        except JayvalveError as recording_error:
            # The intent stays open and its amount counts as spent until the next owner or attempt
            # settles it.
            _log.warning(
                "end of attempt {} was not recorded: {}", attempt_id, recording_error.message
            )

    async def _recover_open_intent(self) -> Answer | None:
        """Resume the attempt that an earlier owner left open and return its answer.

        Return None if there is no such attempt, or after settling one whose answer is not
        available, so that the turn can continue.
        """
        intent = self._journal.open_intent(self._turn)
        if intent is None:
            return None
        sidecar = self._context.directory.sidecar(intent.endpoint, intent.incarnation)
        if sidecar is None:
            await self._journal.end_attempt(intent.attempt_id, intent.reservation.amount)
            return None
        if intent.request_id != self._call.request_id:
            await self._context.dispatcher.cancel(sidecar, intent.attempt_id)
            await self._journal.end_attempt(intent.attempt_id, intent.reservation.amount)
            return None
        return await self._recover(sidecar, intent)

    async def _recover(self, sidecar: Member, intent: Intent) -> Answer | None:
        amount = intent.reservation.amount
        parts = self._context.dispatcher.recover(sidecar, intent.attempt_id, self._deadline)
        try:
            return await self._consume(None, intent.attempt_id, parts, amount, None)
        except JayvalveError as error:
            await self._record_failure(intent.attempt_id, amount, error, None)
            if self._stream.started or isinstance(error, MayHaveRunError):
                raise
            return None


def _is_success(status: int) -> bool:
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
