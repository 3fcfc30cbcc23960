"""Journals in which an execution records its intents and turns."""

from typing import Any, Protocol

import attrs
import msgpack

from jayvalve.internal.programs import Amount, Intent, OwnershipTable, Program, ProgramId
from jayvalve.verdict import Verdict

__all__ = ["Answer", "EphemeralJournal", "Journal", "ProgramJournal"]

REPLICATION_TIMEOUT_S = 3.0


@attrs.frozen
class Answer:
    """A complete answer, stored so that a repeated request gets the same answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    verdict: Verdict = Verdict.RAN

    def encode(self) -> bytes:
        """Serialize headers and body into one byte string."""
        return msgpack.packb([self.headers, self.body], use_bin_type=True)

    @classmethod
    def decode(cls, status: int, verdict: str, data: bytes) -> "Answer":
        """Rebuild an answer from a stored turn."""
        headers, body = msgpack.unpackb(data, raw=False) if data else ({}, b"")
        return cls(status, headers, body, Verdict(verdict))


class Journal(Protocol):
    """Records the calls of one agent."""

    @property
    def attained_tokens(self) -> int:
        """Tokens used so far by the whole program."""

    @property
    def tokens_left(self) -> int | None:
        """Tokens left in the budget; None means unlimited."""

    def history(self) -> list[Any]:
        """Return the messages of the agent."""

    def open_intent(self, turn: int) -> Intent | None:
        """Return the intent of this turn that an earlier owner left open, if any."""

    async def record_intent(self, fields: dict[str, Any], amount: Amount) -> None:
        """Record an attempt before it is dispatched."""

    async def end_attempt(self, attempt_id: str, used: Amount) -> None:
        """Record that an attempt failed and that the turn stays open."""

    async def end_turn(
        self,
        attempt_id: str,
        used: Amount,
        answer: Answer,
        digest: str,
        messages: list[Any] | None,
    ) -> None:
        """Record the answer; once this returns, the turn survives the loss of its owner."""


class ProgramJournal:
    """Journal of an agent of a replicated program."""

    def __init__(
        self,
        table: OwnershipTable,
        program: Program,
        agent: ProgramId,
    ) -> None:
        self._table = table
        self._program = program
        self._agent = agent

    @property
    def attained_tokens(self) -> int:
        """Tokens used so far by the whole program, including open reservations."""
        return self._program.agent(self._program.identity.name).budget.used.tokens

    @property
    def tokens_left(self) -> int | None:
        """Tokens left in the budgets of the agent and its ancestors; None means unlimited."""
        return self._program.agent(self._agent.name).budget.remaining["tokens"]

    def history(self) -> list[Any]:
        """Return the messages of the agent."""
        return self._program.agent(self._agent.name).messages

    def open_intent(self, turn: int) -> Intent | None:
        """Return the intent of this turn that an earlier owner left open, if any."""
        for intent in self._program.intents.values():
            if intent.agent == self._agent.name and intent.turn == turn:
                return intent
        return None

    async def record_intent(self, fields: dict[str, Any], amount: Amount) -> None:
        """Replicate an intent."""
        record = self._program.intent_record(self._agent.name, amount=amount, **fields)
        await self._table.append(self._program.identity, record, REPLICATION_TIMEOUT_S)

    async def end_attempt(self, attempt_id: str, used: Amount) -> None:
        """Replicate the end of a failed attempt whose turn stays open."""
        # In a record, not_run means that the turn stays open for another attempt.
        record = self._program.turn_record(attempt_id, used=used, verdict=str(Verdict.NOT_RUN))
        await self._table.append(self._program.identity, record, REPLICATION_TIMEOUT_S)

    async def end_turn(
        self,
        attempt_id: str,
        used: Amount,
        answer: Answer,
        digest: str,
        messages: list[Any] | None,
    ) -> None:
        """Replicate the turn."""
        record = self._program.turn_record(
            attempt_id,
            used=used,
            verdict=str(answer.verdict),
            status=answer.status,
            digest=digest,
            answer=answer.encode(),
            messages=messages,
        )
        await self._table.append(self._program.identity, record, REPLICATION_TIMEOUT_S)


class EphemeralJournal:
    """Journal of a call without a program; it stores nothing."""

    attained_tokens = 0
    tokens_left = None

    def history(self) -> list[Any]:
        """Return no messages."""
        return []

    def open_intent(self, turn: int) -> None:
        """Return None: there is no earlier owner."""

    async def record_intent(self, fields: dict[str, Any], amount: Amount) -> None:
        """Record nothing."""

    async def end_attempt(self, attempt_id: str, used: Amount) -> None:
        """Record nothing."""

    async def end_turn(
        self,
        attempt_id: str,
        used: Amount,
        answer: Answer,
        digest: str,
        messages: list[Any] | None,
    ) -> None:
        """Record nothing."""
