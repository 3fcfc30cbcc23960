"""Runs all benches, fits the slopes and writes the rows."""

import functools
import json
import pathlib
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import InternalError
from jayvalve.internal.measure.capacity import (  # noqa: F401
    inventory,
    log_rates,
    programs,
    shared_counts,
    stream_origins,
)
from jayvalve.internal.measure.capacity.bench import STATE_BENCHES, Row, fit_rows
from jayvalve.internal.measure.capacity.peers import measure_connections, measure_peers
from jayvalve.internal.measure.capacity.traffic import measure_traffic

__all__ = ["run_benches"]

CHILD = "jayvalve.internal.measure.capacity.child"
CHILD_TIMEOUT_S = 120.0
# At most 112 processes besides this one: starting more would take most of the run.
PEER_SIZES = (16, 32, 64, 112)
QUICK_PEER_SIZES = (2, 4, 6, 8)
QUICK_WINDOW_S = 1.5
# Larger deployments in few processes: 480 members already use about half of ten cores.
PACKED_PEER_SIZES = (64, 128, 256, 480)
PACKED_PROCESSES = 16
CONNECTION_SIZES = (100, 200, 400, 800)
QUICK_CONNECTION_SIZES = (10, 20, 30, 40)

_log = logger.bind(part="measure")


def _child_rows(name: str, size: int, seed: int) -> list[Row]:
    done = subprocess.run(
        [sys.executable, "-m", CHILD, name, str(size), str(seed)],
        capture_output=True,
        text=True,
        timeout=CHILD_TIMEOUT_S,
        check=False,
    )
    if done.returncode:
        raise InternalError(f"bench {name} at size {size} failed: {done.stderr[-2000:]}")
    figures = json.loads(done.stdout.splitlines()[-1])
    return [Row(metric, size, value, unit) for metric, (value, unit) in figures.items()]


def _state_rows(seed: int, quick: bool) -> list[Row]:
    rows = []
    for name in STATE_BENCHES.names:
        bench = STATE_BENCHES.get(name)
        _log.info("measuring {}", name)
        sizes = bench.quick_sizes if quick else bench.sizes
        # The times of a quick run are not usable, so its child processes may run concurrently.
        with ThreadPoolExecutor(len(sizes) if quick else 1) as executor:
            for found in executor.map(functools.partial(_child_rows, name, seed=seed), sizes):
                rows += found
    return rows


def _peer_rows(quick: bool) -> list[Row]:
    _log.info("measuring connections and heartbeats")
    rows = measure_connections(QUICK_CONNECTION_SIZES if quick else CONNECTION_SIZES)
    rows += (
        measure_peers(QUICK_PEER_SIZES, window_s=QUICK_WINDOW_S)
        if quick
        else measure_peers(PEER_SIZES)
    )
    if not quick:
        rows += measure_peers(PACKED_PEER_SIZES, PACKED_PROCESSES)
    return rows


def run_benches(seed: int, output: str, quick: bool) -> dict[str, Any]:
    """Run all benches, write their rows and fits as JSON to the file output and return both."""
    rows = _state_rows(seed, quick) + _peer_rows(quick)
    _log.info("measuring traffic")
    rows += measure_traffic(seed, quick)
    result = {
        "experiment": "capacity",
        "seed": seed,
        "quick": quick,
        "rows": [attrs.asdict(row) for row in rows],
        "fits": [attrs.asdict(fit) for fit in fit_rows(rows)],
    }
    pathlib.Path(output).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return result
