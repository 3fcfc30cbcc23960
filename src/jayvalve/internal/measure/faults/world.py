"""A run of one schedule: processes, endpoints, callers, operators and faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from jayvalve.internal.hashing import digest
from jayvalve.internal.measure.faults.callers import Callers
from jayvalve.internal.measure.faults.endpoints import EndpointRun, SimulatedEndpoint
from jayvalve.internal.measure.faults.injection import FAULTS
from jayvalve.internal.measure.faults.log import SimulatedLog
from jayvalve.internal.measure.faults.network import Network
from jayvalve.internal.measure.faults.operators import (
    SAMPLE_INTERVAL_S,
    Operators,
    document_value,
)
from jayvalve.internal.measure.faults.processes import Platform, Process, Site, install_platform
from jayvalve.internal.measure.faults.programs import ChangeCaller, ProgramCaller
from jayvalve.internal.measure.faults.schedule import HEAL_TIME_S, Schedule, draw_schedule
from jayvalve.internal.measure.faults.virtual_time import VirtualTimeLoop, deterministic

__all__ = ["Disturbance", "World", "run_schedule"]

T = TypeVar("T")

CENTRES = ("catania", "palermo", "siracusa")
ENDPOINTS = (
    ("engine-1", "catania"),
    ("engine-2", "palermo"),
    ("service-1", "siracusa"),
    ("service-2", "catania"),
)
ENGINE_LATENCY_S = 0.15
SERVICE_LATENCY_S = 0.08
# After the recovery, program callers have SETTLE_TIMEOUT_S to finish; then QUIET_PERIOD_S leaves
# time for sweeps of engine memory.
SETTLE_TIMEOUT_S = 60.0
QUIET_PERIOD_S = 8.0


@attrs.define
class Disturbance:
    """A fault and its period; checks of time limits skip such periods."""

    kind: str
    start_s: float
    end_s: float
    hosts: tuple[str, ...] = ()


class World:
    """State of one run and everything observed during it."""

    def __init__(self, schedule: Schedule, loop: VirtualTimeLoop) -> None:
        seed = schedule.seed
        self.schedule = schedule
        self.loop = loop
        self.random = random.Random(f"world {seed}")
        self.network = Network(loop, seed)
        self.log = SimulatedLog(loop, seed)
        self.platform = Platform(self.network, self.log)
        entries = [
            Site(f"entry-{centre}", "entry", centre, number)
            for number, centre in enumerate(CENTRES, 1)
        ]
        sidecars = [
            Site(f"sidecar-{name}", "sidecar", centre, number, name)
            for number, (name, centre) in enumerate(ENDPOINTS, 11)
        ]
        self.sites = [*entries, *sidecars]
        for name, _ in ENDPOINTS:
            is_engine = name.startswith("engine")
            self.platform.endpoints[name] = SimulatedEndpoint(
                name,
                "model" if is_engine else "application",
                ENGINE_LATENCY_S if is_engine else SERVICE_LATENCY_S,
            )
        self.processes: list[Process] = []
        self.current: dict[str, Process] = {}
        self.disturbances: list[Disturbance] = []
        self.callers = Callers(self._balancer_targets, random.Random(f"callers {seed}"))
        self.operators = Operators(self.log, self.sites, loop, seed)
        self.programs: list[ProgramCaller] = []
        self.engine_memory: dict[str, list[str]] = {}
        self._background_tasks: list[asyncio.Task[Any]] = []

    @property
    def runs(self) -> list[EndpointRun]:
        """All runs at all endpoints, ordered by start time."""
        found = [run for endpoint in self.platform.endpoints.values() for run in endpoint.runs]
        return sorted(found, key=lambda run: run.started_s)

    def active_processes(self, role: str) -> list[Process]:
        """Return the current processes of a role that are running and not paused."""
        found = [process for process in self.current.values() if process.site.role == role]
        return [item for item in found if item.running and not item.host.paused]

    def record_disturbance(self, kind: str, seconds: float, *hosts: str) -> None:
        """Record a fault that starts now and lasts the given number of seconds."""
        now_s = self.loop.time()
        self.disturbances.append(Disturbance(kind, now_s, now_s + seconds, hosts))

    def start(self, site: Site) -> Process:
        """Start a process at a site."""
        seed_addresses = [
            item.address for item in self.sites if item.role == "entry" and item is not site
        ]
        process = Process(site, seed_addresses, self.platform)
        self.processes.append(process)
        self.current[site.instance] = process
        self.publish_instance_list()
        return process

    def publish_instance_list(self) -> None:
        """Publish the running processes to the platform's instance list."""
        running = [process for process in self.current.values() if process.running]
        self.platform.publish_instance_list([process.member() for process in running])

    def spawn(self, work: Any) -> None:
        """Run caller or operator work concurrently with the schedule."""
        self._background_tasks.append(asyncio.ensure_future(work))

    def call_later(self, seconds: float, action: Any, *args: Any) -> None:
        """Call an action after a delay, as the platform or an operator would."""

        async def wait_and_call() -> None:
            await asyncio.sleep(seconds)
            action(*args)

        self.spawn(wait_and_call())

    def replace(self, process: Process) -> None:
        """Start a new process at the site of one that has ended."""
        if self.current[process.site.instance] is process and not process.running:
            self.start(process.site)

    async def run(self) -> None:
        """Run the whole schedule."""
        for site in self.sites:
            self.start(site)
        self.spawn(self._sample_versions())
        value = document_value(self.sites, 0.3)
        await self.operators.publish_first(value)
        events = self._events()
        for at_s, action in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0.0, at_s - self.loop.time()))
            action()
        await asyncio.sleep(max(0.0, HEAL_TIME_S - self.loop.time()))
        await self._recover()
        await self._settle()
        await asyncio.gather(
            *(item.read_history() for item in self.programs if not item.end_requested)
        )
        await asyncio.sleep(QUIET_PERIOD_S)
        for endpoint in self.platform.endpoints.values():
            self.engine_memory[endpoint.name] = sorted(endpoint.memory)

    def trace_digest(self) -> str:
        """Return a checksum of the runs, the outcomes of submissions and the sampled versions."""
        lines = [
            f"{run.started_s:.6f} {run.endpoint} {run.tag} {run.finished_s}" for run in self.runs
        ]
        lines += [
            f"{item.started_s:.6f} {item.ended_s} {item.tag} {item.entry} {item.outcome} "
            f"{item.code} {item.verdict}"
            for item in self.callers.submissions
        ]
        lines += [
            f"{item.time_s:.3f} {item.process.site.instance} {item.version}"
            for item in self.operators.samples
        ]
        return digest("\n".join(lines).encode())

    def _balancer_targets(self) -> list[Process]:
        return [item for item in self.current.values() if self._receives_requests(item)]

    def _receives_requests(self, process: Process) -> bool:
        if process.site.role != "entry" or not process.running:
            return False
        # The balancer sends requests to a draining entry for 0.3 s, less than BALANCER_DELAY_S.
        drain_started_s = process.drain_started_s
        return drain_started_s is None or self.loop.time() < drain_started_s + 0.3

    def _events(self) -> list[tuple[float, Any]]:
        schedule = self.schedule
        events: list[tuple[float, Any]] = []
        for action in schedule.faults:
            events.append((action.at_s, lambda action=action: self._inject(action)))
        for at_s, plan in schedule.programs:
            events.append((at_s, lambda plan=plan: self._start_program(plan)))
        for at_s, key in schedule.changes:
            rng = random.Random(f"{key} {schedule.seed}")
            caller = ChangeCaller(self.callers, rng, key)
            events.append((at_s, lambda caller=caller: self.spawn(caller.run())))
        for at_s, count in schedule.publishes:
            events.append(
                (at_s, lambda count=count: self.spawn(self.operators.publish_concurrently(count)))
            )
        return events

    def _inject(self, action: Any) -> None:
        FAULTS.get(action.kind)(self, random.Random(action.seed))

    def _start_program(self, plan: Any) -> None:
        rng = random.Random(f"{plan.name} {self.schedule.seed}")
        program = ProgramCaller(plan, self.callers, rng)
        self.programs.append(program)
        self.spawn(program.run())

    async def _sample_versions(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.operators.sample(list(self.current.values()))

    async def _recover(self) -> None:
        """End all faults except stalled connections and start each process that is not running."""
        self.network.heal()
        self.log.heal()
        self.platform.list_lag_s = 1.0
        for endpoint in self.platform.endpoints.values():
            endpoint.hangs_until_s = endpoint.fails_until_s = 0.0
        for process in list(self.current.values()):
            if process.host.paused:
                process.host.resume()
            if not process.running:
                self.start(process.site)

    async def _settle(self) -> None:
        """Wait until all program callers have finished, up to SETTLE_TIMEOUT_S."""
        end_s = self.loop.time() + SETTLE_TIMEOUT_S
        while self.loop.time() < end_s and not all(item.done for item in self.programs):
            await asyncio.sleep(0.25)


def run_schedule(
    seed: int, evaluate: Callable[[World], T], patches: list[tuple[Any, str, Any]] | None = None
) -> T:
    """Run the schedule of a seed and return the result of evaluate on the final world.

    The result must not refer to the world, whose coroutines are closed when this call returns.
    """
    with deterministic(seed) as loop:
        return _run(seed, loop, evaluate, patches or [])


def _run(
    seed: int,
    loop: VirtualTimeLoop,
    evaluate: Callable[[World], T],
    patches: list[tuple[Any, str, Any]],
) -> T:
    world = World(draw_schedule(seed), loop)
    with install_platform(world.platform, patches):
        loop.run_until_complete(world.run())
        return evaluate(world)
