"""Tests of placement, directory, follower, peer loads, events and log, without a network."""

import asyncio
import json
import os
import random

from jayvalve.errors import LogUnavailableError
from jayvalve.internal.event_stream import EventSplitter
from jayvalve.internal.gateway.decisions import DecisionLog, LogLimits, LogWriter
from jayvalve.internal.gateway.departures import Departures, DepartureSettings
from jayvalve.internal.gateway.directory import DirectorySettings, EngineDirectory
from jayvalve.internal.gateway.follower import FollowerSettings, KeyedFollower
from jayvalve.internal.gateway.loads import PeerLoads, PeerSettings
from jayvalve.internal.gateway.model import EngineKey, EngineRecord, EngineState
from jayvalve.internal.gateway.placement import (
    Candidate,
    PlacementNeed,
    PlacementSettings,
    PrefixMemory,
    choose_engine,
    estimate_wait_s,
)
from jayvalve.internal.timing import ManualClock
from tests.support import AsyncTestCase


def record(name, born=1, state=EngineState.READY, port=80):
    key = EngineKey(name, born)
    return EngineRecord(key, "models", ("10.0.0.1", port), "zone-a", 8, state)


def candidate(name, load=0, **fields):
    values = {"slots": 8, "service_s": 0.2, "remote": False, **fields}
    return Candidate(key=EngineKey(name, 1), load=load, **values)


class PlacementTests(AsyncTestCase):
    def choose(self, *candidates, prompt_tokens=0):
        chosen = choose_engine(
            candidates, PlacementNeed(prompt_tokens), PlacementSettings(), random.Random(1)
        )
        return chosen.candidate.key.id if chosen else None

    def test_prefers_the_engine_with_the_cached_prefix(self):
        warm = candidate("warm", load=2, cached_tokens=3000)
        self.assertEqual("warm", self.choose(candidate("cold"), warm, prompt_tokens=3000))

    def test_avoids_a_full_engine_with_the_cached_prefix(self):
        """Guards against a burst that queues at the engine of a popular prefix."""
        warm = candidate("warm", load=14, cached_tokens=3000)
        self.assertEqual("cold", self.choose(candidate("cold"), warm, prompt_tokens=3000))

    def test_avoids_an_engine_whose_memory_is_full(self):
        """Guards against long prompts that make an engine preempt running requests."""
        full = candidate("full", load=4, tokens=39_000, memory_tokens=44_000)
        free = candidate("free", load=5, tokens=15_000, memory_tokens=44_000)
        self.assertEqual("free", self.choose(full, free, prompt_tokens=5000))

    def test_avoids_an_engine_that_failed_unless_all_did(self):
        failed = candidate("failed", in_backoff=True)
        self.assertEqual("busy", self.choose(failed, candidate("busy", load=20)))
        self.assertEqual("failed", self.choose(failed))

    def test_prefers_the_faster_engine(self):
        self.assertEqual("fast", self.choose(candidate("slow", service_s=0.8), candidate("fast")))

    def test_returns_none_without_engines(self):
        self.assertIsNone(self.choose())

    def test_gateways_with_equal_views_choose_different_engines(self):
        """Guards against all gateways choosing the same idle engine at once."""
        engines = [candidate(name) for name in "abcd"]
        chosen = {
            choose_engine(
                engines, PlacementNeed(), PlacementSettings(), random.Random(seed)
            ).candidate.key.id
            for seed in range(40)
        }
        self.assertEqual(4, len(chosen))

    def test_the_wait_grows_with_the_queue(self):
        """Guards against an expected wait at an engine with a free slot."""
        self.assertEqual(0.0, estimate_wait_s(candidate("a", load=7), 0.2))
        self.assertAlmostEqual(0.2, estimate_wait_s(candidate("a", load=15), 0.2))

    def test_only_leading_parts_count_as_cached(self):
        """Guards against counting parts after an uncached one, or parts of an older incarnation."""
        memory = PrefixMemory()
        key = EngineKey("a", 1)
        memory.record((("x", 500), ("y", 100)), key)
        self.assertEqual(600, memory.cached_tokens((("x", 500), ("y", 100), ("z", 9)), key))
        self.assertEqual(0, memory.cached_tokens((("z", 9), ("x", 500)), key))
        self.assertEqual(0, memory.cached_tokens((("x", 500),), EngineKey("a", 2)))


class DirectoryTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.directory = EngineDirectory(
            self.clock,
            DirectorySettings(expiry_grace_s=2.0),
            Departures(self.clock, DepartureSettings()),
        )

    def names(self):
        return sorted(view.key.id for view in self.directory.candidates("models"))

    def test_drops_a_draining_engine_at_once(self):
        self.directory.replace_all({"a": record("a"), "b": record("b")})
        self.directory.apply("a", record("a", state=EngineState.DRAINING))
        self.assertEqual(["b"], self.names())

    def test_drops_an_engine_whose_entry_is_gone_or_unreadable(self):
        self.directory.replace_all({"a": record("a"), "b": record("b")})
        self.directory.apply("a", None)
        self.directory.replace_all({"b": None})
        self.assertEqual([], self.names())

    def test_keeps_entries_for_a_grace_time_after_an_outage_of_the_store(self):
        """Guards against dropping all engines after an outage of the store."""
        self.directory.replace_all({"a": record("a"), "b": record("b")})
        self.directory.handle_store_recovery()
        self.directory.apply("a", None)
        self.directory.apply("b", None)
        self.assertEqual(["a", "b"], self.names())
        self.directory.apply("a", record("a"))
        self.clock.advance(2.1)
        self.assertEqual(["a"], self.names())

    def test_a_restart_under_the_same_id_is_another_engine(self):
        """Guards against using the load and the health of an earlier incarnation."""
        self.directory.replace_all({"a": record("a")})
        view = next(iter(self.directory.views))
        view.running = 3
        self.directory.apply("a", record("a", born=2))
        self.assertEqual(0, next(iter(self.directory.views)).running)

    def test_failures_in_a_row_lengthen_the_backoff(self):
        """Guards against connecting to an unreachable engine again and again at a fixed rate."""
        self.directory.replace_all({"a": record("a")})
        view = next(iter(self.directory.views))
        self.directory.record_failure(view)
        first_s = view.backoff_until_s - self.clock.now()
        self.directory.record_failure(view)
        self.assertGreater(view.backoff_until_s - self.clock.now(), first_s)
        self.directory.record_success(view, 0.1)
        self.assertEqual(0.0, view.backoff_until_s)


class FollowerTests(AsyncTestCase):
    def test_reads_a_snapshot_again_after_a_gap(self):
        """Guards against missing changes when the store has dropped its history."""

        class Source:
            def __init__(self):
                self.snapshots = 0

            async def snapshot(self, timeout_s):
                self.snapshots += 1
                return {"a": b"%d" % self.snapshots}, 5

            async def changes(self, start, timeout_s, wait_s):
                if self.snapshots == 1:
                    return None
                return [("b", b"x"), ("a", None)], 7

        seen = []
        source = Source()
        follower = KeyedFollower(
            source,
            ManualClock(),
            FollowerSettings(),
            lambda values: seen.append(dict(values)),
            lambda key, value: seen.append((key, value)),
        )

        async def run():
            for _ in range(4):
                await follower._step()

        self.run_async(run())
        self.assertEqual([{"a": b"1"}, {"a": b"2"}, ("b", b"x"), ("a", None)], seen)


