"""Sidecar process: wiring, lifecycle and status."""

import asyncio
import contextlib
from typing import Any

from tornado.web import Application

from jayvalve.errors import JayvalveError
from jayvalve.internal.answer_end import AnswerEnd
from jayvalve.internal.configuration import ConfigurationFollower, Document
from jayvalve.internal.configuration.sync import ConfigurationSync
from jayvalve.internal.engines import ENGINE_ADAPTERS
from jayvalve.internal.entry.queries import HealthHandler, MetricsHandler, StatusHandler
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.log import LogClient
from jayvalve.internal.membership import HeartbeatSource
from jayvalve.internal.programs import CopyStore
from jayvalve.internal.programs.handlers import register_copies
from jayvalve.internal.runtime import Runtime
from jayvalve.internal.scheduling import QueueSettings
from jayvalve.internal.settings import Settings
from jayvalve.internal.sidecar.attempts import AttemptTable
from jayvalve.internal.sidecar.execution import Execution
from jayvalve.internal.sidecar.gate import EndpointGate
from jayvalve.internal.sidecar.release import EngineMemory
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import ProgramQuery

__all__ = ["SidecarProcess"]

ROLE = "sidecar"
DRAIN_POLL_S = 0.05
# In a full mesh, entries learn of the drain from the next heartbeat, within 0.5 s.
DRAIN_NOTICE_S = 1.0
QUERY_TIMEOUT_S = 2.0


class SidecarProcess:
    """Process that runs beside one endpoint; all calls to the endpoint go through it."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._endpoint = settings.require_endpoint()
        self._runtime = Runtime(settings, ROLE, clock)
        self._stack = contextlib.AsyncExitStack()
        self._clock = self._runtime.clock
        self._gate = EndpointGate(
            self._endpoint.queue,
            self._endpoint.max_running,
            QueueSettings(max_waiting=self._endpoint.max_waiting),
            self._clock,
        )
        self._adapter = ENGINE_ADAPTERS.get(self._endpoint.adapter).from_config(
            {"address": self._endpoint.url.split("://", 1)[1].rstrip("/")}
        )
        self._adapter.observe_ends(self._count_end)
        identity = self._runtime.identity
        self._attempts = AttemptTable(identity.incarnation, self._clock)
        self._memory = EngineMemory(self._adapter, self._ask_states, self._clock)
        self._copies = CopyStore(self._runtime.holder, self._clock, settings.history_memory_bytes)
        log = LogClient(settings.log_url) if settings.log_url else None
        self._log_client = log
        # Without a log URL, a sidecar gets the configuration only from its peers.
        self._configuration = ConfigurationFollower(log or LogClient("http://127.0.0.1:0"))
        self._sync = ConfigurationSync(self._configuration, self._runtime.pool, self._runtime.spawn)

    @classmethod
    def from_config(cls, settings: Settings) -> "SidecarProcess":
        """Build the process from its settings."""
        return cls(settings)

    @property
    def runtime(self) -> Runtime:
        """Connections and membership of this process."""
        return self._runtime

    @property
    def settings(self) -> Settings:
        """Settings of this process."""
        return self._settings

    async def start(self) -> str:
        """Open the sockets, start serving and return the line that reports readiness."""
        await self._stack.enter_async_context(self._adapter)
        self._stack.push_async_callback(self._attempts.close)
        handlers = self._runtime.handlers
        Execution(
            self._adapter,
            self._gate,
            self._attempts,
            self._memory,
            self._runtime.metrics,
            self._clock,
            lambda: self._runtime.draining,
        ).register(handlers)
        register_copies(handlers, self._copies)
        self._sync.register(handlers)
        source = HeartbeatSource(
            lambda: self._runtime.state, self._sync.advertised, self._gate.load
        )
        await self._runtime.open(self._application(), source, self._sync.observe)
        self._stack.push_async_callback(self._runtime.close)
        self._configuration.subscribe(self._on_configuration)
        self._runtime.supervise("call queue", self._gate.run)
        self._runtime.supervise("memory release", self._memory.run)
        if self._log_client is not None:
            self._runtime.supervise("configuration", self._configuration.run)
        return f"sidecar {self._settings.instance} ready on {self._runtime.identity.address}"

    async def drain(self) -> None:
        """Refuse new work and wait for the attempts in progress.

        The wait lasts DRAIN_NOTICE_S, so that the entries learn of the drain, and then up to
        drain_seconds.
        """
        self._runtime.start_draining()
        await asyncio.sleep(DRAIN_NOTICE_S)
        polls = int(self._settings.drain_seconds / DRAIN_POLL_S)
        for _ in range(polls):
            if not self._attempts.in_progress:
                break
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close all connections and cancel the attempts in progress."""
        await self._stack.aclose()

    def status(self) -> dict[str, Any]:
        """Return the status document."""
        return {
            "instance": self._settings.instance,
            "role": ROLE,
            "data_centre": self._settings.data_centre,
            "state": self._runtime.state,
            "endpoint": self._endpoint.name,
            "configuration_version": self._configuration.version,
            "load": self._gate.load(),
            "attempts": self._attempts.in_progress,
            "programs_with_memory": len(self._memory.programs),
            "copy_bytes": self._copies.bytes_held,
        }

    def _application(self) -> Application:
        return Application(
            [
                ("/healthz", HealthHandler, {"state": lambda: self._runtime.state}),
                ("/metrics", MetricsHandler, {"metrics": self._runtime.metrics}),
                ("/status", StatusHandler, {"status": self.status}),
            ],
            log_function=lambda handler: None,
        )

    def _on_configuration(self, version: int, document: Document) -> None:
        self._gate.set_rules(document.rules)

    def _count_end(self, end: AnswerEnd) -> None:
        self._runtime.metrics.count(
            "jayvalve_answer_ends_total", end=str(end.state), reason=end.reason
        )

    async def _ask_states(self, programs: list[str]) -> dict[str, str]:
        """Ask the entries for the states of the programs.

        The state of a program is requested from the live entry that is first in its rendezvous
        order. If that entry is not the owner, it looks the program up in the copies. A program
        whose entry does not answer is left out.
        """
        entries = {member.instance: member for member in self._runtime.view.live("entry")}
        by_entry: dict[str, list[str]] = {}
        for program in programs:
            if entries:
                by_entry.setdefault(rendezvous_order(program, entries)[0], []).append(program)
        states: dict[str, str] = {}
        for entry, names in by_entry.items():
            with contextlib.suppress(JayvalveError):
                reply = await self._runtime.pool.call(
                    entries[entry].address, ProgramQuery(names), QUERY_TIMEOUT_S
                )
                states.update(zip(names, reply.states, strict=False))
        return states
