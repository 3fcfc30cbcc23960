"""An engine does the work of a charge and reports its failure with 503."""

import asyncio
import pathlib
import random

from review.support2.case import Record, run_case
from review.support2.engine import Engine
from review.support2.fleet import TOOLS, Fleet, configuration
from review.support2.http import Channel, Message

ORDERS = 800
REQUESTERS = 8
PAUSE_S = 0.1
# The site's mean work of a charge.
WORK_S = 0.06
RETRIES = 2
LIMIT_MS = 1500
# srv_grey: share (.15) of a service's servers fail x (.4) of their requests; one of four here.
ENGINES = 4
FAILING = 1
FAILED_SHARE = 0.4


async def work(record: Record, folder: pathlib.Path, trouble: bool) -> list[str]:
    """Charge cards, and compare what the requesters were told with what ran."""
    fleet = Fleet(folder)
    route = {
        "name": "charge",
        "path_prefix": "/charge/",
        "type": "non_idempotent",
        "service": "dispatch-app",
        "timeout_ms": LIMIT_MS,
        "target_latency_ms": 250,
    }
    rng = random.Random(1)

    def fails(_: Message) -> bool:
        return trouble and rng.random() < FAILED_SHARE

    engines = [
        Engine(
            f"app-{number}",
            "dispatch-app",
            event_s=WORK_S,
            fails=fails if number <= FAILING else lambda _: False,
        )
        for number in range(1, ENGINES + 1)
    ]
    told: dict[str, tuple[int, bool]] = {}
    orders: dict[str, list[str]] = {}
    waiting = list(range(ORDERS))

    async def requester(port: int) -> None:
        while waiting:
            order = f"order-{waiting.pop(0)}"
            orders[order] = []
            for number in range(RETRIES + 1):
                attempt = f"{order}.{number}"
                orders[order].append(attempt)
                headers = {
                    "Host": "shop.example",
                    "X-Jayvalve-Attempt-Id": attempt,
                    "X-Jayvalve-Deadline-Ms": str(LIMIT_MS),
                }
                channel = Channel(port)
                answer = await channel.ask("POST", "/charge/card", headers, order.encode())
                channel.close()
                signed = "x-jayvalve-server-signature" in answer.headers
                told[attempt] = answer.status, signed
                if answer.status != 200:
                    stated = "x-jayvalve-not-executed" in answer.headers
                    record.note(
                        f"{attempt}: status {answer.status}, signature {signed}, "
                        f"not-executed {stated}"
                    )
                # A request that isn't idempotent is sent again only after a promise.
                if answer.status not in (408, 421, 429, 503):
                    break
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))
            await asyncio.sleep(PAUSE_S)

    try:
        await fleet.start(configuration([route], [TOOLS]), engines, gateways=2)
        await asyncio.gather(
            *(requester(fleet.gateways[each % 2].port) for each in range(REQUESTERS))
        )
    finally:
        await fleet.stop()
    runs: dict[str, int] = {}
    for engine in engines:
        for attempt, _, _ in engine.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
    record.note(f"{len(runs)} attempts at {ORDERS} orders ran")
    broken = [
        f"TWICE: {attempt} ran {count} times" for attempt, count in runs.items() if count > 1
    ]
    for attempt, (status, signed) in told.items():
        if status in (408, 421, 429, 503) and runs.get(attempt):
            order = attempt.partition(".")[0]
            charged = sum(each in runs for each in orders[order])
            broken.append(
                f"REFUSED: {attempt} was answered {status} (signature {signed}) and has run; "
                f"{order} was charged {charged} times"
            )
    return broken


run_case(__file__, work)
