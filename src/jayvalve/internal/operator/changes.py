"""Reads, plans and publishes configuration versions through the log."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs

from jayvalve.errors import InvalidRequestError, LogUnavailableError
from jayvalve.internal.configuration import (
    ConfigurationFollower,
    Document,
    HistoryEntry,
    Publisher,
    Version,
    diff,
    make_plan,
)
from jayvalve.internal.log import LogClient

__all__ = ["Conflict", "Session", "change_rows", "open_session", "plan_document"]

READ_TIMEOUT_S = 10.0
MOVE_FIELDS = ("address", "data_centre")


@attrs.frozen
class Conflict:
    """The version in force instead of the expected one.

    Attributes:
        version: Number of the version in force.
        author: Author of the version in force.
        changes: Values that differ from the expected version.
    """

    version: int
    author: str
    changes: list[dict[str, Any]]


def change_rows(old: Document | None, new: Document) -> list[dict[str, Any]]:
    """Return the changed values as JSON objects with path, before and after."""
    return [attrs.asdict(change) for change in diff(old, new)]


def plan_document(old: Document | None, new: Document, version: int) -> dict[str, Any]:
    """Return, as a JSON object, what publishing new would change.

    Here, old is the document in force, or None before the first publish, and version its number.
    """
    plan = make_plan(old, new)
    return {
        "version_in_force": version,
        "changes": [attrs.asdict(change) for change in plan.changes],
        "endpoints_added": list(plan.endpoints_added),
        "endpoints_removed": list(plan.endpoints_removed),
        "endpoints_moved": _endpoint_moves(old, new),
        "models_loaded": [list(pair) for pair in plan.models_loaded],
        "models_lost": [list(pair) for pair in plan.models_lost],
        "capabilities_lost": list(plan.capabilities_lost),
    }


def _endpoint_moves(old: Document | None, new: Document) -> list[dict[str, Any]]:
    moves = []
    for endpoint in new.inventory.endpoints:
        earlier = old.inventory.get(endpoint.name) if old is not None else None
        if earlier is None:
            continue
        for field in MOVE_FIELDS:
            before, after = getattr(earlier, field), getattr(endpoint, field)
            if before != after:
                moves.append(
                    {"endpoint": endpoint.name, "what": field, "before": before, "after": after}
                )
    return moves


class Session:
    """An operator's connection to the stream of configuration versions."""

    def __init__(self, publisher: Publisher, follower: ConfigurationFollower) -> None:
        self._publisher = publisher
        self._follower = follower

    @property
    def in_force(self) -> Version:
        """The version in force."""
        return self._follower.in_force

    @property
    def document(self) -> Document | None:
        """The document in force, or None before the first publish."""
        return self._follower.current

    async def history(self) -> list[HistoryEntry]:
        """Return all publish and renewal records that the log still retains."""
        return await self._publisher.history()

    async def version(self, number: int) -> HistoryEntry:
        """Return the record of an accepted version.

        Raises:
            InvalidRequestError: the log does not contain that version.
        """
        for entry in await self.history():
            if entry.accepted and entry.version == number:
                return entry
        raise InvalidRequestError(f"version {number} is not in the log")

    async def publish(self, document: Document, expected: int, author: str) -> Version:
        """Publish a document; see Publisher.publish."""
        return await self._publisher.publish(document, expected, author)

    async def restore(self, version: int, expected: int, author: str) -> Version:
        """Publish the document of an earlier version as a new version."""
        return await self._publisher.restore(version, expected, author)

    async def conflict(self, expected: int) -> Conflict:
        """Return the version in force and its differences from the expected version.

        If expected is 0 or the log no longer contains that version, all values are listed as
        changed.
        """
        current = self.in_force
        base: Document | None = None
        if expected:
            with contextlib.suppress(InvalidRequestError):
                base = Document.from_json((await self.version(expected)).document)
        changes = change_rows(base, self.document) if self.document is not None else []
        return Conflict(current.version, current.author or "an unknown author", changes)


@contextlib.asynccontextmanager
async def open_session(log_url: str) -> AsyncIterator[Session]:
    """Read the stream up to its end and yield a session.

    Raises:
        LogUnavailableError: the stream could not be read, or it contains no base version.
    """
    log = LogClient(log_url)
    follower = ConfigurationFollower(log)
    follower_task = asyncio.ensure_future(follower.run())
    try:
        try:
            await follower.log.wait_caught_up(READ_TIMEOUT_S)
        except TimeoutError:
            raise LogUnavailableError(f"{log_url} could not be read") from None
        if not follower.can_check:
            raise LogUnavailableError("no base version is known until the next renewal")
        yield Session(Publisher(log, follower), follower)
    finally:
        follower_task.cancel()
        await asyncio.gather(follower_task, return_exceptions=True)
        log.close()
