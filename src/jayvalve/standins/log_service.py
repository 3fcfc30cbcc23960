"""Stand-in of the platform's append-only log service."""

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
    """Settings of the log service; the rate counts the appends of all streams together."""

    retention_s: float = attrs.field(default=7 * 86_400.0, validator=attrs.validators.gt(0))
    appends_per_s: float = attrs.field(default=400.0, validator=attrs.validators.gt(0))


class Record(NamedTuple):
    """One appended record; time_s is in seconds since the Unix epoch."""

    offset: int
    time_s: float
    data: bytes


class LogStream:
    """The kept records of one stream. Offsets start at 0 and are never used again."""

    def __init__(self) -> None:
        self._records: deque[Record] = deque()
        self._next = 0
        self._appended = asyncio.Event()

    @property
    def first(self) -> int:
        """Offset of the oldest kept record, or the next offset if there is none."""
        return self._records[0].offset if self._records else self._next

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self._next

    @property
    def appended(self) -> asyncio.Event:
        """Set at the next append."""
        return self._appended

    def append(self, data: bytes, now_s: float) -> int:
        """Add a record and wake the readers that wait for it."""
        offset = self._next
        self._records.append(Record(offset, now_s, data))
        self._next += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def expire(self, before_s: float) -> None:
        """Drop the records appended before that time."""
        while self._records and self._records[0].time_s < before_s:
            self._records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Return up to limit records from start, or from the oldest kept one."""
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
        """Build from {"retention_s", "appends_per_s"}; both have defaults."""
        return cls(checked_settings(LogSettings, config, cls.kind))

    @property
    def bucket(self) -> TokenBucket:
        """Limit of the appends of all streams together."""
        return self._bucket

    def stream(self, name: str) -> LogStream:
        """Return the stream without its expired records; a new name gives an empty stream."""
        stream = self._streams.setdefault(check_identifier(name, "stream"), LogStream())
        stream.expire(self.clock.wall() - self._settings.retention_s)
        return stream


class RecordsHandler(StandInHandler):
    """Appends to a stream and reads from it."""

    standin: LogService  # type: ignore[assignment]

    def post(self, name: str) -> None:
        """Append one record: the raw body, or {"data": base64} if the body is JSON."""
        data = self._record_data()
        stream = self.standin.stream(name)
        wait_s = self.standin.bucket.take(self.standin.clock.now())
        if wait_s > 0:
            self.refuse(429, "rate_limited", "append rate exceeded", wait_s)
            return
        self.finish({"offset": stream.append(data, self.standin.clock.wall())})

    async def get(self, name: str) -> None:
        """Return a page; with wait_ms an empty page waits for the next append."""
        start = self._number("from", 0, 2**62)
        limit = self._number("limit", DEFAULT_PAGE_RECORDS, MAX_PAGE_RECORDS)
        wait_ms = self._number("wait_ms", 0, MAX_WAIT_MS)
        stream = self.standin.stream(name)
        records = stream.read(start, limit)
        if not records and wait_ms:
            await self.wait_unless_closed(_wait(stream.appended, wait_ms / 1000))
            stream = self.standin.stream(name)
            records = stream.read(start, limit)
        following = records[-1].offset + 1 if records else stream.next
        self.finish(
            {"first": stream.first, "next": following, "records": [_document(r) for r in records]}
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

    def _number(self, name: str, default: int, maximum: int) -> int:
        text = self.get_query_argument(name, str(default))
        try:
            number = int(text)
        except ValueError:
            number = math.nan  # type: ignore[assignment]
        return int(check_range(number, name, 0, maximum))


async def _wait(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


def _document(record: Record) -> dict[str, Any]:
    return {
        "offset": record.offset,
        "time": record.time_s,
        "data": base64.b64encode(record.data).decode("ascii"),
    }
