"""Registry of the experiments."""

from collections.abc import Callable, Sequence

import attrs

from jayvalve.internal.measure.candidates import BASELINES
from jayvalve.internal.measure.expectations import Expectation, Figures
from jayvalve.internal.measure.metrics import cache_rows, fault_rows, flood_rows, latency_rows
from jayvalve.internal.measure.records import Records
from jayvalve.internal.measure.scenarios import Row, Scenario, base_phase
from jayvalve.internal.measure.workloads import Phase, workloads
from jayvalve.internal.measure.world import Fault
from jayvalve.internal.registry import Registry
from jayvalve.internal.scheduling import Rank

__all__ = ["Experiment", "Timing", "experiments"]

# Offered load as a multiple of capacity.
BASE_LOAD = 0.8
FLOOD_LOAD = 10.0
POLICIES = (*BASELINES, "jayvalve")


@attrs.frozen
class Timing:
    """Virtual times of the runs, in seconds.

    Attributes:
        warm_up_s: Start of the measured window in the latency and cache experiments.
        arrivals_s: End of arrivals in the latency and cache experiments.
        drain_s: Time for programs to finish after the last arrival.
        flood: Start and end of a flood.
        fault: Start and end of a fault.

    """

    warm_up_s: float = 60.0
    arrivals_s: float = 600.0
    drain_s: float = 400.0
    flood: tuple[float, float] = (100.0, 300.0)
    fault: tuple[float, float] = (160.0, 220.0)

    @classmethod
    def quick(cls) -> "Timing":
        """Return short runs whose figures only show that the experiment works."""
        return cls(20.0, 90.0, 60.0, (30.0, 70.0), (40.0, 55.0))


@attrs.frozen
class Experiment:
    """Scenarios and the bounds on their results.

    Attributes:
        scenarios: Returns the scenarios for a workload, a seed and the timing.
        expectations: Compares the measured values of a workload with their bounds.

    """

    scenarios: Callable[[str, int, Timing], list[Scenario]]
    expectations: Callable[[Figures, str], list[Expectation]]


experiments: Registry[Experiment] = Registry("experiment")


def _latency_and_cache_rows(scenario: Scenario, records: Records) -> list[Row]:
    return latency_rows(scenario, records) + cache_rows(scenario, records)


def _steady_scenarios(
    workload: str, seed: int, timing: Timing, policies: Sequence[str]
) -> list[Scenario]:
    return [
        Scenario(
            candidate=policy,
            label=policy,
            workload=workload,
            seed=seed,
            phases=(base_phase(workload, BASE_LOAD, timing.arrivals_s),),
            window=(timing.warm_up_s, timing.arrivals_s),
            until_s=timing.arrivals_s + timing.drain_s,
            measure=_latency_and_cache_rows,
        )
        for policy in policies
    ]


experiments.register("latency")(
    Experiment(
        lambda workload, seed, timing: _steady_scenarios(
            workload, seed, timing, (*POLICIES, "oracle")
        ),
        lambda figures, workload: figures.latency(workload),
    )
)
experiments.register("cache")(
    Experiment(
        lambda workload, seed, timing: _steady_scenarios(
            workload, seed, timing, (*POLICIES, "oracle")
        ),
        lambda figures, workload: figures.cache(workload),
    )
)

_LOSS_BY_SUFFIX = {"": None, ", loss": "loss", ", data_centre_loss": "data_centre_loss"}


def _flood_scenarios(
    ranks: tuple[Rank, ...], workload: str, seed: int, timing: Timing
) -> list[Scenario]:
    begin_s, end_s = timing.flood
    base = base_phase(workload, BASE_LOAD, end_s)
    flood = Phase(begin_s, end_s, {rank: FLOOD_LOAD for rank in ranks})

    def scenario(candidate: str, label: str, phases: tuple[Phase, ...], kind: str | None):
        faults = (Fault(kind, *timing.fault),) if kind else ()
        until_s = end_s + timing.drain_s
        window = timing.flood
        return Scenario(
            candidate, label, workload, seed, phases, window, until_s, flood_rows, faults
        )

    at_capacity = (base_phase(workload, 1.0, end_s),)
    runs = [
        scenario("jayvalve", "jayvalve, no flood", (base,), None),
        scenario("jayvalve", "jayvalve, capacity", at_capacity, None),
    ]
    runs += [scenario(policy, policy, (base, flood), None) for policy in BASELINES]
    for suffix, kind in _LOSS_BY_SUFFIX.items():
        runs.append(scenario("jayvalve", "jayvalve" + suffix, (base, flood), kind))
    return runs


def _register_flood(name: str, ranks: tuple[Rank, ...]) -> None:
    def scenarios(workload: str, seed: int, timing: Timing) -> list[Scenario]:
        return _flood_scenarios(ranks, workload, seed, timing)

    def expectations(figures: Figures, workload: str) -> list[Expectation]:
        bounds = []
        for suffix in _LOSS_BY_SUFFIX:
            bounds.extend(figures.flood(workload, ranks, suffix))
        return bounds

    experiments.register(name)(Experiment(scenarios, expectations))


_register_flood("flood-ordinary", (Rank.ORDINARY,))
_register_flood("flood-urgent", (Rank.URGENT,))
_register_flood("flood-both", (Rank.URGENT, Rank.ORDINARY))


def _register_faults(name: str, policies: Sequence[str], kinds: Sequence[str]) -> None:
    def scenarios(workload: str, seed: int, timing: Timing) -> list[Scenario]:
        # Long programs may start before the fault and finish after it. Arrivals therefore
        # continue after the fault for as long as they lasted before it.
        end_s = timing.fault[1] + timing.fault[0]
        return [
            Scenario(
                candidate=policy,
                label=f"{policy}, {kind}",
                workload=workload,
                seed=seed,
                phases=(base_phase(workload, BASE_LOAD, end_s),),
                window=(timing.fault[0], end_s),
                until_s=end_s + timing.drain_s,
                measure=fault_rows,
                faults=(Fault(kind, *timing.fault),),
            )
            for policy in policies
            for kind in kinds
        ]

    def expectations(figures: Figures, workload: str) -> list[Expectation]:
        return [e for kind in kinds for e in figures.fault(workload, kind)]

    experiments.register(name)(Experiment(scenarios, expectations))


_register_faults("loss", POLICIES, ("loss", "data_centre_loss"))
_register_faults(
    "retries",
    ("jayvalve", "jayvalve_unlimited_retries", "program_hash"),
    ("loss", "data_centre_loss", "slow", "errors"),
)

WORKLOADS = tuple(workloads.names)
