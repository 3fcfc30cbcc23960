"""HTTP server that bounds what it holds for its clients."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from jayvalve.errors import JayvalveError, MemoryLimitError
from jayvalve.internal.connections import Connection
from jayvalve.internal.held_bytes import COPIES, Share
from jayvalve.internal.port_limits import PortLimits

__all__ = ["BoundedHttpServer", "release_share", "share_of"]

# Size of a read from a connection.
READ_BYTES = 16 * 1024
# Bodies without an announced length are reserved in steps.
STEP_BYTES = 64 * 1024
# Time in which the rest of a refused body is read and dropped. Closing the connection at once
# could discard the answer before the client has read it.
LINGER_S = 1.0


def share_of(request: HTTPServerRequest) -> Share | None:
    """Return the share of a request's body, None if it has no body."""
    return getattr(request.connection.context, "held_share", None)  # type: ignore[union-attr]


def release_share(request: HTTPServerRequest) -> None:
    """Drop the connection's reference to the share; a call that runs on may still have one."""
    if request.connection is not None:
        request.connection.context.held_share = None  # type: ignore[attr-defined]


class BoundedHttpServer(HTTPServer):
    """HTTP server that decides at the head of a request whether there is room for its body."""

    def initialize(  # type: ignore[override]
        self, request_callback: Any, limits: PortLimits, max_body_size: int, **settings: Any
    ) -> None:
        """Set the application, the limits and the settings of the library's server."""
        super().initialize(
            request_callback, max_body_size=max_body_size, chunk_size=READ_BYTES, **settings
        )
        self._limits = limits
        self._max_body_bytes = max_body_size

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection if there is room for it."""
        if self._limits.admit(stream, address) is not None:
            super().handle_stream(stream, address)

    def start_request(self, server_conn: Any, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Return the receiver of the next request of a connection."""
        connection = self._limits.connection(server_conn.stream)
        if connection.running:
            self._limits.connections.complete(connection)
        server_conn.context.held_share = None
        delegate = super().start_request(server_conn, request_conn)
        return _BoundedRequest(
            delegate, request_conn, connection, self._limits, self._max_body_bytes
        )

    def on_close(self, server_conn: Any) -> None:
        """Forget a closed connection."""
        server_conn.context.held_share = None
        self._limits.release(server_conn.stream)
        super().on_close(server_conn)


class _BoundedRequest(HTTPMessageDelegate):
    """Receives one request and passes it on, unless there is no room for its body."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        request_conn: Any,
        connection: Connection,
        limits: PortLimits,
        max_body_bytes: int,
    ) -> None:
        self._delegate: HTTPMessageDelegate | None = delegate
        self._request_conn: HTTP1Connection = request_conn
        self._connection = connection
        self._limits = limits
        self._max_body_bytes = max_body_bytes
        self._share: Share | None = None
        self._received = 0
        self._method = ""
        self._expects_continue = False

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> Any:
        """Reserve room for the announced body, or refuse the request."""
        assert isinstance(start_line, RequestStartLine) and self._delegate is not None
        if self._request_conn.stream.closed():
            # The library would serve the pipelined requests that it has read before the client
            # disconnected, while nobody reads the answers. Detaching ends the connection instead.
            self._request_conn.detach()
            return None
        self._limits.release_unread(self._connection)
        self._limits.connections.begin(self._connection)
        self._method = start_line.method
        self._expects_continue = headers.get("Expect", "").lower() == "100-continue"
        has_body, announced = _announced_bytes(headers, self._max_body_bytes)
        if has_body:
            self._limits.progress(self._connection, arriving=True)
            try:
                self._share = self._limits.held.open(
                    self._connection.address, announced * COPIES, self._yield
                )
            except MemoryLimitError as error:
                self._refuse(error)
                return None
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Pass on a part of the body; a body without announced length needs room for it."""
        if self._delegate is None or self._share is None:
            return None
        self._limits.progress(self._connection, arriving=True)
        self._received += len(chunk)
        self._share.receive(len(chunk))
        needed = self._received * COPIES
        if needed > self._share.size:
            try:
                self._share.resize(needed + STEP_BYTES * COPIES)
            except MemoryLimitError as error:
                self._refuse(error)
                return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Pass on the request, which has arrived in full."""
        self._connection.arriving = False
        delegate, self._delegate = self._delegate, None
        share, self._share = self._share, None
        if delegate is None:
            self._close_when_written()
            return
        if share is not None:
            share.complete()
        # Only the handler keeps the share and the body, so that both end with it.
        self._request_conn.context.held_share = share  # type: ignore[union-attr]
        delegate.finish()

    def on_connection_close(self) -> None:
        """Return the room of a request whose connection broke before it had arrived."""
        self._connection.arriving = False
        delegate = self._drop()
        if delegate is not None:
            delegate.on_connection_close()

    def _drop(self) -> HTTPMessageDelegate | None:
        delegate, self._delegate = self._delegate, None
        if self._share is not None:
            self._share.close()
            self._share = None
        return delegate

    def _yield(self) -> None:
        self._refuse(MemoryLimitError("the body arrived too slowly; the request was not run"))

    def _refuse(self, error: JayvalveError) -> None:
        """Answer with an error, then drop the rest of the body and close the connection."""
        # No share covers what is read of the rest.
        self._connection.arriving = False
        delegate = self._drop()
        if delegate is not None:
            delegate.on_connection_close()
        body = json.dumps(error.as_document()).encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json; charset=UTF-8",
                "Content-Length": str(len(body)),
                "Jayvalve-Verdict": str(error.verdict),
                "Retry-After": str(max(1, round(error.retry_after_s or 0))),
                "Connection": "close",
            }
        )
        line = ResponseStartLine("HTTP/1.1", error.status, error.status.phrase)
        self._written = self._request_conn.write_headers(
            line, headers, None if self._method == "HEAD" else body
        )
        if self._expects_continue:
            # The client waits with its body, and finish keeps the library from asking for it.
            self._request_conn.finish()
        else:
            asyncio.get_running_loop().call_later(LINGER_S, self._close_when_written)

    def _close_when_written(self) -> None:
        # A client that does not take the answer is closed as stalled.
        close: Callable[[Any], None] = lambda _: self._request_conn.close()  # noqa: E731
        self._written.add_done_callback(close)


def _announced_bytes(headers: HTTPHeaders, max_bytes: int) -> tuple[bool, int]:
    """Return whether the request has a body, and its announced length, 0 if there is none.

    The library refuses bodies with an invalid length and those above max_bytes.
    """
    if "Transfer-Encoding" in headers:
        return True, 0
    text = headers.get("Content-Length", "0").partition(",")[0]
    length = int(text) if text.isascii() and text.isdigit() and len(text) < 20 else 0
    return 0 < length <= max_bytes, length
