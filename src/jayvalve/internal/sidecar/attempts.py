"""Table of the attempts that this sidecar has run, is running or must never run."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
from loguru import logger

from jayvalve.errors import (
    AttemptForgottenError,
    DeadlineExceededError,
    InternalError,
    InvalidRequestError,
    JayvalveError,
    WrongIncarnationError,
)
from jayvalve.internal.sidecar.attempt import Attempt, AttemptId, AttemptPhase, Outcome
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import AttemptState, Chunk, Completed, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["AttemptTable"]

ANSWER_RETENTION_S = 60.0
ANSWER_BUFFER_BYTES = 64 * 1024 * 1024
KNOWN_ATTEMPTS_PER_OWNER = 10_000
# Limits the memory used for the attempts of all owners to a few tens of megabytes.
MAX_KNOWN_ATTEMPTS = 200_000

Runner = Callable[[Attempt], Awaitable[None]]


@attrs.define
class _Owner:
    """Attempts of one owner process.

    Attributes:
        known: Attempts, or only their outcomes, by counter.
        floor: Unknown counters below this number are refused.
        highest: Highest counter seen; -1 before the first attempt.

    """

    known: dict[int, Attempt | Outcome] = attrs.field(factory=dict)
    floor: int = 0
    highest: int = -1


class AttemptTable:
    """Runs each attempt id at most once and keeps finished answers for a limited time.

    The table belongs to one incarnation of the sidecar. For each owner process it remembers
    the last KNOWN_ATTEMPTS_PER_OWNER counters. Beyond MAX_KNOWN_ATTEMPTS attempts it
    forgets the attempts of the least recently used owner that are not in progress. A forgotten
    attempt is refused rather than run, so the at-most-once guarantee does not depend on clocks.
    """

    def __init__(
        self,
        incarnation: int,
        clock: Clock,
        *,
        retention_s: float = ANSWER_RETENTION_S,
        buffer_bytes: int = ANSWER_BUFFER_BYTES,
        known_attempts_per_owner: int = KNOWN_ATTEMPTS_PER_OWNER,
        max_known_attempts: int = MAX_KNOWN_ATTEMPTS,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._retention_s = retention_s
        self._buffer_bytes = buffer_bytes
        self._known_attempts_per_owner = known_attempts_per_owner
        self._max_known_attempts = max_known_attempts
        self._owners: OrderedDict[int, _Owner] = OrderedDict()
        self._known = 0
        self._finished: deque[tuple[float, Attempt]] = deque()
        self._buffered = 0
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._log = logger.bind(part="attempts")

    @property
    def buffered_bytes(self) -> int:
        """Total size of the finished answers still kept, in bytes."""
        return self._buffered

    @property
    def known(self) -> int:
        """Number of attempts whose state or outcome is stored."""
        return self._known

    @property
    def in_progress(self) -> int:
        """Number of attempts that have not finished."""
        return len(self._tasks)

    def begin(self, attempt_id: str, incarnation: int, runner: Runner) -> None:
        """Start the attempt in its own task, unless it was started before.

        Raises:
            WrongIncarnationError: the attempt is meant for another incarnation and was not run.
            AttemptForgottenError: the attempt was abandoned (verdict not_run), or it is too old
                to be known (verdict may_have_run).
            InvalidRequestError: attempt_id is malformed.

        """
        self._check_incarnation(incarnation)
        self.expire()
        parsed = AttemptId.parse(attempt_id)
        known = self._find(parsed)
        if known is None:
            attempt = Attempt(parsed)
            self._remember(parsed, attempt)
            task = asyncio.ensure_future(self._run(attempt, runner))
            self._tasks[parsed] = task
            # This is a callback rather than a part of _run, because a task cancelled before its
            # first step never enters _run.
            task.add_done_callback(lambda done: self._finish(attempt))
        elif isinstance(known, Outcome) and known.phase is AttemptPhase.ABANDONED:
            raise AttemptForgottenError(
                f"attempt {attempt_id} was abandoned before its dispatch arrived",
                verdict=Verdict.NOT_RUN,
            )

    async def read(
        self, attempt_id: str, next_chunk: int = 0
    ) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        """Yield the answer from chunk next_chunk on, waiting while the attempt is in progress.

        The head, if there is one, is yielded only if next_chunk is 0.

        Raises:
            AttemptForgottenError: the attempt is unknown or its answer is no longer kept.
            InvalidRequestError: attempt_id is malformed, or next_chunk is negative or past the
                end of the answer.
            JayvalveError: the error that ended the attempt.

        """
        attempt = self._find_readable(attempt_id)
        if next_chunk < 0:
            raise InvalidRequestError(f"next_chunk={next_chunk} must not be negative")
        head_sent = next_chunk > 0
        while True:
            if attempt.head is not None and not head_sent:
                head_sent = True
                yield attempt.head
            while next_chunk < len(attempt.chunks):
                next_chunk += 1
                yield Chunk(next_chunk - 1, attempt.chunks[next_chunk - 1])
            if attempt.is_done and next_chunk >= len(attempt.chunks):
                yield self._completion(attempt, next_chunk)
                return
            if not attempt.is_done:
                await attempt.wait_for_change()

    def inquire(self, attempt_id: str, incarnation: int, abandon: bool) -> AttemptState:
        """Return the state and verdict of an attempt.

        With abandon, an unknown attempt is marked as abandoned: it never runs, even if its
        dispatch arrives later, and its verdict is not_run. Otherwise the verdict of an unknown
        attempt is may_have_run.

        Raises:
            WrongIncarnationError: the inquiry is meant for another incarnation.
            AttemptForgottenError: the attempt is too old to be known.
            InvalidRequestError: attempt_id is malformed.

        """
        self._check_incarnation(incarnation)
        parsed = AttemptId.parse(attempt_id)
        known = self._find(parsed)
        if known is None:
            if not abandon:
                return AttemptState("unknown", str(Verdict.MAY_HAVE_RUN))
            known = Outcome(AttemptPhase.ABANDONED, Verdict.NOT_RUN)
            self._remember(parsed, known)
        outcome = known.outcome if isinstance(known, Attempt) else known
        return outcome.as_message()

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; return False if it is not in progress."""
        task = self._tasks.get(AttemptId.parse(attempt_id))
        return task is not None and task.cancel()

    def expire(self) -> None:
        """Drop finished answers, oldest first, while they are too old or exceed the buffer."""
        cutoff_s = self._clock.now() - self._retention_s
        while self._finished:
            finished_s, attempt = self._finished[0]
            if finished_s > cutoff_s and self._buffered <= self._buffer_bytes:
                return
            self._finished.popleft()
            self._buffered -= attempt.size
            owner = self._owners.get(attempt.id.owner_number)
            if owner is not None and attempt.id.counter in owner.known:
                owner.known[attempt.id.counter] = attempt.outcome

    async def close(self) -> None:
        """Cancel the attempts in progress."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _check_incarnation(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            raise WrongIncarnationError(
                f"meant for incarnation {incarnation}, but this is incarnation {self._incarnation}"
            )

    def _find(self, attempt_id: AttemptId) -> Attempt | Outcome | None:
        owner = self._owners.get(attempt_id.owner_number)
        if owner is None:
            return None
        self._owners.move_to_end(attempt_id.owner_number)
        known = owner.known.get(attempt_id.counter)
        if known is None and attempt_id.counter < owner.floor:
            raise AttemptForgottenError(f"attempt {attempt_id} is too old and has been forgotten")
        return known

    def _find_readable(self, attempt_id: str) -> Attempt:
        self.expire()
        known = self._find(AttemptId.parse(attempt_id))
        if isinstance(known, Attempt):
            return known
        not_run = known is not None and known.verdict is Verdict.NOT_RUN
        raise AttemptForgottenError(
            f"the answer of attempt {attempt_id} is not known",
            verdict=Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN,
        )

    @staticmethod
    def _completion(attempt: Attempt, next_chunk: int) -> Completed:
        if attempt.error is not None:
            raise attempt.error
        if attempt.completed is None or next_chunk > len(attempt.chunks):
            raise InvalidRequestError(
                f"next_chunk={next_chunk} exceeds the answer's {len(attempt.chunks)} chunks"
            )
        return attempt.completed

    def _remember(self, attempt_id: AttemptId, record: Attempt | Outcome) -> None:
        owner = self._owners.setdefault(attempt_id.owner_number, _Owner())
        owner.known[attempt_id.counter] = record
        self._known += 1
        if attempt_id.counter > owner.highest:
            owner.highest = attempt_id.counter
            self._raise_floor(owner, owner.highest - self._known_attempts_per_owner + 1)
        if self._known > self._max_known_attempts:
            self._forget_idle_owner()

    def _raise_floor(self, owner: _Owner, floor: int) -> None:
        if floor <= owner.floor:
            return
        # Counters arrive nearly in order, so only a few fall below the new floor. A jump past
        # the whole window must not loop over every skipped number.
        if floor - owner.floor < len(owner.known):
            below = [counter for counter in range(owner.floor, floor) if counter in owner.known]
        else:
            below = [counter for counter in owner.known if counter < floor]
        owner.floor = floor
        for counter in below:
            record = owner.known[counter]
            if isinstance(record, Outcome) or record.is_done:
                del owner.known[counter]
                self._known -= 1

    def _forget_idle_owner(self) -> None:
        """Forget the attempts of one owner, except those in progress.

        It is the least recently used owner that has attempts to forget. Its floor is raised
        above its highest counter, so that the forgotten attempts are refused.
        """
        for owner in self._owners.values():
            before = self._known
            self._raise_floor(owner, owner.highest + 1)
            if self._known < before:
                return

    async def _run(self, attempt: Attempt, runner: Runner) -> None:
        try:
            await runner(attempt)
            if not attempt.is_done:
                attempt.fail(InternalError("the attempt ended without an answer"))
        except JayvalveError as error:
            self._fail(attempt, error)
        except asyncio.CancelledError:
            self._fail(attempt, self._cancellation_error(attempt))
        except Exception as error:
            self._log.exception("attempt {} failed", attempt.id)
            self._fail(attempt, InternalError(f"unexpected {type(error).__name__} in the attempt"))

    @staticmethod
    def _cancellation_error(attempt: Attempt) -> JayvalveError:
        queued = attempt.phase is AttemptPhase.QUEUED
        return DeadlineExceededError(
            "the attempt was cancelled",
            verdict=Verdict.NOT_RUN if queued else Verdict.MAY_HAVE_RUN,
        )

    @staticmethod
    def _fail(attempt: Attempt, error: JayvalveError) -> None:
        # A finished answer stays valid even if an error follows it.
        if not attempt.is_done:
            attempt.fail(error)

    def _finish(self, attempt: Attempt) -> None:
        self._fail(attempt, self._cancellation_error(attempt))
        self._tasks.pop(attempt.id, None)
        owner = self._owners[attempt.id.owner_number]
        if attempt.id.counter < owner.floor:
            if owner.known.pop(attempt.id.counter, None) is not None:
                self._known -= 1
            return
        self._finished.append((self._clock.now(), attempt))
        self._buffered += attempt.size
        self.expire()
