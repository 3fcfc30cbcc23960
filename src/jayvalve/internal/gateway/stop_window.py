"""Ends the calls of a gateway that is being stopped while their callers can still be answered."""

import asyncio
from collections.abc import Awaitable

import attrs

from jayvalve.errors import DrainingError
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["CallsEndedError", "StopSettings", "StopWindow"]


class CallsEndedError(Exception):
    """A call was ended because the process is about to stop."""


@attrs.frozen
class StopSettings:
    """Times of a planned stop, in seconds from its beginning.

    Attributes:
        accept_all_s: How long every call is accepted, because callers still reach this process.
            Later, a call is accepted only if its time limit passes before the end.
        retry_after_s: When a caller may repeat a call that is refused; other gateways accept it.

    """

    accept_all_s: float = 3.0
    retry_after_s: float = 0.0


class StopWindow:
    """Decides which calls a stopping gateway accepts, and ends all of them in time.

    Without it, a call that lasts longer than the grace time would be cut without an answer, also
    if it may not be repeated.
    """

    def __init__(self, clock: Clock, settings: StopSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._scopes: set[asyncio.Timeout] = set()
        self._accepts_all_until_s = 0.0
        self._ends_s: float | None = None

    def begin(self, seconds: float) -> None:
        """Begin a stop that ends all calls after a time; a later call may only shorten it."""
        now = self._clock.now()
        if self._ends_s is None:
            self._accepts_all_until_s = now + self._settings.accept_all_s
        elif now + seconds >= self._ends_s:
            return
        self._ends_s = now + seconds
        for scope in self._scopes:
            self._limit(scope)

    def admit(self, deadline: Deadline) -> None:
        """Check that a call may begin.

        Raises:
            DrainingError: The call might not be finished before the process stops.

        """
        if self._ends_s is None:
            return
        now = self._clock.now()
        fits = deadline.at_s <= self._ends_s or now <= self._accepts_all_until_s
        if now >= self._ends_s or not fits:
            raise DrainingError(
                "the gateway is being stopped before the call's time limit",
                retry_after_s=self._settings.retry_after_s,
            )

    async def run(self, work: Awaitable[None]) -> None:
        """Run a call to its end or to that of the stop.

        Raises:
            CallsEndedError: The stop ended the call.

        """
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                if self._ends_s is not None:
                    self._limit(scope)
                await work
        except TimeoutError as error:
            if scope.expired():
                raise CallsEndedError("the gateway is being stopped") from error
            raise
        finally:
            self._scopes.discard(scope)

    def _limit(self, scope: asyncio.Timeout) -> None:
        assert self._ends_s is not None
        remaining_s = max(0.0, self._ends_s - self._clock.now())
        scope.reschedule(asyncio.get_running_loop().time() + remaining_s)
