"""Entries and sidecars that run on simulated hosts.

The classes EntryProcess and SidecarProcess run unchanged. Only what touches the operating
system is replaced: sockets, the log's HTTP client and the endpoint's adapter.
"""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from jayvalve.internal.configuration import Renewal
from jayvalve.internal.engines import ENGINE_ADAPTERS
from jayvalve.internal.entry import app as entry_app
from jayvalve.internal.entry.app import EntryProcess
from jayvalve.internal.limits import RetryPolicy
from jayvalve.internal.measure.faults.endpoints import SimulatedAdapter, SimulatedEndpoint
from jayvalve.internal.measure.faults.log import CONFIG_RETENTION_S, SimulatedLog
from jayvalve.internal.measure.faults.network import Network
from jayvalve.internal.measure.faults.virtual_time import SimulatedHost, current_host
from jayvalve.internal.membership import Detector, HeartbeatSource, Member, MembershipView
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.runtime import INCARNATION_RESOLUTION_PER_S, LIVE, Runtime
from jayvalve.internal.settings import EndpointSettings, Settings
from jayvalve.internal.sidecar import app as sidecar_app
from jayvalve.internal.sidecar.app import SidecarProcess
from jayvalve.internal.sidecar.release import EngineMemory
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import HandlerTable, PeerPool, PeerServer
from jayvalve.internal.transport import connection as connection_module
from jayvalve.internal.wire.messages import Hello

__all__ = ["Platform", "Process", "Site", "installed"]

LIST_POLL_S = 2.0
ADAPTER = "simulated"
# The sweep of engine memory runs more often than in production, so that a schedule stays short.
MEMORY_IDLE_S = 4.0
MEMORY_SWEEP_S = 2.0
DRAIN_S = 20.0
BALANCER_DELAY_S = 0.5

ENGINE_ADAPTERS.register(ADAPTER)(SimulatedAdapter)


class Platform:
    """What the processes find outside: network, log, endpoints and the instance list."""

    def __init__(self, network: Network, log: SimulatedLog) -> None:
        self.network = network
        self.log = log
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.list_lag_s = 1.0
        self._listed: list[tuple[float, list[Member]]] = []

    def publish_list(self, members: list[Member]) -> None:
        """Change the instance list; readers see it after the lag."""
        self._listed.append((self.network.loop.time(), members))

    def instance_list(self) -> list[Member]:
        """Return the list as readers see it now."""
        limit_s = self.network.loop.time() - self.list_lag_s
        known = [members for time_s, members in self._listed if time_s <= limit_s]
        return known[-1] if known else []


class SimulatedRuntime(Runtime):
    """A Runtime on the current host."""

    platform: Platform

    def __init__(self, settings: Settings, role: str, clock: Clock | None = None) -> None:
        self._settings = settings
        self._role = role
        self._clock = clock or Clock()
        self._state = LIVE
        self._stack = contextlib.AsyncExitStack()
        self._tasks = set()
        self._log = mock.Mock()
        self._peer_sockets, self._http_sockets = [], []
        self._http_address = settings.http_address
        host = current_host()
        assert host is not None
        self._host = host
        self._identity = Hello(
            settings.instance,
            int(self._clock.wall() * INCARNATION_RESOLUTION_PER_S),
            role,
            settings.data_centre,
            settings.peer_address,
        )
        self.handlers = HandlerTable()
        self.metrics = Metrics()
        self.view = MembershipView(self._identity)
        self.pool = PeerPool(self._identity, self._clock)

    async def open(
        self,
        application: Any,
        source: HeartbeatSource,
        listener: Any = None,
        ssl_options: Any = None,
    ) -> None:
        """Listen for peers and start the failure detector."""
        detector = Detector(
            self._identity,
            self.view,
            self.pool,
            self._clock,
            source=source,
            seeds=self._settings.seeds,
            listener=listener,
        )
        detector.register(self.handlers)
        self._stack.push_async_callback(self.pool.close)
        server = PeerServer(self._identity, self.handlers)
        network, address = self.platform.network, self._identity.address
        network.listen(address, self._host, server.handle_stream)
        self._stack.push_async_callback(server.close)
        self._stack.callback(network.close_listener, address, self._host)
        self._stack.push_async_callback(self._cancel_tasks)
        self.spawn(detector.run())
        self.spawn(self._poll_list())

    async def _poll_list(self) -> None:
        while True:
            self.view.observe_list(self.platform.instance_list(), self._clock.now())
            await asyncio.sleep(LIST_POLL_S)


