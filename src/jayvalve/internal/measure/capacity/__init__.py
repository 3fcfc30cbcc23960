"""Capacity: what each unit of state, traffic and rate costs, measured on real components."""

from typing import Any

__all__ = ["run_capacity"]


def run_capacity(seed: int, output: str, quick: bool = False) -> dict[str, Any]:
    """Measure all slopes, write them as JSON to the file output and return them.

    quick uses small sizes, which show that the benches work but give no usable slopes.
    """
    # The member processes import this package too, and must stay light.
    from jayvalve.internal.measure.capacity.run import run_benches

    return run_benches(seed, output, quick)
