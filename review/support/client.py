"""A caller: sends one request on a new channel and tells how its answer ended."""

import asyncio
import contextlib
import socket
import time


class Answer:
    """An answer; status 0 means that none came. `whole` tells whether it ended as complete."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error
        self.sent_s = self.ended_s = 0.0

    @property
    def events(self):
        """Data of the complete events."""
        parts = self.body.split(b"\n\n")
        return [
            line[6:].decode()
            for part in parts[:-1]
            for line in part.split(b"\n")
            if line.startswith(b"data: ")
        ]


async def call(address, path, attempt, body=None, headers=None, limit_s=3.0, on_chunk=None):
    """Send a request; `limit_s` is the caller's time limit, in X-Jayvalve-Deadline-Ms."""
    sent_s = time.monotonic()
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            method = "GET" if body is None else "POST"
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: shop.example",
                f"X-Jayvalve-Attempt-Id: {attempt}",
                f"X-Jayvalve-Deadline-Ms: {int(limit_s * 1000)}",
                *(f"{name}: {value}" for name, value in (headers or {}).items()),
            ]
            if body is not None:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + (body or b""))
            await _read(reader, answer, on_chunk)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    answer.sent_s, answer.ended_s = sent_s, time.monotonic()
    return answer


async def _read(reader, answer, on_chunk):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.whole = True
        return
    if answer.headers.get("transfer-encoding") != "chunked":
        while data := await reader.read(65536):
            answer.body += data
        answer.whole = True
        return
    while True:
        size = int(await reader.readline(), 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.whole = True
            return
        answer.body += data
        if on_chunk is not None:
            on_chunk(answer)


class KeptChannel:
    """A channel on which a caller sends one request after another."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def call(self, path, attempt, body, limit_s=3.0):
        """Send a request; the answer's status is 0 if the channel ended without one."""
        answer = Answer()
        answer.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(limit_s + 1.0):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(*self.address)
                head = (
                    f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Jayvalve-Attempt-Id: {attempt}\r\n"
                    f"X-Jayvalve-Deadline-Ms: {int(limit_s * 1000)}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                self.writer.write(head.encode() + body)
                await _read(self.reader, answer, None)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
            answer.error = repr(error)
            self.close()
        answer.ended_s = time.monotonic()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        """Close the channel; the next request opens a new one."""
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = self.writer = None


def read_all(address, path, attempt, body, limit_s=3.0):
    """Send a request and read and drop its answer; blocks. Return status, size and wholeness."""
    end_s = time.monotonic() + limit_s
    status, size, tail = 0, 0, b""
    with contextlib.suppress(OSError), socket.create_connection(address, timeout=1.0) as channel:
        head = (
            f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Jayvalve-Attempt-Id: {attempt}\r\n"
            f"X-Jayvalve-Deadline-Ms: {int(limit_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        channel.sendall(head.encode() + body)
        while not tail.endswith(b"\r\n0\r\n\r\n") and time.monotonic() < end_s:
            channel.settimeout(max(0.01, end_s - time.monotonic()))
            data = channel.recv(1 << 20)
            if not data:
                break
            if not status:
                status = int(data.split(b" ", 2)[1])
            size += len(data)
            tail = (tail + data)[-16:]
    return status, size, tail.endswith(b"\r\n0\r\n\r\n")
