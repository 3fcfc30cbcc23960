"""Finds out which software began a stream, so that it goes on only there.

What two versions of an engine's software generate does not fit together, and a caller that resumes
a stream names only the attempt that began it. The gateway that began it tells two other gateways
and the store; an origin that nobody knows is not guessed.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Any, Self

import attrs
from loguru import logger

from jayvalve.errors import StreamUnknownError
from jayvalve.internal.gateway.origin_log import OriginLog, OriginLogSettings
from jayvalve.internal.gateway.origin_table import OriginTable, StreamOrigin
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.gateway.peer_homes import PeerHomes
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["FoundOrigin", "StreamOrigins"]

_log = logger.bind(part="stream_origins")

# Maximum length of the id of a stream with the name of its organisation, of a service and of a
# version, in characters. Longer ones are no ids of the platform and are not kept.
MAX_TEXT_CHARACTERS = 1024
# Maximum time to wait for the answer of one gateway, in seconds. Reading the store takes less.
PEER_TIMEOUT_S = 0.1
# One append takes many of the short records. A search for a stream that its caller does not name
# reads all partitions.
MAX_PARTITIONS = 4
_BEGAN = "stream_began"
_FIND = "stream_find"


@attrs.frozen
class FoundOrigin:
    """The origin of a stream.

    Attributes:
        source: Who knew it: memory, peer or store; only, if there was no other possibility.

    """

    origin: StreamOrigin
    source: str


class StreamOrigins:
    """Records and finds the origins of resumable streams.

    Args:
        calls: Calls between the gateways.
        homes: Gateways that are told of each stream.
        log: Origins in the store.
        table: Origins that this process knows.
        versions: Returns the software versions of a service's engines.

    """

    def __init__(
        self,
        calls: PeerCalls,
        homes: PeerHomes,
        log: OriginLog,
        table: OriginTable,
        versions: Callable[[str], set[str]],
        metrics: Metrics,
    ) -> None:
        self._versions = versions
        self._calls = calls
        self._homes = homes
        self._origin_log = log
        self._table = table
        self._metrics = metrics
        calls.on(_FIND)(self._serve_find)
        calls.on_notice(_BEGAN)(self._receive_began)

    @classmethod
    def from_config(
        cls,
        storage: Storage,
        partitions: int,
        calls: PeerCalls,
        own: tuple[str, int],
        peers: Callable[[], Iterable[tuple[str, int]]],
        versions: Callable[[str], set[str]],
        clock: Clock,
        metrics: Metrics,
    ) -> Self:
        """Create the origins of a gateway.

        Args:
            storage: Access to the store.
            partitions: Number of partitions of a topic in the store.
            calls: Calls between the gateways.
            own: Address at which other gateways reach this one.
            peers: Returns the addresses of the other live gateways.
            versions: Returns the software versions of a service's engines.
            clock: Clock of the process.
            metrics: Metrics of the process.

        """
        table = OriginTable()
        places = PartitionMap("streams-", 1, min(partitions, MAX_PARTITIONS))
        log = OriginLog(storage, places, table, clock, OriginLogSettings())
        return cls(calls, PeerHomes(own, peers), log, table, versions, metrics)

    @property
    def pending(self) -> int:
        """Number of origins that are not stored yet."""
        return self._origin_log.pending

    async def run(self) -> None:
        """Write origins to the store until cancelled."""
        await self._origin_log.run()

    def record(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record what began a stream, before its caller gets the first event."""
        self._table.add(stream_id, origin)
        for home in self._homes.others(stream_id):
            self._calls.notify(home, _BEGAN, [stream_id, origin.service, origin.version])
        self._origin_log.append(stream_id, origin)

    async def find(self, stream_id: str, deadline: Deadline) -> FoundOrigin:
        """Return what began a stream.

        Raises:
            StreamUnknownError: Nobody knows it, or it was told differently.
            UnavailableError: The store cannot be read, and no gateway that was asked knows it.

        """
        source = "memory"
        if stream_id not in self._table:
            source = "peer"
            await self._ask_homes(stream_id)
        if stream_id not in self._table:
            source = "store"
            await self._origin_log.find(stream_id, deadline)
        origin = self._table.get(stream_id)
        if origin is None:
            self._count("none")
            raise StreamUnknownError("no gateway and no record knows what began the stream")
        self._count(source)
        return FoundOrigin(origin, source)

    async def find_only(self, services: Collection[str], deadline: Deadline) -> FoundOrigin:
        """Return what began a stream whose caller does not name it, if only one version can have.

        That is so if all streams of the last seconds at these services were of one version, and all
        engines there are.

        Raises:
            StreamUnknownError: Several versions may have begun the stream.
            UnavailableError: The store cannot be read.

        """
        recent = await self._origin_log.recent(services, deadline)
        serving = {
            StreamOrigin(service, version)
            for service in services
            for version in self._versions(service)
        }
        if len(recent) != 1 or recent != serving:
            self._count("none")
            raise StreamUnknownError(
                "the request names no attempt, and several versions may have begun its stream"
            )
        self._count("only")
        return FoundOrigin(recent.pop(), "only")

    def _count(self, source: str) -> None:
        self._metrics.count("jayvalve_gateway_resumed_streams_total", origin=source)

    async def _ask_homes(self, stream_id: str) -> None:
        if len(stream_id) > MAX_TEXT_CHARACTERS:
            return
        for home in self._homes.others(stream_id):
            try:
                answer = await self._calls.call(home, _FIND, [stream_id], PEER_TIMEOUT_S)
                if answer:
                    self._table.add(stream_id, _checked_origin(*answer))
                    return
            except (PeerTimeoutError, *MALFORMED_ERRORS) as error:
                _log.bind(stream=stream_id, error=str(error)).info(
                    "a gateway did not return the origin of a stream"
                )

    async def _serve_find(self, arguments: list[Any]) -> list[Any]:
        (stream_id,) = arguments
        origin = self._table.get(stream_id)
        return [] if origin is None else [origin.service, origin.version]

    def _receive_began(self, arguments: list[Any]) -> None:
        stream_id, service, version = arguments
        self._table.add(_checked_text(stream_id), _checked_origin(service, version))


def _checked_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"{value!r:.80} is no text of at most {MAX_TEXT_CHARACTERS} characters")
    return value


def _checked_origin(service: Any, version: Any) -> StreamOrigin:
    return StreamOrigin(_checked_text(service), _checked_text(version))
