"""HTTP/1.1 client with persistent connections, for requests that must not be sent twice.

This module writes a request once, on one connection, and never repeats it: only the code that uses
it decides on a second attempt. libcurl repeats a request when a persistent connection closes before
the response, which would run a non-idempotent call twice.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from loguru import logger
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

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

_log = logger.bind(part="http_client")

Address = tuple[str, int]

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
# Maximum number of chunks queued for a slow reader. The client stops reading from the endpoint
# while the queue is full.
_MAX_QUEUED_CHUNKS = 16
# Maximum size of a body that is passed on as it arrives, in bytes.
_MAX_STREAMED_BYTES = 2**40


class NotSentError(Exception):
    """No connection could be established, so no byte of the request was sent."""


class BrokenConnectionError(Exception):
    """The connection ended before the whole response arrived; the request may have run."""


@attrs.frozen
class ClientRequest:
    """A request to one address.

    Attributes:
        address: IP address and port.
        target: Path and query as written in the request line.
        headers: Names and values, including Host. Content-Length is added when sending.

    """

    address: Address
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    reason: str
    headers: HTTPHeaders

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks; otherwise it ends with its connection."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers


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


class _Stream(IOStream):
    """A stream that can report received but unread bytes."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether this process or the socket has unread bytes, or the connection has ended."""
        if self.closed() or self.socket is None or self._read_buffer_size:
            return True
        try:
            # Bytes on an idle connection belong to an extra response. An empty result means that
            # the peer has closed the connection.
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


@attrs.define(eq=False)
class _Connection:
    address: Address
    stream: _Stream
    idle_since_s: float = 0.0
    idle_limit_s: float = 0.0


