"""Costs of the origins of streams: telling them to other gateways, storing and finding them."""

import asyncio
import random
from typing import Any

import attrs
import msgpack

from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.gateway.stream_origins import StreamOrigins
from jayvalve.internal.measure.capacity.bench import state_bench, usage
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["measure_stream_origins"]

Costs = dict[str, tuple[float, str]]
Address = tuple[str, int]

ORIGIN = StreamOrigin("model-pool", "v1.2")
GATEWAYS = 3
# Ids as long as those of the platform.
ID_DIGITS = 16
FIND_TIMEOUT_S = 10.0
# Size of a record and its length, by which the stand-in bounds a page.
RECORD_BYTES = 52


@attrs.frozen
class _Page:
    """Records of a partition, from an offset on."""

    end: int
    next: int
    records: tuple[bytes, ...]
    first: int = 0


@attrs.define
class _MemoryStorage:
    """Stands in for the store; each append and each read is one call."""

    records: list[bytes] = attrs.field(factory=list)
    appends: int = 0

    async def append(
        self, topic: str, partition: int, records: list[bytes], deadline: Deadline, **options: Any
    ) -> int:
        del topic, partition, deadline, options
        await asyncio.sleep(0)
        self.appends += 1
        self.records += records
        return len(self.records) - len(records)

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        deadline: Deadline,
        max_bytes: int,
        **options: Any,
    ) -> _Page:
        del topic, partition, deadline, options
        await asyncio.sleep(0)
        count = max(1, max_bytes // RECORD_BYTES)
        records = tuple(self.records[start : start + count])
        return _Page(len(self.records), start + len(records), records)


class _Fleet:
    """Gateways in one process whose messages are packed as on the network."""

    def __init__(self) -> None:
        self.storage = _MemoryStorage()
        self.sent_bytes = 0
        self._receivers: dict[Address, PeerCalls] = {}
        self._addresses = [(f"10.0.0.{number}", 7000) for number in range(GATEWAYS)]
        self.gateways = [self.start(address) for address in self._addresses]

    def start(self, address: Address) -> StreamOrigins:
        """Start a gateway, which may replace another one."""

        def transmit(target: Address, message: list[Any]) -> None:
            data = msgpack.packb(message)
            self.sent_bytes += len(data)
            self._receivers[target].receive(address, msgpack.unpackb(data))

        clock = Clock()
        calls = PeerCalls(transmit, clock, CallSettings(), random.Random(1))
        self._receivers[address] = calls
        return StreamOrigins.from_config(
            self.storage,  # type: ignore[arg-type]
            1,
            calls,
            address,
            lambda: self._addresses,
            lambda _: {ORIGIN.version},
            clock,
            Metrics(),
        )


@state_bench("stream_origins", (500, 1000, 2000, 4000), (10, 20, 30, 40))
def measure_stream_origins(size: int, seed: int) -> Costs:
    """Return the cost of beginning a number of streams, and of finding one of them afterwards."""
    del seed

    async def measure() -> Costs:
        fleet = _Fleet()
        writer = asyncio.ensure_future(fleet.gateways[0].run())
        with usage() as recorded:
            for number in range(size):
                fleet.gateways[0].record(f"{number:0{ID_DIGITS}x}", ORIGIN)
                # Streams of one gateway rarely begin together.
                await asyncio.sleep(0)
            while fleet.gateways[0].pending or len(fleet.storage.records) < size:
                await asyncio.sleep(0)
        writer.cancel()
        restarted = _Fleet()
        restarted.storage = fleet.storage
        reader = restarted.start(("10.0.0.9", 7000))
        with usage() as found:
            await reader.find(f"{0:0{ID_DIGITS}x}", Deadline.after(Clock(), FIND_TIMEOUT_S))
        return {
            "origin_record_cpu": (recorded.cpu_s, "s"),
            "origin_message_bytes": (fleet.sent_bytes, "B"),
            "origin_record_bytes": (sum(map(len, fleet.storage.records)), "B"),
            "origin_memory": (recorded.memory_bytes, "B"),
            "origin_search_cpu": (found.cpu_s, "s"),
        }

    return asyncio.run(measure())
