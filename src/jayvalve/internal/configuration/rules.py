"""The operator's rules with the defaults of docs/design.md section 3.8."""

from typing import Any

import attrs

__all__ = ["BudgetRule", "PlacementRule", "RankRule", "Rules", "Targets"]


@attrs.frozen
class Targets:
    """Latency targets in seconds; program_s None means that none is set."""

    first_token_s: float = 0.82
    between_tokens_s: float = 0.068
    program_s: float | None = None


@attrs.frozen
class RankRule:
    """Targets and relative worth of one rank."""

    targets: Targets = attrs.field(factory=Targets)
    worth: float = 1.0

    @classmethod
    def from_config(cls, config: dict[str, Any], worth: float) -> "RankRule":
        """Build from a checked JSON object; worth is the rank's default."""
        return cls(Targets(**config.get("targets", {})), config.get("worth", worth))


@attrs.frozen
class BudgetRule:
    """Budget of a program that states none; None means no bound."""

    tokens: int | None = None
    calls: int | None = None
    seconds: float | None = None


@attrs.frozen
class PlacementRule:
    """Thresholds and rates of placement orders.

    By default nothing is unloaded: an idle fleet would otherwise shrink each model to one
    endpoint and have no spare when that one fails.
    """

    scale_up_load: float = 0.8
    scale_down_load: float = 0.0
    hold_s: float = 120.0
    loads_per_interval: int = 4
    load_interval_s: float = 60.0


@attrs.frozen
class Rules:
    """All rules of one document."""

    urgent: RankRule = attrs.field(factory=lambda: RankRule(worth=10.0))
    ordinary: RankRule = attrs.field(factory=RankRule)
    ordinary_floor: float = 0.3
    budget: BudgetRule = attrs.field(factory=BudgetRule)
    placement: PlacementRule = attrs.field(factory=PlacementRule)
    program_idle_s: float = 900.0
    ageing_s: float = 30.0
    cache_view_age_s: float = 30.0

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Rules":
        """Build from a checked JSON object."""
        ranks = config.get("ranks", {})
        scalars = {
            name: config[name]
            for name in ("program_idle_s", "ageing_s", "cache_view_age_s")
            if name in config
        }
        return cls(
            RankRule.from_config(ranks.get("urgent", {}), worth=10.0),
            RankRule.from_config(ranks.get("ordinary", {}), worth=1.0),
            config.get("floors", {}).get("ordinary", 0.3),
            BudgetRule(**config.get("budgets", {})),
            PlacementRule(**config.get("placement", {})),
            **scalars,
        )

    def rank(self, name: str) -> RankRule:
        """Return the rule of rank urgent or ordinary."""
        return {"urgent": self.urgent, "ordinary": self.ordinary}[name]
