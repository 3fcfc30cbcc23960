"""Fairness between callers by served tokens, and between ranks by a guaranteed floor."""

import attrs

from jayvalve.internal.scheduling.calls import Rank

__all__ = ["CallerService", "RankBalance"]

# Callers are compared by whole quanta of served tokens, so that straggler status and attained
# service decide between callers that have received about the same service.
CALLER_QUANTUM_TOKENS = 20_000.0
# Bounds the tokens that one rank can be owed, and thereby the longest burst that repays them.
MAX_OWED_TOKENS = 20_000.0
# Bounds how far ordinary work gets ahead of its share while no urgent work is waiting. With a
# bound of 20,000 tokens, ordinary work got less than half of its floor in the first minutes of an
# urgent flood.
MAX_AHEAD_TOKENS = 300.0
# Counters are pruned when the idle callers outnumber the active ones by more than this. Only
# counters of idle callers at or below the start level are dropped; they no longer matter, because
# a caller that becomes active starts at least at that level.
MAX_IDLE_CALLERS = 4096


class CallerService:
    """Virtual token counter (VTC) per caller.

    A caller that becomes active after an idle time starts at least at the start level, which
    follows the counters of the callers being served, so that idle time earns no credit.
    """

    def __init__(self, quantum_tokens: float = CALLER_QUANTUM_TOKENS) -> None:
        self._quantum_tokens = quantum_tokens
        self._served: dict[str, float] = {}
        self._active: set[str] = set()
        self._start_level_tokens = 0.0

    def __len__(self) -> int:
        return len(self._served)

    def activate(self, caller: str) -> None:
        """Record that the caller has work waiting again."""
        self._active.add(caller)
        self._served[caller] = max(self._served.get(caller, 0.0), self._start_level_tokens)

    def deactivate(self, caller: str) -> None:
        """Record that the caller has no work waiting."""
        self._active.discard(caller)
        if len(self._served) > 2 * len(self._active) + MAX_IDLE_CALLERS:
            self._served = {
                name: tokens
                for name, tokens in self._served.items()
                if name in self._active or tokens > self._start_level_tokens
            }

    def charge(self, caller: str, tokens: float) -> None:
        """Add served tokens; negative tokens correct an estimate that was too high."""
        self._served[caller] = self._served.get(caller, self._start_level_tokens) + tokens

    def raise_start_level(self, caller: str) -> None:
        """Raise the start level to the counter of ``caller``, which is served next.

        The caller must be one of those with the fewest served quanta.
        """
        self._start_level_tokens = max(self._start_level_tokens, self._served.get(caller, 0.0))

    def served_quanta(self, caller: str) -> int:
        """Return the number of whole quanta served to the caller."""
        return int(self._served.get(caller, 0.0) // self._quantum_tokens)


@attrs.define
class RankBalance:
    """Decides which of two backlogged ranks is served next.

    Urgent work goes first unless ordinary work is owed tokens. Ordinary work is owed its share
    of every token served to urgent work while ordinary work waits, minus the tokens that it
    received beyond its share.

    Attributes:
        floor: Share of served tokens guaranteed to ordinary work.
        worth_urgent: Weight of urgent work.
        worth_ordinary: Weight of ordinary work. Its share of service is its part of the sum of
            both weights, or the floor if that is larger.
        max_owed_tokens: Maximum number of tokens that either rank is owed.
        max_ahead_tokens: Maximum number of tokens by which ordinary work gets ahead of its share
            while no urgent work is waiting.

    """

    floor: float = 0.3
    worth_urgent: float = 10.0
    worth_ordinary: float = 1.0
    max_owed_tokens: float = MAX_OWED_TOKENS
    max_ahead_tokens: float = MAX_AHEAD_TOKENS
    _owed: float = attrs.field(default=0.0, init=False)

    @property
    def ordinary_share(self) -> float:
        """Share of service that ordinary work receives while both ranks are backlogged."""
        total = self.worth_urgent + self.worth_ordinary
        return max(self.floor, self.worth_ordinary / total)

    @property
    def owed_tokens(self) -> float:
        """Tokens that ordinary work is owed; negative if it received more than its share."""
        return self._owed

    def charge(self, rank: Rank, tokens: float, other_waiting: bool) -> None:
        """Record tokens served to a rank; ``other_waiting`` is whether the other rank has calls.

        Of the tokens served to ordinary work, the part beyond its share is deducted from what it
        is owed. While no urgent work waits, the deduction does not take the balance below
        ``-max_ahead_tokens``.
        """
        if rank is Rank.URGENT:
            if other_waiting:
                self._owed += self.ordinary_share * tokens
        else:
            lower_bound = (
                -float("inf") if other_waiting else min(self._owed, -self.max_ahead_tokens)
            )
            self._owed = max(lower_bound, self._owed - (1.0 - self.ordinary_share) * tokens)
        bound = self.max_owed_tokens
        self._owed = min(bound, max(-bound, self._owed))

    def record_ordinary_idle(self) -> None:
        """Record that no ordinary work waits, which cancels any tokens owed to it."""
        self._owed = min(0.0, self._owed)

    def next_rank(self, urgent_waiting: bool, ordinary_waiting: bool) -> Rank:
        """Return the rank to serve next; at least one rank must have calls waiting."""
        if not urgent_waiting:
            return Rank.ORDINARY
        if ordinary_waiting and self._owed > 0.0:
            return Rank.ORDINARY
        return Rank.URGENT
