"""HTTP/1.1 over asyncio streams, as far as the stand-ins and the clients need it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


class Trace:
    """Where requests, answers and runs are written; a case sets the function."""

    write: Callable[[str], None] = staticmethod(lambda _: None)


@dataclass
class Message:
    """A request or an answer.

    Attributes:
        first: Words of the first line.
        headers: Headers with names in lower case.
        whole: Whether all of the message was received.
        error: What went wrong, or an empty text.

    """

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True
    error: str = ""

    @property
    def status(self) -> int:
        """Status of an answer, or 0 if none arrived."""
        return int(self.first[1]) if len(self.first) > 1 else 0


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message, until_close: bool) -> None:
    """Read the body into the message.

    Raises asyncio.IncompleteReadError or OSError if the connection ends early.
    """
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in message.headers:
        left = int(message.headers["content-length"])
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            message.body += data
            left -= len(data)
    elif until_close:
        while data := await reader.read(65536):
            message.body += data


class Channel:
    """A connection of a client that is kept for several requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
        timeout_s: float = 5.0,
    ) -> Message:
        """Send a request and return the answer, which has status 0 if none arrived."""
        answer = Message(["", "0"], whole=False)
        attempt = headers.get("X-Jayvalve-Attempt-Id")
        if attempt is not None:
            Trace.write(f"sent {attempt} {method} {path} to {self._port}, {len(body or b'')} bytes")
        try:
            await self._exchange(method, path, headers, body, timeout_s, answer)
        finally:
            if attempt is not None:
                state = "whole" if answer.whole else "cut"
                Trace.write(f"answered {attempt}: {answer.status} {state}, {len(answer.body)} bytes")
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        answer: Message,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        "127.0.0.1", self._port, limit=MAX_HEAD_BYTES
                    )
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body is not None:
                    lines.append(f"Content-Length: {len(body)}")
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + (body or b""))
                await self._writer.drain()
                assert self._reader is not None
                head = await read_head(self._reader)
                answer.first, answer.headers = head.first, head.headers
                if method != "HEAD" and answer.status not in (204, 304):
                    await read_body(self._reader, answer, until_close=True)
                answer.whole = True
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
            answer.error = repr(error)[:100]
            self.close()
            return
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def events_of(body: bytes) -> list[str]:
    """Return the data of the events of a stream."""
    return [line[6:].decode() for line in body.split(b"\n") if line.startswith(b"data: ")]
