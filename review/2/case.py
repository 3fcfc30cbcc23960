"""Three engines of twenty end at once; the same short input then reaches no engine any more."""

import asyncio
import signal

from review.support import fleet as f
from review.support.client import call

ROUTES = [f.route("chat", type="streaming", service="models", retained=True)]
SERVICES = [
    {
        "name": "models", "health_path": "/health", "connection_limit": 150,
        "engine": {"slots": 8, "chunk_tokens": 13, "kv_cache_tokens": 90_000},
    }
]
ZONES = ("zone-a", "zone-b", "zone-c")
ENGINE = {"streaming": True, "events": 10, "gap_ms": 30}
ENGINES = 20
# One for each engine that ends: 0.15 of the engines.
CUSTOMERS = 3
LATER = 8
# One attempt and one retry, for the turn and for the two times that it is sent again.
TRIES = 6
# The requesters' longest wait for Retry-After: a third of their time limit.
LONGEST_WAIT_S = 1.0


async def play(fleet):
    await fleet.start(ROUTES, SERVICES)
    for number in range(ENGINES):
        fleet.add_engine(f"m-{number}", "models", zone=ZONES[number % 3], **ENGINE)
    for number in range(2):
        fleet.add_gateway(f"gateway-{number}")
    await fleet.wait_ready()
    count = 0

    async def turn(program, body, previous=None):
        nonlocal count
        count += 1
        attempt = f"turn-{count}"
        headers = {
            "X-Jayvalve-Program-Id": program, "X-Jayvalve-Session-Id": f"s-{program}",
            "X-Jayvalve-Program-Deadline-Ms": "60000", "X-Jayvalve-Token-Usage": "600,100",
        }
        if previous is not None:
            headers["X-Jayvalve-Previous-Turn"] = previous
        gateway = fleet.gateways[count % 2]
        answer = await call(gateway.front, "/chat/a", attempt, body, headers)
        fleet.note(
            f"{attempt} of {program}, {body!r} after {previous}: status {answer.status}, "
            f"whole {answer.whole}, retry-after {answer.headers.get('retry-after')} "
            f"{answer.body[:200]!r}"
        )
        return attempt, answer

    # Each customer has a conversation of its own; its first turn is answered whole.
    first = {}
    for number in range(CUSTOMERS + LATER):
        program = f"customer-{number}"
        attempt, answer = await turn(program, b"I am customer %d and need a tanker" % number)
        if not (answer.status == 200 and answer.whole):
            return f.NOT_RUN
        first[program] = attempt

    async def answer_yes(program):
        return await turn(program, b"yes", first[program])

    programs = list(first)
    victims = []
    for _ in range(20):
        now = [asyncio.ensure_future(answer_yes(program)) for program in programs[:CUSTOMERS]]
        await asyncio.sleep(0.1)
        busy = [engine for engine in fleet.engines if engine.running()]
        if len(busy) == CUSTOMERS:
            victims = busy
            break
        await asyncio.gather(*now)
    if not victims:
        return f.NOT_RUN
    if f.TROUBLE:
        fleet.note(f"these engines end: {[engine.name for engine in victims]}")
        for engine in victims:
            engine.signal(signal.SIGKILL)
    await asyncio.gather(*now)
    if f.TROUBLE:
        # They start again under the ids that they had, with a later birth.
        await asyncio.sleep(3.0)
        for engine in victims:
            engine.process.wait()
            engine.start()
        await asyncio.sleep(0.6)
        for engine in victims:
            engine.announce()
    # The platform, the engines and the gateways are calm for more than stable_window_ms.
    await asyncio.sleep(5.0)
    fleet.note("calm since 5 s")

    async def later(program):
        """Send the turn as a requester does, until it is answered or given up."""
        for _ in range(TRIES):
            attempt, answer = await answer_yes(program)
            if answer.status == 200:
                return True
            await asyncio.sleep(min(LONGEST_WAIT_S, float(answer.headers.get("retry-after", 0.3))))
        return False

    async def newcomer(number):
        _, answer = await turn(f"new-{number}", b"I am new, number %d" % number)
        return answer.status == 200 and answer.whole

    results = await asyncio.gather(
        *(later(program) for program in programs[CUSTOMERS:]),
        *(newcomer(number) for number in range(20)),
    )
    unserved = results[:LATER].count(False)
    new = results[LATER:].count(True)
    print(
        f"{unserved} of {LATER} turns after a kept turn reached no engine in {TRIES} tries; "
        f"{new} of 20 first turns were served"
    )
    return f.BROKEN if unserved and new >= 18 else f.HELD


f.main(__file__, play)
