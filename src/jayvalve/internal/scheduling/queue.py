"""Queues of calls in front of an endpoint."""

from collections import OrderedDict
from typing import Protocol

import attrs

from jayvalve.errors import QueueFullError
from jayvalve.internal.registry import Registry
from jayvalve.internal.scheduling.calls import QueuedCall, Rank
from jayvalve.internal.scheduling.fairness import RankBalance
from jayvalve.internal.scheduling.heap import LazyHeap
from jayvalve.internal.scheduling.rank_queue import RankQueue

__all__ = ["EndpointQueue", "FcfsQueue", "QueueSettings", "WaitingQueue", "queue_policies"]


@attrs.frozen
class QueueSettings:
    """Limits and ordering rules of a queue.

    Attributes:
        max_waiting: Maximum number of waiting calls, over both ranks.
        floor: Share of served tokens guaranteed to ordinary work.
        worth_urgent: Weight of urgent work.
        worth_ordinary: Weight of ordinary work. Its share of service is its part of the sum of
            both weights, or the floor if that is larger.
        ageing_s: Wait after which a call goes first within its rank, in seconds.

    """

    max_waiting: int = 1024
    floor: float = 0.3
    worth_urgent: float = 10.0
    worth_ordinary: float = 1.0
    ageing_s: float = 30.0


class WaitingQueue(Protocol):
    """Interface of the queues in ``queue_policies``; constructed with QueueSettings."""

    def __len__(self) -> int:
        """Return the number of waiting calls."""

    def offer(self, call: QueuedCall, now: float) -> None:
        """Add a call whose id is not waiting yet, or raise QueueFullError."""

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the next call that has not expired, or None if there is none."""

    def expire(self, now: float) -> list[QueuedCall]:
        """Return the expired calls that this method has not returned before; none of them ran."""

    def cancel(self, call_id: object) -> QueuedCall | None:
        """Remove and return a waiting call, or return None if it is not waiting."""

    def settle(self, call: QueuedCall, served_tokens: float) -> None:
        """Replace the estimated service charged for a taken call with the actual service."""

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting calls of a rank."""

    def waiting_tokens(self, rank: Rank) -> float:
        """Return the estimated service of the waiting calls of a rank."""


queue_policies: Registry[type] = Registry("queue policy")


class _Deadlines:
    """Finds expired calls; calls without a deadline are not stored."""

    def __init__(self) -> None:
        self._heap: LazyHeap[object] = LazyHeap()

    def add(self, call: QueuedCall) -> None:
        if call.deadline_s != float("inf"):
            self._heap.push(call.deadline_s, call.call_id)

    def discard(self, call_id: object) -> None:
        self._heap.discard(call_id)

    def pop_expired(self, now: float) -> object | None:
        """Remove and return the id of an expired call, or return None."""
        top = self._heap.peek()
        if top is None or top[0] > now:
            return None
        self._heap.pop()
        return top[1]