class StartFromPeerTests(AsyncTestCase):
    def test_uses_a_peers_snapshot_only_before_the_store_first_answers(self):
        """Guards against replacing a configuration by an older one from a peer."""

        class Source:
            def __init__(self):
                self.down = True

            async def snapshot(self, timeout_s):
                if self.down:
                    raise LogUnavailableError("away")
                return {"a": b"store"}, 9

            async def changes(self, start, timeout_s, wait_s):
                if self.down:
                    raise LogUnavailableError("away")
                return [("a", b"change")], start + 1

        class Peers:
            snapshots_read = 0

            async def snapshot(self, timeout_s):
                self.snapshots_read += 1
                return {"a": b"peer"}, 5

        async def run():
            seen, recoveries = [], []
            source, peers = Source(), Peers()
            follower = KeyedFollower(
                source,
                ManualClock(),
                FollowerSettings(retry_delay_s=0.01, pause_s=0.01),
                lambda values: seen.append(values["a"]),
                lambda key, value: seen.append(value),
                lambda: recoveries.append(1),
                peers,
            )
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(0.1)
            self.assertEqual(([b"peer"], 1), (seen, peers.snapshots_read))
            source.down = False
            await asyncio.sleep(0.1)
            self.assertEqual(b"change", seen[1])
            source.down = True
            await asyncio.sleep(0.1)
            self.assertEqual((1, 1), (peers.snapshots_read, len(recoveries)))
            task.cancel()

        self.run_async(run())


class PeerLoadTests(AsyncTestCase):
    def test_sums_fresh_loads_and_ignores_old_ones(self):
        """Guards against using loads of stopped gateways, or messages that arrive out of order."""
        clock = ManualClock(10.0)
        loads = PeerLoads(clock, PeerSettings(stale_s=1.0))
        loads.receive("one", 2, {"a": (3, 300)}, ("10.0.0.1", 1))
        loads.receive("two", 1, {"a": (1, 50)}, ("10.0.0.2", 1))
        loads.receive("one", 1, {"a": (9, 900)}, ("10.0.0.1", 1))
        self.assertEqual((4, 350), loads.running("a"))
        clock.advance(1.5)
        self.assertEqual(((0, 0), 0), (loads.running("a"), loads.live))


class EventTests(AsyncTestCase):
    def test_events_are_complete_for_any_split(self):
        """Guards against losing or cutting an event at the boundary of two reads."""
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 3\ndata: d"
        for size in range(1, len(stream)):
            splitter = EventSplitter()
            events = []
            for start in range(0, len(stream), size):
                events += splitter.feed(stream[start : start + size])
            self.assertEqual(
                [("1", b"a"), ("2", b"b\nc"), (None, None)],
                [(event.id, event.data) for event in events],
            )
            joined = b"".join(event.raw for event in events) + splitter.remainder
            self.assertEqual(stream, joined)


class DecisionLogTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.clock = ManualClock(1.0)

    def log_to_pipe(self, **limits):
        writer = LogWriter(self.writer, LogLimits(**limits), self.clock)
        return writer, DecisionLog(writer, "gateway-1", self.clock)

    def test_writes_one_json_line_per_event(self):
        writer, log = self.log_to_pipe()
        log.write("request", id="a", status=200)
        writer.flush()
        line = json.loads(os.read(self.reader, 65_536))
        self.assertEqual(("request", "a", 200), (line["event"], line["id"], line["status"]))

    def test_a_stalled_reader_does_not_block(self):
        """Guards against requests that wait for the reader of the log."""
        writer, log = self.log_to_pipe(lines_per_s=100_000, buffered_bytes=50_000)
        for number in range(5000):
            log.write("request", id=str(number), text="x" * 100)
            writer.flush()
        self.assertGreater(writer.dropped, 0)

    def test_dropped_lines_are_reported(self):
        """Guards against a log that looks complete although lines are missing."""
        writer, log = self.log_to_pipe(lines_per_s=2)
        for _ in range(5):
            log.write("request")
        self.clock.advance(1.0)
        log.write("request")
        writer.flush()
        lines = [json.loads(line) for line in os.read(self.reader, 65_536).splitlines()]
        self.assertEqual([3], [line["count"] for line in lines if "count" in line])
