"""Fold of the stream of publish and renew records into the version in force."""

from collections import deque
from typing import Any

import attrs
import msgpack

from jayvalve.internal.hashing import digest
from jayvalve.internal.log import LogRecord

__all__ = ["ConfigurationFold", "FoldResult", "Publish", "Renew", "Version", "parse_record"]


# Maximum number of publishes that a reader without a base keeps. It limits the memory, since a
# document may have several hundred KB.
MAX_PENDING_PUBLISHES = 64


@attrs.frozen
class Publish:
    """A proposed version, based on the parent version that its author had read."""

    publish_id: str = attrs.field(validator=attrs.validators.instance_of(str))
    version: int = attrs.field(validator=attrs.validators.instance_of(int))
    parent_version: int = attrs.field(validator=attrs.validators.instance_of(int))
    parent_digest: str = attrs.field(validator=attrs.validators.instance_of(str))
    document: bytes = attrs.field(validator=attrs.validators.instance_of(bytes), repr=False)
    author: str = attrs.field(validator=attrs.validators.instance_of(str))

    def pack(self) -> bytes:
        """Return the record's payload."""
        return msgpack.packb(["publish", *attrs.astuple(self)], use_bin_type=True)


@attrs.frozen
class Renew:
    """A copy of an accepted version, which keeps it in the log beyond the retention time.

    Attributes:
        version: Number of the accepted version.
        digest: Digest of document.
        document: Canonical JSON of the accepted version.
        through: Offset of the last record that the renewing entry had applied. Another publish
            may have been accepted between this offset and the renewal.
        author: Author of the accepted version.
        publish_id: Id of the publish that created the version.

    """

    version: int = attrs.field(validator=attrs.validators.instance_of(int))
    digest: str = attrs.field(validator=attrs.validators.instance_of(str))
    document: bytes = attrs.field(validator=attrs.validators.instance_of(bytes), repr=False)
    through: int = attrs.field(default=-1, validator=attrs.validators.instance_of(int))
    author: str = attrs.field(default="", validator=attrs.validators.instance_of(str))
    publish_id: str = attrs.field(default="", validator=attrs.validators.instance_of(str))

    def pack(self) -> bytes:
        """Return the record's payload."""
        return msgpack.packb(["renew", *attrs.astuple(self)], use_bin_type=True)


@attrs.frozen
class Version:
    """A version in force; version 0 has an empty document and precedes the first publish.

    author and publish_id are empty for a version adopted from a peer.
    """

    version: int = 0
    digest: str = ""
    document: bytes = attrs.field(default=b"", repr=False)
    author: str = ""
    publish_id: str = ""


@attrs.frozen
class FoldResult:
    """Result of applying one record: whether it was accepted, and the reason if not.

    record is None if the payload is malformed. A publish that is refused because there is no base
    may be accepted later, when a renewal restores the base.
    """

    accepted: bool
    reason: str = ""
    record: Publish | Renew | None = None


def parse_record(data: bytes) -> Publish | Renew | None:
    """Return the record in a payload, or None if it is malformed."""
    try:
        parts: Any = msgpack.unpackb(data)
        record_types = {"publish": Publish, "renew": Renew}
        record_type = record_types[parts[0]]
        # Newer releases may append fields.
        return record_type(*parts[1 : 1 + len(attrs.fields(record_type))])
    except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException):
        return None


