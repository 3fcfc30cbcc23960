"""Measures CPU time of entry and sidecar processes by calls, streamed tokens and history."""

import asyncio
import json
import pathlib
import random
import tempfile
import time
import uuid
from typing import Any

import psutil
from tornado.httpclient import AsyncHTTPClient

from jayvalve.deployments import Deployment, EndpointPlan
from jayvalve.deployments.processes import ProcessDeployment
from jayvalve.internal.measure.capacity.bench import Row
from jayvalve.internal.measure.capacity.programs import generate_text

__all__ = ["TRAFFIC_DEPLOYMENT", "measure_traffic"]

MODEL = "model-a"
ENTRY = "entry-dc-a"
SIDECAR = "sidecar-engine-1"
CONCURRENCY = 16
ANSWER_TOKENS = 16
STREAMS = 8
HISTORY_CALLS = 4
REQUEST_TIMEOUT_S = 60.0
WARM_UP_CALLS = 20
# Fast enough that the engine does not limit the measurements.
ENGINE = {
    "max_running": 64,
    "prefill_tokens_per_s": 1e8,
    "decode_tokens_per_s": 2000.0,
    "cache_tokens": 10_000_000,
}

TRAFFIC_DEPLOYMENT = Deployment(
    "capacity",
    ("dc-a",),
    (
        EndpointPlan("engine-1", "dc-b", "model", (MODEL,)),
        EndpointPlan("service-1", "dc-c", "application", ("bookings",), ("/bookings",)),
    ),
    "bookings",
    MODEL,
    MODEL,
    "/bookings",
)


class _Load:
    """Sends calls to the entry and reads CPU time and memory of the entry and the sidecar."""

    def __init__(self, deployment: ProcessDeployment) -> None:
        self._url = deployment.url(ENTRY)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=CONCURRENCY)
        children = psutil.Process().children()
        self._processes = {
            name: next(p for p in children if p.cmdline()[-1].endswith(f"/{name}.json"))
            for name in (ENTRY, SIDECAR)
        }

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU time of each process since its start, in seconds."""
        times = {name: process.cpu_times() for name, process in self._processes.items()}
        return {name: item.user + item.system for name, item in times.items()}

    def memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process in bytes."""
        return self._processes[name].memory_info().rss

    async def call(self, content: str, tokens: int, program: str = "", stream: bool = False) -> int:
        """Send one call and return the size of the response body in bytes."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = {"Jayvalve-Program": program} if program else {}
        response = await self._client.fetch(
            f"{self._url}/v1/chat/completions",
            method="POST",
            body=json.dumps(body),
            headers={"Jayvalve-Request": uuid.uuid4().hex, **headers},
            request_timeout=REQUEST_TIMEOUT_S,
        )
        return len(response.body)


async def _run_and_measure(load: _Load, calls: list[Any]) -> tuple[dict[str, float], float]:
    before, started_s = load.cpu_s(), time.monotonic()
    await asyncio.gather(*calls)
    span_s = time.monotonic() - started_s
    after = load.cpu_s()
    return {name: after[name] - before[name] for name in before}, span_s


def _cpu_rows(metric: str, size: int, cpu: dict[str, float]) -> list[Row]:
    names = {ENTRY: "entry", SIDECAR: "sidecar"}
    return [Row(f"{role}_cpu_{metric}", size, cpu[name], "s") for name, role in names.items()]


async def _measure_calls(load: _Load, sizes: tuple[int, ...]) -> list[Row]:
    rows = []
    for size in sizes:
        for kind in ("single", "program"):
            names = [uuid.uuid4().hex if kind == "program" else "" for _ in range(size)]
            calls = [load.call("a question", ANSWER_TOKENS, name) for name in names]
            cpu, span_s = await _run_and_measure(load, calls)
            rows += _cpu_rows(f"{kind}_calls", size, cpu)
            rows.append(Row(f"{kind}_calls_per_s", size, size / span_s, "calls/s"))
    return rows


async def _measure_streams(load: _Load, sizes: tuple[int, ...]) -> list[Row]:
    rows = []
    for size in sizes:
        calls = [load.call("a question", size, stream=True) for _ in range(STREAMS)]
        cpu, span_s = await _run_and_measure(load, calls)
        total = size * STREAMS
        rows += _cpu_rows("streamed_tokens", total, cpu)
        rows.append(Row("streamed_tokens_per_s", total, total / span_s, "tokens/s"))
    return rows


async def _measure_history(load: _Load, sizes: tuple[int, ...], rng: random.Random) -> list[Row]:
    rows = []
    for size in sizes:
        text = generate_text(size, rng)
        calls = [load.call(text, 1, uuid.uuid4().hex) for _ in range(HISTORY_CALLS)]
        cpu, _ = await _run_and_measure(load, calls)
        per_call = {name: value / HISTORY_CALLS for name, value in cpu.items()}
        rows += _cpu_rows("call_by_history_tokens", size, per_call)
        rows.append(Row("entry_memory_after_calls", size, load.memory_bytes(ENTRY), "bytes"))
    return rows


async def _run(seed: int, quick: bool) -> list[Row]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = ProcessDeployment(
            TRAFFIC_DEPLOYMENT,
            pathlib.Path(directory),
            settings={"history_memory_bytes": 1 << 30},
            standin_settings={"engine-1": {"engine": ENGINE}},
        )
        try:
            await deployment.start()
            load = _Load(deployment)
            await asyncio.gather(*(load.call("warm", 1) for _ in range(WARM_UP_CALLS)))
            rows = await _measure_calls(load, (10, 20, 30, 40) if quick else (100, 200, 400, 800))
            rows += await _measure_streams(load, (4, 8, 12, 16) if quick else (64, 128, 256, 512))
            sizes = (500, 1000, 1500, 2000) if quick else (16_000, 32_000, 64_000, 128_000)
            rows += await _measure_history(load, sizes, random.Random(seed))
            load.close()
        finally:
            deployment.close()
    return rows


def measure_traffic(seed: int, quick: bool) -> list[Row]:
    """Return the rows of calls, streamed tokens and history through one entry."""
    return asyncio.run(_run(seed, quick))
