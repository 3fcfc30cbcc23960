"""Runs of one candidate on one workload, and the rows they produce."""

from collections.abc import Callable

import attrs

from jayvalve.internal.measure.candidates import candidates
from jayvalve.internal.measure.engine_model import EngineSettings
from jayvalve.internal.measure.records import Records
from jayvalve.internal.measure.workloads import Phase, generate_programs, workloads
from jayvalve.internal.measure.world import Fault, World
from jayvalve.internal.scheduling import Rank

__all__ = ["ALL_RANKS", "Row", "Scenario", "base_phase", "run_scenario"]

ALL_RANKS = "all"


@attrs.frozen
class Row:
    """Value of one metric in one run, or its median over the seeds.

    ``low`` and ``high`` are the minimum and the maximum over the seeds.
    """

    policy: str
    workload: str
    rank: str
    metric: str
    value: float
    unit: str
    low: float = float("nan")
    high: float = float("nan")


@attrs.frozen
class Scenario:
    """Parameters of one run.

    Attributes:
        candidate: Name in ``candidates``.
        label: Name of the policy in rows: the candidate and the conditions of the run.
        workload: Name in ``workloads``.
        seed: Seed of the programs and of the random choices of the simulation and its entries;
            an endpoint's generator is seeded with its name.
        phases: Offered load over time.
        faults: Faults of endpoints.
        window: Start and end of the measured window in virtual seconds.
        until_s: End of the run in virtual seconds.
        measure: Computes rows from the records; a module-level function, which can be pickled
            and sent to another process.

    """

    candidate: str
    label: str
    workload: str
    seed: int
    phases: tuple[Phase, ...]
    window: tuple[float, float]
    until_s: float
    measure: Callable[["Scenario", Records], list[Row]]
    faults: tuple[Fault, ...] = ()

    def row(self, metric: str, value: float, unit: str, rank: str = ALL_RANKS) -> Row:
        """Return a row of this scenario."""
        return Row(self.label, self.workload, str(rank), metric, value, unit)


def base_phase(workload: str, load: float, end_s: float) -> Phase:
    """Return a phase whose load is split between the ranks as in the workload."""
    share = workloads.get(workload).urgent_share
    return Phase(0.0, end_s, {Rank.URGENT: load * share, Rank.ORDINARY: load * (1.0 - share)})


def run_scenario(scenario: Scenario) -> list[Row]:
    """Run a scenario and return its rows."""
    deployment = workloads.get(scenario.workload)
    engine = EngineSettings()
    programs = generate_programs(deployment, engine, list(scenario.phases), scenario.seed)
    world = World(deployment, candidates.get(scenario.candidate), engine, scenario.seed)
    records = world.run(programs, list(scenario.faults), scenario.until_s)
    return scenario.measure(scenario, records)
