"""A stream that breaks off runs on no more engines than its route allows."""

import contextlib

from testtools import TestCase

from jayvalve.internal.gateway.calls import AttemptHistory
from jayvalve.internal.gateway.directory import EngineView
from jayvalve.internal.gateway.http_client import NotSentError
from jayvalve.internal.gateway.model import EngineKey, EngineRecord, EngineState
from jayvalve.internal.gateway.run_limit import RunLimit
from tests.platform_support import Deployment
from tests.scripted_engine import EVENTS, KILL, ScriptedEngine, cut_stream, success
from tests.support import AsyncTestCase

WHOLE = "".join(EVENTS)


class StreamEngineTests(AsyncTestCase):
    def play(self, events, end):
        """Return the answer to a stream, and how often each of three engines ran it.

        Args:
            events: Number of events after which the first run breaks off.
            end: What happens to its engine then, as in ScriptedEngine.

        """
        first = []

        def script(engine_number):
            def answer(number, attempt):
                if not first:
                    first.append(engine_number)
                    return cut_stream(attempt, events), end
                return success(attempt, "".join(EVENTS[events:]), "text/event-stream"), False

            return answer

        async def run():
            async with (
                Deployment.run(models=0, tools=0) as deployment,
                contextlib.AsyncExitStack() as stack,
            ):
                engines = [
                    await stack.enter_async_context(
                        ScriptedEngine(script(number)).run(deployment, f"engine-{number}", "models")
                    )
                    for number in range(3)
                ]
                answer = await deployment.call("/advice/1", attempt="a", body=b"x")
                return answer, [len(engine.requests) for engine in engines]

        return self.run_async(run())

    def check_one_engine(self, events, end):
        answer, runs = self.play(events, end)
        self.assertEqual([0, 0, 2], sorted(runs))
        self.assertEqual((WHOLE.encode(), True), (answer.body, answer.whole))

    def check_next_engine(self, events, end):
        answer, runs = self.play(events, end)
        self.assertEqual([0, 1, 1], sorted(runs))
        self.assertEqual((WHOLE.encode(), True), (answer.body, answer.whole))

    def test_a_stream_cut_before_its_first_event_begins_anew_at_its_engine(self):
        """Guards against BUDGET: a second engine on a route of one."""
        self.check_one_engine(0, "close")

    def test_a_stream_reset_before_its_first_event_begins_anew_at_its_engine(self):
        """Guards against BUDGET: a second engine after the reset of a connection."""
        self.check_one_engine(0, "reset")

    def test_a_stream_cut_after_an_event_goes_on_at_its_engine(self):
        """Guards against BUDGET: a resumption that counts as a run at a second engine."""
        self.check_one_engine(2, "close")

    def test_a_stream_of_a_leaving_engine_that_serves_on_gets_no_second_engine(self):
        """Guards against BUDGET: a departure that is taken for the end of the engine."""
        answer, runs = self.play(2, "serve")
        self.assertEqual([0, 0, 1], sorted(runs))
        self.assertEqual(("".join(EVENTS[:2]).encode(), False), (answer.body, answer.whole))

    def test_a_stream_goes_on_elsewhere_when_its_engine_has_ended(self):
        """Guards against failing streams because their engine, which has ended, is counted."""
        for events in (0, 2):
            self.check_next_engine(events, KILL)

    def test_a_stream_goes_on_elsewhere_when_its_engine_has_gone_silent(self):
        """Guards against failing streams whose engine was cut off from the gateway."""
        self.check_next_engine(2, "silent")

    def test_a_stream_goes_on_elsewhere_when_its_engine_has_left(self):
        """Guards against failing streams of an engine that takes no new work and has ended."""
        self.check_next_engine(2, "leave")

    def test_a_stream_goes_on_elsewhere_when_another_engine_has_the_address(self):
        """Guards against failing streams whose engine has ended, though its address answers."""
        self.check_next_engine(2, "replace")


def refusal():
    error = NotSentError("refused")
    error.__cause__ = ConnectionRefusedError()
    return error


class UnreachableEngineTests(TestCase):
    def history_after(self, *errors, has_run=True):
        """Return the history of a call after failed attempts to connect to one engine."""
        key = EngineKey("e", 1)
        record = EngineRecord(key, "models", ("10.0.0.1", 80), "zone", 8, EngineState.READY)
        history = AttemptHistory(may_have_run={key} if has_run else set())
        for error in errors:
            RunLimit.record_not_sent(EngineView(record), history, error)
        return history.counted_engines, len(history.refused)

    def test_one_lost_attempt_to_connect_does_not_end_an_engine(self):
        """Guards against BUDGET: a second engine because a link lost one packet."""
        self.assertEqual((1, 0), self.history_after(NotSentError("timeout")))

    def test_an_engine_that_stays_out_of_reach_counts_no_longer(self):
        """Guards against failing streams whose engine was cut off, or refuses connections."""
        timeout = NotSentError("timeout")
        self.assertEqual((0, 1), self.history_after(timeout, timeout))
        self.assertEqual((0, 1), self.history_after(refusal()))

    def test_an_engine_that_has_not_run_the_call_is_passed_over_at_once(self):
        """Guards against two timeouts before the first run of a call."""
        self.assertEqual((0, 1), self.history_after(NotSentError("timeout"), has_run=False))
