"""Rendering of the burn report as text, JSON and HTML."""

import html
import io
import json
from typing import Any

import attrs

from jayvalve.internal.report.burn import HOUR_S, OBJECTIVE, PERIOD_S, BurnLine, BurnReport

__all__ = ["as_document", "as_html", "as_text", "to_json"]

MAX_PLOTS = 24
COLUMNS = (
    "rank",
    "caller",
    "measure",
    "target",
    "count",
    "p95",
    "attained",
    "budget left",
    "burn 5m",
    "burn 30m",
    "burn 1h",
    "burn 6h",
    "burn 24h",
    "spent in",
    "alert",
)
STYLE = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{padding:3px 8px;border-bottom:1px solid #ccc;text-align:right}"
    ".page{background:#fcc}.ticket{background:#ffe9b3}figure{display:inline-block;margin:1em}"
)


def as_document(report: BurnReport) -> dict[str, Any]:
    """Return the report as a JSON object."""
    document = attrs.asdict(report)
    for line in document["lines"]:
        line["rates"] = {str(window_s): rate for window_s, rate in line["rates"].items()}
    return {**document, "objective": OBJECTIVE, "period_s": PERIOD_S}


def as_text(report: BurnReport) -> str:
    """Return the report as plain text."""
    rows = [COLUMNS, *(_cells(line) for line in report.lines)]
    widths = [max(len(row[index]) for row in rows) for index in range(len(COLUMNS))]
    lines = list(_heading(report))
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    if not report.lines:
        lines.append("no latencies were recorded in the period")
    return "\n".join(lines) + "\n"


def as_html(report: BurnReport) -> str:
    """Return the report as a self-contained HTML page."""
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        f"<title>Error budgets</title><style>{STYLE}</style></head><body>",
        "<h1>Error budgets</h1>",
        *(f"<p>{html.escape(text)}</p>" for text in _heading(report)),
        "<table><tr>",
        *(f"<th>{html.escape(column)}</th>" for column in COLUMNS),
        "</tr>",
    ]
    for line in report.lines:
        severity = line.alerts[0].severity if line.alerts else ""
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in _cells(line))
        parts.append(f'<tr class="{severity}">{cells}</tr>')
    parts.append("</table>")
    plotted = sorted((line for line in report.lines if line.history), key=_plot_order)[:MAX_PLOTS]
    parts += [f"<figure>{_plot(line)}</figure>" for line in plotted]
    parts.append("</body></html>\n")
    return "\n".join(parts)


def to_json(report: BurnReport) -> str:
    """Return the report as JSON text."""
    return json.dumps(as_document(report), indent=2, ensure_ascii=False) + "\n"


def _heading(report: BurnReport) -> list[str]:
    lines = [
        f"objective: {OBJECTIVE:.0%} within target over {PERIOD_S // HOUR_S} h; "
        f"rules of version {report.configuration_version}",
        f"entries that answered: {', '.join(report.answered) or 'none'}",
    ]
    lines += [f"missing: {url}: {reason}" for url, reason in report.missing.items()]
    for line, alert in report.alerts:
        lines.append(
            f"{alert.severity}: {line.rank} {line.caller} {line.measure} burns at "
            f"{alert.long_rate:.1f} over {_format_duration(alert.long_s)} and "
            f"{alert.short_rate:.1f} over {_format_duration(alert.short_s)}"
        )
    return lines


def _cells(line: BurnLine) -> tuple[str, ...]:
    rates = [f"{rate:.2f}" for rate in line.rates.values()] or ["-"] * 5
    spent = "never" if line.spent_in_s is None else _format_duration(line.spent_in_s)
    return (
        line.rank,
        line.caller,
        line.measure,
        "-" if line.target_s is None else f"{line.target_s:g} s",
        str(line.count),
        f"{line.p95_s:.3f} s",
        "-" if line.attainment is None else f"{line.attainment:.2%}",
        "-" if line.budget_left is None else f"{line.budget_left:.0%}",
        *rates,
        "-" if line.budget_left is None else spent,
        ", ".join(alert.severity for alert in line.alerts) or "-",
    )


def _format_duration(seconds: float) -> str:
    if seconds < HOUR_S:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / HOUR_S:.1f} h"


def _plot_order(line: BurnLine) -> tuple[int, float]:
    return -len(line.alerts), line.budget_left if line.budget_left is not None else 1.0


def _plot(line: BurnLine) -> str:
    """Return the burn rate over the period as an SVG element."""
    # Avoids pyplot, which keeps global state and selects a display backend.
    from matplotlib.backends.backend_svg import FigureCanvasSVG
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5, 2.4), layout="constrained")
    axes = figure.add_subplot()
    hours = [-age_s / HOUR_S for age_s, _ in line.history]
    axes.plot(hours, [rate for _, rate in line.history], marker=".", linewidth=1)
    axes.axhline(1.0, color="grey", linewidth=0.8, linestyle="--")
    axes.set_title(f"{line.rank}, {line.caller}, {line.measure}", fontsize=9, parse_math=False)
    axes.set_xlabel("hours", fontsize=8)
    axes.set_ylabel("burn rate", fontsize=8)
    axes.set_ylim(bottom=0)
    text = io.StringIO()
    FigureCanvasSVG(figure).print_svg(text, metadata={"Date": None})
    svg = text.getvalue()
    return svg[svg.index("<svg") :]
