"""Stand-in for the platform's append-only log service."""

import asyncio
import base64
import binascii
import contextlib
import math
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_identifier, check_range, check_type
from jayvalve.standins.rate import TokenBucket
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["LogService", "LogSettings"]

DEFAULT_PAGE_RECORDS = 100
MAX_PAGE_RECORDS = 10_000
MAX_WAIT_MS = 60_000
MAX_RECORD_BYTES = 1024 * 1024


@attrs.frozen
class LogSettings:
    """Settings of the log service.

    Attributes:
        retention_s: How long records are kept, in seconds.
        appends_per_s: Maximum rate of appends to all streams together.

    """

    retention_s: float = attrs.field(default=7 * 86_400.0, validator=attrs.validators.gt(0))
    appends_per_s: float = attrs.field(default=400.0, validator=attrs.validators.gt(0))


class Record(NamedTuple):
    """One appended record; time_s is in seconds since the Unix epoch."""

    offset: int
    time_s: float
    data: bytes


class LogStream:
    """The retained records of one stream. Offsets start at 0 and are never reused."""

    def __init__(self) -> None:
        self._records: deque[Record] = deque()
        self._next_offset = 0
        self._appended = asyncio.Event()

    @property
    def first(self) -> int:
        """Offset of the oldest retained record, or the next offset if there is none."""
        return self._records[0].offset if self._records else self._next_offset

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self._next_offset

    @property
    def appended(self) -> asyncio.Event:
        """Event that the next append sets; each append replaces it."""
        return self._appended

    def append(self, data: bytes, now_s: float) -> int:
        """Add a record, wake the waiting readers and return the record's offset."""
        offset = self._next_offset
        self._records.append(Record(offset, now_s, data))
        self._next_offset += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def expire(self, cutoff_s: float) -> None:
        """Drop the records appended before cutoff_s."""
        while self._records and self._records[0].time_s < cutoff_s:
            self._records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Return up to limit records from start, or from the oldest one if that is later."""
        skip = max(0, start - self.first)
        return [self._records[i] for i in range(skip, min(skip + limit, len(self._records)))]


@STAND_INS.register("log")
class LogService(StandIn):
    """Append-only streams with offsets, limited retention and a limited append rate."""

    kind = "log"

    def __init__(self, settings: LogSettings | None = None, clock: Clock | None = None) -> None:
        super().__init__([("/streams/([^/]+)/records", RecordsHandler)], clock)
        self._settings = settings if settings is not None else LogSettings()
        self._streams: dict[str, LogStream] = {}
        rate = self._settings.appends_per_s
        self._bucket = TokenBucket(rate, max(1.0, rate))

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "LogService":
        """Build the service from {"retention_s", "appends_per_s"}; both have defaults."""
        return cls(checked_settings(LogSettings, config, cls.kind))

    @property
    def bucket(self) -> TokenBucket:
        """Rate limit for the appends to all streams together."""
        return self._bucket

    def stream(self, name: str) -> LogStream:
        """Return the stream after dropping its expired records; create it on first use."""
        stream = self._streams.setdefault(check_identifier(name, "stream"), LogStream())
        stream.expire(self.clock.wall() - self._settings.retention_s)
        return stream


class RecordsHandler(StandInHandler):
    """Appends to a stream and reads from it."""

    standin: LogService  # type: ignore[assignment]

    def post(self, name: str) -> None:
        """Append one record: the raw body, or the base64 text in {"data"} if the body is JSON."""
        data = self._record_data()
        stream = self.standin.stream(name)
        wait_s = self.standin.bucket.take(self.standin.clock.now())
        if wait_s > 0:
            self.refuse(429, "rate_limited", "append rate exceeded", wait_s)
            return
        self.finish({"offset": stream.append(data, self.standin.clock.wall())})

    async def get(self, name: str) -> None:
        """Return a page of records.

        With wait_ms, wait up to that time for an append if there is no record yet.
        """
        start = self._integer_argument("from", 0, 2**62)
        limit = self._integer_argument("limit", DEFAULT_PAGE_RECORDS, MAX_PAGE_RECORDS)
        wait_ms = self._integer_argument("wait_ms", 0, MAX_WAIT_MS)
        stream = self.standin.stream(name)
        records = stream.read(start, limit)
        if not records and wait_ms:
            await self.wait_unless_closed(_wait_for_event(stream.appended, wait_ms / 1000))
            stream = self.standin.stream(name)
            records = stream.read(start, limit)
        next_offset = records[-1].offset + 1 if records else stream.next
        self.finish(
            {
                "first": stream.first,
                "next": next_offset,
                "records": [_record_document(r) for r in records],
            }
        )

    def _record_data(self) -> bytes:
        data = self.request.body
        if self.request.headers.get("Content-Type", "").startswith("application/json"):
            text = check_type(str, self.json_body().get("data"), "data")
            try:
                data = base64.b64decode(text, validate=True)
            except (binascii.Error, ValueError) as error:
                raise InvalidRequestError(f"data is not base64: {error}") from error
        check_range(len(data), "record bytes", 1, MAX_RECORD_BYTES)
        return data

    def _integer_argument(self, name: str, default: int, maximum: int) -> int:
        text = self.get_query_argument(name, str(default))
        try:
            number = int(text)
        except ValueError:
            # NaN is outside every range, so check_range reports the error.
            number = math.nan  # type: ignore[assignment]
        return int(check_range(number, name, 0, maximum))


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


def _record_document(record: Record) -> dict[str, Any]:
    return {
        "offset": record.offset,
        "time": record.time_s,
        "data": base64.b64encode(record.data).decode("ascii"),
    }
