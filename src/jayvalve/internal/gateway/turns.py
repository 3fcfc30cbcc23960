"""Storage of turns, so that a later turn needs to send only its new input."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Self

import attrs
from loguru import logger

from jayvalve.errors import MemoryLimitError, UnavailableError
from jayvalve.internal.gateway.partitions import Partition, PartitionMap
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.gateway.turn_locations import (
    TurnFetcher,
    TurnLocation,
    TurnLocations,
)
from jayvalve.internal.gateway.turn_records import (
    Turn,
    TurnPieces,
    batch_records,
    decode_earlier_location,
    encode_turns,
)
from jayvalve.internal.timing import Deadline

__all__ = ["Turn", "TurnSettings", "TurnStore", "UnknownTurnError"]

_log = logger.bind(part="turns")

# Number of partitions in which a turn may be stored: the usual one, and one that replaces it while
# it is unavailable.
PARTITION_CHOICES = 2
# The store writes the length of each record before it.
RECORD_HEADER_BYTES = 4
# Copies of the records of an append: the records, and the bodies of up to three parallel attempts.
APPEND_COPIES = 4
# Copies of a page while a turn is looked for: the parts of the answer, the answer, its records and
# a decoded one.
PAGE_COPIES = 4
# Copies of a turn in several records when it is complete: its pieces, joined, and decoded.
PIECE_COPIES = 3
# Copies of a chain: its turns, and the body that is joined from them.
CHAIN_COPIES = 2
# Called with a number of bytes that will be held; an error that it raises ends the work.
Reserve = Callable[[int], None]


class UnknownTurnError(Exception):
    """No turn with this id is stored."""


@attrs.frozen
class TurnSettings:
    """Limits of the turn store.

    Attributes:
        memory_bytes: Maximum memory of the turns that are kept there, in bytes. The least recently
            used ones are dropped and read from the store again when needed. The turn added last
            is kept even if it is larger.
        inline_bytes: A record also contains preceding turns up to this total size, so that another
            process reads a whole chain with one call.
        record_bytes: Maximum size of a record of the store.
        append_bytes: Maximum size of the records that are appended with one call. A turn of the
            largest size exceeds what the store takes in one call, and each call holds several
            copies of its records.
        page_bytes: Maximum size of one read while a partition is searched. A larger one takes so
            long on a slow link that its answer seems lost and is requested again.
        fetch_timeout_s: Maximum time to wait for a turn from another gateway's memory, in seconds.
        partition_timeout_s: Time after which another partition is tried, as an outage may affect
            only some partitions.

    """

    memory_bytes: int = 8 * 1024 * 1024
    inline_bytes: int = 48 * 1024
    record_bytes: int = 262_144
    append_bytes: int = 512 * 1024
    page_bytes: int = 128 * 1024
    fetch_timeout_s: float = 0.5
    partition_timeout_s: float = 0.4

    @classmethod
    def from_config(cls, record_bytes: int, call_bytes: int) -> Self:
        """Return the settings for a store that takes records and appends of these sizes."""
        append_bytes = min(call_bytes, attrs.fields(cls).append_bytes.default)
        return cls(record_bytes=record_bytes, append_bytes=append_bytes)


@attrs.define
class _Append:
    """Progress of a turn's records in one partition.

    Attributes:
        batches: Number of batches that are stored.
        offset: Offset of the first record.
        size: Size of the records, each with its header, in bytes.

    """

    batches: int = 0
    offset: int = 0
    size: int = 0

    def record(self, offset: int, records: list[bytes]) -> None:
        """Record that a batch was stored."""
        if not self.batches:
            self.offset = offset
        self.batches += 1
        self.size += sum(map(len, records)) + RECORD_HEADER_BYTES * len(records)


class TurnStore:
    """Writes turns to the store and assembles chains of them.

    Args:
        storage: Access to the store.
        partitions: Distribution of the turns.
        settings: Limits.
        locations: Locations that the gateways tell each other, or None to search every turn.
        fetch: Reads a turn from the memory of the gateway that stored it, or None.

    """

    def __init__(
        self,
        storage: Storage,
        partitions: PartitionMap,
        settings: TurnSettings,
        locations: TurnLocations | None = None,
        fetch: TurnFetcher | None = None,
    ) -> None:
        self._fetch = fetch
        self._storage = storage
        self._partitions = partitions
        self._settings = settings
        self._locations = locations
        self._turns: OrderedDict[str, Turn] = OrderedDict()
        self._bytes = 0

    @property
    def memory_bytes(self) -> int:
        """Memory of the turns that are kept there, in bytes."""
        return self._bytes

    async def save(self, turn: Turn, deadline: Deadline) -> None:
        """Store a turn, which survives the loss of all processes once this method has returned.

        Raises:
            UnavailableError: The turn may not have been stored.

        """
        appends: dict[Partition, _Append] = {}
        tries = 0
        # Retries until the deadline, because the caller has already received the whole text, and
        # only the end of the stream waits for the store.
        while True:
            partition = self._partitions.of(turn.id, tries % PARTITION_CHOICES)
            append = appends.setdefault(partition, _Append())
            # In the first round, the other partition may accept the turn at once.
            is_first_round = tries < PARTITION_CHOICES
            try:
                await self._append(partition, turn, append, deadline, is_first_round)
                break
            except UnavailableError:
                tries += 1
                if deadline.expired:
                    raise
        self._cache_turn(turn)
        if self._locations is not None:
            location = TurnLocation(tries % PARTITION_CHOICES, append.offset, append.size)
            self._locations.publish(turn.id, location)

    async def _append(
        self,
        partition: Partition,
        turn: Turn,
        append: "_Append",
        deadline: Deadline,
        is_first_round: bool,
    ) -> None:
        """Append the records of a turn that are not in the partition yet.

        Raises:
            UnavailableError: Some of the records may not have been stored.

        """
        batches = batch_records(self._encode(turn), self._settings.append_bytes)
        for number, records in enumerate(batches):
            if number < append.batches:
                continue
            call_timeout_s = min(self._settings.partition_timeout_s, deadline.remaining_s)
            if is_first_round:
                call_timeout_s = min(call_timeout_s, self._storage.retry_timeout_s)
            offset = await self._storage.append(
                partition.topic,
                partition.index,
                records,
                deadline,
                call_timeout_s=call_timeout_s,
                wait_until_available=not is_first_round,
            )
            append.record(offset, records)

    def append_bytes(self, size: int) -> int:
        """Return the memory that storing a turn with a text of this size takes besides the text."""
        return APPEND_COPIES * min(size, self._settings.append_bytes)

    async def chain(
        self, turn_id: str, deadline: Deadline, reserve: Reserve = lambda size: None
    ) -> list[Turn]:
        """Return a turn and all turns before it, the oldest first.

        Args:
            turn_id: Id of the newest turn.
            deadline: Time until which the turns must be found.
            reserve: Called with the number of bytes that the chain and its joined copy hold, also
                while a turn is read. An error that it raises ends the search.

        Raises:
            UnknownTurnError: One of the turns is not stored.
            LogUnavailableError: The store did not answer, so it is unknown whether one of the turns
                is stored.

        """
        chain: list[Turn] = []
        size = 0

        def reserve_reading(reading_bytes: int) -> None:
            reserve(CHAIN_COPIES * size + reading_bytes)

        wanted_id: str | None = turn_id
        while wanted_id is not None:
            turn = self._turns.get(wanted_id)
            if turn is None:
                turn = await self._load(wanted_id, deadline, reserve_reading)
            else:
                self._turns.move_to_end(wanted_id)
            chain.append(turn)
            size += turn.size
            reserve(CHAIN_COPIES * size)
            wanted_id = turn.previous
        chain.reverse()
        return chain

    async def _load(self, turn_id: str, deadline: Deadline, reserve: Reserve) -> Turn:
        """Return a turn, read at its location if that is known, or else by a search."""
        location = None if self._locations is None else await self._locations.find(turn_id)
        if location is not None:
            found = await self._read_at(turn_id, location, deadline, reserve)
            if found is None:
                found = await self._fetch_from_writer(turn_id, location, deadline, reserve)
            if found is not None:
                return self._cache_turns(found)
        unreadable = []
        for choice in range(PARTITION_CHOICES):
            partition = self._partitions.of(turn_id, choice)
            try:
                found = await self._find(
                    turn_id, partition, deadline, reserve, self._settings.partition_timeout_s
                )
            except MemoryLimitError:
                # Reading the other partition would need as much.
                raise
            except UnavailableError:
                # Most turns are in the first partition, but the second may contain this one.
                unreadable.append(partition)
                continue
            if found is not None:
                return self._cache_turns(found)
        # A turn is known to be missing only after all its partitions were read to the end. The
        # unreadable ones are therefore read again, now with a wait until they are available.
        for partition in unreadable:
            found = await self._find(turn_id, partition, deadline, reserve)
            if found is not None:
                return self._cache_turns(found)
        raise UnknownTurnError(turn_id)

    async def _read_at(
        self, turn_id: str, location: TurnLocation, deadline: Deadline, reserve: Reserve
    ) -> list[Turn] | None:
        """Return a turn and its predecessors in the same record, or None if it is not there."""
        partition = self._partitions.of(turn_id, location.choice)
        pieces = TurnPieces(turn_id)
        start, left = location.offset, location.size
        while left > 0:
            page_bytes = min(left, self._settings.page_bytes)
            reserve(PAGE_COPIES * page_bytes + PIECE_COPIES * pieces.held_bytes)
            try:
                page = await self._storage.read(
                    partition.topic,
                    partition.index,
                    start,
                    deadline,
                    call_timeout_s=self._settings.partition_timeout_s,
                    wait_until_available=False,
                    max_bytes=page_bytes,
                )
            except UnavailableError:
                # The storage has logged the refusal; the search waits until the partition answers.
                return None
            found = self._pick_turn(pieces, page.records)
            if found is not None:
                return found
            start = page.next
            left -= sum(map(len, page.records)) + RECORD_HEADER_BYTES * len(page.records)
            if not page.records or start >= page.end:
                break
            del page
        _log.bind(turn=turn_id, offset=location.offset).info("no turn at its location")
        return None

    async def _fetch_from_writer(
        self, turn_id: str, location: TurnLocation, deadline: Deadline, reserve: Reserve
    ) -> list[Turn] | None:
        """Return a turn from the memory of its writer, while its partition cannot be read.

        A gateway keeps only turns that the store has acknowledged, so such a turn is not lost if
        all gateways die.
        """
        if self._fetch is None or location.writer is None:
            return None
        reserve(PAGE_COPIES * location.size)
        timeout_s = min(self._settings.fetch_timeout_s, deadline.remaining_s)
        records = await self._fetch(location.writer, turn_id, timeout_s)
        return None if records is None else self._pick_turn(TurnPieces(turn_id), records)

    def records_in_memory(self, turn_id: str) -> list[bytes] | None:
        """Return the records of a turn that is in memory, for another gateway, or None."""
        turn = self._turns.get(turn_id)
        return None if turn is None else list(self._encode(turn))

    def _encode(self, turn: Turn) -> Iterator[bytes]:
        """Yield the records of a turn, with its predecessors and the location of the next one."""
        turns = [turn, *self._inlined_predecessors(turn)]
        earlier_id = turns[-1].previous
        location = None
        if self._locations is not None and earlier_id is not None:
            location = self._locations.known(earlier_id)
        return encode_turns(turns, self._settings.record_bytes, location)

    def _pick_turn(self, pieces: TurnPieces, records: Iterable[bytes]) -> list[Turn] | None:
        """Return a turn and its predecessors if records complete it, or None."""
        for record in records:
            turns = pieces.add(record)
            if turns is not None:
                location = decode_earlier_location(record)
                if location is not None and turns[-1].previous is not None:
                    self._remember_location(turns[-1].previous, location)
                return turns
        return None

    def _remember_location(self, turn_id: str, location: TurnLocation) -> None:
        if self._locations is not None:
            self._locations.remember(turn_id, location)

    def _cache_turns(self, found: list[Turn]) -> Turn:
        for turn in reversed(found):
            self._cache_turn(turn)
        return found[0]

    async def _find(
        self,
        turn_id: str,
        partition: Partition,
        deadline: Deadline,
        reserve: Reserve,
        call_timeout_s: float | None = None,
    ) -> list[Turn] | None:
        """Return a turn and its predecessors in the same record, or None if it is not found.

        With a timeout, the calls do not wait until an unavailable partition is available again.
        """
        start = 0
        pieces = TurnPieces(turn_id)
        while True:
            reserve(PAGE_COPIES * self._settings.page_bytes + PIECE_COPIES * pieces.held_bytes)
            page = await self._storage.read(
                partition.topic,
                partition.index,
                start,
                deadline,
                call_timeout_s=call_timeout_s,
                wait_until_available=call_timeout_s is None,
                max_bytes=self._settings.page_bytes,
            )
            if page.first > start:
                start = page.first
                continue
            found = None
            for record in page.records:
                # A later copy of the turn replaces an earlier one.
                found = pieces.add(record) or found
            start = page.next
            if found is not None or start >= page.end:
                return found
            # The records would otherwise be held until the next ones have arrived.
            del page, record

    def _inlined_predecessors(self, turn: Turn) -> list[Turn]:
        predecessors = []
        size = turn.size
        wanted_id = turn.previous
        while wanted_id is not None and wanted_id in self._turns:
            earlier = self._turns[wanted_id]
            size += earlier.size
            if size > self._settings.inline_bytes:
                break
            predecessors.append(earlier)
            wanted_id = earlier.previous
        return predecessors

    def _cache_turn(self, turn: Turn) -> None:
        replaced = self._turns.pop(turn.id, None)
        if replaced is not None:
            self._bytes -= replaced.held_bytes
        self._turns[turn.id] = turn
        self._bytes += turn.held_bytes
        while self._bytes > self._settings.memory_bytes and len(self._turns) > 1:
            _, oldest = self._turns.popitem(last=False)
            self._bytes -= oldest.held_bytes
