"""Runs experiments over several seeds and reports their medians."""

import os
import statistics
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs
from rich.console import Console
from tqdm import tqdm

from jayvalve.internal.measure.expectations import Expectation, Figures
from jayvalve.internal.measure.experiments import WORKLOADS, Timing, experiments
from jayvalve.internal.measure.report import plot_rows, print_tables, write_json
from jayvalve.internal.measure.scenarios import Row, Scenario, run_scenario

__all__ = ["ALL", "Outcome", "experiment_names", "run_experiment"]

ALL = "all"
SEEDS = 3
MAX_WORKERS = 8
PLOT_METRICS = ("latency_p95", "goodput")


@attrs.frozen
class Outcome:
    """Rows and expectations of one experiment, or of all experiments."""

    name: str
    seed: int
    rows: list[Row]
    expectations: list[Expectation]


def experiment_names() -> list[str]:
    """Return the names that run_experiment accepts."""
    return [*experiments.names, ALL]


def run_experiment(
    name: str,
    seed: int,
    output: str | Path | None,
    plot: str | Path | None = None,
    quick: bool = False,
) -> Outcome:
    """Run an experiment, or all of them, and print the tables.

    Args:
        name: One of ``experiment_names``.
        seed: First of three consecutive seeds; a quick run uses only this one.
        output: File for the JSON document, or None to write no file.
        plot: File for a bar chart, or None to write no file.
        quick: Run short scenarios, whose figures only show that the experiment works.

    """
    names = experiments.names if name == ALL else [name]
    outcomes = [_run_one(each, seed, quick) for each in names]
    rows = [row for outcome in outcomes for row in outcome.rows]
    expectations = [e for outcome in outcomes for e in outcome.expectations]
    if output is not None:
        write_json(output, name, seed, rows, expectations)
    if plot is not None:
        plot_rows(plot, rows, PLOT_METRICS)
    return Outcome(name, seed, rows, expectations)


def _run_one(name: str, seed: int, quick: bool) -> Outcome:
    experiment = experiments.get(name)
    timing = Timing.quick() if quick else Timing()
    scenarios = [
        scenario
        for number in range(1 if quick else SEEDS)
        for workload in WORKLOADS
        for scenario in experiment.scenarios(workload, seed + number, timing)
    ]
    rows = _medians(row for rows in _run_all(name, scenarios) for row in rows)
    figures = Figures(rows)
    expectations = [e for w in WORKLOADS for e in experiment.expectations(figures, w)]
    print_tables(Console(), name, rows, expectations)
    return Outcome(name, seed, rows, expectations)


def _run_all(name: str, scenarios: list[Scenario]) -> list[list[Row]]:
    workers = min(MAX_WORKERS, os.cpu_count() or 1, len(scenarios))
    with ProcessPoolExecutor(workers) as pool:
        results = pool.map(run_scenario, scenarios)
        return list(tqdm(results, total=len(scenarios), desc=name, unit="run"))


def _medians(rows: Iterable[Row]) -> list[Row]:
    groups: dict[tuple[str, ...], list[Row]] = defaultdict(list)
    for row in rows:
        groups[(row.policy, row.workload, row.rank, row.metric)].append(row)
    return [
        attrs.evolve(
            group[0],
            value=statistics.median(row.value for row in group),
            low=min(row.value for row in group),
            high=max(row.value for row in group),
        )
        for group in groups.values()
    ]
