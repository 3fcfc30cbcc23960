"""Pool of connections to other processes, one for each address."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator
from typing import Any

from jayvalve.internal.timing import Clock
from jayvalve.internal.transport.connection import PeerConnection
from jayvalve.internal.wire.messages import Hello

__all__ = ["PeerPool"]

# With more than 16 processes, each peer is probed once every N seconds, where N is the number
# of peers. Keeping all connections open between probes would cost 18 KB and two descriptors
# per peer, which is 2,000 descriptors at 1,010 processes.
IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 5.0


class PeerPool:
    """Opens a connection to each address on first use and replaces it when it fails.

    When a connection is requested, but at most every SWEEP_INTERVAL_S, the pool closes the
    connections that were not used within IDLE_TIMEOUT_S and have no pending requests.
    """

    def __init__(
        self, identity: Hello, clock: Clock, ssl_options: ssl.SSLContext | None = None
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._ssl_options = ssl_options
        self._connections: dict[str, PeerConnection] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._last_used_s: dict[str, float] = {}
        self._next_sweep_s = clock.now() + SWEEP_INTERVAL_S

    @property
    def connection_count(self) -> int:
        """Number of connections in the pool."""
        return len(self._connections)

    def use_ssl_options(self, ssl_options: ssl.SSLContext) -> None:
        """Use these TLS options for connections that are opened from now on.

        Called after the TLS files were reloaded, for example with renewed certificates.
        """
        self._ssl_options = ssl_options

    async def connection(self, address: str) -> PeerConnection:
        """Return an open connection to ``ip:port``.

        Raises:
            PeerUnavailableError: no connection could be established; verdict not_run.

        """
        await self._close_idle()
        self._last_used_s[address] = self._clock.now()
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None and not existing.closed:
                return existing
            if existing is not None:
                await existing.close()
            opened = await PeerConnection.open(
                address, self._identity, self._clock, self._ssl_options
            )
            self._connections[address] = opened
            return opened

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request and return its only reply.

        Raises:
            PeerUnavailableError: verdict not_run if no connection could be established,
                otherwise may_have_run.
            InvalidFrameError: the request exceeds MAX_FRAME_BYTES.
            JayvalveError: the peer reported this error.

        """
        connection = await self.connection(address)
        return await connection.call(message, timeout_s)

    async def stream(self, address: str, message: Any, timeout_s: float) -> AsyncIterator[Any]:
        """Send a request and yield its replies; raises the same errors as call."""
        connection = await self.connection(address)
        async with contextlib.aclosing(connection.stream(message, timeout_s)) as replies:
            async for reply in replies:
                yield reply

    async def _close_idle(self) -> None:
        now = self._clock.now()
        if now < self._next_sweep_s:
            return
        self._next_sweep_s = now + SWEEP_INTERVAL_S
        idle_cutoff_s = now - IDLE_TIMEOUT_S
        for address, last_used_s in list(self._last_used_s.items()):
            lock, connection = self._locks.get(address), self._connections.get(address)
            busy = (lock and lock.locked()) or (connection and connection.has_pending_requests)
            if last_used_s > idle_cutoff_s or busy:
                continue
            del self._last_used_s[address]
            self._locks.pop(address, None)
            if self._connections.pop(address, None) is not None:
                await connection.close()

    async def close(self) -> None:
        """Close all connections."""
        connections = list(self._connections.values())
        self._connections.clear()
        for connection in connections:
            await connection.close()
