"""A planned stop answers every request that has begun to arrive."""

import asyncio
import contextlib
import time

from tornado.httputil import HTTPHeaders

from jayvalve.internal.gateway.frontend import Frontend
from jayvalve.internal.gateway.model import CallerLimits
from jayvalve.internal.timing import Clock
from tests.ports import HOST, free_port
from tests.support import AsyncTestCase

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"


class FrontendTests(AsyncTestCase):
    def run_frontend(self, scenario):
        """Run scenario(frontend, connect, served) against a frontend that answers every request."""

        async def run():
            served = []

            async def handle(request, responder):
                served.append(request.body)
                await asyncio.sleep(0.01)
                responder.start(200, "OK", HTTPHeaders({"Content-Length": "2"}))
                responder.write_nowait(b"ok")
                responder.finish()

            frontend = Frontend(handle, Clock(), CallerLimits())
            port = free_port()
            frontend.listen((HOST, port))
            writers = []

            async def connect():
                reader, writer = await asyncio.open_connection(HOST, port)
                writers.append(writer)
                return reader, writer

            try:
                return await scenario(frontend, connect, served)
            finally:
                for writer in writers:
                    writer.close()
                await frontend.close()

        return self.run_async(run())

    def test_a_request_that_arrives_in_parts_during_a_stop_is_answered(self):
        """Guards against requests that are cut off because only a part of them has arrived."""
        for size in (1, 10, len(REQUEST) - 6, len(REQUEST) - 1):
            with self.subTest(size):

                async def scenario(frontend, connect, served, size=size):
                    reader, writer = await connect()
                    writer.write(REQUEST[:size])
                    await asyncio.sleep(0.05)
                    frontend.begin_closing()
                    frontend.stop()
                    frontend.close_idle()
                    writer.write(REQUEST[size:])
                    answer = await asyncio.wait_for(reader.read(), 5.0)
                    self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                    self.assertIn(b"Connection: close", answer)
                    self.assertEqual([b"body"], served)

                self.run_frontend(scenario)

    def test_requests_in_the_socket_at_a_stop_are_answered(self):
        """Guards against requests that arrived but were not yet read when the stop began."""

        async def scenario(frontend, connect, served):
            connections = [await connect() for _ in range(30)]
            await asyncio.sleep(0.05)
            for _, writer in connections:
                writer.write(REQUEST)
            # The loop does not run meanwhile, so that the bytes wait in the sockets.
            time.sleep(0.05)
            frontend.begin_closing()
            frontend.stop()
            frontend.close_idle()
            answers = [await asyncio.wait_for(reader.read(), 5.0) for reader, _ in connections]
            self.assertEqual(30, sum(b"200 OK" in answer for answer in answers))

        self.run_frontend(scenario)

    def test_idle_connections_are_closed(self):
        """Guards against a stop that waits for callers who send nothing."""

        async def scenario(frontend, connect, served):
            reader, _ = await connect()
            await asyncio.sleep(0.05)
            frontend.begin_closing()
            frontend.close_idle()
            self.assertEqual(b"", await asyncio.wait_for(reader.read(), 5.0))

        self.run_frontend(scenario)

    def test_empty_lines_and_headers_without_end_are_cut(self):
        """Guards against callers whose bytes without end fill the memory."""
        cases = ((b"", b"\r\n" * 1000), (b"GET /x HTTP/1.1\r\n", b"X-Filler: 0123\r\n" * 100))
        for first, block in cases:

            async def scenario(frontend, connect, served, first=first, block=block):
                reader, writer = await connect()
                writer.write(first)
                with contextlib.suppress(ConnectionError):
                    for _ in range(10_000):
                        writer.write(block)
                        await asyncio.wait_for(writer.drain(), 5.0)
                        if reader.at_eof() or writer.is_closing():
                            break
                    else:
                        self.fail("the frontend read headers without end")
                self.assertEqual([], served)

            self.run_frontend(scenario)
