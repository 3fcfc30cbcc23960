"""The entry process."""

import asyncio
import contextlib
from typing import Any

from tornado.web import Application

from jayvalve.internal.claims import ClaimRelays
from jayvalve.internal.configuration import (
    BudgetRule,
    ConfigurationFollower,
    Document,
    Renewal,
    Rules,
)
from jayvalve.internal.configuration.sync import ConfigurationSync
from jayvalve.internal.entry.authentication import TokenTable
from jayvalve.internal.entry.commands import (
    ChatCompletionsHandler,
    EndProgramHandler,
    ServiceHandler,
    StartProgramHandler,
)
from jayvalve.internal.entry.dispatch import AttemptDispatcher
from jayvalve.internal.entry.endpoints import EndpointDirectory
from jayvalve.internal.entry.epochs import EpochSource
from jayvalve.internal.entry.execution import AttemptIds, ExecutionContext
from jayvalve.internal.entry.key_claims import KeyClaims
from jayvalve.internal.entry.load_probe import LoadProbe
from jayvalve.internal.entry.members import ENTRY_ROLE, EntryMembers
from jayvalve.internal.entry.placement import ProgramPlacement
from jayvalve.internal.entry.programs import ProgramCalls
from jayvalve.internal.entry.queries import (
    HealthHandler,
    MetricsHandler,
    ModelsHandler,
    ProgramQueryHandler,
    StatusHandler,
    TimelineHandler,
)
from jayvalve.internal.entry.service import EntryService
from jayvalve.internal.entry.upkeep import ProgramUpkeep
from jayvalve.internal.limits import OutlierDetector, RetryBudget, RetryPolicy
from jayvalve.internal.log import LogClient
from jayvalve.internal.membership import HeartbeatSource, MemberChange
from jayvalve.internal.operator.observer import CallObserver
from jayvalve.internal.placement import PlacementRunner
from jayvalve.internal.programs import CopyStore, OwnershipTable
from jayvalve.internal.programs.handlers import register_copies
from jayvalve.internal.runtime import Runtime
from jayvalve.internal.settings import Settings
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import PeerContext
from jayvalve.internal.wire.messages import (
    Accepted,
    HandOver,
    Heartbeat,
    Hello,
    ProgramQuery,
    ProgramStates,
)

__all__ = ["EntryProcess"]

DRAIN_POLL_S = 0.05
DEFAULT_RULES = Rules()


