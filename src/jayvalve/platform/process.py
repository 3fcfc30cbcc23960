"""Gateway process for the platform: creates, connects, starts and stops all components."""

import asyncio
import contextlib
import gc
import json
import os
import random
import signal
import time
from typing import Any, Self

from jayvalve.errors import InvalidSettingsError, UnavailableError
from jayvalve.internal.gateway.budgets import BudgetSettings, TurnBudgets
from jayvalve.internal.gateway.buffers import AnswerBuffers
from jayvalve.internal.gateway.decisions import DecisionLog, LogLimits, LogWriter
from jayvalve.internal.gateway.directory import DirectorySettings, EngineDirectory, EngineView
from jayvalve.internal.gateway.fleet_state import FleetMembers, FleetState, QuotaClock
from jayvalve.internal.gateway.frontend import Frontend
from jayvalve.internal.gateway.health import HealthSettings, HealthTracker
from jayvalve.internal.gateway.http_client import HttpPool, PoolSettings
from jayvalve.internal.gateway.leases import HOLDER_LEASES
from jayvalve.internal.gateway.ledger import BudgetLedger, LedgerSettings
from jayvalve.internal.gateway.loads import PeerLoads, PeerSettings
from jayvalve.internal.gateway.loop_monitor import LoopMonitor, MonitorSettings
from jayvalve.internal.gateway.model import CallerLimits, EngineKey, RoutingTable
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.peer_calls import CallSettings, PeerCalls
from jayvalve.internal.gateway.peer_directory import DirectoryRetention, PeerDirectory
from jayvalve.internal.gateway.peers import CallSocket, LoadExchange
from jayvalve.internal.gateway.sender import EngineSender, SenderParts
from jayvalve.internal.gateway.service import GatewayService
from jayvalve.internal.gateway.status import StatusServer
from jayvalve.internal.gateway.storage import Storage, StorageSettings
from jayvalve.internal.gateway.store_paths import PathSettings, StorePaths
from jayvalve.internal.gateway.stream_origins import StreamOrigins
from jayvalve.internal.gateway.turn_locations import LocationSettings, TurnLocations
from jayvalve.internal.gateway.turns import TurnSettings, TurnStore
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.supervision import SupervisionSettings, TaskSupervisor
from jayvalve.internal.timing import Clock
from jayvalve.platform import names
from jayvalve.platform.followers import StoreFollowers
from jayvalve.platform.guards import ProcessGuards
from jayvalve.platform.headers import PlatformHeaders
from jayvalve.platform.relay import StoreRelay, fetch_turn_records
from jayvalve.platform.settings import PlatformSettings, load_platform_settings
from jayvalve.platform.store import StoreClient, probe_store
from jayvalve.platform.topics import KeyedTopic, PeerRegister

__all__ = ["GatewayProcess"]

# Numbers of topics for budgets and for turns. Together with the platform's own topics, they stay
# below the store's limit. Few topics suffice for budgets, because each partition of budgets is
# rarely read and normally has a single gateway that appends to it. With few partitions, more
# settlements are sent in the same append as the reservation of another program.
LEDGER_TOPICS = 8
TURN_TOPICS = 30
# The platform checks readiness every second and removes a process after two failed checks, so new
# connections may arrive for up to this time after SIGTERM.
DEREGISTRATION_DELAY_S = 2.5
# Interval at which accounts of programs that are no longer active are discarded.
EXPIRY_INTERVAL_S = 5.0
# Shorter than any timeout of a call to the store or to a relay, so that each call that times out
# closes the idle connections that may be silent as well.
STORE_SILENCE_S = 0.1
# The store limits an answer to 1 MiB and one record, and encodes values in base64 in some.
MAX_STORE_ANSWER_BYTES = 4 * 1024 * 1024
# Time for the last answers to be written before the connections are closed.
ANSWER_TIME_S = 0.2
# Interval at which a stop checks whether all connections have ended.
QUIET_CHECK_S = 0.05
STDOUT_DESCRIPTOR = 1


