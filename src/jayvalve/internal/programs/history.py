"""State of a program, which can be rebuilt from its history records alone."""

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

__all__ = ["Agent", "Intent", "Program", "StoredTurn", "common_prefix_length"]

# Equals the number of answers that TurnSequence stores for repeated requests.
MAX_STORED_TURNS = 64


@attrs.frozen
class Intent:
    """An attempt that may have been dispatched and whose outcome is not recorded yet."""

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
    """An ended turn, stored to answer repeated requests."""

    turn: int
    request_id: str
    digest: str
    status: int
    verdict: str
    answer: bytes


@attrs.define(eq=False)
class Agent:
    """State of the root program or of one sub-agent.

    Attributes:
        budget: Budget of the program or sub-agent.
        messages: Messages of all turns so far, including the answers.
        turns: Ended turns by request id, oldest first; at most MAX_STORED_TURNS.
        last_turn: Highest number of an ended turn.

    """

    budget: Budget
    messages: list = attrs.field(factory=list)
    turns: OrderedDict = attrs.field(factory=OrderedDict)
    last_turn: int = 0


def common_prefix_length(left: list, right: list) -> int:
    """Return the number of leading messages that both lists have in common."""
    for index, (left_item, right_item) in enumerate(zip(left, right, strict=False)):
        if left_item != right_item:
            return index
    return min(len(left), len(right))


class Program:
    """A root program with its sub-agents.

    The methods that return a record do not change the state; only apply does. The owner and a
    rebuild from records therefore run the same code.

    Attributes:
        identity: Identifier of the root program.
        agents: States of the root program and its sub-agents by name.
        intents: Open intents by attempt id.
        member_sets: Copy sets that must each reach a quorum.
        endpoints: Endpoints that may have memory allocated for the program, including those
            that earlier owners used.
        ended: Whether the program has ended.

    """

    def __init__(self, identity: ProgramId) -> None:
        self.identity = identity.root
        self.agents: dict[str, Agent] = {}
        self.intents: dict[str, Intent] = {}
        self.member_sets: list[list[str]] = []
        self.endpoints: set[str] = set()
        self.ended = False
        self._count = 0

    @classmethod
    def from_records(cls, identity: ProgramId, records: Iterable[bytes]) -> "Program":
        """Rebuild a program from its records.

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
        """Number of applied records."""
        return self._count

    def agent(self, name: str) -> Agent:
        """Return the state of the root program or of a sub-agent.

        Raises:
            ProgramUnknownError: the program has no such agent.

        """
        try:
            return self.agents[name]
        except KeyError:
            raise ProgramUnknownError(f"program {name} is not known") from None

    def messages_for(self, name: str, sent: list, append: bool) -> list:
        """Return the messages of a call.

        In append mode, these are the stored messages followed by sent; in full mode (append is
        false), only sent.
        """
        return [*self.agent(name).messages, *sent] if append else list(sent)

    def start_record(self, limits: list, members: list[str]) -> bytes:
        """Return the first record of a program; limits are those of Budget.limits."""
        fields = {"limits": limits, "sets": [members]}
        return self._record("start", self.identity.name, fields)

    def child_record(self, name: str, limits: list) -> bytes:
        """Return the record that starts a sub-agent; limits are those of Budget.limits."""
        return self._record("child", name, {"limits": limits})

    def members_record(self, sets: list[list[str]]) -> bytes:
        """Return the record that changes the copy set.

        More than one set means that the change is in progress and that each set needs a quorum.
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
        """Return the record that must be replicated before an attempt is dispatched.

        Raises:
            BudgetExceededError: the amount exceeds the budget; nothing is reserved.

        """
        budget = self.agent(name).budget
        # Reserving the amount and settling it as unused checks all levels of the budget without
        # changing its state.
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

        Args:
            attempt_id: Attempt of the intent.
            used: Resources that the attempt used.
            verdict: Verdict of the answer. With not_run, the turn does not end and another
                attempt may follow.
            status: Status code of the answer.
            digest: Digest of the request.
            answer: Answer to the call.
            messages: All messages after the turn, including the answer. Only the part that
                differs from the stored messages is recorded. None leaves them unchanged.

        """
        intent = self._get_intent(attempt_id)
        stored = self.agent(intent.agent).messages
        base = len(stored) if messages is None else common_prefix_length(stored, messages)
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
        """Check a record, apply it to the state and return it decoded.

        Raises:
            HistoryUnavailableError: the record is corrupted, out of order or does not fit the
                state.
            WrongOrganisationError: the record belongs to another program or organisation.

        """
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
                f"history record {record.number} ({record.kind}) cannot be applied: {error}"
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

    def _get_intent(self, attempt_id: str) -> Intent:
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
            raise InvalidRequestError(f"sub-agent {record.agent!r} already exists or has no parent")
        parent = self.agent(child.parent.name)
        self.agents[record.agent] = Agent(Budget(*record.fields["limits"], parent=parent.budget))

    def _apply_members(self, record: Record) -> None:
        self.member_sets = record.fields["sets"]

    def _apply_intent(self, record: Record) -> None:
        fields = dict(record.fields)
        if fields["attempt_id"] in self.intents:
            raise InvalidRequestError(
                f"attempt {fields['attempt_id']!r} already has an open intent"
            )
        amount = Amount.from_list(fields.pop("amount"))
        reservation = self.agent(record.agent).budget.reserve(amount)
        intent = Intent(agent=record.agent, reservation=reservation, **fields)
        self.intents[intent.attempt_id] = intent
        self.endpoints.add(intent.endpoint)

    def _apply_turn(self, record: Record) -> None:
        fields = record.fields
        intent = self._get_intent(fields["attempt_id"])
        agent = self.agent(intent.agent)
        agent.budget.settle(intent.reservation, Amount.from_list(fields["used"]))
        del self.intents[intent.attempt_id]
        agent.messages[fields["base"] :] = fields["messages"]
        if fields["verdict"] == "not_run":
            return
        stored_fields = {name: fields[name] for name in ("digest", "status", "verdict", "answer")}
        agent.turns[intent.request_id] = StoredTurn(intent.turn, intent.request_id, **stored_fields)
        agent.last_turn = max(agent.last_turn, intent.turn)
        while len(agent.turns) > MAX_STORED_TURNS:
            agent.turns.popitem(last=False)

    def _apply_end(self, record: Record) -> None:
        self.ended = True
