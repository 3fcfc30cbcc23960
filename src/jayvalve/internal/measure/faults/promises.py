"""Registry of promise checks, and the result of a check."""

from collections.abc import Callable, Iterator

import attrs

from jayvalve.internal.measure.faults.endpoints import EndpointRun
from jayvalve.internal.measure.faults.world import World
from jayvalve.internal.registry import Registry

__all__ = ["CHECKS", "Check", "Finding", "model_runs"]


@attrs.frozen
class Finding:
    """Result of one check of one run: the number of checked cases and the violations."""

    checks: int
    violations: tuple[str, ...]


# A check yields None for each case that holds and a description for each violation.
Check = Callable[[World], Iterator[str | None]]
CHECKS: Registry[Check] = Registry("promise")


def model_runs(world: World) -> list[EndpointRun]:
    """Return the runs at model engines."""
    return [run for run in world.runs if run.messages]
