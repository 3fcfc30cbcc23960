"""Checks of the promises P1 to P10 against the observations of one run."""

from jayvalve.internal.measure.faults import platform_checks, program_checks, request_checks
from jayvalve.internal.measure.faults.promises import CHECKS, Finding
from jayvalve.internal.measure.faults.world import World

__all__ = ["CHECKS", "MODULES", "Finding", "check_world"]

# Importing these modules registers their checks.
MODULES = (program_checks, request_checks, platform_checks)


def check_world(world: World) -> dict[str, Finding]:
    """Return the finding of each promise."""
    found = {}
    for name in CHECKS.names:
        results = list(CHECKS.get(name)(world))
        found[name] = Finding(len(results), tuple(text for text in results if text is not None))
    return found
