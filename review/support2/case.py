"""Frame of a case: its folder, its record and its exit status."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable

from .fleet import CannotRunError
from .http import Trace

LIMIT_S = 115.0


class Record:
    """What was sent, answered and run, in record.txt and on standard output."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        print(self.trace(text), flush=True)

    def trace(self, text: str) -> str:
        """Write and return such a line, without showing it."""
        line = f"{time.monotonic() - self._started_s:7.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        return line


def run_case(
    file: str, work: Callable[[Record, pathlib.Path, bool], Awaitable[list[str]]]
) -> None:
    """Run a case and exit with 1 if it returns broken rules, 0 if not, 2 if it cannot run."""
    record = Record(pathlib.Path(file).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {trouble}")
    Trace.write = staticmethod(record.trace)

    async def bounded() -> list[str]:
        # A case that is stopped ends the processes that it started.
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            async with asyncio.timeout(LIMIT_S):
                return await work(record, pathlib.Path(folder), trouble)

    try:
        broken = asyncio.run(bounded())
    except CannotRunError as error:
        record.note(f"cannot run: {error}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError):
        record.note(f"cannot run: {traceback.format_exc()}")
        sys.exit(2)
    for line in broken:
        record.note(f"BROKEN {line}")
    record.note("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
