"""Serves the calls of callers: plain calls, streams, and turns with a budget and a history."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from jayvalve.errors import (
    DeadlineExceededError,
    DeadlineUnreachableError,
    DrainingError,
    EndpointFailedError,
    InternalError,
    InvalidHeaderError,
    JayvalveError,
    MemoryLimitError,
    NoConfigurationError,
    RouteUnknownError,
    TurnUnknownError,
    UnauthorizedError,
    UnavailableError,
)
from jayvalve.internal.body_checks import EVENT_STREAM, body_check, media_type
from jayvalve.internal.gateway.budgets import TurnBudgets, TurnGrant
from jayvalve.internal.gateway.buffers import AnswerBuffers, HistoryShare
from jayvalve.internal.gateway.calls import (
    Call,
    CallerRequest,
    HeaderCodec,
    Responder,
    reason_phrase,
)
from jayvalve.internal.gateway.decisions import DecisionLog
from jayvalve.internal.gateway.engine_answer import EngineAnswer
from jayvalve.internal.gateway.error_answer import error_answer
from jayvalve.internal.gateway.event_relay import LAST_EVENT_ID, BrokenStreamError, EventRelay
from jayvalve.internal.gateway.http_client import BrokenConnectionError
from jayvalve.internal.gateway.identification import identify_organisation
from jayvalve.internal.gateway.model import RequestInfo, Route, RouteKind, RoutingTable
from jayvalve.internal.gateway.quotas import OrganisationQuotas
from jayvalve.internal.gateway.request_progress import RequestProgress
from jayvalve.internal.gateway.sender import EngineSender
from jayvalve.internal.gateway.stop_window import CallsEndedError, StopSettings, StopWindow
from jayvalve.internal.gateway.turns import Turn, TurnStore, UnknownTurnError
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.organisations import KeyTable, plain_id
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["GatewayService"]

# A plain answer up to this size is buffered until it is complete, so that the call can be retried
# if the answer breaks off.
MAX_BUFFERED_BYTES = 1024 * 1024
# Part of the time limit that is reserved for sending the answer to the caller, in seconds.
ANSWER_MARGIN_S = 0.02
# Time after which a request that has not been sent needs another admission, in seconds.
MAX_ADMISSION_AGE_S = 0.35
# Maximum number of times that a broken stream is resumed.
MAX_RESUMPTIONS = 2


class GatewayService:
    """Serves the requests of callers.

    Args:
        log_context: Returns additional fields for each request's log line: the gateway's current
            view of the engines, the store and the other gateways.
        buffers: Memory for answers that are not complete yet.

    """

    def __init__(
        self,
        sender: EngineSender,
        budgets: TurnBudgets,
        turns: TurnStore,
        codec: HeaderCodec,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        log: DecisionLog,
        log_context: Callable[[], dict[str, Any]],
        buffers: AnswerBuffers,
        quotas: OrganisationQuotas,
    ) -> None:
        self._quotas = quotas
        self._buffers = buffers
        self._sender = sender
        self._budgets = budgets
        self._turns = turns
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._log_context = log_context
        self._table: RoutingTable | None = None
        self._running = 0
        self._stop_window = StopWindow(clock, StopSettings())

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force, or None before the first one."""
        return self._table

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return self._running

    def apply_table(self, table: RoutingTable) -> bool:
        """Apply a configuration newer than the current one; return whether it was applied."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._quotas.apply(table.version, table.keys.organisations if table.keys else ())
        self._log.write("configuration", version=table.version, routes=len(table.routes))
        return True

    def begin_stop(self, seconds: float) -> None:
        """End all calls within a time, and refuse those that might not be finished by then."""
        self._stop_window.begin(seconds)

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request and log its outcome; cancelled when the caller disconnects."""
        progress = RequestProgress()
        self._running += 1
        try:
            await self._stop_window.run(self._serve(request, responder, progress))
        except JayvalveError as error:
            self._answer_error(responder, error, progress)
        except CallsEndedError as error:
            self._answer_error(responder, _stopped_error(progress, error), progress)
        except asyncio.CancelledError:
            progress.outcome = "caller left"
            raise
        except Exception as error:
            self._answer_error(responder, InternalError(repr(error)), progress)
            raise
        finally:
            self._running -= 1
            if progress.admission is not None and not progress.history.any_may_have_run:
                program = progress.info.program if progress.info else None
                self._quotas.give_back(progress.admission, program)
            self._record(request, progress)

    async def _serve(
        self, request: CallerRequest, responder: Responder, progress: RequestProgress
    ) -> None:
        table = self._table
        if table is None:
            raise NoConfigurationError("the configuration is not known yet")
        progress.version = table.version
        host = request.headers.get("Host", "").partition(":")[0].lower()
        route = table.match(host, request.target.partition("?")[0])
        if route is None:
            raise RouteUnknownError(f"no route of version {table.version} leads to the path")
        progress.route = route
        keyed = table.keys is not None
        if keyed:
            request = self._identify(table.keys, request, route, progress)
        info = progress.info = self._codec.decode_request(request.headers)
        service = table.services.get(route.choose_service(self._rng))
        if service is None:
            raise NoConfigurationError("the route's service is not configured")
        call = Call(
            request=request,
            info=info,
            route=route,
            service=service,
            deadline=self._deadline(request, info, route),
            body=request.body,
            organisation=progress.organisation,
            anonymous=keyed and progress.organisation is None,
        )
        self._stop_window.admit(call.deadline)
        if call.deadline.expired:
            raise DeadlineUnreachableError("the time limit has already passed")
        await self._admit(call, progress)
        if route.kind is RouteKind.STREAMING:
            await self._serve_stream(call, responder, progress)
        else:
            await self._serve_plain(call, responder, progress)

    async def _admit(self, call: Call, progress: RequestProgress) -> None:
        # An earlier admission counts as used.
        progress.admission = None
        if call.organisation is not None:
            progress.admission = await self._quotas.admit(
                call.organisation, call.info.program, call.deadline
            )

    def _identify(
        self, keys: KeyTable, request: CallerRequest, route: Route, progress: RequestProgress
    ) -> CallerRequest:
        """Record the organisation of a request, and return the request without its key.

        Raises:
            UnauthorizedError: The request needs a key and carries no known one.

        """
        headers = self._codec.without_credentials(request.headers)
        try:
            progress.organisation = identify_organisation(
                keys, route, self._codec.credentials(request.headers)
            )
        except UnauthorizedError:
            self._metrics.count("jayvalve_gateway_unauthorized_total")
            with contextlib.suppress(InvalidHeaderError):
                progress.info = self._codec.decode_request(headers)
            raise
        return attrs.evolve(request, headers=headers)

    def _deadline(self, request: CallerRequest, info: RequestInfo, route: Route) -> Deadline:
        limit_s = route.timeout_s
        if info.deadline_s is not None:
            limit_s = min(limit_s, info.deadline_s)
        return Deadline(self._clock, request.received_s + limit_s - ANSWER_MARGIN_S)

    async def _serve_plain(
        self, call: Call, responder: Responder, progress: RequestProgress
    ) -> None:
        history = progress.history
        while True:
            answer = await self._sender.open(call, history)
            received = False
            try:
                async with asyncio.timeout(call.deadline.remaining_s):
                    await self._relay(answer, responder)
                received = True
                progress.status, progress.outcome = answer.head.status, "answered"
                return
            except BrokenConnectionError as error:
                history.may_have_run.add(answer.view.key)
                self._sender.record_broken(answer)
                exhausted = len(history.may_have_run) >= call.route.max_attempts
                if responder.started or not call.route.repeatable or exhausted:
                    raise EndpointFailedError(f"the answer broke off: {error}") from error
            except TimeoutError as error:
                raise DeadlineExceededError(
                    "the answer was not complete within the time limit"
                ) from error
            finally:
                self._sender.close(answer, received)

    async def _relay(self, answer: EngineAnswer, responder: Responder) -> None:
        """Relay an answer; one that fits into the buffers is sent only when it is complete."""
        head = answer.head
        headers = self._codec.response_headers(head.headers)
        buffer = bytearray()
        check = body_check(head.headers, head.framing, self._codec.event_fields)
        with self._buffers.open() as share:
            async for chunk in answer.exchange.chunks():
                check.receive(chunk)
                if responder.started:
                    if not share.resize(check.held_bytes):
                        raise BrokenConnectionError("the answers in progress hold too much memory")
                    await responder.write(chunk)
                    continue
                buffer += chunk
                held = len(buffer) + check.held_bytes
                if len(buffer) > MAX_BUFFERED_BYTES or not share.resize(held):
                    responder.start(head.status, head.reason, headers, head.framing)
                    await responder.write(bytes(buffer))
                    buffer.clear()
        await self._sender.judge_end(answer, check.finish())
        if not responder.started:
            if head.framing is Framing.NO_BODY:
                if "Content-Length" in head.headers:
                    # It describes the body that the answer stands for.
                    headers["Content-Length"] = head.headers["Content-Length"]
            elif head.framing.shows_end:
                headers["Content-Length"] = str(len(buffer))
            responder.start(head.status, head.reason, headers, head.framing)
            if buffer:
                await responder.write(bytes(buffer))
        responder.finish()

    async def _serve_stream(
        self, call: Call, responder: Responder, progress: RequestProgress
    ) -> None:
        started_s = self._clock.now()
        with self._buffers.open_history() as history:
            call = await self._with_history(call, history)
            grant = await self._reserve(call)
            progress.store_s = self._clock.now() - started_s
            progress.budget = grant.source if grant is not None else None
            try:
                if progress.store_s > MAX_ADMISSION_AGE_S:
                    # The quota bounds when requests reach engines, and those that have waited for
                    # the store would reach them together.
                    await self._admit(call, progress)
                await self._relay_stream(call, responder, progress)
            finally:
                if grant is not None:
                    model = call.service.model
                    tokens = progress.events * (model.chunk_tokens if model else 1)
                    self._budgets.settle(grant, tokens)

    async def _with_history(self, call: Call, history: HistoryShare) -> Call:
        """Return a call with its preceding turns; reserve what these and storing its turn take.

        Raises:
            MemoryLimitError: There is no room.
            TurnUnknownError: One of the preceding turns is not kept.

        """
        if not call.route.retained:
            return call
        size = len(call.request.body)
        # After the engine has run the turn, a refusal would lose it.
        own_bytes = self._turns.append_bytes(size)

        def reserve(other_bytes: int) -> None:
            if not history.resize(own_bytes + other_bytes):
                raise MemoryLimitError("the gateway has no memory for this turn now")

        reserve(0)
        if call.info.previous_turn is None:
            return call
        # The input becomes part of the joined body.
        own_bytes += size
        try:
            previous = call.scoped(call.info.previous_turn)
            chain = await self._turns.chain(previous, call.deadline, reserve)
        except UnknownTurnError as error:
            raise TurnUnknownError(f"turn {plain_id(str(error))} is not kept") from error
        parts = [part for turn in chain for part in (turn.input, turn.output)]
        return attrs.evolve(call, body=b"".join([*parts, call.request.body]))

    async def _reserve(self, call: Call) -> TurnGrant | None:
        info = call.info
        if info.program is None or info.token_budget is None:
            return None
        return await self._budgets.reserve(
            call.scoped(info.program),
            call.scoped(info.attempt_id),
            info.max_output_tokens,
            info.token_budget,
            call.deadline,
        )

    async def _relay_stream(
        self, call: Call, responder: Responder, progress: RequestProgress
    ) -> None:
        """Relay a stream; if a resumable one breaks off, resume it."""
        with self._buffers.open() as share:
            relay = EventRelay.from_call(call, responder, share, self._codec.event_fields)
            try:
                await self._relay_attempts(call, responder, progress, relay)
            finally:
                progress.events = relay.events

    async def _relay_attempts(
        self, call: Call, responder: Responder, progress: RequestProgress, relay: EventRelay
    ) -> None:
        resumptions = 0
        while True:
            last_id = relay.last_id
            extra_headers = ((LAST_EVENT_ID, last_id),) if last_id is not None else ()
            answer = await self._sender.open(call, progress.history, extra_headers)
            received = False
            try:
                async with asyncio.timeout(call.deadline.remaining_s):
                    if not HTTPStatus.OK <= answer.head.status < HTTPStatus.MULTIPLE_CHOICES:
                        await self._relay_failure(answer, responder, progress)
                        # The exchange is complete; close() records the status in the engine's
                        # health.
                        received = True
                        return
                    self._start_stream(answer, responder)
                    await self._sender.judge_end(answer, await relay.run(answer))
                    self._check_framing(answer, responder)
                    received = True
                    if call.route.retained:
                        await self._save_turn(call, relay.output)
                    responder.finish()
                    progress.status, progress.outcome = answer.head.status, "answered"
                    return
            except (BrokenStreamError, BrokenConnectionError) as error:
                resumptions += 1
                resumable = call.route.resumable and relay.can_resume
                if not resumable or resumptions > MAX_RESUMPTIONS:
                    self._sender.record_broken(answer)
                    raise EndpointFailedError(f"the stream broke off: {error}") from error
                await self._sender.record_broken_stream(answer, progress.history)
            except TimeoutError as error:
                raise DeadlineExceededError(
                    "the stream was not complete within the time limit"
                ) from error
            finally:
                self._sender.close(answer, received)

    def _start_stream(self, answer: EngineAnswer, responder: Responder) -> None:
        head = answer.head
        if not responder.started:
            headers = self._codec.response_headers(head.headers)
            responder.start(head.status, head.reason, headers, head.framing)
        elif head.framing is Framing.NO_BODY or media_type(head.headers) not in ("", EVENT_STREAM):
            raise BrokenStreamError(f"the resumption is no stream: {media_type(head.headers)!r}")

    @staticmethod
    def _check_framing(answer: EngineAnswer, responder: Responder) -> None:
        """Check that the end of a resumed answer shows no more than the end of its last part.

        Raises:
            BrokenStreamError: The last engine has not shown the end that the caller expects.

        """
        framing = responder.framing
        if framing is not None and framing.shows_end and not answer.head.framing.shows_end:
            raise BrokenStreamError("the last part has no length, and the first one had an end")

    async def _relay_failure(
        self, answer: EngineAnswer, responder: Responder, progress: RequestProgress
    ) -> None:
        if responder.started:
            raise EndpointFailedError(
                f"resuming the stream failed with status {answer.head.status}"
            )
        try:
            await self._relay(answer, responder)
        except BrokenConnectionError as error:
            raise EndpointFailedError(f"the answer broke off: {error}") from error
        progress.status, progress.outcome = answer.head.status, "answered"

    async def _save_turn(self, call: Call, output: bytes) -> None:
        previous = call.info.previous_turn
        turn = Turn(
            call.scoped(call.info.attempt_id),
            call.request.body,
            output,
            None if previous is None else call.scoped(previous),
        )
        try:
            await self._turns.save(turn, call.deadline)
        except UnavailableError as error:
            raise EndpointFailedError(f"the turn could not be kept: {error}") from error

    def _answer_error(
        self, responder: Responder, error: JayvalveError, progress: RequestProgress
    ) -> None:
        progress.error, progress.detail = error.code, error.message
        if responder.started:
            progress.outcome = "broken off"
            responder.abort()
            return
        progress.status = int(error.status)
        progress.outcome = "refused" if error.verdict.repeatable else "failed"
        headers, body = error_answer(error)
        responder.start(progress.status, reason_phrase(progress.status), headers)
        responder.write_nowait(body)
        responder.finish()

    def _record(self, request: CallerRequest, progress: RequestProgress) -> None:
        elapsed_s = self._clock.now() - request.received_s
        kind = str(progress.route.kind) if progress.route else "none"
        self._metrics.count("jayvalve_gateway_requests_total", kind=kind, outcome=progress.outcome)
        self._metrics.observe("jayvalve_gateway_request_seconds", elapsed_s, kind=kind)
        for attempt in progress.history.attempts:
            if attempt.end is not None:
                self._metrics.count(
                    "jayvalve_gateway_answer_ends_total",
                    end=str(attempt.end.state),
                    reason=attempt.end.reason,
                )
        info = progress.info
        self._log.write(
            "request",
            id=info.attempt_id if info else None,
            program=info.program if info else None,
            previous=info.previous_turn if info else None,
            resumes=info.resumed_attempt if info else None,
            route=progress.route.name if progress.route else None,
            organisation=progress.organisation.name if progress.organisation else None,
            path=None if progress.route else request.target[:80],
            status=progress.status,
            outcome=progress.outcome,
            error=progress.error,
            detail=progress.detail,
            ms=round(elapsed_s * 1000, 1),
            limit_ms=round(info.deadline_s * 1000) if info and info.deadline_s else None,
            store_ms=round(progress.store_s * 1000, 1),
            budget=progress.budget,
            quota=progress.admission.mode if progress.admission else None,
            events=progress.events,
            attempts=[attempt.as_document() for attempt in progress.history.attempts],
            configuration=progress.version,
            **self._log_context(),
        )


def _stopped_error(progress: RequestProgress, error: CallsEndedError) -> JayvalveError:
    if progress.history.attempts:
        return DeadlineExceededError(str(error))
    return DrainingError(str(error), retry_after_s=0.0)
