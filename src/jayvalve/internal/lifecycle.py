"""Runs a service until the process receives a stop signal."""

import asyncio
import signal
from typing import Protocol

from loguru import logger

__all__ = ["Service", "run_until_stopped"]

_log = logger.bind(part="main")

# Service managers kill a process 30 s or more after the stop signal, and a drain may have taken
# most of that time already.
STOP_TIMEOUT_S = 10.0


class Service(Protocol):
    """Interface that run_until_stopped requires of a service."""

    async def start(self) -> str:
        """Start the service and return its ready line, which names the address it listens on."""

    async def drain(self) -> None:
        """Finish the work in progress and hand over the state that other processes need."""

    async def stop(self) -> None:
        """Release all resources."""


async def run_until_stopped(service: Service) -> None:
    """Start a service, print its ready line, and drain it on SIGTERM or SIGINT.

    A second signal ends the drain early. A stop that takes longer than STOP_TIMEOUT_S is abandoned,
    and the log names what it waited for.
    """
    loop = asyncio.get_running_loop()
    signals = asyncio.Queue[int]()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signals.put_nowait, signal_number)
    try:
        print(await service.start(), flush=True)
        await signals.get()
        _log.info("stop requested; finishing work in progress")
        await _drain_unless_signalled(service, signals)
    finally:
        await _stop_within(service, STOP_TIMEOUT_S)


async def _stop_within(service: Service, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await service.stop()
    except TimeoutError:
        running = sorted(str(task.get_coro()) for task in asyncio.all_tasks())
        _log.bind(timeout_s=timeout_s).error("stop abandoned; still running: {}", running)


async def _drain_unless_signalled(service: Service, signals: asyncio.Queue[int]) -> None:
    drain = asyncio.ensure_future(service.drain())
    second_signal = asyncio.ensure_future(signals.get())
    done, _ = await asyncio.wait({drain, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if drain in done:
        second_signal.cancel()
        drain.result()
        return
    _log.warning("second stop signal received; ending the drain early")
    drain.cancel()
