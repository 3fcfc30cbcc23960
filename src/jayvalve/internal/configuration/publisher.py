"""Publishing of configuration documents, and their history."""

import asyncio
import random
import uuid

import attrs
from loguru import logger

from jayvalve.errors import (
    InvalidRequestError,
    LogAnswerLostError,
    LogUnavailableError,
    PublishConflictError,
)
from jayvalve.internal.configuration.document import Document
from jayvalve.internal.configuration.fold import ConfigurationFold, Publish, Version, parse_record
from jayvalve.internal.configuration.follower import STREAM, ConfigurationFollower
from jayvalve.internal.log import LogClient
from jayvalve.internal.timing import Clock, Deadline, full_jitter

__all__ = ["HistoryEntry", "Publisher"]

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 2.0
_PAGE_RECORDS = 256

_log = logger.bind(part="configuration")


@attrs.frozen
class HistoryEntry:
    """One publish or renew record of the stream.

    Attributes:
        offset: Offset in the stream.
        time: Log time, in Unix seconds.
        kind: publish or renew.
        version: Number of the version that the record proposes or renews.
        author: Author of the version.
        accepted: Whether the fold accepted the record. False for a publish that lost its race, and
            for one whose parent cannot be checked because the log has removed older records.
        reason: Why the record was refused; empty for an accepted one.
        document: Canonical JSON of the document.

    """

    offset: int
    time: float
    kind: str
    version: int
    author: str
    accepted: bool
    reason: str
    document: bytes = attrs.field(repr=False)


class Publisher:
    """Publishes through the log and reads the result from a running follower."""

    def __init__(
        self,
        log: LogClient,
        follower: ConfigurationFollower,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._follower = follower
        self._clock = clock or Clock()
        self._rng = rng or random.Random()

    async def publish(
        self, document: Document, expected_version: int, author: str, timeout_s: float = 10.0
    ) -> Version:
        """Publish document as the successor of expected_version and return the accepted version.

        Raises:
            PublishConflictError: another version is in force; the message names its author if
                known.
            LogUnavailableError: the publish was not appended, the stream could not be read to
                its end within timeout_s, or no base version is known.
            LogAnswerLostError: the publish was not confirmed within timeout_s, but may still
                take effect.

        """
        deadline = Deadline.after(self._clock, timeout_s)
        await self._wait_caught_up(deadline)
        if not self._follower.can_check:
            raise LogUnavailableError("no base version is known until the next renewal")
        base = self._follower.in_force
        if base.version != expected_version:
            raise self._conflict_error(expected_version)
        publish = Publish(
            uuid.uuid4().hex,
            base.version + 1,
            base.version,
            base.digest,
            document.canonical,
            author,
        )
        await self._append_until_read(publish, deadline)
        result = self._follower.result(publish.publish_id)
        if not result.accepted:
            _log.info("Publish {} was refused: {}", publish.publish_id, result.reason)
            raise self._conflict_error(expected_version)
        return Version(
            publish.version, document.digest, document.canonical, author, publish.publish_id
        )

    async def restore(
        self, version: int, expected_version: int, author: str, timeout_s: float = 10.0
    ) -> Version:
        """Publish the document of an earlier version as a new version.

        Raises:
            InvalidRequestError: the log contains no accepted record of this version.
            InvalidSettingsError: the old document is not valid in this release.
            PublishConflictError: as for publish.
            LogUnavailableError: as for publish, or the history could not be read.
            LogAnswerLostError: as for publish.

        """
        for entry in await self.history():
            if entry.accepted and entry.version == version:
                document = Document.from_json(entry.document)
                return await self.publish(document, expected_version, author, timeout_s)
        raise InvalidRequestError(f"version {version} is not in the log")

    async def history(self) -> list[HistoryEntry]:
        """Return all publish and renew records that are still in the log, oldest first.

        Raises:
            LogUnavailableError: the log could not be read.

        """
        fold = ConfigurationFold()
        entries: list[HistoryEntry] = []
        position = 0
        while True:
            page = await self._log.read(STREAM, position, _PAGE_RECORDS, 0.0)
            position = max(position, page.first)
            for record in page.records:
                result = fold.apply(record)
                position = record.offset + 1
                if (parsed := parse_record(record.data)) is not None:
                    entries.append(
                        HistoryEntry(
                            record.offset,
                            record.time,
                            type(parsed).__name__.lower(),
                            parsed.version,
                            parsed.author,
                            result.accepted,
                            result.reason,
                            parsed.document,
                        )
                    )
            if not page.records:
                return entries

    async def _wait_caught_up(self, deadline: Deadline) -> None:
        try:
            await self._follower.log.wait_caught_up(deadline.remaining_s)
        except TimeoutError:
            raise LogUnavailableError(
                "the stream config could not be read to its end in time"
            ) from None

    async def _append_until_read(self, publish: Publish, deadline: Deadline) -> None:
        """Append the publish, repeatedly if necessary, until the follower has read it.

        Raises:
            LogUnavailableError: the deadline passed and nothing was appended.
            LogAnswerLostError: the deadline passed and the publish may have been appended.

        """
        may_be_appended = False
        attempt = 0
        while self._follower.result(publish.publish_id) is None:
            if deadline.expired:
                error_type = LogAnswerLostError if may_be_appended else LogUnavailableError
                raise error_type(f"publish of version {publish.version} was not confirmed in time")
            try:
                offset = await self._log.append(STREAM, publish.pack())
                may_be_appended = True
                await self._follower.log.wait_for(offset, deadline.remaining_s)
            except LogUnavailableError:
                await self._back_off(attempt, deadline)
            except LogAnswerLostError:
                # The pause gives the follower time to read a record that may have been appended.
                may_be_appended = True
                await self._back_off(attempt, deadline)
            except TimeoutError:
                continue
            attempt += 1

    async def _back_off(self, attempt: int, deadline: Deadline) -> None:
        delay_s = full_jitter(self._rng, min(attempt, 16), BACKOFF_BASE_S, BACKOFF_CAP_S)
        await asyncio.sleep(min(delay_s, deadline.remaining_s))

    def _conflict_error(self, expected_version: int) -> PublishConflictError:
        current = self._follower.in_force
        return PublishConflictError(
            f"expected version {expected_version}, but version {current.version} "
            f"by {current.author or 'an unknown author'} is in force"
        )
