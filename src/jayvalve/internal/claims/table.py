"""Computes the state of each key from one claim stream."""

from collections import OrderedDict

import attrs

from jayvalve.errors import KeyReusedError
from jayvalve.internal.claims.records import Claim, Outcome, Settled, parse_batch
from jayvalve.internal.log import LogRecord
from jayvalve.internal.wire.messages import ClaimDecision
from jayvalve.verdict import Verdict

__all__ = ["BODY_DIGEST_HEADER", "ClaimTable", "ItemResult", "KeyState"]

MAX_KEYS = 50_000
MAX_CACHED_BODY_BYTES = 8 * 1024 * 1024
# Claim ids include those of refused claims, so there may be more claim ids than keys.
_CLAIM_IDS_PER_KEY = 4

# Set on an answer whose body was left out, to distinguish it from one with an empty body.
BODY_DIGEST_HEADER = "Jayvalve-Body-Digest"


@attrs.define
class KeyState:
    """Claim in force for a key, and its outcome if there is one.

    Attributes:
        claim: Claim in force.
        claim_offset: Offset of the log record that contains the claim.
        time: Time of the newest record read from the stream when the claim was applied, in Unix
            seconds. The key expires ``retention_s`` after it.
        outcome: Reported outcome, or one created from a settlement, or None.
        outcome_offset: Offset of the log record with the outcome or settlement, or -1.
        body_dropped: Whether the body of the outcome is only in the log.
        settled_by: Author of the settlement, or an empty string.

    """

    claim: Claim
    claim_offset: int
    time: float
    outcome: Outcome | None = None
    outcome_offset: int = -1
    body_dropped: bool = False
    settled_by: str = ""

    @property
    def verdict(self) -> str | None:
        """Verdict of the outcome, or None while there is no outcome."""
        return self.outcome.verdict if self.outcome is not None else None


@attrs.frozen
class ItemResult:
    """Effect of one item of a batch; reason is empty if it took effect."""

    item: Claim | Outcome | Settled
    reason: str = ""


