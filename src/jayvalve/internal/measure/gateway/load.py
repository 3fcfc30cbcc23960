"""Simulated programs, engines and store."""

import asyncio
import heapq
import itertools
import math
import random
from collections.abc import Sequence

import attrs

from jayvalve.errors import LogUnavailableError
from jayvalve.internal.registry import Registry
from jayvalve.internal.timing import Clock, Deadline

__all__ = [
    "LOADS",
    "Engine",
    "GatewayLoad",
    "Program",
    "SimulatedStore",
    "Turn",
    "Window",
    "draw_programs",
]

# The two kinds of programs in the known deployments: number of turns, pause after each turn in
# seconds, share of all programs, worth if completed in time, worth if completed late.
PROGRAM_KINDS = {
    "chat": (4, 0.06, 0.75, 4.6, 0.56),
    "advice": (11, 0.02, 0.25, 4.1, 1.8),
}
# A program's time limit is TIME_LIMIT_FACTOR times its duration on idle engines plus
# TIME_LIMIT_ALLOWANCE_S. The duration includes TRANSFER_S of network time for each turn, which the
# simulation itself leaves out.
TIME_LIMIT_FACTOR, TIME_LIMIT_ALLOWANCE_S, TRANSFER_S = 1.4, 0.3, 0.024
# A turn outputs a log-normally distributed number of chunks of CHUNK_TOKENS tokens each.
MEAN_CHUNKS, CHUNK_SIGMA, MAX_CHUNKS, CHUNK_TOKENS = 4.0, 0.8, 22, 13
# Service time of a turn on an idle engine, in seconds: for its prompt, and for each output chunk.
TURN_BASE_S, CHUNK_S = 0.02, 0.025
# A program's budget, in turns of maximum length; no program of these loads exhausts it.
BUDGET_TURNS = 24


@attrs.frozen
class Window:
    """A half-open interval in seconds; the default is empty."""

    start_s: float = 0.0
    end_s: float = 0.0

    def contains(self, now: float) -> bool:
        """Return whether the time now lies in the window."""
        return self.start_s <= now < self.end_s


@attrs.frozen
class GatewayLoad:
    """Size, arrival rate and disturbances of one run.

    Attributes:
        seconds: Time span in which programs start.
        slots: Turns that each engine runs concurrently.
        programs_per_s: Arrival rate outside the burst.
        burst_factor: Multiplier of the arrival rate in burst_window.
        store_outage: Window in which the store does not answer.
        store_latency_s: Time that the store takes to answer, in seconds.
        failure_window: Window in which engine 0 fails failure_share of its turns.
        drain_window: Window in which engine 1 accepts no turns.

    """

    seconds: float = 24.0
    gateways: int = 8
    engines: int = 5
    slots: int = 4
    programs_per_s: float = 14.0
    burst_factor: float = 1.0
    burst_window: Window = Window()
    store_outage: Window = Window()
    store_latency_s: float = 0.006
    failure_window: Window = Window()
    failure_share: float = 0.4
    drain_window: Window = Window()


LOADS: Registry[GatewayLoad] = Registry("gateway load")
LOADS.register("calm")(GatewayLoad())
LOADS.register("burst")(
    GatewayLoad(burst_factor=2.2, burst_window=Window(6.0, 13.0), drain_window=Window(8.0, 12.0))
)
LOADS.register("failing-engine")(GatewayLoad(failure_window=Window(5.0, 17.0)))
LOADS.register("store-away")(GatewayLoad(store_outage=Window(8.0, 12.4)))


@attrs.frozen
class Turn:
    """One turn with the tokens and service time that it actually uses."""

    id: str
    tokens: int
    service_s: float


@attrs.define(eq=False)
class Program:
    """One program of a caller.

    Attributes:
        pause_s: Pause after each turn, in seconds.
        limit_s: Time limit for earning worth; completion within twice this limit still earns
            late_worth.
        ended_s: Time at which the pause after the last turn ended, or None if the program did
            not complete.
        refused_attempts: Number of attempts that did not run because the budget did not cover
            them or could not be checked.

    """

    id: str
    kind: str
    start_s: float
    turns: list[Turn]
    pause_s: float
    limit_s: float
    worth: float
    late_worth: float
    ended_s: float | None = None
    refused_attempts: int = 0

    @property
    def budget(self) -> int:
        """Maximum number of tokens for all turns together."""
        return BUDGET_TURNS * MAX_CHUNKS * CHUNK_TOKENS

    @property
    def in_time(self) -> bool:
        """Whether the program completed within its time limit."""
        return self.ended_s is not None and self.ended_s - self.start_s <= self.limit_s

    @property
    def earned_worth(self) -> float:
        """Worth that the program earned: full, late or none."""
        if self.in_time:
            return self.worth
        late = self.ended_s is not None and self.ended_s - self.start_s <= 2 * self.limit_s
        return self.late_worth if late else 0.0


