"""Batches the items of one stream into fewer appends."""

import asyncio
import random

import attrs
import msgpack
from loguru import logger

from jayvalve.errors import JayvalveError, LogAnswerLostError, LogUnavailableError
from jayvalve.internal.log.client import LogClient
from jayvalve.internal.timing import Clock, Deadline, full_jitter

__all__ = ["Appender"]

# 16 partitions with 10 appends per second each stay below 200 appends per second in total.
INTERVAL_S = 0.1
MAX_BATCH_ITEMS = 256
# Without this limit, 256 outcomes of 64 KiB would make a record of 16 MiB. A single larger
# item is appended alone.
MAX_BATCH_BYTES = 1024 * 1024
BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 2.0

_log = logger.bind(part="log")


@attrs.define(eq=False)
class _Item:
    packed: bytes
    future: asyncio.Future
    may_be_appended: bool = False


class Appender:
    """Appends items, each a msgpack array with its own id, in records of several items.

    An idle appender appends immediately; afterwards at most one append starts per interval.
    The items of a failed append are appended again, so readers must ignore repeated ids.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock or Clock()
        self._rng = rng or random.Random()
        self._interval_s = interval_s
        self._items: list[_Item] = []
        self._wakeup = asyncio.Event()

    def __repr__(self) -> str:
        return f"Appender({self._stream!r}, waiting={self.waiting})"

    @property
    def waiting(self) -> int:
        """Number of items that are neither appended, expired nor withdrawn."""
        return sum(not item.future.done() for item in self._items)

    def submit(self, item: list, deadline: Deadline) -> asyncio.Future[int]:
        """Queue item and return a future for the offset of its record.

        At the deadline the future fails with LogUnavailableError if the item was certainly not
        appended, or with LogAnswerLostError if it may have been or may still be appended.
        Cancelling the future withdraws the item, but does not stop an append of it that is already
        in progress.
        """
        loop = asyncio.get_running_loop()
        queued = _Item(msgpack.packb(item, use_bin_type=True), loop.create_future())
        timer = loop.call_later(deadline.remaining_s, self._expire, queued)
        queued.future.add_done_callback(lambda _: timer.cancel())
        self._items.append(queued)
        self._wakeup.set()
        return queued.future

    async def append(self, item: list, deadline: Deadline) -> int:
        """Append item and return the offset of its record; fails like the future of submit."""
        return await self.submit(item, deadline)

    async def run(self) -> None:
        """Append queued items until cancelled."""
        failures = 0
        while True:
            await self._wakeup.wait()
            batch = self._next_batch()
            if not batch:
                self._wakeup.clear()
                continue
            started_s = self._clock.now()
            error = await self._append_batch(batch)
            if error is None:
                failures = 0
                pause_s = self._interval_s - (self._clock.now() - started_s)
            else:
                pause_s = self._backoff(error, failures)
                failures += 1
            await asyncio.sleep(max(0.0, pause_s))

    def _next_batch(self) -> list[_Item]:
        self._items = [item for item in self._items if not item.future.done()]
        batch: list[_Item] = []
        size = 0
        for item in self._items[:MAX_BATCH_ITEMS]:
            size += len(item.packed)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(item)
        return batch

    async def _append_batch(self, batch: list[_Item]) -> JayvalveError | None:
        data = msgpack.Packer().pack_array_header(len(batch)) + b"".join(
            item.packed for item in batch
        )
        # The outcome of this append is unknown until the answer arrives, so an item that expires
        # in the meantime must not be reported as not sent.
        previous = [item.may_be_appended for item in batch]
        _set_may_be_appended(batch, [True] * len(batch))
        try:
            offset = await self._log.append(self._stream, data)
        except LogUnavailableError as error:
            _set_may_be_appended(batch, previous)
            return error
        except LogAnswerLostError as error:
            return error
        for item in batch:
            if not item.future.done():
                item.future.set_result(offset)
        return None

    def _backoff(self, error: JayvalveError, failures: int) -> float:
        if failures == 0:
            _log.warning("Append to {} failed: {}", self._stream, error.message)
        delay_s = full_jitter(self._rng, min(failures, 16), BACKOFF_BASE_S, BACKOFF_CAP_S)
        if isinstance(error, LogUnavailableError):
            delay_s = max(delay_s, error.retry_after_s or 0.0)
        return max(delay_s, self._interval_s)

    def _expire(self, item: _Item) -> None:
        if item.future.done():
            return
        error_type = LogAnswerLostError if item.may_be_appended else LogUnavailableError
        item.future.set_exception(
            error_type(f"deadline passed before an append to {self._stream} was confirmed")
        )


def _set_may_be_appended(batch: list[_Item], values: list[bool]) -> None:
    for item, value in zip(batch, values, strict=True):
        item.may_be_appended = value
