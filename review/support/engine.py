"""Stand-in for an engine, as a separate process that a script can kill.

It behaves like a sound engine of PROTOCOL.md: it echoes the attempt id, signs its answers, answers
421 to a request for another instance, rejects with X-Jayvalve-Not-Executed when slots and queue
are full, and drops a request whose channel closes. Its only faults are those that the settings
name. Each run is written to a log file as one JSON line.
"""

import asyncio
import contextlib
import json
import os
import sys
import time


class Engine:
    """One engine of a service; settings come as a JSON object on the command line."""

    def __init__(self, settings):
        self.id = settings["id"]
        self.host, self.port = settings["host"], settings["port"]
        self.streaming = settings.get("streaming", False)
        self.events = settings.get("events", 5)
        self.gap_s = settings.get("gap_ms", 20) / 1000
        # Bytes of padding in each event's data.
        self.padding = settings.get("padding", 0)
        self.slots = settings.get("slots", 8)
        self.queue = settings.get("queue", 24)
        # A file; the next stream that finds and removes it has no length and no chunks, and ends
        # with its channel.
        self.unframed_file = settings.get("unframed_file")
        # Every n-th stream is cut after its second event (0: none).
        self.cut_every = settings.get("cut_every", 0)
        # Every n-th plain answer has the attempt id and lacks the signature (0: none).
        self.unsigned_every = settings.get("unsigned_every", 0)
        # A file; the next stream that finds and removes it has no end: it sends events of this
        # size until its channel closes.
        self.endless_file = settings.get("endless_file")
        self.endless_bytes = settings.get("endless_bytes", 0)
        # It sends this text over and over instead.
        self.endless_text = settings.get("endless_text", "")
        # Writes each event in two halves, with this pause between them.
        self.half_pause_s = settings.get("half_pause_ms", 0) / 1000
        self.running = self.waiting = self.count = 0
        self.free = asyncio.Semaphore(self.slots)
        self.log = open(settings["log"], "a", encoding="utf-8")

    def write_log(self, event, attempt, **fields):
        line = {"t": time.monotonic(), "engine": self.id, "event": event, "attempt": attempt}
        self.log.write(json.dumps({**line, **fields}) + "\n")
        self.log.flush()

    async def serve(self):
        server = await asyncio.start_server(self.accept, self.host, self.port, backlog=512)
        print("listening", flush=True)
        await server.serve_forever()

    async def accept(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(reader, writer, method, target, headers, body):
                    break
        writer.close()

    async def answer(self, reader, writer, method, target, headers, body):
        """Answer one request; return whether the channel may be used again."""
        attempt = headers.get("x-jayvalve-attempt-id", "")
        expected = headers.get("x-jayvalve-expected-instance")
        if expected is not None and expected != self.id:
            self.reply(writer, 421, attempt, b"", signed=False)
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            self.reply(writer, 503, attempt, b"", signed=False, extra="X-Jayvalve-Not-Executed: 1\r\n")
            return True
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.write_log(
            "run", attempt, method=method, target=target, body=body.decode("latin1"),
            last_event_id=headers.get("last-event-id"),
        )
        try:
            if self.streaming:
                return await self.stream(writer, attempt, int(headers.get("last-event-id") or 0))
            await asyncio.sleep(self.gap_s)
            self.count += 1
            if self.unsigned_every and self.count % self.unsigned_every == 0:
                self.write_log("unsigned", attempt)
                self.reply(writer, 200, attempt, b"<html>starting</html>", signed=False)
            else:
                self.reply(writer, 200, attempt, json.dumps({"attempt": attempt}).encode())
            await writer.drain()
            self.write_log("end", attempt)
            return True
        finally:
            self.running -= 1
            self.free.release()

    def reply(self, writer, status, attempt, body, signed=True, extra=""):
        head = f"HTTP/1.1 {status} Status\r\nX-Jayvalve-Attempt-Id: {attempt}\r\n"
        if signed:
            head += f"X-Jayvalve-Server-Signature: {self.id}.{attempt}\r\n"
        head += f"X-Jayvalve-Instance-Id: {self.id}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    @staticmethod
    def take(path):
        """Remove a file; return whether it was there."""
        if path is None:
            return False
        try:
            os.unlink(path)
        except FileNotFoundError:
            return False
        return True

    async def stream(self, writer, attempt, after):
        self.count += 1
        unframed = self.take(self.unframed_file)
        if unframed:
            self.write_log("unframed", attempt)
        cut = self.cut_every and self.count % self.cut_every == 0
        head = (
            f"HTTP/1.1 200 OK\r\nX-Jayvalve-Attempt-Id: {attempt}\r\n"
            f"X-Jayvalve-Server-Signature: {self.id}.{attempt}\r\n"
            "Content-Type: text/event-stream\r\n"
        )
        head += "Connection: close\r\n\r\n" if unframed else "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        if self.take(self.endless_file):
            self.write_log("endless", attempt)
            if self.endless_text:
                data = self.endless_text.encode() * (self.endless_bytes // len(self.endless_text))
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
            number, padding = 0, b"." * self.endless_bytes
            while True:
                number += 1
                start = b"id: %d\ndata: " % number
                size = len(start) + len(padding) + 2
                writer.writelines([b"%x\r\n" % size, start, padding, b"\n\n\r\n"])
                await writer.drain()
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            data = f"id: {number}\ndata: {attempt}/{number}{'.' * self.padding}\n\n".encode()
            middle = len(data) // 2 if self.half_pause_s else len(data)
            for part in (data[:middle], data[middle:]):
                if part:
                    writer.write(part if unframed else b"%x\r\n%s\r\n" % (len(part), part))
                    await writer.drain()
                    if self.half_pause_s and part == data[:middle]:
                        await asyncio.sleep(self.half_pause_s)
            if cut and number == 2:
                self.write_log("cut", attempt)
                writer.transport.abort()
                return False
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.write_log("end", attempt)
        return not unframed


if __name__ == "__main__":
    asyncio.run(Engine(json.loads(sys.argv[1])).serve())
