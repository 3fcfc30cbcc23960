"""Sends a call to engines until one answers, and decides on further attempts."""

import asyncio
import random
from collections.abc import Callable, Mapping
from http import HTTPStatus

import attrs
from loguru import logger

from jayvalve.errors import (
    DeadlineExceededError,
    DeadlineUnreachableError,
    EndpointFailedError,
    InvalidHeaderError,
    JayvalveError,
    NoEndpointError,
    OverloadedError,
    RequestBlockedError,
)
from jayvalve.internal.gateway.calls import AttemptHistory, AttemptRecord, Call, HeaderCodec
from jayvalve.internal.gateway.crash_records import CrashRecords
from jayvalve.internal.gateway.crashes import CrashDetector, fingerprint_of
from jayvalve.internal.gateway.departures import Departures
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
from jayvalve.internal.gateway.engine_limits import EngineLimits
from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    Exchange,
    HttpPool,
    NotSentError,
    ResponseHead,
)
from jayvalve.internal.gateway.loads import PeerLoads
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.permits import SendPermits
from jayvalve.internal.gateway.placement import (
    Candidate,
    Placement,
    PlacementNeed,
    PlacementSettings,
    PrefixMemory,
    choose_engine,
)
from jayvalve.internal.gateway.priority import request_priority
from jayvalve.internal.gateway.trials import RequestTrials, UsualCapacity, may_risk_engine
from jayvalve.internal.timing import Clock

