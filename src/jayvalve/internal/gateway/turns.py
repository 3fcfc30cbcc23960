"""Storage of turns, so that a later turn needs to send only its new input."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs
import msgpack
from loguru import logger

from jayvalve.errors import UnavailableError
from jayvalve.internal.gateway.partitions import Partition, PartitionMap
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.gateway.turn_locations import (
    TurnFetcher,
    TurnLocation,
    TurnLocations,
)
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.timing import Deadline

__all__ = ["Turn", "TurnSettings", "TurnStore", "UnknownTurnError"]

_log = logger.bind(part="turns")

# Number of partitions in which a turn may be stored: the usual one, and one that replaces it while
# it is unavailable.
PARTITION_CHOICES = 2
# The store writes the length of each record before it.
RECORD_HEADER_BYTES = 4
# Maximum number of records of one turn. A larger number in a malformed record would keep the event
# loop busy with looking for them.
MAX_PIECES = 1024


class UnknownTurnError(Exception):
    """No turn with this id is stored."""


@attrs.frozen
class Turn:
    """One turn: the input of the caller and the data of the events that it received.

    Attributes:
        output: Data of the events, each followed by a line feed.
        previous: Id of the turn that this one continues, or None.

    """

    id: str
    input: bytes
    output: bytes
    previous: str | None = None

    @property
    def size(self) -> int:
        """Size of the input and the output, in bytes."""
        return len(self.input) + len(self.output)


@attrs.frozen
class TurnSettings:
    """Limits of the turn store.

    Attributes:
        memory_bytes: Maximum size of the turns kept in memory, in bytes. The least recently used
            ones are dropped and read from the store again when needed. The turn added last is
            kept even if it is larger.
        inline_bytes: A record also contains preceding turns up to this total size, so that another
            process reads a whole chain with one call.
        record_bytes: Maximum size of a record of the store.
        page_bytes: Maximum size of one read while a partition is searched. A larger one takes so
            long on a slow link that its answer seems lost and is requested again.
        fetch_timeout_s: Maximum time to wait for a turn from another gateway's memory, in seconds.
        partition_timeout_s: Time after which another partition is tried, as an outage may affect
            only some partitions.

    """

    memory_bytes: int = 8 * 1024 * 1024
    inline_bytes: int = 48 * 1024
    record_bytes: int = 262_144
    page_bytes: int = 128 * 1024
    fetch_timeout_s: float = 0.5
    partition_timeout_s: float = 0.4


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
        """Size of the turns in memory, in bytes."""
        return self._bytes

    async def save(self, turn: Turn, deadline: Deadline) -> None:
        """Store a turn, which survives the loss of all processes once this method has returned.

        Raises:
            UnavailableError: The turn may not have been stored.

        """
        records = self._encode(turn)
        tries = 0
        # Retries until the deadline, because the caller has already received the whole text, and
        # only the end of the stream waits for the store.
        while True:
            partition = self._partitions.of(turn.id, tries % PARTITION_CHOICES)
            call_timeout_s = min(self._settings.partition_timeout_s, deadline.remaining_s)
            # In the first round, the other partition may accept the turn at once.
            is_first_round = tries < PARTITION_CHOICES
            if is_first_round:
                call_timeout_s = min(call_timeout_s, self._storage.retry_timeout_s)
            try:
                offset = await self._storage.append(
                    partition.topic,
                    partition.index,
                    records,
                    deadline,
                    call_timeout_s=call_timeout_s,
                    wait_until_available=not is_first_round,
                )
                break
            except UnavailableError:
                tries += 1
                if deadline.expired:
                    raise
        self._cache_turn(turn)
        if self._locations is not None:
            size = sum(map(len, records)) + RECORD_HEADER_BYTES * len(records)
            location = TurnLocation(tries % PARTITION_CHOICES, offset, size)
            self._locations.publish(turn.id, location)

    async def chain(self, turn_id: str, deadline: Deadline) -> list[Turn]:
        """Return a turn and all turns before it, the oldest first.

        Raises:
            UnknownTurnError: One of the turns is not stored.
            LogUnavailableError: The store did not answer, so it is unknown whether one of the turns
                is stored.

        """
        chain: list[Turn] = []
        wanted_id: str | None = turn_id
        while wanted_id is not None:
            turn = self._turns.get(wanted_id)
            if turn is None:
                turn = await self._load(wanted_id, deadline)
            else:
                self._turns.move_to_end(wanted_id)
            chain.append(turn)
            wanted_id = turn.previous
        chain.reverse()
        return chain

    async def _load(self, turn_id: str, deadline: Deadline) -> Turn:
        """Return a turn, read at its location if that is known, or else by a search."""
        location = None if self._locations is None else await self._locations.find(turn_id)
        if location is not None:
            found = await self._read_at(turn_id, location, deadline)
            if found is None:
                found = await self._fetch_from_writer(turn_id, location, deadline)
            if found is not None:
                return self._cache_turns(found)
        unreadable = []
        for choice in range(PARTITION_CHOICES):
            partition = self._partitions.of(turn_id, choice)
            try:
                found = await self._find(
                    turn_id, partition, deadline, self._settings.partition_timeout_s
                )
            except UnavailableError:
                # Most turns are in the first partition, but the second may contain this one.
                unreadable.append(partition)
                continue
            if found is not None:
                return self._cache_turns(found)
        # A turn is known to be missing only after all its partitions were read to the end. The
        # unreadable ones are therefore read again, now with a wait until they are available.
        for partition in unreadable:
            found = await self._find(turn_id, partition, deadline)
            if found is not None:
                return self._cache_turns(found)
        raise UnknownTurnError(turn_id)

    async def _read_at(
        self, turn_id: str, location: TurnLocation, deadline: Deadline
    ) -> list[Turn] | None:
        """Return a turn and its predecessors in the same record, or None if it is not there."""
        partition = self._partitions.of(turn_id, location.choice)
        try:
            page = await self._storage.read(
                partition.topic,
                partition.index,
                location.offset,
                deadline,
                call_timeout_s=self._settings.partition_timeout_s,
                wait_until_available=False,
                max_bytes=location.size,
            )
        except UnavailableError:
            # The storage has logged the refusal; the search waits until the partition answers.
            return None
        found = self._pick_turn(turn_id, page.records)
        if found is None:
            _log.bind(turn=turn_id, offset=location.offset).info("no turn at its location")
        return found

    async def _fetch_from_writer(
        self, turn_id: str, location: TurnLocation, deadline: Deadline
    ) -> list[Turn] | None:
        """Return a turn from the memory of its writer, while its partition cannot be read.

        A gateway keeps only turns that the store has acknowledged, so such a turn is not lost if
        all gateways die.
        """
        if self._fetch is None or location.writer is None:
            return None
        timeout_s = min(self._settings.fetch_timeout_s, deadline.remaining_s)
        records = await self._fetch(location.writer, turn_id, timeout_s)
        return None if records is None else self._pick_turn(turn_id, records)

    def records_in_memory(self, turn_id: str) -> list[bytes] | None:
        """Return the records of a turn that is in memory, for another gateway, or None."""
        turn = self._turns.get(turn_id)
        return None if turn is None else self._encode(turn)

    def _encode(self, turn: Turn) -> list[bytes]:
        """Return the records of a turn, with its predecessors and the location of the next one."""
        turns = [turn, *self._inlined_predecessors(turn)]
        earlier_id = turns[-1].previous
        location = None
        if self._locations is not None and earlier_id is not None:
            location = self._locations.known(earlier_id)
        return encode_turns(turns, self._settings.record_bytes, location)

    def _pick_turn(self, turn_id: str, records: Iterable[bytes]) -> list[Turn] | None:
        """Return a turn and its predecessors from its records, or None if it is not there."""
        parts: dict[tuple[str, int], bytes] = {}
        for record in records:
            turns = decode_turns(record, parts)
            if turns and turns[0].id == turn_id:
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
        call_timeout_s: float | None = None,
    ) -> list[Turn] | None:
        """Return a turn and its predecessors in the same record, or None if it is not found.

        With a timeout, the calls do not wait until an unavailable partition is available again.
        """
        start, found = 0, None
        parts: dict[tuple[str, int], bytes] = {}
        while found is None:
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
            for record in page.records:
                turns = decode_turns(record, parts)
                if turns and turns[0].id == turn_id:
                    found = turns
            start = page.next
            if start >= page.end:
                break
        return found

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
            self._bytes -= replaced.size
        self._turns[turn.id] = turn
        self._bytes += turn.size
        while self._bytes > self._settings.memory_bytes and len(self._turns) > 1:
            _, oldest = self._turns.popitem(last=False)
            self._bytes -= oldest.size


def encode_turns(
    turns: list[Turn], record_bytes: int, earlier_location: TurnLocation | None = None
) -> list[bytes]:
    """Return the records of a turn and the turns before it; a long text needs several records.

    Args:
        turns: The turn and turns before it, the newest first.
        record_bytes: Maximum size of a record.
        earlier_location: Location of the turn before these, or None if there is none or it is
            unknown.

    """
    data = msgpack.packb([attrs.astuple(turn) for turn in turns])
    # Leaves 256 bytes for the id, the index, the number of pieces and the encoding.
    size = record_bytes - 256
    if len(data) <= size:
        # Readers of earlier releases ignore the index of a single piece, so it holds the location.
        index = 0 if earlier_location is None else attrs.astuple(earlier_location)
        return [msgpack.packb([turns[0].id, index, 1, data])]
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    return [
        msgpack.packb([turns[0].id, index, len(pieces), piece])
        for index, piece in enumerate(pieces)
    ]


def decode_earlier_location(record: bytes) -> TurnLocation | None:
    """Return the location of the turn before those of a record, or None if it has none."""
    try:
        _, index, count, _ = msgpack.unpackb(record)
        return TurnLocation.from_message(index) if count == 1 and index else None
    except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
        _log.bind(error=repr(error)).info("ignoring a malformed location")
        return None


def decode_turns(record: bytes, parts: dict[tuple[str, int], bytes]) -> list[Turn]:
    """Return the turns that a record completes; ``parts`` collects turns split over records."""
    try:
        turn_id, index, count, piece = msgpack.unpackb(record)
        if count > MAX_PIECES:
            raise ValueError(f"a turn of {count} records; at most {MAX_PIECES} are valid")
        if count > 1:
            parts[turn_id, index] = piece
            pieces = [parts.get((turn_id, position)) for position in range(count)]
            if None in pieces:
                return []
            piece = b"".join(pieces)
        return [Turn(*fields) for fields in msgpack.unpackb(piece)]
    except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
        _log.bind(error=repr(error)).warning("skipping a record of turns that cannot be decoded")
        return []
