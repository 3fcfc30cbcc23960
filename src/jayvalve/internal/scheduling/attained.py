"""Service received by whole programs."""

from collections import OrderedDict

__all__ = ["AttainedService"]

# Bounds memory use, because a process is not notified of the end of every program it sees.
MAX_PROGRAMS = 100_000


class AttainedService:
    """Counts the tokens served to each root program.

    Above ``max_programs`` programs, the least recently served one is forgotten.
    """

    def __init__(self, max_programs: int = MAX_PROGRAMS) -> None:
        self._max_programs = max_programs
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tokens)

    def tokens(self, program: str) -> float:
        """Return the tokens served to the program so far."""
        return self._tokens.get(program, 0.0)

    def add(self, program: str, tokens: float) -> None:
        """Record service to the program or one of its sub-agents."""
        self._tokens[program] = self._tokens.get(program, 0.0) + tokens
        self._tokens.move_to_end(program)
        if len(self._tokens) > self._max_programs:
            self._tokens.popitem(last=False)

    def end(self, program: str) -> None:
        """Forget a program that has ended."""
        self._tokens.pop(program, None)
