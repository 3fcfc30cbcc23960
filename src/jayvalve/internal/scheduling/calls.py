"""The calls that wait in an endpoint's queue."""

import enum
from typing import Any

import attrs

__all__ = ["QueuedCall", "Rank"]


class Rank(enum.StrEnum):
    """Priority class of work."""

    URGENT = "urgent"
    ORDINARY = "ordinary"


@attrs.frozen
class QueuedCall:
    """One waiting call.

    Attributes:
        call_id: Unique among the calls in the queue.
        program: The root program.
        caller: Whose work it is.
        rank: Its priority class.
        attained_tokens: Service that the whole program had when the call was issued.
        cost_tokens: Estimated tokens of service that the call takes.
        deadline_s: Time after which the answer has no use.
        straggler: Whether a join waits for this call and few others.
        starts_program: Whether refusing it wastes no earlier work of its program.
        payload: Anything the executor needs.

    """

    call_id: Any
    program: str
    caller: str
    rank: Rank = Rank.ORDINARY
    attained_tokens: float = 0.0
    cost_tokens: float = 1.0
    deadline_s: float = float("inf")
    straggler: bool = False
    starts_program: bool = False
    payload: Any = None
