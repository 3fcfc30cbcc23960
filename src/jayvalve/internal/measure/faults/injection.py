"""Faults that a schedule can inject, registered by kind."""

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

MAX_REPLACE_DELAY_S = 6.0
# Longer than the time after which a member is considered dead, so that a takeover happens.
LONG_PAUSE_RANGE_S = (3.5, 9.0)
FOREVER_S = float("inf")


def _pick_process(world: "World", rng: random.Random, role: str) -> Process | None:
    candidates = [
        process for process in world.active_processes(role) if process.drain_started_s is None
    ]
    return rng.choice(candidates) if candidates else None


def _pick_host_pair(world: "World", rng: random.Random) -> tuple[str, str]:
    first, second = rng.sample([site.instance for site in world.sites], 2)
    return first, second


def _kill(world: "World", rng: random.Random, role: str) -> None:
    process = _pick_process(world, rng, role)
    if process is None:
        return
    delay_s = rng.uniform(0.2, MAX_REPLACE_DELAY_S)
    world.record_disturbance("kill", delay_s, process.site.instance)
    process.kill(machine_failed=rng.random() < 0.4)
    world.call_later(delay_s, world.replace, process)


def _pause(world: "World", rng: random.Random, role: str) -> None:
    process = _pick_process(world, rng, role)
    if process is None:
        return
    seconds = rng.uniform(*LONG_PAUSE_RANGE_S) if rng.random() < 0.6 else rng.uniform(0.3, 2.5)
    world.record_disturbance("pause", seconds, process.site.instance)
    process.host.pause()
    world.call_later(seconds, _resume, process)


def _resume(process: Process) -> None:
    if process.host.paused:
        process.host.resume()


def _stop(world: "World", rng: random.Random, role: str) -> None:
    process = _pick_process(world, rng, role)
    if process is None:
        return
    replace_delay_s = rng.uniform(0.0, MAX_REPLACE_DELAY_S)

    async def stop() -> None:
        await process.stop()
        world.call_later(replace_delay_s, world.replace, process)

    world.record_disturbance("stop", 5.0, process.site.instance)
    process.host.spawn(stop())


@FAULTS.register("kill_entry")
def kill_entry(world: "World", rng: random.Random) -> None:
    """Kill an entry immediately and replace it after a delay."""
    _kill(world, rng, "entry")


@FAULTS.register("kill_sidecar")
def kill_sidecar(world: "World", rng: random.Random) -> None:
    """Kill a sidecar immediately and replace it after a delay; its endpoint keeps running."""
    _kill(world, rng, "sidecar")


@FAULTS.register("pause_entry")
def pause_entry(world: "World", rng: random.Random) -> None:
    """Pause an entry for a random period."""
    _pause(world, rng, "entry")


@FAULTS.register("pause_sidecar")
def pause_sidecar(world: "World", rng: random.Random) -> None:
    """Pause a sidecar for a random period."""
    _pause(world, rng, "sidecar")


@FAULTS.register("stop_entry")
def stop_entry(world: "World", rng: random.Random) -> None:
    """Perform a planned stop of an entry and replace it."""
    _stop(world, rng, "entry")


@FAULTS.register("stop_sidecar")
def stop_sidecar(world: "World", rng: random.Random) -> None:
    """Perform a planned stop of a sidecar and replace it."""
    _stop(world, rng, "sidecar")


@FAULTS.register("cut_link")
def cut_link(world: "World", rng: random.Random) -> None:
    """Cut the link between two hosts, sometimes in one direction only."""
    first, second = _pick_host_pair(world, rng)
    seconds = rng.uniform(0.5, 8.0)
    until_s = world.loop.time() + seconds
    world.record_disturbance("link", seconds, first, second)
    world.network.block(first, second, until_s)
    if rng.random() < 0.7:
        world.network.block(second, first, until_s)


@FAULTS.register("cut_off")
def cut_off(world: "World", rng: random.Random) -> None:
    """Cut the links between a host and all others."""
    host = rng.choice(world.sites).instance
    seconds = rng.uniform(0.5, 8.0)
    until_s = world.loop.time() + seconds
    world.record_disturbance("link", seconds, host)
    for site in world.sites:
        if site.instance != host:
            world.network.block(host, site.instance, until_s)
            world.network.block(site.instance, host, until_s)


