"""Discrete-event simulation of calls, entries and endpoints in virtual time.

The decision classes are those of the daemons, except for the retry budget (``RetryTokens``).
There are no processes and no network: a message is an event, delayed by the distance between the
data centres.
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
DETECTION_DELAY_S = 3.0
DEFAULT_RETRY_AFTER_S = 1.0
# Callers back off exponentially, starting with the hinted delay, under every candidate.
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_S = 15.0


@attrs.frozen
class Fault:
    """A fault over a time span.

    Attributes:
        kind: ``loss`` (of the first endpoint), ``data_centre_loss`` (of the first data centre's
            endpoints and entry), ``slow`` (the first endpoint is three times slower) or
            ``errors`` (a tenth of the first endpoint's calls fail).
        begin_s: Start in virtual seconds.
        end_s: End in virtual seconds.

    """

    kind: str
    begin_s: float
    end_s: float


class World:
    """Simulates one candidate on a list of programs."""

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
                    name,
                    data_centre,
                    candidate,
                    engine,
                    self._schedule,
                    self._send_answer,
                    next_use,
                )
        self._entries = [
            Entry(data_centre, deployment, self._endpoints.values(), candidate, seed)
            for data_centre in deployment.data_centres
        ]
        self._programs = ProgramRuns(
            candidate, self._entries, self._endpoints, self.records, self._schedule, self._dispatch
        )

    @property
    def endpoints(self) -> list[Endpoint]:
        """All endpoints."""
        return list(self._endpoints.values())

    def run(self, programs: list[Program], faults: list[Fault], until_s: float) -> Records:
        """Run the programs until the given virtual time and return the records of the run."""
        for program in programs:
            self._schedule(program.arrival_s, self._programs.start, program)
        for endpoint in self._endpoints.values():
            self._schedule(self._rng.random() * REPORT_INTERVAL_S, self._send_report, endpoint)
        for fault in faults:
            self._schedule(fault.begin_s, self._begin_fault, fault)
            self._schedule(fault.end_s, self._end_fault, fault)
        while self._heap and self._heap[0][0] <= until_s:
            now, _, function, arguments = heapq.heappop(self._heap)
            self._now = now
            function(*arguments, now)
        for record in self.records.programs:
            if not record.completed:
                record.censor(until_s)
        return self.records

    def _schedule(self, at_s: float, function: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._heap, (at_s, next(self._serial), function, arguments))

    def _next_use_s(self, agent: str) -> float:
        return self._programs.next_use_s(agent)

    # Calls

    def _dispatch(self, call: Call, now: float) -> None:
        program_run = call.run.program_run
        if program_run.record.end_s is not None:
            return
        entry = self._programs.owner(program_run)
        attempt_id = next(self._attempt_ids)
        pinned = program_run.endpoint_by_agent.get(call.agent) if self._candidate.oracle else None
        try:
            view = entry.route(call, attempt_id, now, pinned)
        except NoEndpointError as error:
            self._handle_refusal(call, error, now)
            return
        call.attempts += 1
        self.records.record_dispatch(now, retry=call.attempts > 1)
        attained = entry.attained.tokens(program_run.program.name)
        attempt = Attempt(call)
        attempt.queued = QueuedCall(
            call_id=attempt_id,
            program=program_run.program.name,
            caller=program_run.program.caller,
            rank=call.rank,
            attained_tokens=attained,
            cost_tokens=served_tokens(call.new_tokens, entry.mean_output_tokens),
            deadline_s=call.deadline_s,
            straggler=call.straggler,
            starts_program=call.starts_program,
            payload=attempt,
        )
        delay_s = entry.distances.to(view.data_centre)
        self._schedule(now + delay_s, self._arrive_at_endpoint, attempt, self._endpoints[view.name])

    def _arrive_at_endpoint(self, attempt: Attempt, endpoint: Endpoint, now: float) -> None:
        call = attempt.call
        endpoint_by_agent = call.run.program_run.endpoint_by_agent
        previous = endpoint_by_agent.get(call.agent, endpoint.name)
        if previous != endpoint.name:
            self._endpoints[previous].record_departure(call.agent)
        endpoint_by_agent[call.agent] = endpoint.name
        if not endpoint.alive:
            self._schedule(now + CONNECT_TIMEOUT_S, self._handle_unreachable, attempt, endpoint)
            return
        call.run.program_run.visited_endpoints.add(endpoint.name)
        try:
            endpoint.submit(attempt, now)
        except JayvalveError as error:
            entry = self._programs.owner(call.run.program_run)
            entry.record_attempt_end(attempt, endpoint, None)
            entry.observe_load(endpoint, now)
            self._handle_refusal(call, error, now)

    def _handle_unreachable(self, attempt: Attempt, endpoint: Endpoint, now: float) -> None:
        entry = self._programs.owner(attempt.call.run.program_run)
        entry.record_attempt_end(attempt, endpoint, None)
        if not endpoint.alive:
            entry.views[endpoint.name].state = EndpointState.EJECTED
        self._handle_failure(attempt.call, endpoint.name, now)

    def _send_answer(self, attempt: Attempt, outcome: str, now: float) -> None:
        call = attempt.call
        endpoint = self._endpoints[call.run.program_run.endpoint_by_agent[call.agent]]
        entry = self._programs.owner(call.run.program_run)
        delay_s = entry.distances.to(endpoint.data_centre)
        self._schedule(now + delay_s, self._handle_answer, attempt, endpoint, outcome)

    def _handle_answer(
        self, attempt: Attempt, endpoint: Endpoint, outcome: str, now: float
    ) -> None:
        call, program_run = attempt.call, attempt.call.run.program_run
        entry = self._programs.owner(program_run)
        service_s = now - attempt.started_s if outcome == "done" else None
        entry.record_attempt_end(attempt, endpoint, service_s)
        if program_run.record.end_s is not None:
            return
        if outcome == "expired":
            self._programs.fail(program_run, now)
        elif outcome == "failed":
            self._handle_failure(call, endpoint.name, now)
        else:
            self._handle_success(attempt, endpoint, entry, now)

    def _handle_success(
        self, attempt: Attempt, endpoint: Endpoint, entry: Entry, now: float
    ) -> None:
        call, program_run = attempt.call, attempt.call.run.program_run
        entry.observe_load(endpoint, now)
        tokens = served_tokens(call.new_tokens, call.output_tokens)
        entry.record_service(program_run.program.name, tokens, call.output_tokens)
        program_run.record.served.append((now, tokens))
        self.records.record_call(call, attempt, now)
        call.run.history_tokens += call.new_tokens + call.output_tokens
        self._programs.advance(call.run, call.step, now)

    def _handle_failure(self, call: Call, endpoint: str, now: float) -> None:
        call.excluded = frozenset({endpoint})
        error = OverloadedError("the endpoint failed", retry_after_s=DEFAULT_RETRY_AFTER_S)
        self._retry_or_resubmit(call, error, now)

    def _handle_refusal(self, call: Call, error: JayvalveError, now: float) -> None:
        self.records.refusals += 1
        if not isinstance(error, NoEndpointError):
            call.excluded |= {call.run.program_run.endpoint_by_agent[call.agent]}
        self._retry_or_resubmit(call, error, now)

    def _retry_or_resubmit(self, call: Call, error: JayvalveError, now: float) -> None:
        entry = self._programs.owner(call.run.program_run)
        has_alternative = any(
            view.state is EndpointState.LIVE and view.name not in call.excluded
            for view in entry.views.values()
        )
        if (
            has_alternative
            and call.attempts < self._candidate.max_attempts
            and entry.budget.try_acquire()
        ):
            self._dispatch(call, now)
            return
        # The caller resubmits after the hinted delay, which grows with each resubmission, with
        # jitter so that callers do not resubmit in lockstep.
        hint_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
        backoff_s = min(MAX_BACKOFF_S, hint_s * BACKOFF_FACTOR**call.resubmissions)
        resubmit_delay_s = backoff_s * self._rng.uniform(0.8, 1.6)
        if now + resubmit_delay_s > call.deadline_s:
            self._programs.fail(call.run.program_run, now)
            return
        call.attempts, call.excluded = 0, frozenset()
        call.resubmissions += 1
        self.records.resubmissions += 1
        self._schedule(now + resubmit_delay_s, self._dispatch, call)

    # Reports and faults

    def _send_report(self, endpoint: Endpoint, now: float) -> None:
        self._schedule(now + REPORT_INTERVAL_S, self._send_report, endpoint)
        if not endpoint.alive:
            return
        events, load = endpoint.collect_events(), endpoint.load()
        for entry in self._entries:
            delay_s = self._rng.uniform(0.1, 1.0)
            self._schedule(now + delay_s, entry.observe_report, endpoint.name, events, load, now)

    def _affected_endpoints(self, fault: Fault) -> list[Endpoint]:
        endpoints = self.endpoints
        if fault.kind == "data_centre_loss":
            lost = endpoints[0].data_centre
            return [endpoint for endpoint in endpoints if endpoint.data_centre == lost]
        return endpoints[:1]

    def _begin_fault(self, fault: Fault, now: float) -> None:
        for endpoint in self._affected_endpoints(fault):
            if fault.kind == "slow":
                endpoint.engine.set_slowdown(3.0)
            elif fault.kind == "errors":
                endpoint.failure_share = 0.1
            else:
                endpoint.fail(now)
                self._schedule(
                    now + DETECTION_DELAY_S, self._set_state, endpoint.name, EndpointState.DEAD
                )
        if fault.kind == "data_centre_loss":
            self._entries[0].alive = False

    def _end_fault(self, fault: Fault, now: float) -> None:
        for endpoint in self._affected_endpoints(fault):
            endpoint.engine.set_slowdown(1.0)
            endpoint.failure_share = 0.0
            if not endpoint.alive:
                endpoint.recover()
                self._set_state(endpoint.name, EndpointState.LIVE, now)
        self._entries[0].alive = True

    def _set_state(self, name: str, state: EndpointState, now: float) -> None:
        for entry in self._entries:
            entry.views[name].state = state
