"""Limits of the ports of one process, built from its settings and applied to its connections."""

import asyncio
import contextlib
import functools
from collections import Counter
from collections.abc import Callable
from typing import Any, Self

from loguru import logger
from tornado.iostream import IOStream, SSLIOStream

from jayvalve.errors import MemoryLimitError
from jayvalve.internal.connections import Connection, ConnectionTable, allowed_connections
from jayvalve.internal.held_bytes import HeldBytes
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.settings import LimitSettings
from jayvalve.internal.timing import Clock

__all__ = ["CONNECTION_BYTES", "PortLimits", "RefusalLog"]

MEBIBYTE = 1024 * 1024
# Memory of an open connection without a request, with its task, and what TLS adds to it.
CONNECTION_BYTES = 16 * 1024
TLS_BYTES = 48 * 1024
# Unread bytes that are part of a connection's own memory.
SMALL_UNREAD_BYTES = 2 * 1024
# A buffer that grows holds its old content during the copy, and one read besides.
UNREAD_COPIES = 2
# Idle connections that may be closed for a new one, which may have TLS while they have none.
MAX_IDLE_CLOSED = 5
WATCH_INTERVAL_S = 1.0
# A process that was paused has not read what its clients sent meanwhile.
MAX_WATCH_DELAY_S = 5.0
LOG_INTERVAL_S = 10.0

_log = logger.bind(part="limits")


