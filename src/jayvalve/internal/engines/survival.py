"""Check whether an endpoint has outlived an answer of its that has no length."""

import asyncio
import contextlib
import math
from collections.abc import Callable

from loguru import logger

from jayvalve.internal.answer_end import Survival

__all__ = ["EndpointWatch"]

_log = logger.bind(part="engines")

# The whole server is asked for nothing, RFC 9110, section 9.3.7. Any answer will do.
_PING = b"OPTIONS * HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n"
_STATUS_LINE = b"HTTP/1."
# A connection that closes within this time before the check closed with the answer, in seconds.
IDLE_CLOSE_S = 0.25
# One that the endpoint closes sooner is not replaced, in seconds.
MIN_IDLE_S = 1.0


class EndpointWatch:
    """One connection to an endpoint, opened while it answers.

    It belongs to the process that listened then, so that an answer on it after the end of the other
    one shows that the process has not been killed. It is opened only after the request has its own
    connection, since a server that serves one connection at a time would wait for it. If the
    endpoint closes it while it still answers, another one is opened.

    Args:
        address: Host and port of the endpoint.
        timeout_s: Maximum time to establish the connection, and for the answer, in seconds.
        is_ended: Returns whether the answer has ended.

    """

    def __init__(self, address: str, timeout_s: float, is_ended: Callable[[], bool]) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._is_ended = is_ended
        self._precedes_end = False
        self._closed_s = -math.inf
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._opened = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Start to establish the connection, unless that was done before."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._hold())

    async def check(self) -> Survival:
        """Return whether the endpoint has outlived its answer, which has ended."""
        if self._task is not None:
            await self._opened.wait()
            await self._stop()
        since_closed_s = asyncio.get_running_loop().time() - self._closed_s
        if self._streams is None or since_closed_s < IDLE_CLOSE_S:
            return Survival.GONE
        if not self._precedes_end:
            return Survival.UNCHECKED
        reader, writer = self._streams
        try:
            async with asyncio.timeout(self._timeout_s):
                writer.write(_PING % self._address.encode())
                answer = await reader.readexactly(len(_STATUS_LINE))
        except TimeoutError:
            return Survival.SILENT
        except (OSError, asyncio.IncompleteReadError):
            return Survival.GONE
        return Survival.SAME_CONNECTION if answer == _STATUS_LINE else Survival.REPLACED

    async def close(self) -> None:
        """Close the connection."""
        await self._stop()
        if self._streams is not None:
            self._streams[1].close()

    async def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _hold(self) -> None:
        """Keep one connection open until the answer has ended."""
        loop = asyncio.get_running_loop()
        while await self._open():
            opened_s = loop.time()
            if self._streams is not None:
                reader, writer = self._streams
                with contextlib.suppress(OSError):
                    await reader.read(1)
                writer.close()
            self._streams = None
            self._closed_s = loop.time()
            if self._is_ended() or self._closed_s - opened_s < MIN_IDLE_S:
                return

    async def _open(self) -> bool:
        host, _, port = self._address.rpartition(":")
        self._opened.clear()
        try:
            async with asyncio.timeout(self._timeout_s):
                self._streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            _log.info("no second connection to {}: {!r}", self._address, error)
        self._precedes_end = not self._is_ended()
        self._opened.set()
        return self._streams is not None
