"""Programs, entries and endpoints in virtual time.

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
from jayvalve.internal.measure.records import ProgramRecord, Records
from jayvalve.internal.measure.workloads import Agent, Deployment, Program, Step
from jayvalve.internal.routing import EndpointState
from jayvalve.internal.scheduling import QueuedCall, Rank

__all__ = ["Call", "Fault", "World"]

REPORT_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 1.5
DETECTION_S = 3.0
DEADLINE_S = {Rank.URGENT: 30.0, Rank.ORDINARY: 120.0}
# How long a caller tries to start a program that is refused.
START_PATIENCE_S = {Rank.URGENT: 60.0, Rank.ORDINARY: 60.0}
# Name under which the wait for sub-agents counts as a tool pause.
JOIN = "join"
DEFAULT_RETRY_AFTER_S = 1.0
# Callers of all candidates back off exponentially from the hint.
BACKOFF = 1.5
MAX_BACKOFF_S = 15.0


@attrs.define(eq=False)
class _AgentRun:
    """Progress of one agent."""

    name: str
    agent: Agent
    program: "_ProgramRun"
    parent: "_AgentRun | None" = None
    index: int = 0
    history_tokens: int = 0
    open_children: int = 0
    children: int = 0
    next_use_s: float = float("inf")
    join_began_s: float = 0.0


@attrs.define(eq=False)
class _ProgramRun:
    program: Program
    record: ProgramRecord
    entry: Entry
    endpoints: set[str] = attrs.field(factory=set)
    agents: list[_AgentRun] = attrs.field(factory=list)
    home: dict[str, str] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Call:
    """One model call of an agent."""

    run: _AgentRun
    step: Step
    issued_s: float
    deadline_s: float
    attempts: int = 0
    resubmissions: int = 0
    excluded: frozenset[str] = frozenset()

    @property
    def agent(self) -> str:
        """The agent's name, which is the key of its prefix."""
        return self.run.name

    @property
    def prefix_tokens(self) -> int:
        """Length of the history before this call."""
        return self.run.history_tokens

    @property
    def new_tokens(self) -> int:
        """Prompt tokens that this call adds."""
        return self.step.new_tokens

    @property
    def output_tokens(self) -> int:
        """Tokens that the call generates."""
        return self.step.output_tokens

    @property
    def rank(self) -> Rank:
        """Rank of the program."""
        return self.run.program.program.rank

    @property
    def starts_program(self) -> bool:
        """Whether this is the first call of the program."""
        return self.run.parent is None and self.run.index == 0

    @property
    def straggler(self) -> bool:
        """Whether a join waits for this agent alone."""
        parent = self.run.parent
        return parent is not None and parent.children > 1 and parent.open_children == 1


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
        self._agents: dict[str, _AgentRun] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self.records = Records()
        self._now = 0.0
        next_use = self._next_use if candidate.oracle else None
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

    @property
    def endpoints(self) -> list[Endpoint]:
        """All endpoints."""
        return list(self._endpoints.values())

    def run(self, programs: list[Program], faults: list[Fault], until_s: float) -> Records:
        """Run all programs until the given time and return what happened."""
        for program in programs:
            self._at(program.arrival_s, self._start_program, program)
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

    def _next_use(self, agent: str) -> float:
        run = self._agents.get(agent)
        return run.next_use_s if run is not None else float("inf")

    # Programs

    def _start_program(self, program: Program, now: float) -> None:
        record = ProgramRecord(program.rank, program.arrival_s)
        self.records.programs.append(record)
        run = _ProgramRun(program, record, self._entries[program.data_centre])
        self._start_agent(_AgentRun(program.name, program.root, run), now)

    def _start_agent(self, run: _AgentRun, now: float) -> None:
        run.program.agents.append(run)
        self._agents[run.name] = run
        self._issue(run, now)

    def _issue(self, run: _AgentRun, now: float) -> None:
        if run.program.record.end_s is not None:
            return
        run.next_use_s = now
        rank = run.program.program.rank
        self.records.requests += 1
        call = Call(run, run.agent.steps[run.index], now, now + DEADLINE_S[rank])
        if call.starts_program:
            call.deadline_s = now + START_PATIENCE_S[rank]
        self._owner(run.program).budget.request()
        self._dispatch(call, now)

    def _owner(self, program: _ProgramRun) -> Entry:
        if not program.entry.alive:
            program.entry = next(entry for entry in self._entries if entry.alive)
        return program.entry

    def _advance(self, run: _AgentRun, step: Step, now: float) -> None:
        run.index += 1
        if step.children:
            run.join_began_s = now
            self._pause_cache(run, JOIN, now)
            run.children = run.open_children = len(step.children)
            run.next_use_s = float("inf")
            for number, child in enumerate(step.children):
                name = f"{run.name}.{run.index}.{number}"
                self._start_agent(_AgentRun(name, child, run.program, run), now)
        elif run.index == len(run.agent.steps):
            self._agent_ended(run, now)
        else:
            self._pause(run, step, now)

    def _pause(self, run: _AgentRun, step: Step, now: float) -> None:
        run.next_use_s = now + step.pause_s
        self._pause_cache(run, step.tool, now)
        self._at(run.next_use_s, self._resume, run, step)

    def _pause_cache(self, run: _AgentRun, tool: str, now: float) -> None:
        endpoint = self._endpoints[run.program.home[run.name]]
        if self._candidate.manages_memory and not self._candidate.oracle and endpoint.alive:
            endpoint.pause(run.name, tool, self._owner(run.program).pauses, now)

    def _resume(self, run: _AgentRun, step: Step, now: float) -> None:
        self._owner(run.program).pauses.observe(step.tool, step.pause_s)
        self._issue(run, now)

    def _agent_ended(self, run: _AgentRun, now: float) -> None:
        self._release(run)
        parent = run.parent
        if parent is None:
            run.program.record.complete(now)
            self._owner(run.program).attained.end(run.program.program.name)
            return
        parent.open_children -= 1
        if parent.open_children:
            return
        if parent.index == len(parent.agent.steps):
            self._agent_ended(parent, now)
        else:
            self._owner(run.program).pauses.observe(JOIN, now - parent.join_began_s)
            self._issue(parent, now)

    def _release(self, run: _AgentRun) -> None:
        run.next_use_s = float("inf")
        self._agents.pop(run.name, None)
        if self._candidate.manages_memory:
            for name in sorted(run.program.endpoints):
                self._endpoints[name].release(run.name)

    def _fail_program(self, program: _ProgramRun, now: float) -> None:
        if program.record.end_s is None:
            program.record.fail(now)
            for run in program.agents:
                self._release(run)

    # Calls

    def _dispatch(self, call: Call, now: float) -> None:
        program = call.run.program
        if program.record.end_s is not None:
            return
        entry = self._owner(program)
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
            entry = self._owner(call.run.program)
            entry.answered(attempt, endpoint, None)
            entry.take_report(endpoint, now)
            self._refused(call, error, now)

    def _unreachable(self, attempt: Attempt, endpoint: Endpoint, now: float) -> None:
        entry = self._owner(attempt.call.run.program)
        entry.answered(attempt, endpoint, None)
        if not endpoint.alive:
            entry.views[endpoint.name].state = EndpointState.EJECTED
        self._failed(attempt.call, endpoint.name, now)

    def _ended(self, attempt: Attempt, outcome: str, now: float) -> None:
        call = attempt.call
        endpoint = self._endpoints[call.run.program.home[call.agent]]
        entry = self._owner(call.run.program)
        delay_s = entry.distances.to(endpoint.data_centre)
        self._at(now + delay_s, self._answered, attempt, endpoint, outcome)

    def _answered(self, attempt: Attempt, endpoint: Endpoint, outcome: str, now: float) -> None:
        call, program = attempt.call, attempt.call.run.program
        entry = self._owner(program)
        service_s = now - attempt.started_s if outcome == "done" else None
        entry.answered(attempt, endpoint, service_s)
        if program.record.end_s is not None:
            return
        if outcome == "expired":
            self._fail_program(program, now)
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
        self._advance(call.run, call.step, now)

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
        entry = self._owner(call.run.program)
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
            self._fail_program(call.run.program, now)
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
