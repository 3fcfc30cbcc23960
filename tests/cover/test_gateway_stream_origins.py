"""Origins of streams are found as long as one gateway or the store has them, and never guessed."""

import asyncio
import random

from jayvalve.errors import LogUnavailableError, StreamUnknownError
from jayvalve.internal.gateway.origin_log import encode_origin
from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.gateway.stream_origins import StreamOrigins
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Deadline
from jayvalve.platform.store import StorePage
from tests.fakes_network import LoopClock
from tests.gateway_fleet import Datagrams, run_virtual
from tests.platform_support import MemoryLog
from tests.support import AsyncTestCase

PARTITIONS = 2
ORIGIN = StreamOrigin("models", "v1")


class WallClock(LoopClock):
    """Clock whose time of day follows the virtual time."""

    def wall(self):
        return self.now()


class FaultyLog(MemoryLog):
    """Log whose partitions can be away, and whose oldest records can expire.

    Attributes:
        away: Numbers of the partitions that refuse calls.
        delay_s: Time that an append takes, in seconds.
        first: Offset of the oldest record of each partition.

    """

    def __init__(self):
        super().__init__()
        self.away = set()
        self.delay_s = 0.004
        self.first = 0

    async def append(self, topic, partition, records, deadline, **options):
        await asyncio.sleep(self.delay_s)
        if partition in self.away:
            raise LogUnavailableError("away")
        return await super().append(topic, partition, records, deadline, **options)

    async def read(self, topic, partition, start, deadline, **options):
        await asyncio.sleep(0.002)
        if partition in self.away:
            raise LogUnavailableError("away")
        page = await super().read(topic, partition, start, deadline, **options)
        if start < self.first:
            return StorePage(self.first, self.first, start, ())
        return StorePage(self.first, page.end, start, page.records)


class OriginFleet:
    """Gateways that share one log; all of them can be replaced at once."""

    def __init__(self, loop, size, loss=0.0):
        self.clock = WallClock(loop)
        self.log = FaultyLog()
        self.network = Datagrams(loop, random.Random(5), loss=loss)
        self.addresses = [(f"10.0.0.{number}", 7000 + number) for number in range(size)]
        self.tasks = []
        self.versions = {"v1"}
        self.restart()

    def restart(self):
        """Replace all gateways by new ones."""
        for task in self.tasks:
            task.cancel()
        self.gateways = [self.start(address) for address in self.addresses]
        self.tasks = [asyncio.ensure_future(gateway.run()) for gateway in self.gateways]

    def start(self, address):
        calls = PeerCalls(
            self.network.transmitter(address), self.clock, CallSettings(), random.Random(1)
        )
        self.network.receivers[address] = calls.receive
        return StreamOrigins.from_config(
            self.log,
            PARTITIONS,
            calls,
            address,
            lambda: self.addresses,
            lambda service: self.versions,
            self.clock,
            Metrics(),
        )

    def deadline(self):
        return Deadline.after(self.clock, 3.0)

    async def find(self, stream_id, gateway=0):
        """Return who knew the origin of a stream, after checking the origin."""
        found = await self.gateways[gateway].find(stream_id, self.deadline())
        if found.origin != ORIGIN:
            raise AssertionError(f"{found} is not {ORIGIN}")
        return found.source

    def fill(self, count):
        """Store the origins of other streams, 200 a second until now."""
        places = PartitionMap("streams-", 1, PARTITIONS)
        for number in range(count):
            place = places.of(f"other-{number}")
            record = encode_origin(
                f"other-{number}", ORIGIN, self.clock.wall() - (count - number) / 200
            )
            self.log.partitions.setdefault((place.topic, place.index), []).append(record)