class RefusalLog:
    """Counts refusals in the metrics, and logs them at most once every LOG_INTERVAL_S."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._pending: Counter[str] = Counter()
        self._next_line_s = 0.0

    def record(self, purpose: str, reason: str, address: str) -> None:
        """Record one refusal, or one request or connection that had to yield."""
        self._metrics.count("jayvalve_client_refusals_total", purpose=purpose, reason=reason)
        self._pending[f"{purpose}/{reason}"] += 1
        now = self._clock.now()
        if now >= self._next_line_s:
            self._next_line_s = now + LOG_INTERVAL_S
            _log.warning(
                "limits for clients reached: {}; last address {}", dict(self._pending), address
            )
            self._pending.clear()


class PortLimits:
    """Limits of one port: the bytes held for its clients, and its connections.

    Args:
        held: Account of the bytes held.
        connections: Table of the open connections.
        stall_s: Time after which a connection without progress is closed, in seconds.
        clock: Clock of the process.
        on_refusal: Called with the purpose, a reason and the address for each closed connection.

    """

    def __init__(
        self,
        held: HeldBytes,
        connections: ConnectionTable,
        stall_s: float,
        clock: Clock,
        on_refusal: Any,
    ) -> None:
        self.held = held
        self.connections = connections
        self._stall_s = stall_s
        self._clock = clock
        self._on_refusal = on_refusal
        self._streams: dict[IOStream, Connection] = {}

    @classmethod
    def for_callers(
        cls, settings: LimitSettings, metrics: Metrics, clock: Clock, log: RefusalLog
    ) -> Self:
        """Build the limits of the HTTP port."""
        held = settings.held_mb, settings.connections
        return cls._build("caller", held, settings, metrics, clock, log)

    @classmethod
    def for_peers(
        cls, settings: LimitSettings, metrics: Metrics, clock: Clock, log: RefusalLog
    ) -> Self:
        """Build the limits of the peer port."""
        held = settings.peer_held_mb, settings.peer_connections
        return cls._build("peer", held, settings, metrics, clock, log)

    @classmethod
    def _build(
        cls,
        purpose: str,
        limits: tuple[int, int],
        settings: LimitSettings,
        metrics: Metrics,
        clock: Clock,
        log: RefusalLog,
    ) -> Self:
        held_mb, connections = limits
        share = settings.address_share
        held = HeldBytes(purpose, held_mb * MEBIBYTE, share, clock, log.record)
        table = ConnectionTable(purpose, allowed_connections(connections), share, clock, log.record)
        metrics.gauge(
            f"jayvalve_{purpose}_held_bytes",
            lambda: held.used_bytes,
            "Bytes reserved for connections and requests, with all copies.",
        )
        metrics.gauge(f"jayvalve_{purpose}_connections", lambda: len(table), "Open connections.")
        return cls(held, table, settings.stall_seconds, clock, log.record)

    def admit(self, stream: IOStream, address: Any) -> Connection | None:
        """Add a new connection; return None and close it if there is no room."""
        host = str(address[0]) if address else ""
        connection = self.connections.admit(host, stream.close)
        if connection is None:
            stream.close()
            return None
        connection.waits = lambda: connection.arriving or stream.writing()
        if not self._reserve(connection, stream):
            self.connections.remove(connection)
            stream.close()
            return None
        self._streams[stream] = connection
        _record_writes(stream, connection, self._clock)
        _record_reads(stream, functools.partial(self._count_read, connection))
        return connection

    def _reserve(self, connection: Connection, stream: IOStream) -> bool:
        """Reserve the memory of a new connection; an idle one may be closed for it."""
        size = CONNECTION_BYTES + (TLS_BYTES if isinstance(stream, SSLIOStream) else 0)
        for _ in range(MAX_IDLE_CLOSED):
            try:
                connection.share = self.held.open(connection.address, size)
            except MemoryLimitError:
                if not self.connections.yield_idle(connection):
                    break
            else:
                return True
        return False

    def hold_unread(self, connection: Connection, size: int) -> None:
        """Count bytes that wait for the rest of their message; close the connection without room.

        Args:
            connection: An admitted connection.
            size: Number of bytes that wait.

        """
        if size <= SMALL_UNREAD_BYTES:
            self.release_unread(connection)
            return
        try:
            if connection.unread is None:
                connection.unread = self.held.open(connection.address, 0, connection.close)
            if size * UNREAD_COPIES > connection.unread.size:
                connection.unread.resize(size * UNREAD_COPIES)
        except MemoryLimitError:
            # The account has recorded the refusal.
            connection.close()

    def release_unread(self, connection: Connection) -> None:
        """Return the memory of a message that has arrived in full."""
        if connection.unread is not None:
            connection.unread.close()
            connection.unread = None

    def _count_read(self, connection: Connection, size: int) -> None:
        # The share of a request in progress covers what is read of its body.
        if not connection.arriving:
            self.hold_unread(connection, size)

    def connection(self, stream: IOStream) -> Connection:
        """Return the connection of an admitted stream."""
        return self._streams[stream]

    def release(self, stream: IOStream) -> None:
        """Remove a closed connection."""
        connection = self._streams.pop(stream, None)
        if connection is not None:
            self.connections.remove(connection)
            connection.waits = lambda: False
            # The library keeps what was not read until the garbage collector finds the stream.
            stream._read_buffer = bytearray()
            stream._read_buffer_size = 0
            # Breaks the reference cycles of the stream and its replaced methods.
            for name in ("write_to_fd", "_read_to_buffer"):
                with contextlib.suppress(AttributeError):
                    delattr(stream, name)

    def progress(self, connection: Connection, arriving: bool) -> None:
        """Record that bytes of a request arrived, and whether more of its body is expected."""
        connection.arriving = arriving
        connection.last_progress_s = self._clock.now()

    async def watch(self) -> None:
        """Close stalled connections until cancelled."""
        while True:
            before_s = self._clock.now()
            await asyncio.sleep(WATCH_INTERVAL_S)
            if self._clock.now() - before_s > MAX_WATCH_DELAY_S:
                self.forgive()
            self.close_stalled()

    def forgive(self) -> None:
        """Start the time of all connections anew, after a time in which this process was paused."""
        for connection in self._streams.values():
            connection.last_progress_s = self._clock.now()

    def close_stalled(self) -> None:
        """Close the connections whose clients neither take an answer nor send a body."""
        latest_s = self._clock.now() - self._stall_s
        for stream, connection in list(self._streams.items()):
            if connection.last_progress_s < latest_s and connection.waits():
                self._on_refusal("connection", "stalled", connection.address)
                stream.close()


def _record_reads(stream: IOStream, on_held: Callable[[int], None]) -> None:
    """Call on_held with the number of unread bytes after each read from the socket."""
    read_to_buffer = stream._read_to_buffer

    def read() -> int | None:
        count = read_to_buffer()
        if stream._read_buffer_size > SMALL_UNREAD_BYTES:
            on_held(stream._read_buffer_size)
        return count

    stream._read_to_buffer = read  # type: ignore[method-assign]


def _record_writes(stream: IOStream, connection: Connection, clock: Clock) -> None:
    """Record the time of each write to the socket that took bytes."""
    write_to_fd = stream.write_to_fd

    def write(data: memoryview) -> int:
        try:
            sent = write_to_fd(data)
        finally:
            # As in the library: a reference from a traceback would keep the buffer locked.
            del data
        if sent:
            connection.last_progress_s = clock.now()
        return sent

    stream.write_to_fd = write  # type: ignore[method-assign]