class HttpPool:
    """Connections to any number of addresses; the most recently used one is reused first."""

    def __init__(self, settings: PoolSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=settings.max_header_bytes,
            # Bodies with a length pass through a queue of a few chunks, so they need no limit.
            max_body_size=_MAX_STREAMED_BYTES,
        )
        self._idle: dict[Address, list[_Connection]] = {}
        self._opened = 0

    @property
    def clock(self) -> Clock:
        """Clock of the process."""
        return self._clock

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
    ) -> "Exchange":
        """Write a request and return its exchange.

        Args:
            request: Request to send.
            accepts: Returns whether a response belongs to the request. Other responses are read
                and dropped.
            max_idle_s: Maximum idle time of a connection that is reused.

        Raises:
            NotSentError: No connection could be established; nothing was sent.

        """
        connection = self._take_idle(request.address, max_idle_s)
        reused = connection is not None
        if connection is None:
            connection = await self._connect(request.address)
        exchange = Exchange(self, connection, self._parameters, self._settings, accepts, reused)
        exchange.start(request)
        return exchange

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether an address refuses connections, so that no process listens there.

        An address that does not answer may be cut off, and does not count as refusing. A
        connection that is established is kept for the next request.
        """
        try:
            connection = await self._connect(address)
        except NotSentError as error:
            cause = error.__cause__
            return isinstance(getattr(cause, "real_error", cause), ConnectionRefusedError)
        self._keep(connection, self._settings.idle_timeout_s)
        return False

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

    def release(self, connection: _Connection, head: ResponseHead) -> None:
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

    def _keep(self, connection: _Connection, idle_limit_s: float) -> None:
        connection.idle_limit_s = idle_limit_s
        connection.idle_since_s = self._clock.now()
        connection.stream.set_close_callback(lambda: self._remove_idle(connection))
        self._idle.setdefault(connection.address, []).append(connection)

    def _remove_idle(self, connection: _Connection) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def _take_idle(self, address: Address, max_idle_s: float | None) -> _Connection | None:
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

    async def _connect(self, address: Address) -> _Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Detects a connection whose peer no longer responds, for instance in a network partition.
        user_timeout_ms = int(self._settings.user_timeout_s * 1000)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        stream = _Stream(sock, max_buffer_size=self._settings.max_buffer_bytes)
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
        return _Connection(address, stream)


def _is_reusable(stream: IOStream, head: ResponseHead) -> bool:
    return (
        not stream.closed()
        # An endpoint may respond before it has read a long body. It would then interpret the next
        # request as the rest of that body.
        and not stream.writing()
        and head.framed
        and head.headers.get("Connection", "").lower() != "close"
    )


_END = object()
_BROKEN = object()


class Exchange(HTTPMessageDelegate):
    """One request and its response, on one connection."""

    def __init__(
        self,
        pool: HttpPool,
        connection: _Connection,
        parameters: HTTP1ConnectionParameters,
        settings: PoolSettings,
        accepts: Callable[[ResponseHead], bool] | None,
        reused: bool,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._parameters = parameters
        self._settings = settings
        self._accepts = accepts
        self._reused = reused
        # Time of the request, then of the last bytes of its answer.
        self._heard_s = pool.clock.now()
        self._head: ResponseHead | None = None
        self._skipping = False
        self._skipped_count = 0
        self._skipped_bytes = 0
        self._cause: str | None = None
        self._complete = False
        self._items: asyncio.Queue[Any] = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        self._reader: asyncio.Task[None] | None = None

    @property
    def reused(self) -> bool:
        """Whether the request was sent on a reused connection."""
        return self._reused

    @property
    def complete(self) -> bool:
        """Whether the whole response was received."""
        return self._complete

    def start(self, request: ClientRequest) -> None:
        """Write the request and start reading the response."""
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        connection = HTTP1Connection(self._connection.stream, True, self._parameters)
        line = RequestStartLine(request.method, request.target, "HTTP/1.1")
        connection.write_headers(line, headers, request.body or None)
        connection.finish()
        self._reader = asyncio.ensure_future(self._read(connection))

    async def head(self) -> ResponseHead:
        """Return the status and headers of the response.

        Raises:
            BrokenConnectionError: The connection ended, or the peer sent an invalid response.

        """
        item = await self._items.get()
        if not isinstance(item, ResponseHead):
            raise BrokenConnectionError(self._describe_break())
        return item

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            BrokenConnectionError: The connection ended before the body was complete.

        """
        while True:
            item = await self._items.get()
            if item is _END:
                return
            if item is _BROKEN:
                raise BrokenConnectionError(self._describe_break())
            yield item

    async def body(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenConnectionError: As for chunks(), or the body exceeds max_buffer_bytes.

        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > self._settings.max_buffer_bytes:
                self._break(f"the body exceeds {self._settings.max_buffer_bytes} bytes")
                raise BrokenConnectionError(self._describe_break())
        return bytes(body)

    def abort(self) -> None:
        """Close the connection unless the response is complete, so the endpoint stops its work.

        If the endpoint was silent for ``silent_after_s``, idle connections to it that were not
        used since it was last heard are closed as well.
        """
        if not self._complete:
            stream = self._connection.stream
            silent_s = self._pool.clock.now() - self._heard_s
            if not stream.closed() and silent_s >= self._settings.silent_after_s:
                self._pool.discard_unproven(self._connection.address, self._heard_s)
            stream.close()
            if self._reader is not None:
                self._reader.cancel()

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Handle the head of a response."""
        self._heard_s = self._pool.clock.now()
        if not isinstance(start_line, ResponseStartLine) or start_line.code < 200:
            return
        head = ResponseHead(start_line.code, start_line.reason, headers)
        self._skipping = self._accepts is not None and not self._accepts(head)
        if not self._skipping:
            self._head = head
            self._items.put_nowait(head)

    async def data_received(self, chunk: bytes) -> None:
        """Queue a part of the body; waits while the queue is full."""
        self._heard_s = self._pool.clock.now()
        if not self._skipping:
            await self._items.put(chunk)
            return
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > self._settings.max_skipped_bytes:
            self._break(f"over {self._settings.max_skipped_bytes} bytes belong to other requests")

    def finish(self) -> None:
        """Handle the end of a response."""
        if self._skipping:
            self._skipped_count += 1
            return
        # A body without a length ends when the connection is closed; after a reset it is
        # incomplete.
        self._complete = self._connection.stream.error is None

    def on_connection_close(self) -> None:
        """Ignore the end of the connection, as the reader task reports it."""

    async def _read(self, connection: HTTP1Connection) -> None:
        stream = self._connection.stream
        try:
            while True:
                skipped_before = self._skipped_count
                is_open = await connection.read_response(self)
                if self._skipped_count == skipped_before or not is_open:
                    break
                if self._skipped_count > self._settings.max_skipped_responses:
                    self._break(f"{self._skipped_count} responses belong to other requests")
                    break
                # Reading buffered bytes never suspends this task, so other tasks would not run
                # while an endpoint sends such responses without end.
                await asyncio.sleep(0)
                connection = HTTP1Connection(stream, True, self._parameters)
                connection.finish()
        except StreamClosedError:
            is_open = False
        except Exception as error:
            # The library raises unspecific errors for some malformed responses.
            is_open = False
            self._complete = False
            self._break(f"the response cannot be read: {error!r}")
        if self._complete and self._head is not None:
            if is_open:
                self._pool.release(self._connection, self._head)
            else:
                stream.close()
            await self._items.put(_END)
            return
        stream.close()
        await self._items.put(_BROKEN)

    def _break(self, cause: str) -> None:
        """Close the connection because of what the endpoint sent."""
        self._cause = cause
        host, port = self._connection.address
        _log.bind(address=f"{host}:{port}", cause=cause).warning("closed a connection")
        self._connection.stream.close()

    def _describe_break(self) -> str:
        host, port = self._connection.address
        cause = self._cause or repr(self._connection.stream.error)
        kind = "kept" if self._reused else "new"
        return f"{kind} connection to {host}:{port} broke: {cause}"
