"""Connections to other processes, one for each address."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from typing import Any

from jayvalve.internal.timing import Clock
from jayvalve.internal.transport.connection import PeerConnection
from jayvalve.internal.wire.messages import Hello

__all__ = ["PeerPool"]


class PeerPool:
    """Opens a connection to each address on first use and replaces it when it fails."""

    def __init__(
        self, identity: Hello, clock: Clock, ssl_options: ssl.SSLContext | None = None
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._ssl_options = ssl_options
        self._connections: dict[str, PeerConnection] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def connection(self, address: str) -> PeerConnection:
        """Return an open connection to ``ip:port``.

        Raises:
            PeerUnavailableError: no connection could be made; verdict not_run.

        """
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
            PeerUnavailableError: verdict not_run if nothing was sent, else may_have_run.
            JayvalveError: the peer reported this error.

        """
        connection = await self.connection(address)
        return await connection.call(message, timeout_s)

    async def stream(self, address: str, message: Any, timeout_s: float) -> AsyncIterator[Any]:
        """Send a request and yield its replies; errors as for call."""
        connection = await self.connection(address)
        async for reply in connection.stream(message, timeout_s):
            yield reply

    async def close(self) -> None:
        """Close all connections."""
        connections = list(self._connections.values())
        self._connections.clear()
        for connection in connections:
            await connection.close()
