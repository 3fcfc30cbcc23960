"""HTTP server for callers."""

import asyncio
import socket
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from jayvalve.internal.gateway.calls import CallerRequest
from jayvalve.internal.gateway.client_guard import (
    ClientGuard,
    GuardedServer,
    GuardFactory,
    default_guard,
)
from jayvalve.internal.gateway.model import CallerLimits
from jayvalve.internal.http_framing import (
    Framing,
    reset_connection,
    sent_framing,
    set_reset_on_close,
)
from jayvalve.internal.timing import Clock

__all__ = ["Frontend", "HttpResponder"]

Handler = Callable[[CallerRequest, "HttpResponder"], Awaitable[None]]

# Maximum number of connections that the kernel queues until they are accepted. A burst opens many
# at once.
BACKLOG = 512
# Bodies of at least this announced size get a buffer of that size, which needs no copies to grow.
LARGE_BODY_BYTES = 64 * 1024


class HttpResponder:
    """Answers one request on its connection, in a framing that its caller understands.

    Args:
        connection: Connection of the request.
        frontend: Owner of the connection.
        line: Request line, whose method and version decide on the framing.

    """

    def __init__(
        self, connection: HTTP1Connection, frontend: "Frontend", line: RequestStartLine
    ) -> None:
        self._connection = connection
        self._frontend = frontend
        self._line = line
        self._framing: Framing | None = None
        self._finished = False
        self._closes = False

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent."""
        return self._framing is not None

    @property
    def framing(self) -> Framing | None:
        """What marks the end of the answer for the caller; None before its head."""
        return self._framing

    @property
    def finished(self) -> bool:
        """Whether the answer was completed or aborted."""
        return self._finished

    def start(
        self, status: int, reason: str, headers: HTTPHeaders, received: Framing | None = None
    ) -> None:
        """Send the head of the answer.

        Args:
            status: Status of the answer.
            reason: Reason phrase of the status.
            headers: Headers of the answer.
            received: Framing of an engine's answer that is passed on, or None.

        """
        has_length = "Content-Length" in headers
        self._framing = sent_framing(
            self._line.version, self._line.method, status, has_length, received
        )
        ends_with_connection = self._framing is Framing.CONNECTION
        self._closes = self._frontend.closing or ends_with_connection
        if self._closes:
            headers["Connection"] = "close"
        if ends_with_connection:
            # If this process is killed, the kernel closes the connection. A close in order would
            # make what was sent look complete.
            self._set_reset_on_close(True)
            # write_headers() would choose chunks, or keep the connection of an HTTP/1.0 caller.
            self._connection.write(_encode_head(status, reason, headers))
        else:
            self._connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body and wait until it is written to the connection."""
        if self._framing is Framing.NO_BODY:
            return
        try:
            written = self._connection.write(chunk)
            if not written.done():
                with self._frontend.guard.hold_unread(self._connection.stream, len(chunk)):
                    await written
            await written
        except StreamClosedError:
            # Wait for the close callback, which cancels the task of this request.
            await asyncio.sleep(1.0)

    def write_nowait(self, chunk: bytes) -> None:
        """Send a short part of the body without waiting."""
        if self._framing is not Framing.NO_BODY:
            self._connection.write(chunk)

    def finish(self) -> None:
        """End the answer as complete."""
        self._finished = True
        if self._framing is Framing.CONNECTION:
            # The kernel has all bytes of the body: write() has waited for that.
            self._set_reset_on_close(False)
        self._connection.finish()
        # The connection is closed only if the answer announced it with "Connection: close".
        # Otherwise the caller may already be sending its next request.
        if self._closes:
            self._frontend.close_when_sent(self._connection)

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete.

        Where nothing but the end of the connection ends the answer, the connection is reset.
        Otherwise it is closed in order, which loses nothing that was sent.
        """
        self._finished = True
        if self._framing is Framing.CONNECTION and self._connection.stream is not None:
            reset_connection(self._connection.stream)
        self._connection.close()

    def _set_reset_on_close(self, enabled: bool) -> None:
        if self._connection.stream is not None:
            set_reset_on_close(self._connection.stream, enabled)


def _encode_head(status: int, reason: str, headers: HTTPHeaders) -> bytes:
    lines = [
        f"HTTP/1.1 {status} {reason}",
        *(f"{name}: {value}" for name, value in headers.get_all()),
    ]
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError(f"a line of the head contains a line end: {lines!r:.200}")
    return "\r\n".join([*lines, "", ""]).encode("latin1")


class _Message(HTTPMessageDelegate):
    """Receives one request."""

    def __init__(self, frontend: "Frontend", connection: HTTP1Connection) -> None:
        self._frontend = frontend
        self._connection = connection
        self._line: Any = None
        self._headers = HTTPHeaders()
        self._body = bytearray()
        # Number of bytes received into a body whose buffer has its final size, or None.
        self._filled: int | None = None
        self._received_s = 0.0

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Store the request line and the headers."""
        self._line = start_line
        self._headers = headers
        if start_line.version == "HTTP/1.0":
            # The library would answer it with an informational response, which HTTP/1.0 lacks.
            headers.pop("Expect", None)
        # The connection is busy from now on, although the body may not have arrived yet.
        self._frontend.mark_busy(self._connection)
        self._received_s = self._frontend.clock.now()
        length = headers.get("Content-Length", "")
        if length.isdecimal() and LARGE_BODY_BYTES <= int(length) <= self._frontend.max_body_bytes:
            self._body = bytearray(int(length))
            self._filled = 0

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        if self._filled is None:
            self._body += chunk
            return
        end = self._filled + len(chunk)
        self._body[self._filled : end] = chunk
        self._filled = end

    def finish(self) -> None:
        """Serve the request, which has arrived completely."""
        line: RequestStartLine = self._line
        # The buffer is released at once, so that a body is held twice only during this copy.
        body, self._body = bytes(self._body), bytearray()
        request = CallerRequest(line.method, line.path, self._headers, body, self._received_s)
        self._frontend.serve(request, self._connection, line)

    def on_connection_close(self) -> None:
        """Drop a request that did not arrive completely."""
        self._body = bytearray()
        self._frontend.mark_idle(self._connection)


