"""Where the store holds each turn, so that a gateway reads one record instead of a partition.

A partition holds the turns of many programs, so searching it for one turn costs more with every
turn that was stored before. The gateway that stores a turn therefore sends the location to the
turn's homes, which are chosen by hashing the turn's id over the live gateways, and the gateway
that continues the turn asks them. A location is only a hint: whoever does not get one, or does not
find the turn there, searches the partitions.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.gateway.peer_homes import PeerHomes
from jayvalve.internal.malformed import MALFORMED_ERRORS, checked_address

__all__ = ["LocationSettings", "TurnFetcher", "TurnLocation", "TurnLocations"]

_log = logger.bind(part="turn_locations")

Address = tuple[str, int]
# Returns the records of a turn that a gateway has in memory, or None.
TurnFetcher = Callable[[Address, str, float], Awaitable[list[bytes] | None]]

# Maximum length of the id of a turn with the name of its organisation, in characters.
MAX_ID_CHARACTERS = 1024
_STORED = "turn_stored"
_LOCATE = "turn_locate"


@attrs.frozen
class TurnLocation:
    """Position of a turn in the store.

    Attributes:
        choice: Which of the turn's partitions, as in PartitionMap.of.
        offset: Offset of the turn's first record.
        size: Total size of the turn's records, in bytes.
        writer: Address of the gateway that stored the turn and may still have it in memory, or
            None if unknown.

    """

    choice: int
    offset: int
    size: int
    writer: Address | None = None

    @classmethod
    def from_message(cls, fields: Any) -> "TurnLocation":
        """Build from the fields of a message or a record.

        Raises:
            ValueError: the fields are not three whole numbers of 0 or more and an address.

        """
        valid = isinstance(fields, list | tuple) and len(fields) in (3, 4)
        if not valid or any(type(field) is not int or field < 0 for field in fields[:3]):
            raise ValueError(f"{fields!r} is not the choice, offset and size of a turn")
        choice, offset, size, *rest = fields
        writer = checked_address(*rest[0]) if rest and rest[0] else None
        return cls(choice, offset, size, writer)


@attrs.frozen
class LocationSettings:
    """Limits of the location exchange.

    Attributes:
        homes: Number of gateways that keep each location. With two, a lost datagram or a killed
            gateway rarely makes a gateway search a partition.
        max_locations: Maximum number of locations kept; the oldest are dropped first. One takes
            about 300 bytes.
        timeout_s: Maximum time to wait for the answer of one home, in seconds. Searching a
            partition takes about as long on a gateway with a slow link.

    """

    homes: int = 2
    max_locations: int = 8192
    timeout_s: float = 0.1


class TurnLocations:
    """Keeps and finds the locations of turns.

    Args:
        calls: Calls between the gateways.
        own: Address at which other gateways reach this one.
        peers: Returns the addresses of the other live gateways.

    """

    def __init__(
        self,
        calls: PeerCalls,
        own: Address,
        peers: Callable[[], Iterable[Address]],
        settings: LocationSettings,
    ) -> None:
        self._calls = calls
        self._own_address = own
        self._homes = PeerHomes(own, peers, settings.homes)
        self._settings = settings
        self._known: OrderedDict[str, TurnLocation] = OrderedDict()
        calls.on(_LOCATE)(self._serve_locate)
        calls.on_notice(_STORED)(self._receive_stored)

    def remember(self, turn_id: str, location: TurnLocation) -> None:
        """Keep a location for later use by this gateway."""
        self._known[turn_id] = location
        self._known.move_to_end(turn_id)
        while len(self._known) > self._settings.max_locations:
            self._known.popitem(last=False)

    def known(self, turn_id: str) -> TurnLocation | None:
        """Return the location of a turn if this gateway knows it already."""
        return self._known.get(turn_id)

    def publish(self, turn_id: str, location: TurnLocation) -> None:
        """Keep the location of a turn that was just stored, and send it to the turn's homes.

        Args:
            turn_id: Id of the turn.
            location: Its location; this gateway is entered as the writer.

        """
        location = attrs.evolve(location, writer=self._own_address)
        self.remember(turn_id, location)
        for home in self._homes.others(turn_id):
            self._calls.notify(home, _STORED, [turn_id, *attrs.astuple(location)])

    async def find(self, turn_id: str) -> TurnLocation | None:
        """Return the location of a turn, or None if neither this gateway nor a home knows it."""
        location = self._known.get(turn_id)
        if location is not None:
            return location
        for home in self._homes.others(turn_id):
            location = await self._ask(home, turn_id)
            if location is not None:
                self.remember(turn_id, location)
                return location
        return None

    async def _ask(self, home: Address, turn_id: str) -> TurnLocation | None:
        try:
            answer = await self._calls.call(home, _LOCATE, [turn_id], self._settings.timeout_s)
            return TurnLocation.from_message(answer) if answer else None
        except (PeerTimeoutError, *MALFORMED_ERRORS) as error:
            _log.bind(turn=turn_id, error=str(error)).info("a home did not return a location")
            return None

    async def _serve_locate(self, arguments: list[Any]) -> list[Any]:
        (turn_id,) = arguments
        location = self._known.get(turn_id)
        return [] if location is None else list(attrs.astuple(location))

    def _receive_stored(self, arguments: list[Any]) -> None:
        turn_id, *fields = arguments
        if not isinstance(turn_id, str) or len(turn_id) > MAX_ID_CHARACTERS:
            raise ValueError(f"{turn_id!r:.80} is not the id of a turn")
        self.remember(turn_id, TurnLocation.from_message(fields))
