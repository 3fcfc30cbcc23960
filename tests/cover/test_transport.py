"""Tests of the connections between processes."""

import asyncio
from unittest import mock

from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient

from jayvalve.errors import OverloadedError, PeerUnavailableError
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import HandlerTable, PeerPool, PeerServer
from jayvalve.internal.transport import pool as pool_module
from jayvalve.internal.wire import HEADER
from jayvalve.internal.wire.messages import (
    Accepted,
    Cancel,
    Chunk,
    Completed,
    Heartbeat,
    Hello,
    Resume,
)
from jayvalve.verdict import Verdict
from tests.support import AsyncTestCase


def hello(name: str) -> Hello:
    return Hello(name, 1, "entry", "catania", "127.0.0.1:0")


def build_handlers() -> HandlerTable:
    handlers = HandlerTable()

    @handlers.on(Heartbeat)
    async def heartbeat(context, message):
        return message

    @handlers.on(Cancel)
    async def cancel(context, message):
        # attempt_id is the delay of the reply in seconds, or "full" for an error.
        if message.attempt_id == "full":
            raise OverloadedError("queue is full", retry_after_s=2.5)
        delay = float(message.attempt_id)
        await asyncio.sleep(delay)
        return Completed(int(delay * 1000), "ran", 0, "")

    @handlers.on(Resume)
    async def resume(context, message):
        for index in range(3):
            yield Chunk(index, b"x")
        yield Completed(200, "ran", 3, "")

    return handlers


async def start_server() -> tuple[PeerServer, str]:
    server = PeerServer(hello("server"), build_handlers())
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return server, f"127.0.0.1:{sockets[0].getsockname()[1]}"


