"""A planned stop answers every request that the gateway has read."""

import asyncio

import attrs

from tests.platform_support import Deployment, read_answer
from tests.ports import HOST
from tests.support import AsyncTestCase


class PlannedStopTests(AsyncTestCase):
    """The grace time of the deployment is 4 s; routes have a time limit of 3 s."""

    def play(self, work, work_ms):
        async def run():
            async with Deployment.run(models=0, tools=1) as deployment:
                tool = deployment.engines["tool-0"]
                tool.settings = attrs.evolve(tool.settings, work_ms=work_ms)
                await work(deployment, tool)

        self.run_async(run())

    def test_a_request_that_may_not_be_finished_is_refused(self):
        """Guards against LOST: a request whose end arrives late in the grace time, and is cut."""

        async def work(deployment, tool):
            gateway = deployment.gateways[0]
            stop = asyncio.ensure_future(gateway.drain())
            await asyncio.sleep(1.0)
            reader, writer = await asyncio.open_connection(HOST, deployment.ports[0])
            writer.write(
                b"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nX-Jayvalve-Attempt-Id: late\r\n"
                b"Content-Length: 2\r\n\r\nx"
            )
            await asyncio.sleep(2.2)
            writer.write(b"y")
            answer = await read_answer(reader)
            self.assertEqual((503, True), (answer.status, answer.whole))
            self.assertIn(b"draining", answer.body)
            self.assertEqual("close", answer.headers["connection"])
            await stop
            await gateway.stop()
            self.assertEqual(0, tool.runs["late"])
            writer.close()

        self.play(work, work_ms=1500)

    def test_a_request_that_can_be_finished_is_served_late(self):
        """Guards against refusing requests although the time suffices."""

        async def work(deployment, tool):
            gateway = deployment.gateways[0]
            stop = asyncio.ensure_future(gateway.drain())
            await asyncio.sleep(0.2)
            reader, writer = await asyncio.open_connection(HOST, deployment.ports[0])
            writer.write(
                b"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nX-Jayvalve-Attempt-Id: late\r\n"
                b"Content-Length: 2\r\n\r\nx"
            )
            await asyncio.sleep(2.9)
            writer.write(b"y")
            answer = await read_answer(reader)
            self.assertEqual((200, True), (answer.status, answer.whole))
            await stop
            writer.close()

        self.play(work, work_ms=10)

    def test_a_request_that_outlasts_the_grace_time_gets_an_answer(self):
        """Guards against LOST: a request that may not be repeated is cut without an answer."""

        async def work(deployment, tool):
            gateway = deployment.gateways[0]
            stop = asyncio.ensure_future(gateway.drain())
            await asyncio.sleep(0.9)
            call = asyncio.ensure_future(
                deployment.call("/charge/1", attempt="long", body=b"x", deadline_ms=9000)
            )
            await stop
            await gateway.stop()
            answer = await call
            self.assertEqual((504, True), (answer.status, answer.whole))
            self.assertEqual(1, tool.runs["long"])

        self.play(work, work_ms=2900)

    def test_a_stop_without_grace_answers_running_requests(self):
        """Guards against cut requests when a second signal ends the grace time early."""

        async def work(deployment, tool):
            call = asyncio.ensure_future(
                deployment.call("/charge/1", attempt="running", body=b"x", deadline_ms=9000)
            )
            async with asyncio.timeout(2.0):
                while not tool.running:
                    await asyncio.sleep(0.01)
            await deployment.gateways[0].stop()
            answer = await call
            self.assertEqual((504, True), (answer.status, answer.whole))

        self.play(work, work_ms=1000)
