"""Admission of connections and requests to an HTTP server, by the memory that they need."""

import asyncio
import contextlib
import functools
import json
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

import attrs
from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError

from jayvalve.errors import MemoryLimitError
from jayvalve.internal.gateway.memory import MemoryAccount, MemoryLimits, MemoryShare, Purpose
from jayvalve.internal.http_framing import reset_connection
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock

__all__ = ["ClientGuard", "GuardFactory", "GuardLimits", "GuardedServer", "default_guard"]

_log = logger.bind(part="client_guard")

# Size of a read from a connection. A head of the largest size needs one or two reads, and the
# library holds up to twice this size of requests that a caller sends ahead.
READ_BYTES = 16 * 1024
# Bytes of a head that are part of a connection's share.
SMALL_HEAD_BYTES = 2 * 1024
# A bytearray that grows holds up to an eighth more than its content.
GROWTH = 9 / 8
MS_PER_S = 1000.0
# Digits of an announced length that count; the limit of bodies is far lower.
MAX_LENGTH_DIGITS = 15
_HEAD_TIMEOUT = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
# Budget of a server that is given no account of its process, in bytes.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024

GuardFactory = Callable[[HTTPServerConnectionDelegate], "ClientGuard"]


@attrs.frozen
class GuardLimits:
    """Limits of one server.

    Attributes:
        max_connections: Maximum number of open connections.
        connection_bytes: Memory of an open connection without a request.
        request_bytes: Memory of a request without its body: its headers, its task, its connection
            to an engine, and the bytes that are read ahead.
        body_copies: Number of copies of a body that are held at the same time.
        step_bytes: Bytes by which the memory of a body without an announced length grows.
        relay_bytes: Bytes of an answer that wait behind a part that the caller does not take: the
            queue and the read buffer of the connection to the engine.
        linger_s: Time for which the body of a refused request is read and dropped, in seconds. A
            connection that is closed while bytes arrive is reset, which may discard the refusal
            before its caller reads it.
        unread_s: Time after which a connection whose caller takes nothing of an answer is reset,
            in seconds.
        sweep_s: Time between two searches for such connections, in seconds.
        log_s: Minimum time between two log lines for refusals of the same reason, in seconds.

    """

    max_connections: int = 10_000
    connection_bytes: int = 12 * 1024
    request_bytes: int = 32 * 1024
    body_copies: int = 1
    step_bytes: int = 64 * 1024
    relay_bytes: int = 128 * 1024
    linger_s: float = 1.0
    unread_s: float = 15.0
    sweep_s: float = 1.0
    log_s: float = 1.0


class GuardedStream(IOStream):
    """Connection of a client; drops what was not read when it closes.

    The library keeps those bytes until the garbage collector finds the connection, so that clients
    that connect again and again fill the memory.
    """

    # Called with the number of bytes that are held, if these are more than a connection's share
    # allows for.
    on_held: Callable[[int], None] | None = None

    def _read_to_buffer(self) -> int | None:
        count = super()._read_to_buffer()
        if self._read_buffer_size > SMALL_HEAD_BYTES and self.on_held is not None:
            self.on_held(self._read_buffer_size)
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the connection."""
        super().close(exc_info)
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        if self.error is not None:
            # An error of a write refers to the frames of the request that was being answered, and
            # through them to its body.
            self.error.__traceback__ = None
            self.error.__context__ = None

    @property
    def holds_bytes(self) -> bool:
        """Whether bytes were read from the socket that no request has taken."""
        return self._read_buffer_size > 0

    @property
    def bytes_written(self) -> int:
        """Number of bytes that the kernel has taken."""
        return self._total_write_done_index


@attrs.define(eq=False)
class _Client:
    """One connection.

    Attributes:
        head: Share of the connection.
        request: Share of the request in progress, or None if the connection does not own one.
        busy: Whether a request is in progress, from its head until its answer was written.
        written: Number of bytes that were written when the last sweep saw progress.
        written_s: Time of that sweep.
        head_s: Time of the first sweep that saw a part of a head, or None.
        drains: Whether the rest of a refused request is read and dropped.

    """

    stream: GuardedStream
    party: str
    head: MemoryShare
    request: MemoryShare | None = None
    busy: bool = False
    written: int = 0
    written_s: float = 0.0
    head_s: float | None = None
    drains: bool = False


class _GuardedMessage(HTTPMessageDelegate):
    """Receives one request and refuses it where it has no room."""

    def __init__(
        self,
        guard: "ClientGuard",
        client: _Client,
        connection: HTTP1Connection,
        inner: HTTPMessageDelegate,
    ) -> None:
        self._guard = guard
        self._client = client
        self._connection = connection
        self._inner = inner
        self._refused = False
        self._has_answer_body = True
        self._share: MemoryShare | None = None
        self._chunked_bytes: int | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> Any:
        """Decide from the head whether there is room for the request."""
        self._has_answer_body = start_line.method != "HEAD"
        limits = self._guard.limits
        share = self._guard.open_request(self._client, lambda: self._refuse("yielded"))
        self._share = self._client.request = share
        self._client.busy = True
        self._client.head.force(limits.connection_bytes)
        need = limits.request_bytes
        if "Transfer-Encoding" in headers:
            self._chunked_bytes = 0
            need += limits.step_bytes
        else:
            need += limits.body_copies * _announced_length(headers)
        if not self._guard.account.make_room(share, need):
            # The library would send an informational response after the refusal.
            headers.pop("Expect", None)
            self._send_refusal("no_room")
            return None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Pass on a part of the body, or drop it if the request was refused."""
        if self._refused or self._share is None:
            return None
        self._share.progress(len(chunk))
        if self._chunked_bytes is not None:
            self._chunked_bytes += len(chunk)
            limits = self._guard.limits
            need = limits.request_bytes + int(limits.body_copies * self._chunked_bytes * GROWTH)
            if need > self._share.held_bytes and not self._guard.account.make_room(
                self._share, need + limits.step_bytes
            ):
                self._refuse("no_room")
                return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Pass on the end of the request, which cannot be refused any more."""
        if self._refused:
            # Without further bytes to read, the refusal is not lost when the connection closes.
            if not self._client.stream.writing():
                self._client.stream.close()
            return
        if self._share is not None:
            self._share.keep()
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Pass on the end of the connection."""
        if not self._refused:
            self._inner.on_connection_close()

    def _refuse(self, reason: str) -> None:
        """Refuse a request whose body is arriving."""
        if not self._refused:
            self._inner.on_connection_close()
            self._send_refusal(reason)

    def _send_refusal(self, reason: str) -> None:
        self._refused = self._client.drains = True
        if self._share is not None:
            self._share.close()
        self._guard.record(reason, self._client.party)
        error = MemoryLimitError("the gateway has no memory for this request now")
        body = json.dumps(error.as_document()).encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Retry-After": f"{error.retry_after_s:.2f}",
                "Connection": "close",
            }
        )
        line = ResponseStartLine("HTTP/1.1", error.status, HTTPStatus(error.status).phrase)
        with contextlib.suppress(StreamClosedError):
            self._connection.write_headers(line, headers, body if self._has_answer_body else None)
        self._guard.close_later(self._client)


