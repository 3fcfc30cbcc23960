"""An endpoint that sends bytes without end fails its own call and no other."""

import asyncio
import contextlib
import itertools
import socket
import threading
import time

from jayvalve.internal.gateway.events import EventSplitter, EventTooLargeError
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    HttpPool,
    PoolSettings,
)
from jayvalve.internal.timing import Clock
from tests.support import AsyncTestCase

FOREIGN = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 10\r\n\r\n0123456789"
HEAD = b"HTTP/1.1 200 OK\r\nId: mine\r\n"
# The floods end after this time even if the client reads them to their end.
FLOOD_S = 4.0
# Longest pause of the event loop that other requests do not notice.
MAX_PAUSE_S = 0.25
SETTINGS = PoolSettings(max_buffer_bytes=4 * 1024 * 1024)


@contextlib.contextmanager
def flooding_server(first, repeated):
    """Run a server that answers with first, then with repeated again and again; yield its address.

    It runs in a thread, so that it sends as fast as the connection takes the bytes.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    block = repeated * max(1, 65_536 // len(repeated))

    def serve():
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(first)
                end_s = time.monotonic() + FLOOD_S
                while time.monotonic() < end_s:
                    connection.sendall(block)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()
    finally:
        listener.close()
        thread.join(FLOOD_S + 1)


async def longest_pause(seconds_between=0.01):
    """Measure pauses of the event loop until cancelled; return the longest, in seconds."""
    longest_s, last_s = 0.0, time.monotonic()
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            await asyncio.sleep(seconds_between)
            now = time.monotonic()
            longest_s, last_s = max(longest_s, now - last_s - seconds_between), now
    return longest_s


class EndlessAnswerTests(AsyncTestCase):
    def call(self, first, repeated):
        """Make a call to a flooding server; return its seconds, its error and the longest pause."""

        async def run():
            pool = HttpPool(SETTINGS, Clock())
            watch = asyncio.ensure_future(longest_pause())
            await asyncio.sleep(0.05)
            started_s, error = time.monotonic(), None
            exchange = None
            try:
                with flooding_server(first, repeated) as address:
                    try:
                        async with asyncio.timeout(FLOOD_S):
                            request = ClientRequest(address, "GET", "/", (("Host", "x"),))
                            exchange = await pool.send(
                                request, lambda head: head.headers.get("Id") == "mine"
                            )
                            await exchange.head()
                            await exchange.body()
                    except (BrokenConnectionError, TimeoutError) as caught:
                        error = caught
                    elapsed_s = time.monotonic() - started_s
                    if exchange is not None:
                        exchange.abort()
            finally:
                watch.cancel()
                pool.close()
            return elapsed_s, error, await watch

        return self.run_async(run(), timeout_s=30.0)

    def test_endless_answers_are_cut_and_do_not_stop_the_event_loop(self):
        """Guards against one endpoint that stops a gateway for all its callers.

        The client once read answers to other requests in a loop that never suspended its task.
        """
        cases = {
            "answers to other requests": (b"", FOREIGN),
            "one endless answer to another request": (
                b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 999999999999\r\n\r\n",
                b"x",
            ),
            "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "a head": (HEAD, b"X-Filler: 0123456789\r\n"),
            "no answer": (b"", b"\x00\xff"),
            "empty lines": (b"", b"\r\n"),
            "a collected body": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x"),
            "a body without length": (HEAD + b"\r\n", b"x"),
            "chunks": (
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                b"400\r\n" + b"x" * 1024 + b"\r\n",
            ),
        }
        for name, (first, repeated) in cases.items():
            with self.subTest(name):
                elapsed_s, error, pause_s = self.call(first, repeated)
                self.assertIsInstance(error, BrokenConnectionError)
                self.assertLess(elapsed_s, FLOOD_S / 2)
                self.assertLess(pause_s, MAX_PAUSE_S)

    def test_tiny_chunks_without_end_do_not_stop_the_event_loop(self):
        """Guards against other calls that wait while the client parses one answer."""
        _, error, pause_s = self.call(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"
        )
        self.assertIsInstance(error, (BrokenConnectionError, TimeoutError))
        self.assertLess(pause_s, MAX_PAUSE_S)

    def test_an_event_without_end_is_cut(self):
        """Guards against memory that one event fills until the process is killed."""
        splitter = EventSplitter(max_event_bytes=10_000)
        splitter.feed(b"data: first\n\n")
        with self.assertRaises(EventTooLargeError):
            for _ in itertools.repeat(None, 100):
                splitter.feed(b"x" * 1000)
