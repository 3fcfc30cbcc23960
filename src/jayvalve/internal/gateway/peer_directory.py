"""Addresses of the other gateways: registered ones, and those that stopped a short time ago."""

from collections.abc import Iterable, Mapping

import attrs

from jayvalve.internal.timing import Clock

__all__ = ["DirectoryRetention", "PeerDirectory"]

Address = tuple[str, int]


@attrs.frozen
class DirectoryRetention:
    """How long a gateway that has stopped is remembered.

    Attributes:
        departed_s: Time after its withdrawal in which a gateway still gets load messages, in
            seconds. A process that is restarted while the store is away learns from them whom to
            ask for the configuration. Planned restarts take a few seconds, outages up to ten.

    """

    departed_s: float = 20.0


class PeerDirectory:
    """Addresses of the other gateways by instance."""

    def __init__(self, clock: Clock, settings: DirectoryRetention) -> None:
        self._clock = clock
        self._settings = settings
        self._registered: dict[str, Address] = {}
        self._loaded = False
        self._departed_until_s: dict[Address, float] = {}

    @property
    def known(self) -> int | None:
        """Number of gateways, including this one, or None before the register was read."""
        return len(self._registered) + 1 if self._loaded else None

    @property
    def registered(self) -> list[Address]:
        """Addresses of the gateways that are registered."""
        return list(self._registered.values())

    def message_targets(self, live: Iterable[Address] = ()) -> list[Address]:
        """Return the addresses that get load messages.

        Args:
            live: Gateways heard from recently. One that was restarted while the store is away is
                not registered, and would hear no others if these did not answer its messages.

        Returns:
            Registered gateways, those that stopped recently, and live ones.

        """
        now = self._clock.now()
        registered = self.registered
        self._departed_until_s = {
            address: until_s
            for address, until_s in self._departed_until_s.items()
            if until_s > now and address not in registered
        }
        known = {*registered, *self._departed_until_s}
        others = [address for address in live if address not in known]
        return [*registered, *self._departed_until_s, *others]

    def replace_all(self, addresses: Mapping[str, Address]) -> None:
        """Replace the registered gateways."""
        self._loaded = True
        for instance in list(self._registered):
            if instance not in addresses:
                self.apply(instance, None)
        for instance, address in addresses.items():
            self.apply(instance, address)

    def apply(self, instance: str, address: Address | None) -> None:
        """Apply a change of one gateway; None if it has withdrawn."""
        previous = self._registered.pop(instance, None)
        if previous is not None and previous != address:
            self._departed_until_s[previous] = self._clock.now() + self._settings.departed_s
        if address is not None:
            self._registered[instance] = address
