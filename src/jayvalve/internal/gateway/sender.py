"""Sends a call to engines until one answers, and decides on further attempts."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Self

import attrs
from loguru import logger

from jayvalve.errors import (
    DeadlineExceededError,
    DeadlineUnreachableError,
    EndpointFailedError,
    InvalidHeaderError,
)
from jayvalve.internal.answer_end import (
    BodyEnd,
    Survival,
    broken_end,
    judge_end,
    needs_survival,
)
from jayvalve.internal.gateway.caller_promises import denies_run
from jayvalve.internal.gateway.calls import AttemptHistory, AttemptRecord, Call, HeaderCodec
from jayvalve.internal.gateway.crash_guard import CrashGuard
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
from jayvalve.internal.gateway.engine_answer import EngineAnswer
from jayvalve.internal.gateway.engine_choice import EngineChooser, no_attempt_error
from jayvalve.internal.gateway.fleet_state import FleetState
from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    Exchange,
    HttpPool,
    NotSentError,
    ResponseHead,
)
from jayvalve.internal.gateway.in_hand import EngineRun
from jayvalve.internal.gateway.loads import PeerLoads
from jayvalve.internal.gateway.priority import request_priority
from jayvalve.internal.gateway.run_limit import RunLimit
from jayvalve.internal.gateway.survival import SurvivalChecks, SurvivalWatch
from jayvalve.internal.timing import Clock

__all__ = ["EngineSender", "SenderParts", "SenderSettings"]

_log = logger.bind(part="sender")


@attrs.frozen
class SenderSettings:
    """Limits on the attempts of a call.

    Attributes:
        max_sends: Maximum number of attempts of a call, including those that engines refuse.
        head_timeout_target_factor: How long to wait for the head of an engine's answer before an
            idempotent call is sent to another engine, as a multiple of the route's target time.
        head_timeout_service_factor: The same as a multiple of the engine's average service time.
            The longer of the two applies.
        limit_margin_s: An answer without a length that ends this close to the time limit, which the
            engine knows, in seconds, may have been stopped by the limit.

    """

    max_sends: int = 4
    head_timeout_target_factor: float = 0.8
    head_timeout_service_factor: float = 5.0
    limit_margin_s: float = 0.05


@attrs.frozen
class SenderParts:
    """Parts that a sender works with.

    Attributes:
        on_load_change: Called when this gateway's requests at an engine change.
        refresh_loads: Called before an engine is chosen, to read the loads that other gateways
            have reported.

    """

    directory: EngineDirectory
    loads: PeerLoads
    health: HealthTracker
    pool: HttpPool
    codec: HeaderCodec
    shared: FleetState
    on_load_change: Callable[[], None]
    refresh_loads: Callable[[], None]


class EngineSender:
    """Places calls on engines and sends them.

    Args:
        chooser: Chooses the engine of each attempt.
        guard: Decides whether a call may be sent after engines have ended under it.

    """

    def __init__(
        self, parts: SenderParts, chooser: EngineChooser, guard: CrashGuard, clock: Clock
    ) -> None:
        self._directory = parts.directory
        self._chooser = chooser
        self._guard = guard
        self._departures = parts.shared.departures
        self._limits = parts.shared.limits
        self._health = parts.health
        self._pool = parts.pool
        self._codec = parts.codec
        self._clock = clock
        self._on_load_change = parts.on_load_change
        self._settings = SenderSettings()
        self._survival = SurvivalChecks.from_config(parts.pool, parts.codec, clock)
        self._run_limit = RunLimit(parts.directory, guard, parts.pool)

    @classmethod
    def from_config(
        cls, parts: SenderParts, data_centre: str, clock: Clock, rng: random.Random
    ) -> Self:
        """Create a sender with its own chooser and guard.

        Args:
            parts: Parts that the sender works with.
            data_centre: Data centre of this gateway.
            clock: Clock of the process.
            rng: Source of the small random costs that keep equal gateways apart.

        """
        shared = parts.shared
        guard = CrashGuard(
            shared.crash_records,
            shared.in_hand,
            shared.crashes,
            shared.trials,
            parts.directory,
            clock,
        )
        chooser = EngineChooser(
            parts.directory,
            parts.loads,
            parts.health,
            shared.permits,
            guard,
            clock,
            rng,
            data_centre,
            parts.refresh_loads,
        )
        return cls(parts, chooser, guard, clock)

    def running(self) -> dict[str, tuple[int, int]]:
        """Return the number of this gateway's requests at each engine, and their tokens."""
        return {view.key.id: (view.running, view.tokens) for view in self._directory.views}

    async def open(
        self, call: Call, history: AttemptHistory, extra_headers: tuple[tuple[str, str], ...] = ()
    ) -> EngineAnswer:
        """Send a call until an engine answers it.

        Args:
            call: The call.
            history: Records each attempt.
            extra_headers: Additional headers, which replace headers of the same name.

        Returns:
            The answer; the caller of this method must pass it to close().

        Raises:
            NoEndpointError, OverloadedError, DeadlineUnreachableError: The call has not run,
                unless it is a stream that is being resumed.
            EndpointFailedError, DeadlineExceededError: The call may have run.

        """
        while True:
            trial = await self._guard.begin(call, history)
            answer: EngineAnswer | None = None
            sent = len(history.runs)
            try:
                answer = await self._place_and_send(
                    call, history, extra_headers, on_trial=trial is not None
                )
            finally:
                if trial is not None and answer is None:
                    run = history.runs[-1] if len(history.runs) > sent else None
                    self._guard.end(trial, run)
            if answer is not None:
                answer.trial = trial
                self._check_status(answer)
                return answer

    def _check_status(self, answer: EngineAnswer) -> None:
        status = answer.head.status
        if denies_run(answer.call, status):
            # The status is the engine's whole result; the caller gets nothing of the body.
            self.close(answer, received=True)
            answer.attempt.outcome = f"answered {status}"
            raise EndpointFailedError(f"the engine may have run the call and answered {status}")

    async def judge_end(self, answer: EngineAnswer, body: BodyEnd) -> None:
        """Check the end of an answer whose connection has not failed, and record the result.

        Args:
            answer: The answer, all of which was received.
            body: What the format of its body says of its end.

        Raises:
            BrokenConnectionError: Nothing shows that the answer is whole.

        """
        framing = answer.head.framing
        survival = None
        if answer.watch is not None and needs_survival(framing, body):
            survival = await self._check_survival(answer.call, answer.watch)
        end = answer.attempt.end = judge_end(framing, body, survival)
        if not end.is_whole:
            raise BrokenConnectionError(f"the end of the answer is {end.state}: {end.reason}")

    async def _check_survival(self, call: Call, watch: SurvivalWatch) -> Survival:
        if call.deadline.remaining_s < self._settings.limit_margin_s:
            return Survival.AT_LIMIT
        survival = await watch.check(call.deadline)
        if survival is Survival.SAME_ID and call.route.repeatable:
            # The id may be that of the engine's next incarnation, and the call can be repeated.
            return Survival.ID_ALONE
        return survival

    def close(self, answer: EngineAnswer, received: bool) -> None:
        """Finish an answer: release the engine's load and record the result.

        Args:
            answer: The answer.
            received: Whether the answer was received completely. Only then is its status
                recorded in the engine's health.

        """
        answer.exchange.abort()
        if answer.watch is not None:
            answer.watch.close()
        self._release(answer.view, answer.tokens)
        elapsed_s = self._clock.now() - answer.started_s
        answer.attempt.elapsed_s = elapsed_s
        answer.attempt.outcome = "complete" if answer.exchange.complete else "broken"
        if self._departures.is_announced(answer.view.key):
            self._pool.discard(answer.view.record.address)
        if received:
            failed = answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            self._health.record(answer.view.key.label, failed)
            self._guard.record_complete(answer.run)
            if not failed:
                self._directory.record_success(answer.view, elapsed_s)
        else:
            self._guard.record_abandoned(answer.run)
        if answer.trial is not None:
            self._guard.end(answer.trial, answer.run)

    async def record_broken_stream(self, answer: EngineAnswer, history: AttemptHistory) -> None:
        """Record that a stream broke off, before the next attempt resumes it."""
        self.record_broken(answer)
        await self._run_limit.record_broken_stream(answer.call, answer.view, history)

    def record_broken(self, answer: EngineAnswer) -> None:
        """Record that an engine's answer broke off."""
        if answer.attempt.end is None:
            answer.attempt.end = broken_end("the connection failed")
        self._health.record(answer.view.key.label, failed=True)
        self._guard.record_broken(answer.run)

    async def _place_and_send(
        self,
        call: Call,
        history: AttemptHistory,
        extra_headers: tuple[tuple[str, str], ...],
        on_trial: bool,
    ) -> EngineAnswer | None:
        """Choose an engine and send a call; return its answer, or None for another attempt."""
        chosen = await self._chooser.choose(call, history)
        attempt = AttemptRecord(
            chosen.view.key.id,
            chosen.placement.candidate.load,
            chosen.placement.candidate.cached_tokens,
            chosen.placement.wait_s,
            chosen.permit_s,
            version=chosen.view.record.version,
            on_trial=on_trial,
        )
        history.attempts.append(attempt)
        return await self._attempt(call, chosen.view, attempt, history, extra_headers)

    async def _attempt(
        self,
        call: Call,
        view: EngineView,
        attempt: AttemptRecord,
        history: AttemptHistory,
        extra_headers: tuple[tuple[str, str], ...],
    ) -> EngineAnswer | None:
        """Send a call to an engine; return its answer, or None if another attempt may follow."""
        remaining_s = call.deadline.remaining_s
        if remaining_s <= 0:
            self._raise_expired(history)
        started_s = self._clock.now()
        tokens = call.info.prompt_tokens + call.info.max_output_tokens
        view.running += 1
        view.tokens += tokens
        self._on_load_change()
        answer: EngineAnswer | None = None
        run = self._guard.begin_run(call, view, remaining_s, attempt.on_trial)
        history.runs.append(run)
        try:
            request = self._request(call, view, remaining_s, extra_headers)
            exchange, head, watch = await self._exchange(call, view, request, attempt, history)
            answer = EngineAnswer(view, exchange, head, attempt, started_s, tokens, call, run)
            answer.watch = watch
            self._guard.record_answer(run)
            if self._codec.says_not_run(head.status, head.headers):
                self._guard.record_not_run(run)
                attempt.may_have_run = False
                self._record_refusal(view, attempt, history, head)
                self._drop(answer)
                answer = None
            else:
                attempt.outcome = f"answered {head.status}"
                self._chooser.record_prefix(call, view.key)
        except NotSentError as error:
            attempt.outcome = "not sent"
            attempt.may_have_run = False
            self._guard.record_not_run(run)
            if error.is_refusal:
                self._guard.record_refused(view)
            self._directory.record_failure(view)
            self._run_limit.record_not_sent(view, history, error)
        except (BrokenConnectionError, TimeoutError) as error:
            self._record_lost(run, view, attempt, started_s, error)
            await self._run_limit.record_lost(call, view, history, error)
        finally:
            attempt.elapsed_s = self._clock.now() - started_s
            if answer is None:
                # Without effect if the end of the attempt is known.
                self._guard.record_abandoned(run)
                self._release(view, tokens)
        if len(history.attempts) >= self._settings.max_sends and answer is None:
            raise no_attempt_error(history)
        return answer

    async def _exchange(
        self,
        call: Call,
        view: EngineView,
        request: ClientRequest,
        attempt: AttemptRecord,
        history: AttemptHistory,
    ) -> tuple[Exchange, ResponseHead, SurvivalWatch | None]:
        """Send a request and return its exchange, the head of the answer and a watch it needs."""
        with contextlib.ExitStack() as stack:
            watch = self._survival.prepare(call, view, self._run_limit.is_last_run(call, history))
            if watch is not None:
                stack.callback(watch.close)
            # An idle connection may be as dead as the one whose stream broke off.
            max_idle_s = 0.0 if view.key in history.may_have_run else None
            exchange = await self._pool.send(request, self._answer_check(call), max_idle_s)
            stack.callback(exchange.abort)
            attempt.reused = exchange.reused
            async with asyncio.timeout(self._head_timeout_s(call, view, history)):
                head = await exchange.head()
            attempt.framing = str(head.framing)
            watch = self._survival.begin(call, view, exchange, head.framing, watch)
            if watch is not None:
                stack.callback(watch.close)
            self._check_origin(exchange, head)
            self._learn_state(view, head)
            stack.pop_all()
        return exchange, head, watch

    def _record_refusal(
        self, view: EngineView, attempt: AttemptRecord, history: AttemptHistory, head: ResponseHead
    ) -> None:
        attempt.outcome = f"refused {head.status}"
        history.refused.add(view.key)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another engine has the address now.
            self._run_limit.record_replaced(view, history)
        if attempt.load < view.record.slots:
            # An engine that refuses a call although it has free slots is failing, not full.
            self._health.record(view.key.label, failed=True)

    @staticmethod
    def _drop(answer: EngineAnswer) -> None:
        answer.exchange.abort()
        if answer.watch is not None:
            answer.watch.close()

    def _check_origin(self, exchange: Exchange, head: ResponseHead) -> None:
        """Check that an answer is the engine's answer to this call, which the engine may have run.

        Raises:
            BrokenConnectionError: The answer may be that to another call, or comes from elsewhere.

        """
        if exchange.reused and not self._codec.names_attempt(head.headers):
            # It may be a late copy of an answer to an earlier request on this connection.
            raise BrokenConnectionError("an answer on a kept connection names no request")
        if head.status < HTTPStatus.MULTIPLE_CHOICES and not self._codec.is_signed(head.headers):
            raise BrokenConnectionError("a success bears no signature of an engine")

    def _learn_state(self, view: EngineView, head: ResponseHead) -> None:
        """Learn what an engine says of itself in an answer."""
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # The answer is that of another engine.
            return
        if self._codec.says_leaving(head.headers):
            self._departures.record(view.key)
            self._guard.record_leaving(view)
            self._pool.discard(view.record.address)
        try:
            self._limits.observe(view.key, self._codec.request_limit(head.headers))
        except InvalidHeaderError as error:
            _log.bind(engine=view.key.id, error=error.message).info("ignored an engine's limit")

    def _release(self, view: EngineView, tokens: int) -> None:
        view.running -= 1
        view.tokens -= tokens
        self._on_load_change()

    def _record_lost(
        self,
        run: EngineRun,
        view: EngineView,
        attempt: AttemptRecord,
        started_s: float,
        error: Exception,
    ) -> None:
        """Record an attempt without an answer, which the engine may have run."""
        if isinstance(error, BrokenConnectionError):
            attempt.outcome = "broken"
            self._record_failure(view)
            self._guard.record_broken(run)
            return
        attempt.outcome = "silent"
        # A timeout is not recorded as a failure if the engine has completed another answer since
        # this attempt began: then only this call is slow.
        if view.answered_s < started_s:
            self._record_failure(view)

    def _record_failure(self, view: EngineView) -> None:
        self._health.record(view.key.label, failed=True)
        # Other kept-alive connections to the engine may be broken as well.
        self._pool.discard(view.record.address)

    @staticmethod
    def _raise_expired(history: AttemptHistory) -> None:
        if history.may_have_run:
            raise DeadlineExceededError("the time limit passed before another attempt")
        raise DeadlineUnreachableError("the time limit passed before an engine accepted the call")

    def _head_timeout_s(self, call: Call, view: EngineView, history: AttemptHistory) -> float:
        """Return how long to wait for the head of an engine's answer, in seconds."""
        remaining_s = call.deadline.remaining_s
        if self._run_limit.is_last_run(call, history):
            return remaining_s
        service_timeout_s = (view.service_s or 0.0) * self._settings.head_timeout_service_factor
        return min(
            remaining_s,
            max(service_timeout_s, call.route.target_s * self._settings.head_timeout_target_factor),
        )

    def _request(
        self,
        call: Call,
        view: EngineView,
        remaining_s: float,
        extra_headers: tuple[tuple[str, str], ...],
    ) -> ClientRequest:
        priority = request_priority(call) if call.service.model is not None else None
        organisation = call.organisation.name if call.organisation is not None else None
        headers = self._codec.engine_headers(
            call.request.headers, remaining_s, view.key.id, priority, organisation
        )
        if extra_headers:
            replaced = {name.lower() for name, _ in extra_headers}
            headers = [pair for pair in headers if pair[0].lower() not in replaced]
        return ClientRequest(
            view.record.address,
            call.request.method,
            call.request.target,
            (*headers, *extra_headers),
            call.body,
        )

    def _answer_check(self, call: Call) -> Callable[[ResponseHead], bool]:
        """Return a function that checks whether an engine's answer belongs to the call."""
        attempt_id = call.info.attempt_id
        return lambda head: self._codec.is_answer_to(attempt_id, head.status, head.headers)
