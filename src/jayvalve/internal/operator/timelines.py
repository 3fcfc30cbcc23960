"""Records of calls, which an entry keeps to report them to operators."""

from collections import Counter, OrderedDict, deque
from typing import Any

import attrs

from jayvalve.internal.timing import Clock
from jayvalve.verdict import Verdict

__all__ = ["CallRecord", "ProgramTimelines", "UncertainCalls"]

# All control state of an instance should take at most 128 MB (docs/design.md). At these limits the
# records take 17 MB, which leaves most of it for other control state.
MAX_PROGRAMS = 1024
MAX_CALLS_PER_PROGRAM = 32
MAX_UNCERTAIN_CALLS = 256


@attrs.define
class CallRecord:
    """Record of one call, with or without a program.

    Attributes:
        turn: Number of the turn; 0 if none was assigned.
        endpoint: Endpoint of the last attempt; empty if there was none.
        started_at: Unix time of the call's arrival at the owner.
        seconds: Time from arrival to the end; None while the call is in progress.
        verdict: Verdict of the call; None while it is in progress.
        status: HTTP status of the answer, or of the error.
        code: Code of the error; empty after an answer.
    """

    agent: str
    request_id: str
    rank: str
    capability: str
    turn: int
    started_at: float
    endpoint: str = ""
    attempts: int = 0
    seconds: float | None = None
    verdict: str | None = None
    status: int = 0
    code: str = ""


@attrs.define
class _Timeline:
    calls: deque[CallRecord] = attrs.field(factory=lambda: deque(maxlen=MAX_CALLS_PER_PROGRAM))
    rank: str = "ordinary"
    state: str = "active"
    first_call_s: float = 0.0
    last_end_s: float | None = None
    seen_from_start: bool = False
    total: int = 0


class ProgramTimelines:
    """Keeps the latest calls of each program and drops the least recently used programs first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timelines: OrderedDict[str, _Timeline] = OrderedDict()

    def __len__(self) -> int:
        return len(self._timelines)

    def add(self, key: str, record: CallRecord, is_new: bool) -> None:
        """Add a call that has just arrived.

        Args:
            key: Key of the root program, ORGANISATION/PROGRAM.
            record: Record of the call.
            is_new: True if the program had no earlier call, neither here nor at a previous owner.
        """
        timeline = self._timelines.get(key)
        if timeline is None or timeline.state == "ended":
            timeline = _Timeline(first_call_s=self._clock.now(), seen_from_start=is_new)
            self._timelines[key] = timeline
        timeline.calls.append(record)
        timeline.total += 1
        timeline.rank = record.rank
        self._timelines.move_to_end(key)
        while len(self._timelines) > MAX_PROGRAMS:
            self._timelines.popitem(last=False)

    def record_end(self, key: str) -> None:
        """Record that a call of the program has run and has just ended."""
        timeline = self._timelines.get(key)
        if timeline is not None:
            timeline.last_end_s = self._clock.now()

    def end(self, key: str) -> tuple[str, float] | None:
        """End a program and return its rank and its latency in seconds.

        The latency runs from the arrival of the first call to the end of the last one that ran.
        Returns None if the program is unknown or has already ended, if none of its calls ran, or
        if it had calls at a previous owner.
        """
        timeline = self._timelines.get(key)
        if timeline is None or timeline.state == "ended":
            return None
        timeline.state = "ended"
        if not timeline.seen_from_start or timeline.last_end_s is None:
            return None
        return timeline.rank, timeline.last_end_s - timeline.first_call_s

    def forget(self, key: str) -> None:
        """Drop an active program that another entry now owns."""
        timeline = self._timelines.get(key)
        if timeline is not None and timeline.state != "ended":
            del self._timelines[key]

    def by_rank(self) -> dict[str, int]:
        """Return the number of active programs by the rank of their latest call."""
        active = (item for item in self._timelines.values() if item.state == "active")
        return dict(Counter(item.rank for item in active))

    def find(self, name: str, organisation: str | None) -> list[dict[str, Any]]:
        """Return the timelines of all programs with this name as JSON objects.

        If name is that of a sub-agent, calls contains only the calls of that sub-agent, while
        calls_in_all counts those of the whole program. If organisation is None, the programs of
        all organisations match.
        """
        root = name.split(".", 1)[0]
        found = []
        for key, timeline in self._timelines.items():
            program_organisation, _, program = key.partition("/")
            if program == root and organisation in (None, program_organisation):
                found.append(self._document(program_organisation, name, root, timeline))
        return found

    def _document(
        self, organisation: str, name: str, root: str, timeline: _Timeline
    ) -> dict[str, Any]:
        agents = (name,) if name != root else ()
        calls = [
            attrs.asdict(call) for call in timeline.calls if not agents or call.agent in agents
        ]
        return {
            "organisation": organisation,
            "program": name,
            "state": timeline.state,
            "rank": timeline.rank,
            "calls_in_all": timeline.total,
            "calls": calls,
        }


class UncertainCalls:
    """Calls that ended with the verdict may_have_run and have not been resolved since."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: OrderedDict[tuple[str, str], dict[str, Any]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._calls)

    def observe(
        self, organisation: str, program: str, key: str | None, record: CallRecord, verdict: str
    ) -> None:
        """Record the end of a call; a repeat with a known verdict resolves the call."""
        name = (organisation, f"key {key}" if key is not None else f"request {record.request_id}")
        self._calls.pop(name, None)
        if verdict != Verdict.MAY_HAVE_RUN:
            return
        self._calls[name] = {
            "organisation": organisation,
            "program": program,
            "key": key,
            "request_id": record.request_id,
            "endpoint": record.endpoint,
            "code": record.code,
            "ended_at": self._clock.wall(),
        }
        while len(self._calls) > MAX_UNCERTAIN_CALLS:
            self._calls.popitem(last=False)

    def as_list(self) -> list[dict[str, Any]]:
        """Return the calls, oldest first, as JSON objects."""
        return list(self._calls.values())