class ConfigurationFold:
    """Implements compare-and-set on an append-only log.

    A publish is accepted if its parent is the version in force and its own version is the next
    one. Versions only increase, so the parent of a repeated or late publish is never in force
    again. The fold therefore needs no list of the ids that it has read.

    The fold has a base if it has read the stream without a gap from offset 0, or from the record
    after the through offset of a renewal. Without a base no publish is accepted: a record that
    this reader has not read may have replaced the parent, and accepting the loser of that race
    would put a document in force here that differs from that of other readers.
    """

    def __init__(self) -> None:
        self._current = Version()
        self._has_base = False
        self._renewed_at: float | None = None
        self._behind = False
        self._pending: deque[tuple[LogRecord, Publish]] = deque()
        # Without a base, _pending contains every publish read at or after this offset.
        self._pending_start: int | None = None

    def __repr__(self) -> str:
        return f"ConfigurationFold(version={self._current.version}, has_base={self._has_base})"

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._current

    @property
    def has_base(self) -> bool:
        """Whether publishes can be checked against their parent."""
        return self._has_base

    @property
    def renewed_at(self) -> float | None:
        """Log time of the newest record of the current version, in Unix seconds.

        None before the first version, and for a version from a peer until a renewal of it is read.
        """
        return self._renewed_at

    @property
    def behind(self) -> bool:
        """Whether a publish has shown that a version higher than the current one exists.

        This is the case if a publish that was refused since the last change of version has a
        higher parent version.
        """
        return self._behind

    def apply(self, record: LogRecord) -> FoldResult:
        """Apply the next record of the stream."""
        if record.offset == 0:
            self._has_base = True
        elif self._pending_start is None:
            self._pending_start = record.offset
        parsed = parse_record(record.data)
        if parsed is None:
            return FoldResult(False, "record is malformed")
        if isinstance(parsed, Publish):
            return self._apply_publish(parsed, record)
        return self._apply_renewal(parsed, record.time)

    def record_gap(self) -> None:
        """Discard the base, because the records before the next one to apply were not read."""
        self._has_base = False
        self._pending.clear()
        self._pending_start = None

    def adopt(self, version: Version) -> bool:
        """Put a version from a peer in force if it is higher; return whether it was."""
        if version.version <= self._current.version:
            return False
        self._set_current(version, None)
        return True

    def _apply_publish(self, publish: Publish, record: LogRecord) -> FoldResult:
        if not self._has_base:
            self._add_pending(record, publish)
        reason = self._publish_fault(publish)
        if reason:
            self._behind = self._behind or publish.parent_version > self._current.version
            return FoldResult(False, reason, publish)
        checksum = digest(publish.document)
        self._set_current(
            Version(
                publish.version, checksum, publish.document, publish.author, publish.publish_id
            ),
            record.time,
        )
        return FoldResult(True, "", publish)

    def _publish_fault(self, publish: Publish) -> str:
        current = self._current
        if not self._has_base:
            return "no base version is known, so the parent cannot be checked"
        if publish.publish_id == current.publish_id:
            return f"repeats the publish of version {current.version}"
        if (publish.parent_version, publish.parent_digest) != (current.version, current.digest):
            return (
                f"parent is version {publish.parent_version} {publish.parent_digest}, "
                f"in force is version {current.version} {current.digest} by {current.author!r}"
            )
        if publish.version != current.version + 1:
            return f"version {publish.version} does not follow its parent {current.version}"
        return ""

    def _add_pending(self, record: LogRecord, publish: Publish) -> None:
        self._pending.append((record, publish))
        if len(self._pending) > MAX_PENDING_PUBLISHES:
            dropped, _ = self._pending.popleft()
            self._pending_start = dropped.offset + 1

    def _apply_renewal(self, renew: Renew, time: float) -> FoldResult:
        reason = self._renew_fault(renew)
        if not reason:
            self._adopt_renewal(renew, time)
        # A renewal that is older than the version in force is refused, but its through offset still
        # gives a base.
        if not self._has_base and renew.version >= 1:
            self._restore_base(renew.through)
        return FoldResult(not reason, reason, renew)

    def _renew_fault(self, renew: Renew) -> str:
        current = self._current
        if digest(renew.document) != renew.digest:
            return "digest does not match the document"
        if renew.version < current.version or renew.version < 1:
            return f"renewed version is below 1 or older than version {current.version} in force"
        if renew.version == current.version and renew.digest != current.digest:
            return "document differs from that of the version in force"
        return ""

    def _adopt_renewal(self, renew: Renew, time: float) -> None:
        if renew.version == self._current.version:
            self._renewed_at = time
            return
        self._set_current(
            Version(renew.version, renew.digest, renew.document, renew.author, renew.publish_id),
            time,
        )

    def _restore_base(self, through: int) -> None:
        """Restore the base and apply the pending publishes after the through offset of a renewal.

        Does nothing if a publish after this offset may be missing from _pending.
        """
        if self._pending_start is None or through < self._pending_start - 1:
            return
        self._has_base = True
        pending = [pair for pair in self._pending if pair[0].offset > through]
        self._pending.clear()
        for record, publish in pending:
            self._apply_publish(publish, record)

    def _set_current(self, version: Version, time: float | None) -> None:
        self._current = version
        self._renewed_at = time
        self._behind = False
