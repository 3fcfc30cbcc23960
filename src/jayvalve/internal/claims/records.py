"""Records of the claim streams; one log record contains a batch of them."""

from typing import Any

import attrs
import msgpack

from jayvalve.internal.hashing import digest, partition
from jayvalve.internal.wire.messages import ClaimRequest, OutcomeReport
from jayvalve.verdict import Verdict

__all__ = [
    "MAX_BODY_BYTES",
    "PARTITIONS",
    "Claim",
    "Outcome",
    "Settled",
    "parse_batch",
    "partition_of",
    "stream_name",
]

PARTITIONS = 16
# Only the digest of a longer body is recorded, which limits the size of the log.
MAX_BODY_BYTES = 64 * 1024

_string = attrs.validators.instance_of(str)
_integer = attrs.validators.instance_of(int)


def _verdict() -> Any:
    return attrs.field(validator=attrs.validators.in_({str(verdict) for verdict in Verdict}))


@attrs.frozen
class Claim:
    """Reserves a key for one attempt on one sidecar incarnation."""

    claim_id: str = attrs.field(validator=_string)
    organisation: str = attrs.field(validator=_string)
    key: str = attrs.field(validator=_string)
    body_digest: str = attrs.field(validator=_string)
    attempt_id: str = attrs.field(validator=_string)
    endpoint: str = attrs.field(validator=_string)
    incarnation: int = attrs.field(validator=_integer)
    attempt_number: int = attrs.field(default=1, validator=_integer)

    @classmethod
    def from_request(cls, request: ClaimRequest) -> "Claim":
        """Create the record from a request message."""
        return cls(*(getattr(request, field.name) for field in attrs.fields(cls)))

    def as_item(self) -> list[Any]:
        """Return the record as an array for a batch."""
        return ["claim", *attrs.astuple(self)]


@attrs.frozen
class Outcome:
    """Result of a claimed attempt.

    body_digest covers the whole body of the answer, even if body itself is left out.
    """

    claim_id: str = attrs.field(validator=_string)
    organisation: str = attrs.field(validator=_string)
    key: str = attrs.field(validator=_string)
    attempt_id: str = attrs.field(validator=_string)
    verdict: str = _verdict()
    status: int = attrs.field(validator=_integer)
    headers: dict = attrs.field(validator=attrs.validators.instance_of(dict))
    body: bytes = attrs.field(validator=attrs.validators.instance_of(bytes), repr=False)
    body_digest: str = attrs.field(validator=_string)
    body_omitted: bool = attrs.field(validator=attrs.validators.instance_of(bool))

    @classmethod
    def from_report(cls, report: OutcomeReport) -> "Outcome":
        """Create the record from a report message, without a body above MAX_BODY_BYTES."""
        omitted = len(report.body) > MAX_BODY_BYTES
        return cls(
            report.claim_id,
            report.organisation,
            report.key,
            report.attempt_id,
            report.verdict,
            report.status,
            report.headers,
            b"" if omitted else report.body,
            digest(report.body),
            omitted,
        )

    def as_item(self) -> list[Any]:
        """Return the record as an array for a batch."""
        return ["outcome", *(getattr(self, field.name) for field in attrs.fields(Outcome))]


@attrs.frozen
class Settled:
    """An operator's decision on a claim that has no outcome yet or whose call may have run."""

    settle_id: str = attrs.field(validator=_string)
    claim_id: str = attrs.field(validator=_string)
    organisation: str = attrs.field(validator=_string)
    key: str = attrs.field(validator=_string)
    verdict: str = attrs.field(
        validator=attrs.validators.in_({str(Verdict.RAN), str(Verdict.NOT_RUN)})
    )
    author: str = attrs.field(validator=_string)
    reason: str = attrs.field(validator=_string)

    def as_item(self) -> list[Any]:
        """Return the record as an array for a batch."""
        return ["settled", *attrs.astuple(self)]


_KINDS = {"claim": Claim, "outcome": Outcome, "settled": Settled}


def parse_batch(data: bytes) -> list[Claim | Outcome | Settled]:
    """Return the valid items of a log record in order, skipping malformed ones."""
    try:
        items = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException):
        return []
    if not isinstance(items, list):
        return []
    parsed = [_parse_item(item) for item in items]
    return [item for item in parsed if item is not None]


def _parse_item(item: Any) -> Claim | Outcome | Settled | None:
    try:
        record_type = _KINDS[item[0]]
        # Newer versions may append fields.
        return record_type(*item[1 : 1 + len(attrs.fields(record_type))])
    except (ValueError, TypeError, KeyError, IndexError):
        return None


def partition_of(organisation: str, key: str) -> int:
    """Return the partition of a key."""
    return partition(f"{organisation}\0{key}", PARTITIONS)


def stream_name(number: int) -> str:
    """Return the name of a partition's stream."""
    return f"claims-{number:02d}"
