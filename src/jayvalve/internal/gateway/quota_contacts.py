"""Which gateway decides about an organisation, and for which part of the fleet.

Each gateway sends the others its view of the fleet, the gateways that it is in contact with. For
each organisation, its part of the limit belongs to the first gateway of that view in the order of
the organisation. A view is a promise for a time: the part stays with that gateway for ``term_s``
after the message was sent, and another one that a later view names grants it only ``term_s`` after
it has received that view. No part is thus granted twice, whatever messages are lost or late, and
whichever gateways are frozen or cut off.

A gateway cannot know when a message to it was sent. Each message therefore repeats the time that
the receiver stated last, in the receiver's own clock, and the promise counts from that time.
"""

import asyncio
import contextlib
import heapq
import math
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import xxhash

from jayvalve.internal.gateway.peer_calls import PeerCalls

__all__ = ["CONTACT_NOTICES", "ContactSettings", "FleetContacts"]

CONTACT_NOTICES = "quota_contact"
# Start of a part that is full; long before any time of the clock.
_BEFORE_LIMITS_S = -1e9

Address = tuple[str, int]


@attrs.frozen
class ContactSettings:
    """Intervals of the messages.

    Attributes:
        interval_s: Time between two messages to each gateway, in seconds. At 35 gateways, each
            sends 113 messages of 0.3 KB a second, whatever the number of organisations.
        view_s: Age of the last message above which a gateway leaves the view, in seconds. Three
            messages in a row may be lost.
        term_s: Duration of a promise in seconds.
        max_views: Maximum number of successive views that are remembered of each gateway.
        retention_s: How long a gateway is remembered that is not heard, in seconds.
        max_views_kept: Number of different views above which those not in use are dropped.
        unknown_factor: Assumed number of gateways for each one in contact while no register has
            been read.

    """

    interval_s: float = 0.3
    view_s: float = 1.0
    term_s: float = 1.0
    max_views: int = 4
    retention_s: float = 60.0
    max_views_kept: int = 1024
    unknown_factor: int = 4


class _View:
    """A set of gateways, which keeps the first two of each organisation's order."""

    MAX_NAMES = 4096

    def __init__(self, members: Iterable[int]) -> None:
        self.members = frozenset(members)
        self._order: dict[str, list[int]] = {}

    def first(self, name: str) -> int:
        """Return the gateway that decides about an organisation."""
        return self.order(name)[0]

    def order(self, name: str) -> list[int]:
        """Return the gateway that decides about an organisation, and the one without it."""
        chosen = self._order.get(name)
        if chosen is None:
            if len(self._order) >= self.MAX_NAMES:
                self._order.clear()
            seed = xxhash.xxh3_64_intdigest(name.encode())
            chosen = self._order[name] = heapq.nlargest(
                2,
                self.members,
                key=lambda member: (
                    xxhash.xxh3_64_intdigest(member.to_bytes(8, "big"), seed),
                    member,
                ),
            )
        return chosen


@attrs.define
class _Promise:
    """A view of a gateway, from its first message until the promise ends."""

    view: _View
    since_s: float
    expires_s: float


@attrs.define
class _Gateway:
    address: Address
    incarnation: int
    sequence: int = -1
    heard_s: float = -math.inf
    stamp_s: float = -1.0
    expires_s: float = -math.inf
    known: int = 0
    leaving: bool = False
    promises: list[_Promise] = attrs.field(factory=list)


def _gateway_id(address: Address) -> int:
    return xxhash.xxh32_intdigest(f"{address[0]}:{address[1]}".encode())


