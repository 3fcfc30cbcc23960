"""Lookup of the owner of a program, and creation or takeover where there is none."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from jayvalve.errors import OwnerUnavailableError, ProgramEndedError, ProgramUnknownError
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.membership import Member, MembershipView
from jayvalve.internal.programs import Location, OwnedProgram, OwnershipTable, ProgramId
from jayvalve.internal.runtime import split_holder_name

__all__ = ["ProgramPlacement"]

ENTRY_ROLE = "entry"
MAX_HOPS = 3

_log = logger.bind(part="ownership")


class ProgramPlacement:
    """Decides which entry runs a request for a program.

    An entry that receives a caller's request for a program that it does not own forwards it to
    the first entry in the rendezvous order of the root program. That entry looks the program up
    in the copies, so that it neither creates a program that exists nor takes one over from a
    live owner.
    """

    def __init__(
        self,
        instance: str,
        holder: str,
        table: OwnershipTable,
        view: MembershipView,
        is_draining: Callable[[], bool],
        is_settled: Callable[[], bool],
    ) -> None:
        self._instance = instance
        self._holder = holder
        self._table = table
        self._view = view
        self._is_draining = is_draining
        self._is_settled = is_settled
        self._locks: dict[str, asyncio.Lock] = {}

    def preferred_owner(self, key: str) -> str | None:
        """Return the live entry that is first in the rendezvous order of a key, or None.

        This entry is included unless it is draining.
        """
        entries = [member.instance for member in self._view.live(ENTRY_ROLE)]
        if not self._is_draining():
            entries.append(self._instance)
        return rendezvous_order(key, entries)[0] if entries else None

    async def place(
        self, identity: ProgramId, hops: int, limits: list[Any] | None
    ) -> OwnedProgram | Member:
        """Return the program if this entry owns it, else the entry to forward the request to.

        The program is created or taken over if it has no live owner. hops counts how often the
        request was forwarded. limits are the limits of a new program, or None if the request
        may not create one.

        Raises:
            ProgramUnknownError: the program does not exist and may not be created.
            ProgramEndedError: the program has ended.
            OwnerUnavailableError: the owner cannot be determined at present, or the program cannot
                be created or taken over.
        """
        key = identity.root.key
        owned = self._table.get(identity)
        if owned is not None and not owned.handing_over:
            return owned
        preferred = self.preferred_owner(key)
        if hops == 0 and preferred is not None and preferred != self._instance:
            member = self._view.get(preferred)
            if member is not None:
                return member
        lock = self._locks.setdefault(key, asyncio.Lock())
        try:
            async with lock:
                return await self._find_or_acquire(identity, hops, limits)
        finally:
            if not lock.locked():
                self._locks.pop(key, None)

    async def _find_or_acquire(
        self, identity: ProgramId, hops: int, limits: list[Any] | None
    ) -> OwnedProgram | Member:
        owned = self._table.get(identity)
        if owned is not None and not owned.handing_over:
            return owned
        if not self._is_settled():
            # A lookup among the few processes that are known so far could miss all copies.
            raise OwnerUnavailableError(
                "this entry has just started and does not know all members yet"
            )
        location = await self._table.lookup(identity)
        if location is None:
            return await self._create(identity, limits)
        if location.ended:
            raise ProgramEndedError(f"program {identity.name} has ended")
        owner = self._live_owner(location)
        if owner is not None:
            if hops >= MAX_HOPS:
                raise OwnerUnavailableError(f"the owner of program {identity.name} is changing")
            return owner
        _log.info("taking over program {} from {}", identity.root.key, location.owner)
        await self._table.take_over(identity)
        return self._require_owned(identity)

    async def _create(self, identity: ProgramId, limits: list[Any] | None) -> OwnedProgram:
        if limits is None:
            raise ProgramUnknownError(f"program {identity.name} is not known")
        if self._is_draining():
            raise OwnerUnavailableError("this entry is draining and creates no programs")
        await self._table.create(identity, limits)
        return self._require_owned(identity)

    def _require_owned(self, identity: ProgramId) -> OwnedProgram:
        owned = self._table.get(identity)
        if owned is None:
            raise OwnerUnavailableError(f"the owner of program {identity.name} is changing")
        return owned

    def _live_owner(self, location: Location) -> Member | None:
        instance, incarnation = split_holder_name(location.owner)
        # This process does not serve the program at present, even if the copies name it as owner.
        if location.owner == self._holder:
            return None
        member = self._view.get(instance)
        if member is None or member.incarnation != incarnation or member.state.is_gone:
            return None
        return member
