"""The command ``jayvalve measure``."""

import sys
from collections.abc import Callable
from typing import Any

import attrs

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.registry import Registry
from jayvalve.internal.validation import check_range, check_type

__all__ = ["MeasureOptions", "measure"]

EXIT_NOT_MET = 1
MAX_SCHEDULES = 1_000_000


@attrs.frozen
class MeasureOptions:
    """Options of one measurement; no file is written for an empty path."""

    seed: int
    output: str
    plot: str
    schedules: int
    variant: str
    quick: bool


measurements: Registry[Callable[[MeasureOptions], bool]] = Registry("measurement")


@measurements.register("faults")
def _measure_faults(options: MeasureOptions) -> bool:
    from jayvalve.internal.measure.faults import run_fault_search

    report: dict[str, Any] = run_fault_search(
        options.seed, options.schedules, options.output or None, options.variant or None
    )
    return not any(row["violations"] for row in report["rows"])


@measurements.register("capacity")
def _measure_capacity(options: MeasureOptions) -> bool:
    from jayvalve.internal.measure.capacity import run_capacity

    run_capacity(options.seed, _require_output(options), options.quick)
    return True


@measurements.register("overhead")
def _measure_overhead(options: MeasureOptions) -> bool:
    from jayvalve.internal.measure.overhead import run_overhead

    run_overhead(options.seed, _require_output(options))
    return True


@measurements.register("gateway")
def _measure_gateway(options: MeasureOptions) -> bool:
    from jayvalve.internal.measure.gateway import run_gateway

    run_gateway(options.seed, options.output or None, seeds=1 if options.quick else 5)
    return True


def _require_output(options: MeasureOptions) -> str:
    if not options.output:
        raise InvalidSettingsError("the measurements capacity and overhead need --output FILE")
    return options.output


def _run_experiment(name: str, options: MeasureOptions) -> bool:
    from jayvalve.internal.measure import experiment_names, run_experiment

    if name not in experiment_names():
        known = ", ".join(sorted([*experiment_names(), *measurements]))
        raise InvalidSettingsError(f"unknown experiment {name!r}; known experiments: {known}")
    outcome = run_experiment(
        name, options.seed, options.output or None, options.plot or None, options.quick
    )
    return all(expectation.met for expectation in outcome.expectations)


def measure(
    experiment: str,
    seed: int = 1,
    output: str = "",
    plot: str = "",
    schedules: int = 1000,
    variant: str = "",
    quick: bool = False,
) -> None:
    """Run an experiment and print its figures; exit code 1 if an expected figure is missed.

    Args:
        experiment: Name of an experiment, all, faults, capacity, gateway or overhead.
        seed: First seed; the same seed repeats the same schedules.
        output: JSON file for the rows.
        plot: PNG or SVG file for a plot of the experiment.
        schedules: Number of fault schedules.
        variant: Broken variant for the fault search to catch.
        quick: Use short runs, whose figures only show that the experiment works.
    """
    check_range(check_type(int, seed, "seed"), "seed", 0, 2**31)
    check_range(check_type(int, schedules, "schedules"), "schedules", 1, MAX_SCHEDULES)
    options = MeasureOptions(seed, str(output), str(plot), schedules, str(variant), quick)
    name = str(experiment)
    if name in measurements:
        met = measurements.get(name)(options)
    else:
        met = _run_experiment(name, options)
    if not met:
        sys.exit(EXIT_NOT_MET)
