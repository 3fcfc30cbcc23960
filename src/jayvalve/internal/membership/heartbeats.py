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

# Control traffic may use at most 4 KiB/s. Optional content (load, gossip) stops below that.
OPTIONAL_BYTES_PER_S = 3600.0
# Request id for estimating sizes. Ids grow during the lifetime of a connection; the first
# 65,535 take at most three bytes.
_TYPICAL_REQUEST_ID = 60_000


@attrs.frozen
class HeartbeatSource:
    """Callables that supply the content of this process's heartbeats.

    Attributes:
        state: Returns the state of this process.
        configuration: Returns the version and the digest of the configuration in force.
        load: Returns the load figures to report.

    """

    state: Callable[[], str] = lambda: "live"
    configuration: Callable[[], tuple[int, str]] = lambda: (0, "")
    load: Callable[[], dict[str, Any]] = dict


def with_digest(reply: Heartbeat, request: Heartbeat) -> Heartbeat:
    """Return the reply, with the digest of the request if the reply omits an equal one."""
    same_version = reply.configuration_version == request.configuration_version
    if same_version and not reply.configuration_digest:
        return attrs.evolve(reply, configuration_digest=request.configuration_digest)
    return reply


class HeartbeatBuilder:
    """Builds heartbeats and counts their bytes.

    In a full mesh each peer receives the load with this process's own probes, so replies omit
    it. Replies also omit a digest that the requester already has. Load and gossip are omitted
    while the heartbeats sent have used up the byte budget, which refills at
    OPTIONAL_BYTES_PER_S and is limited to the bytes of one second.
    """

    def __init__(self, view: MembershipView, clock: Clock, source: HeartbeatSource) -> None:
        self._view = view
        self._clock = clock
        self._source = source
        self._gossip = GossipQueue()
        self._sequence = 0
        self._bytes_sent = 0
        self._byte_budget = OPTIONAL_BYTES_PER_S
        self._refilled_s = clock.now()
        view.subscribe(lambda change: self._gossip.add(change.member))

    @property
    def bytes_sent(self) -> int:
        """Estimated size of all heartbeats and replies recorded as sent so far, in bytes."""
        return self._bytes_sent

    def request(self, receiver: str, extra: Iterable[list[Any]] = ()) -> Heartbeat:
        """Return a probe for the receiver; its updates begin with those in extra."""
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

    def record_sent(self, message: Heartbeat) -> None:
        """Count the bytes of a message that is about to be sent."""
        size = len(encode(_TYPICAL_REQUEST_ID, 0, message))
        self._bytes_sent += size
        self._byte_budget -= size

    def _build(
        self,
        receiver: str,
        sequence: int,
        configuration: tuple[int, str],
        with_load: bool,
        extra: Iterable[list[Any]],
    ) -> Heartbeat:
        is_within_budget = self._refill_byte_budget() > 0
        load = self._source.load() if with_load and is_within_budget else {}
        updates = [*extra, *self._updates_for(receiver, is_within_budget)]
        return Heartbeat(
            sequence,
            self._source.state(),
            *configuration,
            load,
            updates,
            self._view.refutation,
        )

    def _updates_for(self, receiver: str, is_within_budget: bool) -> list[list[Any]]:
        member = self._view.get(receiver)
        updates = []
        # The receiver must learn that it is reported as suspect or dead, otherwise it cannot
        # refute the report.
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            updates.append(encode_update(member, self._view.refutation_of(receiver)))
        remaining = GossipQueue.MAX_UPDATES - len(updates)
        if is_within_budget:
            updates += self._gossip.next_updates(self._view, remaining, skip=receiver)
        return [update for update in updates if update is not None]

    def _refill_byte_budget(self) -> float:
        now = self._clock.now()
        refill = (now - self._refilled_s) * OPTIONAL_BYTES_PER_S
        self._byte_budget = min(OPTIONAL_BYTES_PER_S, self._byte_budget + refill)
        self._refilled_s = now
        return self._byte_budget
