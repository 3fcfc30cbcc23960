"""Checks of the promises P1 to P10 on what callers and endpoints observed in one run."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from jayvalve.internal.measure.faults.callers import ORGANISATION, Submission
from jayvalve.internal.measure.faults.endpoints import EndpointRun, answer_text
from jayvalve.internal.measure.faults.programs import ProgramCaller
from jayvalve.internal.measure.faults.world import World
from jayvalve.internal.registry import Registry

__all__ = ["CHECKS", "Finding", "check_world"]

LEAVING_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 7.0
# Three processes that end within this time may hold all copies of a program.
REPLICATION_S = 10.0
MAX_LOSSES = 3
DRAIN_LIMIT_S = 20.0


@attrs.frozen
class Finding:
    """Result of one check of one run: how much was checked, and what was violated."""

    checks: int
    violations: tuple[str, ...]


Check = Callable[[World], Iterator[str | None]]
# Each check yields None for a case that holds and a text for one that does not.
CHECKS: Registry[Check] = Registry("promise")


def check_world(world: World) -> dict[str, Finding]:
    """Return the finding of each promise."""
    found = {}
    for name in CHECKS.names:
        results = list(CHECKS.get(name)(world))
        found[name] = Finding(len(results), tuple(text for text in results if text is not None))
    return found


def _model_runs(world: World) -> list[EndpointRun]:
    return [run for run in world.runs if run.messages]


def _by_agent(world: World) -> dict[str, list[EndpointRun]]:
    """Return the runs of each agent of a named program, in order of their start."""
    agents: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in _model_runs(world):
        agent, separator, number = run.tag.rpartition("-")
        if separator and number.isdigit() and not agent.startswith("flood"):
            agents[agent].append(run)
    return agents


def _number(run: EndpointRun) -> int:
    return int(run.tag.rpartition("-")[2])


def _planned_only(world: World) -> bool:
    return world.schedule.planned


@CHECKS.register("P1")
def check_order(world: World) -> Iterator[str | None]:
    """Check that no call of a program starts before the one before it is over."""
    for agent, runs in _by_agent(world).items():
        for earlier, later in itertools.pairwise(runs):
            if _number(later) < _number(earlier):
                yield f"{agent}: {later.tag} ran at {later.started_s:.3f} after {earlier.tag}"
            elif _number(later) > _number(earlier):
                same = [run for run in runs if run.tag == earlier.tag]
                over = any(
                    run.finished_s is not None and run.finished_s <= later.started_s for run in same
                )
                # A turn of which no run was finished may have ended with an error.
                ended = over or all(run.finished_s is None for run in same)
                yield None if ended else f"{agent}: {later.tag} ran while {earlier.tag} was running"
            else:
                yield None


@CHECKS.register("P2")
def check_history(world: World) -> Iterator[str | None]:
    """Check that each prompt and final history holds exactly the acknowledged turns."""
    if _lost_all_copies(world):
        return
    for program in world.programs:
        yield from _check_prompts(world, program)
        name = program.plan.name
        if program.lost and program.acknowledged:
            yield f"{name} is not known any more"
        yield from _check_known(world, program)
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


def _check_known(world: World, program: ProgramCaller) -> Iterator[str | None]:
    """Check that no entry denies a program that has acknowledged turns."""
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
                f"{item.tag} was told at {item.ended_s:.3f} by {item.entry} that {name} is unknown"
            )
        )


def _check_prompts(world: World, program: ProgramCaller) -> Iterator[str | None]:
    for agent, runs in _by_agent(world).items():
        if agent.split(".")[0] != program.plan.name:
            continue
        for run in runs:
            expected = program.history(agent, _number(run))
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
    span = MAX_LOSSES - 1
    return any(late - early < REPLICATION_S for early, late in zip(ends, ends[span:], strict=False))


@CHECKS.register("P3")
def check_budget(world: World) -> Iterator[str | None]:
    """Check what the engines served to each program against its budget."""
    for program in world.programs:
        if program.plan.budget is None:
            continue
        name, (tokens, calls) = program.plan.name, program.plan.budget
        runs = [run for run in world.runs if _root(run) == name]
        used = sum(run.tokens for run in runs)
        if used > tokens or len(runs) > calls:
            yield f"{name} used {used} of {tokens} tokens and {len(runs)} of {calls} calls"
        else:
            yield None


def _root(run: EndpointRun) -> str:
    return run.program.removeprefix(f"{ORGANISATION}/").split(".")[0]


@CHECKS.register("P4")
def check_memory(world: World) -> Iterator[str | None]:
    """Check that engines hold no memory of programs that were ended."""
    ended = {program.plan.name for program in world.programs if program.ended_s is not None}
    for endpoint, held in world.engine_memory.items():
        for name in held:
            root = name.removeprefix(f"{ORGANISATION}/").split(".")[0]
            if root in ended:
                yield f"{endpoint} holds memory of ended program {name}"
    yield from (None for _ in ended)


@CHECKS.register("P5")
def check_answers(world: World) -> Iterator[str | None]:
    """Check that each answer is whole and belongs to its request."""
    texts: dict[str, set[str]] = defaultdict(set)
    for run in _model_runs(world):
        texts[run.tag].add(answer_text(run.messages))
    told: dict[str, set[str]] = defaultdict(set)
    for item in world.callers.submissions:
        if item.outcome != "answer" or item.kind == "control":
            continue
        if item.kind == "change":
            right = item.body == b'{"done": "%s"}' % item.tag.encode()
        else:
            right = item.text in texts[item.tag]
            told[item.tag].add(item.text)
        yield None if right else f"{item.tag} got {item.body[:80]!r} from {item.entry}"
    for tag, answers in told.items():
        if len(answers) > 1:
            yield f"{tag} got {len(answers)} different answers"


@CHECKS.register("P6")
def check_not_run(world: World) -> Iterator[str | None]:
    """Check that nothing ran of a request that was reported as not run.

    Where a request was sent several times, a run may belong to any sending that ended in
    another way or was under way, so only requests all of whose sendings were reported as not
    run are checked.
    """
    runs: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in world.runs:
        runs[run.tag].append(run)
    requests: dict[str, list[Submission]] = defaultdict(list)
    for item in world.callers.submissions:
        if item.kind != "control":
            requests[item.tag].append(item)
    for tag, items in requests.items():
        for item in items:
            if item.outcome != "error" or item.verdict != "not_run":
                continue
            ended_s = item.ended_s or 0.0
            before = [other for other in items if other.started_s <= ended_s]
            if any(not _surely_not_run(other, ended_s) for other in before):
                continue
            later = [other.started_s for other in items if other.started_s > ended_s]
            limit_s = min(later, default=float("inf"))
            ran = [run for run in runs[tag] if run.started_s < limit_s]
            yield (
                None
                if not ran
                else (
                    f"{tag} was reported as not run ({item.code}) at {ended_s:.3f} and ran at "
                    f"{ran[0].started_s:.3f}"
                )
            )


def _surely_not_run(item: Submission, at_s: float) -> bool:
    if item.outcome == "refused":
        return True
    ended = item.ended_s is not None and item.ended_s <= at_s
    return ended and item.outcome == "error" and item.verdict == "not_run"


@CHECKS.register("P7")
def check_once(world: World) -> Iterator[str | None]:
    """Check that services ran each change key at most once."""
    by_key: dict[str, list[EndpointRun]] = defaultdict(list)
    for run in world.runs:
        if run.key:
            by_key[run.key].append(run)
    for key, runs in by_key.items():
        places = ", ".join(f"{run.endpoint} {run.started_s:.3f}" for run in runs)
        yield None if len(runs) == 1 else f"{key} ran {len(runs)} times: {places}"


@CHECKS.register("P8")
def check_leaving(world: World) -> Iterator[str | None]:
    """Check that a leaving endpoint starts no request that reached it after the bound."""
    for process in world.processes:
        if process.drain_started_s is None or process.site.role != "sidecar":
            continue
        limit_s = process.drain_started_s + LEAVING_BOUND_S
        late = [run for run in world.runs if run.host is process.host and run.started_s > limit_s]
        yield (
            None
            if not late
            else (
                f"{process.site.endpoint} got {late[0].tag} "
                f"{late[0].started_s - process.drain_started_s:.3f} s after its stop began"
            )
        )


@CHECKS.register("P9")
def check_drain(world: World) -> Iterator[str | None]:
    """Check that planned stops cut no request in progress."""
    for process in world.processes:
        started_s, stop_s = process.drain_started_s, process.stop_started_s
        if started_s is None or stop_s is None or stop_s - started_s >= DRAIN_LIMIT_S:
            continue
        cut = [
            run
            for run in world.runs
            if run.host is process.host and run.cut_s is not None and run.cut_s >= stop_s
        ]
        yield None if not cut else f"{process.site.instance} cut {cut[0].tag} when it stopped"
    if _planned_only(world):
        for item in world.callers.submissions:
            whole = item.outcome in ("answer", "refused") or item.verdict in ("not_run", "ran")
            yield (
                None
                if whole
                else (
                    f"{item.tag} ended as {item.outcome} {item.code} {item.verdict} at "
                    f"{item.ended_s:.3f} although processes only stopped as planned"
                )
            )


@CHECKS.register("P10")
def check_configuration(world: World) -> Iterator[str | None]:
    """Check that versions never go down, are the same everywhere and arrive in time."""
    highest: dict[Any, int] = {}
    digests: dict[int, str] = {}
    for item in world.operators.accepted:
        first = digests.setdefault(item.version, item.digest)
        yield None if first == item.digest else f"version {item.version} was accepted twice"
    for sample in world.operators.samples:
        name = sample.process.site.instance
        before = highest.get(sample.process, 0)
        highest[sample.process] = sample.version
        if sample.version < before:
            yield f"{name} went from version {before} to {sample.version}"
        elif sample.version and digests.setdefault(sample.version, sample.digest) != sample.digest:
            yield f"{name} has another document as version {sample.version}"
        else:
            yield None
        due = max(
            (
                item.version
                for item in world.operators.accepted
                if item.accepted_s + CONFIGURATION_BOUND_S <= sample.time_s
            ),
            default=0,
        )
        if sample.version < due and _was_quiet(world, sample):
            yield f"{name} has version {sample.version} at {sample.time_s:.1f} s, {due} was due"


def _was_quiet(world: World, sample: Any) -> bool:
    """Return whether links, log and the process worked during the bound before a sample."""
    start_s = sample.time_s - CONFIGURATION_BOUND_S
    if sample.process.started_s > start_s:
        return False
    name = sample.process.site.instance
    return not any(
        item.start_s < sample.time_s
        and item.end_s > start_s
        and (item.kind == "log" or not item.hosts or name in item.hosts)
        for item in world.disturbances
    )
