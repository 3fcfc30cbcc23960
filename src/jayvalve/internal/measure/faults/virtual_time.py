"""An event loop in virtual time whose callbacks belong to simulated hosts."""

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

# Virtual Unix time of the start of each schedule.
START_WALL_S = 1_700_000_000.0
# A schedule that needs more callbacks than this is caught in a cycle without delay.
MAX_CALLBACKS = 5_000_000
MIN_TASKS_KEPT = 500
# Rounds of the loop at one moment after which the clock moves on by itself.
MAX_STANDING = 1000
CREEP_S = 1e-6

_HOST: contextvars.ContextVar["SimulatedHost | None"] = contextvars.ContextVar("host", default=None)

# Context of callbacks that belong to the network, the log or the checkers, but to no host.
GLOBAL = contextvars.Context()


def current_host() -> "SimulatedHost | None":
    """Return the host on which the running callback belongs."""
    return _HOST.get()


class SimulatedHost:
    """A machine with one process; all callbacks that it starts stop with it.

    A killed host runs nothing any more. A paused host keeps its callbacks and timers, and runs
    them when it resumes, as a process does after SIGSTOP and SIGCONT.
    """

    def __init__(self, name: str, loop: "VirtualTimeLoop") -> None:
        self.name = name
        self._loop = loop
        self._context = contextvars.Context()
        self._context.run(_HOST.set, self)
        self._held: list[asyncio.Handle] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._prune_at = MIN_TASKS_KEPT
        self.alive = True
        self.paused = False

    def __repr__(self) -> str:
        return f"SimulatedHost({self.name!r})"

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Call a function as this host."""
        return self._context.copy().run(function, *args)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this host."""
        return self._loop.create_task(work, context=self._context.copy())

    def kill(self) -> None:
        """Stop without any clean-up."""
        self.alive = False
        self._held.clear()

    def pause(self) -> None:
        """Hold all callbacks."""
        self.paused = True

    def resume(self) -> None:
        """Run what was held."""
        self.paused = False
        self._loop.requeue(self._held)
        self._held = []

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Hold a reference to a task, so that a kill does not run its clean-up code."""
        self._tasks.append(task)
        if len(self._tasks) > self._prune_at:
            self._tasks = [item for item in self._tasks if not item.done()]
            self._prune_at = 2 * len(self._tasks) + MIN_TASKS_KEPT

    def defers(self, handle: asyncio.Handle) -> bool:
        """Return whether a callback must not run now."""
        if self.alive and self.paused:
            self._held.append(handle)
        return not self.alive or self.paused


class _Task(asyncio.Task[Any]):
    """A task whose place in a set does not depend on its memory address."""

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
        host.keep(task)
    return task


def _defers(handle: asyncio.Handle) -> bool:
    host = handle._context.get(_HOST)
    return host is not None and host.defers(handle)


class _Handle(asyncio.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if not _defers(self):
            super()._run()


class _TimerHandle(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self) -> None:
        if not _defers(self):
            super()._run()


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the time forward instead of waiting; there are no sockets to watch."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._standing = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self._standing = 0 if timeout > 0 else self._standing + 1
        # A real clock moves on by itself; a wait for less than the clock's resolution would
        # otherwise be repeated without end.
        creep_s = CREEP_S if self._standing > MAX_STANDING else 0.0
        self.now_s += max(creep_s, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Its clock jumps to the next timer; callbacks of paused or killed hosts do not run."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        self._callbacks = 0
        self._numbers = itertools.count(1)
        self._retired = False
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds since the start."""
        return self._jumping.now_s

    def next_number(self) -> int:
        """Return the next number of an object that goes into sets."""
        return next(self._numbers)

    def retire(self) -> None:
        """Drop all callbacks and take no more; coroutines that are collected may add some."""
        self._retired = True
        self._ready.clear()
        self._scheduled.clear()

    def _check_closed(self) -> None:
        if not self._retired:
            super()._check_closed()

    def requeue(self, handles: list[asyncio.Handle]) -> None:
        """Run callbacks that a paused host has held."""
        self._ready.extend(handle for handle in handles if not handle.cancelled())

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback."""
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
    """Run a block with a new loop; clocks, unseeded generators and UUIDs follow the seed."""
    loop = VirtualTimeLoop()
    seeds = random.Random(f"generators {seed}")

    class SeededRandom(random.Random):
        def __init__(self, value: Any = None) -> None:
            super().__init__(seeds.getrandbits(64) if value is None else value)

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=seeds.getrandbits(128), version=4)

    with contextlib.ExitStack() as stack:
        # Collection at an arbitrary moment would close coroutines of killed hosts.
        gc.disable()
        patches = [
            (time, "time", lambda: START_WALL_S + loop.time()),
            (time, "monotonic", loop.time),
            (random, "Random", SeededRandom),
            (uuid, "uuid4", next_uuid),
            # Coroutines of killed hosts cannot end cleanly when they are collected.
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
    """End the coroutines that are left; they can no longer affect the schedule."""
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
