"""Periodic maintenance of the programs that an entry owns."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable

from jayvalve.errors import JayvalveError
from jayvalve.internal.entry.members import EntryMembers
from jayvalve.internal.entry.placement import ProgramPlacement
from jayvalve.internal.entry.programs import ProgramCalls
from jayvalve.internal.entry.service import EntryService
from jayvalve.internal.programs import OwnershipTable, ProgramId
from jayvalve.internal.runtime import Runtime, holder_name

__all__ = ["ProgramUpkeep"]

UPKEEP_INTERVAL_S = 1.0
JOIN_RETRY_S = 1.0


class ProgramUpkeep:
    """Ends idle programs, replaces lost copies and hands programs to their preferred owner."""

    def __init__(
        self,
        runtime: Runtime,
        members: EntryMembers,
        table: OwnershipTable,
        placement: ProgramPlacement,
        calls: ProgramCalls,
        service: EntryService,
        idle_limit_s: Callable[[], float],
    ) -> None:
        self._runtime = runtime
        self._members = members
        self._table = table
        self._placement = placement
        self._calls = calls
        self._service = service
        self._idle_limit_s = idle_limit_s

    async def join(self) -> None:
        """Acquire the first epoch, and retry until the log grants one."""
        while self._table.epoch is None:
            try:
                await self._table.join()
            except JayvalveError:
                await asyncio.sleep(JOIN_RETRY_S)

    async def run(self) -> None:
        """Maintain the programs at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            await self._end_idle()
            await self._repair_copy_sets()
            if not self._runtime.draining:
                await self.hand_over_idle()

    async def hand_over_idle(self) -> None:
        """Hand over idle programs to the entry that is first in their rendezvous order."""
        own = self._runtime.identity.instance
        for key in self._table.programs:
            identity = ProgramId.from_key(key)
            successor = self._placement.preferred_owner(key)
            if successor not in (None, own) and self._calls.is_idle(identity):
                await self._hand_over(identity, successor)

    async def program_state(self, key: str) -> str:
        """Return active, ended, unknown, or undecided if too few copies answer."""
        identity = ProgramId.from_key(key)
        if self._table.get(identity) is not None:
            # An owner that was partitioned may not have detected that it was replaced.
            with contextlib.suppress(JayvalveError):
                await self._table.confirm(identity)
        if self._table.get(identity) is not None:
            return "active"
        try:
            location = await self._table.lookup(identity)
        except JayvalveError:
            return "undecided"
        if location is None:
            return "unknown"
        return "ended" if location.ended else "active"

    async def _end_idle(self) -> None:
        for identity in self._calls.idle_programs(self._idle_limit_s()):
            with contextlib.suppress(JayvalveError):
                await self._service.end_program(identity)

    async def _repair_copy_sets(self) -> None:
        usable = {name for name, _ in self._members.holders()} | {self._runtime.holder}
        for key in self._table.programs:
            identity = ProgramId.from_key(key)
            owned = self._table.get(identity)
            if owned is None or usable.issuperset(itertools.chain(*owned.writer.sets)):
                continue
            with contextlib.suppress(JayvalveError):
                await self._table.change_copy_set(identity)

    async def _hand_over(self, identity: ProgramId, successor: str) -> None:
        owned = self._table.get(identity)
        member = self._runtime.view.get(successor)
        if owned is None or member is None:
            return
        with contextlib.suppress(JayvalveError):
            await self._table.hand_over(identity, holder_name(member.instance, member.incarnation))
        if self._table.get(identity) is None:
            self._calls.forget(owned)
