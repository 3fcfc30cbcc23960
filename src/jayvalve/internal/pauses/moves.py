"""When to move a program's state to another endpoint.

The latency peak that a move causes is estimated as in "FUGU: Elastic Data Stream Processing
with Latency Constraints" (Heinze et al., 2015): the move time comes from similar past moves,
and the work that arrives during that time has to be worked off afterwards.
"""

import math
from collections import deque

import attrs

__all__ = ["Move", "MovePlanner", "MoveTimes"]

MOVES_PER_SIZE = 32
DEFAULT_TOKENS_PER_S = 20_000.0
DEFAULT_SETUP_S = 0.1


class MoveTimes:
    """Times of past moves, grouped by powers of two of the state size."""

    def __init__(self) -> None:
        self._groups: dict[int, deque[float]] = {}

    def observe(self, state_tokens: float, move_s: float) -> None:
        """Record a finished move."""
        group = self._groups.setdefault(_size(state_tokens), deque(maxlen=MOVES_PER_SIZE))
        group.append(move_s)

    def estimate_s(self, state_tokens: float) -> float:
        """Return the mean time of moves of the nearest size, scaled to this size."""
        if not self._groups:
            return DEFAULT_SETUP_S + state_tokens / DEFAULT_TOKENS_PER_S
        size = _size(state_tokens)
        nearest = min(self._groups, key=lambda other: (abs(other - size), other))
        group = self._groups[nearest]
        return sum(group) / len(group) * 2.0 ** (size - nearest)


@attrs.frozen
class Move:
    """A candidate move of one program.

    Attributes:
        program: The program to move.
        state_tokens: Size of its KV cache.
        arrivals_per_s: Rate of the program's calls.
        service_per_s: Rate at which the target works off calls.
        gain_s: Latency saved per call after the move.
        mandatory: Whether the endpoint is leaving.

    """

    program: str
    state_tokens: float
    arrivals_per_s: float
    service_per_s: float
    gain_s: float = 0.0
    mandatory: bool = False


class MovePlanner:
    """Chooses the moves to make and their order."""

    def __init__(self, times: MoveTimes) -> None:
        self._times = times

    def latency_peak_s(self, move: Move) -> float:
        """Return the longest delay of a call because of the move.

        A call at the start of the move waits for all of it; one at its end waits for the
        queue built up in the meantime.
        """
        move_s = self._times.estimate_s(move.state_tokens)
        queued = move.arrivals_per_s * move_s
        if move.service_per_s <= 0.0:
            return math.inf
        return move_s + queued / move.service_per_s

    def plan(self, moves: list[Move]) -> list[Move]:
        """Return the moves to make: mandatory ones first, each group by latency peak.

        An optional move is made only if its latency peak is below its gain.
        """
        peaks = {move: self.latency_peak_s(move) for move in moves}
        chosen = [move for move in moves if move.mandatory or peaks[move] < move.gain_s]
        return sorted(chosen, key=lambda move: (not move.mandatory, peaks[move], move.program))


def _size(tokens: float) -> int:
    return max(0, math.ceil(math.log2(max(1.0, tokens))))
