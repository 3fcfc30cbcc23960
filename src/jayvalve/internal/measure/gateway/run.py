"""Simulates a load under a policy in virtual time and reports its results."""

import asyncio
import json
import pathlib
import random
import statistics
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table

from jayvalve.errors import BudgetExceededError, LogUnavailableError
from jayvalve.internal.gateway.budgets import BudgetSettings, TurnBudgets, TurnGrant
from jayvalve.internal.gateway.health import HealthSettings, HealthTracker
from jayvalve.internal.gateway.leases import HOLDER_LEASES, LeaseSettings
from jayvalve.internal.gateway.ledger import BudgetLedger, LedgerSettings
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.measure.faults.virtual_time import deterministic
from jayvalve.internal.measure.gateway.load import (
    CHUNK_TOKENS,
    LOADS,
    MAX_CHUNKS,
    Engine,
    GatewayLoad,
    Program,
    SimulatedStore,
    Turn,
    draw_programs,
)
from jayvalve.internal.measure.gateway.policies import POLICIES, GatewayPolicy, GatewayView
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["GatewayFigures", "simulate_load", "run_gateway"]

# Interval between reports of the gateways' loads and failures to each other, in seconds.
REPORT_INTERVAL_S = 0.06
# One-way delay between two gateways, in seconds.
PEER_DELAY_S = 0.001
# Probability that a turn keeps the gateway of the program's previous turn; otherwise its gateway is
# drawn from all gateways, that one included. The value is the share of turns at the same gateway
# that was observed in the deployments.
KEEP_GATEWAY_PROBABILITY = 0.54
# How long a call waits for an unavailable store, and how long its caller then waits before the next
# attempt, in seconds.
STORE_TIMEOUT_S, RETRY_AFTER_S = 1.0, 1.0
# Maximum number of attempts of a turn before its program fails.
MAX_ATTEMPTS = 6
# Delay before a failed turn is retried, in seconds.
RETRY_DELAY_S = 0.25
# How long unfinished programs may run after the end of the load, in seconds.
DRAIN_TIMEOUT_S = 12.0
# Width of the printed table in characters, also on a terminal. The default width without a
# terminal is too small for all columns.
TABLE_WIDTH = 110


@attrs.frozen
class GatewayFigures:
    """Results of a run for the callers of its programs.

    Attributes:
        programs: Number of programs.
        worth: Earned share of the total worth of all programs.
        in_time: Share of the programs that completed within their time limit.
        late_p95_s: 95th percentile, over the completed programs, of the time beyond the duration
            on idle engines without network time, in seconds.
        store_calls: Store calls per completed turn.
        refused: Attempts per program that did not run because the budget did not cover them or
            could not be checked.

    """

    programs: int
    worth: float
    in_time: float
    late_p95_s: float
    store_calls: float
    refused: float


