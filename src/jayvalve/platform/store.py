"""Client of the platform's store, with one method per call and without retries."""

import asyncio
import base64
import json
import struct
from collections.abc import Sequence
from urllib.parse import urlencode

import attrs

from jayvalve.errors import LogAnswerLostError, LogUnavailableError
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    HttpPool,
    NotSentError,
)
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.platform import names

__all__ = [
    "KeyedRecord",
    "NewestPage",
    "StoreClient",
    "StorePage",
    "decode_keyed",
    "decode_page",
    "encode_keyed",
    "encode_page",
    "probe_store",
]

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
# The store refuses reads with a longer wait.
MAX_WAIT_S = 30.0
BYTES_PER_KIB = 1024


@attrs.frozen
class StorePage:
    """Consecutive records of a partition.

    Attributes:
        first: Offset of the oldest record that the partition still contains.
        end: Offset that follows the newest record of the partition.
        start: Offset of the first record of the page.

    """

    first: int
    end: int
    start: int
    records: tuple[bytes, ...]

    @property
    def next(self) -> int:
        """Offset of the record that follows the page."""
        return self.start + len(self.records)


@attrs.frozen
class KeyedRecord:
    """Record of a keyed topic; the value is None if the record deletes the key."""

    key: str
    value: bytes | None


@attrs.frozen
class NewestPage:
    """One page of the newest records of a keyed topic, sorted by key.

    Attributes:
        has_more: Whether another page follows.
        end: Offset that follows the newest record of the topic.

    """

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a key and its value as a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(record: bytes) -> KeyedRecord:
    """Return the key and the value of a record of a keyed topic.

    Raises:
        ValueError: the record has no valid key.

    """
    size = record[0] if record else 0
    if not size or len(record) < 1 + size:
        raise ValueError("record without a key")
    return KeyedRecord(record[1 : 1 + size].decode(), record[1 + size :] or None)


