"""HTTP/1.1 client with persistent connections, for requests that must not be sent twice.

This module writes a request once, on one connection, and never repeats it: only the code that uses
it decides on a second attempt. libcurl repeats a request when a persistent connection closes before
the response, which would run a non-idempotent call twice.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable

import attrs
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from jayvalve.internal.gateway.buffers import AnswerBuffers
from jayvalve.internal.gateway.http_exchange import (
    Address,
    BrokenConnectionError,
    ClientRequest,
    ClientStream,
    Connection,
    Exchange,
    ResponseHead,
)
from jayvalve.internal.timing import Clock

__all__ = [
    "BrokenConnectionError",
    "ClientRequest",
    "Exchange",
    "HttpPool",
    "NotSentError",
    "PoolSettings",
    "ResponseHead",
]

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
# Maximum size of a part of a body, which is processed without a pause.
_CHUNK_BYTES = 16 * 1024
# Maximum size of a body that is passed on as it arrives, in bytes.
_MAX_STREAMED_BYTES = 2**40


class NotSentError(Exception):
    """No connection could be established, so no byte of the request was sent."""

    @property
    def is_refusal(self) -> bool:
        """Whether no process listens at the address; one that is silent may be cut off."""
        cause = self.__cause__
        return isinstance(getattr(cause, "real_error", cause), ConnectionRefusedError)


@attrs.frozen
class PoolSettings:
    """Limits of the persistent connections.

    Attributes:
        connect_timeout_s: Timeout for establishing a connection. The kernel repeats a lost SYN
            after 1 s, so trying another address is faster than waiting.
        user_timeout_s: Time after which the kernel closes a connection with unacknowledged bytes
            (TCP_USER_TIMEOUT).
        idle_timeout_s: Maximum idle time of a connection whose peer sends no Keep-Alive timeout.
        keep_alive_margin_s: A connection is not used in this last part of the peer's Keep-Alive
            timeout, because the peer may close it while the request is in transit.
        silent_after_s: Time without a byte of an expected answer after which the abort of an
            exchange shows that the connection may be silent. A connection goes silent without a
            reset, and often together with the others to the same address.
        max_idle: Maximum number of idle connections to one address.
        max_header_bytes: Maximum size of the header block of a response.
        max_skipped_responses: Maximum number of responses to other requests that are read before
            the one that is expected. A late copy of an earlier response is one.
        max_skipped_bytes: Maximum size of the bodies of these responses, in bytes.
        max_buffer_bytes: Maximum number of bytes of one response that are held in memory: a body
            that is collected whole, or one without a length, which ends with its connection.

    """

    connect_timeout_s: float = 0.25
    user_timeout_s: float = 2.0
    idle_timeout_s: float = 8.0
    keep_alive_margin_s: float = 0.7
    silent_after_s: float = 0.5
    max_idle: int = 32
    max_header_bytes: int = 65_536
    max_skipped_responses: int = 8
    max_skipped_bytes: int = 1024 * 1024
    max_buffer_bytes: int = 16 * 1024 * 1024


class HttpPool:
    """Connections to any number of addresses; the most recently used one is reused first.

    Args:
        buffers: Memory for the bodies that are collected whole.

    """

    def __init__(
        self, settings: PoolSettings, clock: Clock, buffers: AnswerBuffers | None = None
    ) -> None:
        self._settings = settings
        self._buffers = buffers if buffers is not None else AnswerBuffers(settings.max_buffer_bytes)
        self._clock = clock
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=settings.max_header_bytes,
            chunk_size=_CHUNK_BYTES,
            # Bodies with a length pass through a queue of a few chunks, so they need no limit.
            max_body_size=_MAX_STREAMED_BYTES,
        )
        self._idle: dict[Address, list[Connection]] = {}
        self._opened = 0

    @property
    def clock(self) -> Clock:
        """Clock of the process."""
        return self._clock

    @property
    def buffers(self) -> AnswerBuffers:
        """Memory for the bodies that are collected whole."""
        return self._buffers

    @property
    def opened(self) -> int:
        """Number of connection attempts so far."""
        return self._opened

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    async def send(
        self,
        request: ClientRequest,
        accepts: Callable[[ResponseHead], bool] | None = None,
        max_idle_s: float | None = None,
    ) -> Exchange:
        """Write a request and return its exchange.

        Args:
            request: Request to send.
            accepts: Returns whether a response belongs to the request. Other responses are read
                and dropped.
            max_idle_s: Maximum idle time of a connection that is reused.

        Raises:
            NotSentError: No connection could be established; nothing was sent.

        """
        connection = self.take(request.address, max_idle_s)
        reused = connection is not None
        if connection is None:
            connection = await self.open(request.address)
        return self.send_on(connection, request, accepts, reused)

    def send_on(
        self,
        connection: Connection,
        request: ClientRequest,
        accepts: Callable[[ResponseHead], bool] | None = None,
        reused: bool = True,
    ) -> Exchange:
        """Write a request on a given connection and return its exchange.

        Args:
            connection: Connection to the request's address that is used for nothing else.
            request: Request to send.
            accepts: As for send().
            reused: Whether the connection has carried other requests or was idle.

        """
        exchange = Exchange(self, connection, self._parameters, self._settings, accepts, reused)
        exchange.start(request)
        return exchange

    def give_back(self, connection: Connection) -> None:
        """Keep a connection that carries no request for the next one, up to ``max_idle``."""
        if connection.stream.has_unread_bytes:
            connection.stream.close()
        elif len(self._idle.get(connection.address, [])) < self._settings.max_idle:
            self._keep(connection, connection.idle_limit_s or self._settings.idle_timeout_s)
        else:
            connection.stream.close()

    def take(self, address: Address, max_idle_s: float | None = None) -> Connection | None:
        """Return an idle connection, which is kept no longer, or None.

        Args:
            address: Address of the connection.
            max_idle_s: Maximum time for which it may have been idle, in seconds.

        """
        idle = self._idle.get(address, [])
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            age_s = now - connection.idle_since_s
            usable = age_s < connection.idle_limit_s and not connection.stream.has_unread_bytes
            connection.stream.set_close_callback(None)
            if usable and (max_idle_s is None or age_s <= max_idle_s):
                return connection
            connection.stream.close()
        return None

    async def open(self, address: Address) -> Connection:
        """Establish a connection.

        Raises:
            NotSentError: No connection could be established.

        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Detects a connection whose peer no longer responds, for instance in a network partition.
        user_timeout_ms = int(self._settings.user_timeout_s * 1000)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        stream = ClientStream(sock, max_buffer_size=self._settings.max_buffer_bytes)
        self._opened += 1
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                await stream.connect(address)
        except (OSError, StreamClosedError, TimeoutError) as error:
            stream.close()
            raise NotSentError(f"no connection to {address[0]}:{address[1]}: {error!r}") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return Connection(address, stream)

    def discard(self, address: Address) -> None:
        """Close the idle connections to an address; called when they seem to be dead."""
        for connection in self._idle.pop(address, []):
            connection.stream.set_close_callback(None)
            connection.stream.close()

    def discard_unproven(self, address: Address, since_s: float) -> None:
        """Close the idle connections to an address that have carried nothing since a time."""
        for connection in list(self._idle.get(address, [])):
            if connection.idle_since_s <= since_s:
                self._remove_idle(connection)
                connection.stream.set_close_callback(None)
                connection.stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.discard(address)

    def release(self, connection: Connection, head: ResponseHead) -> None:
        """Keep a connection for reuse after a complete response.

        It is closed instead if it is not reusable or if ``max_idle`` connections are kept already.
        """
        idle = self._idle.setdefault(connection.address, [])
        if not _is_reusable(connection.stream, head) or len(idle) >= self._settings.max_idle:
            connection.stream.close()
            return
        keep_alive = _KEEP_ALIVE_TIMEOUT.search(head.headers.get("Keep-Alive", ""))
        idle_limit_s = (
            int(keep_alive.group(1)) - self._settings.keep_alive_margin_s
            if keep_alive
            else self._settings.idle_timeout_s
        )
        self._keep(connection, idle_limit_s)

    def _keep(self, connection: Connection, idle_limit_s: float) -> None:
        connection.idle_limit_s = idle_limit_s
        connection.idle_since_s = self._clock.now()
        connection.stream.set_close_callback(lambda: self._remove_idle(connection))
        self._idle.setdefault(connection.address, []).append(connection)

    def _remove_idle(self, connection: Connection) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)


def _is_reusable(stream: IOStream, head: ResponseHead) -> bool:
    return (
        not stream.closed()
        # An endpoint may respond before it has read a long body. It would then interpret the next
        # request as the rest of that body.
        and not stream.writing()
        and head.framing.shows_end
        and head.headers.get("Connection", "").lower() != "close"
    )