def _announced_length(headers: HTTPHeaders) -> int:
    """Return the announced length of a body; 0 for a malformed one, which the library refuses.

    The library accepts equal repeated values and leading zeros.
    """
    value = headers.get("Content-Length", "").partition(",")[0].strip()
    if not (value.isascii() and value.isdigit()):
        return 0
    return int(value.lstrip("0")[:MAX_LENGTH_DIGITS] or "0")


class ClientGuard(HTTPServerConnectionDelegate):
    """Stands before a server's delegate, and lets in what there is room for.

    Args:
        inner: Delegate that serves the requests.
        account: Memory that all servers of the process share.
        purpose: What the requests of this server are counted as.
        metrics: Metrics that count refusals, or None.

    """

    def __init__(
        self,
        inner: HTTPServerConnectionDelegate,
        account: MemoryAccount,
        limits: GuardLimits,
        purpose: Purpose = Purpose.BODY,
        metrics: Metrics | None = None,
    ) -> None:
        self._inner = inner
        self._account = account
        self._limits = limits
        self._purpose = purpose
        self._metrics = metrics
        # In the order in which they were opened.
        self._clients: dict[IOStream, _Client] = {}
        self._logged_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}
        self._sweeps: PeriodicCallback | None = None
        self._header_timeout_s: float | None = None

    @property
    def account(self) -> MemoryAccount:
        """Memory that all servers of the process share."""
        return self._account

    @property
    def limits(self) -> GuardLimits:
        """Limits of the server."""
        return self._limits

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._clients)

    def set_header_timeout(self, seconds: float | None) -> None:
        """Set the time within which a head must be complete once it has begun to arrive."""
        self._header_timeout_s = seconds

    def admit(self, stream: GuardedStream, party: str) -> bool:
        """Return whether a new connection may stay; an idle one may be closed for it."""
        if len(self._clients) >= self._limits.max_connections and not self._close_idle(party):
            self.record("connections", party)
            return False
        head = self._account.open(Purpose.HEAD, party)
        if not head.resize(self._limits.connection_bytes):
            self.record("no_room", party)
            return False
        client = _Client(stream, party, head, written_s=self._account.clock.now())
        self._clients[stream] = client
        stream.on_held = functools.partial(self._count_head, client)
        return True

    def _count_head(self, client: _Client, size: int) -> None:
        """Count the unread bytes of a connection; those of a request are part of its share."""
        if client.busy and not client.drains:
            return
        size += self._limits.connection_bytes
        if size > client.head.held_bytes and not self._account.make_room(client.head, size):
            self.record("no_room", client.party)
            reset_connection(client.stream)

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of a request.

        The library calls this method as soon as the earlier request on the connection is answered
        and its answer was written, so the share of that request ends here.
        """
        inner = self._inner.start_request(server_conn, request_conn)
        client = self._clients[server_conn.stream]
        _end_request(client)
        return _GuardedMessage(self, client, request_conn, inner)

    def on_close(self, server_conn: Any) -> None:
        """Release what a closed connection held."""
        client = self._clients.pop(server_conn.stream, None)
        if client is not None:
            _end_request(client)
            client.head.close()
        self._inner.on_close(server_conn)

    def open_request(self, client: _Client, on_yield: Any) -> MemoryShare:
        """Return the share of a request."""
        return self._account.open(self._purpose, client.party, on_yield)

    def take_request(self, stream: IOStream) -> MemoryShare | None:
        """Hand over the share of the request on a connection, which the caller must close.

        A request may outlast its connection, and holds its body until it has ended.
        """
        client = self._clients.get(stream)
        if client is None:
            return None
        share, client.request = client.request, None
        return share

    @contextlib.contextmanager
    def hold_unread(self, stream: IOStream, size: int) -> Iterator[None]:
        """Count a part of an answer that waits for its caller; reset the connection if it must."""
        client = self._clients.get(stream)
        if client is None:
            yield
            return

        def reset(reason: str = "yielded") -> None:
            self.record(reason, client.party)
            reset_connection(stream)

        with self._account.open(Purpose.ANSWER, client.party, reset) as share:
            if not self._account.make_room(share, size + self._limits.relay_bytes):
                reset("no_room")
            yield

    def close_later(self, client: _Client) -> None:
        """Close a connection whose request was refused after its caller had time to read that."""
        asyncio.get_running_loop().call_later(self._limits.linger_s, client.stream.close)

    def record(self, reason: str, party: str) -> None:
        """Count a refusal, and log it unless one of the same reason was logged just before."""
        if self._metrics is not None:
            self._metrics.count("jayvalve_gateway_client_refusals_total", reason=reason)
        now = self._account.clock.now()
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        if now < self._logged_s.get(reason, 0.0):
            return
        self._logged_s[reason] = now + self._limits.log_s
        _log.bind(
            reason=reason,
            count=self._unlogged.pop(reason),
            last_address=party,
            held_bytes=self._account.used_bytes,
            connections=len(self._clients),
        ).warning("refused clients")

    def start(self) -> None:
        """Begin to reset connections whose callers take nothing of an answer."""
        if self._sweeps is None:
            self._sweeps = PeriodicCallback(self._sweep, self._limits.sweep_s * MS_PER_S)
            self._sweeps.start()

    def stop(self) -> None:
        """Stop the sweeps."""
        if self._sweeps is not None:
            self._sweeps.stop()

    def _sweep(self) -> None:
        now = self._account.clock.now()
        for client in list(self._clients.values()):
            stream = client.stream
            if not stream.writing() or stream.bytes_written != client.written:
                client.written, client.written_s = stream.bytes_written, now
            elif now - client.written_s >= self._limits.unread_s:
                self.record("unread", client.party)
                reset_connection(stream)
            self._check_head(client, now)

    def _check_head(self, client: _Client, now: float) -> None:
        if self._header_timeout_s is None or client.busy or not client.stream.holds_bytes:
            client.head_s = None
        elif client.head_s is None:
            client.head_s = now
        elif now - client.head_s >= self._header_timeout_s:
            self.record("head", client.party)
            with contextlib.suppress(StreamClosedError):
                client.stream.write(_HEAD_TIMEOUT)
            client.stream.close()

    def _close_idle(self, party: str) -> bool:
        """Close an idle connection of the party with the most connections, the newest one.

        Nothing is closed for a new connection of that same party.
        """
        counts: dict[str, int] = {}
        for client in self._clients.values():
            if not client.stream.closed():
                counts[client.party] = counts.get(client.party, 0) + 1
        if not counts:
            return False
        largest = max(counts, key=lambda name: counts[name])
        if largest == party:
            return False
        for client in reversed(self._clients.values()):
            if client.party == largest and not client.busy and not client.stream.closed():
                self.record("connections", client.party)
                client.stream.close()
                return True
        return False


def default_guard(delegate: HTTPServerConnectionDelegate) -> ClientGuard:
    """Return a guard with an account of its own."""
    account = MemoryAccount(MemoryLimits(DEFAULT_MEMORY_BYTES), Clock())
    return ClientGuard(delegate, account, GuardLimits())


def _end_request(client: _Client) -> None:
    client.busy = False
    if client.request is not None:
        client.request.close()
        client.request = None


class GuardedServer(HTTPServer):
    """HTTP server behind a ClientGuard."""

    def initialize(self, guard: ClientGuard, **options: Any) -> None:
        """Initialize the server, with the options of the library's server."""
        self._guard = guard
        super().initialize(guard, chunk_size=READ_BYTES, **options)

    def on_close(self, server_conn: Any) -> None:
        """Release a closed connection; the library's server does not tell its delegate."""
        super().on_close(server_conn)
        self._guard.on_close(server_conn)

    def _handle_connection(self, connection: Any, address: Any) -> None:
        stream = GuardedStream(connection, read_chunk_size=READ_BYTES)
        if self._guard.admit(stream, str(address[0])):
            self.handle_stream(stream, address)
        else:
            reset_connection(stream)
