"""Calls, entries and endpoints in virtual time.

The decision classes are the ones that the daemons use. There is no network and there are no
processes: messages are events with the delay between data centres.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from jayvalve.errors import JayvalveError, NoEndpointError, OverloadedError
from jayvalve.internal.measure.candidates import Candidate
from jayvalve.internal.measure.endpoint import Attempt, Endpoint, served_tokens
from jayvalve.internal.measure.engine_model import EngineSettings
from jayvalve.internal.measure.entry import Entry
from jayvalve.internal.measure.programs import Call, ProgramRuns
from jayvalve.internal.measure.records import Records
from jayvalve.internal.measure.workloads import Deployment, Program
from jayvalve.internal.routing import EndpointState
from jayvalve.internal.scheduling import QueuedCall

__all__ = ["Fault", "World"]

REPORT_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 1.5
DETECTION_S = 3.0
DEFAULT_RETRY_AFTER_S = 1.0
# Callers of all candidates back off exponentially from the hint.
BACKOFF = 1.5
MAX_BACKOFF_S = 15.0


@attrs.frozen
class Fault:
    """A fault of some endpoints over a time span.

    Attributes:
        kind: ``loss``, ``data_centre_loss``, ``slow`` (three times slower) or ``errors`` (a
            tenth of the calls fail).
        begin_s: Start in virtual seconds.
        end_s: End in virtual seconds.

    """

    kind: str
    begin_s: float
    end_s: float


class World:
    """Runs one candidate on one list of programs."""

    def __init__(
        self, deployment: Deployment, candidate: Candidate, engine: EngineSettings, seed: int
    ) -> None:
        self._candidate = candidate
        self._deployment = deployment
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = itertools.count()
        self._attempt_ids = itertools.count()
        self._rng = random.Random(f"{seed} world")
        self._endpoints: dict[str, Endpoint] = {}
        self.records = Records()
        self._now = 0.0
        next_use = self._next_use_s if candidate.oracle else None
        number = itertools.count()
        for data_centre, count in deployment.data_centres.items():
            for _ in range(count):
                name = f"engine-{next(number)}"
                self._endpoints[name] = Endpoint(
                    name, data_centre, candidate, engine, self._at, self._ended, next_use
                )
        self._entries = [
            Entry(data_centre, deployment, self._endpoints.values(), candidate, seed)
            for data_centre in deployment.data_centres
        ]
        self._programs = ProgramRuns(
            candidate, self._entries, self._endpoints, self.records, self._at, self._dispatch
        )

    @property
    def endpoints(self) -> list[Endpoint]:
        """All endpoints."""
        return list(self._endpoints.values())

    def run(self, programs: list[Program], faults: list[Fault], until_s: float) -> Records:
        """Run all programs until the given time and return what happened."""
        for program in programs:
            self._at(program.arrival_s, self._programs.start, program)
        for endpoint in self._endpoints.values():
            self._at(self._rng.random() * REPORT_INTERVAL_S, self._report, endpoint)
        for fault in faults:
            self._at(fault.begin_s, self._begin_fault, fault)
            self._at(fault.end_s, self._end_fault, fault)
        while self._heap and self._heap[0][0] <= until_s:
            now, _, function, arguments = heapq.heappop(self._heap)
            self._now = now
            function(*arguments, now)
        for record in self.records.programs:
            if not record.completed:
                record.censor(until_s)
        return self.records

    def _at(self, at_s: float, function: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._heap, (at_s, next(self._serial), function, arguments))

    def _next_use_s(self, agent: str) -> float:
        return self._programs.next_use_s(agent)

    # Calls

    def _dispatch(self, call: Call, now: float) -> None:
        program = call.run.program
        if program.record.end_s is not None:
            return
        entry = self._programs.owner(program)
        attempt_id = next(self._attempt_ids)
        pinned = program.home.get(call.agent) if self._candidate.oracle else None
        try:
            view = entry.route(call, attempt_id, now, pinned)
        except NoEndpointError as error:
            self._refused(call, error, now)
            return
        call.attempts += 1
        self.records.dispatched(now, retry=call.attempts > 1)
        attained = entry.attained.tokens(program.program.name)
        attempt = Attempt(call)
        attempt.queued = QueuedCall(
            call_id=attempt_id,
            program=program.program.name,
            caller=program.program.caller,
            rank=call.rank,
            attained_tokens=attained,
            cost_tokens=served_tokens(call.new_tokens, entry.mean_output_tokens),
            deadline_s=call.deadline_s,
            straggler=call.straggler,
            starts_program=call.starts_program,
            payload=attempt,
        )
        delay_s = entry.distances.to(view.data_centre)
        self._at(now + delay_s, self._arrive, attempt, self._endpoints[view.name])

    def _arrive(self, attempt: Attempt, endpoint: Endpoint, now: float) -> None:
        call = attempt.call
        home = call.run.program.home
        previous = home.get(call.agent, endpoint.name)
        if previous != endpoint.name:
            self._endpoints[previous].moved(call.agent)
        home[call.agent] = endpoint.name
        if not endpoint.alive:
            self._at(now + CONNECT_TIMEOUT_S, self._unreachable, attempt, endpoint)
            return
        call.run.program.endpoints.add(endpoint.name)
        try:
            endpoint.arrive(attempt, now)
        except JayvalveError as error:
            entry = self._programs.owner(call.run.program)
            entry.answered(attempt, endpoint, None)
            entry.take_report(endpoint, now)
            self._refused(call, error, now)

    def _unreachable(self, attempt: Attempt, endpoint: Endpoint, now: float) -> None:
        entry = self._programs.owner(attempt.call.run.program)
        entry.answered(attempt, endpoint, None)
        if not endpoint.alive:
            entry.views[endpoint.name].state = EndpointState.EJECTED
        self._failed(attempt.call, endpoint.name, now)

    def _ended(self, attempt: Attempt, outcome: str, now: float) -> None:
        call = attempt.call
        endpoint = self._endpoints[call.run.program.home[call.agent]]
        entry = self._programs.owner(call.run.program)
        delay_s = entry.distances.to(endpoint.data_centre)
        self._at(now + delay_s, self._answered, attempt, endpoint, outcome)

    def _answered(self, attempt: Attempt, endpoint: Endpoint, outcome: str, now: float) -> None:
        call, program = attempt.call, attempt.call.run.program
        entry = self._programs.owner(program)
        service_s = now - attempt.started_s if outcome == "done" else None
        entry.answered(attempt, endpoint, service_s)
        if program.record.end_s is not None:
            return
        if outcome == "expired":
            self._programs.fail(program, now)
        elif outcome == "failed":
            self._failed(call, endpoint.name, now)
        else:
            self._done(attempt, endpoint, entry, now)

    def _done(self, attempt: Attempt, endpoint: Endpoint, entry: Entry, now: float) -> None:
        call, program = attempt.call, attempt.call.run.program
        entry.take_report(endpoint, now)
        tokens = served_tokens(call.new_tokens, call.output_tokens)
        entry.served(program.program.name, tokens, call.output_tokens)
        program.record.served.append((now, tokens))
        self.records.call_done(call, attempt, now)
        call.run.history_tokens += call.new_tokens + call.output_tokens
        self._programs.advance(call.run, call.step, now)

    def _failed(self, call: Call, endpoint: str, now: float) -> None:
        call.excluded = frozenset({endpoint})
        error = OverloadedError("the endpoint failed", retry_after_s=DEFAULT_RETRY_AFTER_S)
        self._retry_or_tell(call, error, now)

    def _refused(self, call: Call, error: JayvalveError, now: float) -> None:
        self.records.refusals += 1
        if not isinstance(error, NoEndpointError):
            call.excluded |= {call.run.program.home[call.agent]}
        self._retry_or_tell(call, error, now)

    def _retry_or_tell(self, call: Call, error: JayvalveError, now: float) -> None:
        entry = self._programs.owner(call.run.program)
        elsewhere = any(
            view.state is EndpointState.LIVE and view.name not in call.excluded
            for view in entry.views.values()
        )
        if elsewhere and call.attempts < self._candidate.attempts and entry.budget.allow():
            self._dispatch(call, now)
            return
        # The caller comes back after the hint, spread so that callers do not come in step.
        hint_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
        backoff_s = min(MAX_BACKOFF_S, hint_s * BACKOFF**call.resubmissions)
        after_s = backoff_s * self._rng.uniform(0.8, 1.6)
        if now + after_s > call.deadline_s:
            self._programs.fail(call.run.program, now)
            return
        call.attempts, call.excluded = 0, frozenset()
        call.resubmissions += 1
        self.records.resubmissions += 1
        self._at(now + after_s, self._dispatch, call)

    # Signals and faults

    def _report(self, endpoint: Endpoint, now: float) -> None:
        self._at(now + REPORT_INTERVAL_S, self._report, endpoint)
        if not endpoint.alive:
            return
        events, load = endpoint.collect_events(), endpoint.load()
        for entry in self._entries:
            delay_s = self._rng.uniform(0.1, 1.0)
            self._at(now + delay_s, entry.signal, endpoint.name, events, load, now)

    def _affected(self, fault: Fault) -> list[Endpoint]:
        endpoints = self.endpoints
        if fault.kind == "data_centre_loss":
            lost = endpoints[0].data_centre
            return [endpoint for endpoint in endpoints if endpoint.data_centre == lost]
        return endpoints[:1]

    def _begin_fault(self, fault: Fault, now: float) -> None:
        for endpoint in self._affected(fault):
            if fault.kind == "slow":
                endpoint.engine.set_slowdown(3.0)
            elif fault.kind == "errors":
                endpoint.failure_share = 0.1
            else:
                endpoint.fail(now)
                self._at(now + DETECTION_S, self._set_state, endpoint.name, EndpointState.DEAD)
        if fault.kind == "data_centre_loss":
            self._entries[0].alive = False

    def _end_fault(self, fault: Fault, now: float) -> None:
        for endpoint in self._affected(fault):
            endpoint.engine.set_slowdown(1.0)
            endpoint.failure_share = 0.0
            if not endpoint.alive:
                endpoint.recover()
                self._set_state(endpoint.name, EndpointState.LIVE, now)
        self._entries[0].alive = True

    def _set_state(self, name: str, state: EndpointState, now: float) -> None:
        for entry in self._entries:
            entry.views[name].state = state
