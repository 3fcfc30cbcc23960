"""Follower of one log stream, which applies the records in order."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from jayvalve.errors import LogUnavailableError
from jayvalve.internal.log.client import LogClient, LogPage, LogRecord
from jayvalve.internal.timing import full_jitter

__all__ = ["LogFollower"]

LONG_POLL_TIMEOUT_S = 1.0
MAX_PAGE_RECORDS = 256
BACKOFF_BASE_S = 0.1
# Limits the delay after an outage, so that configuration still arrives within 7 s.
BACKOFF_CAP_S = 2.0

_log = logger.bind(part="log")


class LogFollower:
    """Applies each record of a stream once, in order, from a given offset.

    Args:
        log: Client of the log service.
        stream: Name of the stream.
        apply: Called synchronously with each LogRecord. An exception is logged and the
            follower continues, because one bad record must not block those after it.
        start: Offset of the first record to apply.
        on_truncation: Called with (wanted, first) when the records from wanted to first - 1
            are no longer retained.
        rng: Random generator for the jitter of the retry delays.
        poll_s: Maximum duration of one long poll, in seconds.

    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        apply: Callable[[LogRecord], object],
        *,
        start: int = 0,
        on_truncation: Callable[[int, int], object] | None = None,
        rng: random.Random | None = None,
        poll_s: float = LONG_POLL_TIMEOUT_S,
    ) -> None:
        self._log = log
        self._stream = stream
        self._apply = apply
        self._position = start
        self._on_truncation = on_truncation
        self._rng = rng or random.Random()
        self._poll_s = poll_s
        self._caught_up = asyncio.Event()
        self._advanced = asyncio.Condition()

    def __repr__(self) -> str:
        return f"LogFollower({self._stream!r}, position={self._position})"

    @property
    def position(self) -> int:
        """Offset of the next record to apply."""
        return self._position

    @property
    def stream(self) -> str:
        """Name of the followed stream."""
        return self._stream

    @property
    def caught_up(self) -> bool:
        """Whether the end of the stream was reached at least once."""
        return self._caught_up.is_set()

    async def wait_caught_up(self, timeout_s: float) -> None:
        """Wait until the end of the stream was reached once.

        Raises:
            TimeoutError: it was not reached within timeout_s.

        """
        await asyncio.wait_for(self._caught_up.wait(), timeout_s)

    async def wait_for(self, offset: int, timeout_s: float) -> None:
        """Wait until the record at offset is applied.

        Raises:
            TimeoutError: it was not applied within timeout_s.

        """

        async def wait_applied() -> None:
            async with self._advanced:
                await self._advanced.wait_for(lambda: self._position > offset)

        await asyncio.wait_for(wait_applied(), timeout_s)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        failures = 0
        while True:
            try:
                await self.read_once()
                failures = 0
            except LogUnavailableError as error:
                if failures == 0:
                    _log.warning("Read of {} failed: {}", self._stream, error.message)
                await asyncio.sleep(
                    full_jitter(self._rng, min(failures, 16), BACKOFF_BASE_S, BACKOFF_CAP_S)
                )
                failures += 1

    async def read_once(self) -> None:
        """Read and apply one page.

        Reads do not long-poll until the end of the stream has been reached once, so that it is
        reached without delay.

        Raises:
            LogUnavailableError: the page could not be read.

        """
        wait_s = self._poll_s if self.caught_up else 0.0
        page = await self._log.read(self._stream, self._position, MAX_PAGE_RECORDS, wait_s)
        self._apply_page(page)
        async with self._advanced:
            self._advanced.notify_all()

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self._position:
            self._report_truncation(page.first)
        for record in page.records:
            if record.offset >= self._position:
                self._apply_record(record)
        # Only an empty page proves that the end was reached, because a service may return fewer
        # records than requested.
        if not page.records and page.next <= self._position:
            self._caught_up.set()

    def _report_truncation(self, first: int) -> None:
        wanted, self._position = self._position, first
        # Missing old records are normal for a follower that starts at offset 0.
        if wanted > 0 or self.caught_up:
            _log.warning(
                "Records {} to {} of {} are no longer retained", wanted, first - 1, self._stream
            )
        if self._on_truncation is not None:
            self._on_truncation(wanted, first)

    def _apply_record(self, record: LogRecord) -> None:
        try:
            self._apply(record)
        except Exception:
            _log.exception("Record {} of {} could not be applied", record.offset, self._stream)
        self._position = record.offset + 1
