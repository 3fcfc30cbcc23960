"""Running of a process until it is told to stop."""

import asyncio
import signal
from typing import Protocol

from loguru import logger

__all__ = ["Service", "run_until_stopped"]

_log = logger.bind(part="main")


class Service(Protocol):
    """What run_until_stopped needs of a process."""

    async def start(self) -> str:
        """Start and return one line that says where the process listens."""

    async def drain(self) -> None:
        """Finish the work in progress and hand over what others need."""

    async def stop(self) -> None:
        """Release everything."""


async def run_until_stopped(service: Service) -> None:
    """Start a service, print its ready line, and drain it on SIGTERM or SIGINT.

    A second signal ends the drain early.
    """
    loop = asyncio.get_running_loop()
    signals = asyncio.Queue[int]()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    try:
        print(await service.start(), flush=True)
        await signals.get()
        _log.info("stop requested; finishing work in progress")
        await _drain_unless_signalled(service, signals)
    finally:
        await service.stop()


async def _drain_unless_signalled(service: Service, signals: asyncio.Queue[int]) -> None:
    drain = asyncio.ensure_future(service.drain())
    second = asyncio.ensure_future(signals.get())
    done, _ = await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    if drain in done:
        second.cancel()
        drain.result()
        return
    _log.warning("second stop signal; the drain is cut short")
    drain.cancel()