class GatewayProcess:
    """One gateway: serves callers, follows the store and exchanges loads with other gateways."""

    def __init__(
        self,
        settings: PlatformSettings,
        settings_path: str | None = None,
        log_descriptor: int = STDOUT_DESCRIPTOR,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = Clock()
        self._rng = random.Random(f"{settings.instance}/{os.getpid()}/{self._clock.wall()}")
        self._name = f"{settings.instance}/{self._rng.getrandbits(32):08x}"
        self._stack = contextlib.AsyncExitStack()
        self._draining = False
        self._writer = LogWriter(log_descriptor, LogLimits(), self._clock)
        self._log = DecisionLog(self._writer, settings.instance, self._clock)
        self._metrics = Metrics()
        # The log is written until all other tasks have ended.
        self._log_tasks = self._new_supervisor()
        self._tasks = self._new_supervisor()
        self._build()

    @classmethod
    def from_config(cls, settings: PlatformSettings, settings_path: str | None = None) -> Self:
        """Create a gateway process from validated settings."""
        return cls(settings, settings_path)

    @property
    def settings(self) -> PlatformSettings:
        """Settings of the process."""
        return self._settings

    @property
    def ready(self) -> bool:
        """Whether the platform should send new connections to this process."""
        return (
            not self._draining
            and self._service.table is not None
            and self._directory.loaded
            and self._storage.available
        )

    @property
    def known_engines(self) -> int:
        """Number of engines in the directory."""
        return len(list(self._directory.views))

    @property
    def engines(self) -> set[EngineKey]:
        """Incarnations of the engines in the directory."""
        return {view.key for view in self._directory.views}

    @property
    def engine_views(self) -> tuple[EngineView, ...]:
        """The engines in the directory, with what is known of them."""
        return tuple(self._directory.views)

    async def start(self) -> str:
        """Start all components and return the JSON line that reports the address for callers."""
        settings = self._settings
        self._log.capture_messages()
        self._stack.push_async_callback(self._log_tasks.close)
        self._log_tasks.start("log writer", self._writer.run)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._reload()
        self._frontend.listen(settings.frontend)
        self._stack.push_async_callback(self._frontend.close)
        self._status.listen(settings.readiness)
        if settings.control is not None:
            self._status.listen(settings.control)
        self._stack.callback(self._status.stop)
        self._relay.listen(settings.peer)
        self._stack.callback(self._relay.stop)
        self._stack.callback(self._store_pool.close)
        self._stack.callback(self._engine_pool.close)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._call_socket, local_addr=settings.peer
        )
        self._stack.callback(transport.close)
        self._exchange.open(settings.peer)
        self._stack.callback(self._exchange.close)
        self._stack.push_async_callback(self._tasks.close)
        for name, work in {
            **self._followers.tasks(),
            "store probes": self._storage.run,
            "idle leases": self._ledger.run,
            "remote turns": self._budgets.run,
            "origins of streams": self._origins.run,
            "loads": self._exchange.run,
            **self._fleet_state.tasks(),
            "loop monitor": self._loop_monitor.run,
            "announcement": self._announce_address,
            "expired accounts": self._expire_accounts,
        }.items():
            self._tasks.start(name, work)
        # Objects created so far live as long as the process, so the garbage collector need not
        # examine them.
        gc.freeze()
        self._log.write("start", frontend=settings.frontend, store=settings.store.address)
        return json.dumps({"event": "listening", "frontend": list(settings.frontend)})

    async def drain(self) -> None:
        """Give the platform time to deregister the process, then finish running requests.

        New connections are accepted during this time and refused afterwards.
        """
        self._draining = True
        started_s = self._clock.now()
        # The rest of the grace time is left for the last writes before SIGKILL.
        drain_s = self._settings.grace_s * 0.9
        self._log.write("drain", running=self._service.running)
        self._service.begin_stop(drain_s - ANSWER_TIME_S)
        with contextlib.suppress(UnavailableError):
            await self._register.withdraw(self._settings.instance, 0.5)
        self._fleet_state.coordinators.withdraw()
        self._frontend.begin_closing()
        await self._budgets.hand_over()
        await asyncio.sleep(DEREGISTRATION_DELAY_S)
        # If few instances of a data centre are ready, the platform may still send new connections
        # here. A connection refused here is made to another instance instead; one accepted here
        # could outlast the grace time.
        self._frontend.stop()
        while self._clock.now() < started_s + drain_s:
            # A connection that was accepted just before has not been read yet.
            await asyncio.sleep(QUIET_CHECK_S)
            self._frontend.close_idle()
            if not self._service.running and not self._frontend.connections:
                break
        await self._budgets.hand_over()
        await self._ledger.flush(0.5)
        self._log.write("drained", running=self._service.running)

    async def stop(self) -> None:
        """Answer the calls that are still running, stop all components and release resources."""
        self._service.begin_stop(0.0)
        end_s = self._clock.now() + ANSWER_TIME_S
        while self._service.running and self._clock.now() < end_s:
            await asyncio.sleep(0.01)
        await self._stack.aclose()
        self._log.write("stop")
        self._writer.flush()

    def _new_supervisor(self) -> TaskSupervisor:
        return TaskSupervisor(self._clock, SupervisionSettings(), self._count_task_failure)

    def _build(self) -> None:
        settings, clock = self._settings, self._clock
        store = settings.store
        guards = ProcessGuards.from_config(settings, clock, self._metrics)
        self._buffers = AnswerBuffers.from_memory(settings.memory_mb, guards.account)
        self._store_pool = HttpPool(
            PoolSettings(silent_after_s=STORE_SILENCE_S, max_buffer_bytes=MAX_STORE_ANSWER_BYTES),
            clock,
            self._buffers,
        )
        self._engine_pool = HttpPool(PoolSettings(), clock)
        store_client = StoreClient(store.address, self._store_pool)
        self._register = PeerRegister(store_client)
        self._loop_monitor = LoopMonitor(clock, MonitorSettings(), self._metrics)
        self._peer_directory = PeerDirectory(clock, DirectoryRetention())
        self._paths: StorePaths[Any] = StorePaths(
            store_client,
            lambda address: StoreClient(address, self._store_pool),
            self._relay_peers,
            clock,
            PathSettings(),
            self._rng,
            lambda: self._exchange.notify_change(),
        )
        self._storage = Storage(
            self._paths,
            clock,
            StorageSettings(link_bytes_per_s=settings.link_bytes_per_s),
            self._rng,
            probe_store,
        )
        self._relay = StoreRelay(
            store_client,
            lambda: self._paths.direct_usable,
            lambda: self._followers.shared,
            lambda turn_id: self._turns.records_in_memory(turn_id),
            guards.for_peers,
        )
        self._loads = PeerLoads(clock, PeerSettings())
        self._build_budgets()
        self._turns = TurnStore(
            self._storage,
            PartitionMap("turn-", TURN_TOPICS, store.partitions),
            TurnSettings.from_config(store.record_bytes, store.call_bytes),
            TurnLocations(
                self._calls, settings.peer, self._loads.live_addresses, LocationSettings()
            ),
            self._fetch_turn,
        )
        self._origins = StreamOrigins.from_config(
            self._storage,
            store.partitions,
            self._calls,
            settings.peer,
            self._loads.live_addresses,
            lambda service: self._directory.versions(service),
            clock,
            self._metrics,
        )
        self._health = HealthTracker(clock, HealthSettings(), settings.data_centre)
        self._build_fleet_state()
        self._build_sender()
        self._exchange = LoadExchange(
            self._name,
            self._loads,
            clock,
            PeerSettings(),
            self._sender.running,
            self._health,
            settings.data_centre,
            lambda: self._peer_directory.message_targets(self._loads.live_addresses()),
            lambda: self._paths.direct_usable,
        )
        self._service = GatewayService(
            self._sender,
            self._budgets,
            self._turns,
            PlatformHeaders(),
            clock,
            self._rng,
            self._metrics,
            self._log,
            self._log_context,
            self._buffers,
            self._fleet_state.quotas,
            self._origins,
        )
        self._frontend = Frontend(self._service.handle, clock, CallerLimits(), guards.for_callers)
        self._status = StatusServer(
            lambda: self.ready, self._metrics, names.READINESS_PATH, guards.for_status
        )
        self._storage.on_recovery(self._directory.handle_store_recovery)
        self._build_followers()
        self._add_gauges(store_client)

    def _build_budgets(self) -> None:
        settings, clock = self._settings, self._clock
        partitions = PartitionMap("budget-", LEDGER_TOPICS, settings.store.partitions)
        self._ledger = BudgetLedger(
            self._storage, partitions, clock, LedgerSettings(leases=HOLDER_LEASES), self._name
        )
        self._calls = PeerCalls(self._send_to_peer, clock, CallSettings(), self._rng)
        self._call_socket = CallSocket(self._calls.receive)
        self._budgets = TurnBudgets(
            self._ledger,
            self._calls,
            partitions,
            settings.peer,
            self._loads.live_addresses,
            clock,
            BudgetSettings(),
        )

    def _build_fleet_state(self) -> None:
        live = self._loads.live_addresses
        members = FleetMembers(
            self._settings.peer,
            live,
            lambda: self._peer_directory.message_targets(live()),
            lambda: self._peer_directory.known,
        )
        self._fleet_state = FleetState.from_config(
            members,
            self._calls,
            self._engine_pool,
            self._clock,
            self._metrics,
            QuotaClock(_boot_time, self._settings.quota_bounds),
        )

    def _build_sender(self) -> None:
        settings, clock, shared = self._settings, self._clock, self._fleet_state
        self._directory = EngineDirectory(
            clock, DirectorySettings(), shared.departures, shared.crashes
        )
        self._sender = EngineSender.from_config(
            SenderParts(
                self._directory,
                self._loads,
                self._health,
                self._engine_pool,
                PlatformHeaders(),
                shared,
                lambda: self._exchange.notify_change(),
                lambda: self._exchange.receive(),
            ),
            settings.data_centre,
            clock,
            self._rng,
        )

    async def _fetch_turn(
        self, address: tuple[str, int], turn_id: str, timeout_s: float
    ) -> list[bytes] | None:
        client = StoreClient(address, self._store_pool)
        return await fetch_turn_records(client, turn_id, timeout_s)

    def _send_to_peer(self, address: tuple[str, int], message: list[Any]) -> None:
        self._call_socket.send(address, message)

    def _build_followers(self) -> None:
        self._followers = StoreFollowers(
            self._topic,
            self._peer_clients,
            self._clock,
            self._settings.instance,
            self._directory,
            self._peer_directory,
            self._register,
            self._apply_table,
            self._log,
        )

    def _add_gauges(self, store_client: StoreClient) -> None:
        gauges = {
            "running_requests": (lambda: self._service.running, "requests not answered yet"),
            "engine_connections_opened": (lambda: self._engine_pool.opened, "connections made"),
            "store_calls": (lambda: store_client.calls, "calls of the store"),
            "store_available": (lambda: self._storage.available, "1 while the store answers"),
            "live_peers": (lambda: self._loads.live, "gateways heard of lately"),
            "budget_leases": (lambda: self._ledger.lease_count, "reservations of budgets held"),
            "lent_turns": (
                lambda: self._budgets.remote_turns,
                "turns elsewhere with tokens of this one",
            ),
            "engine_failures": (lambda: len(self._health.report()), "engines that failed lately"),
            **self._fleet_state.gauges(),
            "pending_origins": (lambda: self._origins.pending, "origins of streams to be stored"),
            "turn_memory_bytes": (lambda: self._turns.memory_bytes, "texts of turns in memory"),
        }
        for name, (read_value, help_text) in gauges.items():
            self._metrics.gauge(f"jayvalve_gateway_{name}", read_value, help_text)

    def _apply_table(self, table: RoutingTable) -> None:
        if self._service.apply_table(table):
            self._frontend.set_limits(table.limits)

    def _topic(self, name: str) -> KeyedTopic:
        # An answer to a follower shows that a path works, even if some partitions are unavailable.
        # Without requests that need the store, only the followers notice that it is out of reach.
        paths = self._paths
        return KeyedTopic(
            self._pick_store_client, name, paths.record_answer, paths.record_unreachable
        )

    def _pick_store_client(self) -> StoreClient:
        """Return the client for the next call of a follower.

        If no path is usable, it is the client that calls the store directly.
        """
        path = self._paths.pick()
        return (path or self._paths.direct).client

    def _live_peers(self) -> list[tuple[str, int]]:
        """Return the addresses of other gateways, preferably of those heard from recently."""
        live = self._loads.live_addresses()
        registered = self._peer_directory.registered
        return [address for address in registered if address in live] or registered or list(live)

    def _relay_peers(self) -> list[tuple[str, int]]:
        """Return the addresses of the gateways that may reach the store for this one."""
        without_store = self._loads.addresses_without_store()
        return [address for address in self._live_peers() if address not in without_store]

    def _peer_clients(self) -> list[StoreClient]:
        """Return clients of the other gateways in random order."""
        addresses = self._live_peers()
        self._rng.shuffle(addresses)
        return [StoreClient(address, self._store_pool) for address in addresses]

    def _log_context(self) -> dict[str, Any]:
        """Return the log fields that describe the gateway's view of engines, store and peers."""
        age_s = self._followers.engines_age_s
        return {
            "engines_age_ms": None if age_s is None else round(age_s * 1000),
            "store": "available" if self._storage.available else "away",
            "peers": self._loads.live,
        }

    async def _announce_address(self) -> None:
        while True:
            try:
                await self._register.announce(
                    self._settings.instance, self._settings.peer, timeout_s=1.0
                )
                return
            except UnavailableError as error:
                self._log.write("address announcement failed", error=error.message)
                await asyncio.sleep(0.5)

    async def _expire_accounts(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._ledger.expire()

    def _reload(self) -> None:
        """Read the settings again.

        A new address, data centre or store limit takes effect only after a restart.
        """
        if self._settings_path is None:
            return
        try:
            self._settings = load_platform_settings(self._settings_path)
            self._log.write("reload", outcome="applied")
        except InvalidSettingsError as error:
            self._log.write("reload", outcome="refused", error=error.message)

    def _count_task_failure(self, name: str) -> None:
        self._metrics.count("jayvalve_gateway_task_failures_total", task=name)


def _boot_time() -> float:
    """Return seconds since the machine started, also those for which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
