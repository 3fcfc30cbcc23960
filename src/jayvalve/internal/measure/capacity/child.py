"""Runs one state bench at one size in a process of its own and prints the result as JSON."""

import json
import sys

from loguru import logger

from jayvalve.internal.measure.capacity import inventory, log_rates, programs  # noqa: F401
from jayvalve.internal.measure.capacity.bench import STATE_BENCHES

__all__ = ["main"]


def main() -> None:
    """Read bench, size and seed from the command line."""
    logger.remove()
    name, size, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    print(json.dumps(STATE_BENCHES.get(name).run(size, seed)))


if __name__ == "__main__":
    main()
