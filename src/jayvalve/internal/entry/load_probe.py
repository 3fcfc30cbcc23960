"""Load queries to endpoints whose last load report is old."""

import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from jayvalve.errors import JayvalveError
from jayvalve.internal.membership import Member
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import PeerPool
from jayvalve.internal.wire.messages import LoadQuery

__all__ = ["STALE_AFTER_S", "Candidate", "LoadProbe"]

# In a full mesh each sidecar reports every 0.5 s. Reports become this old, and queries are sent,
# only in larger deployments.
STALE_AFTER_S = 2.0
QUERIES_PER_CALL = 2
# Limits the control traffic of the queries to 600 B/s. It is also the maximum burst.
QUERIES_PER_S = 10.0
QUERY_TIMEOUT_S = 1.0


@attrs.frozen
class Candidate:
    """An endpoint that can serve a call, with the age of its load report."""

    name: str
    sidecar: Member
    age_s: float


class LoadProbe:
    """Queries two random candidates with old load reports (power of two choices).

    The call that causes the queries does not wait for them; the replies help to route the calls
    after it.
    """

    def __init__(
        self,
        pool: PeerPool,
        clock: Clock,
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
        observe: Callable[[str, dict[str, object]], None],
        rng: random.Random | None = None,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._spawn = spawn
        self._observe = observe
        self._rng = rng or random.Random()
        self._allowance = QUERIES_PER_S
        self._refilled_s = clock.now()
        self._in_progress: set[str] = set()

    def start_queries(self, candidates: Sequence[Candidate]) -> int:
        """Start queries to candidates with old reports and return the number of queries.

        Candidates with a query in progress are left out, and the rate limit may allow fewer.
        """
        stale = [
            item
            for item in candidates
            if item.age_s > STALE_AFTER_S and item.name not in self._in_progress
        ]
        chosen = self._rng.sample(stale, min(QUERIES_PER_CALL, len(stale)))
        started = 0
        for item in chosen:
            if not self._take_allowance():
                break
            self._in_progress.add(item.name)
            self._spawn(self._query(item))
            started += 1
        return started

    def _take_allowance(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_s) * QUERIES_PER_S
        self._allowance = min(QUERIES_PER_S, self._allowance + refill)
        self._refilled_s = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    async def _query(self, candidate: Candidate) -> None:
        try:
            report = await self._pool.call(candidate.sidecar.address, LoadQuery(), QUERY_TIMEOUT_S)
            self._observe(candidate.name, attrs.asdict(report))
        except JayvalveError:
            # The failure detector decides whether the process is dead; a query only reads its load.
            return
        finally:
            self._in_progress.discard(candidate.name)
