"""Account of the bytes that a process holds for others, against the memory of its machine."""

import enum
from collections.abc import Callable
from types import TracebackType
from typing import Self

import attrs

from jayvalve.internal.timing import Clock

__all__ = ["MemoryAccount", "MemoryLimits", "MemoryShare", "Purpose"]

MIB = 1024 * 1024


class Purpose(enum.StrEnum):
    """What bytes are held for."""

    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    TURN = "turn"
    PEER = "peer"


@attrs.frozen
class MemoryLimits:
    """Limits of an account.

    Attributes:
        total_bytes: Bytes that all shares may hold together.
        reserve_share: Part of the total that is left to shares of at most ``small_bytes`` and to
            parts of this system, such as answers of the store, so that large requests cannot take
            the last of it.
        party_share: Part of the total that shares of one party above ``small_bytes`` may take.
        small_bytes: Size up to which a share is small, in bytes.
        progress_bytes: Number of useful bytes that count as progress. A byte now and then is none.
        yield_after_s: Time without progress after which a share may have to yield, in seconds.
        check_interval_s: Minimum time between two searches for shares that must yield, in seconds.
            A search visits all shares, and a crowd causes a refusal for each request.

    """

    total_bytes: int
    reserve_share: float = 1 / 8
    party_share: float = 3 / 4
    small_bytes: int = 64 * 1024
    progress_bytes: int = 16 * 1024
    yield_after_s: float = 1.0
    check_interval_s: float = 0.1

    @classmethod
    def from_machine(cls, memory_mb: int, margin_mb: int, resting_bytes: int) -> Self:
        """Return the limits of a process that holds resting_bytes before it serves anybody.

        At least a quarter of the memory is granted, as a process that is larger at rest than
        expected would otherwise refuse everything.
        """
        free = (memory_mb - margin_mb) * MIB - resting_bytes
        return cls(max(free, memory_mb * MIB // 4))


class MemoryShare:
    """Bytes that are held for one request or connection; a context manager that releases them.

    Args:
        on_yield: Called when the share must yield; it has to close the share. None for a share
            that others never displace.

    """

    def __init__(
        self,
        account: "MemoryAccount",
        purpose: Purpose,
        party: str,
        on_yield: Callable[[], None] | None,
    ) -> None:
        self._account = account
        self._on_yield = on_yield
        self._useful_bytes = 0
        self.purpose = purpose
        self.party = party
        self.held_bytes = 0
        self.progress_s = account.clock.now()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def may_yield(self) -> bool:
        """Whether the share can be displaced."""
        return self._on_yield is not None

    def has_room(self, size: int) -> bool:
        """Return whether the share may hold this many bytes."""
        return size <= self.held_bytes or self._account.has_room(self, size)

    def resize(self, size: int) -> bool:
        """Return whether the share may hold this many bytes; if not, it is unchanged."""
        if not self.has_room(size):
            return False
        self.force(size)
        return True

    def force(self, size: int) -> None:
        """Count this many bytes, whether or not there is room."""
        self._account._add(self, size - self.held_bytes)

    def progress(self, useful_bytes: int) -> None:
        """Record useful bytes that have arrived or were taken."""
        self._useful_bytes += useful_bytes
        if self._useful_bytes >= self._account.limits.progress_bytes:
            self._useful_bytes = 0
            self.progress_s = self._account.clock.now()

    def keep(self) -> None:
        """Exempt the share from yielding, because its request may run from now on."""
        self._on_yield = None

    def displace(self) -> None:
        """Make the share yield."""
        if self._on_yield is not None:
            self._on_yield()
        self.close()

    def close(self) -> None:
        """Release all bytes."""
        self._on_yield = None
        self._account._remove(self)


class MemoryAccount:
    """Counts what is held, and decides who gets room and who must yield."""

    def __init__(self, limits: MemoryLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._used_bytes = 0
        self._by_purpose = dict.fromkeys(Purpose, 0)
        self._by_party: dict[str, int] = {}
        self._shares: set[MemoryShare] = set()
        self._next_check_s = 0.0

    @property
    def limits(self) -> MemoryLimits:
        """Limits of the account."""
        return self._limits

    @property
    def clock(self) -> Clock:
        """Clock of the process."""
        return self._clock

    @property
    def used_bytes(self) -> int:
        """Bytes of all shares."""
        return self._used_bytes

    def held_bytes(self, purpose: Purpose) -> int:
        """Return the bytes of the shares for one purpose."""
        return self._by_purpose[purpose]

    def open(
        self, purpose: Purpose, party: str = "", on_yield: Callable[[], None] | None = None
    ) -> MemoryShare:
        """Return an empty share.

        Args:
            purpose: What the bytes are held for.
            party: Remote address of the client, or empty for parts of this system, to which no
                limit for one party applies.
            on_yield: As for MemoryShare.

        """
        return MemoryShare(self, purpose, party, on_yield)

    def choose_yielding(self, needed_bytes: int, party: str = "") -> list[MemoryShare]:
        """Return the shares that must yield to make room, the first one first.

        Those that hold the most for the longest time without progress yield. If all of them
        together hold less than is needed, none has to yield.

        Args:
            needed_bytes: Number of bytes that must become free.
            party: Party whose shares yield, or empty for all.

        """
        now = self._clock.now()
        if now < self._next_check_s:
            return []
        self._next_check_s = now + self._limits.check_interval_s
        latest_s = now - self._limits.yield_after_s
        stalled = [
            share
            for share in self._shares
            if share.may_yield
            and share.progress_s <= latest_s
            and (not party or share.party == party)
        ]
        stalled.sort(key=lambda share: share.held_bytes * (now - share.progress_s), reverse=True)
        chosen: list[MemoryShare] = []
        for share in stalled:
            if needed_bytes <= 0:
                break
            chosen.append(share)
            needed_bytes -= share.held_bytes
        return chosen if needed_bytes <= 0 else []

    def make_room(self, share: MemoryShare, size: int) -> bool:
        """Grow a share, at the expense of those that must yield; return whether it fits."""
        if share.resize(size):
            return True
        needed, of_party = self._excess(share, size)
        chosen = self.choose_yielding(max(needed, of_party), share.party if of_party > 0 else "")
        for other in chosen:
            other.displace()
        return share not in chosen and share.resize(size)

    def has_room(self, share: MemoryShare, size: int) -> bool:
        """Return whether a share may grow to a size."""
        return max(self._excess(share, size)) <= 0

    def _excess(self, share: MemoryShare, size: int) -> tuple[int, int]:
        """Return by how many bytes a size exceeds the room of all, and that of its party."""
        limits = self._limits
        delta = size - share.held_bytes
        used = self._used_bytes + delta
        if size <= limits.small_bytes or not share.party:
            return used - limits.total_bytes, 0
        excess = used - int(limits.total_bytes * (1 - limits.reserve_share))
        of_party = self._by_party.get(share.party, 0) + delta
        return excess, max(0, of_party - int(limits.total_bytes * limits.party_share))

    def _add(self, share: MemoryShare, delta: int) -> None:
        if share.held_bytes == 0 and delta:
            self._shares.add(share)
        share.held_bytes += delta
        self._used_bytes += delta
        self._by_purpose[share.purpose] += delta
        if share.party:
            of_party = self._by_party.get(share.party, 0) + delta
            if of_party:
                self._by_party[share.party] = of_party
            else:
                self._by_party.pop(share.party, None)

    def _remove(self, share: MemoryShare) -> None:
        self._add(share, -share.held_bytes)
        self._shares.discard(share)
