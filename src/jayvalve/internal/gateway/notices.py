"""Notices that a gateway repeats to the others, so that a lost one does no lasting harm."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from jayvalve.internal.gateway.peer_calls import PeerCalls

__all__ = ["NoticeSettings", "RepeatedNotices"]

Address = tuple[str, int]


@attrs.frozen
class NoticeSettings:
    """Intervals of the messages.

    Attributes:
        min_interval_s: Minimum time between two rounds of messages, in seconds.
        keepalive_interval_s: Time after which the items are repeated, for gateways that have
            started or missed a message, in seconds.
        keepalive_fan_out: Maximum number of gateways, in turn, to which they are repeated. Each
            then gets as many messages a second, whatever the size of the fleet. News go to all.

    """

    min_interval_s: float = 0.05
    keepalive_interval_s: float = 1.0
    keepalive_fan_out: int = 8


class RepeatedNotices:
    """Sends the current items of one kind to the other gateways, and passes on theirs.

    Nothing is sent while there are no items.

    Args:
        kind: Kind of the notices.
        items: Returns the items to send.
        on_items: Called with the items of another gateway.
        targets: Returns the addresses of the other gateways.

    """

    def __init__(
        self,
        kind: str,
        items: Callable[[], list[Any]],
        on_items: Callable[[list[Any]], None],
        calls: PeerCalls,
        targets: Callable[[], Iterable[Address]],
        settings: NoticeSettings,
    ) -> None:
        self._kind = kind
        self._items = items
        self._calls = calls
        self._targets = targets
        self._settings = settings
        self._changed = asyncio.Event()
        self._turn = 0
        calls.on_notice(kind)(on_items)

    def notify_change(self) -> None:
        """Send the items in the next round, without waiting for the keepalive interval."""
        self._changed.set()

    async def run(self) -> None:
        """Send the items until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.keepalive_interval_s):
                    await self._changed.wait()
            news = self._changed.is_set()
            self._changed.clear()
            items = self._items()
            if items:
                for address in self._choose_targets(news):
                    self._calls.notify(address, self._kind, items)
            await asyncio.sleep(self._settings.min_interval_s)

    def _choose_targets(self, news: bool) -> list[Address]:
        targets = list(self._targets())
        count = self._settings.keepalive_fan_out
        if news or len(targets) <= count:
            return targets
        chosen = [targets[(self._turn + index) % len(targets)] for index in range(count)]
        self._turn += count
        return chosen
