"""Virtual-time event loop whose callbacks belong to simulated hosts."""

import asyncio
import contextlib
import contextvars
import gc
import heapq
import itertools
import random
import selectors
import sys
import time
import uuid
import warnings
from collections.abc import Callable, Coroutine, Iterator
from typing import Any
from unittest import mock

__all__ = ["GLOBAL", "SimulatedHost", "VirtualTimeLoop", "current_host", "deterministic"]

# Virtual Unix time at which each schedule starts.
START_WALL_S = 1_700_000_000.0
# A schedule with more callbacks than this is stuck in a cycle without delay.
MAX_CALLBACKS = 5_000_000
# A host drops its references to finished tasks only when it has more tasks than this.
MIN_PRUNE_THRESHOLD = 500
# Iterations of the loop at the same virtual time after which the clock advances by itself.
MAX_ROUNDS_WITHOUT_PROGRESS = 1000
MIN_ADVANCE_S = 1e-6

_HOST: contextvars.ContextVar["SimulatedHost | None"] = contextvars.ContextVar("host", default=None)

# Context of callbacks of the network, the log or the checkers, which belong to no host.
GLOBAL = contextvars.Context()


def current_host() -> "SimulatedHost | None":
    """Return the host to which the running callback belongs, or None."""
    return _HOST.get()


class SimulatedHost:
    """A machine with one process; its callbacks run only while it is alive and not paused.

    A killed host runs no further callbacks. A paused host keeps its callbacks and timers and
    runs them when it resumes, as a process does after SIGSTOP and SIGCONT.
    """

    def __init__(self, name: str, loop: "VirtualTimeLoop") -> None:
        self.name = name
        self._loop = loop
        self._context = contextvars.Context()
        self._context.run(_HOST.set, self)
        self._deferred_handles: list[asyncio.Handle] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._prune_threshold = MIN_PRUNE_THRESHOLD
        self.alive = True
        self.paused = False

    def __repr__(self) -> str:
        return f"SimulatedHost({self.name!r})"

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Call a function in the context of this host and return its result."""
        return self._context.copy().run(function, *args)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this host."""
        return self._loop.create_task(work, context=self._context.copy())

    def kill(self) -> None:
        """Stop without any clean-up."""
        self.alive = False
        self._deferred_handles.clear()

    def pause(self) -> None:
        """Defer all callbacks until the host resumes."""
        self.paused = True

    def resume(self) -> None:
        """Queue the deferred callbacks and run new ones again."""
        self.paused = False
        self._loop.requeue(self._deferred_handles)
        self._deferred_handles = []

    def retain_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a task, so that its clean-up code does not run after a kill."""
        self._tasks.append(task)
        if len(self._tasks) > self._prune_threshold:
            self._tasks = [item for item in self._tasks if not item.done()]
            self._prune_threshold = 2 * len(self._tasks) + MIN_PRUNE_THRESHOLD

    def blocks_callback(self, handle: asyncio.Handle) -> bool:
        """Return whether a callback must not run now.

        A paused host keeps the callback for resume; a killed host drops it.
        """
        if self.alive and self.paused:
            self._deferred_handles.append(handle)
        return not self.alive or self.paused


class _Task(asyncio.Task[Any]):
    """A task whose hash, and so its order in a set, does not depend on its memory address."""

    def __new__(cls, work: Any, *, loop: "VirtualTimeLoop", **options: Any) -> "_Task":
        task = super().__new__(cls)
        task.number = loop.next_number()
        return task

    def __hash__(self) -> int:
        return self.number


def _create_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    task = _Task(work, loop=loop, context=context)
    host = _HOST.get() if context is None else context.get(_HOST)
    if host is not None:
        host.retain_task(task)
    return task


def _is_blocked(handle: asyncio.Handle) -> bool:
    host = handle._context.get(_HOST)
    return host is not None and host.blocks_callback(handle)


class _Handle(asyncio.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if not _is_blocked(self):
            super()._run()


class _TimerHandle(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self) -> None:
        if not _is_blocked(self):
            super()._run()


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the virtual time instead of waiting; there are no sockets to watch."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._rounds_without_progress = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        self._rounds_without_progress = 0 if timeout > 0 else self._rounds_without_progress + 1
        # A real clock advances by itself. Without this, a wait shorter than the clock's resolution
        # would be repeated forever.
        min_advance_s = (
            MIN_ADVANCE_S if self._rounds_without_progress > MAX_ROUNDS_WITHOUT_PROGRESS else 0.0
        )
        self.now_s += max(min_advance_s, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer and that respects paused and killed hosts."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        self._callbacks = 0
        self._numbers = itertools.count(1)
        self._retired = False
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return virtual seconds since the start."""
        return self._virtual_selector.now_s

    def next_number(self) -> int:
        """Return the next sequence number, used as the hash of objects that are stored in sets."""
        return next(self._numbers)

    def retire(self) -> None:
        """Drop all callbacks and ignore new ones, which collected coroutines may still schedule."""
        self._retired = True
        self._ready.clear()
        self._scheduled.clear()

    def _check_closed(self) -> None:
        if not self._retired:
            super()._check_closed()

    def requeue(self, handles: list[asyncio.Handle]) -> None:
        """Queue callbacks that a paused host deferred."""
        self._ready.extend(handle for handle in handles if not handle.cancelled())

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a virtual time."""
        timer = _TimerHandle(when, callback, args, self, context)
        if not self._retired:
            heapq.heappush(self._scheduled, timer)
            timer._scheduled = True
        return timer

    def _call_soon(
        self, callback: Callable[..., Any], args: Any, context: contextvars.Context | None
    ) -> asyncio.Handle:
        self._callbacks += 1
        if self._callbacks > MAX_CALLBACKS:
            raise RuntimeError(f"more than {MAX_CALLBACKS} callbacks in one schedule")
        handle = _Handle(callback, args, self, context)
        if not self._retired:
            self._ready.append(handle)
        return handle


@contextlib.contextmanager
def deterministic(seed: int) -> Iterator[VirtualTimeLoop]:
    """Run a block with a new loop and virtual clocks.

    Generators created without a value, and UUIDs, follow the seed.
    """
    loop = VirtualTimeLoop()
    seeds = random.Random(f"generators {seed}")

    class SeededRandom(random.Random):
        def __init__(self, value: Any = None) -> None:
            super().__init__(seeds.getrandbits(64) if value is None else value)

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=seeds.getrandbits(128), version=4)

    with contextlib.ExitStack() as stack:
        # Garbage collection at an arbitrary moment would close coroutines of killed hosts.
        gc.disable()
        patches = [
            (time, "time", lambda: START_WALL_S + loop.time()),
            (time, "monotonic", loop.time),
            (random, "Random", SeededRandom),
            (uuid, "uuid4", next_uuid),
            # Coroutines of killed hosts cannot finish cleanly when they are collected.
            (sys, "unraisablehook", lambda report: None),
        ]
        for target, name, value in patches:
            stack.enter_context(mock.patch.object(target, name, value))
        stack.callback(_close, loop)
        asyncio.set_event_loop(loop)
        loop.set_task_factory(_create_task)
        loop.set_exception_handler(lambda loop, context: None)
        yield loop


def _close(loop: VirtualTimeLoop) -> None:
    """Close the remaining coroutines, which can no longer affect the schedule, and the loop."""
    loop.retire()
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False
            with contextlib.suppress(BaseException):
                task.get_coro().close()
        gc.enable()
        gc.collect()
    asyncio.set_event_loop(None)
    loop.close()
