"""The operator's rules, with the defaults from docs/design.md section 3.8."""

from typing import Any

import attrs

__all__ = ["BudgetRule", "PlacementRule", "RankRule", "Rules", "Targets"]


@attrs.frozen
class Targets:
    """Latency targets in seconds.

    Attributes:
        first_token_s: Time to the first token.
        between_tokens_s: Time between two tokens.
        program_s: Time from start to finish of a program, or None for no target.

    """

    first_token_s: float = 0.82
    between_tokens_s: float = 0.068
    program_s: float | None = None


@attrs.frozen
class RankRule:
    """Latency targets and relative worth of one rank.

    Attributes:
        targets: Latency targets.
        worth: Relative worth of one unit of service.

    """

    targets: Targets = attrs.field(factory=Targets)
    worth: float = 1.0

    @classmethod
    def from_config(cls, config: dict[str, Any], worth: float) -> "RankRule":
        """Create from a validated JSON object; worth is the default worth of the rank."""
        return cls(Targets(**config.get("targets", {})), config.get("worth", worth))


@attrs.frozen
class BudgetRule:
    """Default limits for the parts of a budget that a program does not set; None means no limit.

    Attributes:
        tokens: Maximum number of tokens in prompts and answers.
        calls: Maximum number of calls.
        seconds: Maximum time from start to end.

    """

    tokens: int | None = None
    calls: int | None = None
    seconds: float | None = None


@attrs.frozen
class PlacementRule:
    """Thresholds and rates of placement orders.

    By default nothing is unloaded. An idle fleet would otherwise reduce each model to one
    endpoint, and no other endpoint would have the model when that one fails.

    Attributes:
        scale_up_load: Load per endpoint above which another endpoint loads the model.
        scale_down_load: Load per endpoint below which one endpoint unloads the model.
        hold_s: How long the load must stay beyond a threshold without interruption, in seconds.
        loads_per_interval: Maximum number of load orders in one interval.
        load_interval_s: Length of this interval, in seconds.

    """

    scale_up_load: float = 0.8
    scale_down_load: float = 0.0
    hold_s: float = 120.0
    loads_per_interval: int = 4
    load_interval_s: float = 60.0


@attrs.frozen
class Rules:
    """All rules of one document.

    Attributes:
        urgent: Rule of the rank urgent.
        ordinary: Rule of the rank ordinary.
        ordinary_floor: Share of each endpoint's service that is reserved for ordinary work.
        budget: Default budget of a program.
        placement: Thresholds and rates of placement orders.
        program_idle_s: Time without a call after which a program is ended, in seconds.
        ageing_s: Wait after which a call goes first within its rank, in seconds.
        cache_view_age_s: Age beyond which a cache view is ignored, in seconds.

    """

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
        """Create from a validated JSON object."""
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
        """Return the rule of the rank name, which is urgent or ordinary."""
        return {"urgent": self.urgent, "ordinary": self.ordinary}[name]
