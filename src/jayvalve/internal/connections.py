"""Bound on the open connections of one port, which decides which connection yields to a new one."""

import resource
from collections import Counter
from collections.abc import Callable

import attrs

from jayvalve.internal.held_bytes import Share
from jayvalve.internal.timing import Clock

__all__ = ["Connection", "ConnectionTable", "allowed_connections"]

# For connections to other processes and the log, and for files.
RESERVED_DESCRIPTORS = 200
MIN_CONNECTIONS = 8
# A connection whose client has taken and sent nothing for this time may yield, though its request
# runs. Clients with a working link make progress within a second.
MIN_STALL_S = 5.0


def allowed_connections(setting: int, ports: int = 2) -> int:
    """Return the number of connections that each of several ports may have.

    That is the setting, or the port's part of the descriptors that this process may open.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return setting
    return max(MIN_CONNECTIONS, min(setting, (descriptors - RESERVED_DESCRIPTORS) // ports))


@attrs.define(eq=False)
class Connection:
    """One open connection.

    Attributes:
        address: Remote address.
        close: Closes the connection.
        last_useful_s: Time of the last completed request, or of the start of the connection.
        running: Number of requests that have been received and not been answered.
        served: Whether a request has been completed.
        arriving: Whether the body of a request is being received.
        last_progress_s: Last time at which the client took bytes of an answer or sent bytes of a
            body.
        waits: Returns whether the connection waits for its client to take or send bytes.
        share: Memory of the connection itself, or None in a table without an account.
        unread: Memory of a head or a small frame that has not arrived in full, or None.

    """

    address: str
    close: Callable[[], None]
    last_useful_s: float
    running: int = 0
    served: bool = False
    arriving: bool = False
    last_progress_s: float = 0.0
    waits: Callable[[], bool] = lambda: False
    share: Share | None = None
    unread: Share | None = None


class ConnectionTable:
    """Open connections of one port.

    When the table is full, or one address has its share of it, a connection without a running
    request yields to the new one: first one that has had no request completed, then the one that
    was useful the longest time ago, among those of the address with the most connections. If every
    connection has a running request, the one yields whose client has been keeping it waiting for
    the longest time, at least for MIN_STALL_S. If there is none, the new connection is refused.
    """

    def __init__(
        self,
        purpose: str,
        limit: int,
        address_share: float,
        clock: Clock,
        on_refusal: Callable[[str, str, str], None] = lambda purpose, reason, party: None,
    ) -> None:
        self._purpose = purpose
        self._limit = limit
        self._per_address = max(1, int(limit * address_share))
        self._clock = clock
        self._on_refusal = on_refusal
        # A dictionary keeps the order of opening, which a set does not.
        self._open: dict[Connection, None] = {}
        self._by_address: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"ConnectionTable({self._purpose!r}, {self._limit})"

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, address: str, close: Callable[[], None]) -> Connection | None:
        """Add a connection; return None if it is refused."""
        own_share_used = self._by_address[address] >= self._per_address
        if (own_share_used or len(self._open) >= self._limit) and not self._make_room(
            address if own_share_used else None
        ):
            self._on_refusal(self._purpose, "connections", address)
            return None
        connection = Connection(address, close, self._clock.now())
        self._open[connection] = None
        self._by_address[address] += 1
        return connection

    def begin(self, connection: Connection) -> None:
        """Record that a request has been received."""
        connection.running += 1

    def complete(self, connection: Connection) -> None:
        """Record that a request has been answered."""
        connection.running -= 1
        connection.served = True
        connection.last_useful_s = self._clock.now()

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection and return its memory; repeated calls have no effect."""
        for share in (connection.share, connection.unread):
            if share is not None:
                share.close()
        if self._open.pop(connection, connection) is None:
            self._by_address[connection.address] -= 1
            if not self._by_address[connection.address]:
                del self._by_address[connection.address]

    def yield_idle(self, new: Connection) -> bool:
        """Close a connection without a running request for its memory; return whether one could.

        Args:
            new: Open connection that needs the memory. Connections that have had a request
                completed are not closed for others of their own address.

        """
        idle = [item for item in self._open if not item.running and item is not new]
        if not idle:
            return False
        yielding = min(idle, key=self._usefulness)
        if yielding.served and yielding.address == new.address:
            return False
        self._close("idle", yielding)
        return True

    def _make_room(self, address: str | None) -> bool:
        """Close a connection, of this address if one is given; return whether one could yield."""
        items = [item for item in self._open if address is None or item.address == address]
        if idle := [item for item in items if not item.running]:
            reason, yielding = "idle", min(idle, key=self._usefulness)
        elif stalled := self._stalled(items):
            reason, yielding = "stalled", min(stalled, key=lambda item: item.last_progress_s)
        else:
            return False
        self._close(reason, yielding)
        return True

    def _close(self, reason: str, connection: Connection) -> None:
        self._on_refusal(self._purpose, reason, connection.address)
        self.remove(connection)
        connection.close()

    def _usefulness(self, item: Connection) -> tuple[int, bool, float]:
        return -self._by_address[item.address], item.served, item.last_useful_s

    def _stalled(self, items: list[Connection]) -> list[Connection]:
        latest_s = self._clock.now() - MIN_STALL_S
        return [item for item in items if item.last_progress_s <= latest_s and item.waits()]