class ClaimTable:
    """State of all keys of one partition, determined by the records of its stream alone.

    Memory is bounded as follows. Keys and claim ids are dropped once they are more than
    retention_s older than the newest record. Bodies beyond max_body_bytes are dropped, oldest
    first, and can be read again from the log at the offset of the outcome. Claim ids beyond
    four times max_keys are dropped, oldest first. A key within the retention time is never
    dropped: once there are max_keys keys, `full` makes the relay refuse claims of new keys.
    """

    def __init__(
        self,
        retention_s: float,
        *,
        max_keys: int = MAX_KEYS,
        max_body_bytes: int = MAX_CACHED_BODY_BYTES,
    ) -> None:
        self._retention_s = retention_s
        self._max_keys = max_keys
        self._max_body_bytes = max_body_bytes
        self._states: OrderedDict[tuple[str, str], KeyState] = OrderedDict()
        self._seen_claim_ids: OrderedDict[str, float] = OrderedDict()
        self._bodies: OrderedDict[str, KeyState] = OrderedDict()
        self._body_bytes = 0
        self._newest_record_time = 0.0

    def __len__(self) -> int:
        return len(self._states)

    def __repr__(self) -> str:
        return f"ClaimTable(retention_s={self._retention_s}, keys={len(self)})"

    @property
    def full(self) -> bool:
        """Whether no new key may be claimed until old keys expire."""
        return len(self._states) >= self._max_keys

    @property
    def body_bytes(self) -> int:
        """Total size of the bodies in memory, in bytes."""
        return self._body_bytes

    def get(self, organisation: str, key: str) -> KeyState | None:
        """Return the state of a key, or None."""
        return self._states.get((organisation, key))

    def decision(self, organisation: str, key: str, claim_id: str = "") -> ClaimDecision:
        """Return the state of a key; it is granted only for the claim id of the claim in force."""
        state = self.get(organisation, key)
        if state is None:
            return ClaimDecision("unknown")
        claim, outcome = state.claim, state.outcome
        claim_fields = {
            "claim_offset": state.claim_offset,
            "claim_id": claim.claim_id,
            "attempt_id": claim.attempt_id,
            "endpoint": claim.endpoint,
            "incarnation": claim.incarnation,
            "attempt_number": claim.attempt_number,
            "body_digest": claim.body_digest,
        }
        if outcome is None:
            return ClaimDecision(
                "granted" if claim.claim_id == claim_id else "held", **claim_fields
            )
        headers = dict(outcome.headers)
        if outcome.body_omitted or state.body_dropped:
            headers[BODY_DIGEST_HEADER] = outcome.body_digest
        return ClaimDecision(
            "done",
            **claim_fields,
            verdict=outcome.verdict,
            status=outcome.status,
            headers=headers,
            body=outcome.body,
        )

    def check_body(self, organisation: str, key: str, body_digest: str) -> None:
        """Raise KeyReusedError if the key belongs to a request with a different body."""
        state = self.get(organisation, key)
        if state is not None and state.claim.body_digest != body_digest:
            raise KeyReusedError(f"key {key!r} was used before with another request")

    def apply(self, record: LogRecord) -> list[ItemResult]:
        """Apply the next record of the stream and return the effect of each item."""
        self._newest_record_time = max(self._newest_record_time, record.time)
        self._expire()
        results = []
        for item in parse_batch(record.data):
            if isinstance(item, Claim):
                reason = self._apply_claim(item, record.offset)
            elif isinstance(item, Outcome):
                reason = self._apply_outcome(item, record.offset)
            else:
                reason = self._apply_settlement(item, record.offset)
            results.append(ItemResult(item, reason))
        return results

    def _apply_claim(self, claim: Claim, offset: int) -> str:
        if claim.claim_id in self._seen_claim_ids:
            return "repeats an earlier claim"
        self._seen_claim_ids[claim.claim_id] = self._newest_record_time
        while len(self._seen_claim_ids) > _CLAIM_IDS_PER_KEY * self._max_keys:
            self._seen_claim_ids.popitem(last=False)
        state = self.get(claim.organisation, claim.key)
        reason = _claim_refusal_reason(state, claim)
        if not reason:
            if state is not None:
                self._drop_body(state)
            self._states[claim.organisation, claim.key] = KeyState(
                claim, offset, self._newest_record_time
            )
            self._states.move_to_end((claim.organisation, claim.key))
        return reason

    def _apply_outcome(self, outcome: Outcome, offset: int) -> str:
        state = self.get(outcome.organisation, outcome.key)
        if state is None or state.claim.claim_id != outcome.claim_id:
            return "is not the outcome of the claim in force"
        if state.claim.attempt_id != outcome.attempt_id:
            return "belongs to a different attempt than the claim in force"
        # A late answer may replace may_have_run with ran; nothing replaces a known verdict.
        if state.outcome is not None and not (
            state.verdict == Verdict.MAY_HAVE_RUN and outcome.verdict == Verdict.RAN
        ):
            return f"outcome {state.verdict} is already recorded"
        self._set_outcome(state, outcome, offset)
        return ""

    def _apply_settlement(self, settlement: Settled, offset: int) -> str:
        state = self.get(settlement.organisation, settlement.key)
        if state is None or state.claim.claim_id != settlement.claim_id:
            return "is not for the claim in force"
        if state.verdict not in (None, Verdict.MAY_HAVE_RUN):
            return f"outcome {state.verdict} is already recorded"
        claim = state.claim
        self._set_outcome(
            state,
            Outcome(
                claim.claim_id,
                claim.organisation,
                claim.key,
                claim.attempt_id,
                settlement.verdict,
                0,
                {},
                b"",
                "",
                False,
            ),
            offset,
        )
        state.settled_by = settlement.author
        return ""

    def _set_outcome(self, state: KeyState, outcome: Outcome, offset: int) -> None:
        self._drop_body(state)
        state.outcome, state.outcome_offset, state.body_dropped = outcome, offset, False
        if not outcome.body:
            return
        self._bodies[outcome.claim_id] = state
        self._body_bytes += len(outcome.body)
        while self._body_bytes > self._max_body_bytes:
            self._drop_body(next(iter(self._bodies.values())))

    def _drop_body(self, state: KeyState) -> None:
        if self._bodies.pop(state.claim.claim_id, None) is None:
            return
        self._body_bytes -= len(state.outcome.body)
        state.outcome = attrs.evolve(state.outcome, body=b"")
        state.body_dropped = True

    def _expire(self) -> None:
        expired_before = self._newest_record_time - self._retention_s
        while self._states and next(iter(self._states.values())).time < expired_before:
            self._drop_body(self._states.popitem(last=False)[1])
        while self._seen_claim_ids and next(iter(self._seen_claim_ids.values())) < expired_before:
            self._seen_claim_ids.popitem(last=False)


def _claim_refusal_reason(state: KeyState | None, claim: Claim) -> str:
    if state is None:
        return ""
    if state.claim.body_digest != claim.body_digest:
        return "the key was used before with another request"
    if state.verdict != Verdict.NOT_RUN:
        return f"attempt {state.claim.attempt_number} holds the key"
    if claim.attempt_number != state.claim.attempt_number + 1:
        return f"the next attempt is number {state.claim.attempt_number + 1}"
    return ""
