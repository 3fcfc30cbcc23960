"""How the end of an HTTP/1.x answer is marked, as received and as sent."""

import enum
import re
import socket
import struct
from collections.abc import Mapping
from http import HTTPStatus

from loguru import logger
from tornado.iostream import IOStream

__all__ = [
    "Framing",
    "check_status",
    "parse_status_line",
    "received_framing",
    "reset_connection",
    "sent_framing",
    "set_reset_on_close",
]

_log = logger.bind(part="http_framing")

# SO_LINGER with a time of zero: close() discards unsent bytes and sends a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)


# RFC 9112, section 4. Versions 1.2 to 1.9 would be read as 1.1.
_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] ([0-9]{3})(?: [\t \x21-\x7e\x80-\xff]*)?")
# RFC 9110, section 15.
_STATUSES = range(100, 600)


class Framing(enum.StrEnum):
    """What marks the end of an answer (RFC 9112, section 6.3)."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"

    @property
    def shows_end(self) -> bool:
        """Whether an answer that was cut short can be told from a whole one.

        An answer that ends with its connection looks the same in both cases, unless the connection
        is reset.
        """
        return self is not Framing.CONNECTION


def check_status(status: int) -> int:
    """Return the status of an answer.

    Raises:
        ValueError: HTTP does not allow it in an answer to a request without an Upgrade header.

    """
    if status not in _STATUSES:
        raise ValueError(f"status {status:03} is not from 100 to 599")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise ValueError("status 101 answers no request for another protocol")
    return status


def parse_status_line(line: str) -> int:
    """Return the status in the first line of an answer, without its line end.

    Raises:
        ValueError: HTTP does not allow the line.

    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise ValueError(f"{line!r:.80} is not a status line such as 'HTTP/1.1 200 OK'")
    return check_status(int(match.group(1)))


def _has_no_body(method: str, status: int) -> bool:
    return method == "HEAD" or status < 200 or status in (204, 304)


def received_framing(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return the framing of an answer that was received.

    Args:
        method: Method of the request.
        status: Status of the answer.
        headers: Headers of the answer, whose names ignore case.

    """
    if _has_no_body(method, status):
        return Framing.NO_BODY
    if "Transfer-Encoding" in headers:
        # Without chunks as the last coding, the body ends with the connection.
        last = headers["Transfer-Encoding"].rpartition(",")[2].strip().lower()
        return Framing.CHUNKS if last == "chunked" else Framing.CONNECTION
    if "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CONNECTION


def sent_framing(
    version: str, method: str, status: int, has_length: bool, received: Framing | None = None
) -> Framing:
    """Return the framing for an answer to a caller.

    Args:
        version: HTTP version of the request, such as "HTTP/1.1".
        method: Method of the request.
        status: Status of the answer.
        has_length: Whether the answer has a Content-Length.
        received: Framing of the endpoint's answer that is passed on, which shows its end no less
            than the framing for the caller; None for an answer of this process.

    """
    if _has_no_body(method, status):
        return Framing.NO_BODY
    if received is Framing.CONNECTION:
        return Framing.CONNECTION
    if has_length:
        return Framing.LENGTH
    # Callers of HTTP/1.0 do not know chunks.
    return Framing.CHUNKS if version == "HTTP/1.1" else Framing.CONNECTION


def set_reset_on_close(stream: IOStream, enabled: bool) -> None:
    """Choose whether a connection ends with a reset when it is closed.

    This holds also if the kernel closes it because the process was killed. Bytes that were not
    sent yet are lost with a reset.
    """
    if stream.socket is None:
        return
    try:
        option = _LINGER_RESET if enabled else _LINGER_OFF
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    except OSError as error:
        _log.bind(error=repr(error)).info("a connection cannot be reset")


def reset_connection(stream: IOStream) -> None:
    """Close a connection with a reset, so that what was sent does not look complete.

    Bytes that were not sent yet are lost.
    """
    set_reset_on_close(stream, True)
    stream.close()
