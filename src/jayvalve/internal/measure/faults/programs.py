"""Behaviour of callers: programs with turns and sub-agents, keyed changes and floods."""

import asyncio
import json
import random
from typing import Any

import attrs

from jayvalve.internal.measure.faults.callers import (
    ORGANISATION,
    Callers,
    Submission,
    model_request,
    service_request,
)
from jayvalve.internal.wire.messages import Forward

__all__ = ["ChangeCaller", "ProgramCaller", "ProgramPlan", "flood"]

MAX_TRIES = 9
# After one of these codes, the same request can never get an answer.
FINAL_CODES = frozenset(
    {
        "budget_exceeded",
        "invalid_request",
        "invalid_header",
        "key_reused",
        "key_expired",
        "may_have_run",
        "program_ended",
        "program_unknown",
    }
)


@attrs.frozen
class ProgramPlan:
    """Plan of one program.

    Attributes:
        append: Whether turns send only new messages instead of the full history.
        reordered: Whether pairs of turns after the first are sent in reverse order; needs append.
        duplicate_probability: Probability that a request is sent twice at the same time.
        budget: Limits in tokens and calls, or None.
        child_turns: Number of turns of a sub-agent that runs concurrently with the later turns.
        change: Whether the program sends a keyed change after its turns.
        pause_s: Maximum pause between turns, in seconds.
        ends: Whether the caller ends the program after its turns.
    """

    name: str
    turns: int
    append: bool
    reordered: bool
    stream: bool
    duplicate_probability: float
    budget: tuple[int, int] | None
    child_turns: int
    change: bool
    pause_s: float
    deadline_s: float
    ends: bool
    urgent: bool = False


@attrs.define(eq=False)
class ProgramCaller:
    """Run one program and record its acknowledged turns.

    Attributes:
        acknowledged: Message and answer of each acknowledged turn, by agent and turn number.
        uncertain: Agents that gave up on a turn, so that their later history is unknown.
        lost: Whether a history request reported the program as unknown.
    """

    plan: ProgramPlan
    callers: Callers
    rng: random.Random
    acknowledged: dict[str, dict[int, list[Any]]] = attrs.field(factory=dict)
    uncertain: set[str] = attrs.field(factory=set)
    ended_s: float | None = None
    end_requested: bool = False
    done: bool = False
    final_history: list[Any] | None = None
    lost: bool = False

    def history(self, agent: str, before: int | None = None) -> list[Any] | None:
        """Return the messages of the turns numbered below before, or of all turns by default.

        Return None if one of them is unknown.
        """
        turns = self.acknowledged.get(agent, {})
        end = len(turns) + 1 if before is None else before
        if agent in self.uncertain and before is None:
            return None
        if any(number not in turns for number in range(1, end)):
            return None
        return [message for number in range(1, end) for message in turns[number]]

    async def run(self) -> None:
        """Run all turns, then the change and the end of the program if planned."""
        try:
            await self._run_turns()
        finally:
            self.done = True

    async def _run_turns(self) -> None:
        plan, name = self.plan, self.plan.name
        child: asyncio.Task[None] | None = None
        number = 1
        while number <= plan.turns and name not in self.uncertain:
            if plan.reordered and plan.append and number > 1 and number < plan.turns:
                later = asyncio.ensure_future(self._run_turn(name, number + 1))
                await asyncio.sleep(0.01 + self.rng.random() * 0.2)
                await self._run_turn(name, number)
                await later
                number += 2
            else:
                await self._run_turn(name, number)
                number += 1
            if child is None and plan.child_turns:
                child = asyncio.ensure_future(self._run_child())
            await asyncio.sleep(plan.pause_s * self.rng.random())
        if child is not None:
            await child
        if plan.change:
            change = ChangeCaller(self.callers, self.rng, f"{name}-key", name)
            await change.run()
        if plan.ends:
            await self.end()

    async def _run_child(self) -> None:
        agent = f"{self.plan.name}.sub"
        for number in range(1, self.plan.child_turns + 1):
            if agent in self.uncertain:
                return
            await self._run_turn(agent, number)

    async def end(self) -> None:
        """End the program, retrying until the end is confirmed or MAX_TRIES is reached."""
        self.end_requested = True
        path = f"/v1/programs/{self.plan.name}/end"
        for _ in range(MAX_TRIES):
            result = await self._submit_control("POST", path)
            if result.outcome == "answer" or result.code in ("program_ended", "program_unknown"):
                self.ended_s = result.ended_s
                return
            await asyncio.sleep(0.5 + self.rng.random())

    async def read_history(self) -> None:
        """Read the history of a program that has not been ended, retrying up to MAX_TRIES times."""
        for _ in range(MAX_TRIES):
            result = await self._submit_control("GET", f"/v1/programs/{self.plan.name}/history")
            if result.outcome == "answer":
                self.final_history = json.loads(result.body)["messages"]
                return
            if result.code == "program_unknown":
                self.lost = True
                return
            await asyncio.sleep(0.5)

    async def _submit_control(self, method: str, path: str) -> Submission:
        request = Forward(method, path, {}, b"", ORGANISATION, 0)
        return await self.callers.submit(
            request, Submission(path, self.plan.name, "control", "", 0.0)
        )

    async def _run_turn(self, agent: str, number: int) -> None:
        plan = self.plan
        request_id = f"{agent}-{number}"
        message = {"role": "user", "content": f"{request_id} turn {number} of {agent}"}
        sent = [message] if plan.append else [*(self.history(agent) or []), message]
        headers = {"History": "append" if plan.append else "full"}
        if plan.urgent:
            headers["Rank"] = "urgent"
        if plan.budget is not None and number == 1 and agent == plan.name:
            tokens, calls = plan.budget
            headers["Budget"] = f"tokens={tokens},calls={calls}"
        # Unless turns are reordered, turns after the first may let the owner assign the number.
        numbered = plan.reordered or number == 1 or has_even_byte_sum(request_id)
        request = model_request(
            agent,
            sent,
            request_id=request_id,
            turn=number if numbered else None,
            stream=plan.stream,
            deadline_s=plan.deadline_s,
            **headers,
        )
        result = await self._submit_until_answered(request, agent, request_id, number)
        if result is None:
            self.uncertain.add(agent)
            return
        answer = {"role": "assistant", "content": result.text}
        self.acknowledged.setdefault(agent, {})[number] = [message, answer]

    async def _submit_until_answered(
        self, request: Forward, agent: str, request_id: str, number: int
    ) -> Submission | None:
        for _ in range(MAX_TRIES):
            copies = 2 if self.rng.random() < self.plan.duplicate_probability else 1
            results = await asyncio.gather(
                *(
                    self.callers.submit(
                        request, Submission(request_id, agent, "model", "", 0.0, turn=number)
                    )
                    for _ in range(copies)
                )
            )
            answered = [result for result in results if result.outcome == "answer"]
            if answered:
                return answered[0]
            if any(result.code in FINAL_CODES for result in results):
                return None
            await asyncio.sleep(0.2 + self.rng.random())
        return None


