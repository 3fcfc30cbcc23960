"""Gateways between callers and engines; all their persistent state is in a shared store.

The exported names do not depend on the platform.
"""

from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.ledger import BudgetLedger
from jayvalve.internal.gateway.placement import choose_engine
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.gateway.store_paths import StorePaths
from jayvalve.internal.gateway.turns import TurnStore

__all__ = [
    "BudgetLedger",
    "HealthTracker",
    "Storage",
    "StorePaths",
    "TurnStore",
    "choose_engine",
]
