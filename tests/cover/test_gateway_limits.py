"""Engines get no more requests than they have named, from all gateways together."""

import asyncio
import bisect
import random

import attrs
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from tornado.httputil import HTTPHeaders

from jayvalve.errors import InvalidHeaderError
from jayvalve.internal.gateway.coordinators import Coordinators, coordinator_share
from jayvalve.internal.gateway.engine_limits import EngineLimits, LimitReport, LimitSettings
from jayvalve.internal.gateway.limit_messages import (
    LIMIT_NOTICES,
    LimitMessages,
    decode_report,
    encode_report,
)
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.notices import NoticeSettings, RepeatedNotices
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.gateway.permits import PermitSettings, SendPermits
from jayvalve.internal.limits import Pacer
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import ManualClock
from jayvalve.platform.headers import PlatformHeaders
from tests.fakes_network import LoopClock
from tests.gateway_fleet import Datagrams, run_virtual
from tests.platform_support import Deployment
from tests.support import AsyncTestCase

ENGINE = EngineKey("engine-1", 7)
WINDOW_S = 4.0


def most_in_window(times, window_s=WINDOW_S):
    """Return the largest number of times within any window."""
    times = sorted(times)
    return max(
        (bisect.bisect_right(times, time + window_s) - i for i, time in enumerate(times)),
        default=0,
    )


def allowed(limit):
    """Return how many requests an engine may get in a window, by the rule LIMIT."""
    return 1.5 * limit * WINDOW_S + 5


class PacerTests(TestCase):
    @given(
        gaps=st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200),
        rate=st.floats(0.2, 50.0),
        burst=st.floats(1.0, 10.0),
        max_delay_s=st.floats(0.0, 2.0),
    )
    def test_requests_stay_within_rate_and_burst_in_each_window(
        self, gaps, rate, burst, max_delay_s
    ):
        """Guards against waits that are granted but not counted."""
        pacer, now, sent = Pacer(), 0.0, []
        for gap in gaps:
            now += gap
            decision = pacer.reserve(now, rate, burst, max_delay_s)
            if decision.granted:
                sent.append(now + decision.delay_s)
        self.assertLessEqual(most_in_window(sent), rate * WINDOW_S + burst + 1e-6)

    def test_a_denied_request_is_not_counted(self):
        """Guards against refused calls that use up the limit of those that are served."""
        pacer = Pacer.full(1.0, 0.0)
        for _ in range(50):
            self.assertFalse(pacer.reserve(0.0, 1.0, 1.0, max_delay_s=0.5).granted)
        self.assertTrue(pacer.reserve(1.0, 1.0, 1.0, max_delay_s=0.0).granted)

    def test_a_higher_rate_shortens_the_wait_of_the_backlog(self):
        """Guards against an engine that is kept idle after its limit was raised."""
        pacer = Pacer.full(1.0, 0.0)
        pacer.reserve(0.0, 0.1, 1.0, max_delay_s=100.0)
        self.assertLess(pacer.reserve(0.0, 10.0, 1.0, max_delay_s=1.0).delay_s, 0.5)


class EngineLimitsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.changes = []
        self.limits = EngineLimits(
            self.clock, LimitSettings(), lambda: self.changes.append(self.clock.now())
        )

    def test_an_answer_without_a_limit_lifts_it(self):
        """Guards against limiting an engine for longer than it says so."""
        self.limits.observe(ENGINE, 5.0)
        self.assertEqual(5.0, self.limits.per_s(ENGINE))
        self.limits.observe(ENGINE, None)
        self.assertIsNone(self.limits.per_s(ENGINE))

    def test_a_late_message_does_not_set_a_lifted_limit_again(self):
        """Guards against two gateways that keep telling each other an outdated limit."""
        self.limits.observe(ENGINE, 5.0)
        self.clock.advance(2.0)
        self.limits.observe(ENGINE, None)
        self.limits.learn(LimitReport(ENGINE, 5.0, age_s=1.0))
        self.assertIsNone(self.limits.per_s(ENGINE))

    def test_a_limit_heard_from_a_gateway_is_not_passed_on(self):
        """Guards against a limit that circulates after the engine has lifted it."""
        self.limits.learn(LimitReport(ENGINE, 5.0, age_s=0.1))
        self.assertEqual(5.0, self.limits.per_s(ENGINE))
        self.assertEqual([], self.limits.report())

    def test_the_next_incarnation_starts_without_a_limit(self):
        """Guards against limiting an engine that was restarted."""
        self.limits.observe(ENGINE, 5.0)
        self.assertIsNone(self.limits.per_s(EngineKey(ENGINE.id, ENGINE.born_ms + 1)))

    def test_an_engine_that_takes_nothing_is_still_asked_at_times(self):
        """Guards against a limit of zero that nothing can lift."""
        self.limits.observe(ENGINE, 0.0)
        self.assertGreater(self.limits.per_s(ENGINE), 0.0)

    def test_small_changes_cause_no_message_of_their_own(self):
        """Guards against a round of messages for each answer of an engine with a moving limit."""
        for tenth in range(20):
            self.limits.observe(ENGINE, 5.0 + tenth / 10)
        self.assertEqual(1, len(self.changes))

    def test_the_number_of_remembered_engines_is_bounded(self):
        """Guards against memory that grows with each restarted engine."""
        for number in range(5000):
            self.limits.observe(EngineKey("e", number), 5.0)
        self.assertEqual(LimitSettings().max_engines, self.limits.limited)

    @given(st.one_of(st.none(), st.floats(0.0, 1e6)), st.floats(0.0, 100.0))
    def test_reports_survive_their_encoding(self, per_s, age_s):
        report = LimitReport(ENGINE, per_s, age_s)
        self.assertEqual(report, decode_report(encode_report(report)))

    def test_malformed_reports_are_refused(self):
        """Guards against a message that limits an engine to nothing or for ever."""
        for fields in (
            ["e", 1, float("nan"), 0.0],
            ["e", 1, 5.0, float("nan")],
            ["e", 1, 5.0, -1.0],
            ["e", "x", 5.0, 0.0],
            ["e", 1, 1e300, 0.0],
        ):
            self.assertRaises((ValueError, TypeError), decode_report, fields)

    def test_only_a_decimal_number_is_a_limit(self):
        """Guards against a faulty header that takes an engine out of use."""
        codec = PlatformHeaders()
        self.assertIsNone(codec.request_limit(HTTPHeaders()))
        self.assertEqual(7.8, codec.request_limit(HTTPHeaders({"Server-Limit": "7.8"})))
        for value in ("-1", "nan", "inf", "many", "5,6", ""):
            headers = HTTPHeaders({"Server-Limit": value})
            self.assertRaises(InvalidHeaderError, codec.request_limit, headers)


class CoordinatorShareTests(TestCase):
    @given(st.lists(st.integers(1, 40), min_size=1, max_size=5))
    def test_separated_groups_together_stay_below_one_and_a_half_limits(self, groups):
        """Guards against a partitioned fleet that sends the whole limit from each part."""
        known = sum(groups)
        total = sum(coordinator_share(size, known, 0.25) for size in groups)
        self.assertLess(total, 1.5)
        self.assertGreaterEqual(total, 1.0 - 1e-9)

    def test_a_gateway_that_knows_nothing_takes_a_part(self):
        """Guards against a restarted gateway that takes the whole limit before it hears others."""
        self.assertEqual(0.25, coordinator_share(1, None, 0.25))
        self.assertEqual(1.0, coordinator_share(1, 1, 0.25))


