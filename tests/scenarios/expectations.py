"""Expectations of scenarios, and the check of all changes at the end of a scenario."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpclient import HTTPError

from jayvalve.standins.answers import answer_tokens
from tests.scenarios.caller import Request, fetch_json
from tests.scenarios.world import World

__all__ = ["EXPECTATIONS", "check_changes"]

POLL_INTERVAL_S = 0.1
QUERY_TIMEOUT_S = 15.0
# Longer than the delay of the services in any scenario, so that a duplicate run has ended.
SETTLE_DELAY_S = 2.0

EXPECTATIONS: dict[str, Callable[..., Awaitable[None]]] = {}


def _expectation(function: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
    EXPECTATIONS[function.__name__] = function
    return function


@_expectation
async def expect_runs(world: World, key: str, count: int) -> None:
    """Check the number of runs of a key."""
    runs = await world.runs(key)
    assert runs == count, f"{key} ran {runs} times, expected {count}"


@_expectation
async def expect_runs_at(world: World, endpoint: str, count: int) -> None:
    """Check the number of changes at an endpoint, given by its name or its sidecar's."""
    name = world.resolve(endpoint).removeprefix("sidecar-")
    runs = await world.runs(endpoint=name)
    assert runs == count, f"{name} ran {runs} changes, expected {count}"


@_expectation
async def expect_history(world: World, program: str, *says: str) -> None:
    """Check that a history has these questions, each with the answer to the messages before it.

    The stand-in's answer depends on all messages before it, so a lost, repeated, reordered
    or foreign message changes every later answer.
    """
    turns = world.turns[program]
    assert [turns[number].says for number in sorted(turns)] == list(says), turns
    expected: list[dict[str, Any]] = []
    for number in sorted(turns):
        turn = turns[number]
        expected.append({"role": "user", "content": turn.says})
        text = " ".join(answer_tokens(expected, turn.max_tokens))
        assert turn.text in (text, text + " "), f"{program} {number}: {turn.text!r}, not {text!r}"
        expected.append({"role": "assistant", "content": turn.text})
    entry = world.running_entries()[0]
    request = Request("GET", f"/v1/programs/{program}/history", {})
    reply = await world.caller.send_until(entry, request, (200,), QUERY_TIMEOUT_S, timeout_s=10.0)
    found = reply.document.get("messages")
    assert found == expected, f"history of {program} is {reply}, expected {expected}"


@_expectation
async def expect_version(world: World, version: int, seconds: float) -> None:
    """Check that every running process adopts a version within a time."""
    end_s = time.monotonic() + seconds
    behind = set(world.running())
    while behind:
        for name in sorted(behind):
            try:
                status = await world.deployment.status(name)
            except (OSError, HTTPError):
                # A process that was just started may not listen yet; ask it again later.
                continue
            found = status["configuration_version"]
            assert found <= version, (
                f"{name} has version {found}, newer than the expected version {version}"
            )
            if found == version:
                behind.discard(name)
        assert not behind or time.monotonic() < end_s, f"{sorted(behind)} lack version {version}"
        await asyncio.sleep(POLL_INTERVAL_S)


@_expectation
async def expect_freed(world: World, program: str, seconds: float) -> None:
    """Check that all engines release the memory of a program within a time."""
    end_s = time.monotonic() + seconds
    while tokens := await world.count_memory_tokens(program):
        assert time.monotonic() < end_s, f"engines still hold {tokens} tokens of {program}"
        await asyncio.sleep(POLL_INTERVAL_S)


@_expectation
async def expect_held(world: World, program: str) -> None:
    """Check that an engine holds memory of a program, so that a later release is observable."""
    assert await world.count_memory_tokens(program), f"no engine holds memory of {program}"


@_expectation
async def expect_programs(world: World, entry: str, count: int, seconds: float) -> None:
    """Check that an entry owns a number of programs within a time."""
    url = f"{world.deployment.url(world.resolve(entry))}/status"
    end_s = time.monotonic() + seconds
    while (owned := (await fetch_json(url))["programs"]) != count:
        assert time.monotonic() < end_s, f"{entry} owns {owned} programs, expected {count}"
        await asyncio.sleep(POLL_INTERVAL_S)


@_expectation
async def expect_calls(world: World, program: str, count: int) -> None:
    """Check the number of calls that the owner has charged to the budget of a program."""
    agent = (await world.program(program))["agents"][program]
    assert agent["budget"]["used"]["calls"] == count, agent


@_expectation
async def expect_transcript(world: World, name: str) -> None:
    """Compare all requests and answers so far with a golden file."""
    difference = world.transcript.difference(name)
    assert not difference, f"the session differs from its golden file:\n{difference}"


async def check_changes(world: World) -> None:
    """Check that each change ran at most once and as its answers state.

    A change that was answered with status 201 must have run, and all its answers with status 201
    must have the same body. A change whose answers all have the verdict not_run must not have run.
    """
    if not world.changes:
        return
    await asyncio.sleep(SETTLE_DELAY_S)
    for key, exchanges in world.changes.items():
        runs = await world.runs(key)
        replies = [reply for _, reply in exchanges]
        assert runs <= 1, f"{key} ran {runs} times: {replies}"
        bodies = {reply.body for reply in replies if reply.status == 201}
        assert len(bodies) <= 1, f"{key} received different answers with status 201: {bodies}"
        if bodies:
            assert runs == 1, f"{key} was answered with status 201 but did not run: {replies}"
        elif all(reply.verdict == "not_run" for reply in replies):
            assert runs == 0, f"{key} ran although every answer has the verdict not_run: {replies}"
