"""An engine that announces its end in an answer gets no new work from that gateway."""

import asyncio

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase
from tornado.httputil import HTTPHeaders

from jayvalve.internal.gateway.departures import Departures, DepartureSettings
from jayvalve.internal.gateway.directory import DirectorySettings, EngineDirectory
from jayvalve.internal.gateway.explain import explain_request
from jayvalve.internal.gateway.model import EngineKey, EngineRecord, EngineState
from jayvalve.internal.timing import ManualClock
from jayvalve.platform.headers import PlatformHeaders
from tests.platform_support import Deployment
from tests.support import AsyncTestCase

IDS = ("a", "b", "c")


def record(key, state=EngineState.READY):
    return EngineRecord(key, "models", ("10.0.0.1", 80), "zone-a", 8, state)


class DepartureMachine(RuleBasedStateMachine):
    """Announcements, lists of engines and messages in any order, also old and repeated ones.

    The invariant guards against an old list or message that brings a leaving engine back, and
    against a wrong word of another gateway that takes a sound engine away.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.departures = Departures(self.clock, DepartureSettings())
        self.directory = EngineDirectory(self.clock, DirectorySettings(), self.departures)
        self.born = dict.fromkeys(IDS, 1)
        self.announced = set()
        self.draining = set()
        self.messages = []
        self.snapshots = []
        self.show_list()

    def key(self, engine_id):
        return EngineKey(engine_id, self.born[engine_id])

    @rule()
    def show_list(self):
        """Apply the list as it is, and remember it as an old copy."""
        snapshot = {
            name: record(
                self.key(name),
                EngineState.DRAINING if self.key(name) in self.draining else EngineState.READY,
            )
            for name in IDS
        }
        self.snapshots.append(snapshot)
        self.directory.replace_all(snapshot)

    @rule(data=st.data())
    def show_old_list(self, data):
        snapshot = data.draw(st.sampled_from(self.snapshots))
        self.directory.replace_all(
            {name: each for name, each in snapshot.items() if each.key == self.key(name)}
        )

    @rule(engine_id=st.sampled_from(IDS))
    def announce(self, engine_id):
        self.announced.add(self.key(engine_id))
        self.departures.record(self.key(engine_id))

    @rule(engine_id=st.sampled_from(IDS))
    def drain(self, engine_id):
        self.draining.add(self.key(engine_id))

    @rule(engine_id=st.sampled_from(IDS), right=st.booleans())
    def hear(self, engine_id, right):
        key = self.key(engine_id)
        if right and key not in self.announced:
            return
        message = [[key.id, key.born_ms, 0.1]]
        self.messages.append(message)
        self.departures.receive(message)

    @rule(data=st.data())
    def hear_again(self, data):
        if self.messages:
            self.departures.receive(data.draw(st.sampled_from(self.messages)))

    @rule(engine_id=st.sampled_from(IDS))
    def restart(self, engine_id):
        """Start the next incarnation at the same address."""
        self.born[engine_id] += 1
        self.show_list()

    @rule(seconds=st.sampled_from([0.1, 1.0, 30.0, 600.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def store_returns(self):
        self.directory.handle_store_recovery()

    @invariant()
    def only_engines_that_did_not_announce_their_end_are_used(self):
        candidates = {view.key for view in self.directory.candidates("models")}
        assert not candidates & self.announced
        listed = {
            view.key for view in self.directory.views if view.record.state is EngineState.READY
        }
        assert candidates == listed - self.announced


DepartureMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
DepartureMachineTests = DepartureMachine.TestCase


class DeparturesTests(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.departures = Departures(self.clock, DepartureSettings())
        self.directory = EngineDirectory(self.clock, DirectorySettings(), self.departures)
        self.directory.replace_all({name: record(EngineKey(name, 1)) for name in IDS})

    def views(self):
        return {view.key.id: view for view in self.directory.candidates("models")}

    def test_the_word_of_another_gateway_is_a_preference(self):
        """Guards against a wrong or old word that takes a sound engine away."""
        self.departures.receive([["a", 1, 0.2]])
        self.assertEqual({"a", "b", "c"}, set(self.views()))
        self.assertTrue(self.directory.is_avoided(self.views()["a"]))
        self.assertFalse(self.directory.is_avoided(self.views()["b"]))
        self.clock.advance(DepartureSettings().hearsay_ttl_s + 0.1)
        self.assertFalse(self.directory.is_avoided(self.views()["a"]))

    def test_only_own_announcements_are_told_to_others(self):
        """Guards against a word that goes round between gateways."""
        self.departures.receive([["a", 1, 0.2]])
        self.assertEqual([], self.departures.items())
        self.departures.record(EngineKey("b", 1))
        self.assertEqual([["b", 1, 0.0]], self.departures.items())

    def test_the_memory_is_bounded(self):
        """Guards against memory that grows with each engine that leaves."""
        for number in range(5000):
            self.departures.record(EngineKey("x", number))
            self.departures.receive([["y", number, 0.0]])
        self.assertEqual(DepartureSettings().max_engines, self.departures.announced)
        self.assertLessEqual(len(self.departures.items()), DepartureSettings().max_reported)

    def test_malformed_messages_are_refused(self):
        for item in (["a", "1", 0.0], ["a", 1, "soon"], ["a", 1]):
            self.assertRaises((ValueError, TypeError), self.departures.receive, [item])

    def test_only_the_value_1_announces_the_end(self):
        """Guards against an engine that says that it does not leave."""
        codec = PlatformHeaders()
        self.assertTrue(codec.says_leaving(HTTPHeaders({"Server-Leaving": "1"})))
        for headers in (HTTPHeaders(), HTTPHeaders({"Server-Leaving": "0"})):
            self.assertFalse(codec.says_leaving(headers))

    def test_an_explanation_shows_engines_that_announced_their_end(self):
        """Guards against a request that was placed elsewhere without a visible reason."""
        lines = [
            '{"time": 9.0, "instance": "g", "event": "message", "part": "departures",'
            ' "message": "the engine announced that it leaves", "engine": "a"}',
            '{"time": 10.0, "instance": "g", "event": "request", "id": "r", "program": null,'
            ' "route": "chat", "path": null, "configuration": 1, "outcome": "answered",'
            ' "status": 200, "ms": 5.0, "engines_age_ms": 1, "store": "available", "peers": 1}',
        ]
        text = "\n".join(explain_request("r", lines).lines)
        self.assertIn("the engine announced that it leaves (engine=a)", text)


class LeavingEngineTests(AsyncTestCase):
    def play(self, work, gateways=1, models=2):
        async def run():
            async with Deployment.run(gateways=gateways, models=models, tools=0) as deployment:
                return await work(deployment)

        return self.run_async(run())

    @staticmethod
    def leave(deployment, name):
        engine = deployment.engines[name]
        engine.settings = attrs.evolve(engine.settings, leaving=True)

    @staticmethod
    async def call_until(deployment, engine, label):
        """Call until the engine has answered; return the number of requests that it got."""
        for number in range(100):
            await deployment.call("/advice/x", attempt=f"{label}-{number}", body=b"hello")
            if engine.arrivals_s:
                return len(engine.arrivals_s)
        raise AssertionError(f"no request reached the engine in 100 calls ({label})")

    def test_an_engine_gets_no_request_after_its_answer_while_the_store_is_away(self):
        """Guards against a gateway that goes by an outdated list of engines."""

        async def work(deployment):
            self.leave(deployment, "model-0")
            engine = deployment.engines["model-0"]
            await deployment.store.stop()
            known = await self.call_until(deployment, engine, "before")
            for number in range(20):
                answer = await deployment.call(
                    "/advice/x", attempt=f"after-{number}", body=b"hello"
                )
                self.assertEqual(200, answer.status)
            self.assertEqual(known, len(engine.arrivals_s))

        self.play(work)

    def test_the_head_of_a_running_stream_announces_the_end(self):
        """Guards against learning of the end only when a long answer is complete."""

        async def work(deployment):
            self.leave(deployment, "model-0")
            leaving, other = deployment.engines["model-0"], deployment.engines["model-1"]
            other.settings = attrs.evolve(other.settings, slots=1, queue=0)
            leaving.settings = attrs.evolve(leaving.settings, events=20, work_ms=50)
            # Occupies the other engine, so that the stream goes to the leaving one.
            streams = []
            while not leaving.arrivals_s:
                streams.append(
                    asyncio.ensure_future(
                        deployment.call("/advice/x", attempt=f"s-{len(streams)}", body=b"hello")
                    )
                )
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.2)
            known = len(leaving.arrivals_s)
            other.settings = attrs.evolve(other.settings, slots=8, queue=24)
            for number in range(10):
                await deployment.call("/advice/x", attempt=f"after-{number}", body=b"hello")
            self.assertEqual(known, len(leaving.arrivals_s))
            answers = await asyncio.gather(*streams)
            self.assertIn(200, {answer.status for answer in answers if answer.whole})

        self.play(work)

    def test_calls_are_refused_at_once_when_all_engines_leave(self):
        """Guards against calls that wait, or are sent, though no engine takes new work."""

        async def work(deployment):
            self.leave(deployment, "model-0")
            engine = deployment.engines["model-0"]
            known = await self.call_until(deployment, engine, "before")
            answer = await deployment.call("/advice/x", attempt="after", body=b"hello")
            self.assertEqual(503, answer.status)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(known, len(engine.arrivals_s))

        self.play(work, models=1)

    def test_the_next_incarnation_at_the_address_gets_work(self):
        """Guards against avoiding an address for good."""

        async def work(deployment):
            self.leave(deployment, "model-0")
            engine = deployment.engines["model-0"]
            await self.call_until(deployment, engine, "before")
            await engine.stop()
            engine.settings = attrs.evolve(engine.settings, leaving=False)
            await deployment.replace_engine("model-0", "models")
            answer = await deployment.call("/advice/x", attempt="after", body=b"hello")
            self.assertEqual(200, answer.status)

        self.play(work, models=1)
