"""Encoding of history records and the checksums that chain them."""

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

# The bound of a frame; a record that expands further did not come from encode_record.
MAX_RECORD_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Record:
    """One step of a program; number counts from 0, agent is the program or a sub-agent."""

    kind: str
    program: str
    organisation: str
    number: int
    agent: str
    fields: dict[str, Any]


def _checksum(parts: list) -> str:
    return digest(msgpack.packb(parts, use_bin_type=True))


def encode_record(record: Record) -> bytes:
    """Return the record with its checksum, compressed."""
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
            raise ValueError(f"kind {record.kind!r:.40} is unknown")
    except (zlib.error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise HistoryUnavailableError(f"history record is corrupted: {error}") from error
    return record


def chain(checksum: str, records: Iterable[bytes]) -> str:
    """Return the checksum of a history that is extended by records.

    The checksum of a history covers all its records in order, so two histories with the same
    length and checksum are the same.
    """
    for data in records:
        checksum = digest(checksum.encode() + data)
    return checksum