@queue_policies.register("jayvalve")
class EndpointQueue:
    """Bounded queue of two ranks with a guaranteed share of service for ordinary work.

    Expired calls are never served: ``take`` removes them from the queue and ``expire`` returns
    them, so that the owner can report each of them as not run.
    """

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self._settings = settings = settings or QueueSettings()
        self._ranks = {rank: RankQueue(settings.ageing_s) for rank in Rank}
        self._rank_of: dict[object, Rank] = {}
        self._balance = RankBalance(settings.floor, settings.worth_urgent, settings.worth_ordinary)
        self._deadlines = _Deadlines()
        self._expired: list[QueuedCall] = []

    def __len__(self) -> int:
        return len(self._rank_of)

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting calls of a rank."""
        return len(self._ranks[rank])

    def waiting_tokens(self, rank: Rank) -> float:
        """Return the estimated service of the waiting calls of a rank."""
        return self._ranks[rank].waiting_tokens

    @property
    def balance(self) -> RankBalance:
        """The balance that decides which rank is served next."""
        return self._balance

    def offer(self, call: QueuedCall, now: float) -> None:
        """Add a call.

        Raises:
            QueueFullError: the queue is full; verdict not_run.
            ValueError: a call with the same id is waiting.

        """
        if call.call_id in self._rank_of:
            raise ValueError(f"call_id={call.call_id!r} is already waiting")
        if len(self) >= self._settings.max_waiting:
            raise QueueFullError(f"queue is full: {len(self)} calls are waiting")
        self._ranks[call.rank].add(call, now)
        self._rank_of[call.call_id] = call.rank
        self._deadlines.add(call)

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the next call, or None, and charge its estimated service."""
        self._collect_expired(now)
        urgent, ordinary = self._ranks[Rank.URGENT], self._ranks[Rank.ORDINARY]
        if not self._rank_of:
            return None
        rank = self._balance.next_rank(len(urgent) > 0, len(ordinary) > 0)
        call = self._ranks[rank].take(now)
        self._forget(call)
        other = ordinary if rank is Rank.URGENT else urgent
        self._balance.charge(rank, call.cost_tokens, len(other) > 0)
        if not len(ordinary):
            self._balance.record_ordinary_idle()
        return call

    def expire(self, now: float) -> list[QueuedCall]:
        """Return the expired calls that this method has not returned before."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, call_id: object) -> QueuedCall | None:
        """Remove and return a waiting call, or return None if it is not waiting."""
        rank = self._rank_of.get(call_id)
        if rank is None:
            return None
        call = self._ranks[rank].remove(call_id)
        self._forget(call)
        return call

    def settle(self, call: QueuedCall, served_tokens: float) -> None:
        """Replace the estimated service charged for a taken call with the actual service."""
        difference = served_tokens - call.cost_tokens
        self._ranks[call.rank].correct(call.caller, difference)
        other = Rank.ORDINARY if call.rank is Rank.URGENT else Rank.URGENT
        self._balance.charge(call.rank, difference, self.waiting(other) > 0)

    def _collect_expired(self, now: float) -> None:
        while (call_id := self._deadlines.pop_expired(now)) is not None:
            self._expired.append(self.cancel(call_id))

    def _forget(self, call: QueuedCall) -> None:
        del self._rank_of[call.call_id]
        self._deadlines.discard(call.call_id)


@queue_policies.register("fcfs")
class FcfsQueue:
    """First-come, first-served queue without ranks; the baseline for comparisons."""

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self._settings = settings = settings or QueueSettings()
        self._calls: OrderedDict[object, QueuedCall] = OrderedDict()
        self._tokens = dict.fromkeys(Rank, 0.0)
        self._counts = dict.fromkeys(Rank, 0)
        self._deadlines = _Deadlines()
        self._expired: list[QueuedCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting calls of a rank."""
        return self._counts[rank]

    def waiting_tokens(self, rank: Rank) -> float:
        """Return the estimated service of the waiting calls of a rank."""
        return self._tokens[rank]

    def offer(self, call: QueuedCall, now: float) -> None:
        """Add a call, or raise QueueFullError."""
        if len(self) >= self._settings.max_waiting:
            raise QueueFullError(f"queue is full: {len(self)} calls are waiting")
        self._calls[call.call_id] = call
        self._counts[call.rank] += 1
        self._tokens[call.rank] += call.cost_tokens
        self._deadlines.add(call)

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the oldest call, or None."""
        self._collect_expired(now)
        if not self._calls:
            return None
        return self.cancel(next(iter(self._calls)))

    def expire(self, now: float) -> list[QueuedCall]:
        """Return the expired calls that this method has not returned before."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, call_id: object) -> QueuedCall | None:
        """Remove and return a waiting call, or return None if it is not waiting."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._counts[call.rank] -= 1
            self._tokens[call.rank] -= call.cost_tokens
            self._deadlines.discard(call_id)
        return call

    def settle(self, call: QueuedCall, served_tokens: float) -> None:
        """Do nothing: the order does not depend on service."""

    def _collect_expired(self, now: float) -> None:
        while (call_id := self._deadlines.pop_expired(now)) is not None:
            self._expired.append(self.cancel(call_id))