class StreamOriginTests(AsyncTestCase):
    def play(self, work, size=4, **options):
        async def run(loop):
            await work(OriginFleet(loop, size, **options))

        run_virtual(run)

    def test_an_origin_outlives_the_messages_to_its_homes(self):
        """Guards against LOST when all datagrams are lost."""

        async def work(fleet):
            fleet.gateways[0].record("s", ORIGIN)
            await asyncio.sleep(0.05)
            self.assertEqual("store", await fleet.find("s", 1))
            self.assertEqual("memory", await fleet.find("s", 1))

        self.play(work, loss=1.0)

    def test_an_origin_outlives_its_gateway_while_the_store_is_away(self):
        """Guards against LOST when one gateway is killed in an outage of the store."""

        async def work(fleet):
            fleet.log.away = set(range(PARTITIONS))
            for number in range(20):
                fleet.gateways[0].record(f"s{number}", ORIGIN)
            await asyncio.sleep(0.05)
            del fleet.network.receivers[fleet.addresses[0]]
            for number in range(20):
                self.assertIn(await fleet.find(f"s{number}", 1), ("memory", "peer"))

        self.play(work)

    def test_origins_are_stored_while_one_partition_is_away(self):
        """Guards against LOST after an outage that affects a part of the store."""

        async def work(fleet):
            fleet.log.away = {0}
            for number in range(20):
                fleet.gateways[0].record(f"s{number}", ORIGIN)
            await asyncio.sleep(0.5)
            fleet.restart()
            for number in range(20):
                self.assertIn(await fleet.find(f"s{number}"), ("memory", "store"))

        self.play(work)

    def test_origins_reach_a_slow_store(self):
        """Guards against LOST when each call of the store takes fifty times as long as usual."""

        async def work(fleet):
            fleet.log.delay_s = 0.2
            for number in range(20):
                fleet.gateways[0].record(f"s{number}", ORIGIN)
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.5)
            fleet.restart()
            for number in range(20):
                self.assertIn(await fleet.find(f"s{number}"), ("memory", "store"))

        self.play(work, loss=1.0)

    def test_origins_are_stored_when_the_store_is_back(self):
        """Guards against LOST and unbounded memory when the store is away for some seconds."""

        async def work(fleet):
            fleet.log.away = set(range(PARTITIONS))
            for number in range(5000):
                fleet.gateways[0].record(f"s{number}", ORIGIN)
            await asyncio.sleep(5.0)
            self.assertLessEqual(fleet.gateways[0].pending, 4096)
            fleet.log.away = set()
            await asyncio.sleep(1.0)
            self.assertEqual(0, fleet.gateways[0].pending)
            fleet.restart()
            self.assertEqual("store", await fleet.find("s4999"))

        self.play(work, size=1)

    def test_origins_that_could_not_be_stored_in_time_are_given_up(self):
        """Guards against appends of records that nobody looks for any more."""

        async def work(fleet):
            fleet.log.away = set(range(PARTITIONS))
            fleet.gateways[0].record("s", ORIGIN)
            await asyncio.sleep(25.0)
            self.assertEqual(0, fleet.gateways[0].pending)

        self.play(work, size=1)

    def test_streams_that_begin_together_share_an_append(self):
        """Guards against a store call for each stream of a burst."""

        async def work(fleet):
            for number in range(200):
                fleet.gateways[0].record(f"s{number}", ORIGIN)
            await asyncio.sleep(0.1)
            self.assertLessEqual(fleet.log.appends, 2 * PARTITIONS)

        self.play(work)

    def test_the_cost_of_a_search_does_not_grow_with_the_partition(self):
        """Guards against searches that fill the links of gateways that have just started."""
        costs = []
        for count in (10_000, 100_000):

            async def work(fleet, count=count):
                fleet.fill(count)
                fleet.gateways[0].record("s", ORIGIN)
                await asyncio.sleep(0.05)
                fleet.restart()
                self.assertEqual("store", await fleet.find("s"))
                costs.append((fleet.log.reads, fleet.log.read_bytes))

            self.play(work, size=1)
        self.assertEqual(costs[0][0], costs[1][0])
        self.assertLess(costs[1][1], costs[0][1] * 1.1)

    def test_a_search_for_an_unknown_stream_ends_with_the_last_seconds(self):
        """Guards against callers that make gateways read whole partitions."""

        async def work(fleet):
            fleet.fill(100_000)
            with self.assertRaises(StreamUnknownError):
                await fleet.find("unknown")
            # 20 s of 200 streams a second, and at most as many again by the last step.
            self.assertLess(fleet.log.read_bytes, 2 * 20 * 200 * 60)
            reads = fleet.log.reads
            with self.assertRaises(StreamUnknownError):
                await fleet.find("unknown")
            self.assertEqual(reads + PARTITIONS, fleet.log.reads)

        self.play(work, size=1)

    def test_a_search_goes_on_from_the_last_one(self):
        """Guards against missing what was appended after an earlier search, little or much."""

        async def work(fleet):
            for burst in (1, 10, 3000):
                for number in range(burst):
                    fleet.gateways[1].record(f"{burst}-{number}", ORIGIN)
                await asyncio.sleep(1.0)
                self.assertEqual("store", await fleet.find(f"{burst}-{burst - 1}"))

        self.play(work, size=2, loss=1.0)

    def test_streams_are_found_after_the_oldest_records_have_expired(self):
        """Guards against LOST when the store has dropped its history."""

        async def work(fleet):
            fleet.fill(1000)
            fleet.gateways[0].record("s", ORIGIN)
            await asyncio.sleep(0.05)
            fleet.log.first = 300
            fleet.restart()
            self.assertEqual("store", await fleet.find("s"))
            with self.assertRaises(StreamUnknownError):
                await fleet.find("unknown")

        self.play(work, size=1)

    def test_an_unreadable_store_is_not_taken_for_one_without_the_stream(self):
        """Guards against a refusal that blames the stream in an outage of the store."""

        async def work(fleet):
            fleet.log.away = {1}
            with self.assertRaises(LogUnavailableError):
                await fleet.find("s")

        self.play(work, size=1)

    def test_two_origins_of_one_id_are_no_origin(self):
        """Guards against ORDER when an id of an attempt is used twice."""

        async def work(fleet):
            fleet.gateways[0].record("s", ORIGIN)
            fleet.gateways[1].record("s", StreamOrigin("models", "v2"))
            await asyncio.sleep(0.05)
            fleet.restart()
            with self.assertRaises(StreamUnknownError):
                await fleet.find("s")

        self.play(work)

    def test_a_stream_that_is_not_named_goes_on_where_one_version_serves(self):
        """Guards against failing callers that name no attempt, as earlier pages allow."""

        async def work(fleet):
            fleet.fill(1000)
            fleet.restart()
            found = await fleet.gateways[0].find_only({"models"}, fleet.deadline())
            self.assertEqual(ORIGIN, found.origin)

        self.play(work, size=1)

    def test_a_stream_that_is_not_named_is_refused_where_versions_differ(self):
        """Guards against ORDER: a guess for a caller that names no attempt."""

        async def refused(fleet, service="models"):
            with self.assertRaises(StreamUnknownError):
                await fleet.gateways[0].find_only({service}, fleet.deadline())

        async def work(fleet):
            await refused(fleet)
            fleet.fill(1000)
            await refused(fleet, "other")
            fleet.versions = {"v1", "v2"}
            await refused(fleet)
            # The engine of the other version has just left.
            fleet.versions = {"v1"}
            fleet.gateways[0].record("s", StreamOrigin("models", "v2"))
            await asyncio.sleep(1.0)
            fleet.restart()
            await refused(fleet)
            await asyncio.sleep(25.0)
            fleet.gateways[0].record("later", ORIGIN)
            await asyncio.sleep(0.05)
            found = await fleet.gateways[0].find_only({"models"}, fleet.deadline())
            self.assertEqual(ORIGIN, found.origin)

        self.play(work, size=1)

    def test_records_of_other_writers_do_not_stop_a_search(self):
        """Guards against LOST because of one malformed record."""

        async def work(fleet):
            fleet.gateways[0].record("s", ORIGIN)
            await asyncio.sleep(0.05)
            for records in fleet.log.partitions.values():
                records += [b"", b"\xc1", b"\x94\x01\x02\x03\x04", b"\x91\xa1x"]
            fleet.restart()
            self.assertEqual("store", await fleet.find("s"))

        self.play(work)
