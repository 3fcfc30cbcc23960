"""Epochs of an entry, taken from the offsets of the ownership stream."""

import asyncio

import msgpack
from loguru import logger

from jayvalve.errors import LogAnswerLostError, LogUnavailableError
from jayvalve.internal.log import LogClient

__all__ = ["STREAM", "EpochSource"]

STREAM = "ownership"
# Offsets start at 0, but epoch 0 is the term of programs that have never had an owner.
FIRST_EPOCH = 1
MAX_APPEND_ATTEMPTS = 3
RETRY_INTERVAL_S = 0.2

_log = logger.bind(part="ownership")


class EpochSource:
    """Appends join and takeover records; the epoch is the record's offset plus FIRST_EPOCH."""

    def __init__(self, log: LogClient | None, instance: str, incarnation: int) -> None:
        self._log = log
        self._instance = instance
        self._incarnation = incarnation

    async def acquire(self, reason: str) -> int:
        """Return an epoch that is higher than all earlier ones.

        Raises:
            LogUnavailableError: the log did not accept or confirm a record.
        """
        if self._log is None:
            raise LogUnavailableError("this entry has no log service and cannot own programs")
        record = msgpack.packb([reason, self._instance, self._incarnation])
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                offset = await self._log.append(STREAM, record)
            except LogAnswerLostError as error:
                # The record may still be in the log. Its epoch is then never used.
                _log.warning("answer to an append was lost: {}", error.message)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            _log.info("acquired epoch {} for {}", offset + FIRST_EPOCH, reason)
            return offset + FIRST_EPOCH
        raise LogUnavailableError("the log did not confirm an append")
