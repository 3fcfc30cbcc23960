"""Reading and writing of frames on a tornado stream."""

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

__all__ = ["failure_from_error", "read_envelope", "write_message", "write_reply"]


async def read_envelope(stream: IOStream) -> Envelope:
    """Read one frame.

    Raises:
        InvalidFrameError: the frame is too long or malformed.
        StreamClosedError: the connection ended.

    """
    (length,) = HEADER.unpack(await stream.read_bytes(HEADER.size))
    if length > MAX_FRAME_BYTES:
        raise InvalidFrameError(
            f"frame of {length} bytes announced, at most {MAX_FRAME_BYTES} are allowed"
        )
    return decode(await stream.read_bytes(length))


async def write_message(stream: IOStream, request_id: int, message: Any) -> None:
    """Write a request."""
    await stream.write(encode(request_id, 0, message))


async def write_reply(stream: IOStream, request_id: int, message: Any, final: bool) -> None:
    """Write a reply; a connection that has ended is ignored, the requester will ask again."""
    flags = FLAG_REPLY | FLAG_FINAL if final else FLAG_REPLY
    try:
        await stream.write(encode(request_id, flags, message))
    except StreamClosedError:
        return


def failure_from_error(error: JayvalveError) -> Failure:
    """Return the message that reports an error to another process."""
    return Failure(error.code, error.message, str(error.verdict), error.retry_after_s)
