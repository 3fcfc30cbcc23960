"""Account of the bytes that a process holds for its clients, which decides about refusals.

The account has two parts. Requests of at most SMALL_BYTES may use a part of their own, so that
large ones cannot take the room of all others. Within each part, one remote address may take only a
share. A request counts at most as that share, so that a single one within the limits is served
when the process is calm, whatever its size.

A request that arrives more slowly than MIN_BYTES_PER_S yields when another one needs its room.
"""

import gc
import weakref
from collections import Counter
from collections.abc import Callable
from typing import Self

import attrs

from jayvalve.errors import MemoryLimitError
from jayvalve.internal.entry.request import MODEL_PATH
from jayvalve.internal.timing import Clock

__all__ = ["HeldBody", "HeldBytes", "Share", "needed_bytes", "parsed_bytes"]

SMALL_BYTES = 64 * 1024
SMALL_PART = 0.125
# A client with a link of 1 Mbit/s sends four times as fast.
MIN_BYTES_PER_S = 32 * 1024
# Time in which a slow start does not count against a request.
GRACE_S = 2.0
# Searching all shares for slow ones at each refusal would cost the more the larger a crowd is.
YIELD_INTERVAL_S = 0.1
# Bodies in reference cycles, for example with the traceback of an error, count until they are
# collected. A collection takes about 30 ms.
COLLECT_INTERVAL_S = 2.0
RETRY_AFTER_S = 1.0

# Copies of a body while its call is prepared and sent: buffer, body, text, decoded messages, body
# for the endpoint, message, and write buffer. Measured with 8 MiB: 6 for a call of a service and 8
# for a chat at an entry, 3 and 4 to 7 at a sidecar.
COPIES = 8
# Sizes of the objects that the standard library's decoder creates, on a 64-bit machine: a list
# slot and a short string or an empty container; an entry of a small dictionary.
VALUE_BYTES = 64
DICT_ENTRY_BYTES = 120


def parsed_bytes(body: bytes) -> int:
    """Return an upper estimate of the memory that the values of a JSON document take.

    >>> parsed_bytes(b'{"a": [1, 2]}')
    312
    """
    values = body.count(b",") + body.count(b"[") + body.count(b"{")
    return values * VALUE_BYTES + body.count(b":") * DICT_ENTRY_BYTES


def needed_bytes(path: str, body: bytes) -> int:
    """Return an upper estimate of the memory that the call of a request takes."""
    needed = len(body) * COPIES
    if path == MODEL_PATH:
        # The document is decoded twice, the second time for the endpoint's body.
        needed += 2 * parsed_bytes(body)
    return needed


@attrs.define
class _Part:
    """One part of the account."""

    limit: int
    used: int = 0
    by_party: Counter[str] = attrs.field(factory=Counter)

    def has_room(self, party: str, size: int, address_share: float) -> bool:
        if self.used + size > self.limit:
            return False
        return self.by_party[party] + size <= self.limit * address_share

    def add(self, party: str, size: int) -> None:
        self.used += size
        self.by_party[party] += size
        if not self.by_party[party]:
            del self.by_party[party]


