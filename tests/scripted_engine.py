"""An engine that answers with scripted bytes and ends its answers in any way."""

import asyncio
import contextlib
import re
import socket
import struct

from jayvalve.internal.gateway.model import EngineState
from tests.ports import HOST, free_port

__all__ = [
    "ENDS",
    "EVENTS",
    "HOLD_S",
    "KILL",
    "STAYS",
    "ScriptedEngine",
    "cut_stream",
    "success",
]

KILL = "kill"
# How an engine can be gone after an answer: "leave" announces it before, "silent" neither takes nor
# refuses connections, "replace" has another engine at its address, "restart" itself.
ENDS = (KILL, "leave", "silent", "replace", "restart")
# How the engine of an answer can stay: "serve" announces that it leaves and goes on, "hold" keeps
# the connection open without a further byte.
STAYS = ("close", "reset", "hold", "serve")
# Requests that any process answers without running anything, also when it follows the engine at its
# address: health checks of gateways, and the control requests and pings of sidecars.
CHECKS = ("GET /health ", "GET /load ", "GET /kv/", "OPTIONS * ")
HOLD_S = 0.3
# The events of a whole stream.
EVENTS = [f"id: {number}\ndata: part {number}\n\n" for number in range(1, 5)]
MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


class ScriptedEngine:
    """An engine that answers each request with the bytes that a function returns.

    Args:
        answer: Called with the number of the request, from 0, and its id. Returns the bytes to
            write, and whether the connection is closed after them, or one of ENDS or STAYS.

    Attributes:
        version: Version of the software in the engine's entry.
        delays_bodies: Whether no body comes with its head.
        stream_delay_s: Time between the head and the events of a stream, in seconds.
        idle_s: Time after which idle connections are closed, in seconds, or None.
        last_event_id: Value of that header in the last request, or None.
        ending: Number of answers whose end is not over.

    """

    version = "v1"
    delays_bodies = False
    stream_delay_s = 0.02
    idle_s = None
    name = "endpoint"

    def __init__(self, answer):
        self.answer = answer
        self.requests = []
        self.bodies = []
        self.checks = 0
        self.ended = False
        self.leaves = False
        self.last_event_id = None
        self.ending = 0
        self._writers = set()
        self._server = None
        self._stack = contextlib.ExitStack()

    @contextlib.asynccontextmanager
    async def run(self, deployment, name, service):
        """Listen and write an entry to the store, until the context ends."""
        self.name, self._deployment = name, deployment
        await self.listen()
        self._entry = {"service": service, "address": f"{HOST}:{self._port}", "zone": "zone-a"}
        self._entry |= {"version": self.version, "slots": 8, "state": "ready"}
        self._entry |= {"cold_remaining_ms": 0, "sequence": 1, "born": 1}
        deployment.store.put("keyed.servers", name, self._entry)
        await self._wait_known(EngineState.READY)
        try:
            yield self
        finally:
            self.stop()

    async def listen(self):
        """Listen at a port, which is returned."""
        self._port = free_port()
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        return self._port

    def stop(self):
        """End whatever listens at the address."""
        self._kill()
        self._stack.close()

    async def _wait_known(self, state):
        async with asyncio.timeout(5.0):
            while not any(
                (view.key.id, view.record.state) == (self.name, state)
                for view in self._deployment.gateways[0].engine_views
            ):
                await asyncio.sleep(0.02)

    def _kill(self):
        """Close all sockets in order, as the kernel does for a killed process."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _write(self, writer, data):
        """Write an answer; the events of a stream do not come with its head."""
        head, blank, body = data.partition(b"\r\n\r\n")
        if b"text/event-stream" in head.lower() or self.delays_bodies:
            writer.write(head + blank)
            await asyncio.sleep(self.stream_delay_s)
            data = body
        writer.write(data)
        await writer.drain()

    async def prepare_end(self, end):
        """Do what precedes an answer after which the engine is gone."""
        if end in ("leave", "serve"):
            self.leaves = True
            entry = {**self._entry, "state": "draining", "sequence": 2}
            self._deployment.store.put("keyed.servers", self.name, entry)
            await self._wait_known(EngineState.DRAINING)

    async def finish_end(self, end, writer):
        """End an answer whose last byte was written, and the engine where that is its end."""
        if end in STAYS:
            await self._finish_answer(end, writer)
            return
        self.ended = True
        if end == "silent":
            await self._fall_silent()
            writer.close()
            return
        self._kill()
        if end in ("replace", "restart"):
            name = self.name if end == "restart" else "another"
            server = await asyncio.start_server(
                lambda reader, writer: self._serve_next(name, reader, writer), HOST, self._port
            )
            self._stack.callback(server.close)

    async def _finish_answer(self, end, writer):
        if end == "hold":
            await asyncio.sleep(HOLD_S)
        elif end == "reset":
            # What was sent before is to be read first.
            await asyncio.sleep(0.01)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    async def _fall_silent(self):
        """Keep the open connections, and drop attempts at new ones as a full queue does."""
        self._server.close()
        listener = self._stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(0)
        for _ in range(2):
            filler = self._stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((HOST, self._port))

    async def _serve_next(self, name, reader, writer):
        """Serve the health checks of whatever listens at the address after the engine's end."""
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                writer.write(_health(name) if head.startswith(CHECKS) else MISDIRECTED)
                await writer.drain()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                # The error of a timeout is an OSError.
                async with asyncio.timeout(self.idle_s):
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if self.ended:
                    return
                if head.startswith(CHECKS):
                    self.checks += 1
                    writer.write(_health(self.name))
                    continue
                length = re.search(r"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length.group(1)) if length else 0)
                self.bodies.append(body.decode())
                identity = re.search(r"(?i)attempt-id: (\S+)", head)
                attempt = identity.group(1) if identity else ""
                last_id = re.search(r"(?i)last-event-id: (\S+)", head)
                self.last_event_id = last_id.group(1) if last_id else None
                self.requests.append(attempt)
                data, end = self.answer(len(self.requests) - 1, attempt)
                end = "close" if end is True else end
                self.ending += 1
                try:
                    await self.prepare_end(end)
                    await self._write(writer, data)
                    if end:
                        await self.finish_end(end, writer)
                        return
                finally:
                    self.ending -= 1
        writer.close()


def _health(name):
    return (
        f"HTTP/1.1 200 OK\r\nX-Jayvalve-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
    )


def success(attempt, body, content_type="application/json", framed=True):
    """Return a signed answer, with a length or without."""
    length = f"Content-Length: {len(body)}\r\n" if framed else ""
    return (
        f"HTTP/1.1 200 OK\r\nX-Jayvalve-Attempt-Id: {attempt}\r\nX-Jayvalve-Server-Signature: s\r\n"
        f"Content-Type: {content_type}\r\n{length}\r\n{body}"
    ).encode()


def cut_stream(attempt, events):
    """Return an answer that is longer than what is sent of it, up to within the next event."""
    data = success(attempt, "".join(EVENTS[:events]) + "id: ", "text/event-stream")
    return data.replace(b"Content-Length: ", b"Content-Length: 9")
