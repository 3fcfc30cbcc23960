"""Background tasks that are restarted when an unexpected error ends them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.timing import Clock

__all__ = ["SupervisionSettings", "TaskSupervisor"]

_log = logger.bind(part="supervision")


@attrs.frozen
class SupervisionSettings:
    """Delays before a failed task is started again.

    Attributes:
        initial_delay_s: Delay after the first failure, in seconds; it doubles with each further
            one.
        max_delay_s: Maximum delay. Longer ones would leave the process without the task's work.
        reset_after_s: Time without a failure after which the delay starts again at its minimum.

    """

    initial_delay_s: float = 0.1
    max_delay_s: float = 2.0
    reset_after_s: float = 30.0


class TaskSupervisor:
    """Runs background tasks until it is closed.

    A task that fails, for instance on a malformed record, would otherwise leave a process that
    serves from stale data, or stop the whole process.

    Args:
        on_failure: Called with the name of a task that failed, for the metrics.

    """

    def __init__(
        self,
        clock: Clock,
        settings: SupervisionSettings,
        on_failure: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, name: str, work: Callable[[], Awaitable[Any]]) -> "asyncio.Task[Any]":
        """Run work in a task; start it again when it fails, and end the task when it returns."""
        task = asyncio.ensure_future(self._supervise(name, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _supervise(self, name: str, work: Callable[[], Awaitable[Any]]) -> None:
        settings = self._settings
        delay_s = settings.initial_delay_s
        while True:
            started_s = self._clock.now()
            try:
                await work()
                return
            except Exception as error:
                if self._clock.now() - started_s >= settings.reset_after_s:
                    delay_s = settings.initial_delay_s
                self._on_failure(name)
                _log.bind(task=name, error=repr(error), restart_in_s=delay_s).opt(
                    exception=error
                ).error("background task failed; it is started again")
                await asyncio.sleep(delay_s)
                delay_s = min(settings.max_delay_s, 2 * delay_s)
