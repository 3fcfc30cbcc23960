"""Serves the requests of callers: finds the route, admits the call, and logs the outcome."""

import asyncio
import contextlib
import random
from collections.abc import Callable
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
    NoConfigurationError,
    RouteUnknownError,
    UnauthorizedError,
)
from jayvalve.internal.gateway.answer_relay import AnswerRelay
from jayvalve.internal.gateway.budgets import TurnBudgets
from jayvalve.internal.gateway.buffers import AnswerBuffers
from jayvalve.internal.gateway.calls import (
    Call,
    CallerRequest,
    HeaderCodec,
    Responder,
    reason_phrase,
)
from jayvalve.internal.gateway.decisions import DecisionLog
from jayvalve.internal.gateway.error_answer import error_answer
from jayvalve.internal.gateway.http_client import BrokenConnectionError
from jayvalve.internal.gateway.identification import identify_organisation
from jayvalve.internal.gateway.model import RequestInfo, Route, RouteKind, RoutingTable
from jayvalve.internal.gateway.quotas import OrganisationQuotas
from jayvalve.internal.gateway.request_progress import RequestProgress
from jayvalve.internal.gateway.sender import EngineSender
from jayvalve.internal.gateway.stop_window import CallsEndedError, StopSettings, StopWindow
from jayvalve.internal.gateway.stream_calls import StreamCalls
from jayvalve.internal.gateway.stream_origins import StreamOrigins
from jayvalve.internal.gateway.turns import TurnStore
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.organisations import KeyTable
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["GatewayService"]

# Part of the time limit that is reserved for sending the answer to the caller, in seconds.
ANSWER_MARGIN_S = 0.02


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
        origins: StreamOrigins,
    ) -> None:
        self._quotas = quotas
        self._sender = sender
        self._answers = AnswerRelay(sender, codec, buffers)
        self._streams = StreamCalls(
            sender,
            self._answers,
            budgets,
            turns,
            codec,
            buffers,
            clock,
            origins,
            self._admit,
        )
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
            await self._streams.serve(call, table, responder, progress)
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
                    await self._answers.relay(answer, responder)
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
            origin=progress.origin_source,
            events=progress.events,
            attempts=[attempt.as_document() for attempt in progress.history.attempts],
            configuration=progress.version,
            **self._log_context(),
        )


def _stopped_error(progress: RequestProgress, error: CallsEndedError) -> JayvalveError:
    if progress.history.attempts:
        return DeadlineExceededError(str(error))
    return DrainingError(str(error), retry_after_s=0.0)
