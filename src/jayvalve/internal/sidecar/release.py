"""Release of the engine memory used by programs that have ended."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from jayvalve.errors import JayvalveError
from jayvalve.internal.programs import root_key
from jayvalve.internal.timing import Clock

__all__ = ["EngineMemory"]

SWEEP_INTERVAL_S = 30.0
# A program that was used more recently is most likely still in progress.
MIN_IDLE_S = 60.0
RELEASE_RETRY_S = 1.0

AskStates = Callable[[list[str]], Awaitable[dict[str, str]]]

_log = logger.bind(part="release")


class EngineMemory:
    """Tracks the programs that use memory of the endpoint and frees it when they end.

    A periodic sweep finds programs whose release message was lost, for example because their
    owner died. Before each sweep the engine's cache events are read, because the engine keeps
    its memory when this process is replaced.
    """

    def __init__(
        self,
        adapter: Any,
        ask_states: AskStates,
        clock: Clock,
        min_idle_s: float = MIN_IDLE_S,
        sweep_interval_s: float = SWEEP_INTERVAL_S,
    ) -> None:
        self._adapter = adapter
        self._ask_states = ask_states
        self._clock = clock
        self._min_idle_s = min_idle_s
        self._sweep_interval_s = sweep_interval_s
        self._last_used_s: dict[str, float] = {}
        self._next_event = 0

    @property
    def programs(self) -> list[str]:
        """Programs that may use memory of the endpoint."""
        return list(self._last_used_s)

    def record_use(self, program: str) -> None:
        """Record that the endpoint is running a call of the program."""
        self._last_used_s[program] = self._clock.now()

    async def release(self, root: str) -> None:
        """Free the memory of a root program and its sub-agents.

        Raises:
            JayvalveError: the endpoint did not confirm the release; the sweep retries it.
        """
        agents = [name for name in self.programs if name.startswith(f"{root}.")]
        # Release the root even if it is unknown here: an earlier sidecar may have run it.
        for program in (root, *agents):
            await self._adapter.release(program)
            self._last_used_s.pop(program, None)

    async def discover(self) -> None:
        """Record the programs in the engine's cache events since the last call.

        Raises:
            JayvalveError: the endpoint did not answer.
        """
        page = await self._adapter.cache_events(self._next_event)
        self._next_event = page.next_sequence
        for event in page.events:
            if event.kind == "stored":
                self._last_used_s.setdefault(event.program, self._clock.now())

    async def sweep(self) -> int:
        """Free the memory of ended or unknown programs that are idle.

        Returns:
            Number of root programs whose memory was freed.

        """
        cutoff_s = self._clock.now() - self._min_idle_s
        idle = [name for name, used_s in self._last_used_s.items() if used_s <= cutoff_s]
        if not idle:
            return 0
        roots = sorted({root_key(name) for name in idle})
        states = await self._ask_states(roots)
        freed = 0
        for root in roots:
            if states.get(root) in ("ended", "unknown"):
                await self.release(root)
                freed += 1
        return freed

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await asyncio.sleep(self._sweep_interval_s)
            try:
                await self.discover()
                freed = await self.sweep()
            except JayvalveError as error:
                _log.warning("sweep of engine memory failed and will be retried: {}", error.message)
                continue
            if freed:
                _log.info("freed the memory of {} ended programs", freed)
