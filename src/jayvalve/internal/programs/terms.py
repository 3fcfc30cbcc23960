"""Allocation of terms for the programs that one entry acquires."""

import asyncio
import weakref
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from jayvalve.internal.programs.identity import Term

__all__ = ["AcquireEpoch", "KeyLocks", "TermSource"]

AcquireEpoch = Callable[[str], Awaitable[int]]

# Maximum number of programs whose last term is stored. The terms are kept after a program is
# dropped, so that this entry never uses a term twice for the same program.
MAX_STORED_TERMS = 100_000


class TermSource:
    """Allocates a term for each acquisition of a program.

    A program never gets the same term twice. Different programs may have the same term.

    Args:
        acquire_epoch: Appends a ``join`` or ``takeover`` record to the log and returns an epoch
            that is higher than all earlier ones.

    """

    def __init__(self, acquire_epoch: AcquireEpoch) -> None:
        self._acquire_epoch = acquire_epoch
        self._epoch: int | None = None
        self._last_terms: OrderedDict[str, Term] = OrderedDict()

    @property
    def epoch(self) -> int | None:
        """Latest epoch of the entry, or None before join."""
        return self._epoch

    async def join(self) -> None:
        """Acquire the first epoch."""
        self._epoch = await self._acquire_epoch("join")

    async def allocate(self, key: str, highest: Term) -> Term:
        """Return a new term above highest.

        A new epoch is acquired only if the current one is too low.
        """
        lower_bound = max(highest, self._last_terms.get(key, Term(0)))
        if self._epoch is None or Term(self._epoch) <= lower_bound:
            self._epoch = await self._acquire_epoch("takeover")
        term = Term(self._epoch)
        self._record(key, term)
        return term

    def accept(self, key: str, term: Term) -> bool:
        """Record a term that another entry allocated.

        Return False if it is not higher than the last term stored for the program.
        """
        if term <= self._last_terms.get(key, Term(0)):
            return False
        self._record(key, term)
        return True

    def _record(self, key: str, term: Term) -> None:
        self._last_terms[key] = term
        self._last_terms.move_to_end(key)
        while len(self._last_terms) > MAX_STORED_TERMS:
            self._last_terms.popitem(last=False)


class KeyLocks:
    """One lock per key, which exists only while a task holds it or waits for it."""

    def __init__(self) -> None:
        self._locks: weakref.WeakValueDictionary[str, asyncio.Lock] = weakref.WeakValueDictionary()

    def get(self, key: str) -> asyncio.Lock:
        """Return the lock of a key."""
        lock = self._locks.get(key)
        if lock is None:
            lock = self._locks[key] = asyncio.Lock()
        return lock
