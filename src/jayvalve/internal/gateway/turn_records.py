"""Records of kept turns in the store: a turn, and turns before it, in one or several records."""

from collections.abc import Iterable, Iterator

import attrs
import msgpack
from loguru import logger

from jayvalve.internal.gateway.turn_locations import TurnLocation
from jayvalve.internal.malformed import MALFORMED_ERRORS

__all__ = [
    "Turn",
    "TurnPieces",
    "batch_records",
    "decode_earlier_location",
    "encode_turns",
]

_log = logger.bind(part="turns")

# Maximum number of records of one turn. A larger number in a malformed record would keep the event
# loop busy with looking for them.
MAX_PIECES = 1024
# Left of a record for the id, the index, the number of pieces and the encoding.
RECORD_MARGIN_BYTES = 256
# Memory of a turn with empty texts: its object, its ids, its place in a dictionary.
TURN_BYTES = 512


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

    @property
    def held_bytes(self) -> int:
        """Memory that the turn takes, in bytes; short turns take more than their texts."""
        return TURN_BYTES + len(self.id) + len(self.previous or "") + self.size


def encode_turns(
    turns: list[Turn], record_bytes: int, earlier_location: TurnLocation | None = None
) -> Iterator[bytes]:
    """Yield the records of a turn and the turns before it; a long text needs several records.

    Each record is built when it is needed, so that a long text is not held twice.

    Args:
        turns: The turn and turns before it, the newest first.
        record_bytes: Maximum size of a record.
        earlier_location: Location of the turn before these, or None if there is none or it is
            unknown.

    """
    parts = _encode_parts(turns)
    size = record_bytes - RECORD_MARGIN_BYTES
    count = max(1, -(-sum(map(len, parts)) // size))
    for index, piece in enumerate(_cut(parts, size)):
        if count == 1 and earlier_location is not None:
            # Readers of earlier releases ignore the index of a single piece, so it holds the
            # location.
            yield msgpack.packb([turns[0].id, attrs.astuple(earlier_location), 1, piece])
        else:
            yield msgpack.packb([turns[0].id, index, count, piece])


def _encode_parts(turns: list[Turn]) -> list[bytes]:
    """Return the parts of a MessagePack array of turns; the texts in it are not copied."""
    packer = msgpack.Packer()
    parts = [packer.pack_array_header(len(turns))]
    for turn in turns:
        parts += [packer.pack_array_header(4), packer.pack(turn.id)]
        for text in (turn.input, turn.output):
            # The format of byte strings with a length of four bytes.
            parts += [b"\xc6" + len(text).to_bytes(4, "big"), text]
        parts.append(packer.pack(turn.previous))
    return parts


def _cut(parts: Iterable[bytes], size: int) -> Iterator[bytearray]:
    """Yield the joined parts in pieces of a size; the last one may be shorter."""
    piece = bytearray()
    for part in parts:
        view = memoryview(part)
        while view:
            taken = view[: size - len(piece)]
            piece += taken
            view = view[len(taken) :]
            if len(piece) == size:
                yield piece
                piece = bytearray()
    if piece:
        yield piece


def batch_records(records: Iterable[bytes], max_bytes: int) -> Iterator[list[bytes]]:
    """Yield records in batches of up to max_bytes, at least one record each."""
    batch: list[bytes] = []
    size = 0
    for record in records:
        if batch and size + len(record) > max_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record)
    if batch:
        yield batch


def decode_earlier_location(record: bytes) -> TurnLocation | None:
    """Return the location of the turn before those of a record, or None if it has none."""
    try:
        _, index, count, _ = msgpack.unpackb(record)
        return TurnLocation.from_message(index) if count == 1 and index else None
    except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
        _log.bind(error=repr(error)).info("ignoring a malformed location")
        return None


class TurnPieces:
    """Collects the records of one turn, and ignores those of others.

    A partition holds the turns of many programs. Keeping the pieces of all of them during a search
    would take as much memory as the partition.
    """

    def __init__(self, turn_id: str) -> None:
        self._turn_id = turn_id
        self._pieces: dict[int, bytes] = {}

    @property
    def held_bytes(self) -> int:
        """Size of the pieces that were found."""
        return sum(map(len, self._pieces.values()))

    def add(self, record: bytes) -> list[Turn] | None:
        """Return the turn and its predecessors if the record completes them, or None."""
        try:
            turn_id, index, count, piece = msgpack.unpackb(record)
            if turn_id != self._turn_id:
                return None
            if count > MAX_PIECES:
                raise ValueError(f"a turn of {count} records; at most {MAX_PIECES} are valid")
            if count > 1:
                self._pieces[index] = piece
                if not all(position in self._pieces for position in range(count)):
                    return None
                piece = b"".join(self._pieces[position] for position in range(count))
            turns = [Turn(*fields) for fields in msgpack.unpackb(piece)]
        except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
            _log.bind(error=repr(error)).warning(
                "skipping a record of turns that cannot be decoded"
            )
            return None
        return turns if turns and turns[0].id == self._turn_id else None
