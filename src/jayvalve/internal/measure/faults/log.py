"""In-memory log service with outages, slow periods, lost responses and retention."""

import asyncio
import random

import attrs

from jayvalve.errors import LogAnswerLostError, LogUnavailableError
from jayvalve.internal.log import LogPage, LogRecord
from jayvalve.internal.measure.faults.virtual_time import GLOBAL, START_WALL_S, VirtualTimeLoop

__all__ = ["CONFIG_RETENTION_S", "LogFaults", "SimulatedLog"]

CONNECT_FAILURE_S = 0.01
REQUEST_TIMEOUT_S = 3.0
# Retention of the stream config, short enough for truncations and renewals within a schedule.
CONFIG_RETENTION_S = 24.0


@attrs.define
class LogFaults:
    """End of each fault in virtual seconds, and the probability that a response is lost."""

    down_until_s: float = 0.0
    slow_until_s: float = 0.0
    loss_until_s: float = 0.0
    loss_probability: float = 0.0


class SimulatedLog:
    """Streams of records; client returns an object with the interface of LogClient."""

    def __init__(self, loop: VirtualTimeLoop, seed: int) -> None:
        self._loop = loop
        self._random = random.Random(f"log {seed}")
        self._records: dict[str, list[LogRecord]] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self.faults = LogFaults()

    @property
    def disturbed_until_s(self) -> float:
        """Time at which the last fault ends."""
        faults = self.faults
        return max(faults.down_until_s, faults.slow_until_s, faults.loss_until_s)

    def heal(self) -> None:
        """End all faults."""
        self.faults = LogFaults()

    def records(self, stream: str) -> list[LogRecord]:
        """Return all records of a stream, including expired ones."""
        return list(self._records.get(stream, []))

    def client(self, url: str = "") -> "_Client":
        """Return a client; the URL is ignored."""
        return _Client(self)

    def put(self, stream: str, data: bytes) -> int:
        """Append a record without faults and return its offset."""
        records = self._records.setdefault(stream, [])
        records.append(LogRecord(len(records), START_WALL_S + self._loop.time(), data))
        for waiter in self._waiters.pop(stream, []):
            if not waiter.done():
                waiter.set_result(None)
        return len(records) - 1

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record, subject to the current faults, and return its offset.

        Raises LogUnavailableError during an outage and LogAnswerLostError if the response is
        lost, in which case the record may be stored, stored later or never stored.
        """
        await self._simulate_latency()
        if self._loop.time() < self.faults.down_until_s:
            raise LogUnavailableError("log is down", retry_after_s=0.2)
        if (
            self._loop.time() < self.faults.loss_until_s
            and self._draw() < self.faults.loss_probability
        ):
            return await self._append_and_lose_response(stream, data)
        offset = self.put(stream, data)
        await asyncio.sleep(0.001)
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogPage:
        """Read a page, subject to the current faults, waiting up to wait_s for the first record.

        Raises LogUnavailableError during an outage.
        """
        await self._simulate_latency()
        deadline_s = self._loop.time() + wait_s
        while True:
            if self._loop.time() < self.faults.down_until_s:
                raise LogUnavailableError("log is down", retry_after_s=0.2)
            page = self._page(stream, start, limit)
            remaining_s = deadline_s - self._loop.time()
            if page.records or page.first > start or remaining_s <= 0:
                return page
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.setdefault(stream, []).append(waiter)
            timer = self._loop.call_later(remaining_s, _wake, waiter)
            await waiter
            timer.cancel()

    async def _append_and_lose_response(self, stream: str, data: bytes) -> int:
        kind = self._draw()
        if kind < 0.4:
            self.put(stream, data)
        elif kind < 0.75:
            # The request is still in transit when the client gives up, at the latest after
            # REQUEST_TIMEOUT_S.
            delay_s = REQUEST_TIMEOUT_S + self._draw() * 4.0
            self._loop.call_later(delay_s, self.put, stream, data, context=GLOBAL.copy())
        await asyncio.sleep(REQUEST_TIMEOUT_S * self._draw())
        raise LogAnswerLostError("the response to the append was lost")

    async def _simulate_latency(self) -> None:
        slow = self._loop.time() < self.faults.slow_until_s
        await asyncio.sleep(0.2 + self._draw() * 1.8 if slow else 0.001 + self._draw() * 0.002)

    def _draw(self) -> float:
        return self._random.random()

    def _page(self, stream: str, start: int, limit: int) -> LogPage:
        records = self._records.get(stream, [])
        first = 0
        if stream == "config":
            oldest = START_WALL_S + self._loop.time() - CONFIG_RETENTION_S
            while first < len(records) and records[first].time < oldest:
                first += 1
        page_start = max(start, first)
        return LogPage(first, len(records), tuple(records[page_start : page_start + limit]))


class _Client:
    """Client with the interface of LogClient."""

    def __init__(self, log: SimulatedLog) -> None:
        self._log = log
        self.append = log.append
        self.read = log.read

    def close(self) -> None:
        """Do nothing."""


def _wake(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
