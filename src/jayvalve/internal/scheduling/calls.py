"""Calls that wait in an endpoint's queue."""

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
        call_id: Identifier, unique among the calls in the queue.
        program: Root program of the call.
        caller: Caller that the service is charged to.
        rank: Priority class.
        attained_tokens: Service that the whole program had received when the call was issued.
        cost_tokens: Estimated service that the call takes, in tokens.
        deadline_s: Time after which the answer is useless, in seconds.
        straggler: Whether a join waits for this call and only a few others.
        starts_program: Whether the call starts its program, so that refusing it wastes no
            earlier work.
        payload: Arbitrary data for the executor.

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