class PermitFleet:
    """Gateways that share engines' limits over a network in virtual time."""

    def __init__(self, loop, size, limit, **faults):
        self.loop = loop
        self.size = size
        self.limit = limit
        self.clock = LoopClock(loop)
        self.rng = random.Random(size)
        self.network = Datagrams(loop, self.rng, **faults)
        self.live = {}
        self.sent = []
        self.blocked = set()
        self._starts = 0
        for number in range(size):
            self.start(("gw", number))

    def start(self, address, known=True):
        """Start a gateway that has just been told the limit by an answer."""
        self._starts += 1
        transmit = self.network.transmitter(address)

        def send(target, message):
            if frozenset((address, target)) not in self.blocked:
                transmit(target, message)

        calls = PeerCalls(send, self.clock, CallSettings(), random.Random(self._starts))
        limits = EngineLimits(self.clock, LimitSettings())
        coordinators = Coordinators(address, lambda: self.peers(address), self.clock)
        permits = SendPermits(
            limits,
            calls,
            coordinators,
            lambda: self.size,
            self.clock,
            PermitSettings(),
            Metrics(),
        )
        permits.limits, permits.coordinators = limits, coordinators
        messages = LimitMessages(limits)
        permits.notices = RepeatedNotices(
            LIMIT_NOTICES,
            messages.items,
            messages.receive,
            calls,
            lambda: self.peers(address),
            NoticeSettings(),
        )
        if known:
            limits.observe(ENGINE, self.limit)
        self.live[address] = permits
        self.network.receivers[address] = calls.receive
        return permits

    def peers(self, address):
        return [
            other
            for other in self.live
            if other != address and frozenset((address, other)) not in self.blocked
        ]

    def kill(self, address):
        """Stop a gateway without a message; the others still count it as live."""
        self.network.receivers.pop(address, None)

    def coordinator(self):
        return next(iter(self.live.values())).coordinators.order(f"{ENGINE.id}/{ENGINE.born_ms}")[0]

    async def demand(self, address, per_s, until_s):
        """Try to send at a rate; refused calls do not come back."""
        rng = random.Random(f"{address}")
        while self.clock.now() < until_s:
            await asyncio.sleep(rng.expovariate(per_s))
            if address not in self.network.receivers:
                continue
            permits = self.live[address]
            delay_s = await permits.acquire(ENGINE, 0.1, urgent=False)
            if delay_s is not None:
                self.sent.append(self.clock.now() + delay_s)

    async def run(self, total_per_s, seconds, *events):
        tasks = [
            asyncio.ensure_future(self.demand(address, total_per_s / self.size, seconds))
            for address in list(self.live)
        ]
        for at_s, event in events:
            self.loop.call_later(at_s, event)
        await asyncio.gather(*tasks)


class PermitTests(TestCase):
    LIMIT = 6.0
    SECONDS = 30.0

    def play(self, size, events=lambda fleet: (), **faults):
        async def work(loop):
            fleet = PermitFleet(loop, size, self.LIMIT, **faults)
            await fleet.run(20 * self.LIMIT, self.SECONDS, *events(fleet))
            return fleet.sent

        return run_virtual(work)

    def check(self, sent, least_share):
        self.assertLessEqual(most_in_window(sent), allowed(self.LIMIT))
        self.assertGreaterEqual(len(sent), least_share * self.LIMIT * self.SECONDS)

    def test_a_fleet_of_any_size_keeps_and_uses_the_limit(self):
        """Guards against a limit that each gateway applies by itself, or divides unused."""
        for size in (1, 3, 30, 84):
            self.check(self.play(size), 0.95)

    def test_lost_and_repeated_messages_do_not_exceed_the_limit(self):
        """Guards against permits that are granted twice for one repeated message."""
        self.check(self.play(30, loss=0.1, repeats=0.1), 0.8)

    def test_the_limit_holds_while_coordinators_die(self):
        """Guards against a new coordinator that grants what the old one had granted already."""

        def events(fleet):
            return [(at_s, lambda: fleet.kill(fleet.coordinator())) for at_s in (8.0, 16.0)]

        self.check(self.play(8, events), 0.8)

    def test_the_limit_holds_while_coordinators_stop_in_turn(self):
        """Guards against a rolling restart in which each coordinator grants a burst."""

        def events(fleet):
            def stop(number):
                fleet.live["gw", number].coordinators.withdraw()

            def back(number):
                fleet.start(("gw", number))

            return [
                event
                for number in range(8)
                for event in (
                    (4.0 + 2 * number, lambda number=number: stop(number)),
                    (5.5 + 2 * number, lambda number=number: back(number)),
                )
            ]

        self.check(self.play(8, events), 0.7)

    def test_the_limit_holds_while_the_fleet_is_separated(self):
        """Guards against two coordinators that each grant the whole limit."""

        def events(fleet):
            def separate():
                fleet.blocked |= {
                    frozenset((one, other))
                    for one in fleet.live
                    for other in fleet.live
                    if one[1] % 2 != other[1] % 2
                }

            return [(5.0, separate), (20.0, fleet.blocked.clear)]

        for size in (8, 9, 84):
            self.check(self.play(size, events), 0.7)

    def test_gateways_without_an_answer_of_their_own_learn_a_limit_within_a_second(self):
        """Guards against a started gateway that sends freely until it has its own answer."""

        async def work(loop):
            fleet = PermitFleet(loop, 5, self.LIMIT)
            newcomer = fleet.start(("gw", 9), known=False)
            tasks = [
                asyncio.ensure_future(permits.notices.run()) for permits in fleet.live.values()
            ]
            await asyncio.sleep(1.1)
            for task in tasks:
                task.cancel()
            return newcomer.is_limited(ENGINE)

        self.assertTrue(run_virtual(work))


