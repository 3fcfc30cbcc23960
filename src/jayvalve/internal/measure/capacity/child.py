"""Runs one state bench at one size in its own process and prints the result as JSON."""

import json
import sys

from loguru import logger

from jayvalve.internal.measure.capacity import (  # noqa: F401
    inventory,
    log_rates,
    programs,
    shared_counts,
    stream_origins,
)
from jayvalve.internal.measure.capacity.bench import STATE_BENCHES

__all__ = ["main"]


def main() -> None:
    """Run the bench whose name, size and seed the command line gives."""
    logger.remove()
    name, size, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    print(json.dumps(STATE_BENCHES.get(name).run(size, seed)))


if __name__ == "__main__":
    main()
