"""Execution of one attempt at a sidecar, over several connections if necessary."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import (
    DeadlineExceededError,
    EndpointFailedError,
    JayvalveError,
    PeerUnavailableError,
    WrongIncarnationError,
)
from jayvalve.internal.membership import Member, MembershipView
from jayvalve.internal.timing import Deadline
from jayvalve.internal.transport import PeerPool
from jayvalve.internal.wire.messages import (
    AttemptState,
    Cancel,
    Chunk,
    Completed,
    Dispatch,
    Inquire,
    ResponseHead,
    Resume,
)
from jayvalve.verdict import Verdict

__all__ = ["AttemptDispatcher"]

INQUIRY_TIMEOUT_S = 1.0
INQUIRY_INTERVAL_S = 0.1
# Added to the remaining time while waiting for a sidecar's answer. The sidecar enforces the
# deadline itself, so its verdict arrives before this timeout.
DEADLINE_GRACE_S = 0.25

NOT_STARTED = ("unknown", "abandoned")

_log = logger.bind(part="dispatch")


class AttemptDispatcher:
    """Sends attempts to sidecars.

    After a lost connection, the dispatcher first asks the sidecar for the state of the attempt.
    An attempt that has started is resumed. One whose dispatch never arrived is abandoned and
    can no longer start. In this module, an attempt has started once its sidecar has received
    the dispatch, even if it is still queued.
    """

    def __init__(self, pool: PeerPool, membership: MembershipView) -> None:
        self._pool = pool
        self._membership = membership

    async def run(
        self, sidecar: Member, dispatch: Dispatch, deadline: Deadline
    ) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        """Dispatch the attempt and yield its complete answer.

        Raises:
            JayvalveError: the attempt failed; the verdict states whether it may have run.
        """
        async for part in self._follow(sidecar, dispatch, dispatch.attempt_id, deadline):
            yield part

    async def recover(
        self, sidecar: Member, attempt_id: str, deadline: Deadline, start_timeout_s: float = 0.0
    ) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        """Yield the answer of an attempt that another process dispatched.

        An attempt that has not started within start_timeout_s is abandoned, and an error with
        verdict not_run is raised.
        """
        await self._wait_for_start(sidecar, attempt_id, min(start_timeout_s, deadline.remaining_s))
        await self._require_started(sidecar, attempt_id, deadline)
        async for part in self._follow(sidecar, Resume(attempt_id, 0), attempt_id, deadline):
            yield part

    async def cancel(self, sidecar: Member, attempt_id: str) -> Verdict:
        """Cancel an attempt and return its verdict, or may_have_run if the sidecar reports none."""
        try:
            await self._pool.call(sidecar.address, Cancel(attempt_id), INQUIRY_TIMEOUT_S)
            state = await self._inquire(sidecar, attempt_id)
        except JayvalveError:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN if state.state in NOT_STARTED else Verdict(state.verdict)

    async def _follow(
        self, sidecar: Member, message: Any, attempt_id: str, deadline: Deadline
    ) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        progress = _AnswerProgress()
        while True:
            try:
                timeout_s = deadline.remaining_s + DEADLINE_GRACE_S
                async for part in self._pool.stream(sidecar.address, message, timeout_s):
                    if progress.accept(part):
                        yield part
                    if isinstance(part, Completed):
                        return
            except PeerUnavailableError as error:
                if error.verdict is Verdict.NOT_RUN and isinstance(message, Dispatch):
                    raise
                _log.info("connection of attempt {} was lost: {}", attempt_id, error.message)
                await self._require_started(sidecar, attempt_id, deadline)
                message = Resume(attempt_id, progress.next_chunk)

    async def _wait_for_start(self, sidecar: Member, attempt_id: str, timeout_s: float) -> None:
        """Wait until the sidecar knows the attempt or the timeout has passed.

        Unlike in _require_started, an attempt that has not started is not abandoned.
        """
        for _ in range(int(timeout_s / INQUIRY_INTERVAL_S)):
            with contextlib.suppress(PeerUnavailableError):
                state = await self._inquire(sidecar, attempt_id, abandon=False)
                if state.state != "unknown":
                    return
            await asyncio.sleep(INQUIRY_INTERVAL_S)

    async def _require_started(self, sidecar: Member, attempt_id: str, deadline: Deadline) -> None:
        """Wait until the sidecar confirms that the attempt has started and can be resumed.

        An attempt that has not started is abandoned, and an error is raised.
        """
        while True:
            if deadline.expired:
                verdict = await self.cancel(sidecar, attempt_id)
                raise DeadlineExceededError("no answer before the deadline", verdict=verdict)
            try:
                state = await self._inquire(sidecar, attempt_id)
            except EndpointFailedError:
                raise
            except JayvalveError as error:
                if self._membership.is_believed_dead(sidecar.instance, sidecar.incarnation):
                    raise _incarnation_ended(sidecar) from error
                await asyncio.sleep(INQUIRY_INTERVAL_S)
                continue
            if state.state in NOT_STARTED:
                raise PeerUnavailableError(
                    f"the dispatch did not reach {sidecar.instance}", verdict=Verdict.NOT_RUN
                )
            return

    async def _inquire(
        self, sidecar: Member, attempt_id: str, abandon: bool = True
    ) -> AttemptState:
        inquiry = Inquire(attempt_id, sidecar.incarnation, abandon)
        try:
            return await self._pool.call(sidecar.address, inquiry, INQUIRY_TIMEOUT_S)
        except WrongIncarnationError as error:
            # The verdict not_run of this error refers to the inquiry. The earlier process may have
            # run the attempt.
            raise _incarnation_ended(sidecar) from error


@attrs.define
class _AnswerProgress:
    """Parts of an answer received so far, over all connections."""

    next_chunk: int = 0
    has_head: bool = False

    def accept(self, part: Any) -> bool:
        """Record a part and return whether it is new and in order.

        Raises:
            PeerUnavailableError: the answer ended, but parts of it are missing.
        """
        if isinstance(part, Chunk):
            is_next = part.index == self.next_chunk
            self.next_chunk += is_next
            return is_next
        if isinstance(part, ResponseHead):
            is_first, self.has_head = not self.has_head, True
            return is_first
        if part.chunks != self.next_chunk:
            raise PeerUnavailableError(
                f"answer has {part.chunks} chunks, but {self.next_chunk} arrived",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return True


def _incarnation_ended(sidecar: Member) -> EndpointFailedError:
    return EndpointFailedError(
        f"sidecar {sidecar.instance} ended and may have run the attempt",
        verdict=Verdict.MAY_HAVE_RUN,
    )
