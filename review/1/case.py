"""An engine sends empty lines without end; its gateway stands still for all callers."""

import asyncio
import time

from review.support import fleet as f
from review.support.client import KeptChannel, read_all

TIMEOUT_S = 3.0
LATE_S = TIMEOUT_S + 0.5
ROUTES = [
    f.route("advice", type="streaming", service="models", resumable=True),
    f.route("charge", type="non_idempotent", service="tools"),
]
SERVICES = [
    {
        "name": "models", "health_path": "/health", "connection_limit": 150,
        "engine": {"slots": 8, "chunk_tokens": 13, "kv_cache_tokens": 90_000},
    },
    {"name": "tools", "health_path": "/health", "connection_limit": 110},
]
CHANNELS = 24
CALLERS = 6
# Answers of the engine before the bad one, so that it is at most 0.02 of its answers.
ANSWERS = 50


async def play(fleet):
    await fleet.start(ROUTES, SERVICES)
    for number in range(7):
        fleet.add_engine(
            f"m-{number}", "models", streaming=True, events=5, gap_ms=20,
            endless_file=str(fleet.folder / f"endless-{number}"), endless_bytes=60_000, endless_text="\n",
        )
    for number in range(4):
        fleet.add_engine(f"t-{number}", "tools", gap_ms=250, slots=6)
    for number in range(2):
        fleet.add_gateway(f"gateway-{number}")
    await fleet.wait_ready()
    stop = asyncio.Event()
    waits, unready = [], []

    async def charges(number):
        """Send one charge after another; these callers wait for longer than the route does."""
        gateway = fleet.gateways[number % 2]
        channel = KeptChannel(gateway.front)
        turn = 0
        while not stop.is_set():
            turn += 1
            attempt = f"charge-{number}-{turn}"
            answer = await channel.call("/charge/a", attempt, b"pay", limit_s=5.0)
            wait_s = answer.ended_s - answer.sent_s
            fleet.note(f"{attempt} at {gateway.name}: {answer.status} after {wait_s:.2f} s")
            waits.append((attempt, wait_s, answer.status))

    async def advice(number):
        turn = 0
        while not stop.is_set():
            turn += 1
            gateway = fleet.gateways[turn % 2]
            attempt = f"advice-{number}-{turn}"
            status, size, whole = await asyncio.to_thread(
                read_all, gateway.front, "/advice/a", attempt, b"where?", TIMEOUT_S
            )
            fleet.note(f"{attempt} at {gateway.name}: {status}, {size} bytes, whole {whole}")
            await asyncio.sleep(0.05)

    async def readiness(gateway):
        """Ask as the platform does."""
        while not stop.is_set():
            started_s = time.monotonic()
            if not await gateway.ready():
                unready.append(gateway.name)
                fleet.note(f"{gateway.name} doesn't answer that it is ready")
            await asyncio.sleep(max(0.0, started_s + 1.0 - time.monotonic()))

    others = [asyncio.ensure_future(readiness(gateway)) for gateway in fleet.gateways]
    others += [asyncio.ensure_future(charges(number)) for number in range(CHANNELS)]
    others += [asyncio.ensure_future(advice(number)) for number in range(CALLERS)]
    bad = await f.busiest(fleet.engines[:7], ANSWERS, 60.0)
    if bad is None:
        return f.NOT_RUN
    if f.TROUBLE:
        fleet.note(f"after {len(bad.runs())} streams, the next one of {bad.name} has no end")
        (fleet.folder / f"endless-{bad.name[2:]}").touch()
    await asyncio.sleep(9.0)
    stop.set()
    await asyncio.gather(*others)
    unanswered = [each for each in waits if each[1] > TIMEOUT_S]
    late = [each for each in unanswered if each[1] > LATE_S]
    fleet.note(f"no answer half a second after the route's time limit: {late}")
    print(
        f"{len(late)} of {len(unanswered)} charges unanswered at {TIMEOUT_S} s had no answer at "
        f"{LATE_S} s (longest {max(each[1] for each in waits):.1f} s); {len(unready)} readiness "
        "checks failed"
    )
    return f.BROKEN if len(late) >= 8 and 2 * len(late) > len(unanswered) else f.HELD


f.main(__file__, play)
