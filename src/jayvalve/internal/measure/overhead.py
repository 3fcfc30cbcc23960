"""Overhead of entry and sidecar: time to first token, CPU time and rates.

Entry, sidecar and engine are separate processes. Each measurement is compared with the same
calls sent directly to the engine. Both alternate in the same run because the machine is shared.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
import uuid
from collections.abc import Callable
from typing import Any

import psutil
from tornado.httpclient import AsyncHTTPClient

from jayvalve.deployments.processes import ProcessDeployment
from jayvalve.internal.measure.capacity.traffic import ENGINE, MODEL, TRAFFIC_DEPLOYMENT

__all__ = ["run_overhead"]

ENTRY, SIDECAR, STANDIN = "entry-dc-a", "sidecar-engine-1", "standin-engine-1"
# Calls sent directly to the engine, single calls through the entry, and calls of a program
# through the entry.
KINDS = ("direct", "single", "program")
FIRST_TOKEN_ROUNDS = 60
FIRST_TOKEN_ANSWER_TOKENS = 8
RATE_CALLS = 300
RATE_CONCURRENCY = 16
STREAMS = 16
STREAM_TOKENS = 256
REPEATS = 3
WARM_UP_CALLS = 20
REQUEST_TIMEOUT_S = 60.0
P95_QUANTILE = 0.95


class _Client:
    """Sends the same calls directly to the engine or through the entry."""

    def __init__(self, deployment: ProcessDeployment) -> None:
        self._urls = {
            "direct": deployment.standin_url("engine-1"),
            "single": deployment.url(ENTRY),
            "program": deployment.url(ENTRY),
        }
        self._http = AsyncHTTPClient(force_instance=True, max_clients=RATE_CONCURRENCY)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def call(self, kind: str, tokens: int, stream: bool) -> float:
        """Send one call and return the time to the first part of its answer, in seconds."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "a question"}],
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = {"Jayvalve-Program": uuid.uuid4().hex} if kind == "program" else {}
        first_s: list[float] = []

        def record_first_part(part: bytes) -> None:
            if not first_s:
                first_s.append(time.monotonic())

        started_s = time.monotonic()
        await self._http.fetch(
            f"{self._urls[kind]}/v1/chat/completions",
            method="POST",
            body=json.dumps(body),
            headers=headers,
            streaming_callback=record_first_part,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        return first_s[0] - started_s


def _cpu_time_reader() -> Callable[[], dict[str, float]]:
    children = psutil.Process().children()
    names = {"entry": ENTRY, "sidecar": SIDECAR, "engine": STANDIN}
    processes = {
        role: next(p for p in children if p.cmdline()[-1].endswith(f"/{name}.json"))
        for role, name in names.items()
    }

    def read_cpu_times() -> dict[str, float]:
        times = {role: process.cpu_times() for role, process in processes.items()}
        return {role: item.user + item.system for role, item in times.items()}

    return read_cpu_times


async def _measure_first_token(client: _Client) -> dict[str, Any]:
    seconds: dict[str, list[float]] = {kind: [] for kind in KINDS}
    for _ in range(FIRST_TOKEN_ROUNDS):
        for kind in KINDS:
            seconds[kind].append(await client.call(kind, FIRST_TOKEN_ANSWER_TOKENS, stream=True))
    figures: dict[str, Any] = {}
    for kind in KINDS:
        ordered = sorted(seconds[kind])
        figures[kind] = {
            "p50_s": statistics.median(ordered),
            "p95_s": ordered[int(P95_QUANTILE * len(ordered))],
        }
    for kind in KINDS[1:]:
        for name in ("p50_s", "p95_s"):
            figures[kind][f"added_{name}"] = figures[kind][name] - figures["direct"][name]
    return figures


async def _measure_rate(
    client: _Client,
    read_cpu_times: Callable[[], dict[str, float]],
    kind: str,
    calls: int,
    tokens: int,
) -> dict[str, Any]:
    stream = tokens > 1
    before, started_s = read_cpu_times(), time.monotonic()
    await asyncio.gather(*(client.call(kind, tokens, stream) for _ in range(calls)))
    elapsed_s = time.monotonic() - started_s
    after = read_cpu_times()
    # A unit is one token, which is a whole call if ``tokens`` is 1.
    units = calls * tokens
    return {
        "per_s": units / elapsed_s,
        "cpu_s_per_unit": {role: (after[role] - before[role]) / units for role in after},
    }


async def _measure_rates(client: _Client, calls: int, tokens: int) -> dict[str, Any]:
    read_cpu_times = _cpu_time_reader()
    runs: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS}
    for _ in range(REPEATS):
        for kind in KINDS:
            runs[kind].append(await _measure_rate(client, read_cpu_times, kind, calls, tokens))
    figures: dict[str, Any] = {}
    for kind, results in runs.items():
        cpu = {
            role: statistics.median(item["cpu_s_per_unit"][role] for item in results)
            for role in ("entry", "sidecar", "engine")
        }
        per_s = statistics.median(item["per_s"] for item in results)
        figures[kind] = {"per_s": per_s, "cpu_s_per_unit": cpu}
    for kind in KINDS[1:]:
        cpu = figures[kind]["cpu_s_per_unit"]
        figures[kind]["per_s_of_one_entry_core"] = 1 / cpu["entry"]
        direct_engine_cpu_s = figures["direct"]["cpu_s_per_unit"]["engine"]
        figures[kind]["entry_cpu_to_direct_engine_cpu"] = cpu["entry"] / direct_engine_cpu_s
        figures[kind]["sidecar_cpu_to_direct_engine_cpu"] = cpu["sidecar"] / direct_engine_cpu_s
    return figures


async def _run() -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = ProcessDeployment(
            TRAFFIC_DEPLOYMENT,
            pathlib.Path(directory),
            standin_settings={"engine-1": {"engine": ENGINE}},
        )
        try:
            await deployment.start()
            client = _Client(deployment)
            for kind in KINDS:
                await asyncio.gather(*(client.call(kind, 1, False) for _ in range(WARM_UP_CALLS)))
            figures = {
                "first_token": await _measure_first_token(client),
                "calls": await _measure_rates(client, RATE_CALLS, 1),
                "streamed_tokens": await _measure_rates(client, STREAMS, STREAM_TOKENS),
            }
            client.close()
        finally:
            deployment.close()
    return figures


def run_overhead(seed: int, output: str) -> dict[str, Any]:
    """Measure the overhead, write it as JSON to the file ``output`` and return it.

    The seed is only recorded in the result.
    """
    result = {"experiment": "overhead", "seed": seed, **asyncio.run(_run())}
    pathlib.Path(output).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return result
