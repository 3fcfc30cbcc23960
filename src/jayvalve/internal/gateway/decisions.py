"""Writes JSON log lines without blocking and with a bounded volume.

Lines are buffered in memory and written in pieces that a pipe accepts without blocking. When the
reader stalls or there are too many lines, lines are dropped and their number is logged later.
"""

import asyncio
import json
import os
import select
from collections import deque
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.timing import Clock

__all__ = ["DecisionLog", "LogLimits", "LogWriter"]


@attrs.frozen
class LogLimits:
    """Limits on the volume of the log.

    Attributes:
        lines_per_s: Maximum number of lines per second; a gateway serves about 30 requests a
            second.
        buffered_bytes: Maximum size of the lines that wait to be written.
        flush_s: Time between two flushes, in seconds.
        write_bytes: Maximum size of a write; a POSIX pipe that is writable accepts 4,096 bytes
            at once.

    """

    lines_per_s: int = 150
    buffered_bytes: int = 512 * 1024
    flush_s: float = 0.25
    write_bytes: int = 4096


class LogWriter:
    """Writes lines to a file descriptor without waiting for the reader."""

    def __init__(self, descriptor: int, limits: LogLimits, clock: Clock) -> None:
        self._descriptor = descriptor
        self._limits = limits
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._dropped = 0
        self._second = 0
        self._lines_in_second = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last line that reported dropped lines.

        A failed write counts as one dropped line, whatever it contained.
        """
        return self._dropped

    def write(self, line: str) -> None:
        """Queue a line, or drop it if a limit is exceeded."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        data = line.encode()
        too_many = self._lines_in_second > self._limits.lines_per_s
        if too_many or self._bytes + len(data) > self._limits.buffered_bytes:
            self._dropped += 1
            return
        if self._dropped:
            notice = json.dumps({"message": "log lines dropped", "count": self._dropped}) + "\n"
            self._dropped = 0
            self._queue(notice.encode())
        self._queue(data)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines and self._writable():
            piece = bytearray()
            while self._lines and len(piece) < self._limits.write_bytes:
                space = self._limits.write_bytes - len(piece)
                line = self._lines.popleft()
                piece += line[:space]
                if len(line) > space:
                    self._lines.appendleft(line[space:])
            self._bytes -= len(piece)
            try:
                os.write(self._descriptor, piece)
            except OSError:
                # The reader is gone, so the failure cannot be reported.
                self._dropped += 1
                return

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(self._limits.flush_s)
            self.flush()

    def _queue(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))


class DecisionLog:
    """Writes the gateway's events and log messages as JSON lines."""

    def __init__(self, writer: LogWriter, instance: str, clock: Clock) -> None:
        self._writer = writer
        self._instance = instance
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Write a line with an event and its fields."""
        document = {"time": round(self._clock.wall(), 4), "instance": self._instance}
        document["event"] = event
        document.update(fields)
        self._writer.write(json.dumps(document, default=str, separators=(",", ":")) + "\n")

    def capture_messages(self, level: str = "INFO") -> None:
        """Write the log messages of all modules to this log as well."""
        logger.remove()
        logger.add(self._write_message, level=level, format="{message}", catch=True)

    def _write_message(self, message: Any) -> None:
        record = message.record
        fields = {key: value for key, value in record["extra"].items() if key != "instance"}
        if record["exception"] is not None:
            fields["exception"] = repr(record["exception"].value)
        self.write("message", level=record["level"].name, message=record["message"], **fields)
