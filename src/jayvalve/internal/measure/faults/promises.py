"""Registry of the checks of promises, and what one check of one run found."""

from collections.abc import Callable, Iterator

import attrs

from jayvalve.internal.measure.faults.endpoints import EndpointRun
from jayvalve.internal.measure.faults.world import World
from jayvalve.internal.registry import Registry

__all__ = ["CHECKS", "Check", "Finding", "model_runs"]


@attrs.frozen
class Finding:
    """Result of one check of one run: how much was checked, and what was violated."""

    checks: int
    violations: tuple[str, ...]


Check = Callable[[World], Iterator[str | None]]
# Each check yields None for a case that holds and a text for one that does not.
CHECKS: Registry[Check] = Registry("promise")


def model_runs(world: World) -> list[EndpointRun]:
    """Return the runs at model engines."""
    return [run for run in world.runs if run.messages]
