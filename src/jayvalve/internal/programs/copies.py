"""Copies of program histories that a process stores for the programs' owners."""

import attrs
from loguru import logger

from jayvalve.errors import StaleTermError
from jayvalve.internal.programs.identity import Term
from jayvalve.internal.programs.records import EMPTY_CHAIN, chain
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import (
    Accepted,
    CopyAck,
    CopyRead,
    CopyRelease,
    CopyState,
    CopyWrite,
)

__all__ = ["HISTORY_MEMORY_BYTES", "TOMBSTONE_S", "CopyStore"]

HISTORY_MEMORY_BYTES = 64 * 1024 * 1024
TOMBSTONE_S = 600.0
# Checking every copy on each message would cost more than handling the message.
EXPIRY_INTERVAL_S = 10.0

_LOWEST_TERM = Term(0)

_log = logger.bind(part="copies")


@attrs.define
class _Copy:
    """Copy of one program's history.

    Attributes:
        organisation: Organisation of the program.
        accepted: Term of the last accepted write.
        promised: Highest term seen; writes under lower terms are refused.
        members: Members of the copy sets according to the last accepted write.
        records: Records of the history, compressed as received.
        chains: Checksums; chains[i] covers the history up to and including record i.
        ended: Whether this is the tombstone of an ended program.
        updated_s: Time of the last accepted write, promise or release.

    """

    organisation: str = ""
    accepted: Term = _LOWEST_TERM
    promised: Term = _LOWEST_TERM
    members: list[str] = attrs.field(factory=list)
    records: list[bytes] = attrs.field(factory=list)
    chains: list[str] = attrs.field(factory=list)
    ended: bool = False
    updated_s: float = 0.0

    @property
    def size(self) -> int:
        """Total size of the records, in bytes."""
        return sum(map(len, self.records))

    def chain_at(self, count: int) -> str:
        """Return the checksum of the first ``count`` records."""
        return self.chains[count - 1] if count else EMPTY_CHAIN

    def replace_from(self, sequence: int, records: list[bytes]) -> None:
        """Keep the first ``sequence`` records of the history and append ``records``."""
        del self.records[sequence:], self.chains[sequence:]
        for data in records:
            self.records.append(data)
            self.chains.append(chain(self.chain_at(len(self.chains)), [data]))


