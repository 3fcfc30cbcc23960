"""Decisions to load or unload models on endpoints."""

from collections.abc import Iterable

import attrs

from jayvalve.internal.configuration import PlacementRule
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.placement.fold import PlacementFold
from jayvalve.internal.placement.records import PlacementOrder

__all__ = ["Hysteresis", "PlacementDecider", "is_decider"]


def is_decider(instance: str, name: str, entries: Iterable[str]) -> bool:
    """Return whether instance decides for a model or stream.

    The decider is the first entry in the rendezvous order of the name.
    """
    return rendezvous_order(name, entries)[:1] == [instance]


@attrs.define
class Hysteresis:
    """Reports that the load is beyond a threshold once it has stayed there for hold_s.

    Attributes:
        above: Load above which the result becomes up.
        below: Load below which the result becomes down.
        hold_s: How long the load must stay beyond a threshold without interruption,
            in seconds.

    """

    above: float
    below: float
    hold_s: float
    _above_since: float | None = None
    _below_since: float | None = None

    def observe(self, load: float, now: float) -> str:
        """Record the load at monotonic time now and return up, down or an empty string."""
        self._above_since = _condition_start(self._above_since, load > self.above, now)
        self._below_since = _condition_start(self._below_since, load < self.below, now)
        if self._above_since is not None and now - self._above_since >= self.hold_s:
            return "up"
        if self._below_since is not None and now - self._below_since >= self.hold_s:
            return "down"
        return ""

    def reset(self) -> None:
        """Restart the measurement of both durations."""
        self._above_since = self._below_since = None


def _condition_start(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


class PlacementDecider:
    """Creates orders for the models that this instance decides for.

    Demand is the work for a model in units of one fully used endpoint. Divided by the number
    of live endpoints that have the model, it is compared with the thresholds of the rule.
    """

    def __init__(self, instance: str, rule: PlacementRule) -> None:
        self._instance = instance
        self._rule = rule
        self._hysteresis: dict[str, Hysteresis] = {}

    def __repr__(self) -> str:
        return f"PlacementDecider({self._instance!r}, {self._rule!r})"

    @classmethod
    def from_config(cls, instance: str, rule: PlacementRule) -> "PlacementDecider":
        """Create a decider from the current placement rule."""
        return cls(instance, rule)

    def decide(
        self,
        fold: PlacementFold,
        demand: dict[str, float],
        live: Iterable[str],
        entries: Iterable[str],
        now: float,
        wall: float,
    ) -> list[PlacementOrder]:
        """Return the orders to append, at most one per model.

        Args:
            fold: State of all endpoints.
            demand: Demand by model name.
            live: Names of the live endpoints.
            entries: Names of the live entries.
            now: Monotonic time in seconds, used to measure durations.
            wall: Unix time in seconds, compared with the times of records.

        """
        live, entries = sorted(set(live)), sorted(set(entries))
        orders = []
        for model in sorted(demand):
            if not is_decider(self._instance, model, entries):
                # If this instance becomes the decider again, it must not count the time in between,
                # during which it did not observe the load.
                self._hysteresis.pop(model, None)
                continue
            order = self._decide_model(fold, model, demand[model], live, now, wall)
            if order is not None:
                self._hysteresis[model].reset()
                orders.append(order)
        self._discard_models_without_demand(demand)
        return orders

    def _decide_model(
        self,
        fold: PlacementFold,
        model: str,
        demand: float,
        live: list[str],
        now: float,
        wall: float,
    ) -> PlacementOrder | None:
        holders = sorted(fold.holders(f"model:{model}") & set(live))
        direction = self._hysteresis_of(model).observe(_per_endpoint(demand, len(holders)), now)
        if direction == "up":
            candidates = self._load_candidates(fold, model, live, holders)
            return self._first_valid_order(fold, "load", model, candidates, live, wall)
        # After the unload, the remaining endpoints must not exceed the upper threshold.
        if direction == "down" and (
            len(holders) > 1 and _per_endpoint(demand, len(holders) - 1) < self._rule.scale_up_load
        ):
            candidates = rendezvous_order(model, holders)[::-1]
            return self._first_valid_order(fold, "unload", model, candidates, live, wall)
        return None

    def _load_candidates(
        self, fold: PlacementFold, model: str, live: list[str], holders: list[str]
    ) -> list[str]:
        """Return the endpoints without the model, sorted by ascending number of capabilities."""
        order = rendezvous_order(model, [name for name in live if name not in holders])
        in_inventory = [name for name in order if fold.get(name) is not None]
        return sorted(in_inventory, key=lambda name: len(fold.get(name).capabilities))

    def _first_valid_order(
        self,
        fold: PlacementFold,
        action: str,
        model: str,
        candidates: list[str],
        live: list[str],
        wall: float,
    ) -> PlacementOrder | None:
        for name in candidates:
            order = PlacementOrder(
                name, action, f"model:{model}", fold.get(name).head, live, self._instance
            )
            if not fold.refusal_reason(order, wall):
                return order
        return None

    def _hysteresis_of(self, model: str) -> Hysteresis:
        if model not in self._hysteresis:
            rule = self._rule
            self._hysteresis[model] = Hysteresis(
                rule.scale_up_load, rule.scale_down_load, rule.hold_s
            )
        return self._hysteresis[model]

    def _discard_models_without_demand(self, demand: dict[str, float]) -> None:
        for model in self._hysteresis.keys() - demand.keys():
            del self._hysteresis[model]


def _per_endpoint(demand: float, endpoints: int) -> float:
    if endpoints:
        return demand / endpoints
    return float("inf") if demand > 0 else 0.0
