"""Shows and settles idempotency keys through the log."""

import contextlib
import uuid
from collections.abc import AsyncIterator
from typing import Any

from jayvalve.errors import InvalidRequestError, SettleRefusedError
from jayvalve.internal.claims import ClaimRelays, Settled
from jayvalve.internal.log import LogClient
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import ClaimDecision, KeyQuery
from jayvalve.verdict import Verdict

__all__ = ["SETTLED_VERDICTS", "key_document", "settle_key", "show_key"]

LOG_TIMEOUT_S = 10.0
# Longer than the retention of any log, so that every claim still in the log is shown.
RETENTION_S = 366 * 86_400.0
SETTLED_VERDICTS = (str(Verdict.RAN), str(Verdict.NOT_RUN))


def key_document(organisation: str, key: str, decision: ClaimDecision) -> dict[str, Any]:
    """Return the state of a key as a JSON object."""
    return {
        "organisation": organisation,
        "key": key,
        "state": decision.state,
        "verdict": decision.verdict if decision.state == "done" else None,
        "status": decision.status,
        "attempt": decision.attempt_id,
        "attempt_number": decision.attempt_number,
        "endpoint": decision.endpoint,
        "claim_offset": decision.claim_offset,
    }


async def show_key(log_url: str, organisation: str, key: str) -> dict[str, Any]:
    """Return the state of a key according to the log."""
    async with _open_relays(log_url) as relays:
        decision = await relays.query(KeyQuery(organisation, key), _deadline())
    return key_document(organisation, key, decision)


async def settle_key(
    log_url: str, organisation: str, key: str, verdict: str, author: str, reason: str
) -> dict[str, Any]:
    """Record an operator's verdict on a call whose verdict is may_have_run or not yet known.

    Raises:
        InvalidRequestError: the log contains no claim of the key, the verdict is not one of
            SETTLED_VERDICTS, or the author or reason is empty.
        SettleRefusedError: the call already has a known verdict, or the key was claimed again.
        LogUnavailableError: the verdict was not read back from the log in time.
    """
    if verdict not in SETTLED_VERDICTS:
        raise InvalidRequestError(f"--verdict takes {' or '.join(SETTLED_VERDICTS)}")
    if not author.strip() or not reason.strip():
        raise InvalidRequestError("--author and --reason must not be empty")
    async with _open_relays(log_url) as relays:
        before = await relays.query(KeyQuery(organisation, key), _deadline())
        if before.state == "unknown":
            raise InvalidRequestError(f"the log holds no claim of key {key!r} of {organisation!r}")
        _check_no_known_verdict(key, before)
        settled = Settled(
            uuid.uuid4().hex, before.claim_id, organisation, key, verdict, author, reason
        )
        after = await relays.settle(settled, _deadline())
    # An outcome that reached the log first takes precedence over the operator's verdict.
    if after.state != "done" or after.verdict != verdict:
        _check_no_known_verdict(key, after)
        raise SettleRefusedError(f"key {key!r} was claimed again meanwhile")
    return key_document(organisation, key, after)


def _check_no_known_verdict(key: str, decision: ClaimDecision) -> None:
    if decision.state == "done" and decision.verdict != Verdict.MAY_HAVE_RUN:
        raise SettleRefusedError(f"the verdict of key {key!r} is {decision.verdict} already")


def _deadline() -> Deadline:
    return Deadline.after(Clock(), LOG_TIMEOUT_S)


@contextlib.asynccontextmanager
async def _open_relays(log_url: str) -> AsyncIterator[ClaimRelays]:
    log = LogClient(log_url)
    relays = ClaimRelays(log, RETENTION_S)
    try:
        yield relays
    finally:
        await relays.close()
        log.close()
