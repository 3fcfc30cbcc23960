"""Records of the placement stream."""

from typing import Any

import attrs
import msgpack

from jayvalve.internal.configuration import Inventory

__all__ = [
    "ACTIONS",
    "STREAM",
    "InventoryEndpoint",
    "InventoryRecord",
    "PlacementOrder",
    "Snapshot",
    "inventory_record",
    "parse_record",
]

STREAM = "placement"
ACTIONS = ("load", "unload", "role")

_string = attrs.validators.instance_of(str)
_integer = attrs.validators.instance_of(int)
_number = attrs.validators.instance_of((int, float))


def _string_tuple() -> Any:
    return attrs.field(
        converter=lambda values: tuple(sorted(set(values))),
        validator=attrs.validators.deep_iterable(_string),
    )


@attrs.frozen
class InventoryEndpoint:
    """Role and capabilities of one endpoint in the inventory."""

    name: str = attrs.field(validator=_string)
    role: str = attrs.field(validator=_string)
    capabilities: tuple[str, ...] = _string_tuple()


@attrs.frozen
class InventoryRecord:
    """Endpoints and limits of one configuration version.

    The fold takes them from the log rather than from the reader's configuration, because
    two readers may use different configuration versions when they read the same order.
    """

    configuration_version: int = attrs.field(validator=_integer)
    endpoints: tuple[InventoryEndpoint, ...] = attrs.field(
        converter=lambda values: tuple(
            value if isinstance(value, InventoryEndpoint) else InventoryEndpoint(*value[:3])
            for value in values
        )
    )
    loads_per_interval: int = attrs.field(validator=_integer)
    load_interval_s: float = attrs.field(validator=_number)

    def pack(self) -> bytes:
        """Return the record's payload."""
        return msgpack.packb(["inventory", *attrs.astuple(self)], use_bin_type=True)


@attrs.frozen
class PlacementOrder:
    """An order to load or unload a capability or to change the role of an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        action: One of ACTIONS.
        capability: Capability such as model:N, or the new role.
        based_on: Head of the endpoint (EndpointState.head) when the order was created.
        live: Endpoints that were live in the view of the decider.
        decider: Instance that created the order.

    """

    endpoint: str = attrs.field(validator=_string)
    action: str = attrs.field(validator=attrs.validators.in_(ACTIONS))
    capability: str = attrs.field(validator=_string)
    based_on: int = attrs.field(validator=_integer)
    live: tuple[str, ...] = _string_tuple()
    decider: str = attrs.field(default="", validator=_string)

    def pack(self) -> bytes:
        """Return the record's payload."""
        return msgpack.packb(["order", *attrs.astuple(self)], use_bin_type=True)


def _endpoint_row(
    name: str, offset: int, head: int, ordered_at: float | None, role: str, capabilities: Any
) -> tuple[str, int, int, float | None, str, tuple[str, ...]]:
    """Return one row of a snapshot.

    Raises:
        ValueError: a value has the wrong type.

    """
    capabilities = tuple(capabilities)
    strings_valid = all(isinstance(value, str) for value in (name, role, *capabilities))
    offsets_valid = isinstance(offset, int) and isinstance(head, int)
    if not strings_valid or not offsets_valid or not isinstance(ordered_at, int | float | None):
        raise ValueError(f"row of endpoint {name!r:.60} is malformed")
    return name, offset, head, ordered_at, role, capabilities


@attrs.frozen
class Snapshot:
    """State of the fold after one record, appended to renew the stream.

    A reader can start from it after the log has dropped older records.

    Attributes:
        through: Offset of the last record that the state includes.
        inventory: Inventory record in force.
        endpoints: One row per endpoint, see _endpoint_row.
        loads: Log times of the recent load orders, in Unix seconds.

    """

    through: int = attrs.field(validator=_integer)
    inventory: InventoryRecord = attrs.field(
        converter=lambda value: (
            value if isinstance(value, InventoryRecord) else InventoryRecord(*value[:4])
        )
    )
    endpoints: tuple = attrs.field(
        converter=lambda values: tuple(_endpoint_row(*value) for value in values)
    )
    loads: tuple[float, ...] = attrs.field(converter=lambda values: tuple(map(float, values)))

    def pack(self) -> bytes:
        """Return the record's payload."""
        return msgpack.packb(["renew", *attrs.astuple(self)], use_bin_type=True)


_KINDS = {"inventory": InventoryRecord, "order": PlacementOrder, "renew": Snapshot}


def parse_record(data: bytes) -> InventoryRecord | PlacementOrder | Snapshot | None:
    """Parse a payload; return None if it is malformed."""
    try:
        parts: Any = msgpack.unpackb(data)
        record_type = _KINDS[parts[0]]
        # Newer versions may append fields.
        return record_type(*parts[1 : 1 + len(attrs.fields(record_type))])
    except (ValueError, TypeError, KeyError, IndexError, OverflowError, msgpack.UnpackException):
        return None


def inventory_record(
    version: int, inventory: Inventory, loads_per_interval: int, load_interval_s: float
) -> InventoryRecord:
    """Return the inventory record of a configuration version."""
    return InventoryRecord(
        version,
        tuple(
            InventoryEndpoint(endpoint.name, endpoint.role, endpoint.capabilities)
            for endpoint in inventory.endpoints
        ),
        loads_per_interval,
        load_interval_s,
    )
