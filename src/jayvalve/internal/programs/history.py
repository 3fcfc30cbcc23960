"""State of a program, rebuilt from its records alone."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

import attrs

from jayvalve.errors import (
    HistoryUnavailableError,
    InvalidRequestError,
    JayvalveError,
    ProgramEndedError,
    ProgramUnknownError,
    WrongOrganisationError,
)
from jayvalve.internal.programs.budget import Amount, Budget, Reservation
from jayvalve.internal.programs.identity import ProgramId
from jayvalve.internal.programs.records import Record, decode_record, encode_record

__all__ = ["Agent", "Intent", "Program", "StoredTurn", "common_prefix"]

# Equals the number of answers that TurnSequence stores for repeats.
MAX_TURNS_KEPT = 64


@attrs.frozen
class Intent:
    """An attempt that may have been dispatched and whose outcome is not recorded."""

    attempt_id: str
    agent: str
    turn: int
    request_id: str
    endpoint: str
    incarnation: int
    repeatable: bool
    reservation: Reservation = attrs.field(repr=False)


@attrs.frozen
class StoredTurn:
    """An ended turn, kept for repeats of its request."""

    turn: int
    request_id: str
    digest: str
    status: int
    verdict: str
    answer: bytes


@attrs.define(eq=False)
class Agent:
    """State of the root program or of one sub-agent."""

    budget: Budget
    messages: list = attrs.field(factory=list)
    turns: OrderedDict = attrs.field(factory=OrderedDict)
    last_turn: int = 0


def common_prefix(left: list, right: list) -> int:
    """Return the number of leading messages that both lists share."""
    for index, (one, other) in enumerate(zip(left, right, strict=False)):
        if one != other:
            return index
    return min(len(left), len(right))


class Program:
    """A root program with its sub-agents.

    The record methods return the next record without changing the state; apply changes it.
    The owner and a rebuild therefore run the same code.
    """

    def __init__(self, identity: ProgramId) -> None:
        self.identity = identity.root
        self.agents: dict[str, Agent] = {}
        self.intents: dict[str, Intent] = {}
        self.member_sets: list[list[str]] = []
        # Endpoints that may hold memory for the program, also those of earlier owners.
        self.endpoints: set[str] = set()
        self.ended = False
        self._count = 0

    @classmethod
    def from_records(cls, identity: ProgramId, records: Iterable[bytes]) -> "Program":
        """Rebuild a program.

        Raises:
            HistoryUnavailableError: a record is corrupted or out of order.
            WrongOrganisationError: a record belongs to another program or organisation.

        """
        program = cls(identity)
        for data in records:
            program.apply(data)
        return program

    @property
    def count(self) -> int:
        """Number of records applied."""
        return self._count

    def agent(self, name: str) -> Agent:
        """Return the state of the root or a sub-agent; ProgramUnknownError if there is none."""
        try:
            return self.agents[name]
        except KeyError:
            raise ProgramUnknownError(f"program {name} is not known") from None

    def messages_for(self, name: str, sent: list, append: bool) -> list:
        """Return the messages of a call: append adds sent to the history, full takes sent."""
        return [*self.agent(name).messages, *sent] if append else list(sent)

    def start_record(self, limits: list, members: list[str]) -> bytes:
        """Return the first record of a program."""
        fields = {"limits": limits, "sets": [members]}
        return self._record("start", self.identity.name, fields)

    def child_record(self, name: str, limits: list) -> bytes:
        """Return the record that starts a sub-agent."""
        return self._record("child", name, {"limits": limits})

    def members_record(self, sets: list[list[str]]) -> bytes:
        """Return the record of a change of the copy set.

        More than one set means that the change is under way and that each set needs a quorum.
        """
        return self._record("members", self.identity.name, {"sets": sets})

    def intent_record(
        self,
        name: str,
        *,
        turn: int,
        request_id: str,
        attempt_id: str,
        amount: Amount,
        endpoint: str,
        incarnation: int,
        repeatable: bool = True,
    ) -> bytes:
        """Return the record to replicate before a dispatch.

        Raises:
            BudgetExceededError: the reservation does not fit; nothing is held.

        """
        budget = self.agent(name).budget
        # Reserving and settling with nothing used checks all levels and leaves no trace.
        budget.settle(budget.reserve(amount), Amount())
        fields = {
            "turn": turn,
            "request_id": request_id,
            "attempt_id": attempt_id,
            "amount": amount.as_list(),
            "endpoint": endpoint,
            "incarnation": incarnation,
            "repeatable": repeatable,
        }
        return self._record("intent", name, fields)

    def turn_record(
        self,
        attempt_id: str,
        *,
        used: Amount,
        verdict: str,
        status: int = 0,
        digest: str = "",
        answer: bytes = b"",
        messages: list | None = None,
    ) -> bytes:
        """Return the record that settles an intent.

        messages is the whole list after the turn, answer included; only what differs from
        the stored history is recorded. None leaves the history as it is. With verdict
        not_run the turn does not end and another attempt may follow.
        """
        intent = self._intent(attempt_id)
        stored = self.agent(intent.agent).messages
        base = len(stored) if messages is None else common_prefix(stored, messages)
        fields = {
            "attempt_id": attempt_id,
            "used": used.as_list(),
            "verdict": verdict,
            "status": status,
            "digest": digest,
            "answer": answer,
            "base": base,
            "messages": [] if messages is None else messages[base:],
        }
        return self._record("turn", intent.agent, fields)

    def end_record(self) -> bytes:
        """Return the record that ends the program and its sub-agents."""
        return self._record("end", self.identity.name, {})

    def apply(self, data: bytes) -> Record:
        """Check a record and change the state by it."""
        record = decode_record(data)
        if (record.organisation, record.program) != (
            self.identity.organisation,
            self.identity.name,
        ):
            raise WrongOrganisationError("history record belongs to another program")
        if record.number != self._count or (record.kind == "start") != (self._count == 0):
            raise HistoryUnavailableError(
                f"history record {record.number} ({record.kind}) is out of order, "
                f"expected {self._count}"
            )
        try:
            getattr(self, f"_apply_{record.kind}")(record)
        except (KeyError, TypeError, ValueError, AttributeError, JayvalveError) as error:
            raise HistoryUnavailableError(
                f"history record {record.number} ({record.kind}) does not apply: {error}"
            ) from error
        self._count += 1
        return record

    def _record(self, kind: str, agent: str, fields: dict[str, Any]) -> bytes:
        if self.ended and kind != "members":
            raise ProgramEndedError(f"program {self.identity.name} has ended")
        record = Record(
            kind, self.identity.name, self.identity.organisation, self._count, agent, fields
        )
        return encode_record(record)

    def _intent(self, attempt_id: str) -> Intent:
        try:
            return self.intents[attempt_id]
        except KeyError:
            raise InvalidRequestError(f"attempt {attempt_id!r} has no open intent") from None

    def _apply_start(self, record: Record) -> None:
        self.agents[self.identity.name] = Agent(Budget(*record.fields["limits"]))
        self.member_sets = record.fields["sets"]

    def _apply_child(self, record: Record) -> None:
        child = ProgramId.parse(self.identity.organisation, record.agent)
        if child.parent is None or record.agent in self.agents:
            raise InvalidRequestError(f"sub-agent {record.agent!r} exists or has no parent")
        parent = self.agent(child.parent.name)
        self.agents[record.agent] = Agent(Budget(*record.fields["limits"], parent=parent.budget))

    def _apply_members(self, record: Record) -> None:
        self.member_sets = record.fields["sets"]

    def _apply_intent(self, record: Record) -> None:
        fields = dict(record.fields)
        if fields["attempt_id"] in self.intents:
            raise InvalidRequestError(f"attempt {fields['attempt_id']!r} has an open intent")
        amount = Amount.from_list(fields.pop("amount"))
        reservation = self.agent(record.agent).budget.reserve(amount)
        intent = Intent(agent=record.agent, reservation=reservation, **fields)
        self.intents[intent.attempt_id] = intent
        self.endpoints.add(intent.endpoint)

    def _apply_turn(self, record: Record) -> None:
        fields = record.fields
        intent = self._intent(fields["attempt_id"])
        agent = self.agent(intent.agent)
        agent.budget.settle(intent.reservation, Amount.from_list(fields["used"]))
        del self.intents[intent.attempt_id]
        agent.messages[fields["base"] :] = fields["messages"]
        if fields["verdict"] == "not_run":
            return
        kept = {name: fields[name] for name in ("digest", "status", "verdict", "answer")}
        agent.turns[intent.request_id] = StoredTurn(intent.turn, intent.request_id, **kept)
        agent.last_turn = max(agent.last_turn, intent.turn)
        while len(agent.turns) > MAX_TURNS_KEPT:
            agent.turns.popitem(last=False)

    def _apply_end(self, record: Record) -> None:
        self.ended = True
