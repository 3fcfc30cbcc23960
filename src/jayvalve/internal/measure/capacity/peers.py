"""Heartbeat traffic and the cost of connections between real processes on loopback."""

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
    """A child process with light members."""

    def __init__(self, name: str, members: int = 1) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", MODULE, name, str(members)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def send(self, **request: Any) -> None:
        """Send a request whose answer receive returns."""
        self._process.stdin.write(json.dumps(request) + "\n")
        self._process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Return the figures of the process."""
        return json.loads(self._process.stdout.readline())

    def ask(self, **request: Any) -> dict[str, Any]:
        """Send a request and return the figures."""
        self.send(**request)
        return self.receive()

    def close(self) -> None:
        """End the process."""
        self._process.stdin.close()
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _ask_all(processes: list[MemberProcess], **request: Any) -> list[dict[str, Any]]:
    for process in processes:
        process.send(**request)
    return [process.receive() for process in processes]


def measure_peers(
    sizes: tuple[int, ...], processes_limit: int | None = None, window_s: float = WINDOW_S
) -> list[Row]:
    """Return costs per process and second, over deployments of size processes.

    With processes_limit that many processes share the members, so that a size above the
    number of processes can be reached; the figures are per member.
    """
    rows = []
    for size in sizes:
        count = processes_limit or size
        members = size // count
        with contextlib.ExitStack() as stack:
            processes = [MemberProcess(f"m{n}", members) for n in range(count)]
            for process in processes:
                stack.callback(process.close)
            rows += _measure_mesh(processes, members, window_s)
    return rows


def _measure_mesh(processes: list[MemberProcess], members: int, window_s: float) -> list[Row]:
    listed = [hello for figures in _ask_all(processes) for hello in figures["hellos"]]
    _ask_all(processes, members=listed)
    time.sleep(min(WARM_UP_S, window_s))
    before = _ask_all(processes)
    time.sleep(window_s)
    after = _ask_all(processes)
    size = len(listed)
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
    """Return memory of both ends of open connections from one process to size listeners."""
    rows = []
    for size in sizes:
        with contextlib.ExitStack() as stack:
            dialler, listener = MemberProcess("dialler"), MemberProcess("listener", size)
            stack.callback(dialler.close)
            stack.callback(listener.close)
            first, other = dialler.ask(), listener.ask()
            addresses = [hello[4] for hello in other["hellos"]]
            opened, accepted = dialler.ask(connect=addresses), listener.ask()
            rows += [
                Row(
                    "connection_memory_dialling_end",
                    size,
                    opened["memory_bytes"] - first["memory_bytes"],
                    "bytes",
                ),
                Row(
                    "connection_memory_accepting_end",
                    size,
                    accepted["memory_bytes"] - other["memory_bytes"],
                    "bytes",
                ),
            ]
    return rows
