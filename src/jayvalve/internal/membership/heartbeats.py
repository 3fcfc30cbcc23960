"""Content and size of the heartbeats that a process sends."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from jayvalve.internal.membership.gossip import GossipQueue
from jayvalve.internal.membership.member import MemberState, encode_update
from jayvalve.internal.membership.view import MembershipView
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire import encode
from jayvalve.internal.wire.messages import Heartbeat

__all__ = ["HeartbeatBuilder", "HeartbeatSource", "with_digest"]

# The bound on control traffic is 4 KB/s; optional content (load, gossip) stops below it.
OPTIONAL_BYTES_PER_S = 3600.0
# Request ids grow during a connection's life; three bytes cover the first 65,535 requests.
_TYPICAL_REQUEST_ID = 60_000


@attrs.frozen
class HeartbeatSource:
    """Callables that give the content of this process's heartbeats."""

    state: Callable[[], str] = lambda: "live"
    configuration: Callable[[], tuple[int, str]] = lambda: (0, "")
    load: Callable[[], dict[str, Any]] = dict


def with_digest(reply: Heartbeat, request: Heartbeat) -> Heartbeat:
    """Return the reply with the digest that it left out because it equals the request's."""
    same_version = reply.configuration_version == request.configuration_version
    if same_version and not reply.configuration_digest:
        return attrs.evolve(reply, configuration_digest=request.configuration_digest)
    return reply


class HeartbeatBuilder:
    """Builds heartbeats and counts their bytes.

    In a full mesh each peer gets the load with this process's own probes, so replies leave it
    out; replies also leave out a digest that the requester has. Load and gossip are left out
    once the heartbeats of the last second reach OPTIONAL_BYTES_PER_S.
    """

    def __init__(self, view: MembershipView, clock: Clock, source: HeartbeatSource) -> None:
        self._view = view
        self._clock = clock
        self._source = source
        self._gossip = GossipQueue()
        self._sequence = 0
        self._bytes_sent = 0
        self._allowance = OPTIONAL_BYTES_PER_S
        self._allowance_s = clock.now()
        view.subscribe(lambda change: self._gossip.add(change.member))

    @property
    def bytes_sent(self) -> int:
        """Encoded size of all heartbeats and replies counted so far."""
        return self._bytes_sent

    def request(self, receiver: str, extra: Iterable[list[Any]] = ()) -> Heartbeat:
        """Return a probe for the receiver; extra goes before the updates."""
        self._sequence += 1
        version, digest = self._source.configuration()
        return self._build(receiver, self._sequence, (version, digest), True, extra)

    def reply(
        self,
        receiver: str,
        request: Heartbeat,
        with_load: bool,
        extra: Iterable[list[Any]] = (),
    ) -> Heartbeat:
        """Return the answer to a probe."""
        version, digest = self._source.configuration()
        if (version, digest) == (request.configuration_version, request.configuration_digest):
            digest = ""
        return self._build(receiver, request.sequence, (version, digest), with_load, extra)

    def count(self, message: Heartbeat) -> None:
        """Add a message that is being sent to the byte count."""
        size = len(encode(_TYPICAL_REQUEST_ID, 0, message))
        self._bytes_sent += size
        self._allowance -= size

    def _build(
        self,
        receiver: str,
        sequence: int,
        configuration: tuple[int, str],
        with_load: bool,
        extra: Iterable[list[Any]],
    ) -> Heartbeat:
        has_allowance = self._refill_allowance() > 0
        load = self._source.load() if with_load and has_allowance else {}
        updates = [*extra, *self._updates_for(receiver, has_allowance)]
        return Heartbeat(
            sequence,
            self._source.state(),
            *configuration,
            load,
            updates,
            self._view.refutation,
        )

    def _updates_for(self, receiver: str, has_allowance: bool) -> list[list[Any]]:
        accused = self._view.get(receiver)
        updates = []
        # The receiver has to learn that it is accused, or it could not refute it.
        if accused is not None and accused.state in (MemberState.SUSPECT, MemberState.DEAD):
            updates.append(encode_update(accused, self._view.refutation_of(receiver)))
        room = GossipQueue.MAX_UPDATES - len(updates)
        if has_allowance:
            updates += self._gossip.take(self._view, room, skip=receiver)
        return [update for update in updates if update is not None]

    def _refill_allowance(self) -> float:
        now = self._clock.now()
        gained = (now - self._allowance_s) * OPTIONAL_BYTES_PER_S
        self._allowance = min(OPTIONAL_BYTES_PER_S, self._allowance + gained)
        self._allowance_s = now
        return self._allowance
