"""Encoding of history records, and checksums of whole histories."""

import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import msgpack

from jayvalve.errors import HistoryUnavailableError
from jayvalve.internal.hashing import digest

__all__ = ["EMPTY_CHAIN", "KINDS", "Record", "chain", "decode_record", "encode_record"]

KINDS = frozenset({"start", "intent", "turn", "child", "members", "end"})
EMPTY_CHAIN = ""

# Equals the maximum size of a frame. A record that is larger after decompression was not
# created by encode_record.
MAX_RECORD_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Record:
    """One step of a program.

    Attributes:
        kind: One of KINDS.
        program: Name of the root program.
        organisation: Organisation of the program.
        number: Position in the history, starting at 0.
        agent: Name of the root program or of the sub-agent that the record belongs to.
        fields: Content of the record, depending on its kind.

    """

    kind: str
    program: str
    organisation: str
    number: int
    agent: str
    fields: dict[str, Any]


def _checksum(parts: list) -> str:
    return digest(msgpack.packb(parts, use_bin_type=True))


def encode_record(record: Record) -> bytes:
    """Return the compressed encoding of a record and its checksum."""
    parts = list(attrs.astuple(record, recurse=False))
    return zlib.compress(msgpack.packb([*parts, _checksum(parts)], use_bin_type=True))


def decode_record(data: bytes) -> Record:
    """Return the record that data encodes.

    Raises:
        HistoryUnavailableError: data is corrupted.

    """
    try:
        inflater = zlib.decompressobj()
        raw = inflater.decompress(data, MAX_RECORD_BYTES)
        if not inflater.eof or inflater.unused_data:
            raise ValueError("compressed data is incomplete, too long or followed by other data")
        *parts, checksum = msgpack.unpackb(raw, raw=False)
        if _checksum(parts) != checksum:
            raise ValueError("checksum does not match")
        record = Record(*parts)
        if record.kind not in KINDS or not isinstance(record.fields, dict):
            raise ValueError(f"kind {record.kind!r:.40} is unknown or its fields are not a mapping")
    except (zlib.error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise HistoryUnavailableError(f"history record is corrupted: {error}") from error
    return record


def chain(checksum: str, records: Iterable[bytes]) -> str:
    """Return the checksum of a history after records are appended to it.

    The checksum covers all records of the history in order, so two histories with the same
    length and checksum are identical.

    Args:
        checksum: Checksum of the history before the new records; EMPTY_CHAIN if it is empty.
        records: Encoded records to append.

    """
    for data in records:
        checksum = digest(checksum.encode() + data)
    return checksum
