"""Gateways exchange their loads promptly, without a flood of messages."""

import asyncio
import collections
import math

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from jayvalve.internal.gateway.health import HealthSettings, HealthTracker
from jayvalve.internal.gateway.loads import PeerLoads, PeerSettings
from jayvalve.internal.gateway.peers import LoadExchange
from jayvalve.internal.timing import ManualClock
from tests.fakes_network import LoopClock
from tests.gateway_fleet import run_virtual

SECONDS = 6.0


class FakeSocket:
    """A socket that records the time and load of sent messages, and receives prepared messages."""

    def __init__(self, clock):
        self.clock = clock
        self.sent = collections.defaultdict(list)
        self.waiting = []

    def recvfrom(self, size):
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.pop(0)

    def sendto(self, data, address):
        running = msgpack.unpackb(data)[3]
        self.sent[address].append((self.clock.now(), running.get("e", (0, 0))[0]))


class LoadExchangeTests(TestCase):
    def record_messages(self, gateways, change_s):
        """Return the time and load of each message by receiving gateway, while the load changes."""

        async def work(loop):
            clock = LoopClock(loop)
            load = [1]
            addresses = [("gw", number) for number in range(gateways - 1)]
            exchange = LoadExchange(
                "own",
                PeerLoads(clock, PeerSettings()),
                clock,
                PeerSettings(),
                lambda: {"e": (load[0], 10)} if load[0] else {},
                HealthTracker(clock, HealthSettings(), "dc"),
                "dc",
                lambda: addresses,
            )
            fake_socket = FakeSocket(clock)
            exchange.set_socket(fake_socket)
            task = asyncio.ensure_future(exchange.run())
            if not change_s:
                load[0] = 0
                await asyncio.sleep(SECONDS)
            for _ in range(int(SECONDS / change_s) if change_s else 0):
                load[0] += 1
                exchange.notify_change()
                await asyncio.sleep(change_s)
            task.cancel()
            return fake_socket.sent

        return run_virtual(work)

    def test_messages_of_a_gateway_do_not_grow_with_the_fleet(self):
        """Guards against a number of messages that grows with the square of the fleet size.

        32 messages every 0.06 s are 533 a second, plus one round in the first second.
        """
        for gateways in (120, 350):
            sent = self.record_messages(gateways, change_s=0.01)
            self.assertEqual(gateways - 1, len(sent))
            self.assertLessEqual(sum(map(len, sent.values())), 534 * SECONDS + 32)

    def test_every_gateway_of_a_large_fleet_receives_loads_promptly(self):
        """Guards against gateways that place requests by outdated loads.

        One round of 0.06 s reaches 30 gateways, and four rounds reach 119. A change may occur
        0.01 s after a round.
        """
        for gateways, limit_s in ((31, 0.08), (120, 0.32)):
            for messages in self.record_messages(gateways, change_s=0.01).values():
                gaps = [b[0] - a[0] for a, b in zip(messages, messages[1:], strict=False)]
                self.assertLess(max(gaps), limit_s)

    def test_small_fleets_receive_each_change_at_once(self):
        """Guards against changes that wait for the keepalive interval."""
        for messages in self.record_messages(8, change_s=0.2).values():
            loads = [load for _, load in messages]
            self.assertGreaterEqual(len(set(loads)), 0.95 * SECONDS / 0.2)

    def test_idle_gateways_send_keepalive_messages(self):
        """Guards against idle gateways that the others consider dead after 1.2 s."""
        for messages in self.record_messages(31, change_s=0).values():
            gaps = [
                later[0] - earlier[0]
                for earlier, later in zip(messages, messages[1:], strict=False)
            ]
            self.assertLess(max(gaps), PeerSettings().stale_s)

    def test_gateways_learn_at_once_which_others_lost_the_store(self):
        """Guards against calls that are relayed through a gateway that is cut off as well."""

        async def work(loop):
            clock = LoopClock(loop)
            reaches_store = [True]
            sender = LoadExchange(
                "cut-off",
                PeerLoads(clock, PeerSettings()),
                clock,
                PeerSettings(),
                dict,
                HealthTracker(clock, HealthSettings(), "dc"),
                "dc",
                lambda: [("10.0.0.1", 7380)],
                lambda: reaches_store[0],
            )
            loads = PeerLoads(clock, PeerSettings())
            receiver = LoadExchange(
                "own",
                loads,
                clock,
                PeerSettings(),
                dict,
                HealthTracker(clock, HealthSettings(), "dc"),
                "dc",
                lambda: [],
            )
            fake_socket, sending_socket = FakeSocket(clock), FakeSocket(clock)
            sending_socket.sendto = lambda data, address: fake_socket.waiting.append(
                (data, ("10.0.0.2", 7381))
            )
            receiver.set_socket(fake_socket)
            sender.set_socket(sending_socket)
            task = asyncio.ensure_future(sender.run())
            seen = []
            for usable in (True, False, True):
                reaches_store[0] = usable
                sender.notify_change()
                await asyncio.sleep(0.15)
                receiver.receive()
                seen.append(loads.addresses_without_store())
            task.cancel()
            return seen

        self.assertEqual([set(), {("10.0.0.2", 7380)}, set()], run_virtual(work))

    def test_receive_processes_waiting_messages_and_skips_malformed_ones(self):
        """Guards against choosing an engine by old loads after a malformed message."""

        async def work(loop):
            clock = LoopClock(loop)
            loads = PeerLoads(clock, PeerSettings())
            health = HealthTracker(clock, HealthSettings(), "dc")
            exchange = LoadExchange(
                "own", loads, clock, PeerSettings(), dict, health, "dc", lambda: []
            )
            fake_socket = FakeSocket(clock)
            exchange.set_socket(fake_socket)
            message = ["other", "dc", 1, {"e": (3, 300)}, {}]
            fake_socket.waiting = [
                (b"\xc1 no message", ("10.0.0.3", 7381)),
                (msgpack.packb(["other", "dc", "x", {}, {}]), ("10.0.0.3", 7381)),
                (msgpack.packb(message), ("10.0.0.2", 7381)),
            ]
            before = loads.running("e")
            exchange.receive()
            return before, loads.running("e"), loads.live_addresses()

        before, after, addresses = run_virtual(work)
        self.assertEqual(((0, 0), (3, 300)), (before, after))
        # Calls use the port before that of the load messages.
        self.assertEqual({("10.0.0.2", 7380)}, addresses)

    def test_messages_are_processed_without_requests(self):
        """Guards against an idle gateway whose socket overflows and that considers others dead."""

        async def work(loop):
            clock = LoopClock(loop)
            loads = PeerLoads(clock, PeerSettings())
            health = HealthTracker(clock, HealthSettings(), "dc")
            exchange = LoadExchange(
                "own", loads, clock, PeerSettings(), dict, health, "dc", lambda: [("gw", 1)]
            )
            fake_socket = FakeSocket(clock)
            exchange.set_socket(fake_socket)
            task = asyncio.ensure_future(exchange.run())
            max_waiting = 0
            for sequence in range(100):
                message = msgpack.packb(["other", "dc", sequence, {"e": (1, 10)}, {}])
                fake_socket.waiting.append((message, ("10.0.0.2", 7381)))
                await asyncio.sleep(0.02)
                max_waiting = max(max_waiting, len(fake_socket.waiting))
            task.cancel()
            return max_waiting, loads.live

        # One message arrives every 0.02 s. It waits for at most poll_interval_s and the pause
        # between two rounds.
        max_waiting, live = run_virtual(work)
        self.assertLessEqual(max_waiting, 9)
        self.assertEqual(1, live)


class PeerLoadSumTests(TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.integers(0, 6),
                st.dictionaries(
                    st.sampled_from("xyz"), st.tuples(st.integers(0, 5), st.integers(0, 900))
                ),
                st.floats(0, 2),
            ),
            max_size=30,
        )
    )
    def test_sums_match_the_fresh_messages(self, messages):
        """Guards against sums that drift from the messages because of late or stale ones."""
        clock = ManualClock(10.0)
        settings = PeerSettings()
        loads = PeerLoads(clock, settings)
        newest = {}
        for sender, sequence, running, pause_s in messages:
            age_s = clock.now() - newest[sender][1] if sender in newest else math.inf
            expired = age_s > settings.peer_ttl_s
            if expired or sequence > newest[sender][0]:
                newest[sender] = (sequence, clock.now(), running)
            loads.receive(sender, sequence, running, ("10.0.0.1", 1))
            clock.advance(pause_s)
            for engine in "xyz":
                fresh = [
                    loads_sent.get(engine, (0, 0))
                    for _, at_s, loads_sent in newest.values()
                    if clock.now() - at_s <= settings.stale_s
                ]
                expected = (sum(count for count, _ in fresh), sum(size for _, size in fresh))
                self.assertEqual(expected, loads.running(engine))
