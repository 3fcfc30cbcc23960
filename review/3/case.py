"""An engine ends while it sends streams that have no length and end with their channel."""

import asyncio
import random
import signal

from review.support import fleet as f
from review.support.client import call

EVENTS = 5
ENGINES = 7
# Answers of the engine before the one without a length, which is at most 0.02 of its answers.
ANSWERS = 50
ROUTES = [f.route("chat", type="streaming", service="models", retained=True)]
SERVICES = [
    {
        "name": "models", "health_path": "/health", "connection_limit": 150,
        "engine": {"slots": 8, "chunk_tokens": 13, "kv_cache_tokens": 90_000},
    }
]


async def play(fleet):
    await fleet.start(ROUTES, SERVICES)
    for number in range(ENGINES):
        fleet.add_engine(
            f"m-{number}", "models", streaming=True, events=EVENTS, gap_ms=50, half_pause_ms=150,
            padding=60, unframed_file=str(fleet.folder / f"unframed-{number}"),
        )
    for number in range(2):
        fleet.add_gateway(f"gateway-{number}")
    await fleet.wait_ready()
    answers = {}
    stop = asyncio.Event()

    async def caller(number):
        turn = 0
        while not stop.is_set():
            turn += 1
            attempt = f"turn-{number}-{turn}"
            gateway = random.choice(fleet.gateways)
            answer = await call(gateway.front, "/chat/a", attempt, f"in {number} {turn};".encode())
            answers[attempt] = answer
            fleet.note(
                f"{attempt}: status {answer.status}, {len(answer.events)} events, "
                f"whole {answer.whole}, ends with {answer.body[-20:]!r}"
            )
            await asyncio.sleep(random.uniform(0.0, 0.2))

    callers = [asyncio.ensure_future(caller(number)) for number in range(40)]
    engine = await f.busiest(fleet.engines, ANSWERS, 60.0)
    if engine is None:
        return f.NOT_RUN
    fleet.note(f"after {len(engine.runs())} streams, the next one of {engine.name} has no length")
    (fleet.folder / f"unframed-{engine.name[2:]}").touch()
    while not engine.runs("unframed"):
        await asyncio.sleep(0.01)
    if f.TROUBLE:
        await asyncio.sleep(0.325)
        fleet.note(f"kill {engine.name}")
        engine.signal(signal.SIGKILL)
    await asyncio.sleep(4.0)
    stop.set()
    await asyncio.gather(*callers)
    short = {
        attempt: answer
        for attempt, answer in answers.items()
        if answer.status == 200 and answer.whole and len(answer.events) < EVENTS
        # Cut in the middle of an event: an end between two events can't be told from a whole one.
        and answer.body and not answer.body.endswith(b"\n\n")
    }
    for attempt, answer in short.items():
        fleet.note(f"SHORT {attempt}: complete with {len(answer.events)} events, {answer.body!r}")
    if not short:
        return f.HELD
    # A later turn that names a cut turn: what does its engine get?
    attempt, answer = next(iter(short.items()))
    later = await call(
        fleet.gateways[0].front, "/chat/a", "later", b"later;",
        {"X-Jayvalve-Previous-Turn": attempt},
    )
    body = [run["body"] for engine in fleet.engines for run in engine.runs() if run["attempt"] == "later"]
    fleet.note(f"later turn after {attempt}: status {later.status}, body at the engine {body!r}")
    served = sum(a.status == 200 and a.whole for a in answers.values())
    print(f"{len(short)} of {served} complete answers lack events; later turn {later.status}")
    return f.BROKEN


f.main(__file__, play)
