"""Measures the cost of each unit of state, traffic and rate on real components."""

from typing import Any

__all__ = ["run_capacity"]


def run_capacity(seed: int, output: str, quick: bool = False) -> dict[str, Any]:
    """Run all benches, write their rows and fits as JSON to the file output and return both.

    With quick, small sizes show that the benches work, but the measured costs are not usable.
    """
    # Imported here since the member processes import this package too and must stay small.
    from jayvalve.internal.measure.capacity.run import run_benches

    return run_benches(seed, output, quick)
