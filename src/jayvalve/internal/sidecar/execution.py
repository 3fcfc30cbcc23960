"""Execution of attempts at the endpoint of this sidecar."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from loguru import logger

from jayvalve.errors import DeadlineExceededError, DrainingError, JayvalveError
from jayvalve.internal.engines import EngineHead, EngineRequest
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.programs import root_key
from jayvalve.internal.scheduling import QueuedCall, Rank
from jayvalve.internal.sidecar.attempt import Attempt
from jayvalve.internal.sidecar.attempts import AttemptTable
from jayvalve.internal.sidecar.fencing import OrderFence, TermTable
from jayvalve.internal.sidecar.gate import EndpointGate
from jayvalve.internal.sidecar.release import EngineMemory
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.transport import HandlerTable, PeerContext
from jayvalve.internal.wire.messages import (
    Accepted,
    AttemptState,
    Cancel,
    Dispatch,
    Inquire,
    LoadQuery,
    LoadReport,
    Order,
    ReleaseProgram,
    Resume,
)
from jayvalve.verdict import Verdict

__all__ = ["Execution"]

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
# Wait before a model is unloaded: entries stop sending calls for it within this time after
# the order.
UNLOAD_DELAY_S = 3.0

_log = logger.bind(part="sidecar")


class Execution:
    """Handles the messages about attempts, load, orders and memory of the endpoint."""

    def __init__(
        self,
        adapter: Any,
        gate: EndpointGate,
        attempts: AttemptTable,
        memory: EngineMemory,
        metrics: Metrics,
        clock: Clock,
        is_draining: Callable[[], bool],
    ) -> None:
        self._adapter = adapter
        self._gate = gate
        self._attempts = attempts
        self._memory = memory
        self._metrics = metrics
        self._clock = clock
        self._is_draining = is_draining
        self._terms = TermTable()
        self._order_fence = OrderFence()
        self._last_order: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def register(self, handlers: HandlerTable) -> None:
        """Register the handlers of messages from owners and deciders."""
        handlers.on(Dispatch)(self.dispatch)
        handlers.on(Resume)(self.resume)
        handlers.on(Inquire)(self.inquire)
        handlers.on(Cancel)(self.cancel)
        handlers.on(LoadQuery)(self.load)
        handlers.on(Order)(self.order)
        handlers.on(ReleaseProgram)(self.release)

    async def dispatch(self, context: PeerContext, message: Dispatch) -> AsyncIterator[Any]:
        """Run an attempt and yield its answer."""
        if self._is_draining():
            raise DrainingError("this endpoint is draining")
        self._check_term(message)
        deadline = Deadline.after(self._clock, message.deadline_ms / 1000)
        call = self._queued_call(message, deadline)
        self._gate.check(call)

        async def run(attempt: Attempt) -> None:
            await self._run(attempt, message, call, deadline)

        self._attempts.begin(message.attempt_id, message.incarnation, run)
        async with contextlib.aclosing(self._attempts.read(message.attempt_id)) as parts:
            async for part in parts:
                yield part

    async def resume(self, context: PeerContext, message: Resume) -> AsyncIterator[Any]:
        """Yield an attempt's answer from the requested chunk on."""
        reading = self._attempts.read(message.attempt_id, message.next_chunk)
        async with contextlib.aclosing(reading) as parts:
            async for part in parts:
                yield part

    async def inquire(self, context: PeerContext, message: Inquire) -> AttemptState:
        """Return the state and verdict of an attempt."""
        return self._attempts.inquire(message.attempt_id, message.incarnation, message.abandon)

    async def cancel(self, context: PeerContext, message: Cancel) -> Accepted:
        """Cancel an attempt if it is in progress."""
        self._attempts.cancel(message.attempt_id)
        return Accepted()

    async def load(self, context: PeerContext, message: LoadQuery) -> LoadReport:
        """Report the current load."""
        load = self._gate.load()
        state = "draining" if self._is_draining() else "live"
        return LoadReport(
            load["running"],
            load["waiting"],
            load["limit"],
            state=state,
            waiting_urgent=load["waiting_urgent"],
        )

    async def order(self, context: PeerContext, message: Order) -> Accepted:
        """Forward an order to the endpoint unless its fencing number is stale or repeated."""
        if self._order_fence.check(message.fencing):
            self._last_order = asyncio.ensure_future(self._run_order(message))
        # A repeated order waits for the result of the first one.
        await asyncio.shield(self._last_order)
        return Accepted()

    async def _run_order(self, message: Order) -> None:
        if message.action == "unload":
            await asyncio.sleep(UNLOAD_DELAY_S)
        await self._adapter.order(message.action, message.model, message.fencing)

    async def release(self, context: PeerContext, message: ReleaseProgram) -> Accepted:
        """Free the memory that the endpoint uses for a program that has ended."""
        self._terms.check(message.program, message.epoch, message.handover)
        await self._memory.release(message.program)
        return Accepted()

    def _check_term(self, message: Dispatch) -> None:
        # A call without a program has no owner whose term could be stale.
        if message.epoch or message.handover:
            root = root_key(message.program)
            self._terms.check(root, message.epoch, message.handover)

    def _queued_call(self, message: Dispatch, deadline: Deadline) -> QueuedCall:
        return QueuedCall(
            call_id=message.attempt_id,
            program=root_key(message.program),
            caller=message.organisation,
            rank=Rank.URGENT if message.rank == Rank.URGENT else Rank.ORDINARY,
            attained_tokens=float(message.attained_tokens),
            cost_tokens=_estimated_cost(message),
            deadline_s=deadline.at_s,
            straggler=message.join_straggler,
            starts_program=message.attained_tokens == 0,
        )

    async def _run(
        self, attempt: Attempt, message: Dispatch, call: QueuedCall, deadline: Deadline
    ) -> None:
        arrived_s = self._clock.now()
        await self._gate.acquire_slot(call)
        admitted_s = self._clock.now()
        self._metrics.observe("jayvalve_queue_seconds", admitted_s - arrived_s, rank=call.rank)
        timing = _Timing(admitted_s)
        failed = True
        try:
            if deadline.expired:
                raise DeadlineExceededError(
                    "the deadline passed in the queue", verdict=Verdict.NOT_RUN
                )
            await self._call_endpoint(attempt, message, deadline, timing)
            failed = False
        except JayvalveError as error:
            self._metrics.count("jayvalve_endpoint_failures_total", code=error.code)
            raise
        finally:
            served = call.cost_tokens if timing.first_part_s is not None else 0.0
            latency_s = None if failed else timing.first_part_latency_s
            self._gate.release_slot(call, served, latency_s)
            if not failed:
                self._gate.observe_service(served, self._clock.now() - admitted_s)

    async def _call_endpoint(
        self, attempt: Attempt, message: Dispatch, deadline: Deadline, timing: "_Timing"
    ) -> None:
        attempt.mark_running()
        if not message.service:
            self._memory.record_use(message.program)
        request = EngineRequest(
            message.attempt_id,
            message.program,
            message.rank,
            message.method,
            message.path,
            message.headers,
            message.body,
            message.stream,
            max(0.001, deadline.remaining_s),
        )
        status = 0
        async with contextlib.aclosing(self._adapter.run(request)) as parts:
            async for part in parts:
                timing.record_part(self._clock.now())
                if isinstance(part, EngineHead):
                    status = part.status
                    attempt.set_head(part.status, dict(part.headers))
                else:
                    attempt.append(part)
        attempt.finish(status, load=self._gate.load())
        self._metrics.count("jayvalve_attempts_total", status=str(status))


class _Timing:
    """Measures the time from the admission of a call to the first part of its answer."""

    def __init__(self, admitted_s: float) -> None:
        self._admitted_s = admitted_s
        self.first_part_s: float | None = None

    @property
    def first_part_latency_s(self) -> float | None:
        """Seconds until the first part; None if there is no part yet."""
        return None if self.first_part_s is None else self.first_part_s - self._admitted_s

    def record_part(self, now: float) -> None:
        if self.first_part_s is None:
            self.first_part_s = now


def _estimated_cost(message: Dispatch) -> float:
    """Estimate the tokens of service from the size of the body and the output limit."""
    cost = len(message.body) / BYTES_PER_TOKEN + 1.0
    if message.service:
        return cost
    try:
        limit = json.loads(message.body).get("max_tokens")
    except (ValueError, AttributeError):
        return cost + DEFAULT_OUTPUT_TOKENS
    return cost + (limit if type(limit) is int else DEFAULT_OUTPUT_TOKENS)
