"""Computes the current state of each endpoint from the placement stream."""

from collections import deque

import attrs

from jayvalve.internal.log import LogRecord
from jayvalve.internal.placement.records import (
    InventoryRecord,
    PlacementOrder,
    Snapshot,
    parse_record,
)

__all__ = ["MIN_ORDER_INTERVAL_S", "EndpointState", "PlacementFold", "PlacementResult"]

# Minimum time between two accepted orders for the same endpoint. Prevents models and roles from
# alternating faster than an engine can load a model.
MIN_ORDER_INTERVAL_S = 60.0
# At a few orders per minute, this covers several hours of waiting for a renewal.
MAX_PENDING_RECORDS = 1024


@attrs.frozen
class EndpointState:
    """Current state of one endpoint.

    Attributes:
        offset: Offset of the order or inventory record in force, used as the fencing number
            of the order.
        head: Offset that the next order must be based on. A refused order that was based on it
            advances it too, so that a late copy of the order is not accepted once the reason
            for the refusal no longer applies.
        ordered_at: Log time of the last accepted order in Unix seconds, or None.
        role: Role of the endpoint, model or application.
        capabilities: Capabilities that the endpoint has or is loading.

    """

    offset: int
    head: int
    ordered_at: float | None
    role: str
    capabilities: frozenset[str]


@attrs.frozen
class PlacementResult:
    """Whether a record was accepted, and the reason if it was refused."""

    accepted: bool
    reason: str = ""
    record: InventoryRecord | PlacementOrder | Snapshot | None = None


