"""Reading a program's copies: lookup of its owner and recovery of its history for a new owner."""

import asyncio
from collections.abc import Callable, Iterable

import attrs
from loguru import logger

from jayvalve.errors import (
    HistoryUnavailableError,
    JayvalveError,
    OwnerUnavailableError,
    ProgramEndedError,
    ProgramUnknownError,
    StaleTermError,
)
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.programs.copies import CopyStore
from jayvalve.internal.programs.copy_set import has_quorum
from jayvalve.internal.programs.copy_writer import Send
from jayvalve.internal.programs.history import Program
from jayvalve.internal.programs.identity import ProgramId, Term
from jayvalve.internal.programs.records import EMPTY_CHAIN, chain
from jayvalve.internal.wire.messages import CopyRead, CopyState

__all__ = ["CopyReader", "Location"]

READ_TIMEOUT_S = 1.0
# A lookup asks all processes of a deployment of up to MAX_FULL_LOOKUP processes, and
# LARGE_LOOKUP_SIZE processes of a larger deployment.
MAX_FULL_LOOKUP = 16
LARGE_LOOKUP_SIZE = 8
# At least two live processes hold a program, so a single silent process cannot hide it. If
# there are two data centres, these processes are in different ones, so the silent processes of
# a single data centre cannot hide the program either.
MAX_SILENT = 1
# Maximum number of rounds in CopyReader.gather. Each round follows one more change of the copy
# set, and changes are minutes apart.
MAX_ROUNDS = 8

_log = logger.bind(part="ownership")


@attrs.frozen
class Location:
    """Location of a program according to its copies.

    Attributes:
        owner: Name of the owner; meaningless if the program has ended.
        term: Highest term seen.
        sets: Copy sets of the program; empty if it has ended.
        ended: Whether the program has ended.
        silent: Processes chosen for the lookup that gave no valid answer, including those
            that were not asked because they are believed dead.

    """

    owner: str
    term: Term
    sets: list[list[str]]
    ended: bool
    silent: frozenset[str] = frozenset()


def _accepted_term(state: CopyState) -> Term:
    return Term(state.epoch, state.handover)


def _promised_term(state: CopyState) -> Term:
    return max(_accepted_term(state), Term(state.promised_epoch, state.promised_handover))


def _recency(state: CopyState) -> tuple[Term, int]:
    return _accepted_term(state), len(state.records)


