"""Set-up of the log: one line an event, with a fixed prefix for each part."""

import json
import sys
from typing import Any, TextIO

from loguru import logger

__all__ = ["configure_logging"]

# loguru itself adds the line end and the exception.
LINE_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} [{extra[instance]}] {extra[part]}: {message}"
)


def _json_line(record: Any) -> str:
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
    """Send log lines to stream (standard error by default).

    Tracebacks leave out the values of variables, because these may hold callers' secrets.
    """
    logger.remove()
    logger.configure(extra={"instance": instance, "part": "main"})
    logger.add(
        stream if stream is not None else sys.stderr,
        level=level,
        format=_json_line if as_json else LINE_FORMAT,
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
