"""Faults of the soak test, injected from outside the processes."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

import attrs

from jayvalve.internal.registry import Registry
from tests.soak.fleet import Fleet
from tests.soak.proxy import LinkFault

__all__ = ["FAULTS", "inject"]

Fault = Callable[[Fleet, random.Random, float], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("store_away")
async def store_away(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Make the store unavailable: it closes connections or leaves calls unanswered."""
    fleet.store.faults.set({"mode": rng.choice(["down", "hang"])})
    await asyncio.sleep(seconds)
    fleet.store.faults.set({"mode": "none"})


@FAULTS.register("store_loses_answers")
async def store_loses_answers(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Make the store process some calls without answering them."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        fleet.store.faults.set({"mode": "lose_answers", "count": rng.randrange(1, 6)})
        await asyncio.sleep(0.1)
    fleet.store.faults.set({"mode": "none"})


@FAULTS.register("store_slow")
async def store_slow(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Delay appends, which may take effect after their callers have timed out."""
    fleet.store.late_s = rng.uniform(0.1, 0.8)
    await asyncio.sleep(seconds)
    fleet.store.late_s = 0.0


@FAULTS.register("store_link")
async def store_link(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Delay or refuse the connections of some gateways to the store, or drop their data."""
    links = [node.store_link for node in fleet.gateways if rng.random() < 0.5]
    fault = rng.choice(
        [LinkFault.SILENT, LinkFault.LOSE_ANSWERS, LinkFault.REFUSE, LinkFault.DELAY]
    )
    for link in links:
        link.fault = fault
        if fault is LinkFault.REFUSE:
            link.reset()
    await asyncio.sleep(seconds)
    for link in links:
        link.fault = LinkFault.NONE
        link.reset()


@FAULTS.register("engine_link")
async def engine_link(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Delay or reset the connections of an engine, or drop data in one or both directions."""
    link = rng.choice(list(fleet.engine_links.values()))
    link.fault = rng.choice([LinkFault.SILENT, LinkFault.LOSE_ANSWERS, LinkFault.DELAY])
    if rng.random() < 0.5:
        link.reset()
    await asyncio.sleep(seconds)
    link.fault = LinkFault.NONE
    link.reset()


@FAULTS.register("engine_faults")
async def engine_faults(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Make an engine cut off, lose, fail or duplicate a share of its answers."""
    engine = rng.choice(list(fleet.engines.values()))
    name = rng.choice(["break_share", "lose_share", "error_share", "extra_share"])
    engine.settings = attrs.evolve(engine.settings, **{name: rng.uniform(0.1, 0.6)})
    await asyncio.sleep(seconds)
    engine.settings = attrs.evolve(engine.settings, **{name: 0.0})


@FAULTS.register("engine_leaves")
async def engine_leaves(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Announce an engine as draining, then as ready again."""
    name = rng.choice(list(fleet.engines))
    fleet.announce(name, "draining")
    await asyncio.sleep(seconds)
    fleet.announce(name, "ready")


@FAULTS.register("history_dropped")
async def history_dropped(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Drop the history of the operator's and engines' records; the newest of each key stays."""
    fleet.publish()
    for topic in ("keyed.op", "keyed.servers"):
        fleet.store.forget(topic)
    await asyncio.sleep(seconds / 2)


@FAULTS.register("configurations")
async def configurations(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Publish configurations in quick succession."""
    for _ in range(5):
        fleet.publish()
        await asyncio.sleep(seconds / 5)


@FAULTS.register("gateway_killed")
async def gateway_killed(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Kill and restart a gateway once or twice."""
    node = rng.choice(fleet.gateways)
    for _ in range(rng.choice([1, 1, 2])):
        await node.restart(planned=False)
        await asyncio.sleep(rng.uniform(0.0, seconds / 2))


@FAULTS.register("gateway_stopped")
async def gateway_stopped(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Restart a gateway with a planned stop."""
    await rng.choice(fleet.gateways).restart(planned=True)


@FAULTS.register("gateway_paused")
async def gateway_paused(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Pause a gateway, which then continues with outdated state."""
    node = rng.choice(fleet.gateways)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.signal(signal.SIGCONT)


@FAULTS.register("gateway_hup")
async def gateway_hup(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Send SIGHUP several times, so that gateways reload their settings."""
    for _ in range(3):
        rng.choice(fleet.gateways).signal(signal.SIGHUP)
        await asyncio.sleep(seconds / 6)


@FAULTS.register("all_killed")
async def all_killed(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Kill and restart all gateways at the same time."""
    await asyncio.gather(*(node.restart(planned=False) for node in fleet.gateways))


async def _inject_partition_outages(fleet: Fleet, rng: random.Random, end: float) -> None:
    """Make changing subsets of the store's partitions refuse calls.

    Ends when the clock of the event loop reaches the given time.
    """
    loop = asyncio.get_running_loop()
    partitions = range(fleet.store.settings.parts)
    while True:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        seconds = min(rng.uniform(0.3, 2.0), end - loop.time())
        if seconds <= 0:
            return
        fleet.store.away_parts = frozenset(
            rng.sample(partitions, rng.randint(1, len(partitions) // 2))
        )
        await asyncio.sleep(seconds)
        fleet.store.away_parts = frozenset()


async def _change_engine_states(fleet: Fleet, rng: random.Random, end: float) -> None:
    """Make engines name a limit, announce their end in answers, or end because of a request.

    Ends when the clock of the event loop reaches the given time.
    """
    loop = asyncio.get_running_loop()
    while (remaining_s := end - loop.time()) > 0:
        await asyncio.sleep(min(rng.uniform(0.2, 1.5), remaining_s))
        name = rng.choice(sorted(fleet.engines))
        engine = fleet.engines[name]
        change = rng.choice(["limit", "leave", "crash"])
        seconds = rng.uniform(0.3, 2.5)
        if change == "limit":
            engine.settings = attrs.evolve(engine.settings, limit_per_s=rng.uniform(0.0, 8.0))
        elif change == "leave":
            engine.settings = attrs.evolve(engine.settings, leaving=True)
        else:
            await fleet.crash_engine(name, seconds / 2)
        await asyncio.sleep(min(seconds, max(0.0, end - loop.time())))
        engine.settings = attrs.evolve(engine.settings, limit_per_s=None, leaving=False)
        if change == "leave":
            fleet.restart_engine(name)


async def inject(
    fleet: Fleet, rng: random.Random, seconds: float, partitions_seed: str
) -> list[str]:
    """Inject overlapping series of faults; return the names of those drawn from FAULTS.

    The names are in the order in which the faults began. Partition outages and changes of the
    engines' states, each a series of its own, are not included.

    Args:
        fleet: Fleet to inject the faults into.
        rng: Source of the random choice of faults.
        seconds: How long to inject faults.
        partitions_seed: Seed of the partition outages and of the engines' states. It is separate
            from rng, so that seeds that failed before these were added still draw the same faults.

    """
    names: list[str] = []
    end = asyncio.get_running_loop().time() + seconds

    async def series() -> None:
        while (now := asyncio.get_running_loop().time()) < end:
            name = rng.choice(FAULTS.names)
            names.append(name)
            await FAULTS.get(name)(fleet, rng, min(rng.uniform(0.3, 2.0), max(0.1, end - now)))
            await asyncio.sleep(rng.uniform(0.0, 0.5))

    outages = _inject_partition_outages(fleet, random.Random(partitions_seed), end)
    states = _change_engine_states(fleet, random.Random(f"{partitions_seed}/engines"), end)
    await asyncio.gather(series(), series(), outages, states)
    return names
