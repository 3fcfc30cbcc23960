"""The open channels of one gateway to the store go silent; a later configuration is in force too late."""

import asyncio
import random
import time

from review.support import fleet as f
from review.support.client import call
from review.support.proxy import Proxy

STABLE_S = f.BOUNDS["stable_window_ms"] / 1000
APPLY_S = f.BOUNDS["config_apply_ms"] / 1000
SERVICES = [
    {
        "name": "models", "health_path": "/health", "connection_limit": 150,
        "engine": {"slots": 8, "chunk_tokens": 13, "kv_cache_tokens": 90_000},
    },
    {"name": "tools-a", "health_path": "/health", "connection_limit": 110},
    {"name": "tools-b", "health_path": "/health", "connection_limit": 110},
]
# Kept turns that each gateway serves at once before the channels go silent.
TURNS = 12
GATEWAYS = 3


def routes(service):
    return [
        f.route("chat", type="streaming", service="models", retained=True),
        f.route("charge", type="non_idempotent", service=service),
    ]


async def play(fleet):
    await fleet.start(routes("tools-a"), SERVICES)
    proxies = []
    for number in range(6):
        fleet.add_engine(f"m-{number}", "models", streaming=True, events=5, gap_ms=20)
    for name in ("a-0", "a-1"):
        fleet.add_engine(name, "tools-a", gap_ms=10, slots=6)
    for name in ("b-0", "b-1"):
        fleet.add_engine(name, "tools-b", gap_ms=10, slots=6)
    store_address = fleet.store_address
    for number in range(GATEWAYS):
        proxy = Proxy(store_address)
        await proxy.start()
        proxies.append(proxy)
        fleet.store_address = proxy.address
        fleet.add_gateway(f"gateway-{number}")
    await fleet.wait_ready()
    sent, statuses, stop = {}, {}, asyncio.Event()

    async def caller(number):
        turn = 0
        while not stop.is_set():
            turn += 1
            attempt = f"charge-{number}-{turn}"
            gateway = fleet.gateways[number % GATEWAYS]
            sent[attempt] = time.monotonic(), gateway.name
            answer = await call(gateway.front, "/charge/a", attempt, b"pay")
            statuses[attempt] = answer.status
            fleet.note(f"{attempt} by {gateway.name}: {answer.status} {answer.error}")
            await asyncio.sleep(0.1)

    callers = [asyncio.ensure_future(caller(number)) for number in range(6)]
    for round_ in range(4):
        turns = [
            call(gateway.front, "/chat/a", f"turn-{round_}-{gateway.name}-{number}", b"hello")
            for gateway in fleet.gateways
            for number in range(TURNS)
        ]
        answers = await asyncio.gather(*turns)
        fleet.note(f"turns: {[answer.status for answer in answers]}")
        await asyncio.sleep(random.uniform(0.0, 0.3))
    if f.TROUBLE:
        fleet.note(f"{proxies[0].silence()} open channels of gateway-0 to the store go silent")
    await asyncio.sleep(STABLE_S + 0.3)
    fleet.publish(routes("tools-b"), SERVICES)
    acknowledged_s = time.monotonic()
    fleet.note("the store has accepted version 2: /charge/ moves from tools-a to tools-b")
    await asyncio.sleep(APPLY_S + 1.0)
    fleet.note(f"gateway-0 counts as ready: {await fleet.gateways[0].ready()}")
    await asyncio.sleep(7.0)
    stop.set()
    await asyncio.gather(*callers)
    late = {
        run["attempt"]: sent[run["attempt"]][0] - acknowledged_s
        for engine in fleet.engines
        if engine.service == "tools-a"
        for run in engine.runs()
        if sent[run["attempt"]][0] > acknowledged_s + APPLY_S
    }
    for attempt, after_s in late.items():
        fleet.note(f"LATE {attempt} by {sent[attempt][1]}, sent {after_s:.2f} s after, at tools-a")
    latest = max(late.values(), default=0.0)
    print(f"{len(late)} requests ran at the old service, the last one sent {latest:.2f} s after")
    for proxy in proxies:
        await proxy.stop()
    return f.BROKEN if late else f.HELD


f.main(__file__, play)