def _has_unread_bytes(stream: IOStream) -> bool:
    """Return whether a part of a request waits in this process or in the socket."""
    if stream.closed() or stream.socket is None:
        return False
    # The public interface of the library does not show the bytes that it has buffered.
    if stream._read_buffer_size:
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        # BlockingIOError: nothing has arrived. Other errors: the connection has ended.
        return False


class Frontend(HTTPServerConnectionDelegate):
    """Accepts connections of callers and runs a task for each request.

    Args:
        guard: Creates the guard of the connections, or None for one with default limits.

    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        limits: CallerLimits,
        guard: GuardFactory | None = None,
    ) -> None:
        self._guard = (guard or default_guard)(self)
        self._handler = handler
        self._clock = clock
        self._closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[Any] = set()
        self._busy: set[Any] = set()
        self._server = GuardedServer(
            self._guard,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
            idle_connection_timeout=limits.idle_timeout_s,
        )

    @property
    def clock(self) -> Clock:
        """Clock of the process."""
        return self._clock

    @property
    def guard(self) -> ClientGuard:
        """Guard of the connections."""
        return self._guard

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a body."""
        return self._server.conn_params.max_body_size

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its next answer."""
        return self._closing

    @property
    def connections(self) -> int:
        """Number of open connections, from the moment at which they are accepted."""
        return self._guard.connections

    def listen(self, address: tuple[str, int]) -> None:
        """Accept connections."""
        self._server.add_sockets(bind_sockets(address[1], address[0], backlog=BACKLOG))
        self._guard.start()

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply new limits to later requests."""
        parameters = self._server.conn_params
        parameters.max_header_size = limits.max_header_bytes
        parameters.max_body_size = limits.max_body_bytes
        parameters.header_timeout = limits.idle_timeout_s
        self._guard.set_header_timeout(limits.header_timeout_s)

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of a request."""
        self._connections.add(server_conn)
        request_conn.owner = server_conn
        return _Message(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._connections.discard(server_conn)

    def serve(self, request: CallerRequest, connection: Any, line: RequestStartLine) -> None:
        """Start a task that serves a request."""
        if connection.stream is None or connection.stream.closed():
            # tornado delivers a request that it has read even after the connection was closed.
            # The caller no longer waits for an answer.
            self.mark_idle(connection)
            return
        responder = HttpResponder(connection, self, line)
        share = self._guard.take_request(connection.stream)
        task = asyncio.ensure_future(self._run(request, responder, connection))
        self._tasks.add(task)

        def done(_: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self.mark_idle(connection)
            if share is not None:
                share.close()

        task.add_done_callback(done)
        connection.set_close_callback(task.cancel)

    def mark_busy(self, connection: Any) -> None:
        """Mark a connection as busy because a request has begun to arrive."""
        self._busy.add(connection)

    def mark_idle(self, connection: Any) -> None:
        """Mark a connection as idle because its request was answered or dropped."""
        self._busy.discard(connection)

    def begin_closing(self) -> None:
        """Close each connection after its next answer."""
        self._closing = True
        self._server.conn_params.no_keep_alive = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being served or has begun to arrive."""
        busy = {connection.owner for connection in self._busy}
        for server_conn in list(self._connections - busy):
            if not _has_unread_bytes(server_conn.stream):
                server_conn.stream.close()

    def close_when_sent(self, connection: Any) -> None:
        """Close a connection once its answer has been sent."""
        connection.no_keep_alive = True
        stream = connection.stream

        async def close() -> None:
            while stream.writing() and not stream.closed():
                await asyncio.sleep(0.01)
            stream.close()

        task = asyncio.ensure_future(close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections and cancel the requests on them."""
        self._server.stop()
        self._guard.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close_all_connections()

    async def _run(self, request: CallerRequest, responder: HttpResponder, connection: Any) -> None:
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError as error:
            # The frames of the error hold the body, and references among them would keep it until
            # the garbage collector runs.
            traceback.clear_frames(error.__traceback__)
            raise
        finally:
            del request
            if not responder.finished:
                responder.abort()