class _Gateway:
    """One gateway with its ledger and its view of the engines' load and health."""

    def __init__(self, simulation: "_Simulation", number: int) -> None:
        self._simulation = simulation
        self.rng = random.Random(f"gateway {number}")
        self.health = HealthTracker(simulation.clock, HealthSettings(), "dc")
        self.running: dict[str, int] = {}
        self._service_s = 0.1
        self._placed_turns = number
        own_leases = LeaseSettings(turns=max(1, simulation.policy.lease_turns))
        leases = HOLDER_LEASES if simulation.policy.lends_budgets else own_leases
        partitions = PartitionMap("budget-", 1, 12)
        self.address = ("gateway", number)
        self.ledger = BudgetLedger(
            simulation.store,  # type: ignore[arg-type]
            partitions,
            simulation.clock,
            LedgerSettings(leases=leases),
            str(number),
        )
        self.calls = PeerCalls(self._transmit, simulation.clock, CallSettings(), self.rng)
        self.budgets = TurnBudgets(
            self.ledger,
            self.calls,
            partitions,
            self.address,
            self._peers,
            simulation.clock,
            BudgetSettings(),
        )

    def _peers(self) -> list[tuple[str, int]]:
        others = self._simulation.gateways if self._simulation.policy.lends_budgets else []
        return [other.address for other in others if other is not self]

    def _transmit(self, address: tuple[str, int], message: list[Any]) -> None:
        receive = self._simulation.gateways[address[1]].calls.receive
        asyncio.get_running_loop().call_later(PEER_DELAY_S, receive, self.address, message)

    async def serve(self, program: Program, turn: Turn) -> bool:
        """Run a turn and return whether it succeeded.

        Raises:
            BudgetExceededError: The budget does not cover the turn; nothing ran.
            LogUnavailableError: The budget could not be checked; nothing ran.

        """
        simulation = self._simulation
        grant = await self._reserve(program, turn)
        now = simulation.clock.now()
        engines = [
            engine
            for number, engine in enumerate(simulation.engines)
            if not (number == 1 and simulation.load.drain_window.contains(now))
        ]
        loads = {engine.name: simulation.known_load(engine.name, self) for engine in engines}
        view = GatewayView(
            engines, loads, self.health, self.rng, self._service_s, self._placed_turns
        )
        engine = simulation.policy.choose(view, turn)
        self._placed_turns += 1
        self.running[engine.name] = self.running.get(engine.name, 0) + 1
        remaining_s = program.start_s + program.limit_s - now
        failed = False
        try:
            await engine.run(turn, simulation.policy.rank(turn, remaining_s))
            load = simulation.load
            may_fail = engine is simulation.engines[0] and load.failure_window.contains(
                simulation.clock.now()
            )
            failed = may_fail and simulation.rng.random() < load.failure_share
        finally:
            self.running[engine.name] -= 1
            if grant is not None:
                self.budgets.settle(grant, 0 if failed else turn.tokens)
        self.health.record(engine.name, failed)
        self._service_s += 0.1 * (turn.service_s - self._service_s)
        return not failed

    async def _reserve(self, program: Program, turn: Turn) -> TurnGrant | None:
        simulation = self._simulation
        if not simulation.policy.lease_turns:
            return None
        max_tokens = MAX_CHUNKS * CHUNK_TOKENS
        deadline = Deadline.after(simulation.clock, STORE_TIMEOUT_S)
        name = f"{turn.id}/{simulation.next_number()}"
        return await self.budgets.reserve(program.id, name, max_tokens, program.budget, deadline)


