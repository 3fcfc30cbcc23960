"""Order of a program's turns."""

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
    """One call: turn is None for arrival order; digest identifies the request's content."""

    request_id: str
    digest: str
    deadline: Deadline
    turn: int | None = None


@attrs.define(eq=False)
class _Entry:
    call: TurnCall
    outcome: asyncio.Future
    turn: int | None
    started: bool = False


@attrs.frozen
class _Stored:
    turn: int
    request_id: str
    digest: str
    answer: Any


class TurnSequence:
    """Runs the calls of one program one after the other and answers repeats.

    With stores_failures, a failure whose verdict is not not_run ends its turn. Without it, any
    failure frees the turn; the caller must then have another guard against a second run.
    """

    def __init__(self, clock: Clock, last_turn: int = 0, *, stores_failures: bool = True) -> None:
        self._clock = clock
        self._stores_failures = stores_failures
        self._last_turn = last_turn
        self._entries: list[_Entry] = []
        self._stored: OrderedDict[int, _Stored] = OrderedDict()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def last_turn(self) -> int:
        """Number of the last turn that has ended."""
        return self._last_turn

    @property
    def waiting(self) -> int:
        """Number of calls that have not started."""
        return sum(not entry.started for entry in self._entries)

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self._entries

    def restore(self, turn: int, request_id: str, digest: str, answer: Any) -> None:
        """Add an ended turn that the history holds."""
        self._store(_Stored(turn, request_id, digest, answer))

    async def run(self, call: TurnCall, execute: Callable[[int], Awaitable[Any]]) -> Any:
        """Return the answer of execute(turn), called at most once per turn.

        A call that fails with verdict not run frees its turn; any other failure ends the
        turn, and a repeat gets the same error. The execution continues when the caller of
        run is cancelled, because repeats may have joined it.

        Raises:
            PredecessorMissingError: an earlier turn did not end in time.
            QueueFullError: MAX_WAITING calls wait already.
            InvalidRequestError: another request has used the turn or the request id.

        """
        entry = self._running(call)
        if entry is None:
            stored = self._find_stored(call)
            if stored is not None:
                return _unwrap(stored.answer)
            entry = self._add(call)
            task = asyncio.create_task(self._drive(entry, execute))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return _unwrap(await asyncio.shield(entry.outcome))

    def _running(self, call: TurnCall) -> _Entry | None:
        for entry in self._entries:
            same_turn = call.turn is not None and call.turn == entry.turn
            if entry.call.request_id == call.request_id or same_turn:
                _check_same(call, entry.turn, entry.call.digest)
                return entry
        return None

    def _find_stored(self, call: TurnCall) -> _Stored | None:
        for stored in self._stored.values():
            if stored.request_id == call.request_id or stored.turn == call.turn:
                _check_same(call, stored.turn, stored.digest)
                return stored
        if call.turn is not None and call.turn <= self._last_turn:
            raise InvalidRequestError(
                f"turn {call.turn} has ended and its answer is no longer stored"
            )
        return None

    def _add(self, call: TurnCall) -> _Entry:
        if self.waiting >= MAX_WAITING:
            raise QueueFullError(f"{MAX_WAITING} calls of this program wait already")
        entry = _Entry(call, asyncio.get_running_loop().create_future(), call.turn)
        self._entries.append(entry)
        self._notify()
        return entry

    async def _drive(self, entry: _Entry, execute: Callable[[int], Awaitable[Any]]) -> None:
        try:
            turn = await self._wait_turn(entry)
            answer = await execute(turn)
        except Exception as error:
            answer = error
        except asyncio.CancelledError:
            entry.outcome.cancel()
            raise
        finally:
            self._entries.remove(entry)
            self._notify()
        if entry.started and not self._frees_turn(answer):
            self._store(_Stored(turn, entry.call.request_id, entry.call.digest, answer))
        entry.outcome.set_result(answer)

    async def _wait_turn(self, entry: _Entry) -> int:
        waits_until = self._clock.now() + PREDECESSOR_WAIT_S
        while not self._may_start(entry):
            if entry.turn is not None and entry.turn <= self._last_turn:
                raise InvalidRequestError(f"turn {entry.turn} was taken by another request")
            if not self._missing(entry):
                waits_until = self._clock.now() + PREDECESSOR_WAIT_S
            limit = min(waits_until, entry.call.deadline.at_s) - self._clock.now()
            if limit <= 0:
                raise PredecessorMissingError(
                    f"turn {self._last_turn + 1} did not end before the call's turn in time"
                )
            await self._wait_change(limit)
        entry.started = True
        entry.turn = self._last_turn + 1
        return entry.turn

    def _may_start(self, entry: _Entry) -> bool:
        if any(other.started for other in self._entries):
            return False
        if entry.turn is not None:
            return entry.turn == self._last_turn + 1
        # Arrival order: earlier calls that could start go first.
        for other in self._entries:
            if other is entry:
                return True
            if other.turn is None or other.turn == self._last_turn + 1:
                return False
        return False

    def _missing(self, entry: _Entry) -> bool:
        if entry.turn is None:
            return False
        present = {other.turn for other in self._entries}
        return any(turn not in present for turn in range(self._last_turn + 1, entry.turn))

    async def _wait_change(self, limit_s: float) -> None:
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), limit_s)
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _frees_turn(self, answer: Any) -> bool:
        if not isinstance(answer, Exception):
            return False
        return not self._stores_failures or _not_run(answer)

    def _store(self, stored: _Stored) -> None:
        self._last_turn = max(self._last_turn, stored.turn)
        self._stored[stored.turn] = stored
        while len(self._stored) > MAX_STORED_ANSWERS:
            self._stored.popitem(last=False)
        self._notify()


def _check_same(call: TurnCall, turn: int | None, digest: str) -> None:
    if call.digest != digest or (call.turn is not None and call.turn != turn):
        raise InvalidRequestError(
            f"request {call.request_id!r}, turn {call.turn}, differs from the one already received"
        )


def _not_run(answer: Any) -> bool:
    return isinstance(answer, JayvalveError) and answer.verdict is Verdict.NOT_RUN


def _unwrap(answer: Any) -> Any:
    if isinstance(answer, Exception):
        raise answer
    return answer
