"""Fault injection for the stand-ins."""

import enum

import attrs

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_range, check_type

__all__ = ["FaultMode", "FaultSwitch"]

DEFAULT_SLOW_DELAY_S = 1.0
MAX_FAULT_S = 86_400.0


class FaultMode(enum.StrEnum):
    """Kinds of faults that can be injected.

    DOWN closes the connection before the request takes effect, SLOW delays the request,
    LOSE_ANSWERS lets it take effect and closes the connection instead of answering, HANG
    keeps the connection open without processing the request.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    HANG = "hang"


@attrs.define
class FaultSwitch:
    """The active fault, which may end after a time or after a number of requests."""

    clock: Clock
    mode: FaultMode = FaultMode.NONE
    delay_s: float = DEFAULT_SLOW_DELAY_S
    _ends_at_s: float | None = None
    _remaining_requests: int | None = None

    def set(self, document: object) -> None:
        """Activate the fault that the body of POST /faults describes.

        The body has the field mode. The optional fields seconds and count limit the duration of
        the fault and the number of requests that it affects; delay_s is the delay of mode SLOW,
        in seconds.
        """
        fields = check_type(dict, document, "body")
        try:
            mode = FaultMode(fields.get("mode"))
        except ValueError as error:
            raise InvalidRequestError(f"mode: {error}") from None
        seconds, count = fields.get("seconds"), fields.get("count")
        if seconds is not None:
            check_range(_number(seconds, "seconds"), "seconds", 0.0, MAX_FAULT_S)
        if count is not None:
            check_range(check_type(int, count, "count"), "count", 0, 1_000_000)
        delay_s = _number(fields.get("delay_s", DEFAULT_SLOW_DELAY_S), "delay_s")
        self.delay_s = check_range(delay_s, "delay_s", 0.0, MAX_FAULT_S)
        self.mode = mode
        self._ends_at_s = None if seconds is None else self.clock.now() + seconds
        self._remaining_requests = count

    def take(self) -> FaultMode:
        """Return the fault for the next request, which counts against the number of requests."""
        if self._ends_at_s is not None and self.clock.now() >= self._ends_at_s:
            self.mode = FaultMode.NONE
        if self.mode is FaultMode.NONE or self._remaining_requests is None:
            return self.mode
        if self._remaining_requests <= 0:
            self.mode = FaultMode.NONE
            return self.mode
        self._remaining_requests -= 1
        return self.mode


def _number(value: object, name: str) -> float:
    return float(value) if isinstance(value, int) else check_type(float, value, name)
