"""Execution of programs in virtual time: agents, tool pauses and sub-agents."""

from collections.abc import Callable, Mapping, Sequence

import attrs

from jayvalve.internal.measure.candidates import Candidate
from jayvalve.internal.measure.endpoint import Endpoint
from jayvalve.internal.measure.entry import Entry
from jayvalve.internal.measure.records import ProgramRecord, Records
from jayvalve.internal.measure.workloads import Agent, Program, Step
from jayvalve.internal.scheduling import Rank

__all__ = ["AgentRun", "Call", "ProgramRun", "ProgramRuns"]

DEADLINE_S = {Rank.URGENT: 30.0, Rank.ORDINARY: 120.0}
# How long a caller retries the start of a program that is refused.
START_TIMEOUT_S = {Rank.URGENT: 60.0, Rank.ORDINARY: 60.0}
# Tool name under which the wait for sub-agents is recorded as a pause.
JOIN = "join"


@attrs.define(eq=False)
class AgentRun:
    """Progress of one agent."""

    name: str
    agent: Agent
    program_run: "ProgramRun"
    parent: "AgentRun | None" = None
    index: int = 0
    history_tokens: int = 0
    running_children: int = 0
    child_count: int = 0
    next_use_s: float = float("inf")
    join_started_s: float = 0.0


@attrs.define(eq=False)
class ProgramRun:
    """Progress of one program and the entry that owns it.

    Attributes:
        visited_endpoints: Endpoints that may hold memory of the program.
        endpoint_by_agent: Endpoint at which each agent's last dispatch arrived.

    """

    program: Program
    record: ProgramRecord
    entry: Entry
    visited_endpoints: set[str] = attrs.field(factory=set)
    agents: list[AgentRun] = attrs.field(factory=list)
    endpoint_by_agent: dict[str, str] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Call:
    """One model call of an agent."""

    run: AgentRun
    step: Step
    issued_s: float
    deadline_s: float
    attempts: int = 0
    resubmissions: int = 0
    excluded: frozenset[str] = frozenset()

    @property
    def agent(self) -> str:
        """Name of the agent, which is the key of its prefix."""
        return self.run.name

    @property
    def prefix_tokens(self) -> int:
        """Length of the history before this call, in tokens."""
        return self.run.history_tokens

    @property
    def new_tokens(self) -> int:
        """Prompt tokens that the call adds."""
        return self.step.new_tokens

    @property
    def output_tokens(self) -> int:
        """Tokens that the call generates."""
        return self.step.output_tokens

    @property
    def rank(self) -> Rank:
        """Rank of the program."""
        return self.run.program_run.program.rank

    @property
    def starts_program(self) -> bool:
        """Whether this is the first call of the program."""
        return self.run.parent is None and self.run.index == 0

    @property
    def straggler(self) -> bool:
        """Whether the agent is the last one running of several sub-agents that a join waits for."""
        parent = self.run.parent
        return parent is not None and parent.child_count > 1 and parent.running_children == 1


