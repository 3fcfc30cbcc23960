"""Runs one stand-in as a separate process."""

import asyncio
import signal
from collections.abc import Mapping

from jayvalve.internal.validation import check_range, check_type
from jayvalve.standins.registry import STAND_INS

__all__ = ["run_standin"]

HOST = "127.0.0.1"
MAX_PORT = 65_535


async def run_standin(kind: str, config: Mapping[str, object]) -> None:
    """Start the stand-in, print its ready line, and run until SIGTERM or SIGINT.

    The key "port" of config is the port to listen on; 0 or no key selects a free port. The other
    keys are the stand-in's settings. An unknown kind raises InvalidSettingsError.
    """
    settings = dict(config)
    port = check_type(int, settings.pop("port", 0), "port")
    check_range(port, "port", 0, MAX_PORT)
    standin = STAND_INS.get(kind).from_config(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    bound = await standin.start(HOST, port)
    print(f"standin {kind} ready on {HOST}:{bound}", flush=True)
    try:
        await stopped.wait()
    finally:
        await standin.stop()
