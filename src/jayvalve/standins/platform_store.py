"""Stand-in for the platform's store: partitions, keyed topics, groups, limits and faults."""

import asyncio
import base64
import contextlib
import itertools
import json
import struct
from collections.abc import Mapping
from typing import Any

import attrs

from jayvalve.standins.rate import TokenBucket
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["PlatformStore", "PlatformStoreSettings"]

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
MAX_WAIT_MS = 30_000
MAX_TOPICS = 100
MAX_PAGE_ITEMS = 500
# Maximum size of a page of records without max_size, in units of 1,024 bytes.
DEFAULT_PAGE_KIB = 1024
# Answers kept for each producer of a partition. A repeat of one of these appends gets its first
# answer; an older repeat is rejected with 409.
MAX_KEPT_ANSWERS = 5
OPERATOR_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@attrs.frozen
class PlatformStoreSettings:
    """Settings of the store.

    Attributes:
        writes_per_s: Maximum rate of appends and other writing calls of all callers together.
        reads_per_s: Maximum rate of reading calls of all callers together.
        parts: Number of partitions of each topic that is not keyed.
        append_ms: Time that a partition takes for an append, in milliseconds.
        record_bytes: Maximum size of a record.
        call_bytes: Maximum total size of the records of one append.

    """

    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0
    parts: int = 12
    append_ms: float = 2.0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@attrs.define
class _Producer:
    """Sequence state of one producer."""

    epoch: int
    next_sequence: int | None
    answers: dict[int, dict[str, int]] = attrs.field(factory=dict)


