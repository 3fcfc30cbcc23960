"""Claims of idempotency keys for the calls of this entry's programs."""

import asyncio
import itertools
import uuid
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import (
    JayvalveError,
    LogUnavailableError,
    MayHaveRunError,
    PeerUnavailableError,
)
from jayvalve.internal.claims import BODY_DIGEST_HEADER, ClaimRelays, relay_of
from jayvalve.internal.entry.dispatch import AttemptDispatcher
from jayvalve.internal.membership import Member
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.transport import HandlerTable, PeerContext, PeerPool
from jayvalve.internal.wire.messages import (
    Chunk,
    ClaimDecision,
    ClaimRequest,
    KeyQuery,
    OutcomeReport,
    ResponseHead,
)
from jayvalve.verdict import Verdict

__all__ = ["ClaimGrant", "KeyClaims"]

RELAY_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.2
# How long the holder of a claim may take to start its attempt before another entry abandons it.
# Without this delay, entries that claimed the same key abandoned each other's attempts endlessly.
HOLDER_START_TIMEOUT_S = 2.0
# Fraction of the requester's timeout that a relay may use to decide on a claim.
RELAY_TIMEOUT_FRACTION = 0.9
# How long to retry the report of an outcome. An outcome that is never recorded in the log is still
# in the program's history and at the sidecar.
REPORT_TIMEOUT_S = 600.0

StoredAnswer = tuple[int, dict[str, str], bytes]

_log = logger.bind(part="claims")


@attrs.frozen
class ClaimGrant:
    """A claim granted to this entry, or the answer of the earlier attempt that claimed the key."""

    request: ClaimRequest
    offset: int
    answer: StoredAnswer | None = None