class CopyStore:
    """Stores copies of histories and handles CopyWrite, CopyRead and CopyRelease messages.

    Args:
        holder: Name of this process in copy sets. A process must use a new name after each
            restart: it has lost its records and promises, so it must not be counted as the
            member that it was before.
        clock: Source of the current time.
        memory_bytes: Size of all records above which new programs are refused, in bytes.

    """

    def __init__(self, holder: str, clock: Clock, memory_bytes: int = HISTORY_MEMORY_BYTES) -> None:
        self._holder = holder
        self._clock = clock
        self._memory_bytes = memory_bytes
        self._copies: dict[str, _Copy] = {}
        self._bytes = 0
        self._next_expiry_s = 0.0
        self._has_dropped_copies = False

    @property
    def holder(self) -> str:
        """Name of this process in copy sets."""
        return self._holder

    @property
    def bytes_held(self) -> int:
        """Total size of all records, in bytes."""
        return self._bytes

    def promised(self, program: str) -> Term:
        """Return the highest term seen for a program."""
        copy = self._copies.get(program)
        return copy.promised if copy else _LOWEST_TERM

    def records(self, program: str) -> list[bytes]:
        """Return the stored records of a program."""
        copy = self._copies.get(program)
        return list(copy.records) if copy else []

    def checksum(self, program: str, count: int) -> str:
        """Return the checksum of the first ``count`` records."""
        copy = self._copies.get(program)
        return copy.chain_at(count) if copy else EMPTY_CHAIN

    def idle(self, age_s: float) -> list[str]:
        """Return programs that received no update for age_s seconds.

        The owners of these programs may have removed this process from the copy set.
        """
        limit = self._clock.now() - age_s
        return [name for name, copy in self._copies.items() if copy.updated_s <= limit]

    def discard(self, program: str) -> None:
        """Drop a program whose owner has confirmed that this process is not a member."""
        copy = self._copies.pop(program, None)
        self._bytes -= copy.size if copy else 0
        self._has_dropped_copies = True

    def write(self, message: CopyWrite) -> CopyAck:
        """Store records, or return the reason for a refusal.

        The reasons are stale_term, gap (with the sequence number to send from), ended,
        not_member, overloaded, wrong_organisation, checksum and conflict.
        """
        self._expire()
        term = Term(message.epoch, message.handover)
        copy = self._copies.get(message.program) or _Copy(updated_s=self._clock.now())
        reason, wanted = self._refusal(copy, message, term)
        if reason:
            highest = max(copy.promised, copy.accepted)
            _log.debug("refused a write of {}: {}", message.program, reason)
            return CopyAck(False, highest.epoch, highest.handover, wanted, reason)
        before = copy.size
        end = message.sequence + len(message.records)
        if term > copy.accepted or not copy.records:
            copy.replace_from(message.sequence, list(message.records))
        elif end > len(copy.records):
            skip = len(copy.records) - message.sequence
            copy.replace_from(len(copy.records), list(message.records[skip:]))
        copy.organisation = message.organisation
        copy.accepted = copy.promised = term
        copy.members = list(message.members)
        copy.updated_s = self._clock.now()
        self._copies[message.program] = copy
        self._bytes += copy.size - before
        return CopyAck(True, term.epoch, term.handover, len(copy.records))

    def read(self, message: CopyRead) -> CopyState:
        """Return the copy of a program.

        If the message asks for a promise, the copy refuses writes under lower terms from then
        on. A copy that has already promised a higher term returns that term and promises
        nothing new. A reply without records contains this process as the only member if it
        certainly never had the program, and no members if it may have dropped its copy. The
        members in the reply for a tombstone have no meaning.
        """
        self._expire()
        copy = self._copies.get(message.program)
        if message.promise:
            copy = self._promise(message.program, Term(message.epoch, message.handover))
        if copy is None:
            return CopyState(False, members=self._members_without_records())
        has_records = bool(copy.records)
        return CopyState(
            found=has_records or copy.ended,
            epoch=copy.accepted.epoch,
            handover=copy.accepted.handover,
            organisation=copy.organisation,
            members=list(copy.members) if has_records else self._members_without_records(),
            records=list(copy.records),
            checksum=copy.chain_at(len(copy.records)),
            promised_epoch=copy.promised.epoch,
            promised_handover=copy.promised.handover,
            ended=copy.ended,
        )

    def release(self, message: CopyRelease) -> Accepted:
        """Replace the copy of an ended program with a tombstone.

        Raises:
            StaleTermError: a higher term was seen.

        """
        self._expire()
        term = Term(message.epoch, message.handover)
        copy = self._promise(message.program, term)
        if copy.promised > term:
            raise StaleTermError(f"program {message.program} has term {copy.promised}")
        self._bytes -= copy.size
        copy.replace_from(0, [])
        copy.ended = True
        return Accepted()

    def _members_without_records(self) -> list[str]:
        return [] if self._has_dropped_copies else [self._holder]

    def _promise(self, program: str, term: Term) -> _Copy:
        copy = self._copies.setdefault(program, _Copy())
        copy.promised = max(copy.promised, term)
        copy.updated_s = self._clock.now()
        return copy

    def _refusal(self, copy: _Copy, message: CopyWrite, term: Term) -> tuple[str, int]:
        count = len(copy.records)
        if self._is_fenced(copy, term):
            return "stale_term", count
        if copy.ended:
            return "ended", count
        if self._holder not in message.members:
            return "not_member", count
        if copy.records and copy.organisation != message.organisation:
            return "wrong_organisation", count
        if not copy.records and self._bytes + sum(map(len, message.records)) > self._memory_bytes:
            return "overloaded", count
        if message.sequence > count:
            return "gap", count
        return self._content_refusal(copy, message, term)

    def _is_fenced(self, copy: _Copy, term: Term) -> bool:
        return term < copy.promised

    def _content_refusal(self, copy: _Copy, message: CopyWrite, term: Term) -> tuple[str, int]:
        count = len(copy.records)
        start = copy.chain_at(message.sequence)
        if chain(start, message.records) != message.checksum:
            # Records before the first one of the message may differ, so the sender has to send
            # the whole history.
            return ("gap", 0) if message.sequence else ("checksum", count)
        if not count:
            return "", 0
        if term == copy.accepted:
            overlap = message.records[: count - message.sequence]
            if chain(start, overlap) != copy.chain_at(message.sequence + len(overlap)):
                return "conflict", count
        return "", 0

    def _expire(self) -> None:
        # Copies without records are tombstones or promises. Both only guard against messages
        # that are still in transit.
        now = self._clock.now()
        if now < self._next_expiry_s:
            return
        self._next_expiry_s = now + EXPIRY_INTERVAL_S
        limit = now - TOMBSTONE_S
        expired = [
            name
            for name, copy in self._copies.items()
            if not copy.records and copy.updated_s < limit
        ]
        for name in expired:
            self._has_dropped_copies |= self._copies.pop(name).ended
