"""Folds the stream placement into the order in force for each endpoint."""

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

# Keeps roles from changing back and forth faster than an engine loads a model.
MIN_ORDER_INTERVAL_S = 60.0
# A few orders a minute arrive, so this covers hours of waiting for a renewal.
MAX_PENDING_RECORDS = 1024


@attrs.frozen
class EndpointState:
    """What is in force for one endpoint.

    Attributes:
        offset: Offset of the order or inventory in force; the order's fencing number.
        head: Offset on which the next order must be based. A refused order raises it too,
            so that a late copy of that order cannot count after the reason has gone.
        ordered_at: Log time of the last order in Unix seconds, or None.
        role: model or application.
        held: Capabilities that the endpoint has or is loading.

    """

    offset: int
    head: int
    ordered_at: float | None
    role: str
    held: frozenset[str]


@attrs.frozen
class PlacementResult:
    """Effect of one record: accepted or not, with the reason of a refusal."""

    accepted: bool
    reason: str = ""
    record: InventoryRecord | PlacementOrder | Snapshot | None = None


class PlacementFold:
    """State of all endpoints, a function of the stream alone.

    As in the configuration's fold, a reader that did not read from offset 0 takes its base
    from a renewal and then applies the records that came after the renewal's state.
    """

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._inventory: InventoryRecord | None = None
        self._loads: deque[float] = deque()
        self._has_base = False
        self._position = -1
        self._renewed_at: float | None = None
        self._pending: deque[LogRecord] = deque()
        self._pending_start: int | None = None

    def __repr__(self) -> str:
        return f"PlacementFold(endpoints={len(self._states)}, has_base={self._has_base})"

    @property
    def has_base(self) -> bool:
        """Whether orders can be checked."""
        return self._has_base

    @property
    def configuration_version(self) -> int:
        """Version of the newest inventory record; 0 before the first."""
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
        """Return the endpoints that have the capability."""
        return frozenset(name for name, state in self._states.items() if capability in state.held)

    def snapshot(self) -> Snapshot | None:
        """Return the renewal of this state, or None without a base or an inventory."""
        if not self._has_base or self._inventory is None:
            return None
        endpoints = tuple(
            (
                name,
                state.offset,
                state.head,
                state.ordered_at,
                state.role,
                tuple(sorted(state.held)),
            )
            for name, state in sorted(self._states.items())
        )
        return Snapshot(self._position, self._inventory, endpoints, tuple(self._loads))

    def note_gap(self) -> None:
        """Take note that records before the next one to apply were not read."""
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
            return self._renew(parsed, record)
        if not self._has_base:
            self._keep_pending(record)
            return PlacementResult(False, "no base is known, so nothing can be checked", parsed)
        if isinstance(parsed, InventoryRecord):
            return self._take_inventory(parsed, record)
        return self._order(parsed, record)

    def fault(self, order: PlacementOrder, time: float) -> str:
        """Return why the order would be refused at that log time, or an empty string."""
        state = self._states.get(order.endpoint)
        if not self._has_base or self._inventory is None:
            return "no base is known, so nothing can be checked"
        if state is None:
            return f"endpoint {order.endpoint!r} is not in the inventory"
        if order.based_on != state.head:
            return f"is based on record {order.based_on}, the last one is record {state.head}"
        if state.ordered_at is not None and time - state.ordered_at < MIN_ORDER_INTERVAL_S:
            return f"the last order was {time - state.ordered_at:.0f} s ago"
        if order.action == "load":
            return self._load_fault(order, state, time)
        return self._loss_fault(order, state)

    def _load_fault(self, order: PlacementOrder, state: EndpointState, time: float) -> str:
        if order.capability in state.held:
            return f"{order.endpoint!r} has {order.capability} already"
        if state.role != "model":
            return f"{order.endpoint!r} has role {state.role}"
        interval_s = self._inventory.load_interval_s
        recent = sum(loaded > time - interval_s for loaded in self._loads)
        if recent >= self._inventory.loads_per_interval:
            return f"{recent} loads were ordered within {interval_s:.0f} s"
        return ""

    def _loss_fault(self, order: PlacementOrder, state: EndpointState) -> str:
        lost = _lost(order, state)
        if order.action == "unload" and not lost:
            return f"{order.endpoint!r} does not have {order.capability}"
        if order.action == "role" and order.capability == state.role:
            return f"{order.endpoint!r} has role {state.role} already"
        others = set(order.live) - {order.endpoint}
        for capability in sorted(lost):
            if not self.holders(capability) & others:
                return f"{order.endpoint!r} is the last live endpoint of {capability}"
        return ""

    def _order(self, order: PlacementOrder, record: LogRecord) -> PlacementResult:
        reason = self.fault(order, record.time)
        state = self._states.get(order.endpoint)
        if reason:
            if state is not None and order.based_on == state.head:
                self._states[order.endpoint] = attrs.evolve(state, head=record.offset)
            return PlacementResult(False, reason, order)
        held = state.held - _lost(order, state)
        role = order.capability if order.action == "role" else state.role
        if order.action == "load":
            held |= {order.capability}
            self._loads.append(record.time)
            while self._loads[0] <= record.time - self._inventory.load_interval_s:
                self._loads.popleft()
        self._states[order.endpoint] = EndpointState(
            record.offset, record.offset, record.time, role, held
        )
        return PlacementResult(True, "", order)

    def _take_inventory(self, inventory: InventoryRecord, record: LogRecord) -> PlacementResult:
        if inventory.configuration_version <= self.configuration_version:
            reason = f"version {self.configuration_version} is in force"
            return PlacementResult(False, reason, inventory)
        earlier = (
            {entry.name: entry for entry in self._inventory.endpoints} if (self._inventory) else {}
        )
        states = {}
        for entry in inventory.endpoints:
            if entry == earlier.get(entry.name):
                states[entry.name] = self._states[entry.name]
            else:
                # The operator changed this endpoint, so orders based on its old state lose.
                known = self._states.get(entry.name)
                ordered_at = known.ordered_at if known else None
                states[entry.name] = EndpointState(
                    record.offset,
                    record.offset,
                    ordered_at,
                    entry.role,
                    frozenset(entry.capabilities),
                )
        self._states, self._inventory = states, inventory
        self._renewed_at = record.time
        return PlacementResult(True, "", inventory)

    def _renew(self, snapshot: Snapshot, record: LogRecord) -> PlacementResult:
        if not self._has_base:
            return self._rebase(snapshot, record)
        if snapshot.inventory.configuration_version == self.configuration_version:
            self._renewed_at = record.time
        return PlacementResult(True, "", snapshot)

    def _rebase(self, snapshot: Snapshot, record: LogRecord) -> PlacementResult:
        start = self._pending_start
        if start is None or snapshot.through < start - 1:
            reason = f"records {snapshot.through + 1} to {start} are not known here"
            return PlacementResult(False, reason, snapshot)
        self._states = {
            name: EndpointState(offset, head, ordered_at, role, frozenset(held))
            for name, offset, head, ordered_at, role, held in snapshot.endpoints
        }
        self._inventory = snapshot.inventory
        self._loads = deque(snapshot.loads)
        self._has_base = True
        pending = [item for item in self._pending if item.offset > snapshot.through]
        self._pending.clear()
        for item in pending:
            self.apply(item)
        self._position = record.offset
        self._renewed_at = record.time
        return PlacementResult(True, "", snapshot)

    def _keep_pending(self, record: LogRecord) -> None:
        self._pending.append(record)
        if len(self._pending) > MAX_PENDING_RECORDS:
            self._pending_start = self._pending.popleft().offset + 1


def _lost(order: PlacementOrder, state: EndpointState) -> frozenset[str]:
    """Return the capabilities that an order takes away; adapters go with their model."""
    if order.action == "load":
        return frozenset()
    if order.action == "role":
        return state.held
    kind, _, name = order.capability.partition(":")
    parts = (f"adapter:{name}/", f"version:{name}/") if kind == "model" else ()
    return frozenset(
        held for held in state.held if held == order.capability or held.startswith(parts)
    )
