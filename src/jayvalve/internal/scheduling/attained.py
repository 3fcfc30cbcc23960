"""Service that whole programs have received."""

from collections import OrderedDict

__all__ = ["AttainedService"]

# Bounds the memory of a process that sees programs whose end it is never told.
MAX_PROGRAMS = 100_000


class AttainedService:
    """Tokens of service per root program; least recently served programs are forgotten."""

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
