"""A gateway is killed while it relays a stream that has neither a length nor chunks."""

import asyncio
import pathlib

from review.support2.case import Record, run_case
from review.support2.engine import Engine
from review.support2.fleet import MODELS, Fleet, configuration
from review.support2.http import Channel, Message, events_of

EVENTS = 6
EVENT_S = 0.1
# garble: share (.5) of the servers, x (.02) of their answers: one answer in at least 50.
FRAMED_BEFORE = 50
ROUNDS = 3
KILL_AFTER_EVENTS = 3
TURN_RETENTION_S = 60.0


async def work(record: Record, folder: pathlib.Path, trouble: bool) -> list[str]:
    """Take turns; in some, kill the gateway while the stream is under way."""
    fleet = Fleet(folder)
    route = {
        "name": "chat",
        "path_prefix": "/chat/",
        "type": "streaming",
        "service": "model-pool",
        "retained": True,
        "retention_s": TURN_RETENTION_S,
    }
    engines = [
        Engine(f"model-{number}", "model-pool", events=EVENTS, event_s=EVENT_S)
        for number in range(1, 5)
    ]
    count = 0

    async def turn(port: int, previous: str | None = None) -> tuple[str, Message]:
        nonlocal count
        count += 1
        name = f"turn-{count}"
        headers = {
            "Host": "shop.example",
            "X-Jayvalve-Attempt-Id": name,
            "X-Jayvalve-Token-Usage": "100,78",
            "X-Jayvalve-Deadline-Ms": "3000",
        }
        if previous is not None:
            headers["X-Jayvalve-Previous-Turn"] = previous
        channel = Channel(port)
        answer = await channel.ask("POST", "/chat/say", headers, b"how is the water?")
        channel.close()
        return name, answer

    broken: list[str] = []
    try:
        await fleet.start(configuration([route], [MODELS]), engines, gateways=2)
        first, second = fleet.gateways
        for number in range(1, ROUNDS + 1):
            # Streams with chunks, until each engine may send one without.
            wanted = number * FRAMED_BEFORE
            while min(each.streams for each in engines) < wanted:
                answers = await asyncio.gather(
                    *(turn(each.port) for each in (first, second) for _ in range(12))
                )
                if any(answer.status != 200 or not answer.whole for _, answer in answers):
                    raise RuntimeError("an ordinary stream was not served")
            for engine in engines:
                engine.unframed_next = True
            task = asyncio.ensure_future(turn(first.port))
            await asyncio.sleep((KILL_AFTER_EVENTS + 0.5) * EVENT_S)
            if trouble:
                record.note(f"kill {first.name} while it relays turn-{count}")
                await first.kill()
            name, answer = await task
            for engine in engines:
                engine.unframed_next = False
            events = events_of(answer.body)
            expected = [f"{name}/{each}" for each in range(1, EVENTS + 1)]
            framing = [
                each for each in ("content-length", "transfer-encoding") if each in answer.headers
            ]
            record.note(
                f"{name}: status {answer.status}, framing {framing or 'none'}, "
                f"{'ended in order' if answer.whole else 'broken off'} after {len(events)} of "
                f"{EVENTS} events {answer.error}"
            )
            looks_whole = answer.status == 200 and answer.whole and answer.body.endswith(b"\n\n")
            if looks_whole and events != expected:
                broken.append(
                    f"ORDER: {name} ended in order, as complete, after {len(events)} of its "
                    f"{EVENTS} events"
                )
            if trouble:
                await first.start()
                await first.wait_ready()
                await asyncio.sleep(2.0)
            if looks_whole:
                after, answer = await turn(second.port, previous=name)
                record.note(f"{after}, which continues {name}: status {answer.status}")
                if answer.status in (404, 410):
                    broken.append(
                        f"LOST: {after} was answered {answer.status}; it names {name}, which its "
                        "requester has seen end as complete"
                    )
    finally:
        await fleet.stop()
    return broken


run_case(__file__, work)
