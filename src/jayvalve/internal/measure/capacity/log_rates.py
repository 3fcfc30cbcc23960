"""Benches of claims, log appends and log polling."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from jayvalve.internal.claims.records import PARTITIONS, stream_name
from jayvalve.internal.claims.relays import ClaimRelays
from jayvalve.internal.log import LogClient
from jayvalve.internal.measure.capacity.bench import state_bench, usage
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import ClaimRequest, OutcomeReport
from jayvalve.standins.log_service import LogService

__all__ = ["measure_claims", "measure_polls"]

LOOPBACK = "127.0.0.1"
MAX_DURATION_S = 3.0
# A measurement at r claims per second takes r / RATE_PER_SECOND_OF_DURATION seconds, at most
# MAX_DURATION_S. Only quick runs use rates that are low enough to shorten it, and a short
# measurement is sufficient for them.
RATE_PER_SECOND_OF_DURATION = 10.0
TIMEOUT_S = 10.0
RETENTION_S = 86_400.0
BODY = b'{"status": "booked", "truck": 7}'
READ_BYTES = 65536
Costs = dict[str, tuple[float, str]]


@contextlib.asynccontextmanager
async def _running_log_service() -> AsyncIterator[str]:
    service = LogService.from_config({"appends_per_s": 1000.0})
    port = await service.start(LOOPBACK, 0)
    try:
        yield f"{LOOPBACK}:{port}"
    finally:
        await service.stop()


async def _claim(relays: ClaimRelays, clock: Clock, number: int) -> None:
    deadline = Deadline.after(clock, TIMEOUT_S)
    claim_id, key, attempt = f"claim-{number}", f"key-{number}", f"1-{number}"
    await relays.claim(
        ClaimRequest(claim_id, "org", key, "0" * 32, attempt, "service-1", 1, 1), deadline
    )
    await relays.report_outcome(
        OutcomeReport(claim_id, "org", key, attempt, "ran", 200, {}, BODY), deadline
    )


def _claim_count(rate: int) -> int:
    return int(rate * min(MAX_DURATION_S, rate / RATE_PER_SECOND_OF_DURATION))


async def _run_claims(relays: ClaimRelays, clock: Clock, rate: int) -> float:
    """Make claims with outcomes, at a rate per second; return the duration in seconds."""
    started_s = time.monotonic()
    tasks = []
    for number in range(_claim_count(rate)):
        due_s = started_s + number / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(_claim(relays, clock, number)))
    await asyncio.gather(*tasks)
    return time.monotonic() - started_s


async def _count_appends(client: LogClient) -> int:
    pages = [await client.read(stream_name(n), 0, 1000, 0.0) for n in range(PARTITIONS)]
    return sum(len(page.records) for page in pages)


@state_bench("claims", (50, 100, 200, 400), (5, 10, 15, 20))
def measure_claims(size: int, seed: int) -> Costs:
    """Measure claims with their outcomes, at a rate of size claims per second.

    One process runs the relays of all partitions.
    """

    async def work() -> Costs:
        clock = Clock()
        async with _running_log_service() as address:
            client = LogClient(f"http://{address}")
            relays = ClaimRelays(client, RETENTION_S, clock=clock)
            with usage() as measured:
                span_s = await _run_claims(relays, clock, size)
            appends = await _count_appends(client)
            await relays.close()
            client.close()
        claims = _claim_count(size)
        return {
            "log_appends_per_claim_rate": (appends / span_s, "appends/s"),
            "claim_cpu_with_log_standin": (measured.cpu_s / span_s, "cores"),
            # The items are claims and outcomes: one outcome follows each claim.
            "claims_per_append": (2 * claims / appends, "items"),
        }

    return asyncio.run(work())


class _CountingProxy:
    """Forwards connections to an address and counts the bytes in both directions."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.byte_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                self.byte_count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()


@state_bench("log_polls", (5, 10, 20, 40), (2, 3, 4, 5))
def measure_polls(size: int, seed: int) -> Costs:
    """Measure reads of a stream without new records, which each process makes once a second."""

    async def work() -> Costs:
        async with _running_log_service() as address:
            proxy = _CountingProxy(address)
            server = await asyncio.start_server(proxy.serve, LOOPBACK, 0)
            port = server.sockets[0].getsockname()[1]
            client = LogClient(f"http://{LOOPBACK}:{port}")
            with usage() as measured:
                for _ in range(size):
                    await client.read("config", 0, 256, 0.01)
            client.close()
            server.close()
        return {
            "log_poll_bytes": (proxy.byte_count, "bytes"),
            "log_poll_cpu_with_standin": (measured.cpu_s, "s"),
        }

    return asyncio.run(work())
