"""Budgets of programs: an amount is reserved before a dispatch and settled after it."""

import attrs

from jayvalve.errors import BudgetExceededError, InvalidRequestError

__all__ = ["RESOURCES", "Amount", "Budget", "Reservation"]

RESOURCES = ("tokens", "calls", "seconds")


def _check_quantity(instance: object, attribute: attrs.Attribute, value: object) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise InvalidRequestError(f"{attribute.name}={value!r} must be a number >= 0 and < 2**53")


@attrs.frozen
class Amount:
    """Quantities of the three resources. Seconds may be fractional."""

    tokens: int = attrs.field(default=0, validator=_check_quantity)
    calls: int = attrs.field(default=0, validator=_check_quantity)
    seconds: float = attrs.field(default=0, validator=_check_quantity)

    @classmethod
    def from_list(cls, values: list) -> "Amount":
        """Return the amount with the values that as_list returned."""
        return cls(*values)

    def as_list(self) -> list:
        """Return the tokens, calls and seconds, in this order."""
        return [self.tokens, self.calls, self.seconds]

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(*(a + b for a, b in zip(self.as_list(), other.as_list(), strict=True)))

    def limited_to(self, other: "Amount") -> "Amount":
        """Return the smaller quantity of each resource."""
        return Amount(*(min(a, b) for a, b in zip(self.as_list(), other.as_list(), strict=True)))

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference for each resource, or 0 if it is negative."""
        pairs = zip(self.as_list(), other.as_list(), strict=True)
        return Amount(*(max(0, a - b) for a, b in pairs))


@attrs.define(eq=False)
class Reservation:
    """An amount reserved until the usage of the call is known."""

    budget: "Budget"
    amount: Amount
    settled: bool = False


class Budget:
    """Limits of one program and the amounts reserved and spent under them.

    Each reservation also applies to the budgets of all ancestors. A limit of None is unlimited.
    Open reservations are treated as spent, so that concurrent calls and a takeover cannot spend
    the same amount twice.
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
        self._open_reservations: set[Reservation] = set()
        self._reserved = Amount()

    def __repr__(self) -> str:
        limits = ", ".join(f"{name}={limit!r}" for name, limit in self._limits.items())
        return f"Budget({limits})"

    @property
    def limits(self) -> list:
        """Limits of tokens, calls and seconds. None is unlimited.

        For programs of an entry, the limit of seconds is the Unix time at which the wall time
        ends, and no seconds are reserved.
        """
        return [self._limits[name] for name in RESOURCES]

    @property
    def used(self) -> Amount:
        """Amount spent, including open reservations."""
        return self._settled + self._reserved

    @property
    def remaining(self) -> dict[str, float | None]:
        """Quantity of each resource left in this budget and all its ancestors.

        None is unlimited.
        """
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
        """Reserve an amount in this budget and all its ancestors, or in none of them.

        Raises:
            BudgetExceededError: too little of a resource is left. The message names the first
                such resource.

        """
        for name, left in self.remaining.items():
            wanted = getattr(amount, name)
            if left is not None and wanted > left:
                raise BudgetExceededError(
                    f"budget of {name} exhausted: {left} left, {wanted} asked"
                )
        reservation = Reservation(self, amount)
        for level in self._levels():
            level._open_reservations.add(reservation)
            level._recount()
        return reservation

    def settle(self, reservation: Reservation, used: Amount) -> Amount:
        """Replace a reservation with the used amount and return the amount charged.

        At most the reserved amount is charged: the dispatcher limits the call to its
        reservation, and a later overrun must not push an ancestor over its limit. Settling a
        reservation again has no effect.

        Raises:
            InvalidRequestError: the reservation belongs to another budget.

        """
        charged = used.limited_to(reservation.amount)
        if reservation.settled:
            return charged
        if reservation.budget is not self:
            raise InvalidRequestError("reservation belongs to another budget")
        reservation.settled = True
        for level in self._levels():
            level._open_reservations.discard(reservation)
            level._settled = level._settled + charged
            level._recount()
        return charged

    def _levels(self) -> list["Budget"]:
        levels = [self]
        while levels[-1]._parent is not None:
            levels.append(levels[-1]._parent)
        return levels

    def _recount(self) -> None:
        # Recomputing the sum avoids the rounding errors of adding and subtracting seconds.
        self._reserved = sum((item.amount for item in self._open_reservations), Amount())