class Site:
    """Where a process runs: its instance name, address and data centre."""

    def __init__(
        self, instance: str, role: str, centre: str, number: int, endpoint: str = ""
    ) -> None:
        self.instance = instance
        self.role = role
        self.centre = centre
        self.address = f"10.0.0.{number}:7000"
        self.endpoint = endpoint

    def settings(self, seeds: list[str]) -> Settings:
        """Return the settings of the process."""
        endpoint = None
        if self.endpoint:
            endpoint = EndpointSettings(self.endpoint, ADAPTER, f"http://{self.endpoint}", 8, 100)
        return Settings(
            self.instance,
            self.centre,
            self.address,
            self.address,
            seeds=seeds,
            log_url="http://log",
            endpoint=endpoint,
            drain_seconds=DRAIN_S,
            balancer_delay_seconds=BALANCER_DELAY_S,
        )


class Process:
    """One lifetime of an entry or a sidecar."""

    def __init__(self, site: Site, seeds: list[str], platform: Platform) -> None:
        loop = platform.network.loop
        self._platform = platform
        self.site = site
        self.host = SimulatedHost(site.instance, loop)
        self.started_s = loop.time()
        self.drain_started_s: float | None = None
        self.stop_started_s: float | None = None
        self.ended_s: float | None = None
        build = EntryProcess if site.role == "entry" else SidecarProcess
        self.program: Any = self.host.run(build, site.settings(seeds))
        self.host.spawn(self.program.start())

    @property
    def running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self.host.alive

    @property
    def accepts_callers(self) -> bool:
        """Whether the balancer sends callers here."""
        return self.running and self.drain_started_s is None

    def version(self) -> int:
        """Return the configuration version that /status shows."""
        return self.program.status()["configuration_version"]

    def member(self) -> Member:
        """Return the entry in the instance list."""
        return Member.from_hello(self.program.runtime.identity)

    async def stop(self) -> None:
        """Drain and exit, as after SIGTERM."""
        loop = asyncio.get_running_loop()
        self.drain_started_s = loop.time()
        await self.program.drain()
        self.stop_started_s = loop.time()
        await self.program.stop()
        self.end()

    def end(self, *, machine: bool = False) -> None:
        """Stop without any clean-up; machine tells whether its connections go silent too."""
        if self.host.alive:
            self.ended_s = self._platform.network.loop.time()
            self.host.kill()
            if not machine:
                self._platform.network.host_ended(self.host)


def _renewal(log: Any, follower: Any, instance: str, entries: Any, retention_s: float) -> Renewal:
    return Renewal(log, follower, instance, entries, CONFIG_RETENTION_S)


def _retries(budget: Any) -> RetryPolicy:
    # The class has captured the unseeded generator as its default.
    return RetryPolicy(budget, rng=random.Random())


@contextlib.contextmanager
def installed(platform: Platform, patches: list[tuple[Any, str, Any]]) -> Iterator[None]:
    """Run a block in which processes meet the platform; patches are a broken variant's."""
    runtime = type("PlatformRuntime", (SimulatedRuntime,), {"platform": platform})
    client: Callable[[str], Any] = platform.log.client
    memory = functools.partial(
        EngineMemory, min_idle_s=MEMORY_IDLE_S, sweep_interval_s=MEMORY_SWEEP_S
    )
    own = [
        (connection_module, "TCPClient", platform.network.client_class()),
        (entry_app, "Runtime", runtime),
        (entry_app, "LogClient", client),
        (entry_app, "Renewal", _renewal),
        (entry_app, "RetryPolicy", _retries),
        (sidecar_app, "Runtime", runtime),
        (sidecar_app, "LogClient", client),
        (sidecar_app, "EngineMemory", memory),
        (SimulatedAdapter, "endpoints", platform.endpoints),
    ]
    with contextlib.ExitStack() as stack:
        for target, name, value in [*own, *patches]:
            stack.enter_context(mock.patch.object(target, name, value))
        yield
