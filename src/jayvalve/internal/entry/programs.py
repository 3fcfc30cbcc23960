"""Calls of the programs that this entry owns."""

import asyncio
import time
import weakref
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from jayvalve.errors import (
    DeadlineExceededError,
    InternalError,
    JayvalveError,
    ProgramEndedError,
    ProgramUnknownError,
)
from jayvalve.internal.configuration import BudgetRule
from jayvalve.internal.entry.call_body import request_digest
from jayvalve.internal.entry.call_stream import CallStream
from jayvalve.internal.entry.execution import CallExecution, ExecutionContext
from jayvalve.internal.entry.journal import Answer, EphemeralJournal, ProgramJournal
from jayvalve.internal.entry.request import BudgetLimits, CallRequest
from jayvalve.internal.hashing import digest
from jayvalve.internal.programs import (
    OwnedProgram,
    OwnershipTable,
    Program,
    ProgramId,
    Term,
    TurnCall,
    TurnSequence,
)
from jayvalve.internal.timing import Deadline
from jayvalve.internal.wire.messages import Chunk, Completed, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["ProgramCalls", "replay"]


@attrs.define(eq=False)
class _AgentCalls:
    sequence: TurnSequence
    streams: dict[str, CallStream] = attrs.field(factory=dict)


def replay(answer: Answer) -> list[Any]:
    """Return the parts of a stored answer."""
    parts: list[Any] = [ResponseHead(answer.status, answer.headers)]
    if answer.body:
        parts.append(Chunk(0, answer.body))
    parts.append(Completed(answer.status, str(answer.verdict), len(parts) - 1, digest(answer.body)))
    return parts


def budget_limits(requested: BudgetLimits, rule: BudgetRule) -> list[Any]:
    """Return the budget limits for the start record of a program.

    The limits are tokens, calls and the Unix time at which the program's wall time ends. Unlike
    tokens and calls, wall time passes for all sub-agents at the same time, so it is not deducted
    from a shared amount.
    """
    seconds = requested.seconds if requested.seconds is not None else rule.seconds
    return [
        requested.tokens if requested.tokens is not None else rule.tokens,
        requested.calls if requested.calls is not None else rule.calls,
        time.time() + seconds if seconds is not None else None,
    ]


