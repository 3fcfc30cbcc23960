"""Ownership of programs by one entry: creation, takeover and planned hand-over."""

import contextlib
from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from jayvalve.errors import (
    HistoryUnavailableError,
    JayvalveError,
    OwnerUnavailableError,
    PeerUnavailableError,
    ProgramEndedError,
    ProgramUnknownError,
    StaleTermError,
)
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.programs.acquisition import CopyReader, Location
from jayvalve.internal.programs.copies import CopyStore
from jayvalve.internal.programs.copy_set import choose_copy_set
from jayvalve.internal.programs.copy_writer import CopyWriter, Send
from jayvalve.internal.programs.history import Program
from jayvalve.internal.programs.identity import ProgramId, Term
from jayvalve.internal.programs.owned import OwnedProgram
from jayvalve.internal.programs.terms import AcquireEpoch, KeyLocks, TermSource
from jayvalve.internal.programs.transfer import (
    build_hand_over,
    check_hand_over,
    release_copies,
)
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import Accepted, CopyRelease, HandOver
from jayvalve.verdict import Verdict

__all__ = ["OwnershipTable", "Peers"]

# Returns the (name, data centre) pairs of the live processes.
Peers = Callable[[], Iterable[tuple[str, str]]]

WRITE_TIMEOUT_S = 2.0
HAND_OVER_TIMEOUT_S = 5.0

_log = logger.bind(part="ownership")


