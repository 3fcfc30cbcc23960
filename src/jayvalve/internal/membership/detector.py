"""Failure detector: probes other processes and spreads membership updates."""

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
# Below the interval of the mesh, so that a probe ends before the next one starts.
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 2
KEEPALIVE_STATE = "keepalive"
# An update of this form asks the receiver to probe an address; its reply repeats the update
# if the address answered.
_INDIRECT_PROBE = "probe"

PeerListener = Callable[[Hello, Heartbeat], None]


class Detector:
    """Probes peers, answers their heartbeats and keeps the view current.

    Up to FULL_MESH_LIMIT processes, every peer is probed each MESH_INTERVAL_S. Above, one peer
    a second is probed in shuffled round robin; a peer that fails is probed through
    INDIRECT_PROBES others before it counts as failed, and again until that is decided.
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
        self._round: list[Member] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._probing: set[str] = set()
        self._silent: dict[str, tuple[PeerConnection, float]] = {}
        self._log = logger.bind(part="membership")

    @property
    def bytes_sent(self) -> int:
        """Encoded size of all heartbeats and replies sent so far."""
        return self._builder.bytes_sent

    @property
    def health(self) -> LocalHealth:
        """Lateness of this process's own event loop."""
        return self._health

    @property
    def interval_s(self) -> float:
        """Time between two rounds of probes."""
        return MESH_INTERVAL_S if self._is_mesh else RANDOM_INTERVAL_S

    @property
    def _is_mesh(self) -> bool:
        # Gone members are left out: a deployment that shrinks returns to the full mesh.
        present = sum(not member.state.is_gone for member in self._view.members())
        return present + 1 <= FULL_MESH_LIMIT

    def register(self, handlers: HandlerTable) -> None:
        """Answer Heartbeat messages through this detector."""
        handlers.on(Heartbeat)(self.answer)

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                self.start_round()
                await self._sleep(MESH_INTERVAL_S)
                if not self._is_mesh:
                    self._start_probes(self._view.needs_probe(self._clock.now()))
                    await self._sleep(RANDOM_INTERVAL_S - MESH_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_round(self) -> None:
        """Start the probes of one interval in tasks of their own."""
        now = self._clock.now()
        for change in self._view.tick(now, self._health.patience):
            self._log.info("{} is {}", change.member.instance, change.member.state)
        doubtful = self._view.needs_probe(now)
        self._start_probes({m.instance: m for m in [*doubtful, *self.next_targets()]}.values())
        for address in self._seeds:
            if self._view.by_address(address) is None:
                self._start(address, self._contact(address))

    def next_targets(self) -> list[Member]:
        """Return the members to probe in this interval."""
        candidates = [m for m in self._view.members() if m.state is not MemberState.LEFT]
        if self._is_mesh:
            return candidates
        while True:
            if not self._round:
                self._round = candidates
                self._rng.shuffle(self._round)
            member = self._round.pop()
            current = self._view.get(member.instance)
            if current is not None and current.state is not MemberState.LEFT:
                return [current]

    async def answer(self, context: PeerContext, message: Heartbeat) -> Heartbeat:
        """Handle a heartbeat of another process."""
        if message.state == KEEPALIVE_STATE:
            return Heartbeat(message.sequence, KEEPALIVE_STATE)
        self._take(context.peer, message)
        confirmed = [
            [_INDIRECT_PROBE, address]
            for address in _requested_probes(message)
            if self._view.by_address(address) and await self._contact(address)
        ]
        reply = self._builder.reply(
            context.peer.instance, message, with_load=not self._is_mesh, extra=confirmed
        )
        self._builder.count(reply)
        return reply

    async def probe(self, member: Member) -> bool:
        """Probe a member, at first directly; return whether it is known to be alive."""
        sent_s = self._clock.now()
        reply = await self._contact(member.address, member.instance)
        if reply is not None:
            return True
        if not self._is_mesh and await self._probe_indirectly(member):
            self._view.observe_indirect_answer(member.instance)
            return True
        self._view.observe_failure(member.instance, sent_s)
        return False

    async def announce(self) -> None:
        """Send this process's state at once, when it starts to drain or leaves.

        All members of a full mesh get it; in a larger deployment some get it and pass it on.
        """
        targets = self._view.live() + self._view.leaving()
        chosen = self._rng.sample(targets, min(FULL_MESH_LIMIT, len(targets)))
        await asyncio.gather(*(self._contact(m.address, m.instance) for m in chosen))

    async def _sleep(self, seconds: float) -> None:
        due_s = self._clock.now() + seconds
        await asyncio.sleep(seconds)
        lag_s = max(0.0, self._clock.now() - due_s)
        self._health.observe_lag(lag_s)
        if lag_s > LocalHealth.PAUSE_S:
            self._view.postpone(lag_s)

    def _start_probes(self, members: Iterable[Member]) -> None:
        for member in members:
            self._start(member.address, self.probe(member))

    def _start(self, address: str, probe: Any) -> None:
        if address in self._probing:
            probe.close()
            return
        self._probing.add(address)
        task = asyncio.ensure_future(probe)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(address, done))

    def _finish(self, address: str, task: asyncio.Task[bool]) -> None:
        self._probing.discard(address)
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("probe of {} failed: {!r}", address, task.exception())

    async def _contact(
        self, address: str, instance: str = "", extra: Iterable[list[Any]] = ()
    ) -> Heartbeat | None:
        """Exchange heartbeats; return the reply if the expected instance sent it."""
        request = self._builder.request(instance, extra)
        # A probe on behalf of this process takes the helper as long again.
        timeout_s = PROBE_TIMEOUT_S * self._health.patience * (2 if extra else 1)
        sent_s = self._clock.now()
        connection = None
        with contextlib.suppress(JayvalveError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.connection(address)
                self._builder.count(request)
                # Longer than the enclosing limit, which alone decides.
                reply = await connection.call(request, 2 * timeout_s)
            self._silent.pop(address, None)
            if isinstance(reply, Heartbeat):
                self._take(connection.peer, with_digest(reply, request))
                return reply if instance in ("", connection.peer.instance) else None
        if connection is not None:
            await self._close_if_silent(address, connection, sent_s)
        return None

    async def _close_if_silent(
        self, address: str, connection: PeerConnection, sent_s: float
    ) -> None:
        # A silent connection may hide a healthy process, so the next probe opens a new one.
        known, since_s = self._silent.get(address, (None, 0.0))
        if known is not connection:
            self._silent[address] = (connection, sent_s)
            return
        if self._clock.now() - since_s >= SUSPECT_AFTER_S * 0.9 * self._health.patience:
            del self._silent[address]
            await connection.close()

    async def _probe_indirectly(self, member: Member) -> bool:
        """Ask other members to probe; return whether one of them got an answer."""
        helpers = [m for m in self._view.usable() if m.instance != member.instance]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        extra = [[_INDIRECT_PROBE, member.address]]
        replies = await asyncio.gather(
            *(self._contact(helper.address, helper.instance, extra) for helper in chosen)
        )
        return any(reply and member.address in _requested_probes(reply) for reply in replies)

    def _take(self, peer: Hello, message: Heartbeat) -> None:
        now = self._clock.now()
        updates = [update for update in map(decode_update, message.updates) if update]
        self._view.observe_updates(updates, now)
        self._view.observe_heartbeat(peer, message, now)
        if self._listener is not None:
            self._listener(peer, message)


def _requested_probes(message: Heartbeat) -> list[str]:
    found = [
        item[1]
        for item in message.updates
        if len(item) == 2 and item[0] == _INDIRECT_PROBE and isinstance(item[1], str)
    ]
    return found[:INDIRECT_PROBES]
