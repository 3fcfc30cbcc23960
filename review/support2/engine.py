"""Stand-in for an engine: a model engine that streams, or a plain service."""

import asyncio
import time
from collections.abc import Callable

from .http import MAX_HEAD_BYTES, Message, Trace, read_body, read_head


class Engine:
    """An engine on a free port of the loopback interface.

    Args:
        name: Id of the engine.
        service: Its service.
        events: Number of events of a stream; 0 for a plain service.
        event_s: Time that an event, or the work of a plain request, takes.
        fails: Called with a request that has run; returns whether it is answered with a failure.
        failure: Status line of that answer.

    """

    def __init__(
        self,
        name: str,
        service: str,
        events: int = 0,
        event_s: float = 0.02,
        fails: Callable[[Message], bool] = lambda _: False,
        failure: str = "503 Service Unavailable",
    ) -> None:
        self.name = name
        self.service = service
        self.events = events
        self.event_s = event_s
        self.fails = fails
        self.failure = failure
        # The next stream has neither a length nor chunks, and ends with its connection.
        self.unframed_next = False
        self.streams = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.port = 0
        self.sequence = 0
        # Attempt, path and body of each run, in order.
        self.runs: list[tuple[str, str, bytes]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict:
        """Return the entry in the list of engines."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, until_close=False)
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        path, attempt = request.first[1], request.headers.get("x-jayvalve-attempt-id", "")
        if path == "/health":
            await _send(writer, "200 OK", {"X-Jayvalve-Instance-Id": self.name}, b"")
            return
        expected = request.headers.get("x-jayvalve-expected-instance")
        if expected is not None and expected != self.name:
            head = {"X-Jayvalve-Instance-Id": self.name, "X-Jayvalve-Not-Executed": "1"}
            await _send(writer, "421 Misdirected Request", head, b"")
            return
        self.runs.append((attempt, path, request.body))
        Trace.write(f"ran {attempt} {path} at {self.name}, {len(request.body)} bytes")
        head = {
            "X-Jayvalve-Attempt-Id": attempt,
            "X-Jayvalve-Server-Signature": f"{self.name}.{attempt}",
        }
        if not self.events:
            await asyncio.sleep(self.event_s)
            if self.fails(request):
                await _send(writer, self.failure, head, b"the work was done, its report failed")
                return
            await _send(writer, "200 OK", head, f"done {attempt}".encode())
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        framed, self.unframed_next = not self.unframed_next, False
        self.streams += 1
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        lines.append("Content-Type: text/event-stream")
        lines.append("Transfer-Encoding: chunked" if framed else "Connection: close")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt}/{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if framed else event)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()


async def _send(
    writer: asyncio.StreamWriter, status: str, headers: dict[str, str], body: bytes
) -> None:
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()
