"""The operator's configuration: document, fold of the log, publishing and renewal."""

from jayvalve.internal.configuration.document import Document, Endpoint, Inventory, Limits, Model
from jayvalve.internal.configuration.fold import (
    ConfigurationFold,
    FoldResult,
    Publish,
    Renew,
    Version,
    parse_record,
)
from jayvalve.internal.configuration.follower import STREAM, ConfigurationFollower
from jayvalve.internal.configuration.plan import Change, Plan, diff, make_plan
from jayvalve.internal.configuration.publisher import HistoryEntry, Publisher
from jayvalve.internal.configuration.renewal import Renewal, renewal_age_s
from jayvalve.internal.configuration.rules import (
    BudgetRule,
    PlacementRule,
    RankRule,
    Rules,
    Targets,
)

__all__ = [
    "STREAM",
    "BudgetRule",
    "Change",
    "ConfigurationFold",
    "ConfigurationFollower",
    "Document",
    "Endpoint",
    "FoldResult",
    "HistoryEntry",
    "Inventory",
    "Limits",
    "Model",
    "PlacementRule",
    "Plan",
    "Publish",
    "Publisher",
    "RankRule",
    "Renew",
    "Renewal",
    "Rules",
    "Targets",
    "Version",
    "diff",
    "make_plan",
    "parse_record",
    "renewal_age_s",
]
