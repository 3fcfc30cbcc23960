"""A request that crashes engines comes again after all gateways were killed."""

import asyncio
import pathlib

from review.support2.case import Record, run_case
from review.support2.engine import Engine
from review.support2.fleet import MODELS, Fleet, configuration
from review.support2.http import Channel

DEADLY = b"this input crashes the engine"
ENGINES = 5
STABLE_WINDOW_S = 3.0
PAUSE_S = 0.4
KILLS = 2


async def work(record: Record, folder: pathlib.Path, trouble: bool) -> list[str]:
    """Send the request again and again, and count the engines that it reaches."""
    fleet = Fleet(folder)
    route = {
        "name": "advice",
        "path_prefix": "/advice/",
        "type": "streaming",
        "service": "model-pool",
        "resumable": True,
    }
    engines = [
        Engine(f"model-{number}", "model-pool", events=6, deadly=DEADLY)
        for number in range(1, ENGINES + 1)
    ]
    loop = asyncio.get_running_loop()
    count = 0

    def reached() -> int:
        return sum(DEADLY in body for engine in engines for _, _, body in engine.runs)

    async def send(body: bytes) -> int:
        nonlocal count
        count += 1
        gateway = fleet.gateways[count % len(fleet.gateways)]
        headers = {
            "Host": "shop.example",
            "X-Jayvalve-Attempt-Id": f"attempt-{count}",
            "X-Jayvalve-Program-Id": "program-1",
            "X-Jayvalve-Token-Usage": "100,78",
            "X-Jayvalve-Deadline-Ms": "3000",
        }
        before = reached()
        channel = Channel(gateway.port)
        answer = await channel.ask("POST", "/advice/say", headers, body)
        channel.close()
        record.note(
            f"attempt-{count} to {gateway.name}: status {answer.status}, reached "
            f"{reached() - before} engines, {sum(each.crashes for each in engines)} crashes so far"
        )
        return answer.status

    async def repeat(seconds: float) -> None:
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            await send(DEADLY)
            await asyncio.sleep(PAUSE_S)

    try:
        await fleet.start(configuration([route], [MODELS]), engines, gateways=3)
        if await send(b"ordinary input") != 200:
            raise RuntimeError("an ordinary request was not served")
        while sum(each.crashes for each in engines) < 3:
            if loop.time() > 1e9 or count > 60:
                raise RuntimeError("the request did not crash three engines")
            await send(DEADLY)
            await asyncio.sleep(PAUSE_S)
        third_s = loop.time()
        record.note("the third engine has crashed")
        await asyncio.sleep(third_s + STABLE_WINDOW_S + 1.0 - loop.time())
        known = reached()
        await repeat(4.0)
        for _ in range(KILLS):
            if trouble:
                record.note("kill all gateways")
                await asyncio.gather(*(each.kill() for each in fleet.gateways))
                for each in fleet.gateways:
                    await each.start()
                for each in fleet.gateways:
                    await each.wait_ready()
                record.note("all gateways are ready again")
            # Machines are in touch again after this time without a disruption.
            await asyncio.sleep(STABLE_WINDOW_S + 1.5)
            await repeat(10.0)
        retries = reached() - known
    finally:
        await fleet.stop()
    record.note(f"{retries} retries reached engines since the third crash")
    if retries > 3:
        return [
            f"BUDGET: the request reached engines in {retries} retries, sent by machines in touch "
            f"later than {STABLE_WINDOW_S:g} s after it had crashed the third"
        ]
    return []


run_case(__file__, work)
