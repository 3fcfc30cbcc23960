"""Output of experiments as JSON, terminal tables and plots."""

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


def _finite_or_none(value: float) -> float | None:
    # JSON cannot represent NaN or infinity.
    return value if math.isfinite(value) else None


def write_json(
    path: str | Path,
    experiment: str,
    seed: int,
    rows: Sequence[Row],
    expectations: Sequence[Expectation],
) -> None:
    """Write rows and expectations as JSON; NaN and infinite values become null."""
    names = ("value", "low", "high")
    document = {
        "experiment": experiment,
        "seed": seed,
        "rows": [
            attrs.asdict(row) | {name: _finite_or_none(getattr(row, name)) for name in names}
            for row in rows
        ],
        "expectations": [
            attrs.asdict(e) | {"value": _finite_or_none(e.value)} for e in expectations
        ],
    }
    Path(path).write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def print_tables(
    console: Console, name: str, rows: Sequence[Row], expectations: Sequence[Expectation]
) -> None:
    """Print the medians with their spread, and each bound with its measured value."""
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
    # Importing matplotlib takes about a second; runs without a plot avoid it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(metrics), 1, figsize=(10, 4 * len(metrics)), squeeze=False, layout="constrained"
    )
    for axis, metric in zip(axes[:, 0], metrics, strict=True):
        selected = [row for row in rows if row.metric == metric]
        labels = [f"{row.workload}\n{row.policy}\n{row.rank}" for row in selected]
        values = [row.value for row in selected]
        errors = [
            [max(0.0, row.value - row.low) for row in selected],
            [max(0.0, row.high - row.value) for row in selected],
        ]
        axis.bar(range(len(selected)), values, yerr=errors)
        axis.set_xticks(range(len(selected)), labels, rotation=90, fontsize=6)
        axis.set_ylabel(f"{metric} ({selected[0].unit})" if selected else metric)
    figure.savefig(path)
    pyplot.close(figure)