class KeyClaims:
    """Claims keys through the relays of their partitions and resolves claims of other attempts.

    Args:
        relays: The relays that this process serves.
        entries: Returns the addresses of the live entries, including this one, by instance.
        find_sidecar: Returns the sidecar of an endpoint, even if it is suspect or draining, if
            it has the given incarnation; None otherwise or if it is gone.
        spawn: Runs a coroutine in the background.
    """

    def __init__(
        self,
        instance: str,
        relays: ClaimRelays,
        pool: PeerPool,
        dispatcher: AttemptDispatcher,
        entries: Callable[[], dict[str, str]],
        find_sidecar: Callable[[str, int], Member | None],
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._relays = relays
        self._pool = pool
        self._dispatcher = dispatcher
        self._entries = entries
        self._find_sidecar = find_sidecar
        self._spawn = spawn
        self._clock = clock

    def register(self, handlers: HandlerTable) -> None:
        """Register the handlers for claim messages of other entries."""

        @handlers.on(ClaimRequest)
        async def claim(context: PeerContext, message: ClaimRequest) -> ClaimDecision:
            return await self._relays.claim(message, self._relay_deadline(message.deadline_ms))

        @handlers.on(OutcomeReport)
        async def report(context: PeerContext, message: OutcomeReport) -> ClaimDecision:
            return await self._relays.report_outcome(message, self._relay_deadline())

        @handlers.on(KeyQuery)
        async def query(context: PeerContext, message: KeyQuery) -> ClaimDecision:
            return await self._relays.query(message, self._relay_deadline())

    async def claim(
        self,
        *,
        organisation: str,
        key: str,
        body_digest: str,
        attempt_id: str,
        endpoint: str,
        sidecar: Member,
        key_created: float,
        deadline: Deadline,
    ) -> ClaimGrant:
        """Claim a key for one attempt, or return the answer of the earlier attempt that claimed it.

        Raises:
            MayHaveRunError: an earlier attempt may have run, or it ran and its answer is no longer
                stored.
            JayvalveError: the claim was not granted; the verdict is not_run.
        """
        attempt_number = 1
        while True:
            request = ClaimRequest(
                uuid.uuid4().hex,
                organisation,
                key,
                body_digest,
                attempt_id,
                endpoint,
                sidecar.incarnation,
                attempt_number,
                key_created,
            )
            decision = await self._send_to_relay(request, deadline)
            if decision.state == "granted":
                return ClaimGrant(request, decision.claim_offset)
            if decision.state == "held":
                answer = await self._resolve_held_claim(request, decision, deadline)
                if answer is not None:
                    return ClaimGrant(request, decision.claim_offset, answer)
            elif decision.verdict != Verdict.NOT_RUN:
                answer = _recorded_answer(decision)
                return ClaimGrant(request, decision.claim_offset, answer)
            attempt_number = decision.attempt_number + 1

    def report(self, grant: ClaimGrant, status: int, headers: dict[str, str], body: bytes) -> None:
        """Record the answer of a claimed call in the background."""
        report = _outcome_report(grant.request, Verdict.RAN, status, headers, body)
        self._spawn(self._report_until_recorded(report))

    async def report_not_run(self, grant: ClaimGrant, deadline: Deadline) -> None:
        """Record that a claimed call did not run, so that the key can be claimed again."""
        await self._send_to_relay(_outcome_report(grant.request, Verdict.NOT_RUN), deadline)

    async def query(self, organisation: str, key: str, timeout_s: float) -> ClaimDecision:
        """Return the recorded state of a key."""
        return await self._send_to_relay(
            KeyQuery(organisation, key), Deadline.after(self._clock, timeout_s)
        )

    def _relay_deadline(self, requested_ms: int = 0) -> Deadline:
        limit_s = requested_ms / 1000 if requested_ms else RELAY_TIMEOUT_S
        return Deadline.after(self._clock, min(RELAY_TIMEOUT_S, limit_s))

    async def _send_to_relay(self, message: Any, deadline: Deadline) -> ClaimDecision:
        """Send a message to the relay of its key, with retries.

        The ids in the message make repeated delivery harmless.
        """
        while True:
            entries = self._entries()
            relay = relay_of(message.organisation, message.key, sorted(entries))
            if relay == self._instance:
                return await self._handle_locally(message, deadline)
            try:
                timeout_s = min(RELAY_TIMEOUT_S, deadline.remaining_s)
                if isinstance(message, ClaimRequest):
                    # The relay's deadline is slightly shorter than the timeout here, so that the
                    # caller gets the relay's refusal with its reason, such as log_unavailable.
                    relay_deadline_ms = max(1, int(timeout_s * RELAY_TIMEOUT_FRACTION * 1000))
                    message = attrs.evolve(message, deadline_ms=relay_deadline_ms)
                return await self._pool.call(entries[relay], message, timeout_s)
            except PeerUnavailableError as error:
                if deadline.remaining_s <= RETRY_INTERVAL_S:
                    # Nothing is dispatched after this error, even if the claim was granted. For
                    # the caller, an unreachable relay is the same condition as an unreachable log.
                    raise LogUnavailableError(
                        f"no decision on the key before the deadline: {error.message}"
                    ) from error
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _handle_locally(self, message: Any, deadline: Deadline) -> ClaimDecision:
        if isinstance(message, ClaimRequest):
            return await self._relays.claim(message, deadline)
        if isinstance(message, OutcomeReport):
            return await self._relays.report_outcome(message, deadline)
        return await self._relays.query(message, deadline)

    async def _resolve_held_claim(
        self, request: ClaimRequest, decision: ClaimDecision, deadline: Deadline
    ) -> StoredAnswer | None:
        """Return the answer of the attempt that holds the claim, or None if it did not run."""
        holder_request = attrs.evolve(
            request,
            claim_id=decision.claim_id,
            attempt_id=decision.attempt_id,
            endpoint=decision.endpoint,
        )
        sidecar = self._find_sidecar(decision.endpoint, decision.incarnation)
        if sidecar is None:
            self._spawn(
                self._report_until_recorded(_outcome_report(holder_request, Verdict.MAY_HAVE_RUN))
            )
            raise MayHaveRunError(
                f"attempt {decision.attempt_id} claimed the key, but its sidecar is no longer "
                "running; an operator can settle the key"
            )
        try:
            parts = self._dispatcher.recover(
                sidecar, decision.attempt_id, deadline, HOLDER_START_TIMEOUT_S
            )
            answer = await _collect(parts)
        except JayvalveError as error:
            if error.verdict is not Verdict.NOT_RUN:
                raise MayHaveRunError(
                    f"attempt {decision.attempt_id} claimed the key, but its answer is not "
                    f"available: {error.message}"
                ) from error
            await self._send_to_relay(_outcome_report(holder_request, Verdict.NOT_RUN), deadline)
            return None
        self._spawn(
            self._report_until_recorded(_outcome_report(holder_request, Verdict.RAN, *answer))
        )
        return answer

    async def _report_until_recorded(self, report: OutcomeReport) -> None:
        deadline = Deadline.after(self._clock, REPORT_TIMEOUT_S)
        for failures in itertools.count():
            try:
                await self._send_to_relay(report, self._relay_deadline())
                return
            except JayvalveError as error:
                if deadline.expired:
                    _log.error("outcome of key {} was not recorded: {}", report.key, error.message)
                    return
                await asyncio.sleep(min(10.0, RETRY_INTERVAL_S * 2**failures))


def _outcome_report(
    request: ClaimRequest,
    verdict: Verdict,
    status: int = 0,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> OutcomeReport:
    return OutcomeReport(
        request.claim_id,
        request.organisation,
        request.key,
        request.attempt_id,
        str(verdict),
        status,
        headers or {},
        body,
    )


def _recorded_answer(decision: ClaimDecision) -> StoredAnswer:
    if decision.verdict != Verdict.RAN:
        raise MayHaveRunError(
            f"attempt {decision.attempt_id} of this key may have run; an operator can settle "
            "the key"
        )
    if BODY_DIGEST_HEADER in decision.headers or decision.status == 0:
        raise MayHaveRunError(
            "the call ran, but its answer is no longer stored", verdict=Verdict.RAN
        )
    return decision.status, decision.headers, decision.body


async def _collect(parts: AsyncIterator[Any]) -> StoredAnswer:
    status, headers, body = 200, {}, []
    async for part in parts:
        if isinstance(part, ResponseHead):
            status, headers = part.status, part.headers
        elif isinstance(part, Chunk):
            body.append(part.data)
    return status, headers, b"".join(body)