class ProgramRuns:
    """Advances the agents of all programs from one call to the next.

    Args:
        candidate: Policies, here those on engine memory.
        entries: Entries in the order of ``Deployment.data_centres``.
        endpoints: Endpoints by name.
        records: Records of the run, to which the outcomes are added.
        schedule: Schedules an event; called with a time, a function and its arguments. The
            function also receives the time, as its last argument.
        dispatch: Called with each call that an agent issues.

    """

    def __init__(
        self,
        candidate: Candidate,
        entries: Sequence[Entry],
        endpoints: Mapping[str, Endpoint],
        records: Records,
        schedule: Callable[..., None],
        dispatch: Callable[[Call, float], None],
    ) -> None:
        self._candidate = candidate
        self._entries = entries
        self._endpoints = endpoints
        self._records = records
        self._schedule = schedule
        self._dispatch = dispatch
        self._agents: dict[str, AgentRun] = {}

    def next_use_s(self, agent: str) -> float:
        """Return the time of an agent's next call; infinite if unknown or the agent has ended."""
        run = self._agents.get(agent)
        return run.next_use_s if run is not None else float("inf")

    def start(self, program: Program, now: float) -> None:
        """Start a program at its arrival."""
        record = ProgramRecord(program.rank, program.arrival_s)
        self._records.programs.append(record)
        run = ProgramRun(program, record, self._entries[program.data_centre])
        self._start_agent(AgentRun(program.name, program.root, run), now)

    def _start_agent(self, run: AgentRun, now: float) -> None:
        run.program_run.agents.append(run)
        self._agents[run.name] = run
        self._issue(run, now)

    def _issue(self, run: AgentRun, now: float) -> None:
        if run.program_run.record.end_s is not None:
            return
        run.next_use_s = now
        rank = run.program_run.program.rank
        self._records.requests += 1
        call = Call(run, run.agent.steps[run.index], now, now + DEADLINE_S[rank])
        if call.starts_program:
            call.deadline_s = now + START_TIMEOUT_S[rank]
        self.owner(run.program_run).budget.record_request()
        self._dispatch(call, now)

    def owner(self, program_run: ProgramRun) -> Entry:
        """Return the entry that owns a program; replace an owner that has failed."""
        if not program_run.entry.alive:
            program_run.entry = next(entry for entry in self._entries if entry.alive)
        return program_run.entry

    def advance(self, run: AgentRun, step: Step, now: float) -> None:
        """Continue an agent after a call: start sub-agents, pause for a tool or end the agent."""
        run.index += 1
        if step.children:
            run.join_started_s = now
            self._apply_pause_policy(run, JOIN, now)
            run.child_count = run.running_children = len(step.children)
            run.next_use_s = float("inf")
            for number, child in enumerate(step.children):
                name = f"{run.name}.{run.index}.{number}"
                self._start_agent(AgentRun(name, child, run.program_run, run), now)
        elif run.index == len(run.agent.steps):
            self._end_agent(run, now)
        else:
            self._pause(run, step, now)

    def _pause(self, run: AgentRun, step: Step, now: float) -> None:
        run.next_use_s = now + step.pause_s
        self._apply_pause_policy(run, step.tool, now)
        self._schedule(run.next_use_s, self._resume, run, step)

    def _apply_pause_policy(self, run: AgentRun, tool: str, now: float) -> None:
        endpoint = self._endpoints[run.program_run.endpoint_by_agent[run.name]]
        if self._candidate.manages_memory and not self._candidate.oracle and endpoint.alive:
            endpoint.pause(run.name, tool, self.owner(run.program_run).pauses, now)

    def _resume(self, run: AgentRun, step: Step, now: float) -> None:
        self.owner(run.program_run).pauses.observe(step.tool, step.pause_s)
        self._issue(run, now)

    def _end_agent(self, run: AgentRun, now: float) -> None:
        self._release(run)
        parent = run.parent
        if parent is None:
            run.program_run.record.complete(now)
            self.owner(run.program_run).attained.end(run.program_run.program.name)
            return
        parent.running_children -= 1
        if parent.running_children:
            return
        if parent.index == len(parent.agent.steps):
            self._end_agent(parent, now)
        else:
            self.owner(run.program_run).pauses.observe(JOIN, now - parent.join_started_s)
            self._issue(parent, now)

    def _release(self, run: AgentRun) -> None:
        run.next_use_s = float("inf")
        self._agents.pop(run.name, None)
        if self._candidate.manages_memory:
            for name in sorted(run.program_run.visited_endpoints):
                self._endpoints[name].release(run.name)

    def fail(self, program_run: ProgramRun, now: float) -> None:
        """Record that a program failed and release its memory.

        A program fails if its caller gives up or if a call expires in an endpoint's queue.
        """
        if program_run.record.end_s is None:
            program_run.record.fail(now)
            for run in program_run.agents:
                self._release(run)
