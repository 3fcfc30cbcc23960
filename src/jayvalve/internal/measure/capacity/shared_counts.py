"""Costs of the limits and counts that gateways share: permits, limits and ends of engines."""

import asyncio
import random
from typing import Any

import msgpack

from jayvalve.internal.gateway.coordinators import Coordinators
from jayvalve.internal.gateway.crash_records import CrashRecords, CrashReport, CrashSettings
from jayvalve.internal.gateway.engine_limits import EngineLimits, LimitSettings
from jayvalve.internal.gateway.limit_messages import LimitMessages
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.gateway.permits import PermitSettings, SendPermits
from jayvalve.internal.measure.capacity.bench import state_bench, usage
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock

__all__ = ["measure_crash_records", "measure_limit_notices", "measure_permits"]

Costs = dict[str, tuple[float, str]]

ENGINE = EngineKey("engine-1", 1)
# High enough that each permit is granted at once.
LIMIT_PER_S = 1e6
# One less than the number that blocks a request.
ENDS_PER_REQUEST = 2


class _Exchange:
    """Two gateways in one process whose messages are packed as on the network."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._receivers: dict[tuple[str, int], PeerCalls] = {}

    def gateway(self, address: tuple[str, int], other: tuple[str, int]) -> SendPermits:
        """Create a gateway that knows the engine's limit."""

        def transmit(target: tuple[str, int], message: list[Any]) -> None:
            data = msgpack.packb(message)
            self.sent_bytes += len(data)
            self._receivers[target].receive(address, msgpack.unpackb(data))

        clock = Clock()
        calls = PeerCalls(transmit, clock, CallSettings(), random.Random(address[1]))
        self._receivers[address] = calls
        limits = EngineLimits(clock, LimitSettings())
        limits.observe(ENGINE, LIMIT_PER_S)
        # Both take the second gateway for the coordinator, so that each permit is asked for.
        coordinators = Coordinators(address, lambda: [other], clock)
        if address[1] == 1:
            coordinators.withdraw()
        return SendPermits(
            limits, calls, coordinators, lambda: 2, clock, PermitSettings(), Metrics()
        )


@state_bench("permits", (500, 1000, 2000, 4000), (10, 20, 30, 40))
def measure_permits(size: int, seed: int) -> Costs:
    """Return the cost of asking a coordinator for a number of permits, for both gateways."""
    del seed

    async def ask() -> tuple[float, int]:
        exchange = _Exchange()
        asking = exchange.gateway(("gateway", 1), ("gateway", 2))
        exchange.gateway(("gateway", 2), ("gateway", 1))
        with usage() as used:
            for _ in range(size):
                await asking.acquire(ENGINE, 1.0, urgent=False)
        return used.cpu_s, exchange.sent_bytes

    cpu_s, sent_bytes = asyncio.run(ask())
    return {"permit_cpu": (cpu_s, "s"), "permit_bytes": (sent_bytes, "B")}


@state_bench("limit_notices", (8, 16, 32, 64), (2, 4, 6, 8))
def measure_limit_notices(size: int, seed: int) -> Costs:
    """Return the cost of one notice that names the limits of a number of engines."""
    del seed
    repeats = 200
    sender, receiver = (EngineLimits(Clock(), LimitSettings()) for _ in range(2))
    for number in range(size):
        sender.observe(EngineKey(f"i-{number:010x}", 1), 7.8)
    sending, receiving = LimitMessages(sender), LimitMessages(receiver)
    with usage() as used:
        for _ in range(repeats):
            data = msgpack.packb(sending.items())
            receiving.receive(msgpack.unpackb(data))
    return {
        "limit_notice_bytes": (len(data), "B"),
        "limit_notice_cpu": (used.cpu_s / repeats, "s"),
    }


@state_bench("crash_records", (500, 1000, 2000, 4000), (10, 20, 30, 40))
def measure_crash_records(size: int, seed: int) -> Costs:
    """Return the cost of a number of requests under each of which engines have ended."""
    del seed
    records = CrashRecords(Clock(), CrashSettings())
    with usage() as used:
        for number in range(size):
            records.record(
                [
                    CrashReport(f"{number:032x}", EngineKey(f"i-{number}-{end}", 1), 0.0)
                    for end in range(ENDS_PER_REQUEST)
                ]
            )
    return {
        "crash_record_cpu": (used.cpu_s, "s"),
        "crash_record_memory": (used.memory_bytes, "B"),
    }
