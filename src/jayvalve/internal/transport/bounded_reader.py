"""Frame reader of a server, which reserves room for large frames before it reads them."""

from typing import Any

import attrs
import msgpack
from tornado.iostream import IOStream

from jayvalve.errors import InvalidFrameError, MemoryLimitError
from jayvalve.internal.connections import Connection
from jayvalve.internal.held_bytes import COPIES, HeldBody, Share, needed_bytes
from jayvalve.internal.port_limits import PortLimits
from jayvalve.internal.transport.framing import MAX_READ_BYTES, FrameReader
from jayvalve.internal.wire import HEADER, Envelope
from jayvalve.internal.wire.messages import Dispatch, Forward

__all__ = ["BoundedFrameReader", "FrameRefusedError"]

# Frames up to this size are covered by the memory allowed for each connection.
SMALL_FRAME_BYTES = 32 * 1024
# Kind and request id are in the first bytes of a frame.
PREFIX_BYTES = 128


class FrameRefusedError(Exception):
    """There is no room for a frame, which was dropped."""

    def __init__(self, request_id: int, error: MemoryLimitError) -> None:
        super().__init__(request_id, error)
        self.request_id = request_id
        self.error = error


class BoundedFrameReader(FrameReader):
    """Reads the requests of one connection within the limits of the port."""

    def __init__(self, stream: IOStream, connection: Connection, limits: PortLimits) -> None:
        super().__init__(stream)
        self._connection = connection
        self._limits = limits
        self._share: Share | None = None

    async def read_request(self) -> tuple[Envelope, Share | None]:
        """Return the next frame, and its share if it is large.

        Raises:
            FrameRefusedError: there was no room for the frame.
            InvalidFrameError: the frame is too long or malformed.
            StreamClosedError: the connection was closed.

        """
        while True:
            length = self._next_length()
            if length > SMALL_FRAME_BYTES and self._share is None:
                await self._reserve(length)
            envelope = self._take_buffered_frame()
            if envelope is not None:
                self._limits.release_unread(self._connection)
                return self._attach(envelope)
            if self._share is None:
                self._limits.hold_unread(self._connection, len(self._buffer))
            await self._read_more()

    def close(self) -> None:
        """Return the room of a frame that has not arrived in full."""
        if self._share is not None:
            self._share.close()
            self._share = None

    async def _read_more(self) -> int:
        data = await self._stream.read_bytes(MAX_READ_BYTES, partial=True)
        self._buffer += data
        if self._share is not None:
            self._share.receive(len(data))
        self._limits.progress(self._connection, arriving=self._connection.arriving)
        return len(data)

    async def _reserve(self, length: int) -> None:
        """Reserve room for the frame whose length was read."""
        self._limits.progress(self._connection, arriving=True)
        try:
            self._share = self._limits.held.open(
                self._connection.address, length * COPIES, self._stream.close
            )
        except MemoryLimitError as error:
            request_id = await self._skip(length)
            raise FrameRefusedError(request_id, error) from error

    def _attach(self, envelope: Envelope) -> tuple[Envelope, Share | None]:
        self._connection.arriving = False
        share, self._share = self._share, None
        if share is None:
            return envelope, None
        share.complete()
        message: Any = envelope.message
        if isinstance(message, Dispatch | Forward):
            try:
                share.resize(needed_bytes(message.path, message.body))
            except MemoryLimitError as error:
                share.close()
                raise FrameRefusedError(envelope.request_id, error) from error
            # A call may run on after its connection broke.
            message = attrs.evolve(message, body=HeldBody.of(message.body, share))
            envelope = attrs.evolve(envelope, message=message)
        return envelope, share

    async def _skip(self, length: int) -> int:
        """Drop a frame and return its request id."""
        while len(self._buffer) < HEADER.size + min(length, PREFIX_BYTES):
            await self._read_more()
        request_id = _request_id(bytes(self._buffer[HEADER.size : HEADER.size + PREFIX_BYTES]))
        rest = HEADER.size + length
        while rest:
            dropped = min(rest, len(self._buffer))
            del self._buffer[:dropped]
            rest -= dropped
            if rest:
                await self._read_more()
        self._connection.arriving = False
        return request_id


def _request_id(prefix: bytes) -> int:
    unpacker = msgpack.Unpacker(raw=False)
    unpacker.feed(prefix)
    try:
        unpacker.read_array_header()
        unpacker.unpack()
        request_id = unpacker.unpack()
    except (ValueError, msgpack.UnpackException, TypeError) as error:
        raise InvalidFrameError(
            f"frame does not start with kind and request id: {error}"
        ) from error
    if type(request_id) is not int or request_id < 0:
        raise InvalidFrameError("the request id is not valid")
    return request_id
