"""Answer in progress that several readers can follow."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from jayvalve.errors import JayvalveError
from jayvalve.internal.operator.observer import CallObservation
from jayvalve.internal.wire.messages import Chunk, Completed, ResponseHead

__all__ = ["CallStream"]


class CallStream:
    """Stores the parts of one answer and yields all of them, in order, to each reader.

    A repeated request becomes another reader of the running call, so that the call runs only
    once.
    """

    def __init__(self, observation: CallObservation | None = None) -> None:
        self._observation = observation
        self._parts: list[Any] = []
        self._error: JayvalveError | None = None
        self._ended = False
        self._changed = asyncio.Event()
        self._readers = 0

    @property
    def readers(self) -> int:
        """Number of readers that are following the answer."""
        return self._readers

    @property
    def started(self) -> bool:
        """Whether any part of the answer has been sent."""
        return bool(self._parts)

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self._ended

    def record_attempt(self, turn: int, endpoint: str) -> None:
        """Record that an attempt of the call is sent to an endpoint."""
        if self._observation is not None:
            self._observation.record_attempt(turn, endpoint)

    def send(self, part: ResponseHead | Chunk | Completed) -> None:
        """Add a part; Completed ends the answer."""
        self._parts.append(part)
        self._ended = isinstance(part, Completed)
        if self._observation is not None:
            self._observation.record_part(part)
        self._notify_waiters()

    def fail(self, error: JayvalveError) -> None:
        """End the answer with an error."""
        self._error = error
        self._ended = True
        if self._observation is not None:
            self._observation.record_failure(error)
        self._notify_waiters()

    async def read(self) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        """Yield all parts from the first on, or raise the error that ended the answer."""
        self._readers += 1
        position = 0
        try:
            while True:
                while position < len(self._parts):
                    yield self._parts[position]
                    position += 1
                if self._error is not None:
                    raise self._error
                if self._ended:
                    return
                await self._changed.wait()
        finally:
            self._readers -= 1
            self._notify_waiters()

    async def wait_until_abandoned(self) -> None:
        """Wait until no reader is left or the answer has ended."""
        while self._readers and not self._ended:
            await self._changed.wait()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
