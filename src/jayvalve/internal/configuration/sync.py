"""Transfer of the configuration between processes, in addition to the log."""

from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from jayvalve.errors import JayvalveError
from jayvalve.internal.configuration.follower import ConfigurationFollower
from jayvalve.internal.transport import HandlerTable, PeerContext, PeerPool
from jayvalve.internal.wire.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Heartbeat,
    Hello,
)

__all__ = ["ConfigurationSync"]

FETCH_TIMEOUT_S = 2.0

_log = logger.bind(part="configuration")


class ConfigurationSync:
    """Fetches the document from a peer whose heartbeat shows a higher version.

    Only one fetch runs at a time.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        pool: PeerPool,
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
    ) -> None:
        self._follower = follower
        self._pool = pool
        self._spawn = spawn
        self._fetching = False

    def register(self, handlers: HandlerTable) -> None:
        """Register a handler that answers ConfigurationRequest with the version in force."""

        @handlers.on(ConfigurationRequest)
        async def reply(context: PeerContext, message: ConfigurationRequest) -> ConfigurationReply:
            current = self._follower.in_force
            return ConfigurationReply(current.version, current.digest, current.document)

    def advertised(self) -> tuple[int, str]:
        """Return the version and digest that this process's heartbeats contain."""
        return self._follower.version, self._follower.digest

    def observe(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Start to fetch the document if a peer's heartbeat shows a higher version.

        Does nothing while another fetch is running.
        """
        version, digest = heartbeat.configuration_version, heartbeat.configuration_digest
        if self._fetching or not self._follower.observe_peer(version, digest, peer.address):
            return
        self._fetching = True
        self._spawn(self._fetch(peer))

    async def _fetch(self, peer: Hello) -> None:
        try:
            reply = await self._pool.call(peer.address, ConfigurationRequest(), FETCH_TIMEOUT_S)
            self._follower.adopt(reply.version, reply.digest, reply.document)
        except JayvalveError as error:
            _log.warning("Configuration of {} was not adopted: {}", peer.instance, error.message)
        finally:
            self._fetching = False
