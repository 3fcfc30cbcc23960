"""Replication of a program's records from its owner to the copy set."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from loguru import logger

from jayvalve.errors import (
    HistoryUnavailableError,
    JayvalveError,
    OverloadedError,
    ProgramEndedError,
    StaleTermError,
)
from jayvalve.internal.programs.copies import CopyStore
from jayvalve.internal.programs.copy_set import has_quorum
from jayvalve.internal.programs.identity import Term
from jayvalve.internal.programs.records import chain
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import CopyAck, CopyWrite, Message

__all__ = ["SECOND_COPY_WAIT_S", "CopyWriter", "Send"]

Send = Callable[[str, Message, float], Awaitable[Message]]

# How long a committed write waits for the slower copy, in seconds, so that normally each single
# member has every acknowledged record. A member that does not acknowledge in time is sent the
# missing records again, at the latest with the next write. 50 ms was too short: a busy copy
# missed records, and losing the two other members would have lost a turn.
SECOND_COPY_WAIT_S = 0.5
SEND_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05

# Refusal reasons after which a member refuses all further records under this writer's term.
_FINAL_REASONS = frozenset({"not_member", "conflict", "ended", "wrong_organisation"})

_log = logger.bind(part="copies")


class CopyWriter:
    """The only writer of a program under one term.

    The owner's own store is a member of the copy set. It is written first, and it fences the
    owner as soon as it has promised a higher term. For each other member, a task sends all
    records that the member lacks in one message.

    Args:
        store: Store of the owner.
        program: Key of the program.
        organisation: Organisation of the program.
        term: Term of the owner.
        sets: Copy sets of the program.
        send: Sends a message to a process and returns the reply.
        clock: Source of the current time.
        data_centre: Returns the data centre of a process, or an empty string if it is unknown.
            By default, each process is a data centre of its own.
        has_ended: Returns whether a process has ended permanently.

    """

    def __init__(
        self,
        store: CopyStore,
        program: str,
        organisation: str,
        term: Term,
        sets: list[list[str]],
        send: Send,
        clock: Clock,
        data_centre: Callable[[str], str] = str,
        has_ended: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._store = store
        self._program = program
        self._organisation = organisation
        self._term = term
        self._sets = sets
        self._send = send
        self._clock = clock
        self._data_centre = data_centre
        self._has_ended = has_ended
        self._learners: list[str] = []
        self._count = 0
        self._next_sequences: dict[str, int] = {}
        self._acknowledged: dict[str, int] = {}
        self._failed: set[str] = set()
        self._refusals: dict[str, str] = {}
        self._fencing_term: Term | None = None
        self._closed = False
        self._active_until_s = 0.0
        self._senders: dict[str, asyncio.Task] = {}
        self._changed = asyncio.Event()

    @property
    def term(self) -> Term:
        """Term of this writer."""
        return self._term

    @property
    def sets(self) -> list[list[str]]:
        """Copy sets that must each reach a quorum; only one unless a change is in progress."""
        return self._sets

    @property
    def count(self) -> int:
        """Number of records written to the owner's store."""
        return self._count

    @property
    def members(self) -> list[str]:
        """Owner, followed by all other members and the processes about to become members."""
        others = [name for members in self._sets for name in members] + self._learners
        return list(dict.fromkeys([self._store.holder, *others]))

    @property
    def unreachable(self) -> set[str]:
        """Members whose last write failed, and members that have refused a write.

        Refusals with the reason gap or stale_term are not counted.
        """
        return (self._failed | self._refusals.keys()) & set(self.members)

    @property
    def has_lost_quorum(self) -> bool:
        """Whether too many members have ended for a write quorum of the newest copy set.

        Only a change of the copy set helps then.
        """
        live = {name for name in self._sets[-1] if not self._has_ended(name)}
        return not has_quorum(self._sets[-1:], live, read=False)

    def close(self) -> None:
        """Stop sending. Pending writes fail with HistoryUnavailableError."""
        self._closed = True
        for task in self._senders.values():
            task.cancel()
        self._notify()

    def add(self, records: Iterable[bytes], sets: list[list[str]] | None = None) -> int:
        """Append records to the owner's store and return the new number of records.

        Args:
            records: Records to append.
            sets: Copy sets that apply from these records on, or None to keep the current ones.

        Raises:
            StaleTermError: the store has promised a higher term.
            ProgramEndedError: the program has ended.
            HistoryUnavailableError: the writer is closed.
            OverloadedError: the store refused the records, for example because it accepts no
                new programs.

        """
        self._raise_if_stopped()
        records = list(records)
        previous, self._sets = self._sets, sets or self._sets
        ack = self._store.write(self._build_write(self._count, records))
        if not ack.accepted:
            self._sets = previous
            self._handle_refusal(self._store.holder, ack)
            self._raise_if_stopped()
            raise OverloadedError(f"the owner's store refused the records: {ack.reason}")
        self._count += len(records)
        self._acknowledged[self._store.holder] = self._count
        return self._count

    async def write(self, records: Iterable[bytes], timeout_s: float) -> None:
        """Append records and wait for their quorum.

        Raises:
            StaleTermError: a member has seen a higher term.
            HistoryUnavailableError: no quorum in time. The records remain in the owner's store
                and are sent with the next write.
            ProgramEndedError, OverloadedError: see add.

        """
        await self.commit(self.add(records), timeout_s)

    async def commit(self, count: int, timeout_s: float) -> None:
        """Wait until a quorum of each copy set has the first ``count`` records.

        After that, wait for the other reachable members, at most SECOND_COPY_WAIT_S seconds.

        Raises:
            StaleTermError: a member has seen a higher term.
            ProgramEndedError: the owner's store refused a record because the program has ended.
            HistoryUnavailableError: no quorum in time, or the writer is closed.

        """
        now = self._clock.now()
        self._active_until_s = max(self._active_until_s, now + timeout_s)
        self._start_senders()
        await self._wait_until(lambda: self._is_committed(count), now + timeout_s)
        if not self._is_committed(count):
            self._raise_if_stopped()
            raise HistoryUnavailableError(
                f"record {count - 1} of {self._program} has no quorum of {self._sets}, "
                f"unreachable: {sorted(self.unreachable)}"
            )
        until_s = self._clock.now() + SECOND_COPY_WAIT_S
        self._active_until_s = max(self._active_until_s, until_s)
        await self._wait_until(lambda: self._is_complete(count), until_s)

    async def send_history(self, members: Iterable[str], timeout_s: float) -> None:
        """Send the whole history to processes that are about to become members.

        Raises:
            StaleTermError: a member has seen a higher term.
            HistoryUnavailableError: a process did not acknowledge the history in time.

        """
        current_members = {name for copy_set in self._sets for name in copy_set}
        learners = [name for name in members if name not in current_members]
        self._learners = learners
        until_s = self._clock.now() + timeout_s
        self._active_until_s = max(self._active_until_s, until_s)
        self._start_senders()
        count = self._count

        def caught_up() -> bool:
            return all(self._acknowledged.get(name, 0) >= count for name in learners)

        try:
            await self._wait_until(caught_up, until_s)
        finally:
            # From here on, the processes are members only if add() sets the new copy sets.
            self._learners = []
        self._raise_if_stopped()
        if not caught_up():
            raise HistoryUnavailableError(
                f"new members {learners} did not all acknowledge the history"
            )

    def _is_committed(self, count: int) -> bool:
        if self._fencing_term is not None:
            return False
        holders = {name for name, stored in self._acknowledged.items() if stored >= count}
        if not has_quorum(self._sets, holders, read=False, has_ended=self._has_ended):
            return False
        # An ended member keeps no records, so the newest set needs a quorum without it.
        if not has_quorum(self._sets[-1:], holders, read=False):
            return False
        # Only the newest set has to span data centres: a lost data centre must not block the
        # replacement of its members.
        newest = self._sets[-1]
        all_data_centres = {self._data_centre(name) for name in newest} - {""}
        covered = {self._data_centre(name) for name in newest if name in holders} - {""}
        return len(covered) >= min(2, len(all_data_centres))

    def _is_complete(self, count: int) -> bool:
        expected = set(self._sets[-1]) - self.unreachable
        return all(self._acknowledged.get(name, 0) >= count for name in expected)

    async def _wait_until(self, condition: Callable[[], bool], until_s: float) -> None:
        while not condition() and self._fencing_term is None and not self._closed:
            remaining_s = until_s - self._clock.now()
            if remaining_s <= 0:
                return
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                return

    def _start_senders(self) -> None:
        for name in self.members:
            task = self._senders.get(name)
            if name != self._store.holder and (task is None or task.done()):
                self._senders[name] = asyncio.create_task(self._send_records(name))

    async def _send_records(self, name: str) -> None:
        while self._should_send(name):
            # Once the store has promised a higher term, its records may be from another owner.
            promised_term = self._store.promised(self._program)
            if promised_term > self._term:
                self._fencing_term = promised_term
                break
            start = self._next_sequences.get(name, 0)
            records = self._store.records(self._program)[start : self._count]
            message = self._build_write(start, records)
            try:
                ack = await self._send(name, message, SEND_TIMEOUT_S)
            except (JayvalveError, TimeoutError) as error:
                _log.debug("writing {} to {} failed: {}", self._program, name, error)
                self._failed.add(name)
                self._notify()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._failed.discard(name)
            if ack.accepted:
                self._next_sequences[name] = start + len(records)
                self._acknowledged[name] = max(
                    self._acknowledged.get(name, 0), self._next_sequences[name]
                )
            else:
                self._handle_refusal(name, ack)
                if ack.reason not in ("gap", "stale_term"):
                    await asyncio.sleep(RETRY_DELAY_S)
            self._notify()
        self._notify()

    def _should_send(self, name: str) -> bool:
        return (
            not self._closed
            and self._fencing_term is None
            and name in self.members
            and self._refusals.get(name) not in _FINAL_REASONS
            and self._next_sequences.get(name, 0) < self._count
            and self._clock.now() < self._active_until_s
        )

    def _handle_refusal(self, name: str, ack: CopyAck) -> None:
        if ack.reason == "stale_term":
            self._fencing_term = Term(ack.epoch, ack.handover)
        elif ack.reason == "gap":
            self._next_sequences[name] = min(ack.sequence, self._count)
        else:
            _log.warning("{} refused a write of {}: {}", name, self._program, ack.reason)
            self._refusals[name] = ack.reason

    def _build_write(self, sequence: int, records: list[bytes]) -> CopyWrite:
        prefix_checksum = self._store.checksum(self._program, sequence)
        return CopyWrite(
            self._program,
            self._organisation,
            self._term.epoch,
            self._term.handover,
            sequence,
            records,
            chain(prefix_checksum, records),
            self.members,
        )

    def _raise_if_stopped(self) -> None:
        if self._fencing_term is not None:
            raise StaleTermError(
                f"program {self._program} has term {self._fencing_term}, "
                f"this owner has {self._term}"
            )
        if self._refusals.get(self._store.holder) == "ended":
            raise ProgramEndedError(f"program {self._program} has ended")
        if self._closed:
            raise HistoryUnavailableError(f"the writer of {self._program} is closed")

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
