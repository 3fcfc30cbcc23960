"""Ordered execution of a program's turns, with stored answers for repeated requests."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from jayvalve.errors import (
    InvalidRequestError,
    JayvalveError,
    PredecessorMissingError,
    QueueFullError,
)
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.verdict import Verdict

__all__ = ["MAX_STORED_ANSWERS", "MAX_WAITING", "PREDECESSOR_WAIT_S", "TurnCall", "TurnSequence"]

PREDECESSOR_WAIT_S = 5.0
MAX_WAITING = 64
# A caller repeats only its most recent requests, so older answers are not kept.
MAX_STORED_ANSWERS = 64


@attrs.frozen
class TurnCall:
    """One call of a program.

    Attributes:
        request_id: Identifier of the request; a repeated request has the same identifier.
        digest: Digest of the request's content.
        deadline: Deadline of the call.
        turn: Number of the turn, or None to run in arrival order.

    """

    request_id: str
    digest: str
    deadline: Deadline
    turn: int | None = None


@attrs.define(eq=False)
class _PendingCall:
    call: TurnCall
    outcome: asyncio.Future
    turn: int | None
    started: bool = False


@attrs.frozen
class _StoredTurn:
    turn: int
    request_id: str
    digest: str
    answer: Any


class TurnSequence:
    """Runs the calls of one program one after the other and answers repeated requests.

    Args:
        clock: Source of the current time.
        last_turn: Number of the last turn that has ended.
        stores_failures: Whether a failed call ends its turn unless its verdict is not_run. If
            false, every failure frees the turn, and the caller must prevent a second execution
            in another way.

    """

    def __init__(self, clock: Clock, last_turn: int = 0, *, stores_failures: bool = True) -> None:
        self._clock = clock
        self._stores_failures = stores_failures
        self._last_turn = last_turn
        self._pending: list[_PendingCall] = []
        self._stored_turns: OrderedDict[int, _StoredTurn] = OrderedDict()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def last_turn(self) -> int:
        """Number of the last turn that has ended."""
        return self._last_turn

    @property
    def waiting(self) -> int:
        """Number of calls that have not started yet."""
        return sum(not pending.started for pending in self._pending)

    @property
    def idle(self) -> bool:
        """Whether no call is running or waiting."""
        return not self._pending

    def restore(self, turn: int, request_id: str, digest: str, answer: Any) -> None:
        """Add an ended turn from the history."""
        self._store(_StoredTurn(turn, request_id, digest, answer))

    async def run(self, call: TurnCall, execute: Callable[[int], Awaitable[Any]]) -> Any:
        """Run a call in its turn and return the answer of execute(turn).

        A failed call frees its turn for another attempt if its verdict is not_run or if
        failures are not stored. Any other outcome ends the turn, and repeated requests receive
        the same answer or error without another execution. The execution continues if the
        caller of run is cancelled, because repeated requests may be waiting for the same answer.

        Raises:
            PredecessorMissingError: an earlier turn did not end in time.
            QueueFullError: MAX_WAITING calls are already waiting.
            InvalidRequestError: another request has used the turn or the request id, or the
                answer of the turn is no longer stored.

        """
        pending = self._find_pending(call)
        if pending is None:
            stored = self._find_stored(call)
            if stored is not None:
                return _unwrap(stored.answer)
            pending = self._enqueue(call)
            task = asyncio.create_task(self._run_turn(pending, execute))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return _unwrap(await asyncio.shield(pending.outcome))

    def _find_pending(self, call: TurnCall) -> _PendingCall | None:
        for pending in self._pending:
            same_turn = call.turn is not None and call.turn == pending.turn
            if pending.call.request_id == call.request_id or same_turn:
                _check_same_request(call, pending.turn, pending.call.digest)
                return pending
        return None

    def _find_stored(self, call: TurnCall) -> _StoredTurn | None:
        for stored in self._stored_turns.values():
            if stored.request_id == call.request_id or stored.turn == call.turn:
                _check_same_request(call, stored.turn, stored.digest)
                return stored
        if call.turn is not None and call.turn <= self._last_turn:
            raise InvalidRequestError(
                f"turn {call.turn} has ended and its answer is no longer stored"
            )
        return None

    def _enqueue(self, call: TurnCall) -> _PendingCall:
        if self.waiting >= MAX_WAITING:
            raise QueueFullError(f"{MAX_WAITING} calls of this program are already waiting")
        pending = _PendingCall(call, asyncio.get_running_loop().create_future(), call.turn)
        self._pending.append(pending)
        self._notify()
        return pending

    async def _run_turn(
        self, pending: _PendingCall, execute: Callable[[int], Awaitable[Any]]
    ) -> None:
        try:
            turn = await self._wait_for_turn(pending)
            answer = await execute(turn)
        except Exception as error:
            answer = error
        except asyncio.CancelledError:
            pending.outcome.cancel()
            raise
        finally:
            self._pending.remove(pending)
            self._notify()
        if pending.started and not self._frees_turn(answer):
            self._store(_StoredTurn(turn, pending.call.request_id, pending.call.digest, answer))
        pending.outcome.set_result(answer)

    async def _wait_for_turn(self, pending: _PendingCall) -> int:
        wait_until_s = self._clock.now() + PREDECESSOR_WAIT_S
        while not self._can_start(pending):
            if pending.turn is not None and pending.turn <= self._last_turn:
                raise InvalidRequestError(f"turn {pending.turn} was taken by another request")
            if not self._has_missing_predecessor(pending):
                wait_until_s = self._clock.now() + PREDECESSOR_WAIT_S
            remaining_s = min(wait_until_s, pending.call.deadline.at_s) - self._clock.now()
            if remaining_s <= 0:
                raise PredecessorMissingError(
                    f"turn {self._last_turn + 1}, which precedes this call, did not end in time"
                )
            await self._wait_for_change(remaining_s)
        pending.started = True
        pending.turn = self._last_turn + 1
        return pending.turn

    def _can_start(self, pending: _PendingCall) -> bool:
        if any(other.started for other in self._pending):
            return False
        if pending.turn is not None:
            return pending.turn == self._last_turn + 1
        # In arrival order, a call must wait for all earlier calls that can start.
        for other in self._pending:
            if other is pending:
                return True
            if other.turn is None or other.turn == self._last_turn + 1:
                return False
        return False

    def _has_missing_predecessor(self, pending: _PendingCall) -> bool:
        if pending.turn is None:
            return False
        present = {other.turn for other in self._pending}
        return any(turn not in present for turn in range(self._last_turn + 1, pending.turn))

    async def _wait_for_change(self, timeout_s: float) -> None:
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _frees_turn(self, answer: Any) -> bool:
        if not isinstance(answer, Exception):
            return False
        return not self._stores_failures or _is_not_run(answer)

    def _store(self, stored: _StoredTurn) -> None:
        self._last_turn = max(self._last_turn, stored.turn)
        self._stored_turns[stored.turn] = stored
        while len(self._stored_turns) > MAX_STORED_ANSWERS:
            self._stored_turns.popitem(last=False)
        self._notify()


def _check_same_request(call: TurnCall, turn: int | None, digest: str) -> None:
    if call.digest != digest or (call.turn is not None and call.turn != turn):
        raise InvalidRequestError(
            f"request {call.request_id!r}, turn {call.turn}, differs from the one already received"
        )


def _is_not_run(answer: Any) -> bool:
    return isinstance(answer, JayvalveError) and answer.verdict is Verdict.NOT_RUN


def _unwrap(answer: Any) -> Any:
    if isinstance(answer, Exception):
        raise answer
    return answer
