"""One request and its response on a connection of the HTTP client."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Any, Protocol

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

from jayvalve.internal.gateway.buffers import AnswerBuffers
from jayvalve.internal.http_framing import Framing, check_status, received_framing
from jayvalve.internal.timing import Clock

__all__ = [
    "Address",
    "BrokenConnectionError",
    "ClientRequest",
    "ClientStream",
    "Connection",
    "ConnectionOwner",
    "Exchange",
    "ExchangeLimits",
    "ResponseHead",
]

_log = logger.bind(part="http_client")

Address = tuple[str, int]

# Maximum number of chunks queued for a slow reader. The client stops reading from the endpoint
# while the queue is full.
_MAX_QUEUED_CHUNKS = 4
# After this many bytes of a body without a wait, other tasks get a turn. Otherwise an endpoint that
# sends faster than its answer is processed would stop them.
_MAX_BYTES_PER_TURN = 16 * 1024
# A body up to this size is sent together with the head in one call of the system.
_MAX_JOINED_BODY_BYTES = 64 * 1024


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
    """Status line and headers of a response, and what marks its end."""

    status: int
    reason: str
    headers: HTTPHeaders
    framing: Framing


class ExchangeLimits(Protocol):
    """Limits that apply to one exchange; see PoolSettings."""

    silent_after_s: float
    max_skipped_responses: int
    max_skipped_bytes: int
    max_buffer_bytes: int


class ConnectionOwner(Protocol):
    """What an exchange tells the pool that its connection belongs to."""

    @property
    def clock(self) -> Clock:
        """Clock of the process."""

    @property
    def buffers(self) -> AnswerBuffers:
        """Memory for the bodies that are collected whole."""

    def release(self, connection: "Connection", head: ResponseHead) -> None:
        """Keep a connection for reuse after a complete response, or close it."""

    def discard_unproven(self, address: Address, since_s: float) -> None:
        """Close the idle connections to an address that have carried nothing since a time."""


class ClientStream(IOStream):
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
class Connection:
    """A connection to an endpoint; the pool sets the times while it is idle."""

    address: Address
    stream: ClientStream
    idle_since_s: float = 0.0
    idle_limit_s: float = 0.0


_END = object()
_BROKEN = object()


class Exchange(HTTPMessageDelegate):
    """One request and its response, on one connection."""

    def __init__(
        self,
        pool: ConnectionOwner,
        connection: Connection,
        parameters: HTTP1ConnectionParameters,
        settings: ExchangeLimits,
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
        self._method = ""
        self._head: ResponseHead | None = None
        self._skipping = False
        self._skipped_count = 0
        self._skipped_bytes = 0
        self._cause: str | None = None
        self._complete = False
        self._aborted = False
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
        self._method = request.method
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        connection = HTTP1Connection(self._connection.stream, True, self._parameters)
        line = RequestStartLine(request.method, request.target, "HTTP/1.1")
        if len(request.body) <= _MAX_JOINED_BODY_BYTES:
            connection.write_headers(line, headers, request.body or None)
        else:
            # The library copies a body that it joins to the head.
            connection.write_headers(line, headers)
            connection.write(request.body)
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
        processed = 0
        while True:
            if processed >= _MAX_BYTES_PER_TURN:
                await asyncio.sleep(0)
                processed = 0
            item = await self._items.get()
            if item is _END:
                return
            if item is _BROKEN:
                raise BrokenConnectionError(self._describe_break())
            yield item
            processed += len(item)

    async def body(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenConnectionError: As for chunks(), or the body exceeds max_buffer_bytes, or the
                bodies in progress hold too much memory.

        """
        body = bytearray()
        with self._pool.buffers.open() as share:
            async for chunk in self.chunks():
                body += chunk
                if len(body) > self._settings.max_buffer_bytes:
                    self._break(f"the body exceeds {self._settings.max_buffer_bytes} bytes")
                elif not share.resize(len(body)):
                    self._break("the bodies in progress hold too much memory")
                else:
                    continue
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
            # While chunks are queued, it is the reader who is slow.
            is_waiting = not stream.closed() and self._items.empty()
            if is_waiting and silent_s >= self._settings.silent_after_s:
                self._pool.discard_unproven(self._connection.address, self._heard_s)
            self._aborted = True
            # Lets a reader that waits for space go on, so that it ends with the connection.
            while not self._items.empty():
                self._items.get_nowait()
            stream.close()

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Handle the head of a response."""
        self._heard_s = self._pool.clock.now()
        assert isinstance(start_line, ResponseStartLine)
        if self._cause is not None:
            # The library goes on with what it has read before the connection was closed.
            return
        try:
            check_status(start_line.code)
        except ValueError as error:
            self._break(str(error))
            return
        if start_line.code < HTTPStatus.OK:
            return
        framing = received_framing(self._method, start_line.code, headers)
        head = ResponseHead(start_line.code, start_line.reason, headers, framing)
        self._skipping = self._accepts is not None and not self._accepts(head)
        if not self._skipping:
            self._head = head
            self._items.put_nowait(head)

    async def data_received(self, chunk: bytes) -> None:
        """Queue a part of the body; waits while the queue is full."""
        self._heard_s = self._pool.clock.now()
        if self._aborted or self._cause is not None:
            return
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
        # A body without a length ends with its connection. It is incomplete after a reset, or if
        # this process has closed the connection.
        closed_here = self._cause is not None or self._aborted
        self._complete = self._connection.stream.error is None and not closed_here

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
        if not self._aborted:
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