@attrs.define
class StorePartition:
    """Records of one partition.

    Attributes:
        first: Offset of the oldest retained record.
        records: The retained records.
        producers: State of each producer that numbers its appends, by its name.
        changed: Event that the next append sets; each append replaces it.
        append_lock: Serialises appends.
        compacted: Offset and value of the newest record of each key whose history was dropped.

    """

    first: int = 0
    records: list[bytes] = attrs.field(factory=list)
    producers: dict[str, _Producer] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    append_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    compacted: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    @property
    def end(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Add records and return the offset of the first one."""
        offset = self.end
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def trim(self, before: int) -> None:
        """Drop the records whose offset is below before."""
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key that was not deleted.

        A keyed record consists of the length of the key in one byte, the key and the value. An
        empty value deletes the key.
        """
        values = dict(self.compacted)
        for position, record in enumerate(self.records):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            if value:
                values[key] = (self.first + position, value)
            else:
                values.pop(key, None)
        return values


@attrs.define
class _Group:
    """Members, subscriptions and committed offsets of one consumer group."""

    generation: int = 0
    members: dict[str, float] = attrs.field(factory=dict)
    topics: dict[str, list[str]] = attrs.field(factory=dict)
    committed: dict[tuple[str, int], int] = attrs.field(factory=dict)


@STAND_INS.register("platform-store")
class PlatformStore(StandIn):
    """The store that all processes share.

    Attributes:
        late_s: Delay before an append takes effect, in seconds; the append still takes effect if
            its caller has given up by then.
        away_parts: Numbers of the partitions that reject all calls, in every topic except the
            keyed ones.

    """

    kind = "platform-store"

    def __init__(self, settings: PlatformStoreSettings | None = None) -> None:
        super().__init__(
            [
                ("/api/log-append", AppendHandler),
                ("/api/log-read", ReadHandler),
                ("/api/log-trim", TrimHandler),
                ("/api/log-newest", NewestHandler),
                ("/api/log-join", JoinHandler),
                ("/api/log-leave", LeaveHandler),
                ("/api/log-commit", CommitHandler),
                ("/api/log-owners", OwnersHandler),
                ("/standin/put", PutHandler),
            ]
        )
        self.settings = settings if settings is not None else PlatformStoreSettings()
        self.topics: dict[str, list[StorePartition]] = {}
        self.groups: dict[str, _Group] = {}
        self.writes = TokenBucket(self.settings.writes_per_s, self.settings.writes_per_s)
        self.reads = TokenBucket(self.settings.reads_per_s, self.settings.reads_per_s)
        self.calls = 0
        self.late_s = 0.0
        self.away_parts: frozenset[int] = frozenset()

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "PlatformStore":
        """Build the store from the fields of PlatformStoreSettings."""
        return cls(checked_settings(PlatformStoreSettings, config, cls.kind))

    def partition(self, topic: str, part: int) -> StorePartition | None:
        """Return a partition and create its topic on first use.

        Returns None if there are already MAX_TOPICS topics or the partition does not exist.
        """
        if topic not in self.topics:
            if len(self.topics) >= MAX_TOPICS:
                return None
            count = 1 if topic.startswith("keyed.") else self.settings.parts
            self.topics[topic] = [StorePartition() for _ in range(count)]
        partitions = self.topics[topic]
        return partitions[part] if 0 <= part < len(partitions) else None

    def put(self, topic: str, key: str, value: Mapping[str, Any] | bytes | None) -> None:
        """Write a keyed record as the operator or an engine does; None deletes the key."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        partition = self.partition(topic, 0)
        assert partition is not None
        partition.append([bytes([len(name)]) + name + (b"" if value is None else data)])

    def forget(self, topic: str) -> None:
        """Compact a keyed topic: drop its history and keep the newest record of each key."""
        partition = self.partition(topic, 0)
        assert partition is not None
        partition.compacted = partition.newest()
        partition.trim(partition.end)


class _StoreHandler(StandInHandler):
    """Base class of the store's handlers; counts calls and enforces the rate limits."""

    standin: PlatformStore  # type: ignore[assignment]
    writing = False

    async def prepare(self) -> None:
        self.standin.calls += 1
        await super().prepare()
        bucket = self.standin.writes if self.writing else self.standin.reads
        if not self._finished and bucket.take(self.standin.clock.now()) > 0:
            self.refuse(429, "rate_limited", "too many calls")

    def target_partition(self) -> StorePartition | None:
        """Return the partition that the query names.

        Answers 503 and returns None if the partition is unavailable; answers 400 and returns None
        if it does not exist.
        """
        topic = self.get_query_argument("topic", "")
        try:
            part = int(self.get_query_argument("part", "0"))
        except ValueError:
            part = -1
        if part in self.standin.away_parts and not topic.startswith("keyed."):
            self.refuse(503, "partition_away", "the partition is away")
            return None
        partition = self.standin.partition(topic, part)
        if partition is None:
            self.refuse(400, "unknown_partition", "no such partition")
        return partition

    def integer_argument(self, name: str) -> int | None:
        """Return an integer from the query, or None if it is absent."""
        text = self.get_query_argument(name, None)
        return None if text is None else int(text)

    def answer(self, status: int, document: Mapping[str, Any]) -> None:
        """Answer with a JSON document."""
        self.set_status(status)
        self.finish(json.dumps(document))


class AppendHandler(_StoreHandler):
    """POST /api/log-append."""

    writing = True

    async def post(self) -> None:
        """Append all records of the call or none."""
        topic = self.get_query_argument("topic", "")
        partition = self.target_partition()
        if partition is None:
            return
        if topic in OPERATOR_TOPICS:
            self.refuse(403, "forbidden", "the topic belongs to the operator")
            return
        records = _split_records(self.request.body)
        limits = self.standin.settings
        if records is None or any(len(record) > limits.record_bytes for record in records):
            self.refuse(400, "bad_records", "records are malformed or too large")
            return
        if sum(map(len, records)) > limits.call_bytes:
            self.refuse(413, "too_large", "too many bytes in one call")
            return
        if self.standin.late_s:
            await asyncio.sleep(self.standin.late_s)
        async with partition.append_lock:
            await asyncio.sleep(limits.append_ms / 1000)
            self._append(partition, records)

    def _append(self, partition: StorePartition, records: list[bytes]) -> None:
        at = self.integer_argument("at")
        if at is not None and at != partition.end:
            self.answer(412, {"end_offset": partition.end})
            return
        producer = self.get_query_argument("producer", None)
        if producer is None:
            offset = partition.append(records)
            self.answer(200, {"offset": offset, "end_offset": partition.end})
            return
        self._append_in_sequence(partition, records, producer)

    def _append_in_sequence(
        self, partition: StorePartition, records: list[bytes], producer: str
    ) -> None:
        epoch, sequence = (
            self.integer_argument("epoch") or 0,
            self.integer_argument("sequence") or 0,
        )
        state = partition.producers.get(producer)
        if state is not None and epoch < state.epoch:
            self.answer(409, {"why": "fenced"})
            return
        if state is None or epoch > state.epoch:
            state = partition.producers[producer] = _Producer(epoch, None)
        if sequence in state.answers:
            self.answer(200, state.answers[sequence])
            return
        if state.next_sequence is not None and sequence != state.next_sequence:
            self.answer(409, {"why": "seq", "expected": state.next_sequence})
            return
        offset = partition.append(records)
        document = {"offset": offset, "end_offset": partition.end}
        # An empty append registers the producer's epoch without using a sequence number.
        if records:
            state.next_sequence = sequence + 1
            state.answers[sequence] = document
            for old in list(state.answers)[:-MAX_KEPT_ANSWERS]:
                del state.answers[old]
        self.answer(200, document)


class ReadHandler(_StoreHandler):
    """GET /api/log-read."""

    async def get(self) -> None:
        """Return the records from an offset on.

        With wait_ms, wait up to that time for an append if there is no record yet.
        """
        partition = self.target_partition()
        if partition is None:
            return
        start = self.integer_argument("source") or 0
        wait_ms = min(self.integer_argument("wait_ms") or 0, MAX_WAIT_MS)
        if start < partition.first:
            self.answer(410, {"first_offset": partition.first})
            return
        if start >= partition.end and wait_ms:
            await self.wait_unless_closed(_wait_for_event(partition.changed, wait_ms / 1000))
        records = partition.records[start - partition.first :] if start <= partition.end else []
        max_bytes = (self.integer_argument("max_size") or DEFAULT_PAGE_KIB) * 1024
        pages = [_LENGTH.pack(len(record)) + record for record in records]
        sizes = itertools.accumulate(map(len, pages))
        # The first record is returned even if it is larger than the limit.
        count = max(1, sum(size <= max_bytes for size in sizes))
        self.finish(_BOUNDS.pack(partition.end, partition.first) + b"".join(pages[:count]))


class TrimHandler(_StoreHandler):
    """POST /api/log-trim."""

    writing = True

    def post(self) -> None:
        """Delete the records before an offset and return the first retained offset."""
        partition = self.target_partition()
        if partition is not None:
            partition.trim(self.integer_argument("before") or 0)
            self.answer(200, {"first_offset": partition.first})


class NewestHandler(_StoreHandler):
    """GET /api/log-newest."""

    def get(self) -> None:
        """Return a page of the newest records by key, from the first key greater than after on."""
        partition = self.target_partition()
        if partition is None:
            return
        values = partition.newest()
        after = self.get_query_argument("after", "")
        names = sorted(name for name in values if name > after)
        items = [
            {
                "key": name,
                "value": base64.b64encode(values[name][1]).decode(),
                "offset": values[name][0],
            }
            for name in names[:MAX_PAGE_ITEMS]
        ]
        more = len(names) > MAX_PAGE_ITEMS
        self.answer(200, {"items": items, "has_more": more, "end_offset": partition.end})


class JoinHandler(_StoreHandler):
    """POST /api/log-join."""

    writing = True

    def post(self) -> None:
        """Join a group or renew a membership, and return the member's partitions."""
        fields = self.json_body()
        group = self.standin.groups.setdefault(fields["group"], _Group())
        now = self.standin.clock.now()
        expired = [name for name, until in group.members.items() if until < now]
        for name in expired:
            del group.members[name]
        member = fields["member"]
        if expired or member not in group.members:
            group.generation += 1
        group.members[member] = now + fields["ttl_ms"] / 1000
        group.topics[member] = fields["topics"]
        self.answer(
            200,
            {
                "generation": group.generation,
                "ttl_ms": fields["ttl_ms"],
                "parts": self.assigned_partitions(group, member),
            },
        )

    def assigned_partitions(self, group: _Group, member: str) -> list[list[Any]]:
        """Return topic, partition and committed offset of each partition assigned to a member."""
        names = sorted(group.members)
        rows: list[list[Any]] = []
        for topic in group.topics.get(member, []):
            for part in range(self.standin.settings.parts):
                if names[part % len(names)] == member:
                    rows.append([topic, part, group.committed.get((topic, part), 0)])
        return rows


class LeaveHandler(_StoreHandler):
    """POST /api/log-leave."""

    writing = True

    def post(self) -> None:
        """Leave a group."""
        fields = self.json_body()
        group = self.standin.groups.setdefault(fields["group"], _Group())
        if group.members.pop(fields["member"], None) is not None:
            group.generation += 1
        self.answer(200, {"generation": group.generation})


class CommitHandler(_StoreHandler):
    """POST /api/log-commit."""

    writing = True

    def post(self) -> None:
        """Commit an offset; answer 409 unless member is in the group and generation is current."""
        fields = self.json_body()
        group = self.standin.groups.setdefault(fields["group"], _Group())
        is_current = fields["member"] in group.members and fields["generation"] == group.generation
        if not is_current:
            self.answer(409, {"generation": group.generation})
            return
        group.committed[fields["topic"], fields["part"]] = fields["offset"]
        self.answer(200, {})


class OwnersHandler(_StoreHandler):
    """GET /api/log-owners."""

    def get(self) -> None:
        """Return topic, partition, member and offset of each partition of a group."""
        group = self.standin.groups.setdefault(self.get_query_argument("group", ""), _Group())
        names = sorted(group.members)
        topics = sorted({topic for listed in group.topics.values() for topic in listed})
        rows = [
            [topic, part, names[part % len(names)], group.committed.get((topic, part), 0)]
            for topic in topics
            for part in range(self.standin.settings.parts)
            if names
        ]
        self.answer(200, {"generation": group.generation, "owners": rows})


class PutHandler(StandInHandler):
    """POST /standin/put writes a keyed record as the operator or an engine does."""

    exempt_from_faults = True
    standin: PlatformStore  # type: ignore[assignment]

    def post(self) -> None:
        """Write {"topic", "key", "value"}; the value null deletes the key."""
        fields = self.json_body()
        self.standin.put(fields["topic"], fields["key"], fields["value"])
        self.finish({})


def _split_records(body: bytes) -> list[bytes] | None:
    records, position = [], 0
    while position < len(body):
        if position + _LENGTH.size > len(body):
            return None
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + size > len(body):
            return None
        records.append(body[position : position + size])
        position += size
    return records


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), seconds)
