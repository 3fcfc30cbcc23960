"""Members of the deployment and the compact updates that describe them."""

import enum
import ipaddress
from typing import Any

import attrs
import msgpack

from jayvalve.internal.wire.messages import Hello

__all__ = [
    "MAX_UPDATE_BYTES",
    "Member",
    "MemberChange",
    "MemberState",
    "MemberUpdate",
    "decode_update",
    "encode_update",
]

MAX_UPDATE_BYTES = 48
_PORT_BYTES = 2
# The positions in _ROLES and in MemberState are part of the wire format.
_ROLES = ("", "entry", "sidecar")
_STATE_BITS = 3


class MemberState(enum.StrEnum):
    """State of a process as another process sees it."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    DRAINING = "draining"
    LEFT = "left"

    @property
    def is_gone(self) -> bool:
        """Whether the process is believed dead or has left."""
        return self in (MemberState.DEAD, MemberState.LEFT)


_STATES = tuple(MemberState)


@attrs.frozen
class Member:
    """One process; incarnation distinguishes it from earlier processes of the same name."""

    instance: str
    incarnation: int
    role: str
    data_centre: str
    address: str
    state: MemberState = MemberState.LIVE

    @classmethod
    def from_hello(cls, hello: Hello) -> "Member":
        """Return the process that sent the Hello, as a live member."""
        return cls(hello.instance, hello.incarnation, hello.role, hello.data_centre, hello.address)


@attrs.frozen
class MemberChange:
    """A change of state; previous is None for a new member or a new incarnation."""

    member: Member
    previous: MemberState | None


@attrs.frozen
class MemberUpdate:
    """State of a member as reported by another process.

    data_centre and address are empty in the short form.
    """

    instance: str
    incarnation: int
    state: MemberState
    refutation: int
    role: str = ""
    data_centre: str = ""
    address: str = ""

    def as_member(self) -> Member:
        """Return the member that the update describes."""
        return Member(
            self.instance,
            self.incarnation,
            self.role,
            self.data_centre,
            self.address,
            self.state,
        )


def encode_update(member: Member, refutation: int) -> list[Any] | None:
    """Return the update as a wire array of at most MAX_UPDATE_BYTES.

    The short form omits the data centre and the address. It is used if they do not fit, if the
    role is neither entry nor sidecar, or if the address is not an IP address and port. Only
    processes that already know the member can use it. Returns None if even the short form is too
    long.
    """
    role = _ROLES.index(member.role) if member.role in _ROLES else 0
    # The low _STATE_BITS bits contain the state, the bits above them the role.
    code = _STATES.index(member.state) | role << _STATE_BITS
    short = [member.instance, member.incarnation, code, refutation]
    address = _pack_address(member.address)
    forms = [short]
    if role and address:
        forms.insert(0, [*short, member.data_centre, address])
    for form in forms:
        if len(msgpack.packb(form)) <= MAX_UPDATE_BYTES:
            return form
    return None


def decode_update(item: Any) -> MemberUpdate | None:
    """Return the update, or None if the array is malformed."""
    try:
        instance, incarnation, code, refutation, *details = item
        state = _STATES[code & ((1 << _STATE_BITS) - 1)]
        role = _ROLES[code >> _STATE_BITS]
        data_centre, address = details[:2] if len(details) >= 2 else ("", b"")
        address_text = _unpack_address(address) if address else ""
    except (TypeError, ValueError, IndexError):
        return None
    if not (isinstance(instance, str) and isinstance(data_centre, str)):
        return None
    if type(incarnation) is not int or type(refutation) is not int:
        return None
    return MemberUpdate(instance, incarnation, state, refutation, role, data_centre, address_text)


def _pack_address(address: str) -> bytes:
    host, _, port = address.rpartition(":")
    try:
        packed = ipaddress.ip_address(host.strip("[]")).packed
        return packed + int(port).to_bytes(_PORT_BYTES, "big")
    except (ValueError, OverflowError):
        return b""


def _unpack_address(packed: bytes) -> str:
    host = ipaddress.ip_address(packed[:-_PORT_BYTES])
    port = int.from_bytes(packed[-_PORT_BYTES:], "big")
    return f"[{host}]:{port}" if host.version == 6 else f"{host}:{port}"
