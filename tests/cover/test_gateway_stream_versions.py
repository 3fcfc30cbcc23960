"""A stream goes on only at the version of the engine's software that began it."""

import asyncio
import contextlib

from tests.platform_support import Deployment
from tests.ports import HOST
from tests.scripted_engine import EVENTS, KILL, ScriptedEngine, cut_stream, success
from tests.support import AsyncTestCase

# Events that a stream has brought before it is interrupted.
BEGUN = 2
REST = "".join(EVENTS[BEGUN:]).encode()


class VersionedEngine(ScriptedEngine):
    """An engine that interrupts new streams, and ends those that it resumes.

    Args:
        version: Version of its software.
        end: How it interrupts a stream, as in ScriptedEngine.

    """

    def __init__(self, version, end="hold"):
        super().__init__(self._reply)
        self.version = version
        self._end = end
        self.resumed = 0

    def _reply(self, number, attempt):
        if self.last_event_id is None:
            return cut_stream(attempt, BEGUN), self._end
        self.resumed += 1
        rest = "".join(EVENTS[int(self.last_event_id) :])
        return success(attempt, rest, "text/event-stream"), False


class Fleet:
    """A deployment with engines of several versions."""

    def __init__(self, deployment, stack):
        self.deployment = deployment
        self.engines = []
        self._stack = stack

    @classmethod
    @contextlib.asynccontextmanager
    async def run(cls, *versions, gateways=1, end="hold"):
        """Start gateways and one engine of each version."""
        async with (
            Deployment.run(gateways, models=0, tools=0) as deployment,
            contextlib.AsyncExitStack() as stack,
        ):
            fleet = cls(deployment, stack)
            for version in versions:
                await fleet.add(version, end)
            yield fleet

    async def add(self, version, end="hold"):
        """Start an engine, and wait until all gateways know it."""
        engine = VersionedEngine(version, end)
        name = f"engine-{len(self.engines)}"
        await self._stack.enter_async_context(engine.run(self.deployment, name, "models"))
        self.engines.append(engine)
        await self.wait_known()

    async def wait_known(self):
        """Wait until all gateways know all engines that have not ended."""
        live = sum(not engine.ended for engine in self.engines)
        async with asyncio.timeout(5.0):
            while any(
                gateway.known_engines < live or not gateway.ready
                for gateway in self.deployment.gateways
            ):
                await asyncio.sleep(0.02)

    async def begin(self, attempt, gateway=0):
        """Begin a stream, leave after its first events, and return the version that began it."""
        reader, writer = await asyncio.open_connection(HOST, self.deployment.ports[gateway])
        head = f"GET /advice/1 HTTP/1.1\r\nHost: shop.example\r\nX-Jayvalve-Attempt-Id: {attempt}"
        writer.write(f"{head}\r\nX-Jayvalve-Deadline-Ms: 3000\r\n\r\n".encode())
        await reader.readuntil(EVENTS[BEGUN - 1].encode())
        writer.close()
        # The origin of a stream is stored while its events are passed on.
        await asyncio.sleep(0.15)
        (version,) = {engine.version for engine in self.engines if attempt in engine.requests}
        return version

    async def resume(self, resumed, attempt="again", gateway=0):
        """Resume a stream, which may be None for one that is not named, and return the answer."""
        headers = {"Last-Event-Id": str(BEGUN)}
        if resumed is not None:
            headers["Resumes"] = resumed
        return await self.deployment.call(
            "/advice/1", attempt=attempt, gateway=gateway, headers=headers
        )

    async def restart_gateways(self):
        """Replace all gateways, so that nothing in their memory is left."""
        for number in range(len(self.deployment.gateways)):
            await self.deployment.restart_gateway(number)
        await self.wait_known()

    def resumptions(self):
        """Return how often engines of each version have resumed a stream."""
        versions = sorted({engine.version for engine in self.engines})
        return {
            version: sum(each.resumed for each in self.engines if each.version == version)
            for version in versions
        }


