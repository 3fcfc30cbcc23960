"""Observes the calls of one entry for operators."""

from typing import Any

from jayvalve.errors import JayvalveError
from jayvalve.internal.operator.timelines import CallEntry, ProgramTimelines, UncertainCalls
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import Chunk, Completed, ResponseHead

__all__ = ["CallObservation", "CallObserver"]


class CallObservation:
    """Follows one call from its arrival at the owner to its end."""

    def __init__(
        self,
        observer: "CallObserver",
        entry: CallEntry,
        organisation: str,
        root_key: str | None,
        key: str | None,
    ) -> None:
        self._observer = observer
        self._entry = entry
        self._organisation = organisation
        self._root_key = root_key
        self._key = key
        self._started_s = observer.clock.now()

    def note_attempt(self, turn: int, endpoint: str) -> None:
        """Record that an attempt of the call goes to an endpoint."""
        self._entry.turn = turn
        self._entry.endpoint = endpoint
        self._entry.attempts += 1

    def note_part(self, part: ResponseHead | Chunk | Completed) -> None:
        """Record a part of the answer that goes to the caller."""
        if isinstance(part, ResponseHead):
            turn = part.headers.get("Jayvalve-Turn", "")
            self._entry.turn = int(turn) if turn.isdigit() else self._entry.turn
        elif isinstance(part, Completed):
            self._end(part.verdict, part.status, "")

    def note_failure(self, error: JayvalveError) -> None:
        """Record that the call ended with an error."""
        self._end(str(error.verdict), int(error.status), error.code)

    def _end(self, verdict: str, status: int, code: str) -> None:
        entry = self._entry
        if entry.verdict is not None:
            return
        entry.verdict, entry.status, entry.code = verdict, status, code
        entry.seconds = self._observer.clock.now() - self._started_s
        program = entry.agent if self._root_key is not None else ""
        self._observer.uncertain.observe(self._organisation, program, self._key, entry, verdict)
        if self._root_key is not None:
            self._observer.timelines.note_end(self._root_key)


class CallObserver:
    """Keeps the timelines of owned programs and the calls that may have run."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.timelines = ProgramTimelines(clock)
        self.uncertain = UncertainCalls(clock)

    @property
    def clock(self) -> Clock:
        """Clock of this process."""
        return self._clock

    def begin(self, call: Any, root_key: str | None, is_new: bool) -> CallObservation:
        """Start to follow a call; root_key is None for a call without a program."""
        entry = CallEntry(
            call.program,
            call.request_id,
            call.rank,
            call.capability + (call.path if call.service else ""),
            call.turn or 0,
            self._clock.wall(),
        )
        if root_key is not None:
            self.timelines.add(root_key, entry, is_new)
        return CallObservation(self, entry, call.organisation, root_key, call.key)

    def end_program(self, root_key: str) -> None:
        """Record that an owned program has ended."""
        self.timelines.end(root_key)

    def status(self) -> dict[str, Any]:
        """Return the parts of the status document that come from here."""
        return {
            "programs_by_rank": self.timelines.by_rank(),
            "may_have_run": self.uncertain.as_list(),
        }
