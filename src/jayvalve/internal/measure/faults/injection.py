"""The faults that a schedule can inject, by kind."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from jayvalve.internal.measure.faults.processes import Process
from jayvalve.internal.measure.faults.programs import flood
from jayvalve.internal.registry import Registry

if TYPE_CHECKING:
    from jayvalve.internal.measure.faults.world import World

__all__ = ["FAULTS"]

FAULTS: Registry[Callable[["World", random.Random], None]] = Registry("fault")

MAX_REPLACE_S = 6.0
# Longer than the time after which a member counts as dead, so that a takeover happens.
LONG_PAUSE_S = (3.5, 9.0)
FOREVER_S = float("inf")


def _pick(world: "World", rng: random.Random, role: str) -> Process | None:
    found = [process for process in world.live(role) if process.drain_started_s is None]
    return rng.choice(found) if found else None


def _pair(world: "World", rng: random.Random) -> tuple[str, str]:
    one, other = rng.sample([site.instance for site in world.sites], 2)
    return one, other


def _kill(world: "World", rng: random.Random, role: str) -> None:
    process = _pick(world, rng, role)
    if process is None:
        return
    delay_s = rng.uniform(0.2, MAX_REPLACE_S)
    world.disturb("kill", delay_s, process.site.instance)
    process.end(machine=rng.random() < 0.4)
    world.after(delay_s, world.replace, process)


def _pause(world: "World", rng: random.Random, role: str) -> None:
    process = _pick(world, rng, role)
    if process is None:
        return
    seconds = rng.uniform(*LONG_PAUSE_S) if rng.random() < 0.6 else rng.uniform(0.3, 2.5)
    world.disturb("pause", seconds, process.site.instance)
    process.host.pause()
    world.after(seconds, _resume, process)


def _resume(process: Process) -> None:
    if process.host.paused:
        process.host.resume()


def _stop(world: "World", rng: random.Random, role: str) -> None:
    process = _pick(world, rng, role)
    if process is None:
        return
    replace_s = rng.uniform(0.0, MAX_REPLACE_S)

    async def stop() -> None:
        await process.stop()
        world.after(replace_s, world.replace, process)

    world.disturb("stop", 5.0, process.site.instance)
    process.host.spawn(stop())


@FAULTS.register("kill_entry")
def kill_entry(world: "World", rng: random.Random) -> None:
    """End an entry at once and replace it."""
    _kill(world, rng, "entry")


@FAULTS.register("kill_sidecar")
def kill_sidecar(world: "World", rng: random.Random) -> None:
    """End a sidecar at once and replace it; its endpoint lives on."""
    _kill(world, rng, "sidecar")


@FAULTS.register("pause_entry")
def pause_entry(world: "World", rng: random.Random) -> None:
    """Freeze an entry for a while."""
    _pause(world, rng, "entry")


@FAULTS.register("pause_sidecar")
def pause_sidecar(world: "World", rng: random.Random) -> None:
    """Freeze a sidecar for a while."""
    _pause(world, rng, "sidecar")


@FAULTS.register("stop_entry")
def stop_entry(world: "World", rng: random.Random) -> None:
    """Stop an entry as planned and replace it."""
    _stop(world, rng, "entry")


@FAULTS.register("stop_sidecar")
def stop_sidecar(world: "World", rng: random.Random) -> None:
    """Stop a sidecar as planned and replace it."""
    _stop(world, rng, "sidecar")


@FAULTS.register("cut_link")
def cut_link(world: "World", rng: random.Random) -> None:
    """Cut the link between two hosts, sometimes in one direction only."""
    one, other = _pair(world, rng)
    seconds = rng.uniform(0.5, 8.0)
    until_s = world.loop.time() + seconds
    world.disturb("link", seconds, one, other)
    world.network.block(one, other, until_s)
    if rng.random() < 0.7:
        world.network.block(other, one, until_s)


@FAULTS.register("cut_off")
def cut_off(world: "World", rng: random.Random) -> None:
    """Cut a host off from all others."""
    host = rng.choice(world.sites).instance
    seconds = rng.uniform(0.5, 8.0)
    until_s = world.loop.time() + seconds
    world.disturb("link", seconds, host)
    for site in world.sites:
        if site.instance != host:
            world.network.block(host, site.instance, until_s)
            world.network.block(site.instance, host, until_s)


@FAULTS.register("slow_link")
def slow_link(world: "World", rng: random.Random) -> None:
    """Delay what two hosts send to each other."""
    one, other = _pair(world, rng)
    seconds = rng.uniform(1.0, 8.0)
    until_s, delay_s = world.loop.time() + seconds, rng.choice((0.05, 0.3, 1.0))
    world.disturb("link", seconds, one, other)
    world.network.slow(one, other, delay_s, until_s)
    world.network.slow(other, one, delay_s, until_s)


@FAULTS.register("stall_connection")
def stall_connection(world: "World", rng: random.Random) -> None:
    """Let an open connection go silent; what it holds may arrive late, after a reconnection."""
    one, other = _pair(world, rng)
    seconds = FOREVER_S if rng.random() < 0.4 else rng.uniform(1.0, 7.0)
    world.disturb("stall", min(seconds, 10.0), one, other)
    for stream in world.network.streams_between(one, other):
        stream.stall(world.loop.time() + seconds)


@FAULTS.register("reset_connection")
def reset_connection(world: "World", rng: random.Random) -> None:
    """Close the connections between two hosts."""
    one, other = _pair(world, rng)
    world.disturb("reset", 0.5, one, other)
    for stream in world.network.streams_between(one, other):
        stream.reset()


@FAULTS.register("log_down")
def log_down(world: "World", rng: random.Random) -> None:
    """Take the log down."""
    seconds = rng.uniform(0.5, 10.0)
    world.disturb("log", seconds)
    world.log.faults.down_until_s = world.loop.time() + seconds


@FAULTS.register("log_slow")
def log_slow(world: "World", rng: random.Random) -> None:
    """Slow the log down."""
    seconds = rng.uniform(1.0, 10.0)
    world.disturb("log", seconds)
    world.log.faults.slow_until_s = world.loop.time() + seconds


@FAULTS.register("log_loss")
def log_loss(world: "World", rng: random.Random) -> None:
    """Lose answers of the log; some of the appends land later."""
    seconds = rng.uniform(2.0, 10.0)
    world.disturb("log", seconds)
    world.log.faults.loss = rng.choice((0.3, 0.7))
    world.log.faults.loss_until_s = world.loop.time() + seconds


@FAULTS.register("list_lag")
def list_lag(world: "World", rng: random.Random) -> None:
    """Let the instance list lag behind."""
    world.platform.list_lag_s = rng.uniform(4.0, 20.0)


@FAULTS.register("endpoint_hangs")
def endpoint_hangs(world: "World", rng: random.Random) -> None:
    """Let an endpoint take requests and not answer."""
    endpoint = world.platform.endpoints[rng.choice(sorted(world.platform.endpoints))]
    seconds = rng.uniform(1.0, 12.0)
    world.disturb("hang", seconds, f"sidecar-{endpoint.name}")
    endpoint.hangs_until_s = world.loop.time() + seconds


@FAULTS.register("endpoint_fails")
def endpoint_fails(world: "World", rng: random.Random) -> None:
    """Let an endpoint refuse connections."""
    endpoint = world.platform.endpoints[rng.choice(sorted(world.platform.endpoints))]
    seconds = rng.uniform(1.0, 8.0)
    world.disturb("fail", seconds, f"sidecar-{endpoint.name}")
    endpoint.fails_until_s = world.loop.time() + seconds


@FAULTS.register("flood")
def flood_calls(world: "World", rng: random.Random) -> None:
    """Send far more calls than the engines can run."""
    rank = rng.choice(("ordinary", "urgent"))
    name = f"flood{int(world.loop.time() * 1000)}"
    world.disturb("flood", 5.0)
    world.spawn(flood(world.callers, rng, name, rng.randint(40, 120), rank))
