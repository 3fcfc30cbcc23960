"""Reading and writing frames on a tornado stream."""

import asyncio
import contextlib
import functools
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from jayvalve.errors import InvalidFrameError, JayvalveError
from jayvalve.internal.wire import (
    FLAG_FINAL,
    FLAG_REPLY,
    HEADER,
    MAX_FRAME_BYTES,
    Envelope,
    decode,
    encode,
)
from jayvalve.internal.wire.messages import Failure

__all__ = [
    "FrameReader",
    "FrameWriter",
    "failure_from_error",
    "read_envelope",
    "write_message",
    "write_reply",
]


# One read from the kernel's buffer usually returns several frames.
MAX_READ_BYTES = 64 * 1024
# Memory of the task that waits until its frame is written.
FRAME_OVERHEAD_BYTES = 4 * 1024


class FrameReader:
    """Reads the frames that follow the Hello exchange of a connection.

    One read takes all frames that have arrived. Separate reads for the length and the content
    of each frame cost more than decoding it.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> Envelope:
        """Return the next frame; raises the same errors as read_envelope."""
        while (envelope := self._take_buffered_frame()) is None:
            self._buffer += await self._stream.read_bytes(MAX_READ_BYTES, partial=True)
        return envelope

    def _next_length(self) -> int:
        """Return the length of the next frame, or -1 if it has not arrived yet."""
        if len(self._buffer) < HEADER.size:
            return -1
        (length,) = HEADER.unpack_from(self._buffer)
        _check_length(length)
        return length

    def _take_buffered_frame(self) -> Envelope | None:
        length = self._next_length()
        end = HEADER.size + length
        if length < 0 or len(self._buffer) < end:
            return None
        data = bytes(self._buffer[HEADER.size : end])
        del self._buffer[:end]
        return decode(data)


class FrameWriter:
    """Batches the frames written during one event loop iteration into one stream write.

    One system call per frame would be the largest single cost of an entry: a program's call sends
    about ten messages to the same two copies.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._pending: list[bytes] = []
        self._last_write: asyncio.Future[None] | None = None
        self._unsent_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the socket, with FRAME_OVERHEAD_BYTES a frame."""
        return self._unsent_bytes

    async def wait_below(self, limit_bytes: int) -> None:
        """Wait until unsent_bytes is at most limit_bytes.

        Raises:
            StreamClosedError: the connection is closed.

        """
        while self._unsent_bytes > limit_bytes:
            if self._stream.closed():
                raise StreamClosedError
            if self._last_write is None or self._last_write.done():
                await asyncio.sleep(0)
            else:
                await asyncio.shield(self._last_write)

    async def write(self, data: bytes) -> None:
        """Queue one frame; wait if the previous batch is not yet fully written to the socket.

        If the connection closes after this method returns, only its reader reports it.

        Raises:
            StreamClosedError: the connection is closed, or closes during the wait.

        """
        if self._stream.closed():
            raise StreamClosedError
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.append(data)
        self._unsent_bytes += len(data) + FRAME_OVERHEAD_BYTES
        if self._last_write is not None and not self._last_write.done():
            # Shielded because other writers wait for the same future.
            await asyncio.shield(self._last_write)

    def _flush(self) -> None:
        frames, self._pending = self._pending, []
        batch = b"".join(frames)
        size = len(batch) + len(frames) * FRAME_OVERHEAD_BYTES
        with contextlib.suppress(StreamClosedError):
            self._last_write = self._stream.write(batch)
            self._last_write.add_done_callback(functools.partial(self._count_sent, size))

    def _count_sent(self, size: int, _: asyncio.Future[None]) -> None:
        self._unsent_bytes -= size


def _check_length(length: int, max_bytes: int = MAX_FRAME_BYTES) -> None:
    if length > max_bytes:
        raise InvalidFrameError(f"frame length is {length} bytes, at most {max_bytes} are allowed")


async def read_envelope(stream: IOStream, max_bytes: int = MAX_FRAME_BYTES) -> Envelope:
    """Read one frame of at most max_bytes.

    Raises:
        InvalidFrameError: the frame is too long or malformed.
        StreamClosedError: the connection was closed.

    """
    (length,) = HEADER.unpack(await stream.read_bytes(HEADER.size))
    _check_length(length, max_bytes)
    return decode(await stream.read_bytes(length))


async def write_message(stream: IOStream | FrameWriter, request_id: int, message: Any) -> None:
    """Write a request."""
    await stream.write(encode(request_id, 0, message))


async def write_reply(
    stream: IOStream | FrameWriter, request_id: int, message: Any, final: bool
) -> None:
    """Write a reply; a closed connection is ignored, because the requester will ask again."""
    flags = FLAG_REPLY | FLAG_FINAL if final else FLAG_REPLY
    try:
        await stream.write(encode(request_id, flags, message))
    except StreamClosedError:
        return


def failure_from_error(error: JayvalveError) -> Failure:
    """Return the message that reports an error to another process."""
    return Failure(error.code, error.message, str(error.verdict), error.retry_after_s)
