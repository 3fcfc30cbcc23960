"""Measures heartbeat traffic and connection costs between real processes on loopback."""

import contextlib
import json
import statistics
import subprocess
import sys
import time
from typing import Any

from jayvalve.internal.measure.capacity.bench import Row

__all__ = ["measure_connections", "measure_peers"]

MODULE = "jayvalve.internal.measure.capacity.member"
WARM_UP_S = 5.0
WINDOW_S = 8.0


class MemberProcess:
    """A child process that runs minimal members."""

    def __init__(self, name: str, members: int = 1) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", MODULE, name, str(members)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def send(self, **request: Any) -> None:
        """Send a request; receive returns its answer."""
        self._process.stdin.write(json.dumps(request) + "\n")
        self._process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Wait for the next answer and return its figures."""
        return json.loads(self._process.stdout.readline())

    def query(self, **request: Any) -> dict[str, Any]:
        """Send a request and return the figures."""
        self.send(**request)
        return self.receive()

    def close(self) -> None:
        """Kill the process and wait for its exit."""
        self._process.stdin.close()
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _query_all(processes: list[MemberProcess], **request: Any) -> list[dict[str, Any]]:
    for process in processes:
        process.send(**request)
    return [process.receive() for process in processes]


def measure_peers(
    sizes: tuple[int, ...], process_count: int | None = None, window_s: float = WINDOW_S
) -> list[Row]:
    """Return heartbeat traffic, CPU time, memory and live share for each deployment size.

    Sizes are numbers of members. Each member has its own process, unless process_count is given:
    then that many processes share the members, so that a large deployment needs few processes.
    Traffic and CPU time are rates per member, memory is per process.
    """
    rows = []
    for size in sizes:
        count = process_count or size
        members = size // count
        with contextlib.ExitStack() as stack:
            processes = [MemberProcess(f"m{n}", members) for n in range(count)]
            for process in processes:
                stack.callback(process.close)
            rows += _measure_mesh(processes, members, window_s)
    return rows


def _measure_mesh(processes: list[MemberProcess], members: int, window_s: float) -> list[Row]:
    hellos = [hello for figures in _query_all(processes) for hello in figures["hellos"]]
    _query_all(processes, members=hellos)
    time.sleep(min(WARM_UP_S, window_s))
    before = _query_all(processes)
    time.sleep(window_s)
    after = _query_all(processes)
    size = len(hellos)
    pairs = list(zip(before, after, strict=True))
    spans = [late["at_s"] - early["at_s"] for early, late in pairs]

    def rate(name: str) -> float:
        rates = [
            (late[name] - early[name]) / span / members
            for (early, late), span in zip(pairs, spans, strict=True)
        ]
        return statistics.fmean(rates)

    live = [count for figures in after for count in figures["live"]]
    prefix = "peer" if members == 1 else "packed_peer"
    return [
        Row(f"{prefix}_heartbeat_bytes_per_s", size, rate("sent_bytes"), "bytes/s"),
        Row(f"{prefix}_heartbeat_cpu", size, rate("cpu_s"), "cores"),
        Row(
            f"{prefix}_process_memory",
            size,
            statistics.fmean(item["memory_bytes"] for item in after),
            "bytes",
        ),
        Row(f"{prefix}_live_share", size, statistics.fmean(live) / (size - 1), "share"),
    ]


def measure_connections(sizes: tuple[int, ...]) -> list[Row]:
    """Return the memory at both ends of one process's connections, by number of listeners."""
    rows = []
    for size in sizes:
        with contextlib.ExitStack() as stack:
            dialler, listener = MemberProcess("dialler"), MemberProcess("listener", size)
            stack.callback(dialler.close)
            stack.callback(listener.close)
            idle_dialler, idle_listener = dialler.query(), listener.query()
            addresses = [hello[4] for hello in idle_listener["hellos"]]
            opened, accepted = dialler.query(connect=addresses), listener.query()
            rows += [
                Row(
                    "connection_memory_dialling_end",
                    size,
                    opened["memory_bytes"] - idle_dialler["memory_bytes"],
                    "bytes",
                ),
                Row(
                    "connection_memory_accepting_end",
                    size,
                    accepted["memory_bytes"] - idle_listener["memory_bytes"],
                    "bytes",
                ),
            ]
    return rows
