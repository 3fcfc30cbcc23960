"""Bounds stated by the users, compared with the measured values."""

from collections.abc import Iterable

import attrs

from jayvalve.internal.measure.candidates import BASELINES
from jayvalve.internal.measure.scenarios import ALL_RANKS, Row
from jayvalve.internal.scheduling import Rank

__all__ = ["Expectation", "Figures", "at_least", "at_most"]

OWN_POLICY = "jayvalve"


@attrs.frozen
class Expectation:
    """One bound and the measured value."""

    name: str
    workload: str
    value: float
    bound: float
    met: bool

    @property
    def verdict(self) -> str:
        """``met`` or ``not met``."""
        return "met" if self.met else "not met"


def at_most(name: str, workload: str, value: float, bound: float) -> Expectation:
    """Return an expectation that is met if the value does not exceed the bound."""
    return Expectation(name, workload, value, bound, value <= bound)


def at_least(name: str, workload: str, value: float, bound: float) -> Expectation:
    """Return an expectation that is met if the value reaches the bound."""
    return Expectation(name, workload, value, bound, value >= bound)


class Figures:
    """Measured values by policy, workload, rank and metric."""

    def __init__(self, rows: Iterable[Row]) -> None:
        self._values = {(r.policy, r.workload, r.rank, r.metric): r.value for r in rows}

    def get(self, policy: str, workload: str, metric: str, rank: str = ALL_RANKS) -> float:
        """Return a measured value; raise KeyError if there is none."""
        return self._values[(policy, workload, str(rank), metric)]

    def best_baseline(self, workload: str, metric: str, rank: str = ALL_RANKS) -> float:
        """Return the best value of the baselines, which is the lowest."""
        return min(self.get(policy, workload, metric, rank) for policy in BASELINES)

    def latency(self, workload: str) -> list[Expectation]:
        """Return the bounds on program latency."""
        expectations = []
        for metric in ("latency_p50", "latency_p95"):
            own = self.get(OWN_POLICY, workload, metric)
            ratio_to_round_robin = own / self.get("round_robin", workload, metric)
            ratio_to_best_baseline = own / self.best_baseline(workload, metric)
            expectations.append(
                at_most(f"{metric} / round_robin", workload, ratio_to_round_robin, 0.6)
            )
            expectations.append(
                at_most(f"{metric} / best baseline", workload, ratio_to_best_baseline, 0.85)
            )
            for rank in Rank:
                ratio = self.get(OWN_POLICY, workload, metric, rank)
                ratio /= self.best_baseline(workload, metric, rank)
                expectations.append(
                    at_most(f"{rank} {metric} / best baseline", workload, ratio, 1.05)
                )
        return expectations

    def cache(self, workload: str) -> list[Expectation]:
        """Return the bounds on wasted prefix tokens."""
        own = self.get(OWN_POLICY, workload, "wasted_prefix")
        ratios = {"round_robin": 0.25, "oracle": 1.2}
        return [
            at_most(
                f"wasted_prefix / {policy}",
                workload,
                own / max(1.0, self.get(policy, workload, "wasted_prefix")),
                bound,
            )
            for policy, bound in ratios.items()
        ]

    def flood(self, workload: str, ranks: tuple[Rank, ...], suffix: str) -> list[Expectation]:
        """Return the bounds for a flood; ``suffix`` names a fault during the flood."""
        label = OWN_POLICY + suffix
        capacity = self.get("jayvalve, capacity", workload, "goodput")
        goodput_ratio = self.get(label, workload, "goodput") / capacity
        expectations = [at_least(f"goodput / at capacity{suffix}", workload, goodput_ratio, 0.9)]
        if ranks == (Rank.ORDINARY,):
            ratio = self.get(label, workload, "latency_p95", Rank.URGENT)
            ratio /= self.get("jayvalve, no flood", workload, "latency_p95", Rank.URGENT)
            expectations.append(at_most(f"urgent p95 / no flood{suffix}", workload, ratio, 1.2))
        if Rank.URGENT in ranks:
            # The floor of the ordinary rank is 30% of the goodput at capacity.
            ratio = self.get(label, workload, "goodput", Rank.ORDINARY) / (0.3 * capacity)
            expectations.append(
                at_least(f"ordinary goodput / floor{suffix}", workload, ratio, 0.95)
            )
        return expectations

    def fault(self, workload: str, kind: str) -> list[Expectation]:
        """Return the bounds on retries and recovery time for a fault."""
        label = f"{OWN_POLICY}, {kind}"
        added = self.get(label, workload, "retries_added")
        recovery_s = self.get(label, workload, "recovery")
        return [
            at_most(f"retries added, {kind}", workload, added, 0.10),
            at_most(f"recovery s, {kind}", workload, recovery_s, 10.0),
        ]
