"""Calls to the store survive lost answers, and fail early during an outage of the store."""

import asyncio
import collections
import random

import attrs

from jayvalve.errors import LogAnswerLostError, LogUnavailableError, UnavailableError
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.storage import RoundTripEstimate, Storage, StorageSettings
from jayvalve.internal.gateway.store_paths import PathSettings, StorePaths
from jayvalve.internal.gateway.turns import Turn, TurnSettings, TurnStore
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.platform.store import StorePage
from tests.support import AsyncTestCase

SETTINGS = StorageSettings(
    silence_timeout_s=0.4, call_timeout_s=0.7, probe_interval_s=0.03, probe_timeout_s=0.2
)


@attrs.define(eq=False)
class FakeStore:
    """Counts calls; ``mode`` sets how it treats them.

    The answers to the first ``lost_answers`` calls are lost.
    """

    mode: str = "ok"
    calls: int = 0
    effects: int = 0
    lost_answers: int = 0

    async def append(self, topic, partition, records, timeout_s):
        self.calls += 1
        if self.mode == "refuse":
            raise LogUnavailableError("refused")
        if self.mode == "silent":
            await asyncio.sleep(timeout_s)
            raise LogAnswerLostError("no answer")
        self.effects += 1
        if self.calls <= self.lost_answers:
            await asyncio.sleep(timeout_s)
            raise LogAnswerLostError("answer lost")
        if self.mode == "slow":
            await asyncio.sleep(0.1)
        return self.effects

    async def read(self, topic, partition, start, timeout_s, wait_s=0.0, max_bytes=None):
        return await self.append(topic, partition, [], timeout_s)


@attrs.define(eq=False)
class PartlyDownStore(FakeStore):
    """Keeps records; the first 4 of 12 partitions refuse or do not answer, as ``mode`` says."""

    logs: dict = attrs.field(factory=lambda: collections.defaultdict(list))

    async def log(self, topic, partition, timeout_s):
        """Return the records of a partition."""
        if partition % 12 < 4 and self.mode == "refuse":
            raise LogUnavailableError("refused")
        if partition % 12 < 4 and self.mode == "silent":
            await asyncio.sleep(timeout_s)
            raise LogAnswerLostError("no answer")
        return self.logs[topic, partition]

    async def append(self, topic, partition, records, timeout_s):
        """Append records and return the offset of the first one."""
        log = await self.log(topic, partition, timeout_s)
        log += records
        return len(log) - len(records)

    async def read(self, topic, partition, start, timeout_s, wait_s=0.0, max_bytes=None):
        """Return the records from an offset on."""
        records = tuple((await self.log(topic, partition, timeout_s))[start:])
        return StorePage(0, start + len(records), start, records)


async def record_answers(storages, client):
    """Record answers periodically, as followers of the operator's records do."""
    while True:
        for storage in storages:
            storage._paths.record_answer(client)
        await asyncio.sleep(0.05)


async def probe(client, timeout_s):
    await client.append("probe", 0, [], timeout_s)


