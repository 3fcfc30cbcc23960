"""Checks of ownership, replication and takeover over a faulty network."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import ExpectedException, TestCase

from jayvalve.errors import (
    HistoryUnavailableError,
    JayvalveError,
    OwnerUnavailableError,
    PeerUnavailableError,
    ProgramEndedError,
    ProgramUnknownError,
    StaleTermError,
)
from jayvalve.internal.programs import Amount, CopyStore, ProgramId
from tests.fakes_network import Checker, FakeNetwork, Violation, VirtualTimeLoop

HOSTS = {"a": "catania", "b": "palermo", "c": "siracusa", "d": "catania", "e": "palermo"}
PROGRAM = ProgramId("club", "p")
LIMITS = [100, None, None]


class UnfencedCopyStore(CopyStore):
    """A faulty store that accepts writes of earlier owners."""

    def _fenced(self, copy, term):
        return False


def intent(tag, tokens=10, name="p"):
    def build(program):
        return program.intent_record(
            name,
            turn=program.agent(name).last_turn + 1,
            request_id=tag,
            attempt_id=f"{tag}-{program.count}",
            amount=Amount(tokens, 1),
            endpoint="engine",
            incarnation=1,
        )

    return build


def settle(program):
    attempt = next(iter(program.intents))
    return program.turn_record(attempt, used=Amount(7, 1), verdict="ran", messages=["m"])


class ClusterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.checker = Checker()

    def start(self, hosts=HOSTS, **arguments):
        self.network = FakeNetwork(self.loop, hosts, **arguments)
        return self.network.processes

    def run_body(self, body):
        return self.loop.run_until_complete(asyncio.wait_for(body, 300))

    async def create(self, host="a"):
        process = self.network.processes[host]
        await process.table.create(PROGRAM, LIMITS)
        self.checker.acknowledge(PROGRAM.key, process.store.records(PROGRAM.key)[0])
        return process


class OwnershipTest(ClusterTest):
    def test_takeover_after_owner_died(self):
        """Guards against turns, budget or open intents lost with the owner."""
        processes = self.start()

        async def body():
            owner = await self.create()
            await self.checker.append(owner, PROGRAM, intent("r"))
            self.network.restart("a")
            await self.checker.take_over(processes["d"], PROGRAM)
            program = processes["d"].table.get(PROGRAM).program
            self.assertEqual(1, len(program.intents))
            self.assertEqual(10, program.agent("p").budget.used.tokens)
            location = await processes["b"].table.lookup(PROGRAM)
            self.assertEqual("d#1", location.owner)
            self.assertEqual([["d#1"]], [members[:1] for members in location.sets])

        self.run_body(body())

    def test_all_members_hold_each_record(self):
        """Guards against a second copy that is left behind although it is reachable."""
        processes = self.start()

        async def body():
            owner = await self.create()
            await asyncio.gather(
                *(self.checker.append(owner, PROGRAM, intent(f"r{i}")) for i in range(5))
            )
            held = [len(process.store.records(PROGRAM.key)) for process in processes.values()]
            self.assertEqual([6, 6, 6], [count for count in held if count])

        self.run_body(body())

    def test_paused_owner_is_fenced(self):
        """Guards against an owner that acknowledges records after it was replaced."""
        self._race(CopyStore)

    def test_checker_catches_missing_fencing(self):
        """Guards against a checker that passes everything."""
        with ExpectedException(Violation):
            self._race(UnfencedCopyStore)

    def _race(self, store_class):
        processes = self.start(store_class=store_class)

        async def body():
            owner = await self.create()
            # The owner is cut off from the new one, but both reach the copies.
            self.network.blocked = {("a", "d"), ("d", "a")}
            await self.checker.take_over(processes["d"], PROGRAM)
            await self.checker.append(processes["d"], PROGRAM, intent("new"))
            try:
                await self.checker.append(owner, PROGRAM, intent("old"))
            except StaleTermError:
                self.assertIsNone(owner.table.get(PROGRAM))
            self.checker.check_history(PROGRAM, processes["d"].store.records(PROGRAM.key))

        self.run_body(body())

    def test_one_copy_left_is_refused(self):
        """Guards against a takeover that may miss acknowledged records."""
        processes = self.start()

        async def body():
            owner = await self.create()
            members = owner.table.get(PROGRAM).writer.members
            for name in members[:2]:
                self.network.restart(name[0])
            survivor = processes[members[2][0]]
            with ExpectedException(HistoryUnavailableError):
                await survivor.table.take_over(PROGRAM)

        self.run_body(body())

    def test_no_quorum(self):
        """Guards against an acknowledgement while no other data centre has the record."""
        self.start()

        async def body():
            owner = await self.create()
            self.network.blocked = {("a", host) for host in HOSTS}
            with ExpectedException(HistoryUnavailableError):
                await self.checker.append(owner, PROGRAM, intent("r"))
            self.network.blocked = set()
            # The pending record goes out with the next one.
            await self.checker.append(owner, PROGRAM, settle)

        self.run_body(body())

    def test_replaced_member(self):
        """Guards against a copy set that is not restored after a member has died."""
        processes = self.start()

        async def body():
            owner = await self.create()
            lost = owner.table.get(PROGRAM).writer.members[1]
            self.network.restart(lost[0])
            await self.checker.append(owner, PROGRAM, intent("r"))
            await owner.table.change_copy_set(PROGRAM)
            members = owner.table.get(PROGRAM).writer.members
            self.assertNotIn(lost, members)
            self.assertEqual(3, len(members))
            # The owner and the old second copy die; the new member has everything.
            self.network.restart("a")
            await self.checker.take_over(processes[members[1][0]], PROGRAM)

        self.run_body(body())

    def test_hand_over(self):
        """Guards against a planned stop that loses records or needs the log."""
        processes = self.start()

        async def body():
            owner = await self.create()
            epoch = owner.table.epoch
            await self.checker.append(owner, PROGRAM, intent("r"))
            await owner.table.hand_over(PROGRAM, "c#1")
            owned = processes["c"].table.get(PROGRAM)
            self.assertEqual((epoch, 1), (owned.writer.term.epoch, owned.writer.term.handover))
            self.assertIsNone(owner.table.get(PROGRAM))
            self.checker.check_history(PROGRAM, processes["c"].store.records(PROGRAM.key))
            await self.checker.append(processes["c"], PROGRAM, settle)

        self.run_body(body())

    def test_hand_over_not_sent(self):
        """Guards against a program without owner when the successor is gone."""
        self.start()

        async def body():
            owner = await self.create()
            with ExpectedException(PeerUnavailableError):
                await owner.table.hand_over(PROGRAM, "c#9")
            await self.checker.append(owner, PROGRAM, intent("r"))

        self.run_body(body())

    def test_unknown_needs_a_majority(self):
        """Guards against a program that is created twice because its owner did not answer."""
        processes = self.start()

        async def body():
            self.assertIsNone(await processes["a"].table.lookup(PROGRAM))
            with ExpectedException(ProgramUnknownError):
                await processes["a"].table.take_over(PROGRAM)
            for host in "bcd":
                self.network.pause(host)
            with ExpectedException(OwnerUnavailableError):
                await processes["a"].table.lookup(PROGRAM)

        self.run_body(body())

    def test_ended_program(self):
        """Guards against memory of ended programs and against their revival."""
        processes = self.start()

        async def body():
            owner = await self.create()
            self.assertEqual(set(), await owner.table.end(PROGRAM))
            held = [process.store.bytes_held for process in processes.values()]
            self.assertEqual([0] * 5, held)
            with ExpectedException(ProgramEndedError):
                await processes["b"].table.take_over(PROGRAM)

        self.run_body(body())


PROGRAMS = [PROGRAM, ProgramId("gym", "p")]
host_names = st.sampled_from(sorted(HOSTS))
programs = st.sampled_from(PROGRAMS)


class OwnershipMachine(RuleBasedStateMachine):
    """Operations overlap: each rule starts a task and lets a short time pass."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.network = FakeNetwork(self.loop, HOSTS, seed=7)
        self.checker = Checker()
        self.tasks = []
        self.restarts = 0
        self.tags = 0

    def begin(self, coroutine):
        self.tasks.append(self.loop.create_task(coroutine))
        self.pass_time(0.001)

    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for task in [task for task in self.tasks if task.done()]:
            self.tasks.remove(task)
            if not isinstance(task.exception(), JayvalveError):
                task.result()

    @rule(program=programs, host=host_names)
    def create(self, program, host):
        # A program whose every copy is lost may be created anew; that is out of scope here.
        if self.restarts == 0:
            self.begin(self._create(self.network.processes[host], program))

    async def _create(self, process, program):
        await process.table.create(program, LIMITS)
        if process.table.get(program):
            self.checker.acknowledge(program.key, process.store.records(program.key)[0])

    @rule(program=programs, host=host_names, tokens=st.integers(1, 60))
    def intent(self, program, host, tokens):
        self.tags += 1
        process = self.network.processes[host]
        build = intent(f"{host}{self.tags}", tokens)
        self.begin(self.checker.append(process, program, build))

    @rule(program=programs, host=host_names)
    def settle(self, program, host):
        owned = self.network.processes[host].table.get(program)
        if owned and owned.program.intents:
            process = self.network.processes[host]
            self.begin(self.checker.append(process, program, settle))

    @rule(program=programs, host=host_names)
    def take_over(self, program, host):
        self.begin(self.checker.take_over(self.network.processes[host], program))

    @rule(program=programs, host=host_names, successor=host_names)
    def hand_over(self, program, host, successor):
        name = self.network.processes[successor].name
        if host != successor:
            self.begin(self.network.processes[host].table.hand_over(program, name))

    @rule(program=programs, host=host_names)
    def change_copy_set(self, program, host):
        self.begin(self.network.processes[host].table.change_copy_set(program))

    @rule(host=host_names)
    def pause(self, host):
        self.network.pause(host)

    @rule(host=host_names)
    def resume(self, host):
        self.network.resume(host)

    @rule(host=host_names)
    def restart(self, host):
        self.restarts += 1
        self.network.restart(host)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), delay_s=st.sampled_from([0.002, 0.05, 2.0]))
    def disturb(self, loss, delay_s):
        self.network.loss = loss
        self.network.duplication = loss
        self.network.max_delay_s = delay_s

    @rule(source=host_names, receiver=host_names)
    def block(self, source, receiver):
        self.network.blocked.add((source, receiver))

    @rule(seconds=st.sampled_from([0.01, 0.2, 3.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    @invariant()
    def budgets_hold(self):
        for process in self.network.processes.values():
            for program in PROGRAMS:
                owned = process.table.get(program)
                if owned and owned.program.count:
                    self.checker.check_budget(owned.program)
                    used = owned.program.agent(program.name).budget.used
                    assert used.tokens <= LIMITS[0], used

    def teardown(self):
        try:
            self._settle_down()
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    def _settle_down(self):
        self.network.loss = self.network.duplication = 0.0
        self.network.max_delay_s = 0.002
        self.network.blocked = set()
        for host in HOSTS:
            self.network.resume(host)
        self.pass_time(200.0)
        for program in self.checker.acknowledged:
            self._check_last_owner(ProgramId.from_key(program))

    def _check_last_owner(self, program):
        async def body():
            for process in self.network.processes.values():
                try:
                    process.table.drop(program.key)
                    await self.checker.take_over(process, program)
                except (HistoryUnavailableError, ProgramUnknownError):
                    # Refusal is right only if members of the copy set have died.
                    if not self.restarts:
                        raise

        self.loop.run_until_complete(body())


OwnershipMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
OwnershipStatefulTest = OwnershipMachine.TestCase
