"""At-most-once claims of idempotency keys, recorded in the log."""

from jayvalve.internal.claims.records import (
    MAX_BODY_BYTES,
    PARTITIONS,
    Claim,
    Outcome,
    Settled,
    parse_batch,
    partition_of,
    stream_name,
)
from jayvalve.internal.claims.relay import ClaimRelay, WaitingLimit
from jayvalve.internal.claims.relays import ClaimRelays, relay_of
from jayvalve.internal.claims.table import BODY_DIGEST_HEADER, ClaimTable, ItemResult, KeyState

__all__ = [
    "BODY_DIGEST_HEADER",
    "MAX_BODY_BYTES",
    "PARTITIONS",
    "Claim",
    "ClaimRelay",
    "ClaimRelays",
    "ClaimTable",
    "ItemResult",
    "KeyState",
    "Outcome",
    "Settled",
    "WaitingLimit",
    "parse_batch",
    "partition_of",
    "relay_of",
    "stream_name",
]
