"""Origins of streams in the store, where they outlive all gateways.

Callers resume a stream within seconds, so readers look only at the newest records of a partition.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection

import attrs
import msgpack
from loguru import logger

from jayvalve.errors import UnavailableError
from jayvalve.internal.gateway.origin_table import OriginTable, StreamOrigin
from jayvalve.internal.gateway.partitions import Partition, PartitionMap
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.gateway.store_paths import Page
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["OriginLog", "OriginLogSettings", "decode_origin", "encode_origin"]

_log = logger.bind(part="stream_origins")

# Number of partitions in which an origin may be stored: the usual one, and one that replaces it
# while it is unavailable.
PARTITION_CHOICES = 2


@attrs.frozen
class OriginLogSettings:
    """Limits of the origins in the store.

    Attributes:
        lifetime_s: How long an origin is written and looked for, in seconds. The platform's store
            keeps at least 20 s of history, and callers resume a stream within their time limit.
        max_pending: Maximum number of origins that wait to be written; the oldest are dropped.
        max_batch: Maximum number of origins in one append.
        call_timeout_s: Time after which the other partition is tried, as an outage may affect only
            some partitions.
        retry_timeout_s: Maximum time of an append after both partitions have refused one. It waits
            until the store or the partition is available, so that it makes few calls meanwhile.
        pause_s: Pause after both partitions have refused an append, in seconds.
        page_records: Number of records that the first step backwards covers; it doubles with each
            further one.
        max_new_records: Maximum number of records that are read on from the last search. After
            more, the search starts again at the end.
        page_bytes: Maximum size of one read. A larger one takes long on a slow link.

    """

    lifetime_s: float = 20.0
    max_pending: int = 4096
    max_batch: int = 256
    call_timeout_s: float = 0.4
    retry_timeout_s: float = 2.0
    pause_s: float = 0.2
    page_records: int = 256
    max_new_records: int = 2048
    page_bytes: int = 64 * 1024


@attrs.define
class _PendingOrigin:
    """An origin that is not stored yet."""

    stream_id: str
    record: bytes
    began_s: float
    tries: int = 0


@attrs.define
class _Tail:
    """The newest part of a partition that was read: records from start to end.

    Attributes:
        reached_s: When the oldest of these streams began, in seconds since the Unix epoch.
        newest: When the newest stream of each origin began.

    """

    start: int = 0
    end: int | None = None
    reached_s: float = 0.0
    newest: dict[StreamOrigin, float] = attrs.field(factory=dict)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


def encode_origin(stream_id: str, origin: StreamOrigin, wall_s: float) -> bytes:
    """Return the record of a stream that began at a time in seconds since the Unix epoch."""
    return msgpack.packb([stream_id, origin.service, origin.version, wall_s])


def decode_origin(record: bytes) -> tuple[str, StreamOrigin, float]:
    """Return the stream's id, its origin, and when it began, in seconds since the Unix epoch.

    Raises:
        ValueError: the record is malformed.

    """
    try:
        stream_id, service, version, wall_s = msgpack.unpackb(record)
    except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
        raise ValueError(f"{record!r:.60} is not the record of a stream: {error!r}") from error
    if any(not isinstance(text, str) for text in (stream_id, service, version)):
        raise ValueError(f"{record!r:.60} is not an id, a service, a version and a time")
    return stream_id, StreamOrigin(service, version), float(wall_s)


class OriginLog:
    """Writes the origins of streams to the store and finds them there.

    Args:
        table: Receives all origins that are read.

    """

    def __init__(
        self,
        storage: Storage,
        partitions: PartitionMap,
        table: OriginTable,
        clock: Clock,
        settings: OriginLogSettings,
    ) -> None:
        self._storage = storage
        self._partitions = partitions
        self._table = table
        self._clock = clock
        self._settings = settings
        self._pending: dict[Partition, deque[_PendingOrigin]] = {}
        self._wake: asyncio.Event = asyncio.Event()
        self._writing: set[Partition] = set()
        self._tails: dict[Partition, _Tail] = {}

    @property
    def pending(self) -> int:
        """Number of origins that wait to be written."""
        return sum(map(len, self._pending.values()))

    def append(self, stream_id: str, origin: StreamOrigin) -> None:
        """Write an origin to the store in the background."""
        record = encode_origin(stream_id, origin, self._clock.wall())
        self._enqueue(_PendingOrigin(stream_id, record, self._clock.now()))

    async def run(self) -> None:
        """Write pending origins until cancelled."""
        self._writing.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._wake.clear()
                for partition in [key for key, queue in self._pending.items() if queue]:
                    if partition not in self._writing:
                        self._writing.add(partition)
                        group.create_task(self._write(partition))
                await self._wake.wait()

    async def find(self, stream_id: str, deadline: Deadline) -> StreamOrigin | None:
        """Return the origin of a stream, or None if the store has none of the last seconds.

        Raises:
            UnavailableError: A partition that may hold it cannot be read.

        """
        unreadable: UnavailableError | None = None
        for choice in range(PARTITION_CHOICES):
            try:
                await self._search(
                    self._partitions.of(stream_id, choice),
                    lambda: stream_id in self._table,
                    deadline,
                )
            except UnavailableError as error:
                unreadable = error
            if stream_id in self._table:
                return self._table.get(stream_id)
        if unreadable is not None:
            raise unreadable
        return None

    async def recent(self, services: Collection[str], deadline: Deadline) -> set[StreamOrigin]:
        """Return the origins of all streams of some services that began in the last seconds.

        Raises:
            UnavailableError: A partition cannot be read.

        """
        places = self._partitions.places
        await asyncio.gather(*(self._search(place, lambda: False, deadline) for place in places))
        oldest_s = self._clock.wall() - self._settings.lifetime_s
        return {
            origin
            for place in places
            for origin, began_s in self._tails[place].newest.items()
            if origin.service in services and began_s >= oldest_s
        }

    def _enqueue(self, pending: _PendingOrigin) -> None:
        partition = self._partitions.of(pending.stream_id, pending.tries % PARTITION_CHOICES)
        queue = self._pending.setdefault(partition, deque())
        if self.pending >= self._settings.max_pending and queue:
            queue.popleft()
            _log.bind(pending=self.pending).warning("too many origins of streams wait; dropped one")
        queue.append(pending)
        self._wake.set()

    async def _write(self, partition: Partition) -> None:
        """Write what is pending for a partition; origins that arrive meanwhile share an append."""
        settings = self._settings
        queue = self._pending[partition]
        try:
            while queue:
                size = min(len(queue), settings.max_batch)
                batch = [queue.popleft() for _ in range(size)]
                is_retry = any(pending.tries >= PARTITION_CHOICES for pending in batch)
                timeout_s = settings.retry_timeout_s if is_retry else settings.call_timeout_s
                try:
                    offset = await self._storage.append(
                        partition.topic,
                        partition.index,
                        [pending.record for pending in batch],
                        Deadline.after(self._clock, timeout_s),
                        call_timeout_s=timeout_s,
                        wait_until_available=is_retry,
                    )
                except UnavailableError:
                    # The storage has logged the reason.
                    await self._retry(batch)
                else:
                    self._note_end(partition, offset)
        finally:
            self._writing.discard(partition)
            self._wake.set()

    def _note_end(self, partition: Partition, offset: int) -> None:
        """Let the next search begin at an append, unless something of the partition was read."""
        tail = self._tails.setdefault(partition, _Tail())
        if tail.end is None or (tail.start == tail.end and not tail.lock.locked()):
            tail.start = tail.end = offset
            tail.reached_s = self._clock.wall()

    async def _retry(self, batch: list[_PendingOrigin]) -> None:
        """Queue origins for the other partition, those that have had both after a pause."""
        for pending in batch:
            pending.tries += 1
        if any(pending.tries % PARTITION_CHOICES == 0 for pending in batch):
            await asyncio.sleep(self._settings.pause_s)
        oldest_s = self._clock.now() - self._settings.lifetime_s
        lost = 0
        for pending in batch:
            if pending.began_s < oldest_s:
                lost += 1
            else:
                self._enqueue(pending)
        if lost:
            _log.bind(streams=lost).warning("origins of streams could not be stored in time")

    async def _search(
        self, partition: Partition, found: Callable[[], bool], deadline: Deadline
    ) -> None:
        """Read the newest records of a partition until something is found among them."""
        tail = self._tails.setdefault(partition, _Tail())
        async with tail.lock:
            if found():
                return
            await self._read_new(partition, tail, deadline)
            oldest_s = self._clock.wall() - self._settings.lifetime_s
            step = self._settings.page_records
            while not found() and tail.start > 0 and tail.reached_s > oldest_s:
                start = max(0, tail.start - step)
                first = await self._read_range(partition, start, tail.start, tail, deadline)
                tail.start = start
                if first > start:
                    # Older records have expired.
                    return
                step *= 2

    async def _read_new(self, partition: Partition, tail: _Tail, deadline: Deadline) -> None:
        """Read what was appended since the last search, or find the end of the partition."""
        if tail.end is not None:
            page = await self._read(partition, tail.end, deadline)
            is_near = page.first <= tail.end <= page.end
            if is_near and page.end - tail.end <= self._settings.max_new_records:
                self._keep(page, tail)
                await self._read_range(partition, page.next, page.end, tail, deadline)
                tail.end = page.end
                return
        page = await self._read(partition, 0, deadline, max_bytes=1)
        if page.first > 0:
            page = await self._read(partition, page.first, deadline, max_bytes=1)
        tail.start = tail.end = page.end
        tail.reached_s = self._clock.wall()
        tail.newest.clear()

    async def _read_range(
        self, partition: Partition, start: int, end: int, tail: _Tail, deadline: Deadline
    ) -> int:
        """Keep the origins from start to end, and return the offset of the oldest record."""
        first = 0
        position = start
        while position < end:
            page = await self._read(partition, position, deadline)
            first = max(first, page.first)
            if page.first > position:
                position = page.first
                continue
            if not page.records:
                break
            self._keep(page, tail)
            position = page.next
        return first

    def _keep(self, page: Page, tail: _Tail) -> None:
        for record in page.records:
            try:
                stream_id, origin, wall_s = decode_origin(record)
            except ValueError as error:
                _log.bind(error=str(error)).warning("skipping a record of streams")
                continue
            self._table.add(stream_id, origin)
            tail.reached_s = min(tail.reached_s, wall_s)
            tail.newest[origin] = max(wall_s, tail.newest.get(origin, wall_s))

    async def _read(
        self, partition: Partition, start: int, deadline: Deadline, max_bytes: int | None = None
    ) -> Page:
        return await self._storage.read(
            partition.topic,
            partition.index,
            start,
            deadline,
            call_timeout_s=self._settings.call_timeout_s,
            wait_until_available=False,
            max_bytes=max_bytes or self._settings.page_bytes,
        )
