"""Paths to the store: directly, or through another gateway that still reaches it.

A store outage may affect only some machines. A gateway that is cut off relays its calls through a
peer, so that its callers do not notice. The store is unavailable when no path is left.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Generic, Protocol, TypeVar

import attrs
from loguru import logger

from jayvalve.internal.timing import Clock

__all__ = ["Page", "PathSettings", "StoreAccess", "StorePath", "StorePaths"]

_log = logger.bind(part="store_paths")

Address = tuple[str, int]


class Page(Protocol):
    """Consecutive records of a partition.

    Attributes:
        first: Offset of the oldest record that the partition still contains.
        end: Offset that follows the newest record of the partition.

    """

    first: int
    end: int
    records: tuple[bytes, ...]

    @property
    def next(self) -> int:
        """Offset of the record that follows the page."""


class StoreAccess(Protocol):
    """Methods of a store client that the gateway uses."""

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append records and return the offset of the first one."""

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        timeout_s: float,
        wait_s: float = 0.0,
        max_bytes: int | None = None,
    ) -> Page:
        """Return records of a partition from an offset on.

        If the record at the offset has expired, the page is empty and its ``first`` is the offset
        from which to read on.
        """


C = TypeVar("C", bound=StoreAccess)


@attrs.frozen
class PathSettings:
    """Limits at which paths go out of use and are tried again.

    Attributes:
        failure_threshold: Number of consecutive failures after which a path may go out of use.
        success_window_s: A path goes out of use only if no call on it has succeeded within this
            time, because an outage may affect single partitions.
        retry_delay_s: Time after which a failed peer is tried again, in seconds.

    """

    failure_threshold: int = 2
    success_window_s: float = 0.5
    retry_delay_s: float = 0.5


@attrs.define(eq=False)
class StorePath(Generic[C]):
    """One path to the store.

    Attributes:
        name: ``direct`` or the address of the peer.
        succeeded_s: Time of the last success.
        failing_since_s: Time of the failure that took the path out of use; for a peer, time of the
            latest failure. A peer is tried again retry_delay_s after this time. The next success
            resets it to None.

    """

    name: str
    client: C
    consecutive_failures: int = 0
    succeeded_s: float = 0.0
    failing_since_s: float | None = None


class StorePaths(Generic[C]):
    """Chooses the path of each call.

    Args:
        peers: Returns the addresses of the gateways through which a call may be sent.
        on_direct_change: Called when the direct path goes out of use or comes back.

    """

    def __init__(
        self,
        direct: C,
        connect: Callable[[Address], C],
        peers: Callable[[], Iterable[Address]],
        clock: Clock,
        settings: PathSettings,
        rng: random.Random,
        on_direct_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_direct_change = on_direct_change
        self._direct = StorePath("direct", direct)
        self._connect = connect
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._relays: dict[Address, StorePath[C]] = {}

    @property
    def direct(self) -> StorePath[C]:
        """The path without a peer."""
        return self._direct

    @property
    def direct_usable(self) -> bool:
        """Whether calls are sent directly to the store."""
        return self._direct.failing_since_s is None

    @property
    def direct_answered_recently(self) -> bool:
        """Whether the store answered a direct call of this process within success_window_s."""
        return self._clock.now() - self._direct.succeeded_s < self._settings.success_window_s

    def pick(self, excluded: Collection[StorePath[C]] = ()) -> StorePath[C] | None:
        """Return the path for a call, or None if all are excluded or out of use."""
        if self.direct_usable and self._direct not in excluded:
            return self._direct
        relays = [path for path in self._usable_relays() if path not in excluded]
        if relays:
            return self._rng.choice(relays)
        return None

    def record_success(self, path: StorePath[C]) -> None:
        """Record an answer to a call on a path, which brings the path back into use."""
        path.consecutive_failures = 0
        path.succeeded_s = self._clock.now()
        if path.failing_since_s is not None:
            outage_s = self._clock.now() - path.failing_since_s
            path.failing_since_s = None
            _log.bind(path=path.name, away_s=round(outage_s, 3)).info(
                "path to the store works again"
            )
            self._report_change(path)

    def record_answer(self, client: C) -> None:
        """Record an answer to a call that other code made with the client of a path.

        Followers make such calls. A path that is out of use stays out of use.
        """
        for path in (self._direct, *self._relays.values()):
            if path.client is client and path.failing_since_s is None:
                self.record_success(path)

    def record_unreachable(self, client: C, reason: str) -> None:
        """Record that other code could not send a call with the client of a path."""
        for path in (self._direct, *self._relays.values()):
            if path.client is client:
                self.record_failure(path, reason)

    def record_failure(self, path: StorePath[C], reason: str, certain: bool = False) -> None:
        """Record a refusal or a timeout.

        Args:
            path: Path on which the call failed.
            reason: Cause of the failure, for the log.
            certain: Whether this failure alone shows that the path does not work. The path then
                goes out of use at once.

        """
        now = self._clock.now()
        path.consecutive_failures += 1
        if path.failing_since_s is not None:
            if path is not self._direct:
                path.failing_since_s = now
            return
        settings = self._settings
        no_recent_success = now - path.succeeded_s >= settings.success_window_s
        if certain or (
            no_recent_success and path.consecutive_failures >= settings.failure_threshold
        ):
            path.failing_since_s = now
            _log.bind(path=path.name, reason=reason).warning("path to the store is out of use")
            self._report_change(path)

    def _report_change(self, path: StorePath[C]) -> None:
        if path is self._direct:
            self._on_direct_change()

    def _usable_relays(self) -> list[StorePath[C]]:
        cutoff_s = self._clock.now() - self._settings.retry_delay_s
        addresses = list(self._peers())
        for address in addresses:
            if address not in self._relays:
                name = f"{address[0]}:{address[1]}"
                self._relays[address] = StorePath(name, self._connect(address))
        return [
            path
            for address in addresses
            if (path := self._relays[address]).failing_since_s is None
            or path.failing_since_s <= cutoff_s
        ]
