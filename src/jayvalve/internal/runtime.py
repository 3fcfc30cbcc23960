"""Runtime shared by entries and sidecars: connections, membership, HTTP server and tasks."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger
from tornado.netutil import bind_sockets
from tornado.web import Application

from jayvalve.internal.http_server import BoundedHttpServer
from jayvalve.internal.membership import (
    Detector,
    HeartbeatSource,
    InstanceListPoller,
    MembershipView,
)
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.port_limits import PortLimits, RefusalLog
from jayvalve.internal.settings import Settings
from jayvalve.internal.supervision import SupervisionSettings, TaskSupervisor
from jayvalve.internal.timing import Clock
from jayvalve.internal.tls import TlsContexts, TlsFiles
from jayvalve.internal.transport import HandlerTable, PeerPool, PeerServer
from jayvalve.internal.wire.messages import Hello

__all__ = ["Runtime", "holder_name", "split_holder_name"]

# Incarnations are wall-clock times in milliseconds, so that a process gets a higher number even
# if it is restarted immediately.
INCARNATION_RESOLUTION_PER_S = 1000
LIVE = "live"
DRAINING = "draining"
LISTEN_BACKLOG = 1024


def _bind(address: str) -> tuple[list[socket.socket], str]:
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
    return sockets, f"{host}:{sockets[0].getsockname()[1]}"


def holder_name(instance: str, incarnation: int) -> str:
    """Return the name of one incarnation of a process."""
    return f"{instance}#{incarnation}"


def split_holder_name(name: str) -> tuple[str, int]:
    """Return the instance and the incarnation in a holder name.

    The incarnation is 0 if it is not a number. The instance is empty if name has no ``#``.
    """
    instance, _, incarnation = name.rpartition("#")
    return instance, int(incarnation) if incarnation.isdigit() else 0


class Runtime:
    """Owns the sockets, connections, membership and background tasks of one process.

    Register handlers for peer messages on `handlers` before `open` is called.
    """

    def __init__(self, settings: Settings, role: str, clock: Clock | None = None) -> None:
        self._settings = settings
        self._role = role
        self._clock = clock or Clock()
        self._state = LIVE
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._supervisor = TaskSupervisor(
            self._clock, SupervisionSettings(), self._count_task_failure
        )
        self._log = logger.bind(part=role, instance=settings.instance)
        self._tls = TlsFiles.from_config(settings.tls) if settings.tls else None
        self._peer_sockets, peer_address = _bind(settings.peer_address)
        self._http_sockets, self._http_address = _bind(settings.http_address)
        self._identity = Hello(
            settings.instance,
            int(time.time() * INCARNATION_RESOLUTION_PER_S),
            role,
            settings.data_centre,
            peer_address,
        )
        self.handlers = HandlerTable()
        self.metrics = Metrics()
        self.view = MembershipView(self._identity)
        self._servers: list[PeerServer | BoundedHttpServer] = []
        refusals = RefusalLog(self.metrics, self._clock)
        limits = settings.limits, self.metrics, self._clock, refusals
        self._caller_limits = PortLimits.for_callers(*limits)
        self._peer_limits = PortLimits.for_peers(*limits)
        client = self._tls.contexts.client if self._tls else None
        self.pool = PeerPool(self._identity, self._clock, client)

    @property
    def settings(self) -> Settings:
        """Settings of this process."""
        return self._settings

    @property
    def clock(self) -> Clock:
        """Clock of this process."""
        return self._clock

    @property
    def identity(self) -> Hello:
        """Hello message that identifies this process to other processes."""
        return self._identity

    @property
    def holder(self) -> str:
        """Name of this process in copy sets, different for each incarnation."""
        return holder_name(self._identity.instance, self._identity.incarnation)

    @property
    def http_address(self) -> str:
        """IP address and port of the HTTP server."""
        return self._http_address

    @property
    def state(self) -> str:
        """``live`` or ``draining``."""
        return self._state

    @property
    def draining(self) -> bool:
        """Whether a planned stop is under way."""
        return self._state == DRAINING

    async def open(
        self,
        application: Application,
        source: HeartbeatSource,
        listener: Any = None,
    ) -> None:
        """Start the servers, the failure detector and the background tasks.

        If the settings contain TLS files, they are reloaded when they change. If the settings
        contain the URL of an instance list, the list is polled.
        """
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
        contexts = self._tls.contexts if self._tls else None
        server = PeerServer(
            self._identity,
            self.handlers,
            contexts.server if contexts is not None else None,
            self._peer_limits,
        )
        server.add_sockets(self._peer_sockets)
        self._stack.push_async_callback(server.close)
        http_server = BoundedHttpServer(
            application,
            limits=self._caller_limits,
            ssl_options=contexts.callers if contexts is not None else None,
            max_body_size=self._settings.max_body_bytes,
            xheaders=False,
        )
        http_server.add_sockets(self._http_sockets)
        self._stack.push_async_callback(http_server.close_all_connections)
        self._stack.callback(http_server.stop)
        self._stack.push_async_callback(self._cancel_tasks)
        self._stack.push_async_callback(self._supervisor.close)
        self._servers = [server, http_server]
        if self._tls is not None:
            tls = self._tls
            self.supervise("tls files", lambda: tls.run(self._apply_tls_contexts))
        self.supervise("stalled callers", self._caller_limits.watch)
        self.supervise("stalled peers", self._peer_limits.watch)
        self.supervise("failure detector", detector.run)
        if self._settings.instance_list_url is not None:
            url = f"{self._settings.instance_list_url}/instances"
            poller = InstanceListPoller(url, self.view, self._clock)
            self.supervise("instance list", poller.run)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work in a background task; close cancels it, and an exception is logged."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)
        return task

    def supervise(self, name: str, work: Callable[[], Awaitable[Any]]) -> None:
        """Run work in a background task that is started again when it fails."""
        self._supervisor.start(name, work)

    def start_draining(self) -> None:
        """Set the state to draining, which heartbeats and /healthz report."""
        self._state = DRAINING
        self._log.info("draining")

    async def close(self) -> None:
        """Release resources in reverse order of creation, then close the listening sockets."""
        await self._stack.aclose()
        for listening_socket in (*self._peer_sockets, *self._http_sockets):
            with contextlib.suppress(OSError):
                listening_socket.close()

    def _apply_tls_contexts(self, contexts: TlsContexts) -> None:
        # The servers read ssl_options for each connection that they accept.
        peer_server, http_server = self._servers
        peer_server.ssl_options = contexts.server
        http_server.ssl_options = contexts.callers
        self.pool.use_ssl_options(contexts.client)

    def _handle_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.opt(exception=task.exception()).error("background task failed")

    def _count_task_failure(self, name: str) -> None:
        self.metrics.count("jayvalve_task_failures_total", task=name)

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
