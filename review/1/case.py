"""An engine sends an event stream without end; the gateway exceeds its memory and is killed."""

import asyncio
import pathlib
import signal

from review.support import fleet as f
from review.support.client import KeptChannel, read_all

# memory_mb of an edge machine.
MEMORY_MB = 170
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
CHANNELS = 12


def resident_mb(process):
    """Return the resident memory of a process in MB, or 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    sizes = [line.split() for line in text.splitlines() if line.startswith("RssAnon:")]
    return int(sizes[0][1]) / 1024 if sizes else 0.0


async def play(fleet):
    await fleet.start(ROUTES, SERVICES)
    endless = fleet.folder / "endless"
    for number in range(7):
        fleet.add_engine(
            f"m-{number}", "models", streaming=True, events=5, gap_ms=20,
            endless_file=str(endless), endless_bytes=60_000,
        )
    for number in range(4):
        fleet.add_engine(f"t-{number}", "tools", gap_ms=250, slots=6)
    for number in range(2):
        fleet.add_gateway(f"gateway-{number}")
    await fleet.wait_ready()
    stop = asyncio.Event()
    unanswered, killed = [], []
    most = dict.fromkeys((gateway.name for gateway in fleet.gateways), 0.0)

    async def platform(gateway):
        """Kill a process that exceeds its memory, as the platform does."""
        while not stop.is_set():
            size = resident_mb(gateway.process)
            most[gateway.name] = max(most[gateway.name], size)
            if size > MEMORY_MB and gateway.process.poll() is None:
                fleet.note(f"{gateway.name} uses {size:.0f} MB of {MEMORY_MB} and is killed")
                killed.append(gateway.name)
                gateway.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def charges(number):
        gateway = fleet.gateways[number % 2]
        channel = KeptChannel(gateway.front)
        turn = 0
        while not stop.is_set() and gateway.name not in killed:
            turn += 1
            attempt = f"charge-{number}-{turn}"
            answer = await channel.call("/charge/a", attempt, b"pay")
            fleet.note(f"{attempt} at {gateway.name}: {answer.status} {answer.error}")
            if answer.status == 0:
                unanswered.append(attempt)

    async def advice(number):
        for turn in range(10):
            running = [each for each in fleet.gateways if each.name not in killed]
            if not running:
                return
            attempt = f"advice-{number}-{turn}"
            gateway = running[turn % len(running)]
            status, size, whole = await asyncio.to_thread(
                read_all, gateway.front, "/advice/a", attempt, b"where?"
            )
            fleet.note(f"{attempt} at {gateway.name}: {status}, {size} bytes, whole {whole}")
            await asyncio.sleep(0.2)

    others = [asyncio.ensure_future(platform(gateway)) for gateway in fleet.gateways]
    others += [asyncio.ensure_future(charges(number)) for number in range(CHANNELS)]
    await asyncio.sleep(1.5)
    if f.TROUBLE:
        fleet.note("the next stream of any engine has no end")
        endless.touch()
    await asyncio.gather(*(advice(number) for number in range(6)))
    stop.set()
    await asyncio.gather(*others)
    ran = {run["attempt"] for e in fleet.engines if e.service == "tools" for run in e.runs()}
    lost = [attempt for attempt in unanswered if attempt in ran]
    sizes = ", ".join(f"{name} {size:.0f} MB" for name, size in most.items())
    fleet.note(f"passed on to a sound engine and not answered: {lost}")
    print(f"most memory: {sizes}; killed: {killed}; {len(lost)} charges ran without an answer")
    return f.BROKEN if len(lost) > 3 else f.HELD


f.main(__file__, play)
