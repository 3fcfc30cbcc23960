"""Stand-in for the platform's store: topics with partitions, and keyed topics.

It follows the pages: offsets without gaps, appends all or nothing, records that expire after
retention_s, and the limits on the size of a record and of a call.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from .http import MAX_HEAD_BYTES, Message, read_body, read_head

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PARTS = 12
APPEND_S = 0.002
MAX_WAIT_S = 30.0


class _Partition:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: list[bytes], keyed: bool) -> int:
        offset = self.end
        now = time.monotonic()
        for record in records:
            if keyed:
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append((now, record))
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, retention_s: float) -> None:
        oldest = time.monotonic() - retention_s
        count = 0
        for at_s, _ in self.records:
            if at_s >= oldest:
                break
            count += 1
        if count:
            del self.records[:count]
            self.first += count


class Store:
    """The store; listens on a free port of the loopback interface."""

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.port = 0
        self.refused_large = 0
        self._topics: dict[str, list[_Partition]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Write a record as the operator or an engine does."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._partition(topic, 0).add([bytes([len(name)]) + name + data], keyed=True)

    def records(self, prefix: str) -> list[bytes]:
        """Return all records of the topics whose names begin with a prefix."""
        return [
            record
            for topic, parts in self._topics.items()
            if topic.startswith(prefix)
            for part in parts
            for _, record in part.records
        ]

    def _partition(self, topic: str, part: int) -> _Partition:
        if topic not in self._topics:
            count = 1 if topic.startswith("keyed.") else PARTS
            self._topics[topic] = [_Partition() for _ in range(count)]
        partition = self._topics[topic][part]
        partition.expire(self.retention_s)
        return partition

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, until_close=False)
                status, kind, body = await self._answer(request)
                head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}"
                writer.write(head.encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, str, bytes]:
        url = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if url.path == "/api/log-append":
            return await self._append(topic, part, request.body)
        if url.path == "/api/log-read":
            return await self._read(topic, part, query)
        if url.path == "/api/log-newest":
            return self._newest(topic, part, query.get("after", ""))
        return _json(400, {"why": "unknown call"})

    async def _append(self, topic: str, part: int, body: bytes) -> tuple[int, str, bytes]:
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if topic in ("keyed.op", "keyed.servers"):
            return _json(403, {})
        if any(len(each) > RECORD_BYTES for each in records):
            self.refused_large += 1
            return _json(400, {"why": "record_bytes"})
        if sum(map(len, records)) > CALL_BYTES:
            self.refused_large += 1
            return _json(400, {"why": "call_bytes"})
        partition = self._partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            offset = partition.add(records, topic.startswith("keyed."))
        return _json(200, {"offset": offset, "end_offset": partition.end})

    async def _read(self, topic: str, part: int, query: dict) -> tuple[int, str, bytes]:
        await asyncio.sleep(APPEND_S)
        partition = self._partition(topic, part)
        source = int(query.get("source", "0"))
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        if source < partition.first:
            return _json(410, {"first_offset": partition.first})
        if source >= partition.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                pass
            partition.expire(self.retention_s)
            if source < partition.first:
                return _json(410, {"first_offset": partition.first})
        most = int(query.get("max_size", "1024")) * 1024
        answer = struct.pack(">QQ", partition.end, partition.first)
        size = 0
        for _, record in partition.records[source - partition.first :]:
            if size and size + len(record) + 4 > most:
                break
            answer += struct.pack(">I", len(record)) + record
            size += len(record) + 4
        return 200, "application/octet-stream", answer

    def _newest(self, topic: str, part: int, after: str) -> tuple[int, str, bytes]:
        partition = self._partition(topic, part)
        names = sorted(name for name in partition.newest if name > after)
        items = [
            {
                "key": name,
                "offset": partition.newest[name][0],
                "value": base64.b64encode(partition.newest[name][1]).decode(),
            }
            for name in names[:500]
        ]
        document = {"items": items, "has_more": len(names) > 500, "end_offset": partition.end}
        return _json(200, document)


def _json(status: int, document: dict) -> tuple[int, str, bytes]:
    return status, "application/json", json.dumps(document).encode()
