"""Follows a keyed topic: reads a snapshot, then its changes as they arrive."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from loguru import logger

from jayvalve.errors import UnavailableError
from jayvalve.internal.timing import Clock

__all__ = ["FollowerSettings", "KeyedFollower", "KeyedSource", "SnapshotSource"]

_log = logger.bind(part="follower")


class SnapshotSource(Protocol):
    """Source of all values of one topic."""

    async def snapshot(self, timeout_s: float) -> tuple[dict[str, bytes], int]:
        """Return the newest values by key, and the offset from which to read on."""


class KeyedSource(SnapshotSource, Protocol):
    """Methods of the platform's client for one topic that a follower uses."""

    async def changes(
        self, start: int, timeout_s: float, wait_s: float
    ) -> tuple[list[tuple[str, bytes | None]], int] | None:
        """Return changes and the next offset, or None if records were dropped meanwhile."""


@attrs.frozen
class FollowerSettings:
    """Intervals and timeouts of a follower.

    Attributes:
        pause_s: Time between two reads, which limits the number of calls for a busy topic.
        wait_s: Maximum wait for a record, after which the read is repeated. A silent connection is
            detected after the sum of this time and timeout_s, which must stay below the time
            within which a configuration must be in force.
        timeout_s: Timeout of a call, in addition to wait_s.
        retry_delay_s: Delay before the first retry while the store does not answer. It doubles
            with each retry.
        max_retry_delay_s: Maximum delay between retries, which delays updates after an outage.

    """

    pause_s: float = 0.0
    wait_s: float = 1.0
    timeout_s: float = 0.6
    retry_delay_s: float = 0.2
    max_retry_delay_s: float = 0.6


class KeyedFollower:
    """Keeps a copy of a keyed topic up to date.

    Args:
        on_snapshot: Called with all values after a start or a gap.
        on_change: Called with the key and the new value, or None for a deleted key.
        on_recovery: Called when the store answers again after a failure.
        peers: Source of another process's copy, for a start during an outage of the store.

    """

    def __init__(
        self,
        source: KeyedSource,
        clock: Clock,
        settings: FollowerSettings,
        on_snapshot: Callable[[dict[str, bytes]], None],
        on_change: Callable[[str, bytes | None], None],
        on_recovery: Callable[[], None] = lambda: None,
        peers: SnapshotSource | None = None,
    ) -> None:
        self._source = source
        self._clock = clock
        self._settings = settings
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_recovery = on_recovery
        self._peers = peers
        self._values: dict[str, bytes] = {}
        self._next: int | None = None
        self._last_answer_s: float | None = None

    @property
    def age_s(self) -> float | None:
        """Seconds since the last answer of the store, or None before the first."""
        return None if self._last_answer_s is None else self._clock.now() - self._last_answer_s

    @property
    def copy(self) -> tuple[dict[str, bytes], int] | None:
        """The values and the offset of the next record to read.

        None before the first snapshot, and after a gap until the next one.
        """
        return None if self._next is None else (self._values, self._next)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        failing = False
        retry_delay_s = self._settings.retry_delay_s
        while True:
            try:
                await self._step()
            except UnavailableError as error:
                if not failing:
                    _log.bind(error=str(error)).warning("failed to read a topic of the store")
                failing = True
                await self._start_from_peer()
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(self._settings.max_retry_delay_s, 2 * retry_delay_s)
                continue
            retry_delay_s = self._settings.retry_delay_s
            if failing:
                _log.info("following the topic again")
                failing = False
                self._on_recovery()
            self._last_answer_s = self._clock.now()
            if self._settings.pause_s:
                await asyncio.sleep(self._settings.pause_s)

    async def _step(self) -> None:
        settings = self._settings
        if self._next is None:
            values, start = await self._source.snapshot(settings.timeout_s)
            self._apply_snapshot(values, start)
            return
        page: Any = await self._source.changes(
            self._next, settings.timeout_s + settings.wait_s, settings.wait_s
        )
        if page is None:
            self._next = None
            return
        changes, self._next = page
        for key, value in changes:
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
            try:
                self._on_change(key, value)
            except Exception as error:
                # The other changes of the page must take effect all the same.
                _log.bind(key=key).opt(exception=error).error("a change could not be applied")

    async def _start_from_peer(self) -> None:
        """Use another process's copy if the store has not been read since the start."""
        if self._peers is None or self._last_answer_s is not None or self._next is not None:
            return
        try:
            values, start = await self._peers.snapshot(self._settings.timeout_s)
        except UnavailableError as error:
            _log.bind(error=str(error)).info("no other process provided its copy of the topic")
            return
        _log.bind(keys=len(values)).info("starting from the copy of another process")
        self._apply_snapshot(values, start)

    def _apply_snapshot(self, values: dict[str, bytes], start: int) -> None:
        self._values, self._next = dict(values), start
        self._on_snapshot(values)