class TransportTest(AsyncTestCase):
    """Matching of replies to requests, and errors of failed connections."""

    def test_out_of_order_replies_reach_their_requests(self):
        """Guards against delivering a reply to another pending request."""

        async def scenario():
            server, address = await start_server()
            pool = PeerPool(hello("client"), Clock())
            delays = [0.2, 0.0, 0.1]
            replies = await asyncio.gather(
                *(pool.call(address, Cancel(str(delay)), 5.0) for delay in delays)
            )
            await pool.close()
            await server.close()
            return [reply.status for reply in replies]

        self.assertEqual([200, 0, 100], self.run_async(scenario()))

    def test_idle_connections_are_closed(self):
        """Guards against keeping a connection and its descriptors for every peer ever probed."""

        async def scenario():
            servers = [await start_server() for _ in range(3)]
            pool = PeerPool(hello("client"), Clock())
            waiting = asyncio.ensure_future(pool.call(servers[0][1], Cancel("1.2"), 5.0))
            await pool.call(servers[1][1], Cancel("0"), 5.0)
            await asyncio.sleep(0.6)
            await pool.call(servers[2][1], Cancel("0"), 5.0)
            kept = pool.connection_count
            answer = await waiting
            again = await pool.call(servers[1][1], Cancel("0"), 5.0)
            await pool.close()
            for server, _ in servers:
                await server.close()
            return kept, answer.status, again.status

        with (
            mock.patch.object(pool_module, "IDLE_TIMEOUT_S", 0.3),
            mock.patch.object(pool_module, "SWEEP_INTERVAL_S", 0.0),
        ):
            self.assertEqual((2, 1200, 0), self.run_async(scenario()))

    def test_stream_ends_with_final_reply(self):
        """Guards against a stream that loses replies or waits after the final one."""

        async def scenario():
            server, address = await start_server()
            pool = PeerPool(hello("client"), Clock())
            replies = [reply async for reply in pool.stream(address, Resume("a", 0), 5.0)]
            await pool.close()
            await server.close()
            return replies

        replies = self.run_async(scenario())
        self.assertEqual(["chunk"] * 3 + ["completed"], [reply.kind for reply in replies])

    def test_timeout_does_not_cancel_a_consumer_that_processes_a_reply(self):
        """Guards against cancelling the consumer when its process was paused past the timeout."""

        async def scenario():
            server, address = await start_server()
            pool = PeerPool(hello("client"), Clock())
            replies = []
            async for reply in pool.stream(address, Resume("a", 0), 0.2):
                replies.append(reply.kind)
                await asyncio.sleep(0.3)
            await pool.close()
            await server.close()
            return replies

        self.assertEqual(["chunk"] * 3 + ["completed"], self.run_async(scenario()))

    def test_an_ip_address_is_not_looked_up(self):
        """Guards against connections that fail because a thread for the look-up starts late."""

        async def scenario():
            server, address = await start_server()
            pool = PeerPool(hello("client"), Clock())

            async def look_up(*arguments, **options):
                raise OSError("no thread is free")

            asyncio.get_running_loop().getaddrinfo = look_up
            replies = [reply.kind async for reply in pool.stream(address, Resume("a", 0), 5.0)]
            await pool.close()
            await server.close()
            return replies

        self.assertEqual(["chunk"] * 3 + ["completed"], self.run_async(scenario()))

    def test_reported_error_keeps_code_verdict_and_retry_delay(self):
        """Guards against errors that lose code, verdict or retry delay between processes."""

        async def scenario():
            server, address = await start_server()
            pool = PeerPool(hello("client"), Clock())
            try:
                await pool.call(address, Cancel("full"), 5.0)
            finally:
                await pool.close()
                await server.close()

        error = self.assertRaises(OverloadedError, lambda: self.run_async(scenario()))
        self.assertEqual(Verdict.NOT_RUN, error.verdict)
        self.assertEqual(2.5, error.retry_after_s)

    def test_refused_connection_is_not_run(self):
        """Guards against a verdict that prevents a safe retry."""

        async def scenario():
            sockets = bind_sockets(0, "127.0.0.1")
            port = sockets[0].getsockname()[1]
            sockets[0].close()
            pool = PeerPool(hello("client"), Clock())
            await pool.call(f"127.0.0.1:{port}", Accepted(), 1.0)

        error = self.assertRaises(PeerUnavailableError, lambda: self.run_async(scenario()))
        self.assertEqual(Verdict.NOT_RUN, error.verdict)

    def test_silent_connection_fails_within_the_limit_as_may_have_run(self):
        """Guards against waiting forever on a connection that a middlebox has dropped."""

        async def scenario():
            async def silent(reader, writer):
                data = await reader.readexactly(HEADER.size)
                await reader.readexactly(HEADER.unpack(data)[0])
                from jayvalve.internal.wire import FLAG_FINAL, FLAG_REPLY, encode

                writer.write(encode(0, FLAG_REPLY | FLAG_FINAL, hello("silent")))
                await asyncio.sleep(30)

            server = await asyncio.start_server(silent, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            pool = PeerPool(hello("client"), Clock())
            clock = Clock()
            started = clock.now()
            try:
                await pool.call(f"127.0.0.1:{port}", Cancel("0"), 20.0)
            except PeerUnavailableError as error:
                return error.verdict, clock.now() - started
            finally:
                await pool.close()
                server.close()

        verdict, elapsed = self.run_async(scenario())
        self.assertEqual(Verdict.MAY_HAVE_RUN, verdict)
        self.assertLess(elapsed, 4.0)

    def test_server_keeps_serving_after_malformed_frames(self):
        """Guards against a malformed frame that stops the server."""

        async def scenario():
            server, address = await start_server()
            host, _, port = address.rpartition(":")
            for junk in (b"\xff" * 8, HEADER.pack(3) + b"\xc1\xc1\xc1", HEADER.pack(1) + b"\x01"):
                stream = await TCPClient().connect(host, int(port))
                await stream.write(junk)
                await stream.read_until_close()
            pool = PeerPool(hello("client"), Clock())
            reply = await pool.call(address, Heartbeat(7), 2.0)
            await pool.close()
            await server.close()
            return reply.sequence

        self.assertEqual(7, self.run_async(scenario()))
