"""A process deployment whose peer connections pass through proxies of the test."""

import asyncio
import contextlib
import pathlib
import sys
from typing import Any

from jayvalve.deployments.processes import ProcessDeployment
from jayvalve.internal.wire import HEADER, decode

__all__ = ["ProxiedDeployment"]

LAUNCHER = pathlib.Path(__file__).with_name("shifted.py")
CHUNK_BYTES = 65_536
# A process that reads a late message and the end of its connection at the same moment may drop
# the message; the end therefore follows later.
LATE_CLOSE_S = 1.0


class _Connection:
    """One proxied connection; while it is silent it stays open and forwards nothing."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.was_silent = False

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction until its end; the end of a silent connection waits, too."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.flowing.wait()
                writer.write(data)
                await writer.drain()
        await self.flowing.wait()
        if self.was_silent:
            await asyncio.sleep(LATE_CLOSE_S)
        writer.close()


class PeerProxy:
    """Forwards the connections to one process and knows each one's source by its Hello."""

    def __init__(self, address: str, hidden_port: int) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._hidden_port = hidden_port
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def hidden_port(self) -> int:
        """Port on which the process itself listens."""
        return self._hidden_port

    async def start(self) -> None:
        """Listen on the announced address."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    def close(self) -> None:
        """Stop listening; the connections end with the test's event loop."""
        if self._server is not None:
            self._server.close()

    def silence(self, source: str) -> int:
        """Make the open connections from an instance silent and return their number."""
        found = [item for item in self._connections if item.source == source]
        for connection in found:
            connection.flowing.clear()
            connection.was_silent = True
        return len(found)

    def restore(self, source: str) -> None:
        """Deliver what the silent connections from an instance hold back."""
        for connection in self._connections:
            if connection.source == source:
                connection.flowing.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream: asyncio.StreamWriter | None = None
        try:
            prefix = await reader.readexactly(HEADER.size)
            hello = prefix + await reader.readexactly(HEADER.unpack(prefix)[0])
            connection = _Connection(decode(hello[HEADER.size :]).message.instance)
            answers, upstream = await asyncio.open_connection(self._host, self._hidden_port)
            upstream.write(hello)
            self._connections.add(connection)
            try:
                await asyncio.gather(
                    connection.pump(reader, upstream), connection.pump(answers, writer)
                )
            finally:
                self._connections.discard(connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if upstream is not None:
                upstream.close()


class ProxiedDeployment(ProcessDeployment):
    """Puts a proxy in front of the peer socket of every entry and sidecar."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        self._proxies: dict[str, PeerProxy] = {}
        super().__init__(*arguments, **named)

    async def start(self) -> None:
        """Start the proxies and the deployment."""
        for proxy in self._proxies.values():
            await proxy.start()
        await super().start()

    def proxy(self, name: str) -> PeerProxy:
        """Return the proxy in front of a process."""
        return self._proxies[name]

    def close(self) -> None:
        """End the processes and the proxies."""
        super().close()
        for proxy in self._proxies.values():
            proxy.close()

    def _add(self, name: str, arguments: list[str]) -> None:
        super()._add(name, arguments)
        if name in self._peer:
            address = self._peer[name]
            hidden = self.ports.take()
            self._proxies[name] = PeerProxy(address, hidden)
            command = [sys.executable, str(LAUNCHER), address, str(hidden), *arguments]
            self._processes[name].arguments = command
