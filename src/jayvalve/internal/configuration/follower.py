"""Follower of the configuration in force, which it reads from the log and from peers."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.configuration.document import Document
from jayvalve.internal.configuration.fold import (
    ConfigurationFold,
    FoldResult,
    Publish,
    Version,
)
from jayvalve.internal.hashing import digest as checksum
from jayvalve.internal.log import LogClient, LogFollower, LogRecord

__all__ = ["STREAM", "ConfigurationFollower"]

STREAM = "config"
# A publisher needs its result for a few seconds only. At the target size there are 660 publishes
# a day, so the results of more than a day are kept.
_MAX_RESULTS = 1024

_log = logger.bind(part="configuration")


class ConfigurationFollower:
    """Follows the stream config; the version in force never decreases.

    Subscribers are called with (version, document) after each change of the document. An
    exception in one of them is logged, and the others are still called.
    """

    def __init__(
        self, log: LogClient, *, rng: random.Random | None = None, poll_s: float = 1.0
    ) -> None:
        self._fold = ConfigurationFold()
        self._document: Document | None = None
        self._subscribers: list[Callable[[int, Document], object]] = []
        self._results: OrderedDict[str, FoldResult] = OrderedDict()
        self._changed = asyncio.Condition()
        self._log_follower = LogFollower(
            log,
            STREAM,
            self._apply,
            on_truncation=lambda wanted, first: self._fold.record_gap(),
            rng=rng,
            poll_s=poll_s,
        )

    def __repr__(self) -> str:
        return f"ConfigurationFollower(version={self.version})"

    @property
    def current(self) -> Document | None:
        """The document in force, or None before the first one is known.

        If the version in force is not valid in this release, the last valid document is kept.
        """
        return self._document

    @property
    def in_force(self) -> Version:
        """The version in force with its digest, canonical document and author."""
        return self._fold.current

    @property
    def version(self) -> int:
        """Number of the version in force; 0 before the first one is known."""
        return self._fold.current.version

    @property
    def digest(self) -> str:
        """Digest of the version in force; empty before the first one is known."""
        return self._fold.current.digest

    @property
    def fold(self) -> ConfigurationFold:
        """The fold of the stream; callers must not change it."""
        return self._fold

    @property
    def log(self) -> LogFollower:
        """The follower of the stream."""
        return self._log_follower

    @property
    def can_check(self) -> bool:
        """Whether this follower can determine if a publish is accepted.

        This requires a base, or a stream that has been read to its end and is empty.
        """
        return self._fold.has_base or (
            self._log_follower.caught_up and self._log_follower.position == 0
        )

    def subscribe(self, callback: Callable[[int, Document], object]) -> None:
        """Call callback after each change of the document, and now if there is a document."""
        self._subscribers.append(callback)
        if self._document is not None:
            self._call_subscriber(callback)

    async def run(self) -> None:
        """Follow the log until cancelled."""
        await self._log_follower.run()

    async def wait_for(self, version: int, timeout_s: float) -> Version:
        """Return the version in force once it is at least version.

        Raises:
            TimeoutError: the version was not reached within timeout_s.

        """

        async def reached() -> None:
            async with self._changed:
                await self._changed.wait_for(lambda: self.version >= version)

        await asyncio.wait_for(reached(), timeout_s)
        return self.in_force

    def observe_peer(self, version: int, digest: str, address: str) -> bool:
        """Return whether the peer at address has a higher version.

        The document of this version should then be fetched. A peer that has the same version with
        another digest is logged as an error.
        """
        if version == self.version and version > 0 and digest != self.digest:
            _log.error(
                "Peer {} has version {} with digest {}, but this process has digest {}",
                address,
                version,
                digest,
                self.digest,
            )
        return version > self.version

    def adopt(self, version: int, digest: str, document: bytes) -> bool:
        """Put a peer's document in force if its version is higher; return whether it was.

        Raises:
            InvalidSettingsError: the document does not match its digest, or is not valid in this
                release.

        """
        if version <= self.version:
            return False
        if checksum(document) != digest:
            raise InvalidSettingsError(f"document of version {version} does not match {digest}")
        parsed = Document.from_json(document)
        changed = self._fold.adopt(Version(version, digest, document))
        if changed:
            self._set_document(parsed)
        return changed

    def result(self, publish_id: str) -> FoldResult | None:
        """Return the result of a publish, or None if it is unread or not among the newest results.

        Only publishes that were read while the fold had a base have a result.
        """
        return self._results.get(publish_id)

    def _apply(self, record: LogRecord) -> None:
        previous_version = self.version
        result = self._fold.apply(record)
        if isinstance(result.record, Publish) and self._fold.has_base:
            self._record_result(result.record.publish_id, result)
        if not result.accepted:
            _log.info("Record {} of {} refused: {}", record.offset, STREAM, result.reason)
        if self.version == previous_version:
            return
        try:
            self._set_document(Document.from_json(self._fold.current.document))
        except InvalidSettingsError as error:
            _log.error("Version {} cannot be used by this release: {}", self.version, error.message)
            self._notify_waiters()

    def _record_result(self, publish_id: str, result: FoldResult) -> None:
        # A second copy of an accepted publish is refused, but the publisher needs the first result.
        self._results.setdefault(publish_id, result)
        while len(self._results) > _MAX_RESULTS:
            self._results.popitem(last=False)

    def _set_document(self, document: Document) -> None:
        self._document = document
        _log.info("Version {} is in force", self.version)
        for callback in list(self._subscribers):
            self._call_subscriber(callback)
        self._notify_waiters()

    def _call_subscriber(self, callback: Callable[[int, Document], object]) -> None:
        try:
            callback(self.version, self._document)
        except Exception:
            _log.exception("Subscriber failed for version {}", self.version)

    def _notify_waiters(self) -> None:
        async def notify() -> None:
            async with self._changed:
                self._changed.notify_all()

        self._notification = asyncio.ensure_future(notify())
