"""Prints tables and JSON documents for operators."""

import io
import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["print_json", "print_table", "write_document"]

# Wide enough that a table row of usual length is not wrapped in a file or a pipe.
PIPE_WIDTH_CHARS = 2000


def _print_rich_table(table: Table) -> None:
    if sys.stdout.isatty():
        Console(highlight=False, markup=False).print(table)
        return
    text = io.StringIO()
    Console(file=text, width=PIPE_WIDTH_CHARS, highlight=False, markup=False).print(table)
    for line in text.getvalue().splitlines():
        print(line.rstrip())


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False, sort_keys=True))


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a titled table, or the line "TITLE: none" if there are no rows."""
    rows = list(rows)
    if not rows:
        print(f"{title}: none")
        return
    table = Table(*columns, box=None, pad_edge=False, show_edge=False)
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    print(f"{title}:")
    _print_rich_table(table)


def write_document(document: dict[str, Any], output: str) -> None:
    """Write a configuration document to a file."""
    with open(output, "w", encoding="utf-8") as file:
        json.dump(document, file, indent=2, ensure_ascii=False)
        file.write("\n")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value, ensure_ascii=False, default=str)