def draw_programs(load: GatewayLoad, rng: random.Random) -> list[Program]:
    """Return the programs of a run in the order of their start times."""
    programs: list[Program] = []
    now = 0.0
    while True:
        rate = load.programs_per_s * (load.burst_factor if load.burst_window.contains(now) else 1.0)
        now += rng.expovariate(rate)
        if now >= load.seconds:
            return programs
        weights = [shape[2] for shape in PROGRAM_KINDS.values()]
        kind = rng.choices(list(PROGRAM_KINDS), weights)[0]
        count, pause_s, _, worth, late_worth = PROGRAM_KINDS[kind]
        name = f"p{len(programs)}"
        turns = [_draw_turn(f"{name}-{number}", rng) for number in range(count)]
        ideal_s = sum(turn.service_s + pause_s + TRANSFER_S for turn in turns)
        limit_s = TIME_LIMIT_FACTOR * ideal_s + TIME_LIMIT_ALLOWANCE_S
        programs.append(Program(name, kind, now, turns, pause_s, limit_s, worth, late_worth))


def _draw_turn(name: str, rng: random.Random) -> Turn:
    # The location parameter gives the log-normal distribution the mean MEAN_CHUNKS.
    chunks = rng.lognormvariate(math.log(MEAN_CHUNKS) - CHUNK_SIGMA**2 / 2, CHUNK_SIGMA)
    count = max(1, min(MAX_CHUNKS, round(chunks)))
    return Turn(name, count * CHUNK_TOKENS, TURN_BASE_S + count * CHUNK_S)


class Engine:
    """Runs one turn per slot and queues the others, the lowest rank first.

    Attributes:
        waiting_s: Total service time of the queued turns, in seconds.

    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.waiting_s = 0.0
        self._free_slots = slots
        self._queue: list[tuple[float, int, asyncio.Future[None], float]] = []
        self._numbers = itertools.count()

    @property
    def load(self) -> int:
        """Number of running and queued turns."""
        return self.slots - self._free_slots + len(self._queue)

    async def run(self, turn: Turn, rank: float) -> None:
        """Run a turn, which waits in the queue while no slot is free."""
        if self._free_slots:
            self._free_slots -= 1
        else:
            ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            entry = (rank, next(self._numbers), ready, turn.service_s)
            heapq.heappush(self._queue, entry)
            self.waiting_s += turn.service_s
            await ready
            self.waiting_s -= turn.service_s
        try:
            await asyncio.sleep(turn.service_s)
        finally:
            if self._queue:
                heapq.heappop(self._queue)[2].set_result(None)
            else:
                self._free_slots += 1


@attrs.frozen
class _Page:
    first: int
    end: int
    next: int
    records: tuple[bytes, ...]


class SimulatedStore:
    """The part of the store that budgets use, with a latency and an outage.

    Requests ignore call_timeout_s and wait_until_available: in an outage, they wait until it ends
    or their deadline expires.
    """

    def __init__(self, load: GatewayLoad, clock: Clock) -> None:
        self._load = load
        self._clock = clock
        self._logs: dict[tuple[str, int], list[bytes]] = {}
        self.calls = 0

    @property
    def available(self) -> bool:
        """Whether the store answers at the current time."""
        return not self._load.store_outage.contains(self._clock.now())

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        deadline: Deadline,
        call_timeout_s: float | None = None,
        wait_until_available: bool = True,
    ) -> int:
        """Append records after the store's latency and return the offset of the first.

        Raises:
            LogUnavailableError: The store was unavailable until the deadline.

        """
        await self._answer(deadline)
        log = self._logs.setdefault((topic, partition), [])
        log += records
        return len(log) - len(records)

    def store_deadline(self, deadline: Deadline) -> Deadline:
        """Return the deadline of a request unchanged: this store adds no limit of its own."""
        return deadline

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        deadline: Deadline,
        call_timeout_s: float | None = None,
        wait_until_available: bool = True,
    ) -> _Page:
        """Return the records from offset start.

        Raises:
            LogUnavailableError: The store was unavailable until the deadline.

        """
        await self._answer(deadline)
        log = self._logs.get((topic, partition), [])
        return _Page(0, len(log), len(log), tuple(log[start:]))

    async def _answer(self, deadline: Deadline) -> None:
        self.calls += 1
        while not self.available:
            if deadline.expired:
                raise LogUnavailableError("the store is away", retry_after_s=1.0)
            await asyncio.sleep(0.02)
        await asyncio.sleep(self._load.store_latency_s)
