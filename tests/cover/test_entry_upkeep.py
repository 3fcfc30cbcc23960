"""An entry maintains its programs for as long as it runs."""

import asyncio
from types import SimpleNamespace

from jayvalve.internal.entry.upkeep import ProgramUpkeep
from tests.gateway_fleet import run_virtual
from tests.support import AsyncTestCase

KEY = "club/p"


class FakeTable:
    """Owns one program with the given copy sets."""

    def __init__(self, sets):
        self.programs = [KEY]
        self.changed = 0
        self._owned = SimpleNamespace(writer=SimpleNamespace(sets=sets))

    def get(self, identity):
        return self._owned

    async def change_copy_set(self, identity):
        self.changed += 1


def make_upkeep(table, holders):
    runtime = SimpleNamespace(
        holder="entry-a#1", draining=False, identity=SimpleNamespace(instance="entry-a")
    )
    return ProgramUpkeep(
        runtime,
        SimpleNamespace(holders=lambda: [(name, None) for name in holders]),
        table,
        SimpleNamespace(preferred_owner=lambda key: "entry-a"),
        SimpleNamespace(idle_programs=lambda limit_s: [], is_idle=lambda identity: False),
        SimpleNamespace(),
        lambda: 60.0,
    )


class UpkeepTests(AsyncTestCase):
    def changes(self, sets, holders):
        """Return the number of changes of copy sets in 3.5 s, and whether the upkeep goes on."""

        async def run(loop):
            table = FakeTable(sets)
            task = asyncio.ensure_future(make_upkeep(table, holders).run())
            await asyncio.sleep(3.5)
            running = not task.done()
            task.cancel()
            return table.changed, running

        return run_virtual(run)

    def test_upkeep_goes_on_while_a_copy_set_is_being_changed(self):
        """Guards against an entry that no longer replaces lost copies.

        A program has two copy sets while they are being changed, and that once raised a TypeError.
        """
        usable = [["entry-a#1", "entry-b#1"], ["entry-a#1", "entry-c#1"]]
        self.assertEqual((0, True), self.changes(usable, ["entry-b#1", "entry-c#1"]))

    def test_a_lost_holder_in_either_set_is_replaced(self):
        """Guards against programs whose copies are lost one after the other."""
        sets = [["entry-a#1", "entry-b#1"], ["entry-a#1", "entry-lost#1"]]
        self.assertEqual((3, True), self.changes(sets, ["entry-b#1"]))
        self.assertEqual((3, True), self.changes(sets[::-1], ["entry-b#1"]))
