"""Checks of leaving endpoints, planned stops and configuration (P8 to P10)."""

from collections.abc import Iterator
from typing import Any

from jayvalve.internal.measure.faults.promises import CHECKS
from jayvalve.internal.measure.faults.world import World

__all__ = ["check_configuration", "check_drain", "check_leaving"]

LEAVING_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 7.0
DRAIN_LIMIT_S = 20.0


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
    if world.schedule.planned:
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
