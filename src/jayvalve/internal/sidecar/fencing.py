"""Fencing numbers that a sidecar enforces on behalf of its endpoint."""

from collections import OrderedDict

from jayvalve.errors import StaleTermError
from jayvalve.internal.validation import check_range

__all__ = ["OrderFence", "TermTable"]

# The target load is 67,000 programs in progress across all endpoints, so a program is
# forgotten only long after its last call at this endpoint.
DEFAULT_CAPACITY = 50_000


class TermTable:
    """Highest term (epoch, handover) seen for each program.

    Beyond the capacity, the least recently used programs are forgotten.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = int(check_range(capacity, "capacity", 1, 10_000_000))
        self._terms: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._terms)

    def __repr__(self) -> str:
        return f"TermTable(capacity={self._capacity})"

    def get(self, program: str) -> tuple[int, int] | None:
        """Return the highest term seen, or None for an unknown program."""
        return self._terms.get(program)

    def check(self, program: str, epoch: int, handover: int) -> None:
        """Accept and remember a term unless a higher one was seen.

        Raises:
            StaleTermError: a higher term was seen; verdict not_run.

        """
        offered = (epoch, handover)
        highest = self._terms.get(program)
        if highest is not None:
            self._terms.move_to_end(program)
            if offered < highest:
                raise StaleTermError(f"term {offered} of program {program} is lower than {highest}")
        self._terms[program] = offered
        if len(self._terms) > self._capacity:
            self._terms.popitem(last=False)

    def forget(self, program: str) -> None:
        """Remove a program that has ended."""
        self._terms.pop(program, None)


class OrderFence:
    """Highest fencing number of the orders to load a model or to change role."""

    def __init__(self) -> None:
        self._highest = -1

    @property
    def highest(self) -> int:
        """Highest fencing number accepted; -1 before the first order."""
        return self._highest

    def check(self, fencing: int) -> bool:
        """Return True for a new order and False for a repetition of the last one.

        Raises:
            StaleTermError: an order with a higher number was accepted.

        """
        if fencing < self._highest:
            raise StaleTermError(f"order {fencing} is older than order {self._highest}")
        is_new = fencing > self._highest
        self._highest = fencing
        return is_new