class RepeatedNoticesTests(TestCase):
    def receivers(self, gateways, seconds, news_at_s=()):
        """Return how often each gateway got a notice."""

        async def work(loop):
            counts = dict.fromkeys(range(gateways), 0)

            def transmit(target, _):
                counts[target[1]] += 1

            calls = PeerCalls(transmit, LoopClock(loop), CallSettings(), random.Random(1))
            notices = RepeatedNotices(
                "test",
                lambda: ["item"],
                lambda _: None,
                calls,
                lambda: [("gw", number) for number in range(gateways)],
                NoticeSettings(),
            )
            task = asyncio.ensure_future(notices.run())
            for at_s in news_at_s:
                loop.call_later(at_s, notices.notify_change)
            await asyncio.sleep(seconds)
            task.cancel()
            return counts

        return run_virtual(work)

    def test_news_reach_all_gateways_at_once(self):
        """Guards against a limit that some gateways hear of only by a repetition."""
        self.assertEqual({1}, set(self.receivers(84, 0.5, news_at_s=(0.2,)).values()))

    def test_repetitions_do_not_grow_with_the_square_of_the_fleet(self):
        """Guards against messages of all gateways to all others each second."""
        counts = self.receivers(84, 10.9)
        self.assertLessEqual(sum(counts.values()), 10 * NoticeSettings().keepalive_fan_out)
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)


class LimitedEngineTests(AsyncTestCase):
    def test_an_engine_gets_no_more_requests_than_its_limit_from_all_gateways(self):
        """Guards against gateways that ignore a limit, or that each apply it by themselves."""
        limit, gateways = 4.0, 3

        async def work():
            async with Deployment.run(gateways=gateways, tools=0) as deployment:
                engine = deployment.engines["model-0"]
                engine.settings = attrs.evolve(engine.settings, limit_per_s=limit)
                statuses = []
                # The first answers tell the gateways of the limit.
                for number in range(gateways):
                    await deployment.call(
                        "/advice/x", gateway=number, attempt=f"first-{number}", body=b"hello"
                    )
                told = len(engine.arrivals_s)

                async def call(number):
                    answer = await deployment.call(
                        "/advice/x", gateway=number % gateways, attempt=f"a-{number}", body=b"hello"
                    )
                    statuses.append(answer.status)

                calls = []
                for number in range(150):
                    calls.append(asyncio.ensure_future(call(number)))
                    await asyncio.sleep(0.03)
                await asyncio.gather(*calls)
                arrivals = list(engine.arrivals_s)[told:]
                self.assertLessEqual(most_in_window(arrivals), allowed(limit))
                self.assertGreaterEqual(len(arrivals), 0.7 * limit * 4.5)
                self.assertEqual({200, 429}, set(statuses))
                self.assertEqual(len(arrivals), statuses.count(200))

        self.run_async(work())
