"""Operators that publish configurations, and samples of the versions that processes use."""

import asyncio
import random
from typing import Any

import attrs

from jayvalve.errors import JayvalveError
from jayvalve.internal.configuration import ConfigurationFollower, Document, Publisher
from jayvalve.internal.measure.faults.callers import MODEL, SERVICE
from jayvalve.internal.measure.faults.log import SimulatedLog
from jayvalve.internal.measure.faults.processes import Process, Site
from jayvalve.internal.measure.faults.virtual_time import SimulatedHost

__all__ = ["AcceptedPublish", "Operators", "VersionSample", "document_value"]

SAMPLE_INTERVAL_S = 0.5
PUBLISH_TIMEOUT_S = 10.0


@attrs.frozen
class AcceptedPublish:
    """A publish that was reported to its operator as accepted."""

    version: int
    digest: str
    accepted_s: float


@attrs.frozen
class VersionSample:
    """Version that the status of a process reported at a time."""

    time_s: float
    process: Process
    version: int
    digest: str


def document_value(sites: list[Site], floor: float) -> dict[str, Any]:
    """Return the value of a configuration document with the sites' endpoints."""
    endpoints = []
    for site in sites:
        if site.role != "sidecar":
            continue
        endpoint: dict[str, Any] = {
            "name": site.endpoint,
            "address": site.address,
            "data_centre": site.centre,
            "role": "model" if site.endpoint.startswith("engine") else "application",
            "limits": {"max_running": 8},
        }
        if endpoint["role"] == "model":
            endpoint["models"] = [{"name": MODEL}]
        else:
            endpoint["services"] = [SERVICE]
            endpoint["non_repeatable_paths"] = ["/debits"]
        endpoints.append(endpoint)
    return {"inventory": {"endpoints": endpoints}, "rules": {"floors": {"ordinary": floor}}}


class Operators:
    """Publish concurrently; each publish runs in a tool process of its own."""

    def __init__(self, log: SimulatedLog, sites: list[Site], loop: Any, seed: int) -> None:
        self._log = log
        self._sites = sites
        self._loop = loop
        self._random = random.Random(f"operators {seed}")
        self.accepted: list[AcceptedPublish] = []
        self.samples: list[VersionSample] = []

    async def publish_first(self, value: dict[str, Any]) -> None:
        """Publish the first document."""
        await self._publish_document(Document.from_value(value), "first")

    async def publish_concurrently(self, count: int) -> None:
        """Run count publishes concurrently."""
        await asyncio.gather(*(self._publish() for _ in range(count)))

    async def _publish(self) -> None:
        floor = round(self._random.uniform(0.1, 0.5), 6)
        value = document_value(self._sites, floor)
        await self._publish_document(Document.from_value(value), f"operator {floor}")

    async def _publish_document(self, document: Document, author: str) -> None:
        host = SimulatedHost("operator", self._loop)
        task = host.spawn(self._run_publish_tool(document, author))
        try:
            version = await task
        except JayvalveError:
            return
        finally:
            host.kill()
        self.accepted.append(AcceptedPublish(version.version, version.digest, self._loop.time()))

    async def _run_publish_tool(self, document: Document, author: str) -> Any:
        log = self._log.client()
        follower = ConfigurationFollower(log)
        following = asyncio.ensure_future(follower.run())
        try:
            await follower.log.wait_caught_up(PUBLISH_TIMEOUT_S)
            publisher = Publisher(log, follower)
            return await publisher.publish(document, follower.version, author, PUBLISH_TIMEOUT_S)
        except TimeoutError as error:
            raise JayvalveError("the log could not be read") from error
        finally:
            following.cancel()

    def sample(self, processes: list[Process]) -> None:
        """Record the version of each running process that is not paused."""
        now_s = self._loop.time()
        for process in processes:
            if process.running and not process.host.paused:
                follower = process.app._configuration
                self.samples.append(
                    VersionSample(now_s, process, process.version(), follower.digest)
                )
