"""Scheduler for agent programs in front of model engines and application services.

The names below are the coordination components that other programs can embed;
docs/embedding.md shows how they work together. All except Verdict are imported on first
use, so that importing the package is cheap.
"""

import importlib
from typing import TYPE_CHECKING, Any

from jayvalve.verdict import Verdict

if TYPE_CHECKING:
    from jayvalve.internal.claims import ClaimRelays, ClaimTable
    from jayvalve.internal.configuration import ConfigurationFollower, Document, Publisher
    from jayvalve.internal.limits import (
        ConcurrencyLimit,
        OutlierDetector,
        RetryBudget,
        RetryPolicy,
    )
    from jayvalve.internal.log import LogClient
    from jayvalve.internal.programs import Budget, CopyStore, OwnershipTable
    from jayvalve.internal.routing import CacheView, Router
    from jayvalve.internal.scheduling import AdmissionControl, EndpointQueue
    from jayvalve.internal.timing import Clock, Deadline, ManualClock

__all__ = [
    "AdmissionControl",
    "Budget",
    "CacheView",
    "ClaimRelays",
    "ClaimTable",
    "Clock",
    "ConcurrencyLimit",
    "ConfigurationFollower",
    "CopyStore",
    "Deadline",
    "Document",
    "EndpointQueue",
    "LogClient",
    "ManualClock",
    "OutlierDetector",
    "OwnershipTable",
    "Publisher",
    "RetryBudget",
    "RetryPolicy",
    "Router",
    "Verdict",
]

_MODULES = {
    "claims": ("ClaimRelays", "ClaimTable"),
    "configuration": ("ConfigurationFollower", "Document", "Publisher"),
    "limits": ("ConcurrencyLimit", "OutlierDetector", "RetryBudget", "RetryPolicy"),
    "log": ("LogClient",),
    "programs": ("Budget", "CopyStore", "OwnershipTable"),
    "routing": ("CacheView", "Router"),
    "scheduling": ("AdmissionControl", "EndpointQueue"),
    "timing": ("Clock", "Deadline", "ManualClock"),
}
_MODULE_OF = {name: module for module, names in _MODULES.items() for name in names}


def __getattr__(name: str) -> Any:
    try:
        module = importlib.import_module(f"jayvalve.internal.{_MODULE_OF[name]}")
    except KeyError:
        raise AttributeError(f"module 'jayvalve' has no attribute {name!r}") from None
    return getattr(module, name)


def __dir__() -> list[str]:
    return sorted(__all__)
