"""Search over many fault schedules in worker processes, and its report."""

import json
import multiprocessing
import os
import pathlib
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import attrs
from loguru import logger
from rich.console import Console
from rich.table import Table
from tqdm import tqdm

from jayvalve.internal.measure.faults.checks import CHECKS, Finding, check_world
from jayvalve.internal.measure.faults.variants import VARIANTS
from jayvalve.internal.measure.faults.world import World, run_schedule

__all__ = [
    "PROMISES",
    "ScheduleResult",
    "replay",
    "replay_pairs",
    "run_fault_search",
    "run_variants",
]

PROMISES = tuple(sorted(CHECKS.names, key=lambda name: int(name[1:])))
MAX_WORKERS = 5
MAX_SEEDS_SHOWN = 5
# Maximum number of schedules tried to catch a broken variant.
MAX_VARIANT_SCHEDULES = 300


@attrs.frozen
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        findings: Finding of each promise, by name.
        digest: Checksum from World.trace_digest, equal for all runs of the same schedule.
        summary: Description of the schedule for a report.
        error: Unexpected exception of the run itself, or an empty string.
    """

    seed: int
    findings: dict[str, Finding]
    digest: str = ""
    summary: dict[str, Any] = attrs.field(factory=dict)
    error: str = ""


def _evaluate(world: World) -> ScheduleResult:
    return ScheduleResult(
        world.schedule.seed, check_world(world), world.trace_digest(), world.schedule.summary()
    )


def _run_task(task: tuple[int, str | None]) -> ScheduleResult:
    seed, variant = task
    patches = VARIANTS.get(variant).patches() if variant else []
    try:
        return run_schedule(seed, _evaluate, patches)
    except Exception as error:
        return ScheduleResult(seed, {}, error=f"{type(error).__name__}: {error}")


@contextmanager
def _fixed_hash_seed() -> Iterator[None]:
    # The order of sets of strings depends on the hash seed, which is fixed when a process starts.
    previous = os.environ.get("PYTHONHASHSEED")
    os.environ["PYTHONHASHSEED"] = "0"
    try:
        yield
    finally:
        if previous is None:
            del os.environ["PYTHONHASHSEED"]
        else:
            os.environ["PYTHONHASHSEED"] = previous


def replay(
    seeds: Iterable[int], variant: str | None = None, workers: int = MAX_WORKERS
) -> Iterator[ScheduleResult]:
    """Run schedules in worker processes and yield their results in the order of the seeds."""
    return replay_pairs([(seed, variant) for seed in seeds], workers)


def replay_pairs(
    pairs: Sequence[tuple[int, str | None]], workers: int = MAX_WORKERS
) -> Iterator[ScheduleResult]:
    """Run schedules, each with the real code or a broken variant, and yield results in order."""
    if not pairs:
        return
    count = max(1, min(workers, MAX_WORKERS, len(pairs)))
    with _fixed_hash_seed():
        pool = multiprocessing.get_context("spawn").Pool(count, initializer=_disable_logging)
    with pool:
        yield from pool.imap(_run_task, pairs)


def _disable_logging() -> None:
    # Under injected faults, processes log thousands of expected warnings.
    logger.remove()


def run_fault_search(
    seed: int,
    schedules: int,
    output: str | pathlib.Path | None,
    variant: str | None = None,
    progress: bool = True,
) -> dict[str, Any]:
    """Run schedules from seed to seed + schedules - 1, print a table and write the report.

    Args:
        seed: Seed of the first schedule; the seed reported with a violation reproduces it.
        schedules: Number of schedules.
        output: JSON file for the report, or None.
        variant: Name of a broken variant to run instead of the real code.
        progress: Whether to show a progress bar and the table.
    """
    results = []
    seeds = range(seed, seed + schedules)
    with tqdm(total=schedules, unit="schedule", disable=not progress) as bar:
        for result in replay(seeds, variant):
            results.append(result)
            bar.update()
    report = _report(seed, results, variant)
    if progress:
        _print_table(report)
    if output is not None:
        pathlib.Path(output).write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
    return report


def _report(seed: int, results: list[ScheduleResult], variant: str | None) -> dict[str, Any]:
    completed = [result for result in results if not result.error]
    rows = []
    for promise in PROMISES:
        findings = [(result.seed, result.findings[promise]) for result in completed]
        rows.append(
            {
                "promise": promise,
                "schedules": len(findings),
                "checks": sum(finding.checks for _, finding in findings),
                "violations": sum(len(finding.violations) for _, finding in findings),
                "seeds": [number for number, finding in findings if finding.violations],
            }
        )
    return {
        "experiment": "faults",
        "seed": seed,
        "variant": variant,
        "rows": rows,
        "errors": [{"seed": item.seed, "error": item.error} for item in results if item.error],
    }


def _print_table(report: dict[str, Any]) -> None:
    table = Table(title=f"Fault search from seed {report['seed']}")
    for column in ("promise", "schedules", "checks", "violations", "seeds"):
        table.add_column(column, justify="left" if column in ("promise", "seeds") else "right")
    for row in report["rows"]:
        seeds = row["seeds"]
        shown = ", ".join(map(str, seeds[:MAX_SEEDS_SHOWN]))
        omitted = (
            f" and {len(seeds) - MAX_SEEDS_SHOWN} more" if len(seeds) > MAX_SEEDS_SHOWN else ""
        )
        style = "red" if row["violations"] else None
        values = [str(row[name]) for name in ("promise", "schedules", "checks", "violations")]
        table.add_row(*values, shown + omitted, style=style)
    console = Console()
    console.print(table)
    for item in report["errors"]:
        console.print(f"seed {item['seed']} could not be run: {item['error']}")


def run_variants(seed: int, schedules: int = MAX_VARIANT_SCHEDULES) -> list[dict[str, Any]]:
    """Return the promise of each broken variant and the seed of the schedule that caught it.

    The seed is None if no schedule caught the variant.
    """
    found = []
    for name in VARIANTS.names:
        promise = VARIANTS.get(name).promise
        caught_by_seed = None
        for result in replay(range(seed, seed + schedules), name):
            if result.findings and result.findings[promise].violations:
                caught_by_seed = result.seed
                break
        found.append({"variant": name, "promise": promise, "seed": caught_by_seed})
    return found
