"""Budgets of programs: reserved before a dispatch, settled after it."""

import attrs

from jayvalve.errors import BudgetExceededError, InvalidRequestError

__all__ = ["RESOURCES", "Amount", "Budget", "Reservation"]

RESOURCES = ("tokens", "calls", "seconds")


def _not_negative(instance: object, attribute: attrs.Attribute, value: object) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise InvalidRequestError(f"{attribute.name}={value!r} must be a number from 0 to 2**53")


@attrs.frozen
class Amount:
    """Quantities of the three resources; seconds may be fractional."""

    tokens: int = attrs.field(default=0, validator=_not_negative)
    calls: int = attrs.field(default=0, validator=_not_negative)
    seconds: float = attrs.field(default=0, validator=_not_negative)

    @classmethod
    def from_list(cls, values: list) -> "Amount":
        """Return the amount that as_list encoded."""
        return cls(*values)

    def as_list(self) -> list:
        """Return tokens, calls and seconds."""
        return [self.tokens, self.calls, self.seconds]

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(*(a + b for a, b in zip(self.as_list(), other.as_list(), strict=True)))

    def limited_to(self, other: "Amount") -> "Amount":
        """Return the smaller quantity of each resource."""
        return Amount(*(min(a, b) for a, b in zip(self.as_list(), other.as_list(), strict=True)))

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference, at least 0 for each resource."""
        pairs = zip(self.as_list(), other.as_list(), strict=True)
        return Amount(*(max(0, a - b) for a, b in pairs))


@attrs.define(eq=False)
class Reservation:
    """An amount held until the call's usage is known."""

    budget: "Budget"
    amount: Amount
    settled: bool = False


class Budget:
    """Limits of one program; each draw also counts against every ancestor.

    A limit of None is unlimited. An open reservation counts as spent, so that concurrent
    calls and a takeover cannot spend the same amount twice.
    """

    def __init__(
        self,
        tokens: int | None = None,
        calls: int | None = None,
        seconds: float | None = None,
        parent: "Budget | None" = None,
    ) -> None:
        limits = (tokens, calls, seconds)
        Amount(*(limit or 0 for limit in limits))
        self._limits = dict(zip(RESOURCES, limits, strict=True))
        self._parent = parent
        self._settled = Amount()
        self._open: set[Reservation] = set()
        self._reserved = Amount()

    def __repr__(self) -> str:
        limits = ", ".join(f"{name}={limit!r}" for name, limit in self._limits.items())
        return f"Budget({limits})"

    @property
    def limits(self) -> list:
        """Limits of tokens, calls and seconds; None is unlimited."""
        return [self._limits[name] for name in RESOURCES]

    @property
    def used(self) -> Amount:
        """What is spent, open reservations included."""
        return self._settled + self._reserved

    @property
    def remaining(self) -> dict[str, float | None]:
        """What this budget and all its ancestors leave; None is unlimited."""
        result: dict[str, float | None] = {}
        for name in RESOURCES:
            left = [
                level._limits[name] - getattr(level.used, name)
                for level in self._levels()
                if level._limits[name] is not None
            ]
            result[name] = min(left) if left else None
        return result

    def reserve(self, amount: Amount) -> Reservation:
        """Hold an amount at every level, or at none.

        Raises:
            BudgetExceededError: names the first resource that does not suffice.

        """
        for name, left in self.remaining.items():
            wanted = getattr(amount, name)
            if left is not None and wanted > left:
                raise BudgetExceededError(
                    f"budget of {name} exhausted: {left} left, {wanted} asked"
                )
        reservation = Reservation(self, amount)
        for level in self._levels():
            level._open.add(reservation)
            level._recount()
        return reservation

    def settle(self, reservation: Reservation, used: Amount) -> Amount:
        """Replace a reservation by what was used, and return the amount charged.

        At most the reserved amount is charged: the dispatcher caps the call at its
        reservation, and a later overrun must not push an ancestor over its limit. Settling
        twice has no further effect.
        """
        charged = used.limited_to(reservation.amount)
        if reservation.settled:
            return charged
        if reservation.budget is not self:
            raise InvalidRequestError("reservation belongs to another budget")
        reservation.settled = True
        for level in self._levels():
            level._open.discard(reservation)
            level._settled = level._settled + charged
            level._recount()
        return charged

    def _levels(self) -> list["Budget"]:
        levels = [self]
        while levels[-1]._parent is not None:
            levels.append(levels[-1]._parent)
        return levels

    def _recount(self) -> None:
        # A fresh sum avoids the rounding errors that adding and subtracting seconds leaves.
        self._reserved = sum((item.amount for item in self._open), Amount())