@FAULTS.register("slow_link")
def slow_link(world: "World", rng: random.Random) -> None:
    """Delay the traffic between two hosts in both directions."""
    first, second = _pick_host_pair(world, rng)
    seconds = rng.uniform(1.0, 8.0)
    until_s, delay_s = world.loop.time() + seconds, rng.choice((0.05, 0.3, 1.0))
    world.record_disturbance("link", seconds, first, second)
    world.network.slow(first, second, delay_s, until_s)
    world.network.slow(second, first, delay_s, until_s)


@FAULTS.register("stall_connection")
def stall_connection(world: "World", rng: random.Random) -> None:
    """Stall the connections between two hosts; their data may arrive after a reconnection."""
    first, second = _pick_host_pair(world, rng)
    seconds = FOREVER_S if rng.random() < 0.4 else rng.uniform(1.0, 7.0)
    world.record_disturbance("stall", min(seconds, 10.0), first, second)
    for stream in world.network.streams_between(first, second):
        stream.stall(world.loop.time() + seconds)


@FAULTS.register("reset_connection")
def reset_connection(world: "World", rng: random.Random) -> None:
    """Reset the connections between two hosts."""
    first, second = _pick_host_pair(world, rng)
    world.record_disturbance("reset", 0.5, first, second)
    for stream in world.network.streams_between(first, second):
        stream.reset()


@FAULTS.register("log_down")
def log_down(world: "World", rng: random.Random) -> None:
    """Make the log unavailable."""
    seconds = rng.uniform(0.5, 10.0)
    world.record_disturbance("log", seconds)
    world.log.faults.down_until_s = world.loop.time() + seconds


@FAULTS.register("log_slow")
def log_slow(world: "World", rng: random.Random) -> None:
    """Make the log respond slowly."""
    seconds = rng.uniform(1.0, 10.0)
    world.record_disturbance("log", seconds)
    world.log.faults.slow_until_s = world.loop.time() + seconds


@FAULTS.register("log_loss")
def log_loss(world: "World", rng: random.Random) -> None:
    """Lose responses to appends; such an append may be stored, stored later or never stored."""
    seconds = rng.uniform(2.0, 10.0)
    world.record_disturbance("log", seconds)
    world.log.faults.loss_probability = rng.choice((0.3, 0.7))
    world.log.faults.loss_until_s = world.loop.time() + seconds


@FAULTS.register("list_lag")
def list_lag(world: "World", rng: random.Random) -> None:
    """Increase the delay until readers see a change of the instance list."""
    world.platform.list_lag_s = rng.uniform(4.0, 20.0)


@FAULTS.register("endpoint_hangs")
def endpoint_hangs(world: "World", rng: random.Random) -> None:
    """Make an endpoint accept requests without answering them."""
    endpoint = world.platform.endpoints[rng.choice(sorted(world.platform.endpoints))]
    seconds = rng.uniform(1.0, 12.0)
    world.record_disturbance("hang", seconds, f"sidecar-{endpoint.name}")
    endpoint.hangs_until_s = world.loop.time() + seconds


@FAULTS.register("endpoint_fails")
def endpoint_fails(world: "World", rng: random.Random) -> None:
    """Make an endpoint refuse connections."""
    endpoint = world.platform.endpoints[rng.choice(sorted(world.platform.endpoints))]
    seconds = rng.uniform(1.0, 8.0)
    world.record_disturbance("fail", seconds, f"sidecar-{endpoint.name}")
    endpoint.fails_until_s = world.loop.time() + seconds


@FAULTS.register("flood")
def flood_calls(world: "World", rng: random.Random) -> None:
    """Send far more calls than the engines can run concurrently."""
    rank = rng.choice(("ordinary", "urgent"))
    name = f"flood{int(world.loop.time() * 1000)}"
    world.record_disturbance("flood", 5.0)
    world.spawn(flood(world.callers, rng, name, rng.randint(40, 120), rank))