class OwnershipTable:
    """The programs that one entry owns.

    An acknowledged record is in the history of every later owner. A process that restarts has
    a new name in peers and in copy sets, see CopyStore.

    Args:
        store: Copies of histories that this process stores.
        data_centre: Data centre of this process.
        send: Sends a message to a process and returns the reply.
        peers: Returns the names and data centres of the live processes.
        acquire_epoch: Acquires a new epoch from the log, see TermSource.
        clock: Source of the current time.
        entries: Returns the names of the processes that may own programs. By default, all
            processes in peers and this one.
        has_ended: Returns whether a process has ended permanently, so that it can acknowledge
            no further records.
        known: Like peers, but includes the processes that are believed dead and have not
            ended permanently. By default, the same as peers.
        is_believed_dead: Returns whether a process is believed dead, see CopyReader.

    """

    def __init__(
        self,
        store: CopyStore,
        data_centre: str,
        send: Send,
        peers: Peers,
        acquire_epoch: AcquireEpoch,
        clock: Clock,
        entries: Callable[[], Iterable[str]] | None = None,
        has_ended: Callable[[str], bool] = lambda name: False,
        known: Peers | None = None,
        is_believed_dead: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._store = store
        self._data_centre = data_centre
        self._send = send
        self._peers = peers
        self._entries = entries or self._data_centres
        self._clock = clock
        self._terms = TermSource(acquire_epoch)
        self._owned: dict[str, OwnedProgram] = {}
        self._locks = KeyLocks()
        self._has_ended = has_ended
        self._known_peers = known or peers
        self._reader = CopyReader(
            store, send, self._known_data_centres, has_ended, is_believed_dead
        )

    @property
    def epoch(self) -> int | None:
        """Epoch of this entry, or None before join."""
        return self._terms.epoch

    @property
    def programs(self) -> list[str]:
        """Keys of the owned programs."""
        return list(self._owned)

    async def join(self) -> None:
        """Acquire the first epoch."""
        await self._terms.join()

    def get(self, identity: ProgramId) -> OwnedProgram | None:
        """Return the program if this entry owns it, otherwise None."""
        return self._owned.get(identity.root.key)

    async def lookup(self, identity: ProgramId) -> Location | None:
        """Return the location of a program, or None if it does not exist in any process."""
        return await self._reader.lookup(identity.root.key)

    async def create(
        self, identity: ProgramId, limits: list, timeout_s: float = WRITE_TIMEOUT_S
    ) -> Program:
        """Create a program that does not exist in any process.

        On HistoryUnavailableError the entry remains the owner: a repeated request finds the
        program in the table, and the next write also sends its start record.
        """
        key = identity.root.key
        async with self._locks.get(key):
            if key in self._owned or await self._reader.lookup(key) is not None:
                raise OwnerUnavailableError(f"program {key} already exists")
            members = self._initial_copy_set(key)
            term = await self._terms.allocate(key, self._store.promised(key))
            await self._reader.reserve(key, members, term)
            program = Program(identity)
            record = program.start_record(limits, members)
            owned = self._add_owned(key, program, [record], term, [members])
        with self._drop_if_stale(key, owned):
            await owned.flush(timeout_s)
        if self._store.holder not in members:
            await self.change_copy_set(identity, timeout_s)
        return program

    async def append(
        self, identity: ProgramId, record: bytes, timeout_s: float = WRITE_TIMEOUT_S
    ) -> None:
        """Apply a record that the program has just built, and wait for its quorum.

        Raises:
            StaleTermError: another entry owns the program; this entry has dropped it.
            HistoryUnavailableError: no quorum in time, see CopyWriter.write.

        """
        owned = self._require_owned(identity.root.key)
        with self._drop_if_stale(identity.root.key, owned):
            await owned.append(record, timeout_s)

    async def confirm(self, identity: ProgramId) -> None:
        """Check that no other entry has taken over the program.

        Writes detect a takeover themselves. Without this check, a read would return an
        outdated history if this entry was paused while another took over the program.

        Raises:
            StaleTermError: another entry owns the program, or the program has ended; this
                entry has dropped it.
            HistoryUnavailableError: too few copies answered.
            OwnerUnavailableError: this entry does not own the program, or too few processes
                answered to find it.

        """
        owned = self._require_owned(key := identity.root.key)
        location = await self._reader.lookup(key)
        if location is None or not (location.ended or self._reader.can_gather(location)):
            raise HistoryUnavailableError(f"too few copies of {key} answered a read")
        if location.ended or location.term > owned.writer.term:
            self._drop_owned(key, owned)
            raise StaleTermError(
                f"this entry no longer owns program {key}, highest term seen: {location.term}"
            )

    async def take_over(self, identity: ProgramId) -> Program:
        """Become the owner of a program whose owner is unavailable.

        Raises:
            StaleTermError: a member has seen a higher term.
            HistoryUnavailableError: too few copies answered.
            OwnerUnavailableError: too few processes answered to find the program.
            ProgramUnknownError: the program does not exist in any process.
            ProgramEndedError: the program has ended.

        """
        key = identity.root.key
        async with self._locks.get(key):
            if key in self._owned:
                return self._owned[key].program
            location = await self._reader.lookup(key)
            if location is None:
                raise ProgramUnknownError(f"program {key} is not known")
            if location.ended:
                raise ProgramEndedError(f"program {key} has ended")
            if not self._reader.can_gather(location):
                # Checked before a new term is allocated, because that may append to the log:
                # retries must not cost appends.
                raise HistoryUnavailableError(
                    f"too few members of {location.sets} answered for {key}; "
                    f"no answer from {sorted(location.silent)}"
                )
            term = await self._terms.allocate(key, location.term)
            return await self._acquire(key, term, location.sets)

    async def hand_over(self, identity: ProgramId, successor: str) -> None:
        """Transfer an idle program to another entry, for example before a planned stop.

        If the message may have been sent, this entry drops the program, because the next term
        must not be given to two successors.
        """
        key = identity.root.key
        owned = self._require_owned(key)
        with self._drop_if_stale(key, owned):
            await owned.flush(WRITE_TIMEOUT_S)
        self._require_owned(key).handing_over = True
        term = owned.writer.term.successor()
        records = self._store.records(key)
        message = build_hand_over(identity, term, records, owned.writer.members)
        may_be_sent = True
        try:
            await self._send(successor, message, HAND_OVER_TIMEOUT_S)
        except PeerUnavailableError as error:
            may_be_sent = error.verdict is not Verdict.NOT_RUN
            raise
        finally:
            owned.handing_over = may_be_sent
            if may_be_sent:
                self._drop_owned(key, owned)

    async def accept_hand_over(self, message: HandOver) -> Accepted:
        """Take over a program that its owner hands over, without acquiring a new epoch.

        The history is read from the copies, not from the message: if the message was delayed,
        the sender may have written more records since.

        Raises:
            StaleTermError: the term of the message is not higher than the last term that this
                entry used for the program, or a member has seen a higher term.
            HistoryUnavailableError: the message is corrupted, or too few copies answered.
            WrongOrganisationError: a record belongs to another program or organisation.
            ProgramEndedError: the program has ended.

        """
        key = message.program
        term = Term(message.epoch, message.handover)
        program = check_hand_over(message)
        async with self._locks.get(key):
            owned = self._owned.get(key)
            if owned and owned.writer.term == term:
                return Accepted()
            if not self._terms.accept(key, term):
                raise StaleTermError(
                    f"hand-over of {key} is stale: this entry already used {term} or a higher term"
                )
            await self._acquire(key, term, program.member_sets)
        return Accepted()

    async def change_copy_set(
        self, identity: ProgramId, timeout_s: float = WRITE_TIMEOUT_S
    ) -> None:
        """Replace the copy set with this entry and members chosen from the live processes."""
        owned = self._require_owned(key := identity.root.key)
        with self._drop_if_stale(key, owned):
            await owned.change_members(
                self._choose_copy_set(key), self._data_centres().items(), timeout_s
            )

    async def end(self, identity: ProgramId, timeout_s: float = WRITE_TIMEOUT_S) -> set[str]:
        """End a program, release its copies and return the members that were not reached."""
        owned = self._require_owned(key := identity.root.key)
        if not owned.program.ended:
            await self.append(identity, owned.program.end_record(), timeout_s)
        term = owned.writer.term
        message = CopyRelease(key, term.epoch, term.handover)
        others = [name for name in owned.writer.members if name != self._store.holder]
        unreached = await release_copies(self._send, others, message, timeout_s)
        self.drop(key)
        self._store.release(message)
        return unreached

    def drop(self, key: str) -> None:
        """Stop owning a program without releasing its copies."""
        owned = self._owned.pop(key, None)
        if owned is not None:
            owned.writer.close()

    def _drop_owned(self, key: str, owned: OwnedProgram) -> None:
        # A late error of an earlier ownership must not drop a newer one.
        owned.writer.close()
        if self._owned.get(key) is owned:
            del self._owned[key]

    async def _acquire(self, key: str, term: Term, sets: list[list[str]]) -> Program:
        records = await self._reader.gather(key, sets, term)
        program = Program.from_records(ProgramId.from_key(key), records)
        owned = self._add_owned(key, program, records, term, program.member_sets)
        try:
            if owned.writer.has_lost_quorum:
                await self.change_copy_set(program.identity)
                return program
            with self._drop_if_stale(key, owned):
                await owned.flush(WRITE_TIMEOUT_S)
        except HistoryUnavailableError:
            self._drop_owned(key, owned)
            raise
        try:
            await self.change_copy_set(program.identity)
        except HistoryUnavailableError as error:
            # The old set still has a quorum, and the change is retried when a member dies.
            _log.warning(
                "could not change the copy set of {}, keeping {}: {}",
                key,
                owned.writer.sets,
                error,
            )
        return program

    def _add_owned(
        self, key: str, program: Program, records: list[bytes], term: Term, sets: list[list[str]]
    ) -> OwnedProgram:
        self.drop(key)
        data_centres = self._data_centres()
        writer = CopyWriter(
            self._store,
            key,
            program.identity.organisation,
            term,
            sets,
            self._send,
            self._clock,
            lambda name: data_centres.get(name, ""),
            self._has_ended,
        )
        owned = OwnedProgram(program, writer, data_centres)
        self._owned[key] = owned
        try:
            writer.add(records)
            if program.count == 0:
                program.apply(records[0])
        except JayvalveError:
            self._drop_owned(key, owned)
            raise
        return owned

    @contextlib.contextmanager
    def _drop_if_stale(self, key: str, owned: OwnedProgram) -> Iterator[None]:
        try:
            yield
        except StaleTermError:
            self._drop_owned(key, owned)
            raise

    def _initial_copy_set(self, key: str) -> list[str]:
        # The initial copy set must not depend on which entry creates the program: the quorums
        # of two concurrent creators have to overlap.
        preferred_owner = rendezvous_order(key, {*self._entries(), self._store.holder})[0]
        return choose_copy_set(key, preferred_owner, self._data_centres().items())

    def _choose_copy_set(self, key: str) -> list[str]:
        return choose_copy_set(key, self._store.holder, self._data_centres().items())

    def _data_centres(self) -> dict[str, str]:
        return {**dict(self._peers()), self._store.holder: self._data_centre}

    def _known_data_centres(self) -> dict[str, str]:
        return {**dict(self._known_peers()), self._store.holder: self._data_centre}

    def _require_owned(self, key: str) -> OwnedProgram:
        owned = self._owned.get(key)
        if owned is None or owned.handing_over:
            raise OwnerUnavailableError(f"this entry does not own program {key}")
        return owned
