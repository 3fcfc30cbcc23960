"""A whole deployment in one process on loopback."""

import asyncio
import contextlib
from typing import Any

from jayvalve.deployments.definitions import Deployment, inventory_document
from jayvalve.internal.configuration import ConfigurationFollower, Document, Publisher
from jayvalve.internal.entry.app import EntryProcess
from jayvalve.internal.log import LogClient
from jayvalve.internal.settings import Settings
from jayvalve.internal.sidecar.app import SidecarProcess
from jayvalve.standins import STAND_INS

__all__ = ["InProcessDeployment", "publish_document"]

LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02


async def publish_document(
    log_url: str, document: dict[str, Any], expected_version: int, author: str
) -> int:
    """Publish a configuration that replaces ``expected_version`` and return its version."""
    log = LogClient(log_url)
    follower = ConfigurationFollower(log)
    follower_task = asyncio.ensure_future(follower.run())
    try:
        publisher = Publisher(log, follower)
        accepted = await publisher.publish(
            Document.from_value(document), expected_version, author, WAIT_TIMEOUT_S
        )
        return accepted.version
    finally:
        follower_task.cancel()
        await asyncio.gather(follower_task, return_exceptions=True)
        log.close()


class InProcessDeployment:
    """Entries, sidecars and stand-ins of a deployment in this process.

    ``jayvalve local``, tests and evaluation use it.

    Args:
        deployment: Deployment to run.
        port: HTTP port of the first entry; 0 selects a free one.
    """

    def __init__(self, deployment: Deployment, port: int = 0) -> None:
        self._deployment = deployment
        self._port = port
        self._stack = contextlib.AsyncExitStack()
        self._entries: list[EntryProcess] = []
        self._sidecars: list[SidecarProcess] = []
        self._standins: dict[str, Any] = {}
        self._log_url = ""

    @property
    def urls(self) -> list[str]:
        """Base URLs of the entries."""
        return [f"http://{entry.runtime.http_address}" for entry in self._entries]

    @property
    def log_url(self) -> str:
        """URL of the log stand-in."""
        return self._log_url

    @property
    def entries(self) -> list[EntryProcess]:
        """The entries in the order of the data centres."""
        return self._entries

    @property
    def sidecars(self) -> list[SidecarProcess]:
        """The sidecars in the order of the endpoints."""
        return self._sidecars

    @property
    def standins(self) -> dict[str, Any]:
        """Stand-ins by endpoint name; the key of the log stand-in is ``log``."""
        return self._standins

    def document(self) -> dict[str, Any]:
        """Return the configuration document with all endpoints."""
        addresses = {
            sidecar.settings.require_endpoint().name: sidecar.runtime.identity.address
            for sidecar in self._sidecars
        }
        return inventory_document(self._deployment, addresses)

    async def start(self) -> str:
        """Start all parts and wait until every entry sees all endpoints as live.

        Returns:
            A line with the URLs of the entries and of the log.
        """
        self._log_url = await self._start_standin("log", "log", {})
        self._build_entries()
        for plan in self._deployment.endpoints:
            url = await self._start_standin(plan.name, plan.standin, plan.standin_config())
            self._build_sidecar(plan.name, plan.data_centre, plan.adapter, url)
        for process in (*self._sidecars, *self._entries):
            await process.start()
            self._stack.push_async_callback(process.stop)
        await publish_document(self._log_url, self.document(), 0, "local")
        await self._wait_ready()
        return (
            f"jayvalve local ({self._deployment.name}) ready on {self.urls[0]}; "
            f"entries on {','.join(self.urls)}, log on {self._log_url}"
        )

    async def drain(self) -> None:
        """Drain the entries: wait until no requests are in progress.

        Nothing is handed over, because all parts of the deployment stop.

        Raises:
            TimeoutError: Requests are still in progress after ``WAIT_TIMEOUT_S``.
        """
        for entry in self._entries:
            entry.runtime.start_draining()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while any(entry.active_requests for entry in self._entries):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all entries, sidecars and stand-ins."""
        await self._stack.aclose()

    async def _start_standin(self, name: str, kind: str, config: dict[str, Any]) -> str:
        standin = STAND_INS.get(kind).from_config(config)
        port = await standin.start(LOOPBACK, 0)
        self._stack.push_async_callback(standin.stop)
        self._standins[name] = standin
        return f"http://{LOOPBACK}:{port}"

    def _build_entries(self) -> None:
        for number, (instance, centre) in enumerate(self._deployment.entries):
            port = self._port if number == 0 else 0
            settings = self._settings(instance, centre, f"{LOOPBACK}:{port}")
            self._entries.append(EntryProcess.from_config(settings))

    def _build_sidecar(self, name: str, centre: str, adapter: str, url: str) -> None:
        endpoint = {"name": name, "adapter": adapter, "url": url, "max_running": 16}
        settings = self._settings(f"sidecar-{name}", centre, ANY_PORT, endpoint=endpoint)
        self._sidecars.append(SidecarProcess.from_config(settings))

    def _settings(self, instance: str, centre: str, http: str, **extra: Any) -> Settings:
        config = {
            "instance": instance,
            "data_centre": centre,
            "peer_address": ANY_PORT,
            "http_address": http,
            "seeds": [entry.runtime.identity.address for entry in self._entries],
            "log": {"url": self._log_url},
            "balancer_delay_seconds": 0.0,
            **extra,
        }
        return Settings.from_config(config)

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not all(entry.all_endpoints_live() for entry in self._entries):
                await asyncio.sleep(POLL_INTERVAL_S)
