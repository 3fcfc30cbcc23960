"""Output of experiments: JSON, a terminal table and a plot."""

import json
import math
from collections.abc import Sequence
from pathlib import Path

import attrs
from rich.console import Console
from rich.table import Table

from jayvalve.internal.measure.expectations import Expectation
from jayvalve.internal.measure.scenarios import Row

__all__ = ["plot_rows", "print_tables", "write_json"]


def _number(value: float) -> float | None:
    # JSON has no NaN or infinity.
    return value if math.isfinite(value) else None


def write_json(
    path: str | Path,
    experiment: str,
    seed: int,
    rows: Sequence[Row],
    expectations: Sequence[Expectation],
) -> None:
    """Write the figures; a value that does not exist becomes null."""
    names = ("value", "low", "high")
    document = {
        "experiment": experiment,
        "seed": seed,
        "rows": [
            attrs.asdict(row) | {name: _number(getattr(row, name)) for name in names}
            for row in rows
        ],
        "expectations": [attrs.asdict(e) | {"value": _number(e.value)} for e in expectations],
    }
    Path(path).write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def print_tables(
    console: Console, name: str, rows: Sequence[Row], expectations: Sequence[Expectation]
) -> None:
    """Print the medians with their spread, and each bound beside its measured value."""
    table = Table("policy", "workload", "rank", "metric", "median", "spread", "unit", title=name)
    for row in rows:
        spread = f"{row.low:.4g}..{row.high:.4g}"
        table.add_row(
            row.policy, row.workload, row.rank, row.metric, f"{row.value:.4g}", spread, row.unit
        )
    console.print(table)
    bounds = Table("expectation", "workload", "measured", "bound", "result", title=name)
    for e in expectations:
        bounds.add_row(e.name, e.workload, f"{e.value:.3f}", f"{e.bound:g}", e.verdict)
    console.print(bounds)


def plot_rows(path: str | Path, rows: Sequence[Row], metrics: Sequence[str]) -> None:
    """Write a bar chart of some metrics, one panel each, with the spread as error bars."""
    # matplotlib takes about a second to import, which runs without a plot need not wait for.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(metrics), 1, figsize=(10, 4 * len(metrics)), squeeze=False, layout="constrained"
    )
    for axis, metric in zip(axes[:, 0], metrics, strict=True):
        chosen = [row for row in rows if row.metric == metric]
        labels = [f"{row.workload}\n{row.policy}\n{row.rank}" for row in chosen]
        values = [row.value for row in chosen]
        errors = [
            [max(0.0, row.value - row.low) for row in chosen],
            [max(0.0, row.high - row.value) for row in chosen],
        ]
        axis.bar(range(len(chosen)), values, yerr=errors)
        axis.set_xticks(range(len(chosen)), labels, rotation=90, fontsize=6)
        axis.set_ylabel(f"{metric} ({chosen[0].unit})" if chosen else metric)
    figure.savefig(path)
    pyplot.close(figure)