class PlacementFold:
    """State of all endpoints, determined by the records of the stream alone.

    As in the fold of the configuration, a reader that did not start at offset 0 takes its base
    state from a renewal and then applies the records that follow that state.
    """

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._inventory: InventoryRecord | None = None
        self._load_order_times: deque[float] = deque()
        self._has_base = False
        self._position = -1
        self._renewed_at: float | None = None
        self._pending: deque[LogRecord] = deque()
        self._pending_start: int | None = None

    def __repr__(self) -> str:
        return f"PlacementFold(endpoints={len(self._states)}, has_base={self._has_base})"

    @property
    def has_base(self) -> bool:
        """Whether the state that orders are checked against is known."""
        return self._has_base

    @property
    def configuration_version(self) -> int:
        """Version of the newest inventory record, or 0 before the first one."""
        return self._inventory.configuration_version if self._inventory else 0

    @property
    def renewed_at(self) -> float | None:
        """Log time in Unix seconds of the newest renewal or inventory record."""
        return self._renewed_at

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """State of each endpoint by name."""
        return dict(self._states)

    def get(self, endpoint: str) -> EndpointState | None:
        """Return the state of an endpoint, or None."""
        return self._states.get(endpoint)

    def holders(self, capability: str) -> frozenset[str]:
        """Return the endpoints that have or are loading the capability."""
        return frozenset(
            name for name, state in self._states.items() if capability in state.capabilities
        )

    def snapshot(self) -> Snapshot | None:
        """Return a snapshot of this state, or None without a base or an inventory."""
        if not self._has_base or self._inventory is None:
            return None
        endpoints = tuple(
            (
                name,
                state.offset,
                state.head,
                state.ordered_at,
                state.role,
                tuple(sorted(state.capabilities)),
            )
            for name, state in sorted(self._states.items())
        )
        return Snapshot(self._position, self._inventory, endpoints, tuple(self._load_order_times))

    def record_gap(self) -> None:
        """Discard the base, because the records before the next one to apply were not read."""
        self._has_base = False
        self._pending.clear()
        self._pending_start = None

    def apply(self, record: LogRecord) -> PlacementResult:
        """Apply the next record of the stream."""
        if record.offset == 0:
            self._has_base = True
        elif self._pending_start is None:
            self._pending_start = record.offset
        self._position = record.offset
        parsed = parse_record(record.data)
        if parsed is None:
            return PlacementResult(False, "record is malformed")
        if isinstance(parsed, Snapshot):
            return self._apply_snapshot(parsed, record)
        if not self._has_base:
            self._add_pending(record)
            return PlacementResult(
                False, "no base state is known, so records cannot be checked", parsed
            )
        if isinstance(parsed, InventoryRecord):
            return self._apply_inventory(parsed, record)
        return self._apply_order(parsed, record)

    def refusal_reason(self, order: PlacementOrder, time: float) -> str:
        """Return why the order would be refused at the log time given, or an empty string."""
        state = self._states.get(order.endpoint)
        if not self._has_base or self._inventory is None:
            return "no base state or inventory is known, so orders cannot be checked"
        if state is None:
            return f"endpoint {order.endpoint!r} is not in the inventory"
        if order.based_on != state.head:
            return f"is based on record {order.based_on}, the last one is record {state.head}"
        if state.ordered_at is not None and time - state.ordered_at < MIN_ORDER_INTERVAL_S:
            return f"the last order was {time - state.ordered_at:.0f} s ago"
        if order.action == "load":
            return self._load_refusal_reason(order, state, time)
        return self._removal_refusal_reason(order, state)

    def _load_refusal_reason(self, order: PlacementOrder, state: EndpointState, time: float) -> str:
        if order.capability in state.capabilities:
            return f"{order.endpoint!r} already has {order.capability}"
        if state.role != "model":
            return f"{order.endpoint!r} has role {state.role}"
        interval_s = self._inventory.load_interval_s
        recent = sum(ordered_at > time - interval_s for ordered_at in self._load_order_times)
        if recent >= self._inventory.loads_per_interval:
            return f"{recent} loads were ordered within {interval_s:.0f} s"
        return ""

    def _removal_refusal_reason(self, order: PlacementOrder, state: EndpointState) -> str:
        removed = _removed_capabilities(order, state)
        if order.action == "unload" and not removed:
            return f"{order.endpoint!r} does not have {order.capability}"
        if order.action == "role" and order.capability == state.role:
            return f"{order.endpoint!r} already has role {state.role}"
        others = set(order.live) - {order.endpoint}
        for capability in sorted(removed):
            if not self.holders(capability) & others:
                return f"{order.endpoint!r} is the last live endpoint of {capability}"
        return ""

    def _apply_order(self, order: PlacementOrder, record: LogRecord) -> PlacementResult:
        reason = self.refusal_reason(order, record.time)
        state = self._states.get(order.endpoint)
        if reason:
            if state is not None and order.based_on == state.head:
                self._states[order.endpoint] = attrs.evolve(state, head=record.offset)
            return PlacementResult(False, reason, order)
        capabilities = state.capabilities - _removed_capabilities(order, state)
        role = order.capability if order.action == "role" else state.role
        if order.action == "load":
            capabilities |= {order.capability}
            self._load_order_times.append(record.time)
            while self._load_order_times[0] <= record.time - self._inventory.load_interval_s:
                self._load_order_times.popleft()
        self._states[order.endpoint] = EndpointState(
            record.offset, record.offset, record.time, role, capabilities
        )
        return PlacementResult(True, "", order)

    def _apply_inventory(self, inventory: InventoryRecord, record: LogRecord) -> PlacementResult:
        if inventory.configuration_version <= self.configuration_version:
            reason = f"version {self.configuration_version} is in force"
            return PlacementResult(False, reason, inventory)
        previous_endpoints = (
            {endpoint.name: endpoint for endpoint in self._inventory.endpoints}
            if self._inventory
            else {}
        )
        states = {}
        for endpoint in inventory.endpoints:
            if endpoint == previous_endpoints.get(endpoint.name):
                states[endpoint.name] = self._states[endpoint.name]
            else:
                # The operator changed this endpoint, so orders based on its old state are refused.
                current = self._states.get(endpoint.name)
                ordered_at = current.ordered_at if current else None
                states[endpoint.name] = EndpointState(
                    record.offset,
                    record.offset,
                    ordered_at,
                    endpoint.role,
                    frozenset(endpoint.capabilities),
                )
        self._states, self._inventory = states, inventory
        self._renewed_at = record.time
        return PlacementResult(True, "", inventory)

    def _apply_snapshot(self, snapshot: Snapshot, record: LogRecord) -> PlacementResult:
        if not self._has_base:
            return self._restore_base(snapshot, record)
        if snapshot.inventory.configuration_version == self.configuration_version:
            self._renewed_at = record.time
        return PlacementResult(True, "", snapshot)

    def _restore_base(self, snapshot: Snapshot, record: LogRecord) -> PlacementResult:
        start = self._pending_start
        if start is None or snapshot.through < start - 1:
            reason = (
                f"records from offset {snapshot.through + 1} up to, but not including, "
                f"offset {start} are missing"
            )
            return PlacementResult(False, reason, snapshot)
        self._states = {
            name: EndpointState(offset, head, ordered_at, role, frozenset(capabilities))
            for name, offset, head, ordered_at, role, capabilities in snapshot.endpoints
        }
        self._inventory = snapshot.inventory
        self._load_order_times = deque(snapshot.loads)
        self._has_base = True
        pending = [item for item in self._pending if item.offset > snapshot.through]
        self._pending.clear()
        for item in pending:
            self.apply(item)
        self._position = record.offset
        self._renewed_at = record.time
        return PlacementResult(True, "", snapshot)

    def _add_pending(self, record: LogRecord) -> None:
        self._pending.append(record)
        if len(self._pending) > MAX_PENDING_RECORDS:
            self._pending_start = self._pending.popleft().offset + 1


def _removed_capabilities(order: PlacementOrder, state: EndpointState) -> frozenset[str]:
    """Return the capabilities that an order removes.

    Unloading a model also removes its adapters and versions.
    """
    if order.action == "load":
        return frozenset()
    if order.action == "role":
        return state.capabilities
    kind, _, name = order.capability.partition(":")
    dependent_prefixes = (f"adapter:{name}/", f"version:{name}/") if kind == "model" else ()
    return frozenset(
        capability
        for capability in state.capabilities
        if capability == order.capability or capability.startswith(dependent_prefixes)
    )