class FleetContacts:
    """Contacts of one gateway with the others.

    Args:
        own: Address at which other gateways reach this one.
        targets: Returns the addresses of the other gateways.
        known: Returns the number of registered gateways, or None if it is not known yet.
        withdrawn: Returns whether this gateway is shutting down.
        calls: Sends messages.
        boot_time: Clock that counts the time for which the process was suspended.
        incarnation: Number that differs for each start of a gateway.

    """

    def __init__(
        self,
        own: Address,
        targets: Callable[[], Iterable[Address]],
        known: Callable[[], int | None],
        withdrawn: Callable[[], bool],
        calls: PeerCalls,
        boot_time: Callable[[], float],
        incarnation: int,
        settings: ContactSettings,
    ) -> None:
        self._own = own
        self._own_id = _gateway_id(own)
        self._targets = targets
        self._known = known
        self._withdrawn = withdrawn
        self._calls = calls
        self._boot_time = boot_time
        self._incarnation = incarnation
        self._settings = settings
        self._enabled = asyncio.Event()
        self._changed = asyncio.Event()
        self._introduced_s = -math.inf
        self._sequence = 0
        self._started_s = boot_time()
        self._views: dict[frozenset[int], _View] = {}
        self._gateways: dict[int, _Gateway] = {}
        # Changes whenever the remembered promises do.
        self._epoch = 0
        self._counted: dict[str, tuple[int, list[tuple[_Promise, float]]]] = {}
        self._me = _Gateway(own, incarnation)
        self._extend(self._me, self._intern({self._own_id}), self._started_s, math.inf)
        calls.on_notice(CONTACT_NOTICES)(self.receive)

    @property
    def own(self) -> Address:
        """Address of this gateway."""
        return self._own

    def enable(self, enabled: bool, introduced_s: float) -> None:
        """Send messages while any organisation has a limit.

        Args:
            enabled: Whether one has a limit.
            introduced_s: Time until which parts are full when they come, because no limit is
                binding before.

        """
        self._introduced_s = introduced_s
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    @property
    def gateways(self) -> int:
        """Number of gateways among which limits are divided."""
        in_contact = len(self._me.promises[-1].view.members)
        cutoff_s = self._boot_time() - self._settings.view_s
        own = self._known()
        # What a gateway has said that is gone counts only if nothing else is known.
        known = max(
            (
                each.known
                for each in self._gateways.values()
                if own is None or each.heard_s >= cutoff_s
            ),
            default=0,
        )
        known = max(known, own or 0)
        return max(in_contact, known) if known else in_contact * self._settings.unknown_factor

    async def run(self) -> None:
        """Send the view of this gateway until cancelled."""
        while True:
            await self._enabled.wait()
            self._forget()
            self.refresh()
            self._changed.clear()
            self._sequence += 1
            for address in set(self._targets()) - {self._own}:
                self._send(address)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.interval_s):
                    await self._changed.wait()
                    # Several views may change at once.
                    await asyncio.sleep(0.01)

    def _forget(self) -> None:
        """Forget gateways that are gone."""
        cutoff_s = self._boot_time() - self._settings.retention_s
        gone = [each for each, gateway in self._gateways.items() if gateway.heard_s < cutoff_s]
        for gateway_id in gone:
            del self._gateways[gateway_id]
            self._epoch += 1

    def refresh(self) -> None:
        """Bring the view of this gateway up to date."""
        now = self._boot_time()
        cutoff_s = now - self._settings.view_s
        members = {
            gateway_id
            for gateway_id, each in self._gateways.items()
            if each.heard_s >= cutoff_s and each.expires_s > now and not each.leaving
        }
        if not self._withdrawn():
            members.add(self._own_id)
        current = self._me.promises[-1]
        if members and frozenset(members) != current.view.members:
            # Gateways that this one has named may grant its part for one more term.
            current.expires_s = now + self._settings.term_s
            self._extend(self._me, self._intern(members), now, math.inf)
            self._changed.set()

    def receive(self, arguments: list[Any]) -> None:
        """Learn the view of another gateway.

        Raises:
            ValueError, TypeError: the message is malformed.

        """
        host, port, incarnation, sequence, stamp_s, echo_s, known, leaving, members = arguments
        address = (str(host), int(port))
        sender = _gateway_id(address)
        sequence, stamp_s, echo_s = int(sequence), float(stamp_s), float(echo_s)
        view = self._intern({int(member) for member in members})
        if not (view.members and math.isfinite(stamp_s) and math.isfinite(echo_s)):
            raise ValueError(f"{arguments!r} is no view of a gateway")
        if sender == self._own_id:
            return
        gateway = self._gateways.get(sender)
        if gateway is None or gateway.incarnation != incarnation:
            gateway = self._add(sender, address, int(incarnation))
        # The immediate answer to a first message repeats the number of an earlier one.
        if sequence < gateway.sequence or stamp_s < gateway.stamp_s:
            return
        now = self._boot_time()
        first = gateway.stamp_s < 0
        gateway.sequence, gateway.stamp_s, gateway.heard_s = sequence, stamp_s, now
        gateway.known, gateway.leaving = int(known), bool(leaving)
        if self._started_s <= echo_s <= now:
            self._promise(gateway, view, now, echo_s + self._settings.term_s)
        if first and self._enabled.is_set():
            self._send(address)
        self.refresh()

    def deciders(self, name: str) -> list[Address]:
        """Return the gateways to ask about an organisation, the preferred one first.

        While the one that decides changes, the earlier one is asked first. A gateway that has just
        started does not know that one, but it is the second in the order if the first is new.
        """
        self.refresh()
        promises = self._me.promises
        now = self._boot_time()
        chosen = list(promises[-1].view.order(name))
        if len(promises) > 1 and now < promises[-1].since_s + self._settings.term_s:
            previous = promises[-2].view.first(name)
            gateway = self._me if previous == self._own_id else self._gateways.get(previous)
            alive = gateway is self._me or (
                gateway is not None and gateway.heard_s >= now - self._settings.view_s
            )
            if alive:
                chosen = [previous, *(each for each in chosen if each != previous)]
        return [
            self._own if each == self._own_id else self._gateways[each].address
            for each in chosen
            if each == self._own_id or each in self._gateways
        ]

    def starts(self, name: str) -> list[float]:
        """Return since when this gateway may grant each part of an organisation's limit."""
        now = self._boot_time()
        kept = self._counted.get(name)
        if kept is None or kept[0] != self._epoch:
            if len(self._counted) >= _View.MAX_NAMES:
                self._counted.clear()
            kept = self._counted[name] = (self._epoch, self._count(name))
        # A promise ends before the gateway named next may grant the part.
        return [
            _BEFORE_LIMITS_S if start_s <= min(now, self._introduced_s) else start_s
            for promise, start_s in kept[1]
            if promise.expires_s > now
        ]

    def _count(self, name: str) -> list[tuple[_Promise, float]]:
        counted = []
        for gateway in (self._me, *self._gateways.values()):
            run = None
            for promise in reversed(gateway.promises):
                if promise.view.first(name) == self._own_id:
                    newest = promise if run is None else run[0]
                    run = (newest, promise.since_s + self._settings.term_s)
                elif run is not None:
                    break
            if run is not None:
                counted.append(run)
        return counted

    def _promise(self, gateway: _Gateway, view: _View, now: float, expires_s: float) -> None:
        if now >= gateway.expires_s:
            # The gateway may have named another one meanwhile.
            gateway.promises.clear()
        gateway.expires_s = max(gateway.expires_s, expires_s)
        if gateway.promises and gateway.promises[-1].view is view:
            promise = gateway.promises[-1]
            promise.expires_s = max(promise.expires_s, expires_s)
            return
        self._extend(gateway, view, now, expires_s)

    def _extend(self, gateway: _Gateway, view: _View, now: float, expires_s: float) -> None:
        gateway.promises.append(_Promise(view, now, expires_s))
        del gateway.promises[: -self._settings.max_views]
        self._epoch += 1

    def _add(self, sender: int, address: Address, incarnation: int) -> _Gateway:
        gateway = self._gateways[sender] = _Gateway(address, incarnation)
        self._epoch += 1
        return gateway

    def _intern(self, members: set[int]) -> _View:
        key = frozenset(members)
        view = self._views.get(key)
        if view is None:
            if len(self._views) >= self._settings.max_views_kept:
                in_use = {
                    promise.view.members: promise.view
                    for gateway in (self._me, *self._gateways.values())
                    for promise in gateway.promises
                }
                self._views = in_use
            view = self._views[key] = _View(key)
        return view

    def _send(self, address: Address) -> None:
        gateway = self._gateways.get(_gateway_id(address))
        self._calls.notify(
            address,
            CONTACT_NOTICES,
            [
                *self._own,
                self._incarnation,
                self._sequence,
                self._boot_time(),
                gateway.stamp_s if gateway is not None else -1.0,
                self._known() or 0,
                self._withdrawn(),
                list(self._me.promises[-1].view.members),
            ],
        )
