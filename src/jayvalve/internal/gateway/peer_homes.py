"""The gateways that keep a small piece of shared state in memory, chosen by hashing its key."""

from collections.abc import Callable, Iterable

import attrs

from jayvalve.internal.hashing import rendezvous_order

__all__ = ["PeerHomes"]

Address = tuple[str, int]


@attrs.frozen
class PeerHomes:
    """Chooses the homes of a key among the live gateways, so that all gateways choose alike.

    Attributes:
        own: Address at which other gateways reach this one.
        peers: Returns the addresses of the other live gateways.
        count: Number of homes of a key. With two, a lost datagram or a killed gateway rarely loses
            what they keep.

    """

    own: Address
    peers: Callable[[], Iterable[Address]]
    count: int = 2

    def others(self, key: str) -> list[Address]:
        """Return the homes of a key other than this gateway."""
        addresses = {f"{host}:{port}": (host, port) for host, port in self.peers()}
        host, port = self.own
        addresses[f"{host}:{port}"] = self.own
        order = rendezvous_order(key, addresses)
        return [addresses[name] for name in order[: self.count] if addresses[name] != self.own]
