"""Decentralised placement of models on endpoints."""

from jayvalve.internal.placement.decider import Hysteresis, PlacementDecider, is_decider
from jayvalve.internal.placement.fold import (
    MIN_ORDER_INTERVAL_S,
    EndpointState,
    PlacementFold,
    PlacementResult,
)
from jayvalve.internal.placement.records import (
    ACTIONS,
    STREAM,
    InventoryEndpoint,
    InventoryRecord,
    PlacementOrder,
    Snapshot,
    inventory_record,
    parse_record,
)
from jayvalve.internal.placement.runner import FleetView, PlacementRunner

__all__ = [
    "FleetView",
    "PlacementRunner",
    "ACTIONS",
    "MIN_ORDER_INTERVAL_S",
    "STREAM",
    "EndpointState",
    "Hysteresis",
    "InventoryEndpoint",
    "InventoryRecord",
    "PlacementDecider",
    "PlacementFold",
    "PlacementOrder",
    "PlacementResult",
    "Snapshot",
    "inventory_record",
    "is_decider",
    "parse_record",
]
