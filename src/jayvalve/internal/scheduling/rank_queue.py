"""Queue of the waiting calls of one rank."""

from collections import OrderedDict

from jayvalve.internal.scheduling.calls import QueuedCall
from jayvalve.internal.scheduling.fairness import CallerService
from jayvalve.internal.scheduling.heap import LazyHeap

__all__ = ["RankQueue"]


class RankQueue:
    """Orders calls by age, service of the caller, straggler status and attained service.

    Calls that have waited for the ageing time go first, in order of arrival. Otherwise, the
    callers with the fewest whole quanta of service go first. Among their calls, stragglers go
    first, then the call of the program with the least attained service. All operations take
    O(log n) time.
    """

    def __init__(self, ageing_s: float) -> None:
        self._ageing_s = ageing_s
        self._calls_by_caller: dict[str, LazyHeap[object]] = {}
        # The callers with waiting calls, ordered by their served quanta and their first call.
        self._caller_heads: LazyHeap[str] = LazyHeap()
        self._arrivals: OrderedDict[object, tuple[QueuedCall, float]] = OrderedDict()
        self._service = CallerService()
        self._tokens = 0.0

    def __len__(self) -> int:
        return len(self._arrivals)

    @property
    def waiting_tokens(self) -> float:
        """Estimated service of all waiting calls."""
        # Returns exactly 0.0 for an empty queue, despite the rounding errors of the running sum.
        return self._tokens if self._arrivals else 0.0

    def add(self, call: QueuedCall, now: float) -> None:
        """Add a call."""
        heap = self._calls_by_caller.get(call.caller)
        if heap is None:
            heap = self._calls_by_caller[call.caller] = LazyHeap()
            self._service.activate(call.caller)
        heap.push((not call.straggler, call.attained_tokens), call.call_id)
        self._arrivals[call.call_id] = (call, now)
        self._tokens += call.cost_tokens
        self._update_head(call.caller)

    def remove(self, call_id: object) -> QueuedCall | None:
        """Remove and return a waiting call, or return None if it is not waiting."""
        arrival = self._arrivals.pop(call_id, None)
        if arrival is None:
            return None
        call = arrival[0]
        self._tokens -= call.cost_tokens
        self._calls_by_caller[call.caller].discard(call_id)
        self._update_head(call.caller)
        return call

    def take(self, now: float) -> QueuedCall | None:
        """Remove and return the next call and charge its estimated service to its caller."""
        if not self._arrivals:
            return None
        oldest, offered_s = next(iter(self._arrivals.values()))
        if now - offered_s >= self._ageing_s:
            call = oldest
        else:
            _, caller = self._caller_heads.peek()
            _, call_id = self._calls_by_caller[caller].peek()
            call = self._arrivals[call_id][0]
            self._service.raise_start_level(caller)
        self._service.charge(call.caller, call.cost_tokens)
        return self.remove(call.call_id)

    def correct(self, caller: str, tokens: float) -> None:
        """Charge the difference between the actual and the estimated service of a call."""
        self._service.charge(caller, tokens)
        if caller in self._calls_by_caller:
            self._update_head(caller)

    def _update_head(self, caller: str) -> None:
        head = self._calls_by_caller[caller].peek()
        if head is None:
            del self._calls_by_caller[caller]
            self._caller_heads.discard(caller)
            self._service.deactivate(caller)
        else:
            self._caller_heads.push((self._service.served_quanta(caller), *head[0]), caller)
