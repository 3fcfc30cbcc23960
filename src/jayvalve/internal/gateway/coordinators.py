"""Choice of the gateway that decides about a key on behalf of all gateways."""

from collections.abc import Callable, Iterable

from loguru import logger

from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.timing import Clock

__all__ = ["Coordinators", "coordinator_share"]

_log = logger.bind(part="coordinators")

Address = tuple[str, int]


def coordinator_share(heard: int, known: int | None, unknown_share: float) -> float:
    """Return the part of a shared limit that a coordinator may hand out, from 0 to 1.

    Gateways that do not reach each other choose different coordinators. A coordinator that hears
    the majority of the fleet hands out the whole limit, and one in the minority only the part of
    the gateways that it hears. Together they stay below one and a half times the limit.

    Args:
        heard: Number of gateways that it hears, including itself.
        known: Number of registered gateways, including itself, or None if the register has not
            been read yet.
        unknown_share: Part for a gateway that hears no other and does not know how many there
            are, such as one that has just started without the store.

    """
    if known is None:
        return unknown_share if heard <= 1 else 1.0
    if 2 * heard > known:
        return 1.0
    return heard / known


class Coordinators:
    """Orders the live gateways by their preference for a key.

    Each gateway computes the same order from its own view of the fleet, without messages. Gateways
    that did not answer or are stopping are avoided for a time.

    Args:
        own: Address at which other gateways reach this one.
        peers: Returns the addresses of the other live gateways.

    """

    def __init__(self, own: Address, peers: Callable[[], Iterable[Address]], clock: Clock) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._withdrawn = False
        self._avoid_until_s: dict[Address, float] = {}

    @property
    def own(self) -> Address:
        """Address of this gateway."""
        return self._own

    @property
    def withdrawn(self) -> bool:
        """Whether this gateway no longer coordinates because it is shutting down."""
        return self._withdrawn

    @property
    def heard(self) -> int:
        """Number of live gateways, including this one."""
        return len(set(self._peers()) | {self._own})

    def order(self, key: str) -> list[Address]:
        """Return the gateways that may decide about a key, the preferred one first."""
        now = self._clock.now()
        self._avoid_until_s = {
            address: until_s for address, until_s in self._avoid_until_s.items() if until_s > now
        }
        usable = {address for address in self._peers() if address not in self._avoid_until_s}
        if not self._withdrawn:
            usable.add(self._own)
        names = {f"{host}:{port}": (host, port) for host, port in usable}
        return [names[name] for name in rendezvous_order(key, names)]

    def avoid(self, address: Address, seconds: float, reason: str) -> None:
        """Prefer other gateways to the given one for a time, in seconds."""
        self._avoid_until_s[address] = self._clock.now() + seconds
        _log.bind(coordinator=f"{address[0]}:{address[1]}", reason=reason, seconds=seconds).info(
            "asks another gateway"
        )

    def withdraw(self) -> None:
        """Stop coordinating before a planned shutdown."""
        self._withdrawn = True
