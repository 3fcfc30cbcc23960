"""Command that runs a gateway process until it is stopped."""

import asyncio
import json
import os
import sys

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.lifecycle import run_until_stopped
from jayvalve.platform.process import GatewayProcess
from jayvalve.platform.settings import load_platform_settings

__all__ = ["main", "run_gateway"]

# The file contains JSON, although its name ends in .yaml.
DEFAULT_SETTINGS_PATH = "/etc/jayvalve/local.yaml"
SETTINGS_VARIABLE = "JAYVALVE_NODE_FILE"


def run_gateway(path: str | None = None) -> None:
    """Run a gateway until it receives SIGTERM or SIGINT.

    Args:
        path: Path of the settings file. By default the path in the environment variable
            JAYVALVE_NODE_FILE, or else DEFAULT_SETTINGS_PATH.

    Raises:
        InvalidSettingsError: the settings cannot be read or are not valid.

    """
    source = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    settings = load_platform_settings(source)

    async def run() -> None:
        await run_until_stopped(GatewayProcess.from_config(settings, source))

    asyncio.run(run())


def main() -> None:
    """Run a gateway. On invalid settings, print one line to standard error and exit with code 2."""
    try:
        run_gateway()
    except InvalidSettingsError as error:
        print(json.dumps({"event": "start refused", "error": error.message}), file=sys.stderr)
        sys.exit(2)