def has_even_byte_sum(text: str) -> bool:
    """Return whether the text's byte sum is even: a choice that depends on the text alone."""
    return sum(text.encode()) % 2 == 0


@attrs.define(eq=False)
class ChangeCaller:
    """Send one keyed change, possibly several times and sometimes with a different body."""

    callers: Callers
    rng: random.Random
    key: str
    program: str = ""

    async def run(self) -> None:
        """Send the change in up to MAX_TRIES rounds, usually until it has a final answer."""
        for _ in range(MAX_TRIES):
            copies = 2 if self.rng.random() < 0.3 else 1
            results = await asyncio.gather(*(self._send(self.key) for _ in range(copies)))
            if self.rng.random() < 0.1:
                await self._send(f"{self.key}-other")
            final = any(
                result.outcome == "answer" or result.code in FINAL_CODES for result in results
            )
            # Sometimes retry after a final answer, like a caller that failed to store the answer.
            if final and self.rng.random() < 0.7:
                return
            await asyncio.sleep(0.1 + self.rng.random())

    async def _send(self, tag: str) -> Submission:
        request = service_request(
            tag, self.key, request_id=f"{tag}-request", program=self.program, deadline_s=6.0
        )
        submission = Submission(tag, self.program, "change", "", 0.0, key=self.key)
        return await self.callers.submit(request, submission)


async def flood(callers: Callers, rng: random.Random, name: str, count: int, rank: str) -> None:
    """Send many calls without a program at nearly the same time, each of them once."""

    async def call(number: int) -> None:
        tag = f"{name}-{number}"
        messages = [{"role": "user", "content": f"{tag} flood"}]
        request = model_request("", messages, request_id=tag, deadline_s=3.0, Rank=rank)
        await asyncio.sleep(rng.random() * 0.5)
        await callers.submit(request, Submission(tag, "", "model", "", 0.0))

    await asyncio.gather(*(call(number) for number in range(count)))
