"""Frames and typed messages exchanged between processes."""

from jayvalve.internal.wire.codec import (
    FLAG_FINAL,
    FLAG_REPLY,
    HEADER,
    MAX_FRAME_BYTES,
    Envelope,
    decode,
    encode,
)

__all__ = [
    "FLAG_FINAL",
    "FLAG_REPLY",
    "HEADER",
    "MAX_FRAME_BYTES",
    "Envelope",
    "decode",
    "encode",
]