class StorageTests(AsyncTestCase):
    def storage(self, direct, relays=()):
        clock = Clock()
        by_address = {("peer", number): relay for number, relay in enumerate(relays)}
        paths = StorePaths(
            direct,
            by_address.__getitem__,
            lambda: list(by_address),
            clock,
            PathSettings(retry_delay_s=0.05),
            random.Random(1),
        )
        return Storage(paths, clock, SETTINGS, random.Random(1), probe)

    def append(self, storage, seconds=4.0, call_timeout_s=None):
        deadline = Deadline.after(Clock(), seconds)
        return storage.append("topic", 0, [b"record"], deadline, call_timeout_s)

    def test_a_call_that_fails_on_the_last_path_marks_the_store_as_away(self):
        """Guards against refusals whose log does not show the outage that caused them."""

        async def run():
            storage = self.storage(FakeStore("silent"))
            try:
                await self.append(storage, call_timeout_s=SETTINGS.silence_timeout_s + 0.05)
            except UnavailableError:
                return storage.available
            return None

        self.assertIs(False, self.run_async(run()))

    def test_repeats_a_call_whose_answer_was_lost(self):
        """Guards against requests that wait for an answer that never arrives."""

        async def run():
            store = FakeStore(lost_answers=1)
            started = Clock().now()
            await self.append(self.storage(store))
            self.assertEqual(2, store.calls)
            self.assertLess(Clock().now() - started, 1.0)

        self.run_async(run())

    def test_a_slow_store_stays_available(self):
        """Guards against slow answers that are mistaken for an outage."""

        async def run():
            store = FakeStore("slow")
            storage = self.storage(store)
            for _ in range(3):
                await self.append(storage)
            self.assertTrue(storage.available)

        self.run_async(run())

    def test_goes_through_a_peer_when_cut_off(self):
        """Guards against refusals by a gateway whose peers still reach the store."""
        for mode in ("refuse", "silent"):

            async def run(mode=mode):
                direct, relay = FakeStore(mode), FakeStore()
                storage = self.storage(direct, [relay])
                for _ in range(3):
                    await self.append(storage)
                self.assertGreaterEqual(relay.effects, 3)
                self.assertTrue(storage.available)

            self.run_async(run())

    def test_waits_until_the_store_is_available_again(self):
        """Guards against refusals at the start of an outage that ends within the call timeout."""

        async def run():
            store = FakeStore("refuse")
            storage = self.storage(store)
            prober = asyncio.ensure_future(storage.run())
            call = asyncio.ensure_future(self.append(storage, call_timeout_s=2.5))
            await asyncio.sleep(0.8)
            self.assertFalse(storage.available)
            store.mode = "ok"
            # The call returns the number of the latest append, so nothing was appended after it.
            self.assertEqual(2, await call - store.effects + 2)
            self.assertTrue(storage.available)
            prober.cancel()

        self.run_async(run())

    def test_refuses_after_the_call_timeout(self):
        """Guards against requests that wait for an unavailable store until their deadline."""

        async def run():
            storage = self.storage(FakeStore("refuse"))
            started = Clock().now()
            try:
                await self.append(storage, seconds=10.0)
            except LogUnavailableError as error:
                self.assertIsNotNone(error.retry_after_s)
            self.assertLess(Clock().now() - started, 1.0)

        self.run_async(run())

    def test_an_outage_of_some_partitions_takes_no_path_out_of_use(self):
        """Guards against refusals of all programs when a share of the partitions is down."""

        class PartlyDown(FakeStore):
            async def append(self, topic, partition, records, timeout_s):
                if partition == 1:
                    raise LogUnavailableError("refused")
                return await super().append(topic, partition, records, timeout_s)

        async def run():
            storage = self.storage(PartlyDown(), [PartlyDown()])
            deadline = Deadline.after(Clock(), 3.0)

            async def refused():
                try:
                    await storage.append("topic", 1, [b"x"], deadline)
                except LogUnavailableError:
                    return True
                return False

            calls = [asyncio.ensure_future(refused()) for _ in range(4)]
            for _ in range(10):
                await storage.append("topic", 0, [b"x"], deadline)
                await asyncio.sleep(0.05)
            self.assertTrue(storage.available)
            self.assertEqual([True] * 4, await asyncio.gather(*calls))

        self.run_async(run())

    def test_calls_to_an_unavailable_partition_do_not_all_repeat(self):
        """Guards against waiting calls that each make 30 attempts a second, also through peers.

        A fleet of 31 gateways made 4,000 calls a second while a quarter of the partitions was
        unavailable for 4.4 s.
        """

        class PartlyDown(FakeStore):
            async def append(self, topic, partition, records, timeout_s):
                if partition == 1:
                    self.calls += 1
                    if self.mode == "refuse":
                        raise LogUnavailableError("refused")
                return 1

        async def run():
            stores = [PartlyDown("refuse") for _ in range(4)]
            storage = self.storage(stores[0], stores[1:])
            deadline = Deadline.after(Clock(), 4.0)
            waiting = [
                asyncio.ensure_future(
                    storage.append("topic", 1, [b"x"], deadline, call_timeout_s=2.0)
                )
                for _ in range(20)
            ]
            for _ in range(50):
                await storage.append("topic", 0, [b"x"], deadline)
                await asyncio.sleep(0.02)
            calls = sum(store.calls for store in stores)
            # All 20 calls make their first attempt at once. After that, one attempt is made about
            # every 0.1 s, here and through a peer.
            self.assertLess(calls, 100)
            for store in stores:
                store.mode = "ok"
            available_s = Clock().now()
            await asyncio.gather(*waiting)
            self.assertLess(Clock().now() - available_s, 0.5)

        self.run_async(run())

    def max_save_and_read_s(self, mode):
        """Return the longest times to save and read a turn while 4 of 12 partitions are down."""
        partitions = PartitionMap("turn-", 2, 12)

        async def run():
            direct = PartlyDownStore(mode)
            stores = [direct, PartlyDownStore(mode, logs=direct.logs)]
            writer = TurnStore(self.storage(stores[0], stores[1:]), partitions, TurnSettings())
            reader = TurnStore(self.storage(stores[0], stores[1:]), partitions, TurnSettings())
            save_times, read_times = [], []

            following = asyncio.ensure_future(
                record_answers([writer._storage, reader._storage], direct)
            )
            # The timeout of an attempt is estimated from these answers.
            for _ in range(3):
                await writer._storage.append("turn-0", 5, [b"x"], Deadline.after(Clock(), 2.0))
            for number in range(20):
                choices_down = [
                    partitions.of(f"t{number}", choice).index < 4 for choice in range(2)
                ]
                if all(choices_down):
                    continue
                turn = Turn(f"t{number}", b"in", b"out\n")
                started_s = Clock().now()
                await writer.save(turn, Deadline.after(Clock(), 2.0))
                save_times.append(Clock().now() - started_s)
                self.assertEqual([turn], await reader.chain(turn.id, Deadline.after(Clock(), 2.0)))
                read_times.append(Clock().now() - started_s - save_times[-1])
            following.cancel()
            self.assertGreater(len(save_times), 15)
            return max(save_times), max(read_times)

        return self.run_async(run())

    def test_turns_use_their_other_partition_when_one_refuses(self):
        """Guards against turns that each wait 0.4 s while some partitions are unavailable.

        A program of four turns has about 0.4 s of slack, so one such wait makes it late.
        """
        save_s, read_s = self.max_save_and_read_s("refuse")
        self.assertLess(save_s, 0.2)
        self.assertLess(read_s, 0.2)

    def test_turns_use_their_other_partition_when_one_is_silent(self):
        """Guards against long waits for partitions that do not answer at all.

        A save waits for one short attempt. A read waits at most 0.4 s (partition_timeout_s) before
        it reads the other partition.
        """
        save_s, read_s = self.max_save_and_read_s("silent")
        self.assertLess(save_s, 0.3)
        self.assertLess(read_s, 0.6)

    def test_another_call_makes_attempts_when_the_active_one_is_cancelled(self):
        """Guards against calls that wait for the attempts of a cancelled call."""

        async def run():
            store = FakeStore("refuse")
            storage = self.storage(store)
            storage._paths.record_answer(store)
            deadline = Deadline.after(Clock(), 4.0)
            calls = [
                asyncio.ensure_future(
                    storage.append("topic", 1, [b"x"], deadline, call_timeout_s=2.0)
                )
                for _ in range(3)
            ]
            for call in calls[:2]:
                await asyncio.sleep(0.1)
                storage._paths.record_answer(store)
                call.cancel()
            store.mode = "ok"
            self.assertEqual(1, await asyncio.wait_for(calls[2], 0.6))

        self.run_async(run())

    def test_calls_are_relayed_only_through_gateways_that_reach_the_store(self):
        """Guards against an outage at a third of the machines that some see as a whole one.

        Three of a dozen gateways that are cut off refused a call by chance, and the caller
        then waited for the next probe.
        """

        async def run():
            relays = {("peer", number): FakeStore("refuse") for number in range(12)}
            relays["peer", 12] = FakeStore()
            reaching = [("peer", 12)]
            clock = Clock()
            paths = StorePaths(
                FakeStore("refuse"),
                relays.__getitem__,
                lambda: reaching,
                clock,
                PathSettings(),
                random.Random(1),
            )
            storage = Storage(paths, clock, SETTINGS, random.Random(1), probe)
            for _ in range(20):
                await self.append(storage)
            self.assertTrue(storage.available)
            self.assertEqual(0, sum(relays["peer", number].calls for number in range(12)))

        self.run_async(run())

    def test_an_outage_is_not_answered_with_a_flood_of_relayed_calls(self):
        """Guards against a fleet in which each call is relayed through every other gateway."""

        async def run():
            relays = [FakeStore("refuse") for _ in range(30)]
            storage = self.storage(FakeStore("refuse"), relays)
            try:
                await self.append(storage)
            except LogUnavailableError:
                # The direct path goes out of use after two failures, between which the call pauses.
                # The call uses up to 3 peers before and after the pause.
                self.assertLessEqual(sum(relay.calls > 0 for relay in relays), 6)

        self.run_async(run())

    def test_answers_to_followers_show_that_a_path_works(self):
        """Guards against treating the store as unavailable when only one partition is.

        A gateway with few requests has few other answers that show that the path works.
        """

        async def run():
            direct = FakeStore("refuse")
            storage = self.storage(direct)
            call = asyncio.ensure_future(self.append(storage))
            for _ in range(12):
                storage._paths.record_answer(direct)
                await asyncio.sleep(0.05)
            self.assertTrue(storage.available)
            call.cancel()

        self.run_async(run())

    def test_reports_that_a_silent_call_may_have_taken_effect(self):
        """Guards against LogUnavailableError, which promises that nothing was appended."""

        async def run():
            storage = self.storage(FakeStore("silent"))
            try:
                await self.append(storage)
            except UnavailableError as error:
                self.assertIsInstance(error, LogAnswerLostError)

        self.run_async(run())

    def test_uses_the_direct_path_again_after_recovery(self):
        """Guards against relays that stay in use, which cost a hop and a peer's processor time."""

        async def run():
            direct, relay = FakeStore("refuse"), FakeStore()
            storage = self.storage(direct, [relay])
            prober = asyncio.ensure_future(storage.run())
            await self.append(storage)
            direct.mode = "ok"
            await asyncio.sleep(0.2)
            before = relay.calls
            await self.append(storage)
            self.assertEqual(before, relay.calls)
            prober.cancel()

        self.run_async(run())

    def test_the_timeout_adapts_to_the_answer_times(self):
        """Guards against needless repetitions if the store is slow, and late ones if it is fast."""
        estimate = RoundTripEstimate(StorageSettings())
        for _ in range(30):
            estimate.observe(0.005)
        quick_s = estimate.timeout_s(0)
        for _ in range(30):
            estimate.observe(0.3)
        self.assertLess(quick_s, 0.1)
        self.assertGreater(estimate.timeout_s(0), 0.3)
