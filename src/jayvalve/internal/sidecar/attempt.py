"""One attempt of a call: its identity, state and answer."""

import asyncio
import enum
from typing import Any

import attrs
import xxhash

from jayvalve.errors import EndpointFailedError, InvalidRequestError, JayvalveError
from jayvalve.internal.wire.messages import AttemptState as AttemptStateMessage
from jayvalve.internal.wire.messages import Completed, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["MAX_ANSWER_BYTES", "Attempt", "AttemptId", "AttemptPhase", "Outcome"]

# An endpoint that never stops sending must not exhaust the memory of the sidecar.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
_NUMBER_LIMIT = 2**63


class AttemptPhase(enum.StrEnum):
    """Progress of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    ABANDONED = "abandoned"


@attrs.frozen
class AttemptId:
    """Identity of an attempt, written ``<owner number>-<counter>``.

    The owner number identifies one incarnation of one entry, see AttemptIds.
    """

    owner_number: int
    counter: int

    def __str__(self) -> str:
        return f"{self.owner_number}-{self.counter}"

    @classmethod
    def parse(cls, text: str) -> "AttemptId":
        """Parse the written form.

        Only the canonical form is valid, so that one attempt cannot have two ids.

        Raises:
            InvalidRequestError: the text is not a canonical id.
        """
        owner, _, counter = text.partition("-")
        parts = (owner, counter)
        if all(part.isascii() and part.isdigit() and len(part) <= 19 for part in parts):
            parsed = cls(int(owner), int(counter))
            if str(parsed) == text and max(attrs.astuple(parsed)) < _NUMBER_LIMIT:
                return parsed
        raise InvalidRequestError(
            f"attempt_id={text!r:.80} must be <owner number>-<counter> in decimal"
        )


@attrs.frozen
class Outcome:
    """State, verdict and status of an attempt.

    It is kept when the answer of the attempt is dropped or when the attempt is abandoned.
    """

    phase: AttemptPhase
    verdict: Verdict
    status: int = 0

    def as_message(self) -> AttemptStateMessage:
        """Return the reply to an Inquire message."""
        return AttemptStateMessage(str(self.phase), str(self.verdict), self.status)


class Attempt:
    """One attempt and its answer, which a runner writes while readers read from any chunk."""

    def __init__(self, attempt_id: AttemptId) -> None:
        self._id = attempt_id
        self._phase = AttemptPhase.QUEUED
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._hash = xxhash.xxh3_128()
        self._completed: Completed | None = None
        self._error: JayvalveError | None = None
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f"<Attempt {self._id} {self._phase} chunks={len(self._chunks)}>"

    @property
    def id(self) -> AttemptId:
        """Identity of the attempt."""
        return self._id

    @property
    def phase(self) -> AttemptPhase:
        """Progress of the attempt."""
        return self._phase

    @property
    def head(self) -> ResponseHead | None:
        """Status and headers of the answer, if the runner reported them."""
        return self._head

    @property
    def chunks(self) -> list[bytes]:
        """Parts of the answer received so far."""
        return self._chunks

    @property
    def size(self) -> int:
        """Size of the answer received so far, in bytes."""
        return self._size

    @property
    def completed(self) -> Completed | None:
        """Completion of the answer; None until the attempt finishes without an error."""
        return self._completed

    @property
    def error(self) -> JayvalveError | None:
        """Error that ended the attempt, or None."""
        return self._error

    @property
    def is_done(self) -> bool:
        """Whether the attempt has finished."""
        return self._phase is AttemptPhase.DONE

    @property
    def digest(self) -> str:
        """Checksum of the chunks received so far, equal to hashing.digest of all chunks."""
        return self._hash.hexdigest()

    @property
    def outcome(self) -> Outcome:
        """State, verdict and status.

        The verdict of an attempt in progress is may_have_run, since it may run at any moment.
        """
        if self._error is not None:
            return Outcome(self._phase, self._error.verdict, int(self._error.status))
        if self._completed is not None:
            verdict = Verdict(self._completed.verdict)
            return Outcome(self._phase, verdict, self._completed.status)
        return Outcome(self._phase, Verdict.MAY_HAVE_RUN)

    def mark_running(self) -> None:
        """Record that the endpoint is being called, and wake the waiting readers."""
        self._check_not_finished()
        self._phase = AttemptPhase.RUNNING
        self._notify()

    def set_head(self, status: int, headers: dict[str, Any]) -> None:
        """Record the status and headers of the answer."""
        self.mark_running()
        self._head = ResponseHead(status, headers)

    def append(self, data: bytes) -> None:
        """Add a part of the answer.

        Raises:
            EndpointFailedError: the answer exceeds MAX_ANSWER_BYTES.

        """
        # The readers that this wakes run only after the part has been added, because there is no
        # await in between.
        self.mark_running()
        if self._size + len(data) > MAX_ANSWER_BYTES:
            raise EndpointFailedError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        self._chunks.append(data)
        self._size += len(data)
        self._hash.update(data)

    def finish(
        self,
        status: int,
        verdict: Verdict = Verdict.RAN,
        usage_tokens: int = 0,
        load: dict[str, Any] | None = None,
    ) -> None:
        """Complete the answer and finish the attempt."""
        self._check_not_finished()
        self._completed = Completed(
            status, str(verdict), len(self._chunks), self.digest, usage_tokens, load or {}
        )
        self._phase = AttemptPhase.DONE
        self._notify()

    def fail(self, error: JayvalveError) -> None:
        """Finish the attempt with an error."""
        self._check_not_finished()
        self._error = error
        self._phase = AttemptPhase.DONE
        self._notify()

    async def wait_for_change(self) -> None:
        """Wait for the next change of the phase or the answer."""
        await self._changed.wait()

    def _check_not_finished(self) -> None:
        if self.is_done:
            raise RuntimeError(f"attempt {self._id} has already finished")

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
