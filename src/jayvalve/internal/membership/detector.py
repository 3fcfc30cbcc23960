"""Failure detector: probes other processes and gossips membership updates."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from jayvalve.errors import JayvalveError
from jayvalve.internal.membership.health import LocalHealth
from jayvalve.internal.membership.heartbeats import (
    HeartbeatBuilder,
    HeartbeatSource,
    with_digest,
)
from jayvalve.internal.membership.member import Member, MemberState, decode_update
from jayvalve.internal.membership.view import SUSPECT_AFTER_S, MembershipView
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import HandlerTable, PeerConnection, PeerContext, PeerPool
from jayvalve.internal.wire.messages import Heartbeat, Hello

__all__ = ["Detector"]

FULL_MESH_LIMIT = 16
MESH_INTERVAL_S = 0.5
RANDOM_INTERVAL_S = 1.0
# Shorter than MESH_INTERVAL_S, so that a probe ends before the next one starts.
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 2
# State of the heartbeats by which a connection checks that it still delivers. They are echoed and
# do not affect the view.
KEEPALIVE_STATE = "keepalive"
# Kind of an update that asks the receiver to probe an address. The reply repeats the update if
# the address answered.
_INDIRECT_PROBE = "probe"

PeerListener = Callable[[Hello, Heartbeat], None]


class Detector:
    """Probes peers, answers their heartbeats and keeps the view current.

    In a deployment of up to FULL_MESH_LIMIT processes, every peer is probed each
    MESH_INTERVAL_S. In a larger one, one peer per RANDOM_INTERVAL_S is probed, in shuffled
    round-robin order. If such a probe fails, INDIRECT_PROBES other members probe the peer before
    the failure is recorded. The peer is then probed each MESH_INTERVAL_S until it answers or is
    declared dead.
    """

    def __init__(
        self,
        identity: Hello,
        view: MembershipView,
        pool: PeerPool,
        clock: Clock,
        *,
        source: HeartbeatSource | None = None,
        seeds: Iterable[str] = (),
        rng: random.Random | None = None,
        listener: PeerListener | None = None,
    ) -> None:
        self._identity = identity
        self._view = view
        self._pool = pool
        self._clock = clock
        self._builder = HeartbeatBuilder(view, clock, source or HeartbeatSource())
        self._seeds = [seed for seed in seeds if seed != identity.address]
        self._rng = rng or random.Random()
        self._listener = listener
        self._health = LocalHealth()
        self._shuffled_targets: list[Member] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._probed_addresses: set[str] = set()
        self._silent_connections: dict[str, tuple[PeerConnection, float]] = {}
        self._log = logger.bind(part="membership")

    @property
    def bytes_sent(self) -> int:
        """Estimated size of all heartbeats and replies sent so far except keepalives, in bytes."""
        return self._builder.bytes_sent

    @property
    def health(self) -> LocalHealth:
        """Lag of this process's own event loop and the timeout multiplier derived from it."""
        return self._health

    @property
    def interval_s(self) -> float:
        """Interval between two rounds of probes, in seconds."""
        return MESH_INTERVAL_S if self._is_full_mesh else RANDOM_INTERVAL_S

    @property
    def _is_full_mesh(self) -> bool:
        # Excludes gone members, so that a deployment that shrinks returns to the full mesh.
        present_count = sum(not member.state.is_gone for member in self._view.members())
        return present_count + 1 <= FULL_MESH_LIMIT

    def register(self, handlers: HandlerTable) -> None:
        """Register this detector as the handler of Heartbeat messages."""
        handlers.on(Heartbeat)(self.answer)

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                self.start_round()
                await self._sleep(MESH_INTERVAL_S)
                if not self._is_full_mesh:
                    self._start_probes(self._view.members_to_probe(self._clock.now()))
                    await self._sleep(RANDOM_INTERVAL_S - MESH_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_round(self) -> None:
        """Apply the view's timeouts, log its changes and start the probes of one interval.

        Each probe runs as a separate task.
        """
        now = self._clock.now()
        for change in self._view.tick(now, self._health.timeout_multiplier):
            self._log.info("{} is {}", change.member.instance, change.member.state)
        suspected = self._view.members_to_probe(now)
        self._start_probes({m.instance: m for m in [*suspected, *self.next_targets()]}.values())
        for address in self._seeds:
            if self._view.by_address(address) is None:
                self._start_probe(address, self._exchange_heartbeats(address))

    def next_targets(self) -> list[Member]:
        """Return the members to probe in this interval.

        Dead members are included, so that both sides of a healed partition find each other.
        """
        candidates = [m for m in self._view.members() if m.state is not MemberState.LEFT]
        if self._is_full_mesh:
            return candidates
        while True:
            if not self._shuffled_targets:
                self._shuffled_targets = candidates
                self._rng.shuffle(self._shuffled_targets)
            member = self._shuffled_targets.pop()
            current = self._view.get(member.instance)
            if current is not None and current.state is not MemberState.LEFT:
                return [current]

    async def answer(self, context: PeerContext, message: Heartbeat) -> Heartbeat:
        """Process a heartbeat of another process and return the reply."""
        if message.state == KEEPALIVE_STATE:
            return Heartbeat(message.sequence, KEEPALIVE_STATE)
        self._observe_heartbeat(context.peer, message)
        confirmed = [
            [_INDIRECT_PROBE, address]
            for address in _indirect_probe_addresses(message)
            if self._view.by_address(address) and await self._exchange_heartbeats(address)
        ]
        reply = self._builder.reply(
            context.peer.instance, message, with_load=not self._is_full_mesh, extra=confirmed
        )
        self._builder.record_sent(reply)
        return reply

    async def probe(self, member: Member) -> bool:
        """Probe a member and return whether it answered.

        In a large deployment, other members probe it if the direct probe fails.
        """
        sent_s = self._clock.now()
        reply = await self._exchange_heartbeats(member.address, member.instance)
        if reply is not None:
            return True
        if not self._is_full_mesh and await self._probe_indirectly(member):
            self._view.observe_indirect_answer(member.instance)
            return True
        self._view.observe_failure(member.instance, sent_s)
        return False

    async def announce(self) -> None:
        """Send this process's state to other members without waiting for the next probes.

        In a full mesh all members receive it. In a larger deployment FULL_MESH_LIMIT random
        members receive it and gossip it to the others.
        """
        targets = self._view.live() + self._view.draining()
        chosen = self._rng.sample(targets, min(FULL_MESH_LIMIT, len(targets)))
        await asyncio.gather(*(self._exchange_heartbeats(m.address, m.instance) for m in chosen))

    async def _sleep(self, seconds: float) -> None:
        due_s = self._clock.now() + seconds
        await asyncio.sleep(seconds)
        lag_s = max(0.0, self._clock.now() - due_s)
        self._health.observe_lag(lag_s)
        if lag_s > LocalHealth.PAUSE_THRESHOLD_S:
            self._view.extend_timeouts(lag_s)

    def _start_probes(self, members: Iterable[Member]) -> None:
        for member in members:
            self._start_probe(member.address, self.probe(member))

    def _start_probe(self, address: str, probe: Any) -> None:
        if address in self._probed_addresses:
            probe.close()
            return
        self._probed_addresses.add(address)
        task = asyncio.ensure_future(probe)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish_probe(address, done))

    def _finish_probe(self, address: str, task: asyncio.Task[bool]) -> None:
        self._probed_addresses.discard(address)
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                "probe of {} raised an unexpected exception: {!r}", address, task.exception()
            )

    async def _exchange_heartbeats(
        self, address: str, instance: str = "", extra: Iterable[list[Any]] = ()
    ) -> Heartbeat | None:
        """Exchange heartbeats and return the reply, or None.

        A reply from a process other than instance is not returned, unless instance is empty.
        """
        request = self._builder.request(instance, extra)
        # The helper of an indirect probe needs the same time again for its own probe.
        timeout_s = PROBE_TIMEOUT_S * self._health.timeout_multiplier * (2 if extra else 1)
        sent_s = self._clock.now()
        connection = None
        with contextlib.suppress(JayvalveError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.connection(address)
                self._builder.record_sent(request)
                # Longer than the enclosing timeout, so that only the enclosing one fires.
                reply = await connection.call(request, 2 * timeout_s)
            self._silent_connections.pop(address, None)
            if isinstance(reply, Heartbeat):
                self._observe_heartbeat(connection.peer, with_digest(reply, request))
                return reply if instance in ("", connection.peer.instance) else None
        if connection is not None:
            await self._close_if_silent(address, connection, sent_s)
        return None

    async def _close_if_silent(
        self, address: str, connection: PeerConnection, sent_s: float
    ) -> None:
        # The process may be healthy although its connection is silent. Closing the connection
        # makes the next probe open a new one. The limit is slightly shorter than the time after
        # which an unanswered peer becomes suspect.
        known, since_s = self._silent_connections.get(address, (None, 0.0))
        if known is not connection:
            self._silent_connections[address] = (connection, sent_s)
            return
        if self._clock.now() - since_s >= SUSPECT_AFTER_S * 0.9 * self._health.timeout_multiplier:
            del self._silent_connections[address]
            await connection.close()

    async def _probe_indirectly(self, member: Member) -> bool:
        """Ask other members to probe the member; return whether one of them got an answer."""
        helpers = [m for m in self._view.usable() if m.instance != member.instance]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        extra = [[_INDIRECT_PROBE, member.address]]
        replies = await asyncio.gather(
            *(
                self._exchange_heartbeats(helper.address, helper.instance, extra)
                for helper in chosen
            )
        )
        return any(
            reply and member.address in _indirect_probe_addresses(reply) for reply in replies
        )

    def _observe_heartbeat(self, peer: Hello, message: Heartbeat) -> None:
        now = self._clock.now()
        updates = [update for update in map(decode_update, message.updates) if update]
        self._view.observe_updates(updates, now)
        self._view.observe_heartbeat(peer, message, now)
        if self._listener is not None:
            self._listener(peer, message)


def _indirect_probe_addresses(message: Heartbeat) -> list[str]:
    addresses = [
        item[1]
        for item in message.updates
        if len(item) == 2 and item[0] == _INDIRECT_PROBE and isinstance(item[1], str)
    ]
    return addresses[:INDIRECT_PROBES]