class ProgramCalls:
    """Runs calls of programs in turn order and attaches repeated requests to running calls."""

    def __init__(
        self,
        table: OwnershipTable,
        context: ExecutionContext,
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
        budget_rule: Callable[[], BudgetRule],
    ) -> None:
        self._table = table
        self._context = context
        self._spawn = spawn
        self._budget_rule = budget_rule
        # This entry can drop a program and later own it again under the same identity. Calls are
        # therefore stored per OwnedProgram object and dropped with that object.
        self._agents: weakref.WeakKeyDictionary[OwnedProgram, dict[str, _AgentCalls]] = (
            weakref.WeakKeyDictionary()
        )
        self._last_used_s: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return sum(
            len(agent.streams) for agents in self._agents.values() for agent in agents.values()
        )

    def idle_programs(self, idle_s: float) -> list[ProgramId]:
        """Return the owned programs that have had no call for idle_s seconds."""
        now = self._context.clock.now()
        idle = []
        for key in self._table.programs:
            last_used_s = self._last_used_s.setdefault(key, now)
            if now - last_used_s >= idle_s and self.is_idle(ProgramId.from_key(key)):
                idle.append(ProgramId.from_key(key))
        return idle

    def is_idle(self, identity: ProgramId) -> bool:
        """Return whether no call of the program or its sub-agents runs or waits."""
        owned = self._table.get(identity)
        if owned is None:
            return True
        return all(not agent.streams for agent in self._agents.get(owned, {}).values())

    def limits_of(self, call: CallRequest) -> list[Any]:
        """Return the budget limits of a program that starts with this call."""
        return self.limits_from(call.budget)

    def limits_from(self, requested: BudgetLimits) -> list[Any]:
        """Return the budget limits of a program, with defaults for those not requested."""
        return budget_limits(requested, self._budget_rule())

    def run_single(self, call: CallRequest) -> CallStream:
        """Start a call without a program and return its stream."""
        stream = CallStream(self._context.observer.begin(call, None, False))
        deadline = Deadline.after(self._context.clock, call.deadline_s)
        execution = CallExecution(
            self._context, call, 1, EphemeralJournal(), Term(0), stream, deadline
        )
        self._spawn(self._run_single_call(execution, stream))
        return stream

    def lacks_predecessor(self, owned: OwnedProgram, call: CallRequest) -> bool:
        """Return whether the turn requested by a call is later than the next one."""
        agent = owned.program.agents.get(ProgramId.parse(call.organisation, call.program).name)
        last_turn = agent.last_turn if agent is not None else 0
        return call.turn is not None and call.turn > last_turn + 1

    async def run(self, owned: OwnedProgram, call: CallRequest) -> CallStream:
        """Start a call of an owned program and return its stream.

        A repeat of a running call gets the stream of that call.
        """
        program = owned.program
        identity = ProgramId.parse(call.organisation, call.program)
        if program.ended:
            raise ProgramEndedError(f"program {call.program} has ended")
        if identity.name not in program.agents:
            await self._start_agent(program, identity, call)
        self._last_used_s[identity.root.key] = self._context.clock.now()
        agent = self._agent(owned, identity)
        running = agent.streams.get(call.request_id)
        if running is not None:
            return running
        observation = self._context.observer.begin(
            call, identity.root.key, all(state.last_turn == 0 for state in program.agents.values())
        )
        stream = CallStream(observation)
        agent.streams[call.request_id] = stream
        self._spawn(self._run_turn(owned, identity, agent, call, stream))
        return stream

    def finish(self, owned: OwnedProgram) -> None:
        """End the observation of a program that has ended and drop its local state."""
        self._context.observer.end_program(owned.program.identity.key)
        self.forget(owned)

    def forget(self, owned: OwnedProgram) -> None:
        """Drop the local state of a program that has ended or that this entry no longer owns."""
        self._agents.pop(owned, None)
        self._last_used_s.pop(owned.program.identity.key, None)
        self._context.observer.timelines.forget(owned.program.identity.key)

    def _agent(self, owned: OwnedProgram, identity: ProgramId) -> _AgentCalls:
        agents = self._agents.setdefault(owned, {})
        if identity.name not in agents:
            state = owned.program.agent(identity.name)
            sequence = TurnSequence(self._context.clock, state.last_turn, stores_failures=False)
            for turn in state.turns.values():
                answer = Answer.decode(turn.status, turn.verdict, turn.answer)
                sequence.restore(turn.turn, turn.request_id, turn.digest, answer)
            agents[identity.name] = _AgentCalls(sequence)
        return agents[identity.name]

    async def _start_agent(self, program: Program, identity: ProgramId, call: CallRequest) -> None:
        parent = identity.parent
        if parent is None or parent.name not in program.agents:
            raise ProgramUnknownError(f"the parent of program {identity.name} is not known")
        limits = budget_limits(call.budget, BudgetRule())
        await self._table.append(identity, program.child_record(identity.name, limits))

    def _deadline(self, program: Program, identity: ProgramId, call: CallRequest) -> Deadline:
        remaining_s = call.deadline_s
        level: ProgramId | None = identity
        while level is not None:
            ends_at = program.agent(level.name).budget.limits[2]
            if ends_at is not None:
                remaining_s = min(remaining_s, ends_at - time.time())
            level = level.parent
        if remaining_s <= 0:
            raise DeadlineExceededError(
                "the program's budget of seconds is exhausted", verdict=Verdict.NOT_RUN
            )
        return Deadline.after(self._context.clock, remaining_s)

    async def _run_turn(
        self,
        owned: OwnedProgram,
        identity: ProgramId,
        agent: _AgentCalls,
        call: CallRequest,
        stream: CallStream,
    ) -> None:
        try:
            deadline = self._deadline(owned.program, identity, call)

            async def execute(turn: int) -> Answer:
                journal = ProgramJournal(self._table, owned.program, identity)
                term = owned.writer.term
                execution = CallExecution(
                    self._context, call, turn, journal, term, stream, deadline
                )
                return await execution.run()

            turn_call = TurnCall(call.request_id, request_digest(call), deadline, call.turn)
            answer = await agent.sequence.run(turn_call, execute)
            if not stream.ended:
                for part in replay(answer):
                    stream.send(part)
        except JayvalveError as error:
            stream.fail(error)
        except Exception as error:
            stream.fail(InternalError(f"unexpected {type(error).__name__} while running the call"))
            raise
        finally:
            agent.streams.pop(call.request_id, None)
            self._last_used_s[identity.root.key] = self._context.clock.now()

    async def _run_single_call(self, execution: CallExecution, stream: CallStream) -> None:
        try:
            await execution.run()
        except JayvalveError as error:
            stream.fail(error)
        except Exception as error:
            stream.fail(InternalError(f"unexpected {type(error).__name__} while running the call"))
            raise


async def wait_until_idle(calls: ProgramCalls, timeout_s: float, interval_s: float = 0.05) -> bool:
    """Wait until no call is in progress; return False after the timeout."""
    for _ in range(int(timeout_s / interval_s)):
        if not calls.running:
            return True
        await asyncio.sleep(interval_s)
    return not calls.running
