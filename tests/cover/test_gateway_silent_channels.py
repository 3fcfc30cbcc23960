"""Open connections that go silent delay a gateway once, however many of them are kept."""

import asyncio
import contextlib

from testtools.matchers import LessThan

from tests.platform_support import Deployment, configuration
from tests.ports import HOST
from tests.support import AsyncTestCase

# From the platform's sheets: time without faults before a gateway counts as in touch, and times
# within which a configuration and the departure of an engine are in force.
STABLE_S = 3.0
APPLY_S = 2.0
DRAIN_S = 2.0


class SilencingProxy:
    """Forwards connections to a port until they are silenced; new ones work."""

    def __init__(self, port):
        self._target = port
        self._connections = []
        self._silent = set()

    @contextlib.asynccontextmanager
    async def run(self):
        """Listen until the context ends; yield the port."""
        server = await asyncio.start_server(self._accept, HOST, 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()
            for writers in self._connections:
                for writer in writers:
                    writer.close()

    def silence(self, count=None):
        """Drop all further bytes of the connections that are open now, or of the first of them.

        Returns the number of open connections.
        """
        self._silent |= set(range(len(self._connections))[:count])
        return sum(not writers[0].is_closing() for writers in self._connections)

    async def _accept(self, reader, writer):
        number = len(self._connections)
        self._connections.append([writer])
        target_reader, target_writer = await asyncio.open_connection(HOST, self._target)
        self._connections[number].append(target_writer)
        with contextlib.suppress(ConnectionError):
            await asyncio.gather(
                self._forward(number, reader, target_writer),
                self._forward(number, target_reader, writer),
            )

    async def _forward(self, number, reader, writer):
        while data := await reader.read(65_536):
            if number not in self._silent:
                writer.write(data)
        if number not in self._silent:
            writer.close()


class SilentChannelTests(AsyncTestCase):
    def play_store(self, work):
        """Run a gateway whose idle connections to the store all go silent; then call work."""

        async def run():
            async with Deployment.run(gateways=0, models=2, tools=1) as deployment:
                proxy = SilencingProxy(deployment.store_port)
                async with proxy.run() as port:
                    await deployment.add_gateway("gateway-0", store_port=port)
                    await deployment.wait_ready()
                    for engine in deployment.engines.values():
                        engine.settings = type(engine.settings)(
                            id=engine.settings.id, streaming=engine.settings.streaming, work_ms=50
                        )
                    turns = [
                        deployment.call("/chat/1", attempt=f"turn-{number}", body=b"x")
                        for number in range(12)
                    ]
                    answers = await asyncio.gather(*turns)
                    self.assertEqual({200}, {answer.status for answer in answers})
                    self.assertGreater(proxy.silence(), 8)
                    await asyncio.sleep(STABLE_S)
                    await work(deployment)
                    for gateway in deployment.gateways:
                        await gateway.stop()

        self.run_async(run())

    def test_a_configuration_is_in_force_in_time(self):
        """Guards against CONFIG: each silent connection to the store delays a read anew."""

        async def work(deployment):
            await deployment.add_engine("other-0", "other", streaming=False)
            document = configuration(2)
            document["services"].append({"name": "other", "connection_limit": 100})
            for route in document["routes"]:
                if route["path_prefix"] == "/charge/":
                    route["service"] = "other"
            deployment.store.put("keyed.op", "config", document)
            await asyncio.sleep(APPLY_S)
            answer = await deployment.call("/charge/1", attempt="late", body=b"x")
            self.assertEqual(200, answer.status)
            self.assertEqual(1, deployment.engines["other-0"].runs["late"])

        self.play_store(work)

    def test_an_engine_that_leaves_gets_no_late_request(self):
        """Guards against DRAIN: the list of engines is read over silent connections."""

        async def work(deployment):
            port = deployment.engine_ports["model-0"]
            engine = deployment.engines["model-0"]
            entry = engine.entry("models", f"{HOST}:{port}", state="draining")
            deployment.store.put("keyed.servers", "model-0", entry)
            await asyncio.sleep(DRAIN_S)
            before = engine.runs.total()
            for number in range(20):
                await deployment.call("/advice/1", attempt=f"late-{number}", body=b"x")
            self.assertEqual(before, engine.runs.total())

        self.play_store(work)

    def test_calls_to_an_engine_fail_once(self):
        """Guards against silent connections that stay in use because another one answers."""

        async def run():
            async with Deployment.run(models=0, tools=0) as deployment:
                engine = await deployment.add_engine("tool-0", "tools", streaming=False, work_ms=50)
                proxy = SilencingProxy(deployment.engine_ports["tool-0"])
                async with proxy.run() as port:
                    entry = engine.entry("tools", f"{HOST}:{port}")
                    deployment.store.put("keyed.servers", "tool-0", {**entry, "born": 7})
                    await asyncio.sleep(1.0)

                    async def call_all(count, name):
                        answers = await asyncio.gather(
                            *(
                                deployment.call(
                                    "/charge/1", attempt=f"{name}-{n}", body=b"x", deadline_ms=700
                                )
                                for n in range(count)
                            )
                        )
                        return sum(answer.status != 200 for answer in answers)

                    self.assertEqual(0, await call_all(8, "first"))
                    proxy.silence(7)
                    lost = [await call_all(2, f"later-{number}") for number in range(5)]
                    self.assertThat(sum(lost), LessThan(3), lost)
                    for gateway in deployment.gateways:
                        await gateway.stop()

        self.run_async(run())

    def test_callers_that_leave_do_not_keep_silent_connections_in_use(self):
        """Guards against streams that are abandoned one after the other before they begin."""

        async def run():
            async with Deployment.run(models=0, tools=0) as deployment:
                engine = await deployment.add_engine("model-0", "models", work_ms=20)
                proxy = SilencingProxy(deployment.engine_ports["model-0"])
                async with proxy.run() as port:
                    entry = engine.entry("models", f"{HOST}:{port}")
                    deployment.store.put("keyed.servers", "model-0", {**entry, "born": 7})
                    await asyncio.sleep(1.0)
                    await asyncio.gather(
                        *(
                            deployment.call("/advice/1", attempt=f"first-{number}", body=b"x")
                            for number in range(6)
                        )
                    )
                    self.assertGreater(proxy.silence(), 3)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            await deployment.call("/advice/1", attempt="left", body=b"x")
                    await asyncio.sleep(0.2)
                    async with asyncio.timeout(1.0):
                        answer = await deployment.call("/advice/1", attempt="later", body=b"x")
                    self.assertEqual((200, True), (answer.status, answer.whole))
                    for gateway in deployment.gateways:
                        await gateway.stop()

        self.run_async(run())
