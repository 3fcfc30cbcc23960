"""Checks of order, history, budget and memory of programs (P1 to P4)."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from jayvalve.internal.measure.faults.callers import ORGANISATION
from jayvalve.internal.measure.faults.endpoints import EndpointRun
from jayvalve.internal.measure.faults.programs import ProgramCaller
from jayvalve.internal.measure.faults.promises import CHECKS, model_runs
from jayvalve.internal.measure.faults.world import World

__all__ = ["check_budget", "check_history", "check_memory", "check_order"]

# MAX_COPIES processes that end within this time may have held all copies of a program.
REPLICATION_WINDOW_S = 10.0
MAX_COPIES = 3


def _by_agent(world: World) -> dict[str, list[EndpointRun]]:
    """Return the runs of each agent of a named program, ordered by start time."""
    agents: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in model_runs(world):
        agent, separator, number = run.tag.rpartition("-")
        if separator and number.isdigit() and not agent.startswith("flood"):
            agents[agent].append(run)
    return agents


def _turn_number(run: EndpointRun) -> int:
    return int(run.tag.rpartition("-")[2])


@CHECKS.register("P1")
def check_order(world: World) -> Iterator[str | None]:
    """Check that no call of an agent starts before the previous one has ended."""
    for agent, runs in _by_agent(world).items():
        for earlier, later in itertools.pairwise(runs):
            if _turn_number(later) < _turn_number(earlier):
                yield f"{agent}: {later.tag} ran at {later.started_s:.3f} after {earlier.tag}"
            elif _turn_number(later) > _turn_number(earlier):
                same = [run for run in runs if run.tag == earlier.tag]
                has_finished = any(
                    run.finished_s is not None and run.finished_s <= later.started_s for run in same
                )
                # A turn without a finished run may have ended with an error.
                ended = has_finished or all(run.finished_s is None for run in same)
                yield None if ended else f"{agent}: {later.tag} ran while {earlier.tag} was running"
            else:
                yield None


@CHECKS.register("P2")
def check_history(world: World) -> Iterator[str | None]:
    """Check that each prompt and final history contains exactly the acknowledged turns.

    The check is skipped if all copies of a program may have been lost, see _lost_all_copies.
    """
    if _lost_all_copies(world):
        return
    for program in world.programs:
        yield from _check_prompts(world, program)
        name = program.plan.name
        if program.lost and program.acknowledged:
            yield f"{name} is no longer known"
        yield from _check_program_known(world, program)
        expected = program.history(name)
        if program.final_history is not None and expected is not None:
            same = program.final_history == expected
            yield (
                None
                if same
                else (
                    f"history of {name} has {len(program.final_history)} messages, "
                    f"{len(expected)} were acknowledged"
                )
            )


def _check_program_known(world: World, program: ProgramCaller) -> Iterator[str | None]:
    """Check that no entry reports a program with acknowledged turns as unknown."""
    name = program.plan.name
    answered = [
        item.ended_s
        for item in world.callers.submissions
        if item.program == name and item.outcome == "answer" and item.ended_s is not None
    ]
    for item in world.callers.submissions:
        if item.program != name or item.kind == "control" or not answered:
            continue
        denied = item.code == "program_unknown" and item.started_s > min(answered)
        yield (
            None
            if not denied
            else (
                f"{item.tag} got program_unknown for {name} from {item.entry} at {item.ended_s:.3f}"
            )
        )


def _check_prompts(world: World, program: ProgramCaller) -> Iterator[str | None]:
    for agent, runs in _by_agent(world).items():
        if agent.split(".")[0] != program.plan.name:
            continue
        for run in runs:
            expected = program.history(agent, _turn_number(run))
            if expected is None:
                continue
            same = run.messages[:-1] == expected
            yield (
                None
                if same
                else (
                    f"{run.tag} ran with {len(run.messages) - 1} messages of history at "
                    f"{run.started_s:.3f}, {len(expected)} were acknowledged"
                )
            )


def _lost_all_copies(world: World) -> bool:
    ends = sorted(item.ended_s for item in world.processes if item.ended_s is not None)
    offset = MAX_COPIES - 1
    return any(
        late - early < REPLICATION_WINDOW_S
        for early, late in zip(ends, ends[offset:], strict=False)
    )


@CHECKS.register("P3")
def check_budget(world: World) -> Iterator[str | None]:
    """Check that each program stays within its budget; runs at services count as calls."""
    for program in world.programs:
        if program.plan.budget is None:
            continue
        name, (tokens, calls) = program.plan.name, program.plan.budget
        runs = [run for run in world.runs if _program_name(run) == name]
        used = sum(run.tokens for run in runs)
        if used > tokens or len(runs) > calls:
            yield f"{name} used {used} of {tokens} tokens and {len(runs)} of {calls} calls"
        else:
            yield None


def _program_name(run: EndpointRun) -> str:
    return run.program.removeprefix(f"{ORGANISATION}/").split(".")[0]


@CHECKS.register("P4")
def check_memory(world: World) -> Iterator[str | None]:
    """Check that engines hold no memory of ended programs."""
    ended = {program.plan.name for program in world.programs if program.ended_s is not None}
    for endpoint, held in world.engine_memory.items():
        for name in held:
            root = name.removeprefix(f"{ORGANISATION}/").split(".")[0]
            if root in ended:
                yield f"{endpoint} holds memory of ended program {name}"
    yield from (None for _ in ended)