class HeldBytes:
    """Account of the bytes that a process holds for one kind of client.

    Args:
        purpose: Name of the account in errors, log lines and metrics.
        limit_bytes: Maximum number of bytes held.
        address_share: Part of the limit that one remote address may take, from 0 to 1.
        clock: Clock of the process.
        on_refusal: Called with the purpose, a reason and the address at each refusal, and for each
            request that yields.

    """

    def __init__(
        self,
        purpose: str,
        limit_bytes: int,
        address_share: float,
        clock: Clock,
        on_refusal: Callable[[str, str, str], None] = lambda purpose, reason, party: None,
    ) -> None:
        self._purpose = purpose
        self._limit_bytes = limit_bytes
        self._address_share = address_share
        self._clock = clock
        self._on_refusal = on_refusal
        self._small = _Part(int(limit_bytes * SMALL_PART))
        self._large = _Part(limit_bytes - self._small.limit)
        self._arriving: weakref.WeakSet[Share] = weakref.WeakSet()
        self._next_search_s = 0.0
        self._next_collection_s = 0.0

    def __repr__(self) -> str:
        return f"HeldBytes({self._purpose!r}, {self._limit_bytes}, {self._address_share})"

    @property
    def used_bytes(self) -> int:
        """Number of bytes that are held."""
        return self._small.used + self._large.used

    def open(self, party: str, size: int, on_yield: Callable[[], None] | None = None) -> "Share":
        """Reserve bytes for a request of a remote address.

        Args:
            party: Remote address.
            size: Bytes that the request needs, with all its copies.
            on_yield: Called if the request has to yield while it arrives; it closes the share.

        Raises:
            MemoryLimitError: there is no room.

        """
        share = Share(self, party, on_yield)
        share.resize(size)
        return share

    def _place(self, share: "Share", size: int) -> _Part:
        """Return a part with room for a share that holds nothing now."""
        part = self._find(share.party, size)
        if part is None:
            self._make_room(share, size)
            part = self._find(share.party, size)
        if part is None:
            self._on_refusal(self._purpose, "memory", share.party)
            raise MemoryLimitError(
                f"no memory is left for {self._purpose} of {size} bytes; the request was not run",
                retry_after_s=RETRY_AFTER_S,
            )
        return part

    def _counted(self, size: int) -> int:
        return min(size, int(self._large.limit * self._address_share))

    def _find(self, party: str, size: int) -> _Part | None:
        parts = (self._small, self._large) if size <= SMALL_BYTES else (self._large,)
        for part in parts:
            if part.has_room(party, self._counted(size), self._address_share):
                return part
        return None

    def _make_room(self, share: "Share", size: int) -> None:
        now = self._clock.now()
        if now >= self._next_collection_s:
            self._next_collection_s = now + COLLECT_INTERVAL_S
            gc.collect()
        if now < self._next_search_s:
            return
        self._next_search_s = now + YIELD_INTERVAL_S
        slow = [item for item in self._arriving if item is not share and item.is_slow(now)]
        # The most bytes for the longest time.
        slow.sort(key=lambda item: item.size * (now - item.opened_s), reverse=True)
        for item in slow:
            if self._find(share.party, size) is not None:
                return
            self._on_refusal(self._purpose, "slow", item.party)
            item.give_way()


class Share:
    """Bytes held for one request; they are returned when the share is closed or unreachable.

    A share that is opened with on_yield is arriving until `complete` is called.
    """

    def __init__(
        self, account: HeldBytes, party: str, on_yield: Callable[[], None] | None = None
    ) -> None:
        self._account = account
        self._party = party
        self._on_yield = on_yield
        self._part: _Part | None = None
        self._size = 0
        self._received = 0
        self._opened_s = account._clock.now()
        if on_yield is not None:
            account._arriving.add(self)

    def __del__(self) -> None:
        self.close()

    @property
    def party(self) -> str:
        """Remote address of the request."""
        return self._party

    @property
    def size(self) -> int:
        """Number of bytes that the request needs."""
        return self._size

    @property
    def opened_s(self) -> float:
        """Time at which the share was opened, in seconds of the process's clock."""
        return self._opened_s

    def is_slow(self, now: float) -> bool:
        """Return whether the request arrives more slowly than MIN_BYTES_PER_S."""
        counted_s = now - self._opened_s - GRACE_S
        return counted_s >= 0 and self._received < counted_s * MIN_BYTES_PER_S

    def receive(self, size: int) -> None:
        """Record that bytes of the request have arrived."""
        self._received += size

    def resize(self, size: int) -> None:
        """Change the number of bytes held.

        Raises:
            MemoryLimitError: there is no room; the share is unchanged.

        """
        old_part, old_size = self._part, self._size
        self._leave()
        try:
            part = self._account._place(self, size)
        except MemoryLimitError:
            if old_part is not None:
                self._enter(old_part, old_size)
            raise
        self._enter(part, size)

    def complete(self) -> None:
        """Record that the request has arrived in full, so that it no longer yields."""
        self._account._arriving.discard(self)
        self._on_yield = None

    def give_way(self) -> None:
        """Break off the request, which is still arriving."""
        on_yield = self._on_yield
        self.close()
        if on_yield is not None:
            on_yield()

    def close(self) -> None:
        """Return the bytes; repeated calls have no effect."""
        self.complete()
        self._leave()

    def _leave(self) -> None:
        if self._part is not None:
            self._part.add(self._party, -self._account._counted(self._size))
        self._part, self._size = None, 0

    def _enter(self, part: _Part, size: int) -> None:
        part.add(self._party, self._account._counted(size))
        self._part, self._size = part, size


class HeldBody(bytes):
    """Body of a request that keeps its share reserved for as long as anything refers to it."""

    share: Share

    @classmethod
    def of(cls, body: bytes, share: Share) -> Self:
        """Return a copy of the body that holds the share."""
        held = cls(body)
        held.share = share
        return held
