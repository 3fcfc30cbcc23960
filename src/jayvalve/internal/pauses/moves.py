"""Planning of moves of a program's state to another endpoint.

The latency peak that a move causes is estimated as in "FUGU: Elastic Data Stream Processing
with Latency Constraints" (Heinze et al., 2015): the duration of the move is estimated from
similar past moves, and the calls that arrive during the move are queued and processed
afterwards.
"""

import math
from collections import deque

import attrs

__all__ = ["Move", "MovePlanner", "MoveTimes"]

MOVES_PER_GROUP = 32
DEFAULT_TRANSFER_TOKENS_PER_S = 20_000.0
DEFAULT_SETUP_S = 0.1


class MoveTimes:
    """Durations of past moves, grouped by state size rounded up to a power of two."""

    def __init__(self) -> None:
        self._groups: dict[int, deque[float]] = {}

    def observe(self, state_tokens: float, move_s: float) -> None:
        """Record the duration of a finished move."""
        group = self._groups.setdefault(_size_exponent(state_tokens), deque(maxlen=MOVES_PER_GROUP))
        group.append(move_s)

    def estimate_s(self, state_tokens: float) -> float:
        """Return the mean duration of moves in the nearest size group, scaled to this size.

        Without any recorded move, the estimate uses the default setup time and transfer rate.
        """
        if not self._groups:
            return DEFAULT_SETUP_S + state_tokens / DEFAULT_TRANSFER_TOKENS_PER_S
        exponent = _size_exponent(state_tokens)
        nearest = min(self._groups, key=lambda other: (abs(other - exponent), other))
        group = self._groups[nearest]
        return sum(group) / len(group) * 2.0 ** (exponent - nearest)


@attrs.frozen
class Move:
    """Possible move of one program.

    Attributes:
        program: Program to move.
        state_tokens: Size of the KV cache of the program, in tokens.
        arrivals_per_s: Rate at which calls of the program arrive.
        service_per_s: Rate at which the target endpoint processes calls.
        gain_s: Latency saved per call after the move, in seconds.
        mandatory: Whether the program must move because its endpoint is leaving.

    """

    program: str
    state_tokens: float
    arrivals_per_s: float
    service_per_s: float
    gain_s: float = 0.0
    mandatory: bool = False


class MovePlanner:
    """Selects the moves to make and sorts them."""

    def __init__(self, times: MoveTimes) -> None:
        self._times = times

    def latency_peak_s(self, move: Move) -> float:
        """Return the estimated maximum delay of a call caused by the move.

        The estimate is the sum of the duration of the move, which a call that arrives at its
        start waits for, and the time to process the calls queued during the move, which a call
        that arrives at its end waits for. The sum is an upper bound, because no call waits for
        both in full.
        """
        move_s = self._times.estimate_s(move.state_tokens)
        queued_calls = move.arrivals_per_s * move_s
        if move.service_per_s <= 0.0:
            return math.inf
        return move_s + queued_calls / move.service_per_s

    def plan(self, moves: list[Move]) -> list[Move]:
        """Return the moves to make, mandatory ones first, each group sorted by latency peak.

        An optional move is made only if its latency peak is below its gain.
        """
        peaks = {move: self.latency_peak_s(move) for move in moves}
        chosen = [move for move in moves if move.mandatory or peaks[move] < move.gain_s]
        return sorted(chosen, key=lambda move: (not move.mandatory, peaks[move], move.program))


def _size_exponent(tokens: float) -> int:
    return max(0, math.ceil(math.log2(max(1.0, tokens))))
