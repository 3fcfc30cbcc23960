"""Rows, linear fits and the registry of the state benches."""

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
import numpy
import psutil

from jayvalve.internal.registry import Registry

__all__ = ["STATE_BENCHES", "Fit", "Row", "StateBench", "Usage", "fit_rows", "state_bench", "usage"]

MIN_SIZES = 4


@attrs.frozen
class Row:
    """One measured value of a metric at one size."""

    metric: str
    size: float
    value: float
    unit: str


@attrs.frozen
class Fit:
    """Line through the rows of one metric; slope_error is the standard error of the slope."""

    metric: str
    unit: str
    slope: float
    slope_error: float
    intercept: float
    r_squared: float
    sizes: list[float]


@attrs.frozen
class StateBench:
    """A bench that runs in its own process for each size and returns the costs.

    The size is an amount of state, a number of operations or a rate per second.

    Attributes:
        run: Takes size and seed; returns value and unit by metric.
        sizes: Sizes of a full run.
        quick_sizes: Sizes of a quick run.

    """

    run: Callable[[int, int], dict[str, tuple[float, str]]]
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]


@attrs.define
class Usage:
    """CPU time and growth of the resident memory, set when the measured block ends."""

    cpu_s: float = 0.0
    memory_bytes: float = 0.0


STATE_BENCHES: Registry[StateBench] = Registry("capacity bench")


def state_bench(name: str, sizes: tuple[int, ...], quick_sizes: tuple[int, ...]) -> Any:
    """Return a decorator that registers a bench function with the parameters (size, seed)."""

    def add(run: Callable[[int, int], dict[str, tuple[float, str]]]) -> Any:
        STATE_BENCHES.register(name)(StateBench(run, sizes, quick_sizes))
        return run

    return add


@contextmanager
def usage() -> Iterator[Usage]:
    """Measure CPU time and memory growth of this process during the block."""
    process = psutil.Process()
    gc.collect()
    memory, started_s = process.memory_info().rss, time.process_time()
    measured = Usage()
    yield measured
    measured.cpu_s = time.process_time() - started_s
    gc.collect()
    measured.memory_bytes = process.memory_info().rss - memory


def fit_rows(rows: list[Row]) -> list[Fit]:
    """Return the least-squares line of each metric that has at least MIN_SIZES sizes."""
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row.metric, row.unit), []).append(row)
    return [
        _fit(metric, unit, group)
        for (metric, unit), group in groups.items()
        if len({row.size for row in group}) >= MIN_SIZES
    ]


def _fit(metric: str, unit: str, rows: list[Row]) -> Fit:
    sizes = numpy.array([row.size for row in rows], dtype=float)
    values = numpy.array([row.value for row in rows], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = values - (slope * sizes + intercept)
    residual_sum = float((residuals**2).sum())
    spread = float(((sizes - sizes.mean()) ** 2).sum())
    total = float(((values - values.mean()) ** 2).sum())
    error = (residual_sum / (len(rows) - 2) / spread) ** 0.5
    return Fit(
        metric,
        unit,
        float(slope),
        float(error),
        float(intercept),
        1 - residual_sum / total if total else 1.0,
        sizes.tolist(),
    )