__all__ = ["EngineAnswer", "EngineSender", "SenderSettings"]

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
        permit_wait_target_factor: How long a call may wait for a permit of an engine that has
            limited its rate, as a multiple of the route's target time. Calls that would have to
            wait for longer are refused at once, so that the others are answered in time.
        permit_slack_s: How much longer than expected a call waits for a permit before another
            engine is considered, in seconds.
        max_permit_rounds: Maximum number of times that a call without a permit is placed again.
        trial_retry_after_s: When a caller may repeat a request that runs elsewhere and under
            which an engine has ended, in seconds.
        leaving_retry_after_s: When a caller may repeat a request while all engines of the service
            leave, in seconds. A new engine is seen within a second of its first entry.

    """

    max_sends: int = 4
    head_timeout_target_factor: float = 0.8
    head_timeout_service_factor: float = 5.0
    permit_wait_target_factor: float = 0.5
    permit_slack_s: float = 0.03
    max_permit_rounds: int = 12
    trial_retry_after_s: float = 0.3
    leaving_retry_after_s: float = 1.0


@attrs.define
class EngineAnswer:
    """An engine's answer whose head has arrived.

    Attributes:
        view: The engine.
        exchange: Exchange from which the body is read.
        started_s: Monotonic time at which the attempt began, before the connection was opened.
        tokens: Tokens that the call needs in the engine's memory.
        call: The call that the engine answers.
        trial: Fingerprint of a call under which an engine has ended before, or None.

    """

    view: EngineView
    exchange: Exchange
    head: ResponseHead
    attempt: AttemptRecord
    started_s: float
    tokens: int
    call: Call
    trial: str | None = None


class EngineSender:
    """Places calls on engines and sends them.

    Args:
        on_load_change: Called when this gateway's requests at an engine change.
        departures: Learns which engines announce in their answers that they leave.
        limits: Learns the limits that engines name in their answers.
        permits: Grants requests to engines that have limited their rate.
        crash_records: Requests that are not sent because engines ended while they ran them.
        crashes: Finds out whether an engine has ended when a request breaks off there.
        trials: Lets a request under which an engine has ended run at one engine at a time.
        refresh_loads: Called before an engine is chosen, to read the loads that other gateways
            have reported.

    """

    def __init__(
        self,
        directory: EngineDirectory,
        loads: PeerLoads,
        health: HealthTracker,
        pool: HttpPool,
        codec: HeaderCodec,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        on_load_change: Callable[[], None],
        departures: Departures,
        limits: EngineLimits,
        permits: SendPermits,
        crash_records: CrashRecords,
        crashes: CrashDetector,
        trials: RequestTrials,
        refresh_loads: Callable[[], None] = lambda: None,
    ) -> None:
        self._departures = departures
        self._limits = limits
        self._permits = permits
        self._crash_records = crash_records
        self._crashes = crashes
        self._trials = trials
        self._usual_capacity = UsualCapacity(clock)
        self._directory = directory
        self._loads = loads
        self._health = health
        self._pool = pool
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._on_load_change = on_load_change
        self._refresh_loads = refresh_loads
        self._settings = SenderSettings()
        self._placement = PlacementSettings()
        self._prefixes = PrefixMemory()

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
            trial = await self._begin_trial(call, history)
            answer: EngineAnswer | None = None
            try:
                answer = await self._place_and_send(call, history, extra_headers)
            finally:
                if trial is not None and answer is None:
                    self._crashes.end_trial(trial)
            if answer is not None:
                answer.trial = trial
                return answer

    def close(self, answer: EngineAnswer, received: bool) -> None:
        """Finish an answer: release the engine's load and record the result.

        Args:
            answer: The answer.
            received: Whether the answer was received completely. Only then is its status
                recorded in the engine's health.

        """
        answer.exchange.abort()
        self._release(answer.view, answer.tokens)
        elapsed_s = self._clock.now() - answer.started_s
        answer.attempt.elapsed_s = elapsed_s
        answer.attempt.outcome = "complete" if answer.exchange.complete else "broken"
        if self._departures.is_announced(answer.view.key):
            self._pool.discard(answer.view.record.address)
        if answer.trial is not None:
            self._crashes.end_trial(answer.trial)
        if received:
            failed = answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            self._health.record(answer.view.key.id, failed)
            if not self._crash_records.empty:
                self._crashes.record_complete(_fingerprint(answer.call))
            if not failed:
                self._directory.record_success(answer.view, elapsed_s)

    def record_broken(self, answer: EngineAnswer) -> None:
        """Record that an engine's answer broke off."""
        self._health.record(answer.view.key.id, failed=True)
        self._check_end(answer.call, answer.view)

    async def _begin_trial(self, call: Call, history: AttemptHistory) -> str | None:
        """Return the fingerprint of a call under which an engine has ended, or None.

        Raises:
            RequestBlockedError, EndpointFailedError: the call must not be sent, because too many
                engines ended while they ran it or because it runs at another engine now.

        """
        live = sum(
            not self._crash_records.has_ended(view.key)
            for view in self._directory.candidates(call.service.name)
        )
        usual = self._usual_capacity.update(call.service.name, live)
        if self._crash_records.empty:
            return None
        fingerprint = _fingerprint(call)
        ends = self._crash_records.ends(fingerprint)
        if not ends:
            return None
        retry_after_s = self._crash_records.blocked_for_s(fingerprint)
        if retry_after_s is None:
            if may_risk_engine(ends, live, usual) and await self._trials.begin(fingerprint):
                return fingerprint
            retry_after_s = self._settings.trial_retry_after_s
        message = f"engines ended while they ran this request ({fingerprint})"
        if history.may_have_run:
            raise EndpointFailedError(message)
        raise RequestBlockedError(message, retry_after_s=retry_after_s)

    def _check_end(self, call: Call, view: EngineView) -> None:
        self._crashes.record_broken(view.key, view.record.address, _fingerprint(call))

    async def _place_and_send(
        self, call: Call, history: AttemptHistory, extra_headers: tuple[tuple[str, str], ...]
    ) -> EngineAnswer | None:
        """Choose an engine and send a call; return its answer, or None for another attempt."""
        view, placement, permit_s = await self._place_with_permit(call, history)
        attempt = AttemptRecord(
            view.key.id,
            placement.candidate.load,
            placement.candidate.cached_tokens,
            placement.wait_s,
            permit_s,
        )
        history.attempts.append(attempt)
        return await self._attempt(call, view, attempt, history, extra_headers)

    async def _place_with_permit(
        self, call: Call, history: AttemptHistory
    ) -> tuple[EngineView, Placement, float | None]:
        """Choose an engine, and wait until a request may be sent to it.

        Returns:
            The engine, its placement, and the time waited for a permit or None if none is needed.

        """
        started_s = self._clock.now()
        for _ in range(self._settings.max_permit_rounds):
            view, placement = self._place(call, history)
            if not self._permits.is_limited(view.key):
                return view, placement, None
            expected_s = placement.candidate.permit_wait_s
            delay_s = await self._permits.acquire(
                view.key,
                min(
                    expected_s + self._settings.permit_slack_s,
                    self._longest_permit_wait_s(call, view),
                ),
                urgent=call.route.rank == 0,
            )
            if delay_s is None:
                continue
            await asyncio.sleep(delay_s)
            if self._directory.accepts(view):
                return view, placement, self._clock.now() - started_s
        raise self._limited_error(history, self._settings.permit_slack_s)

    def _longest_permit_wait_s(self, call: Call, view: EngineView) -> float:
        """Return how long a call may wait for a permit and still be answered in time."""
        return max(
            0.0,
            min(
                call.route.target_s * self._settings.permit_wait_target_factor,
                call.deadline.remaining_s - (view.service_s or 0.0),
            ),
        )

    def _place(self, call: Call, history: AttemptHistory) -> tuple[EngineView, Placement]:
        self._refresh_loads()
        now = self._clock.now()
        views = {
            view.key: view
            for view in self._directory.candidates(call.service.name)
            if view.key not in history.refused
        }
        untried = {key: view for key, view in views.items() if key not in history.may_have_run}
        candidates = [self._candidate(view, call, now) for view in (untried or views).values()]
        candidates = self._drop_limited(candidates, views, call, history)
        need = PlacementNeed(
            call.info.prompt_tokens, call.info.max_output_tokens, call.route.repeatable
        )
        placement = choose_engine(candidates, need, self._placement, self._rng)
        if placement is None:
            leaving = self._directory.all_leave(call.service.name)
            self._raise_no_attempt_left(history, leaving)
        if placement.wait_s >= call.deadline.remaining_s and not history.may_have_run:
            raise DeadlineUnreachableError(
                f"expected wait {placement.wait_s:.2f} s exceeds the time left",
                retry_after_s=max(0.1, placement.wait_s / 2),
            )
        return views[placement.candidate.key], placement

    def _drop_limited(
        self,
        candidates: list[Candidate],
        views: Mapping[EngineKey, EngineView],
        call: Call,
        history: AttemptHistory,
    ) -> list[Candidate]:
        """Return the engines of which a permit can be had in time.

        Raises:
            OverloadedError, EndpointFailedError: there are engines, but no such one.

        """
        within_limit = [
            candidate
            for candidate in candidates
            if candidate.permit_wait_s <= self._longest_permit_wait_s(call, views[candidate.key])
        ]
        if candidates and not within_limit:
            wait_s = min(candidate.permit_wait_s for candidate in candidates)
            raise self._limited_error(history, wait_s)
        return within_limit

    @staticmethod
    def _limited_error(history: AttemptHistory, wait_s: float) -> JayvalveError:
        """Return the error of a call that no engine takes, as all have reached their limits."""
        if history.may_have_run:
            return EndpointFailedError("each other engine has reached its limit of requests")
        return OverloadedError(
            "each engine of the service has reached its limit of requests",
            retry_after_s=max(0.1, wait_s),
        )

    def _candidate(self, view: EngineView, call: Call, now: float) -> Candidate:
        requests, tokens = self._loads.running(view.key.id)
        model = call.service.model
        return Candidate(
            key=view.key,
            slots=view.record.slots,
            load=view.running + requests,
            tokens=view.tokens + tokens,
            memory_tokens=model.kv_cache_tokens if model is not None else None,
            service_s=view.service_s,
            remote=view.record.data_centre != self._data_centre,
            cached_tokens=self._prefixes.cached_tokens(call.info.prefix, view.key),
            in_backoff=self._directory.is_avoided(view) or self._crash_records.has_ended(view.key),
            failure_share=self._health.failure_share(view.key.id),
            age_s=now - view.answered_s,
            permit_wait_s=self._permits.expected_wait_s(view.key),
        )

    def _raise_no_attempt_left(self, history: AttemptHistory, leaving: bool = False) -> None:
        """Raise the error of a call for which no further attempt can be made.

        Args:
            history: Attempts of the call so far.
            leaving: Whether all engines of the service are leaving.

        """
        if history.may_have_run:
            raise EndpointFailedError(
                "the call has no attempts left or there is no other engine to try"
            )
        if history.refused:
            raise OverloadedError(
                "each engine that was tried refused the call or could not be reached",
                retry_after_s=0.15,
            )
        if leaving:
            raise NoEndpointError(
                "all engines of the service are leaving",
                retry_after_s=self._settings.leaving_retry_after_s,
            )
        raise NoEndpointError("no engine of the service accepts requests", retry_after_s=0.3)

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
        exchange: Exchange | None = None
        try:
            exchange = await self._pool.send(
                self._request(call, view, remaining_s, extra_headers), self._answer_check(call)
            )
            attempt.reused = exchange.reused
            async with asyncio.timeout(self._head_timeout_s(call, view, history)):
                head = await exchange.head()
            if exchange.reused and not self._codec.names_attempt(head.headers):
                # It may be a late copy of an answer to an earlier request on this connection, and
                # the engine may be running this one.
                raise BrokenConnectionError("an answer on a kept connection names no request")
            self._learn_state(view, head)
            if self._codec.says_not_run(head.status, head.headers):
                attempt.outcome = f"refused {head.status}"
                history.refused.add(view.key)
                if attempt.load < view.record.slots:
                    # An engine that refuses a call although it has free slots is failing, not full.
                    self._health.record(view.key.id, failed=True)
            else:
                attempt.outcome = f"answered {head.status}"
                self._prefixes.record(call.info.prefix, view.key)
                answer = EngineAnswer(view, exchange, head, attempt, started_s, tokens, call)
        except NotSentError:
            attempt.outcome = "not sent"
            self._directory.record_failure(view)
            history.refused.add(view.key)
        except (BrokenConnectionError, TimeoutError) as error:
            self._record_lost(call, view, attempt, started_s, error)
            history.may_have_run.add(view.key)
            self._check_retry(call, history, error)
        finally:
            attempt.elapsed_s = self._clock.now() - started_s
            if answer is None:
                self._release(view, tokens)
                if exchange is not None:
                    exchange.abort()
        if len(history.attempts) >= self._settings.max_sends and answer is None:
            self._raise_no_attempt_left(history)
        return answer

    def _learn_state(self, view: EngineView, head: ResponseHead) -> None:
        """Learn what an engine says of itself in an answer."""
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another engine has the address now.
            return
        if self._codec.says_leaving(head.headers):
            self._departures.record(view.key)
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
        call: Call,
        view: EngineView,
        attempt: AttemptRecord,
        started_s: float,
        error: Exception,
    ) -> None:
        """Record an attempt without an answer, which the engine may have run."""
        if isinstance(error, BrokenConnectionError):
            attempt.outcome = "broken"
            self._record_failure(view)
            self._check_end(call, view)
            return
        attempt.outcome = "silent"
        # A timeout is not recorded as a failure if the engine has completed another answer since
        # this attempt began: then only this call is slow.
        if view.answered_s < started_s:
            self._record_failure(view)

    def _record_failure(self, view: EngineView) -> None:
        self._health.record(view.key.id, failed=True)
        # Other kept-alive connections to the engine may be broken as well.
        self._pool.discard(view.record.address)

    def _check_retry(self, call: Call, history: AttemptHistory, error: Exception) -> None:
        if call.deadline.expired:
            raise DeadlineExceededError("the engine did not answer in time") from error
        if not call.route.repeatable:
            raise EndpointFailedError(f"the engine may have run the call: {error}") from error
        if len(history.may_have_run) >= call.route.max_attempts:
            raise EndpointFailedError(f"the last attempt failed: {error}") from error

    @staticmethod
    def _raise_expired(history: AttemptHistory) -> None:
        if history.may_have_run:
            raise DeadlineExceededError("the time limit passed before another attempt")
        raise DeadlineUnreachableError("the time limit passed before an engine accepted the call")

    def _head_timeout_s(self, call: Call, view: EngineView, history: AttemptHistory) -> float:
        """Return how long to wait for the head of an engine's answer, in seconds."""
        remaining_s = call.deadline.remaining_s
        possible_runs = len(history.may_have_run) + 1
        if not call.route.repeatable or possible_runs >= call.route.max_attempts:
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
        headers = self._codec.engine_headers(
            call.request.headers, remaining_s, view.key.id, priority
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


def _fingerprint(call: Call) -> str:
    return fingerprint_of(call.request, call.info.program)