class StoreClient:
    """Client of the store. Any number of processes may call the store at the same time."""

    def __init__(self, address: tuple[str, int], pool: HttpPool) -> None:
        self._address = address
        self._pool = pool
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls so far."""
        return self._calls

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append records and return the offset of the first one.

        Raises:
            LogUnavailableError: nothing was appended.
            LogAnswerLostError: the records may have been appended or may be appended later.

        """
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        target = "/api/log-append?" + urlencode({"topic": topic, "part": partition})
        status, answer = await self.forward("POST", target, body, timeout_s)
        self._check_status(status, f"append to {topic}/{partition}")
        try:
            return int(json.loads(answer)["offset"])
        except MALFORMED_ERRORS as error:
            raise LogAnswerLostError(
                f"append to {topic} was answered with a malformed body: {error}"
            ) from error

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        timeout_s: float,
        wait_s: float = 0.0,
        max_bytes: int | None = None,
    ) -> StorePage:
        """Return the records from offset start on, after waiting up to wait_s for the first one.

        If the record at offset start has expired, the page is empty and its ``first`` is the
        offset of the oldest record.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            start: Offset of the first record.
            timeout_s: Timeout of the call, in seconds.
            wait_s: How long to wait for a record, in seconds.
            max_bytes: Maximum size of the page; one record is returned even if it is larger.

        Raises:
            LogUnavailableError: the call was not sent, was refused or got a malformed answer.
            LogAnswerLostError: no complete answer arrived.

        """
        query = {"topic": topic, "part": partition, "source": start}
        if wait_s:
            query["wait_ms"] = int(min(wait_s, MAX_WAIT_S) * 1000)
        if max_bytes is not None:
            # The store counts this limit in units of 1,024 bytes.
            query["max_size"] = max(1, -(-max_bytes // BYTES_PER_KIB))
        target = f"{names.READ_PATH}?" + urlencode(query)
        action = f"read of {topic}/{partition}"
        status, answer = await self.forward("GET", target, b"", timeout_s)
        if status == 410:
            first = _first_offset(answer)
            return StorePage(first, first, start, ())
        self._check_status(status, action)
        try:
            return decode_page(answer, start)
        except ValueError as error:
            raise LogUnavailableError(f"{action}: malformed page: {error}") from error

    async def newest(self, topic: str, timeout_s: float, after: str | None = None) -> NewestPage:
        """Return a page of the newest records of a keyed topic.

        Args:
            topic: Name of the topic.
            timeout_s: Timeout of the call, in seconds.
            after: Last key of the preceding page, or None for the first page.

        Raises:
            LogUnavailableError: the call was not sent, was refused or got a malformed answer.
            LogAnswerLostError: no complete answer arrived.

        """
        query = {"topic": topic, "part": 0}
        if after is not None:
            query["after"] = after
        status, answer = await self.forward(
            "GET", f"{names.NEWEST_PATH}?" + urlencode(query), b"", timeout_s
        )
        self._check_status(status, f"newest records of {topic}")
        try:
            document = json.loads(answer)
            records = tuple(
                KeyedRecord(item["key"], base64.b64decode(item["value"]) or None)
                for item in document["items"]
            )
            return NewestPage(records, bool(document["has_more"]), int(document["end_offset"]))
        except MALFORMED_ERRORS as error:
            raise LogUnavailableError(f"newest records of {topic} are malformed") from error

    async def trim(self, topic: str, partition: int, before: int, timeout_s: float) -> None:
        """Delete the records of a partition before an offset.

        Raises the same errors as append.
        """
        query = {"topic": topic, "part": partition, "before": before}
        status, _ = await self.forward("POST", "/api/log-trim?" + urlencode(query), b"", timeout_s)
        self._check_status(status, f"trim of {topic}/{partition}")

    async def forward(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Make a call and return the status and the body of the answer.

        Raises:
            LogUnavailableError: the call was not sent.
            LogAnswerLostError: the call may have had an effect or may have one later.

        """
        host, port = self._address
        headers = (("Host", f"{host}:{port}"), ("Content-Type", "application/octet-stream"))
        request = ClientRequest(self._address, method, target, headers, body)
        self._calls += 1
        try:
            exchange = await self._pool.send(request)
        except NotSentError as error:
            raise LogUnavailableError(f"the store cannot be reached: {error}") from error
        try:
            async with asyncio.timeout(timeout_s):
                head = await exchange.head()
                return head.status, await exchange.body()
        except TimeoutError as error:
            raise LogAnswerLostError(
                f"no answer from the store within {timeout_s:.2f} s"
            ) from error
        except BrokenConnectionError as error:
            raise LogAnswerLostError(f"the store's answer was lost: {error}") from error
        finally:
            exchange.abort()

    @staticmethod
    def _check_status(status: int, action: str) -> None:
        if status == 504:
            raise LogAnswerLostError(f"{action}: the relay received no answer")
        if status != 200:
            raise LogUnavailableError(f"{action} was answered with status {status}")


async def probe_store(client: StoreClient, timeout_s: float) -> None:
    """Make a call that the store answers immediately on any working path."""
    await client.read(names.CONFIG_TOPIC, 0, 0, timeout_s, max_bytes=1)


def decode_page(answer: bytes, start: int) -> StorePage:
    """Return the page in the answer to a read from offset start on.

    Raises:
        ValueError: the answer is malformed.

    """
    try:
        return _unpack_page(answer, start)
    except struct.error as error:
        raise ValueError(str(error)) from error


def encode_page(page: StorePage) -> bytes:
    """Return a page as the store answers a read."""
    records = (_LENGTH.pack(len(record)) + record for record in page.records)
    return _BOUNDS.pack(page.end, page.first) + b"".join(records)


def _unpack_page(answer: bytes, start: int) -> StorePage:
    end, first = _BOUNDS.unpack_from(answer)
    position = _BOUNDS.size
    records = []
    while position < len(answer):
        (size,) = _LENGTH.unpack_from(answer, position)
        position += _LENGTH.size
        if position + size > len(answer):
            raise ValueError("the last record is truncated")
        records.append(answer[position : position + size])
        position += size
    return StorePage(first, end, start, tuple(records))


def _first_offset(answer: bytes) -> int:
    try:
        return int(json.loads(answer)["first_offset"])
    except MALFORMED_ERRORS as error:
        raise LogUnavailableError("the answer to a read of expired records is malformed") from error