class StreamVersionTests(AsyncTestCase):
    def play(self, work, *versions, **options):
        async def run():
            async with Fleet.run(*versions, **options) as fleet:
                return await work(fleet)

        return self.run_async(run())

    async def begin_all(self, fleet):
        """Begin streams at the first gateway; return the version that began each."""
        return {attempt: await fleet.begin(attempt) for attempt in ("a", "b", "c", "d", "e")}

    async def check_resumed(self, fleet, begun, gateway=0):
        """Check that each stream goes on, and only at engines of its version."""
        for attempt, version in begun.items():
            before = fleet.resumptions()
            answer = await fleet.resume(attempt, f"again-{attempt}", gateway)
            self.assertEqual((200, REST, True), (answer.status, answer.body, answer.whole))
            self.assertEqual({**before, version: before[version] + 1}, fleet.resumptions())

    async def check_refused(self, fleet, resumed="began"):
        """Check that a resumption is refused at once, and that no engine runs it."""
        answer = await fleet.resume(resumed)
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual({0}, set(fleet.resumptions().values()))

    def test_one_answer_is_not_joined_from_two_versions(self):
        """Guards against ORDER: a stream that goes on at another version in the same answer."""

        async def work(fleet):
            answer = await fleet.deployment.call("/advice/1", attempt="a")
            self.assertEqual(("".join(EVENTS[:BEGUN]).encode(), False), (answer.body, answer.whole))
            self.assertEqual({0}, set(fleet.resumptions().values()))

        # All engines end after their first events, so none of the version that began it is left.
        self.play(work, "v1", "v2", end=KILL)

    def test_one_answer_goes_on_at_the_same_version(self):
        """Guards against failing streams although an engine of their version serves."""

        async def work(fleet):
            answer = await fleet.deployment.call("/advice/1", attempt="a")
            self.assertEqual(("".join(EVENTS).encode(), True), (answer.body, answer.whole))

        self.play(work, "v1", "v1", end=KILL)

    def test_a_caller_resumes_at_the_version_that_began(self):
        """Guards against ORDER over the tries of a caller at one gateway."""

        async def work(fleet):
            await self.check_resumed(fleet, await self.begin_all(fleet))

        self.play(work, "v1", "v2", "v3")

    def test_another_gateway_resumes_at_the_version_that_began(self):
        """Guards against ORDER at a gateway that has not begun the stream."""

        async def work(fleet):
            await self.check_resumed(fleet, await self.begin_all(fleet), gateway=2)

        self.play(work, "v1", "v2", "v3", gateways=3)

    def test_restarted_gateways_resume_at_the_version_that_began(self):
        """Guards against ORDER and LOST when all gateways are killed."""

        async def work(fleet):
            begun = await self.begin_all(fleet)
            await fleet.restart_gateways()
            await self.check_resumed(fleet, begun, gateway=1)

        self.play(work, "v1", "v2", "v3", gateways=2)

    def test_gateways_without_the_store_resume_at_the_version_that_began(self):
        """Guards against LOST while the store is away and a gateway knows the stream."""

        async def work(fleet):
            fleet.deployment.store.away_parts = frozenset(range(8))
            await self.check_resumed(fleet, await self.begin_all(fleet), gateway=1)

        self.play(work, "v1", "v2", "v3", gateways=2)

    def test_a_stream_whose_origin_cannot_be_read_is_refused(self):
        """Guards against ORDER: a guess while the store is away and all gateways are new."""

        async def work(fleet):
            await fleet.begin("began")
            await fleet.restart_gateways()
            fleet.deployment.store.away_parts = frozenset(range(8))
            await self.check_refused(fleet)

        self.play(work, "v1", "v2")

    def test_a_stream_that_nobody_has_begun_is_refused(self):
        """Guards against ORDER: a guess for a stream without a record."""
        self.play(self.check_refused, "v1", "v2")

    def test_a_stream_of_a_version_that_has_left_is_refused(self):
        """Guards against ORDER when the engines of the old version have just left."""

        async def work(fleet):
            await fleet.begin("began")
            await fleet.add("v2")
            fleet.deployment.store.put("keyed.servers", "engine-0", None)
            fleet.engines[0].ended = True
            async with asyncio.timeout(5.0):
                while fleet.deployment.gateways[0].known_engines > 1:
                    await asyncio.sleep(0.02)
            await self.check_refused(fleet)
            await fleet.add("v1")
            await self.check_resumed(fleet, {"began": "v1"})

        self.play(work, "v1")

    def test_a_stream_that_is_not_named_goes_on_where_one_version_serves(self):
        """Guards against failing callers of earlier pages, also after all gateways were killed."""

        async def work(fleet):
            await fleet.begin("began")
            await fleet.restart_gateways()
            await self.check_resumed(fleet, {None: "v1"})

        self.play(work, "v1", "v1")

    def test_a_stream_that_is_not_named_is_refused_where_versions_differ(self):
        """Guards against ORDER: a guess for a caller that names no attempt."""

        async def work(fleet):
            await fleet.begin("began")
            await self.check_refused(fleet, resumed=None)

        self.play(work, "v1", "v2")

    def test_a_resumption_that_breaks_off_goes_on_at_its_version(self):
        """Guards against ORDER in the second try of a caller, which names the first attempt."""

        async def work(fleet):
            version = await fleet.begin("began")
            for attempt in ("second", "third"):
                answer = await fleet.resume("began", attempt)
                self.assertEqual((REST, True), (answer.body, answer.whole))
            self.assertEqual(2, fleet.resumptions()[version])

        self.play(work, "v1", "v2")
