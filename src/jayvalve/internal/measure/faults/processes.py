"""Entries and sidecars on simulated hosts.

The classes EntryProcess and SidecarProcess run unchanged. Only their runtime and the components
that perform real I/O are replaced: sockets, the log's HTTP client and the endpoint's adapter. The
patches that install_platform applies also shorten a few periods and seed random generators.
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
from jayvalve.internal.supervision import SupervisionSettings, TaskSupervisor
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import HandlerTable, PeerPool, PeerServer
from jayvalve.internal.transport import connection as connection_module
from jayvalve.internal.wire.messages import Hello

__all__ = ["Platform", "Process", "Site", "install_platform"]

LIST_POLL_INTERVAL_S = 2.0
ADAPTER = "simulated"
# Engine memory is swept more often than in production to keep schedules short.
MIN_MEMORY_IDLE_S = 4.0
MEMORY_SWEEP_INTERVAL_S = 2.0
DRAIN_TIMEOUT_S = 20.0
BALANCER_DELAY_S = 0.5

ENGINE_ADAPTERS.register(ADAPTER)(SimulatedAdapter)


class Platform:
    """Environment of the processes: network, log, endpoints and the instance list."""

    def __init__(self, network: Network, log: SimulatedLog) -> None:
        self.network = network
        self.log = log
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.list_lag_s = 1.0
        self._list_versions: list[tuple[float, list[Member]]] = []

    def publish_instance_list(self, members: list[Member]) -> None:
        """Change the instance list; readers see the change after list_lag_s seconds."""
        self._list_versions.append((self.network.loop.time(), members))

    def instance_list(self) -> list[Member]:
        """Return the instance list as readers currently see it."""
        newest_visible_s = self.network.loop.time() - self.list_lag_s
        visible = [members for time_s, members in self._list_versions if time_s <= newest_visible_s]
        return visible[-1] if visible else []


class SimulatedRuntime(Runtime):
    """A Runtime on the current simulated host."""

    platform: Platform

    def __init__(self, settings: Settings, role: str, clock: Clock | None = None) -> None:
        self._settings = settings
        self._role = role
        self._clock = clock or Clock()
        self._state = LIVE
        self._stack = contextlib.AsyncExitStack()
        self._tasks = set()
        self._supervisor = TaskSupervisor(
            self._clock, SupervisionSettings(), self._count_task_failure
        )
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
        self._stack.push_async_callback(self._supervisor.close)
        self.supervise("failure detector", detector.run)
        self.supervise("instance list", self._poll_instance_list)

    async def _poll_instance_list(self) -> None:
        while True:
            self.view.observe_list(self.platform.instance_list(), self._clock.now())
            await asyncio.sleep(LIST_POLL_INTERVAL_S)


class Site:
    """Location of a process: its instance name, address, data centre and endpoint."""

    def __init__(
        self, instance: str, role: str, centre: str, number: int, endpoint: str = ""
    ) -> None:
        self.instance = instance
        self.role = role
        self.centre = centre
        self.address = f"10.0.0.{number}:7000"
        self.endpoint = endpoint

    def settings(self, seed_addresses: list[str]) -> Settings:
        """Return the settings for a process at this site."""
        endpoint = None
        if self.endpoint:
            endpoint = EndpointSettings(self.endpoint, ADAPTER, f"http://{self.endpoint}", 8, 100)
        return Settings(
            self.instance,
            self.centre,
            self.address,
            self.address,
            seeds=seed_addresses,
            log_url="http://log",
            endpoint=endpoint,
            drain_seconds=DRAIN_TIMEOUT_S,
            balancer_delay_seconds=BALANCER_DELAY_S,
        )


class Process:
    """One lifetime of an entry or a sidecar."""

    def __init__(self, site: Site, seed_addresses: list[str], platform: Platform) -> None:
        loop = platform.network.loop
        self._platform = platform
        self.site = site
        self.host = SimulatedHost(site.instance, loop)
        self.started_s = loop.time()
        self.drain_started_s: float | None = None
        self.stop_started_s: float | None = None
        self.ended_s: float | None = None
        process_class = EntryProcess if site.role == "entry" else SidecarProcess
        self.app: Any = self.host.run(process_class, site.settings(seed_addresses))
        self.host.spawn(self.app.start())

    @property
    def running(self) -> bool:
        """Whether the process is running, even if paused."""
        return self.host.alive

    @property
    def accepts_callers(self) -> bool:
        """Whether the process is running and its drain has not started."""
        return self.running and self.drain_started_s is None

    def version(self) -> int:
        """Return the configuration version that /status reports."""
        return self.app.status()["configuration_version"]

    def member(self) -> Member:
        """Return this process as a member of the instance list."""
        return Member.from_hello(self.app.runtime.identity)

    async def stop(self) -> None:
        """Drain and exit, as on SIGTERM."""
        loop = asyncio.get_running_loop()
        self.drain_started_s = loop.time()
        await self.app.drain()
        self.stop_started_s = loop.time()
        await self.app.stop()
        self.kill()

    def kill(self, *, machine_failed: bool = False) -> None:
        """Stop immediately, without any clean-up.

        Connections are reset unless machine_failed, in which case peers receive nothing more.
        """
        if self.host.alive:
            self.ended_s = self._platform.network.loop.time()
            self.host.kill()
            if not machine_failed:
                self._platform.network.host_ended(self.host)


def _build_renewal(
    log: Any, follower: Any, instance: str, entries: Any, retention_s: float
) -> Renewal:
    # The simulated log retains the stream config for this shorter period.
    return Renewal(log, follower, instance, entries, CONFIG_RETENTION_S)


def _build_retry_policy(budget: Any) -> RetryPolicy:
    # The default generator of RetryPolicy was created at import and is not seeded.
    return RetryPolicy(budget, rng=random.Random())


@contextlib.contextmanager
def install_platform(platform: Platform, patches: list[tuple[Any, str, Any]]) -> Iterator[None]:
    """Run a block in which processes use the platform, with the patches of a broken variant."""
    runtime = type("PlatformRuntime", (SimulatedRuntime,), {"platform": platform})
    build_client: Callable[[str], Any] = platform.log.client
    build_memory = functools.partial(
        EngineMemory, min_idle_s=MIN_MEMORY_IDLE_S, sweep_interval_s=MEMORY_SWEEP_INTERVAL_S
    )
    platform_patches = [
        (connection_module, "TCPClient", platform.network.client_class()),
        (entry_app, "Runtime", runtime),
        (entry_app, "LogClient", build_client),
        (entry_app, "Renewal", _build_renewal),
        (entry_app, "RetryPolicy", _build_retry_policy),
        (sidecar_app, "Runtime", runtime),
        (sidecar_app, "LogClient", build_client),
        (sidecar_app, "EngineMemory", build_memory),
        (SimulatedAdapter, "endpoints", platform.endpoints),
    ]
    with contextlib.ExitStack() as stack:
        for target, name, value in [*platform_patches, *patches]:
            stack.enter_context(mock.patch.object(target, name, value))
        yield
