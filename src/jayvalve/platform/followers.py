"""Followers of the store's topics: the configuration, the engines and the other gateways."""

from collections.abc import Awaitable, Callable, Iterable

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.gateway.decisions import DecisionLog
from jayvalve.internal.gateway.directory import EngineDirectory
from jayvalve.internal.gateway.follower import FollowerSettings, KeyedFollower
from jayvalve.internal.gateway.model import EngineRecord, RoutingTable
from jayvalve.internal.gateway.peer_directory import PeerDirectory
from jayvalve.internal.timing import Clock
from jayvalve.platform import names
from jayvalve.platform.records import decode_configuration, decode_engine
from jayvalve.platform.relay import PeerCopy
from jayvalve.platform.store import StoreClient
from jayvalve.platform.topics import KeyedTopic, PeerRegister

__all__ = ["StoreFollowers"]

# Engines write about once per second. Reading every 0.5 s keeps the delay far below the drain time.
ENGINE_READ_INTERVAL_S = 0.5
# How long a read of the list of gateways waits for changes. An outdated list is acceptable, because
# gateways also learn of each other from their messages.
PEER_READ_WAIT_S = 6.0


class StoreFollowers:
    """Keeps the configuration, the engines and the list of gateways up to date.

    Args:
        topic: Returns the client of a topic.
        peer_clients: Returns clients of other gateways, whose copies serve a start while the
            store is unavailable.
        instance: Name of this gateway in the list of gateways.
        directory: Engines.
        peers: Other gateways.
        register: Decodes the entries of gateways.
        apply_table: Called with each configuration that was read.
        log: Log of refused records.

    """

    def __init__(
        self,
        topic: Callable[[str], KeyedTopic],
        peer_clients: Callable[[], Iterable[StoreClient]],
        clock: Clock,
        instance: str,
        directory: EngineDirectory,
        peers: PeerDirectory,
        register: PeerRegister,
        apply_table: Callable[[RoutingTable], None],
        log: DecisionLog,
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._peer_directory = peers
        self._register = register
        self._apply_table = apply_table
        self._log = log
        self._configuration = KeyedFollower(
            topic(names.CONFIG_TOPIC),
            clock,
            FollowerSettings(),
            lambda values: [self._apply_configuration(key, value) for key, value in values.items()],
            self._apply_configuration,
            peers=PeerCopy(peer_clients, names.CONFIG_TOPIC),
        )
        self._engines = KeyedFollower(
            topic(names.ENGINES_TOPIC),
            clock,
            FollowerSettings(pause_s=ENGINE_READ_INTERVAL_S, wait_s=0.5),
            self._replace_engines,
            self._apply_engine,
            # Records of engines may also have expired if only the partition of this topic was
            # unavailable.
            on_recovery=directory.handle_store_recovery,
            peers=PeerCopy(peer_clients, names.ENGINES_TOPIC),
        )
        self._peers = KeyedFollower(
            topic(names.PEERS_TOPIC),
            clock,
            FollowerSettings(wait_s=PEER_READ_WAIT_S),
            self._replace_peers,
            self._apply_peer,
        )

    @property
    def engines_age_s(self) -> float | None:
        """Seconds since the engines were last read, or None before the first read."""
        return self._engines.age_s

    @property
    def shared(self) -> dict[str, KeyedFollower]:
        """Followers by topic whose copies other gateways may read."""
        return {names.CONFIG_TOPIC: self._configuration, names.ENGINES_TOPIC: self._engines}

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        return {
            "configuration": self._configuration.run,
            "engines": self._engines.run,
            "gateways": self._peers.run,
        }

    def _apply_configuration(self, key: str, value: bytes | None) -> None:
        if key != names.CONFIG_KEY or value is None:
            return
        try:
            table = decode_configuration(value)
        except InvalidSettingsError as error:
            self._log.write("configuration refused", error=error.message)
            return
        self._apply_table(table)

    def _replace_engines(self, values: dict[str, bytes]) -> None:
        self._directory.replace_all(
            {key: self._decode_engine(key, value) for key, value in values.items()}
        )

    def _apply_engine(self, key: str, value: bytes | None) -> None:
        self._directory.apply(key, None if value is None else self._decode_engine(key, value))

    def _decode_engine(self, key: str, value: bytes) -> EngineRecord | None:
        record = decode_engine(key, value)
        if record is None:
            self._log.write("engine entry refused", key=ascii(key)[:80], bytes=len(value))
        return record

    def _replace_peers(self, values: dict[str, bytes]) -> None:
        decoded = {key: self._decode_peer(key, value) for key, value in values.items()}
        self._peer_directory.replace_all(
            {key: address for key, address in decoded.items() if address is not None}
        )

    def _apply_peer(self, key: str, value: bytes | None) -> None:
        self._peer_directory.apply(key, self._decode_peer(key, value))

    def _decode_peer(self, key: str, value: bytes | None) -> tuple[str, int] | None:
        """Return the address of another gateway, or None for this one and for none."""
        if value is None or key == self._instance:
            return None
        return self._register.decode(value)