class EntryProcess:
    """Serves callers, owns programs and routes their calls."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._runtime = Runtime(settings, ENTRY_ROLE, clock)
        self._stack = contextlib.AsyncExitStack()
        self._clock = self._runtime.clock
        self._active_requests = 0
        self._tokens = TokenTable(settings.callers)
        self._members = EntryMembers(self._runtime)
        self._log = LogClient(settings.log_url) if settings.log_url else None
        self._build_configuration()
        self._build_programs()
        self._build_calls()

    @classmethod
    def from_config(cls, settings: Settings) -> "EntryProcess":
        """Build the process from its settings."""
        return cls(settings)

    @property
    def runtime(self) -> Runtime:
        """The sockets, connections and membership of this process."""
        return self._runtime

    @property
    def active_requests(self) -> int:
        """Number of callers' requests that this entry received and is still serving."""
        return self._active_requests

    def use_tokens(self, tokens: TokenTable) -> None:
        """Replace the caller tokens, see TokenTable.replace."""
        self._tokens.replace(tokens)

    def all_endpoints_live(self) -> bool:
        """Return whether the inventory is in force and each of its endpoints is live."""
        views = self._directory.views()
        return bool(views) and all(view.state == "live" for view in views)

    @property
    def rules(self) -> Rules:
        """The rules of the configuration in force, or the default rules if there is none."""
        document = self._configuration.current
        return document.rules if document is not None else DEFAULT_RULES

    def _build_configuration(self) -> None:
        # Without a log service, the follower and the renewal do not run and never use this client.
        log = self._log or LogClient("http://127.0.0.1:0")
        self._configuration = ConfigurationFollower(log)
        self._sync = ConfigurationSync(self._configuration, self._runtime.pool, self._runtime.spawn)
        self._renewal = Renewal(
            log,
            self._configuration,
            self._settings.instance,
            self._members.entry_names,
            self._settings.retention_seconds,
        )

    def _build_programs(self) -> None:
        runtime = self._runtime
        self._copies = CopyStore(runtime.holder, self._clock, self._settings.history_memory_bytes)
        epochs = EpochSource(self._log, self._settings.instance, runtime.identity.incarnation)
        self._table = OwnershipTable(
            self._copies,
            self._settings.data_centre,
            self._members.send,
            self._members.holders,
            epochs.acquire,
            self._clock,
            entries=self._members.owners,
            has_ended=self._members.has_ended,
            known=self._members.known_holders,
            is_believed_dead=self._members.is_believed_dead,
        )
        self._placement = ProgramPlacement(
            self._settings.instance,
            runtime.holder,
            self._table,
            runtime.view,
            lambda: runtime.draining,
            lambda: self._members.is_settled(self._configuration, self._directory),
        )

    def _build_calls(self) -> None:
        runtime = self._runtime
        self._directory = EndpointDirectory(
            runtime.view,
            OutlierDetector(),
            self._settings.routing,
            self._settings.data_centre,
            self._clock,
        )
        self._directory.use_probe(
            LoadProbe(runtime.pool, self._clock, runtime.spawn, self._directory.observe_load)
        )
        dispatcher = AttemptDispatcher(runtime.pool, runtime.view)
        self._relays: ClaimRelays | None = None
        self._claims: KeyClaims | None = None
        if self._log is not None:
            self._relays = ClaimRelays(self._log, self._settings.retention_seconds)
            self._claims = KeyClaims(
                self._settings.instance,
                self._relays,
                runtime.pool,
                dispatcher,
                self._members.entries,
                self._directory.sidecar,
                runtime.spawn,
                self._clock,
            )
        self._observer = CallObserver(self._clock)
        context = ExecutionContext(
            self._clock,
            self._directory,
            dispatcher,
            RetryPolicy(RetryBudget()),
            self._claims,
            runtime.metrics,
            AttemptIds(runtime.identity.instance, runtime.identity.incarnation),
            self._observer,
        )
        self._calls = ProgramCalls(self._table, context, runtime.spawn, self._budget_rule)
        self._service = EntryService(
            self._placement,
            self._calls,
            self._table,
            self._directory,
            self._claims,
            runtime.pool,
            self._clock,
            runtime.spawn,
        )
        self._upkeep = ProgramUpkeep(
            runtime,
            self._members,
            self._table,
            self._placement,
            self._calls,
            self._service,
            lambda: self.rules.program_idle_s,
        )

    async def start(self) -> str:
        """Open the sockets, start serving and return a line with the HTTP address."""
        runtime = self._runtime
        handlers = runtime.handlers
        register_copies(handlers, self._copies)
        self._sync.register(handlers)
        self._service.register(handlers)
        if self._claims is not None:
            self._claims.register(handlers)
        self._register_program_handlers()
        if self._relays is not None:
            self._stack.push_async_callback(self._relays.close)
        if self._log is not None:
            self._stack.callback(self._log.close)
        self._configuration.subscribe(self._on_configuration)
        runtime.view.subscribe(self._on_member_change)
        source = HeartbeatSource(lambda: runtime.state, self._sync.advertised)
        await runtime.open(self._application(), source, self._on_heartbeat)
        self._stack.push_async_callback(runtime.close)
        if self._log is not None:
            model_placement = PlacementRunner(
                self._settings.instance,
                self._log,
                self._configuration,
                self._directory,
                self._members.entry_names,
                runtime.pool,
                runtime.spawn,
                self._clock,
                self._settings.retention_seconds,
            )
            runtime.supervise("model placement", model_placement.run)
            runtime.supervise("configuration", self._configuration.run)
            runtime.supervise("epoch renewal", self._renewal.run)
            runtime.supervise("first epoch", self._upkeep.join)
        runtime.supervise("program upkeep", self._upkeep.run)
        return f"entry {self._settings.instance} ready on http://{runtime.http_address}"

    async def drain(self) -> None:
        """Wait for the requests in progress and hand over all programs to other entries.

        The state changes to draining at once. The wait and the handover begin after
        balancer_delay_seconds, in which load balancers detect the change, and stop
        drain_seconds later, even if requests or programs remain.
        """
        self._runtime.start_draining()
        await asyncio.sleep(self._settings.balancer_delay_seconds)
        deadline_s = self._clock.now() + self._settings.drain_seconds
        while self._clock.now() < deadline_s:
            await self._upkeep.hand_over_idle()
            if not self._table.programs and not self._active_requests:
                break
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close the sockets and connections and cancel the background tasks."""
        await self._stack.aclose()

    def status(self) -> dict[str, Any]:
        """Return the document that /status shows."""
        view = self._runtime.view
        return {
            "instance": self._settings.instance,
            "role": ENTRY_ROLE,
            "data_centre": self._settings.data_centre,
            "state": self._runtime.state,
            "epoch": self._table.epoch,
            "configuration_version": self._configuration.version,
            "programs": len(self._table.programs),
            "calls": self._calls.running,
            "copy_bytes": self._copies.bytes_held,
            **self._observer.status(),
            "members": [
                {
                    "instance": member.instance,
                    "role": member.role,
                    "data_centre": member.data_centre,
                    "state": str(member.state),
                    "configuration_version": self._members.version_of(member),
                }
                for member in view.members()
            ],
            "endpoints": [
                {
                    "name": endpoint.name,
                    "data_centre": endpoint.data_centre,
                    "state": str(endpoint.state),
                    "running": endpoint.load.running,
                    "waiting": endpoint.load.waiting,
                    "waiting_urgent": endpoint.load.waiting_urgent,
                }
                for endpoint in self._directory.views()
            ],
        }

    async def _serve(self, request: Any) -> Any:
        self._active_requests += 1
        try:
            async for part in self._service.serve(request):
                yield part
        finally:
            self._active_requests -= 1

    def _application(self) -> Application:
        tokens = self._tokens
        caller_arguments = {"tokens": tokens, "serve": self._serve}
        return Application(
            [
                ("/v1/chat/completions", ChatCompletionsHandler, caller_arguments),
                ("/v1/services/.*", ServiceHandler, caller_arguments),
                ("/v1/programs", StartProgramHandler, caller_arguments),
                ("/v1/programs/[^/]+/end", EndProgramHandler, caller_arguments),
                ("/v1/programs/[^/]+(?:/history)?", ProgramQueryHandler, caller_arguments),
                ("/v1/keys/[^/]+", ProgramQueryHandler, caller_arguments),
                ("/v1/models", ModelsHandler, {"tokens": tokens, "models": self._directory.models}),
                ("/healthz", HealthHandler, {"state": self._health}),
                ("/metrics", MetricsHandler, {"metrics": self._runtime.metrics}),
                ("/status", StatusHandler, {"status": self.status}),
                ("/slo", StatusHandler, {"status": self._slo}),
                ("/programs/([^/]+)", TimelineHandler, {"find": self._observer.timelines.find}),
            ],
            log_function=lambda handler: None,
        )

    def _slo(self) -> dict[str, Any]:
        return self._observer.slo_document(
            self._settings.instance, self.rules, self._configuration.version
        )

    def _health(self) -> str:
        if self._runtime.state == "live" and self._configuration.version == 0:
            return "starting"
        return self._runtime.state

    def _register_program_handlers(self) -> None:
        handlers = self._runtime.handlers

        @handlers.on(HandOver)
        async def hand_over(context: PeerContext, message: HandOver) -> Accepted:
            return await self._table.accept_hand_over(message)

        @handlers.on(ProgramQuery)
        async def program_states(context: PeerContext, message: ProgramQuery) -> ProgramStates:
            found = await asyncio.gather(*map(self._upkeep.program_state, message.programs))
            return ProgramStates(list(found))

    def _budget_rule(self) -> BudgetRule:
        return self.rules.budget

    def _on_heartbeat(self, peer: Hello, heartbeat: Heartbeat) -> None:
        self._sync.observe(peer, heartbeat)
        self._members.observe_version(peer, heartbeat)
        if heartbeat.load:
            member = self._runtime.view.get(peer.instance)
            name = self._directory.endpoint_of(member) if member is not None else None
            if name is not None:
                self._directory.observe_load(name, heartbeat.load)

    def _on_configuration(self, version: int, document: Document) -> None:
        self._directory.set_document(document)

    def _on_member_change(self, change: MemberChange) -> None:
        if self._relays is not None and change.member.role == ENTRY_ROLE:
            self._relays.prepare(self._settings.instance, self._members.entry_names())
