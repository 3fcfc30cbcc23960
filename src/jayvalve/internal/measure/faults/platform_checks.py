"""Checks of draining endpoints, planned stops and configuration (P8 to P10)."""

from collections.abc import Iterator
from typing import Any

from jayvalve.internal.measure.faults.promises import CHECKS
from jayvalve.internal.measure.faults.world import World

__all__ = ["check_configuration", "check_drain", "check_draining_endpoint"]

DRAINING_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 7.0
DRAIN_TIMEOUT_S = 20.0


@CHECKS.register("P8")
def check_draining_endpoint(world: World) -> Iterator[str | None]:
    """Check that a draining endpoint starts no request after the bound."""
    for process in world.processes:
        if process.drain_started_s is None or process.site.role != "sidecar":
            continue
        limit_s = process.drain_started_s + DRAINING_BOUND_S
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
    """Check that planned stops abort no request in progress.

    Stops whose drain reached DRAIN_TIMEOUT_S are skipped. If a schedule has only planned stops,
    each submission must also end with an answer, a refusal, or the verdict not_run or ran.
    """
    for process in world.processes:
        started_s, stop_started_s = process.drain_started_s, process.stop_started_s
        if (
            started_s is None
            or stop_started_s is None
            or stop_started_s - started_s >= DRAIN_TIMEOUT_S
        ):
            continue
        aborted = [
            run
            for run in world.runs
            if run.host is process.host
            and run.aborted_s is not None
            and run.aborted_s >= stop_started_s
        ]
        yield (
            None
            if not aborted
            else f"{process.site.instance} aborted {aborted[0].tag} when it stopped"
        )
    if world.schedule.planned:
        for item in world.callers.submissions:
            is_conclusive = item.outcome in ("answer", "refused") or item.verdict in (
                "not_run",
                "ran",
            )
            yield (
                None
                if is_conclusive
                else (
                    f"{item.tag} ended as {item.outcome} {item.code} {item.verdict} at "
                    f"{item.ended_s:.3f} although all process stops were planned"
                )
            )


@CHECKS.register("P10")
def check_configuration(world: World) -> Iterator[str | None]:
    """Check that versions never decrease, are the same everywhere and arrive in time."""
    highest: dict[Any, int] = {}
    digests: dict[int, str] = {}
    for item in world.operators.accepted:
        first = digests.setdefault(item.version, item.digest)
        yield None if first == item.digest else f"version {item.version} was accepted twice"
    for sample in world.operators.samples:
        name = sample.process.site.instance
        previous = highest.get(sample.process, 0)
        highest[sample.process] = sample.version
        if sample.version < previous:
            yield f"{name} went from version {previous} to {sample.version}"
        elif sample.version and digests.setdefault(sample.version, sample.digest) != sample.digest:
            yield f"{name} has a different document for version {sample.version}"
        else:
            yield None
        due_version = max(
            (
                item.version
                for item in world.operators.accepted
                if item.accepted_s + CONFIGURATION_BOUND_S <= sample.time_s
            ),
            default=0,
        )
        if sample.version < due_version and _was_undisturbed(world, sample):
            yield (
                f"{name} has version {sample.version} at {sample.time_s:.1f} s, "
                f"{due_version} was due"
            )


def _was_undisturbed(world: World, sample: Any) -> bool:
    """Return whether log, process and links had no fault within the bound before a sample."""
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
