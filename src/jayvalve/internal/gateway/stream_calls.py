"""Serves the calls of streaming routes: turns with a budget and a history, resumable streams."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs

from jayvalve.errors import (
    DeadlineExceededError,
    EndpointFailedError,
    MemoryLimitError,
    NoEndpointError,
    TurnUnknownError,
    UnavailableError,
)
from jayvalve.internal.body_checks import EVENT_STREAM, media_type
from jayvalve.internal.gateway.answer_relay import AnswerRelay
from jayvalve.internal.gateway.budgets import TurnBudgets, TurnGrant
from jayvalve.internal.gateway.buffers import AnswerBuffers, HistoryShare
from jayvalve.internal.gateway.calls import Call, HeaderCodec, Responder
from jayvalve.internal.gateway.engine_answer import EngineAnswer
from jayvalve.internal.gateway.event_relay import LAST_EVENT_ID, BrokenStreamError, EventRelay
from jayvalve.internal.gateway.http_client import BrokenConnectionError
from jayvalve.internal.gateway.model import RoutingTable
from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.gateway.request_progress import RequestProgress
from jayvalve.internal.gateway.sender import EngineSender
from jayvalve.internal.gateway.stream_origins import StreamOrigins
from jayvalve.internal.gateway.turns import Turn, TurnStore, UnknownTurnError
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.organisations import plain_id
from jayvalve.internal.timing import Clock

__all__ = ["StreamCalls"]

# Time after which a request that has not been sent needs another admission, in seconds.
MAX_ADMISSION_AGE_S = 0.35
# Maximum number of times that a broken stream is resumed.
MAX_RESUMPTIONS = 2


class StreamCalls:
    """Serves the calls of streaming routes.

    Args:
        answers: Relays the answers that are no streams, such as failures.
        buffers: Memory for events that are not complete yet, and for turns.
        origins: What began each resumable stream.
        admit: Admits a call within the quota of its organisation, once more after a long wait.

    """

    def __init__(
        self,
        sender: EngineSender,
        answers: AnswerRelay,
        budgets: TurnBudgets,
        turns: TurnStore,
        codec: HeaderCodec,
        buffers: AnswerBuffers,
        clock: Clock,
        origins: StreamOrigins,
        admit: Callable[[Call, RequestProgress], Awaitable[None]],
    ) -> None:
        self._sender = sender
        self._answers = answers
        self._budgets = budgets
        self._turns = turns
        self._codec = codec
        self._buffers = buffers
        self._clock = clock
        self._origins = origins
        self._admit = admit

    async def serve(
        self, call: Call, table: RoutingTable, responder: Responder, progress: RequestProgress
    ) -> None:
        """Serve a call of a streaming route.

        Args:
            call: The call.
            table: Configuration that applies to it.
            responder: Answers the caller.
            progress: Records progress and outcome.

        Raises:
            JayvalveError: The call was refused or failed. If the answer has started, it has broken
                off.

        """
        started_s = self._clock.now()
        call = await self._with_origin(call, table, progress)
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
                await self._relay(call, responder, progress)
            finally:
                if grant is not None:
                    model = call.service.model
                    tokens = progress.events * (model.chunk_tokens if model else 1)
                    self._budgets.settle(grant, tokens)

    async def _with_origin(
        self, call: Call, table: RoutingTable, progress: RequestProgress
    ) -> Call:
        """Return a call with what began the stream that its caller resumes, at that service.

        Raises:
            UnavailableError: What began it is not known, or the route no longer leads there.

        """
        if not call.route.resumable or LAST_EVENT_ID not in call.request.headers:
            return call
        resumed = call.info.resumed_attempt
        if resumed:
            found = await self._origins.find(call.scoped(resumed), call.deadline)
        else:
            # Callers of the platform's earlier pages do not name the attempt.
            services = {name for name, _ in call.route.services}
            found = await self._origins.find_only(services, call.deadline)
        origin = progress.origin = found.origin
        progress.origin_source = found.source
        service = table.services.get(origin.service)
        if service is None or not call.route.leads_to(origin.service):
            raise NoEndpointError("the route no longer leads to the service that began the stream")
        return attrs.evolve(call, service=service, origin=origin)

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

    async def _relay(self, call: Call, responder: Responder, progress: RequestProgress) -> None:
        """Relay a stream; if a resumable one breaks off, resume it."""
        with self._buffers.open() as share:

            def record_origin(answer: EngineAnswer) -> None:
                if call.route.resumable:
                    version = answer.view.record.version
                    progress.origin = StreamOrigin(call.service.name, version)
                    self._origins.record(call.scoped(call.info.attempt_id), progress.origin)

            relay = EventRelay.from_call(
                call, responder, share, self._codec.event_fields, record_origin
            )
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
            call = attrs.evolve(call, origin=progress.origin)
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
            await self._answers.relay(answer, responder)
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
