"""What is known of the end of an answer: whether it is whole, and what says so."""

import enum

import attrs

from jayvalve.internal.http_framing import Framing

__all__ = [
    "AnswerEnd",
    "BodyEnd",
    "EndState",
    "Survival",
    "broken_end",
    "judge_end",
    "needs_survival",
]


class EndState(enum.StrEnum):
    """What is known of the end of an answer.

    Only an end that the framing shows may be given more framing than the endpoint has sent. A
    confirmed answer may end in order. Others are broken off, or repeated where that is allowed.
    """

    SHOWN = "shown"
    CONFIRMED = "confirmed"
    UNKNOWN = "unknown"
    BROKEN = "broken"


class BodyEnd(enum.StrEnum):
    """What the format of a body says of its end."""

    OPEN = "nothing marks the end of this format"
    CLOSED = "the body is complete in its format"
    CUT = "the body ends early in its format"
    EMPTY = "the stream has no event"


class Survival(enum.StrEnum):
    """Whether the endpoint's process that sent an answer was there after its end."""

    SAME_CONNECTION = "answered on a connection from before the end"
    SAME_ID = "answered with its id"
    ID_ALONE = "answered with its id, perhaps after a restart"
    GONE = "takes no connections any more"
    REPLACED = "something else answers at its address"
    SILENT = "does not answer"
    UNCHECKED = "cannot be asked"
    AT_LIMIT = "may have stopped at its time limit"

    @property
    def is_confirmed(self) -> bool:
        """Whether an answer of the same process was received."""
        return self in (Survival.SAME_CONNECTION, Survival.SAME_ID)


@attrs.frozen
class AnswerEnd:
    """The end of an answer.

    Attributes:
        reason: What the state follows from, one of few texts.

    """

    state: EndState
    reason: str

    @property
    def is_whole(self) -> bool:
        """Whether the answer may end in order."""
        return self.state in (EndState.SHOWN, EndState.CONFIRMED)


def broken_end(reason: str) -> AnswerEnd:
    """Return the end of an answer that is known to be cut."""
    return AnswerEnd(EndState.BROKEN, reason)


def needs_survival(framing: Framing, body: BodyEnd) -> bool:
    """Return whether the end of an answer depends on a check of its endpoint."""
    return body is BodyEnd.OPEN and not framing.shows_end


def judge_end(framing: Framing, body: BodyEnd, survival: Survival | None = None) -> AnswerEnd:
    """Return what is known of the end of an answer whose connection has not failed.

    The kernel closes the connections of a killed process in order, so that the end of a connection
    alone shows nothing.

    Args:
        framing: Framing of the answer; its last byte was received.
        body: What the format of the body says.
        survival: Result of a check of the endpoint after the end; None if there was none.

    """
    if body is BodyEnd.CUT:
        return broken_end(body.value)
    if framing.shows_end:
        return AnswerEnd(EndState.SHOWN, f"framing: {framing}")
    if body is BodyEnd.EMPTY:
        return broken_end(body.value)
    if body is BodyEnd.CLOSED:
        return AnswerEnd(EndState.CONFIRMED, body.value)
    if survival is None:
        survival = Survival.UNCHECKED
    state = EndState.CONFIRMED if survival.is_confirmed else EndState.UNKNOWN
    return AnswerEnd(state, f"the endpoint {survival}")
