"""Frame codec: each frame is a 4-byte big-endian length followed by a msgpack array."""

import struct
from typing import Any

import attrs
import msgpack

from jayvalve.errors import InvalidFrameError
from jayvalve.internal.wire.messages import MESSAGE_KINDS

__all__ = ["FLAG_FINAL", "FLAG_REPLY", "HEADER", "MAX_FRAME_BYTES", "Envelope", "decode", "encode"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
HEADER = struct.Struct(">I")
FLAG_REPLY = 1
FLAG_FINAL = 2

_REQUEST_ID_LIMIT = 2**53


@attrs.frozen
class Envelope:
    """A message with the id of the request it belongs to and its flags."""

    request_id: int
    flags: int
    message: Any

    @property
    def is_reply(self) -> bool:
        """Whether the message replies to a request that the receiver sent."""
        return bool(self.flags & FLAG_REPLY)

    @property
    def is_final(self) -> bool:
        """Whether the message is the last reply to the request."""
        return bool(self.flags & FLAG_FINAL)


def encode(request_id: int, flags: int, message: Any) -> bytes:
    """Return the complete frame, including its length header.

    Raises:
        InvalidFrameError: the body of the frame would exceed MAX_FRAME_BYTES.

    """
    fields = [getattr(message, field.name) for field in attrs.fields(type(message))]
    body = msgpack.packb([message.kind, request_id, flags, fields], use_bin_type=True)
    if len(body) > MAX_FRAME_BYTES:
        raise InvalidFrameError(
            f"{message.kind} frame has {len(body)} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    return HEADER.pack(len(body)) + body


def _unpack(body: bytes) -> Any:
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError, TypeError) as error:
        raise InvalidFrameError(f"frame is not valid msgpack: {error}") from error


def decode(body: bytes) -> Envelope:
    """Decode the body of a frame into an envelope.

    Raises:
        InvalidFrameError: the body is not a valid envelope with a message of a known kind.

    """
    parts = _unpack(body)
    if not isinstance(parts, list) or len(parts) != 4:
        raise InvalidFrameError("frame is not an array of kind, request id, flags and fields")
    kind, request_id, flags, fields = parts
    if not isinstance(kind, str) or kind not in MESSAGE_KINDS:
        raise InvalidFrameError(f"message kind {kind!r:.60} is unknown")
    if type(request_id) is not int or not 0 <= request_id < _REQUEST_ID_LIMIT:
        raise InvalidFrameError(
            f"request id {request_id!r:.60} is not an integer or is out of range"
        )
    if type(flags) is not int or flags not in (0, FLAG_REPLY, FLAG_REPLY | FLAG_FINAL):
        raise InvalidFrameError(f"flags {flags!r:.60} are not valid")
    if not isinstance(fields, list):
        raise InvalidFrameError("message fields are not an array")
    return Envelope(request_id, flags, _build(MESSAGE_KINDS[kind], fields))


def _build(message_type: type, fields: list[Any]) -> Any:
    # A sender of a newer version may append fields that this version does not define.
    known = len(attrs.fields(message_type))
    try:
        return message_type(*fields[:known])
    except (TypeError, ValueError) as error:
        # The args of an attrs validator's error also contain the attribute and the whole value.
        reason = str(error.args[0]) if error.args else str(error)
        raise InvalidFrameError(f"{message_type.kind} message: {reason:.200}") from error