class _Simulation:
    """The gateways, engines and store of one run."""

    def __init__(self, load: GatewayLoad, policy: GatewayPolicy, seed: int) -> None:
        self.load = load
        self.policy = policy
        self.clock = Clock()
        self.rng = random.Random(f"world {seed}")
        self.store = SimulatedStore(load, self.clock)
        self.engines = [Engine(f"e{number}", load.slots) for number in range(load.engines)]
        self.gateways = [_Gateway(self, number) for number in range(load.gateways)]
        self.turns_run = 0
        self._numbers = 0
        self._reported_loads: dict[_Gateway, dict[str, int]] = {}

    def next_number(self) -> int:
        """Return a number that is unique in this run."""
        self._numbers += 1
        return self._numbers

    def known_load(self, engine: str, observer: _Gateway) -> int:
        """Return an engine's load as known to a gateway: its own turns and the reported ones."""
        others = sum(
            loads.get(engine, 0)
            for gateway, loads in self._reported_loads.items()
            if gateway is not observer
        )
        return others + observer.running.get(engine, 0)

    async def exchange_reports(self) -> None:
        """Report loads and failures to all gateways every REPORT_INTERVAL_S, until cancelled."""
        while True:
            self._reported_loads = {gateway: dict(gateway.running) for gateway in self.gateways}
            reports = [gateway.health.report() for gateway in self.gateways]
            for gateway in self.gateways:
                for number, report in enumerate(reports):
                    if self.gateways[number] is not gateway:
                        gateway.health.receive(str(number), "dc", report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def run_program(self, program: Program) -> None:
        """Run the turns of a program one after the other, as its caller does."""
        await asyncio.sleep(program.start_s)
        gateway = self.rng.choice(self.gateways)
        for turn in program.turns:
            if self.rng.random() > KEEP_GATEWAY_PROBABILITY:
                gateway = self.rng.choice(self.gateways)
            if not await self._run_turn(program, turn, gateway):
                return
            await asyncio.sleep(program.pause_s)
        program.ended_s = self.clock.now()

    async def _run_turn(self, program: Program, turn: Turn, gateway: _Gateway) -> bool:
        for _ in range(MAX_ATTEMPTS):
            try:
                if await gateway.serve(program, turn):
                    self.turns_run += 1
                    return True
                await asyncio.sleep(RETRY_DELAY_S)
            except LogUnavailableError:
                program.refused_attempts += 1
                await asyncio.sleep(RETRY_AFTER_S)
            except BudgetExceededError:
                program.refused_attempts += 1
                return False
        return False


def simulate_load(load: GatewayLoad, policy: GatewayPolicy, seed: int) -> GatewayFigures:
    """Simulate one run in virtual time and return its results."""
    with deterministic(seed) as loop:
        programs = draw_programs(load, random.Random(f"programs {seed}"))
        simulation = _Simulation(load, policy, seed)

        async def run() -> None:
            background = [asyncio.ensure_future(simulation.exchange_reports())]
            for gateway in simulation.gateways:
                background += map(
                    asyncio.ensure_future, (gateway.ledger.run(), gateway.budgets.run())
                )
            work = [asyncio.ensure_future(simulation.run_program(program)) for program in programs]
            await asyncio.wait(work, timeout=load.seconds + DRAIN_TIMEOUT_S)
            for task in [*background, *work]:
                task.cancel()

        loop.run_until_complete(run())
    return _figures(programs, simulation)


def _figures(programs: list[Program], simulation: _Simulation) -> GatewayFigures:
    ideal_s = {
        program.id: sum(turn.service_s + program.pause_s for turn in program.turns)
        for program in programs
    }
    late_s = sorted(
        program.ended_s - program.start_s - ideal_s[program.id]
        for program in programs
        if program.ended_s is not None
    )
    return GatewayFigures(
        programs=len(programs),
        worth=sum(p.earned_worth for p in programs) / sum(p.worth for p in programs),
        in_time=statistics.mean(program.in_time for program in programs),
        late_p95_s=late_s[int(0.95 * len(late_s))] if late_s else 0.0,
        store_calls=simulation.store.calls / max(1, simulation.turns_run),
        refused=statistics.mean(program.refused_attempts for program in programs),
    )


def run_gateway(seed: int, output: str | None, seeds: int = 5) -> list[dict[str, Any]]:
    """Simulate all loads under all policies, print a table and return its rows.

    Args:
        seed: First seed.
        output: JSON file for the rows, or None.
        seeds: Number of runs of each load and policy, with consecutive seeds; the rows contain
            the means.

    """
    rows: list[dict[str, Any]] = []
    for name in LOADS:
        for policy in POLICIES:
            results = [
                attrs.asdict(simulate_load(LOADS.get(name), POLICIES.get(policy), seed + number))
                for number in range(seeds)
            ]
            means = {key: statistics.mean(row[key] for row in results) for key in results[0]}
            rows.append({"load": name, "policy": policy, **means})
    table = Table(*rows[0])
    for row in rows:
        cells = (
            f"{value:.3f}" if isinstance(value, float) else str(value) for value in row.values()
        )
        table.add_row(*cells)
    Console(width=TABLE_WIDTH).print(table)
    if output:
        pathlib.Path(output).write_text(json.dumps({"seed": seed, "rows": rows}, indent=1))
    return rows
