"""Requests of the other gateways at each engine, as reported in their messages."""

from collections import OrderedDict

import attrs

from jayvalve.internal.timing import Clock

__all__ = ["PeerLoads", "PeerSettings"]

Address = tuple[str, int]


@attrs.frozen
class PeerSettings:
    """Intervals and limits of the load exchange.

    Attributes:
        min_interval_s: Minimum time between two rounds of messages; a turn lasts about 0.25 s.
        fan_out: Maximum number of gateways to which a round sends messages, starting with those
            that have waited longest. The limit keeps the number of messages from growing with the
            square of the number of gateways. For every 32 gateways, the loads known to the others
            are 0.06 s older. With loads that are 0.12 s old, the requests of a burst are already
            placed worse (docs/policy.md).
        poll_interval_s: Maximum time for which received messages wait in the socket. The loads of
            30 busy gateways are about 25 KB in that time, and a socket's buffer has room for
            several times as much.
        keepalive_interval_s: Time after which a message is sent even without a change.
        idle_keepalive_interval_s: The same for a gateway that has neither requests nor reports of
            failing engines. Its messages let processes that start during an outage of the store
            discover the other gateways.
        peer_ttl_s: Maximum age of the last message of a gateway that may be called, in seconds.
            Gateways whose last message is older are dropped.
        max_reports: Maximum number of engines named in the messages that are kept, in all; those of
            the gateways heard least recently are dropped. One takes about 200 bytes.
        max_peers: Maximum number of gateways whose messages are kept.
        max_messages: Maximum number of messages that are read before other work goes on.
        stale_s: Loads older than this are ignored, as their sender has stopped or is cut off.

    """

    min_interval_s: float = 0.06
    fan_out: int = 32
    poll_interval_s: float = 0.1
    keepalive_interval_s: float = 0.5
    idle_keepalive_interval_s: float = 1.0
    peer_ttl_s: float = 3.0
    stale_s: float = 1.2
    max_reports: int = 20_000
    max_peers: int = 2000
    max_messages: int = 100


@attrs.define
class _PeerLoad:
    received_s: float
    sequence: int
    running: dict[str, tuple[int, int]]
    address: Address
    reaches_store: bool


class PeerLoads:
    """Requests of the other gateways at each engine.

    Each request needs the sums of all engines. They are therefore updated with each message, which
    is cheaper than adding up the loads of all gateways for each request.
    """

    def __init__(self, clock: Clock, settings: PeerSettings) -> None:
        self._clock = clock
        self._settings = settings
        # Ordered by the time of the last message, oldest first.
        self._peers: OrderedDict[str, _PeerLoad] = OrderedDict()
        self._totals: dict[str, tuple[int, int]] = {}
        self._reports = 0

    @property
    def live(self) -> int:
        """Number of gateways whose last message is at most ``stale_s`` old."""
        cutoff_s = self._clock.now() - self._settings.stale_s
        return sum(peer.received_s >= cutoff_s for peer in self._peers.values())

    def live_addresses(self) -> set[Address]:
        """Return the addresses of the gateways whose last message is at most ``peer_ttl_s`` old."""
        cutoff_s = self._clock.now() - self._settings.peer_ttl_s
        return {peer.address for peer in self._peers.values() if peer.received_s >= cutoff_s}

    def addresses_without_store(self) -> set[Address]:
        """Return the addresses of the live gateways that report that they do not reach the store.

        Calls to the store that are sent through one of them are refused.
        """
        cutoff_s = self._clock.now() - self._settings.stale_s
        return {
            peer.address
            for peer in self._peers.values()
            if not peer.reaches_store and peer.received_s >= cutoff_s
        }

    def running(self, engine_id: str) -> tuple[int, int]:
        """Return the number of requests of other gateways at an engine, and of their tokens."""
        self._drop_stale()
        return self._totals.get(engine_id, (0, 0))

    def receive(
        self,
        sender: str,
        sequence: int,
        running: dict[str, tuple[int, int]],
        address: Address,
        reaches_store: bool = True,
    ) -> None:
        """Record the loads of a message; messages that arrive out of order are ignored.

        Raises:
            ValueError, TypeError: The loads are malformed.

        """
        previous = self._peers.get(sender)
        if previous is not None and sequence <= previous.sequence:
            return
        loads = {engine_id: (int(count), int(size)) for engine_id, (count, size) in running.items()}
        if previous is not None:
            self._add(previous.running, -1)
        self._peers[sender] = _PeerLoad(self._clock.now(), sequence, loads, address, reaches_store)
        self._peers.move_to_end(sender)
        self._add(loads, 1)
        self._reports += len(loads) - (0 if previous is None else len(previous.running))
        while self._reports > self._settings.max_reports or len(self._peers) > (
            self._settings.max_peers
        ):
            self._drop(next(iter(self._peers)))

    def _drop(self, sender: str) -> None:
        """Forget a gateway."""
        self._clear(self._peers.pop(sender))

    def _clear(self, peer: _PeerLoad) -> None:
        """Subtract the loads of a gateway from the sums."""
        self._add(peer.running, -1)
        self._reports -= len(peer.running)
        peer.running = {}

    def _drop_stale(self) -> None:
        """Subtract stale loads from the sums, and drop gateways without a recent message."""
        now = self._clock.now()
        expired = []
        for name, peer in self._peers.items():
            age_s = now - peer.received_s
            if age_s <= self._settings.stale_s:
                break
            self._clear(peer)
            if age_s > self._settings.peer_ttl_s:
                expired.append(name)
        for name in expired:
            del self._peers[name]

    def _add(self, running: dict[str, tuple[int, int]], sign: int) -> None:
        for engine_id, (count, size) in running.items():
            requests, tokens = self._totals.get(engine_id, (0, 0))
            requests, tokens = requests + sign * count, tokens + sign * size
            if requests or tokens:
                self._totals[engine_id] = (requests, tokens)
            else:
                self._totals.pop(engine_id, None)
