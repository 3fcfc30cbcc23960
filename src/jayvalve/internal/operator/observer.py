"""Records the calls of an entry for reports to operators."""

from http import HTTPStatus
from typing import Any

from jayvalve.errors import JayvalveError
from jayvalve.internal.configuration import Rules
from jayvalve.internal.operator.timelines import CallRecord, ProgramTimelines, UncertainCalls
from jayvalve.internal.report.windows import (
    BETWEEN_TOKENS,
    FIRST_TOKEN,
    PROGRAM,
    SloRecorder,
)
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import Chunk, Completed, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["CallObservation", "CallObserver"]

EVENT_START = b"data: "
# A streamed call that fails with status 5xx or 429 before its first token misses any target for the
# time to the first token, so this time is recorded as the longest duration that the histograms can
# represent.
FAILED_CALL_S = 3600.0
# Recording a value in a histogram takes about 6 us. Times between tokens are therefore rounded
# to steps that are finer than the 1% resolution of the histograms at the default target,
# counted, and recorded in one batch for up to 64 parts.
GAP_STEP_S = 0.0005
MAX_PARTS_PER_RECORD = 64


class CallObservation:
    """Records the progress of one call from its arrival at the owner to its end."""

    def __init__(
        self,
        observer: "CallObserver",
        record: CallRecord,
        organisation: str,
        root_key: str | None,
        key: str | None,
        is_stream: bool,
    ) -> None:
        self._observer = observer
        self._is_stream = is_stream
        self._last_token_s: float | None = None
        self._gap_counts: dict[int, int] = {}
        self._unrecorded_parts = 0
        self._call_record = record
        self._organisation = organisation
        self._root_key = root_key
        self._key = key
        self._started_s = observer.clock.now()

    def record_attempt(self, turn: int, endpoint: str) -> None:
        """Record that an attempt of the call is sent to an endpoint."""
        self._call_record.turn = turn
        self._call_record.endpoint = endpoint
        self._call_record.attempts += 1

    def record_part(self, part: ResponseHead | Chunk | Completed) -> None:
        """Record a part of the answer that is sent to the caller."""
        if isinstance(part, ResponseHead):
            turn = part.headers.get("Jayvalve-Turn", "")
            self._call_record.turn = int(turn) if turn.isdigit() else self._call_record.turn
        elif isinstance(part, Chunk):
            # A repeat of a finished call is answered from the stored turn without an attempt; its
            # token times are not recorded.
            if self._is_stream and self._call_record.attempts:
                self._record_tokens(part.data.count(EVENT_START))
        elif isinstance(part, Completed):
            self._end(part.verdict, part.status, "")

    def record_failure(self, error: JayvalveError) -> None:
        """Record that the call ended with an error."""
        status = int(error.status)
        no_token = self._is_stream and self._last_token_s is None
        is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if no_token and (is_server_error or status == HTTPStatus.TOO_MANY_REQUESTS):
            self._record(FIRST_TOKEN, FAILED_CALL_S)
        self._end(str(error.verdict), status, error.code)

    def _record_tokens(self, events: int) -> None:
        """Record the time to the first token, or the mean time between the tokens of a part."""
        if not events:
            return
        now = self._observer.clock.now()
        if self._last_token_s is None:
            self._record(FIRST_TOKEN, now - self._started_s)
        else:
            steps = round((now - self._last_token_s) / events / GAP_STEP_S)
            self._gap_counts[steps] = self._gap_counts.get(steps, 0) + events
            self._unrecorded_parts += 1
            if self._unrecorded_parts >= MAX_PARTS_PER_RECORD:
                self._record_gaps()
        self._last_token_s = now

    def _record_gaps(self) -> None:
        for steps, count in self._gap_counts.items():
            self._record(BETWEEN_TOKENS, steps * GAP_STEP_S, count)
        self._gap_counts.clear()
        self._unrecorded_parts = 0

    def _record(self, measure: str, seconds: float, count: int = 1) -> None:
        rank = self._call_record.rank
        self._observer.slo.record(measure, rank, self._organisation, seconds, count)

    def _end(self, verdict: str, status: int, code: str) -> None:
        record = self._call_record
        if record.verdict is not None:
            return
        self._record_gaps()
        record.verdict, record.status, record.code = verdict, status, code
        record.seconds = self._observer.clock.now() - self._started_s
        program = record.agent if self._root_key is not None else ""
        self._observer.uncertain.observe(self._organisation, program, self._key, record, verdict)
        if self._root_key is not None and verdict == Verdict.RAN:
            # Refused calls end immediately; including them would make an overload look fast.
            self._observer.timelines.record_end(self._root_key)


class CallObserver:
    """Keeps the timelines of owned programs, the calls that may have run, and latencies."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.timelines = ProgramTimelines(clock)
        self.uncertain = UncertainCalls(clock)
        self.slo = SloRecorder(clock)

    @property
    def clock(self) -> Clock:
        """Clock of this process."""
        return self._clock

    def begin(self, call: Any, root_key: str | None, is_new: bool) -> CallObservation:
        """Start recording a call; root_key is None for a call without a program."""
        record = CallRecord(
            call.program,
            call.request_id,
            call.rank,
            call.capability + (call.path if call.service else ""),
            call.turn or 0,
            self._clock.wall(),
        )
        if root_key is not None:
            self.timelines.add(root_key, record, is_new)
        return CallObservation(self, record, call.organisation, root_key, call.key, call.stream)

    def end_program(self, root_key: str) -> None:
        """Record that an owned program has ended."""
        ended = self.timelines.end(root_key)
        if ended is not None:
            rank, seconds = ended
            self.slo.record(PROGRAM, rank, root_key.partition("/")[0], seconds)

    def slo_document(self, instance: str, rules: Rules, version: int) -> dict[str, Any]:
        """Return the histograms and the targets in force, for ``GET /slo``."""
        targets = {}
        for rank in ("urgent", "ordinary"):
            rank_targets = rules.rank(rank).targets
            targets[rank] = {
                FIRST_TOKEN: rank_targets.first_token_s,
                BETWEEN_TOKENS: rank_targets.between_tokens_s,
                PROGRAM: rank_targets.program_s,
            }
        return {
            "instance": instance,
            "configuration_version": version,
            "targets": targets,
            **self.slo.document(),
        }

    def status(self) -> dict[str, Any]:
        """Return the parts of the status document that this observer provides."""
        return {
            "programs_by_rank": self.timelines.by_rank(),
            "may_have_run": self.uncertain.as_list(),
        }
