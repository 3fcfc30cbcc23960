"""Logging setup: text with a fixed prefix and any traceback, or one JSON line per event."""

import json
import sys
from typing import Any, TextIO

from loguru import logger

__all__ = ["configure_logging"]

# Loguru appends the line end and the traceback to a format string.
LINE_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} [{extra[instance]}] {extra[part]}: {message}"
)


def _format_json_line(record: Any) -> str:
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **{key: value for key, value in record["extra"].items() if key != "line"},
    }
    if record["exception"] is not None:
        document["exception"] = repr(record["exception"].value)
    record["extra"]["line"] = json.dumps(document, default=str)
    return "{extra[line]}\n"


def configure_logging(
    instance: str, level: str = "INFO", as_json: bool = False, stream: TextIO | None = None
) -> None:
    """Replace all log handlers with one that writes to stream (standard error by default).

    Tracebacks omit the values of variables, because these may contain callers' secrets.
    """
    logger.remove()
    logger.configure(extra={"instance": instance, "part": "main"})
    logger.add(
        stream if stream is not None else sys.stderr,
        level=level,
        format=_format_json_line if as_json else LINE_FORMAT,
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