class CopyReader:
    """Reads copies on behalf of one process.

    Args:
        store: Copies that this process stores.
        send: Sends a message to a process and returns the reply.
        peers: Returns the names of the processes that may hold copies and have not ended
            permanently, mapped to their data centres.
        has_ended: Returns whether a process has ended permanently.
        is_believed_dead: Returns whether a process is believed dead. A lookup does not ask such a
            process but treats it as silent, because it may only be cut off from this process.

    """

    def __init__(
        self,
        store: CopyStore,
        send: Send,
        peers: Callable[[], dict[str, str]],
        has_ended: Callable[[str], bool] = lambda name: False,
        is_believed_dead: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._store = store
        self._send = send
        self._peers = peers
        self._is_believed_dead = is_believed_dead
        self._has_ended = has_ended

    async def lookup(self, key: str) -> Location | None:
        """Return the location of a program, or None if it does not exist in any process.

        Raises:
            OwnerUnavailableError: no process that answered has the program, but too few
                answered to rule out that it exists.

        """
        data_centres = self._peers()
        names = rendezvous_order(key, {self._store.holder, *data_centres})
        chosen = names if len(names) <= MAX_FULL_LOOKUP else names[:LARGE_LOOKUP_SIZE]
        asked = [name for name in chosen if not self._is_believed_dead(name)]
        states = await self._read_copies(key, asked, Term(0), promise=False)
        silent = frozenset(chosen) - states.keys()
        found = [state for state in states.values() if state.found]
        if not found:
            silent_data_centres = {data_centres.get(name, name) for name in silent}
            may_hide_program = len(silent) > MAX_SILENT and len(silent_data_centres) > 1
            if may_hide_program or len(silent) >= len(states):
                raise OwnerUnavailableError(
                    f"only {len(states)} of {len(chosen)} processes answered for {key}"
                )
            return None
        latest = max(found, key=_recency)
        ended = any(state.ended for state in found)
        sets = [] if ended else self._member_sets(key, latest)
        owner = latest.members[0] if latest.members else ""
        return Location(owner, max(map(_promised_term, states.values())), sets, ended, silent)

    def can_gather(self, location: Location) -> bool:
        """Return whether a takeover can reach a read quorum, judging by a lookup."""
        members = {name for copy_set in location.sets for name in copy_set}
        # Members that the lookup did not choose are counted: they may answer the takeover.
        answering = {name for name in members if name not in location.silent}
        answering -= {name for name in members if self._has_ended(name)}
        return self._is_read_quorum(location.sets, answering)

    def _is_read_quorum(self, sets: list[list[str]], answered: Iterable[str]) -> bool:
        return has_quorum(sets, set(answered), read=True, has_ended=self._has_ended)

    async def reserve(self, key: str, members: list[str], term: Term) -> None:
        """Fence all other creators of a program at a read quorum of its first copy set.

        Raises:
            OwnerUnavailableError: too few members answered, or a member has the program.
            StaleTermError: another entry is creating the program under a higher term.
            ProgramEndedError: a member has the tombstone of the program.

        """
        states = await self._read_copies(key, members, term, promise=True)
        _check_promises(key, states, term)
        exists = any(state.found for state in states.values())
        if exists or not has_quorum([members], states, read=True):
            raise OwnerUnavailableError(
                f"program {key} already exists, or too few of {members} answered"
            )

    async def gather(self, key: str, sets: list[list[str]], term: Term) -> list[bytes]:
        """Fence all earlier owners and return the history with every acknowledged record.

        Raises:
            HistoryUnavailableError: too few members answered.
            StaleTermError: a member has seen a higher term.
            ProgramEndedError: a member has the tombstone of the program.
            ProgramUnknownError: no member has records of the program.

        """
        states: dict[str, CopyState] = {}
        for _ in range(MAX_ROUNDS):
            missing = {name for members in sets for name in members} - states.keys()
            states.update(await self._read_copies(key, missing, term, promise=True))
            _check_promises(key, states, term)
            member_states = {name: state for name, state in states.items() if name in state.members}
            found = [state for state in member_states.values() if state.found]
            latest = max(found, key=_recency, default=None)
            newer = self._member_sets(key, latest) if latest else sets
            if newer == sets:
                break
            sets = newer
        if newer != sets or not self._is_read_quorum(sets, member_states):
            raise HistoryUnavailableError(
                f"{sorted(member_states)} answered for {key}, but a quorum of {sets} is required"
            )
        if latest is None:
            raise ProgramUnknownError(f"no member of {sets} has records of {key}")
        return list(latest.records)

    async def _read_copies(
        self, key: str, names: Iterable[str], term: Term, *, promise: bool
    ) -> dict[str, CopyState]:
        message = CopyRead(key, term.epoch, term.handover, promise)

        async def read_copy(name: str) -> tuple[str, CopyState | None]:
            if name == self._store.holder:
                return name, self._store.read(message)
            try:
                return name, await self._send(name, message, READ_TIMEOUT_S)
            except (JayvalveError, TimeoutError) as error:
                _log.debug("reading {} from {} failed: {}", key, name, error)
                return name, None

        answers = await asyncio.gather(*map(read_copy, names))
        return {
            name: state
            for name, state in answers
            if state is not None and _has_valid_checksum(key, state)
        }

    def _member_sets(self, key: str, state: CopyState) -> list[list[str]]:
        return Program.from_records(ProgramId.from_key(key), state.records).member_sets


def _has_valid_checksum(key: str, state: CopyState) -> bool:
    valid = chain(EMPTY_CHAIN, state.records) == state.checksum
    if not valid:
        _log.error("ignored a copy of {} with a wrong checksum", key)
    return valid


def _check_promises(key: str, states: dict[str, CopyState], term: Term) -> None:
    if any(state.ended for state in states.values()):
        raise ProgramEndedError(f"program {key} has ended")
    highest = max(map(_promised_term, states.values()), default=term)
    if highest > term:
        raise StaleTermError(f"program {key} has term {highest}, {term} is too low")
