"""Typed messages between processes; docs/design.md section 5 describes them.

Attributes are sent in the order of their definition. Add new ones at the end with a default, so
that processes of adjacent versions can exchange messages.
"""

from typing import Any

import attrs
from attrs.validators import deep_iterable, instance_of, optional

__all__ = [
    "MESSAGE_KINDS",
    "Abandon",
    "Accepted",
    "AttemptState",
    "Cancel",
    "Chunk",
    "ClaimDecision",
    "ClaimRequest",
    "Completed",
    "ConfigurationReply",
    "ConfigurationRequest",
    "CopyAck",
    "CopyRead",
    "CopyRelease",
    "CopyState",
    "CopyWrite",
    "Dispatch",
    "Failure",
    "Forward",
    "HandOver",
    "Heartbeat",
    "Hello",
    "Inquire",
    "KeyQuery",
    "LoadQuery",
    "LoadReport",
    "Message",
    "Order",
    "OutcomeReport",
    "ProgramQuery",
    "ProgramStates",
    "ReleaseProgram",
    "ResponseHead",
    "Resume",
    "message",
]

Message = Any
MESSAGE_KINDS: dict[str, type] = {}


def _integer(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=instance_of(int))


def _string(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=instance_of(str))


def _blob(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=instance_of(bytes))


def _number(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=instance_of((int, float)))


def _flag(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=instance_of(bool))


def _map() -> Any:
    return attrs.field(factory=dict, validator=instance_of(dict))


def _list(item: type) -> Any:
    return attrs.field(
        factory=list,
        validator=deep_iterable(instance_of(item), instance_of((list, tuple))),
    )


def message(kind: str) -> Any:
    """Return a decorator that turns a class into a frozen attrs message of this kind.

    The decorator raises ValueError if the kind is already defined.
    """

    def add(cls: type) -> type:
        if kind in MESSAGE_KINDS:
            raise ValueError(f"message kind {kind!r} is defined twice")
        frozen = attrs.frozen(cls)
        frozen.kind = kind
        MESSAGE_KINDS[kind] = frozen
        return frozen

    return add


@message("hello")
class Hello:
    """First message on a connection, in both directions."""

    instance: str = _string()
    incarnation: int = _integer()
    role: str = _string()
    data_centre: str = _string()
    address: str = _string()
    protocol: int = _integer(1)


@message("heartbeat")
class Heartbeat:
    """Liveness probe that carries the sender's state and membership updates."""

    sequence: int = _integer()
    state: str = _string("live")
    configuration_version: int = _integer(0)
    configuration_digest: str = _string("")
    load: dict = _map()
    updates: list = _list(list)
    refutation: int = _integer(0)


@message("dispatch")
class Dispatch:
    """Asks a sidecar to run one attempt of a call."""

    attempt_id: str = _string()
    program: str = _string()
    organisation: str = _string()
    epoch: int = _integer()
    handover: int = _integer()
    incarnation: int = _integer()
    rank: str = _string()
    attained_tokens: int = _integer()
    deadline_ms: int = _integer()
    service: str = _string()
    method: str = _string()
    path: str = _string()
    headers: dict = _map()
    body: bytes = _blob(b"")
    repeatable: bool = _flag(True)
    claim_offset: int = _integer(-1)
    stream: bool = _flag(False)
    join_straggler: bool = _flag(False)


@message("resume")
class Resume:
    """Requests the rest of an attempt's answer on a new connection, from next_chunk on."""

    attempt_id: str = _string()
    next_chunk: int = _integer()


@message("inquire")
class Inquire:
    """Queries the state of an attempt; with abandon, an unknown attempt gets a tombstone."""

    attempt_id: str = _string()
    incarnation: int = _integer()
    abandon: bool = _flag(False)


@message("attempt_state")
class AttemptState:
    """State of an attempt: unknown, queued, running, done or abandoned."""

    state: str = _string()
    verdict: str = _string()
    status: int = _integer(0)


@message("cancel")
class Cancel:
    """Stops an attempt whose answer is no longer needed."""

    attempt_id: str = _string()


@message("forward")
class Forward:
    """Forwards a caller's request to the program's owner."""

    method: str = _string()
    path: str = _string()
    headers: dict = _map()
    body: bytes = _blob(b"")
    organisation: str = _string("")
    hops: int = _integer(1)


@message("response_head")
class ResponseHead:
    """Status and headers of a streamed answer."""

    status: int = _integer()
    headers: dict = _map()


@message("chunk")
class Chunk:
    """Part of an answer; index starts at 0."""

    index: int = _integer()
    data: bytes = _blob()


@message("completed")
class Completed:
    """End of an answer; chunks is the number of its parts, digest covers their bytes."""

    status: int = _integer()
    verdict: str = _string()
    chunks: int = _integer()
    digest: str = _string()
    usage_tokens: int = _integer(0)
    load: dict = _map()


@message("abandon")
class Abandon:
    """Ends the request with the same request id, because its replies are no longer read."""


@message("accepted")
class Accepted:
    """Acknowledges a request that has no other reply."""


@message("failure")
class Failure:
    """Reports an error instead of the expected reply."""

    code: str = _string()
    message: str = _string()
    verdict: str = _string()
    retry_after_s: float | None = attrs.field(
        default=None, validator=optional(instance_of((int, float)))
    )


@message("copy_write")
class CopyWrite:
    """Writes a program's records to a copy, starting at a sequence number.

    records are opaque byte strings; sequence is the number of the first one, starting at 0.
    """

    program: str = _string()
    organisation: str = _string()
    epoch: int = _integer()
    handover: int = _integer()
    sequence: int = _integer()
    records: list = _list(bytes)
    checksum: str = _string("")
    members: list = _list(str)


@message("copy_ack")
class CopyAck:
    """Reply of a copy to a write; sequence is the number of records it now stores."""

    accepted: bool = _flag()
    epoch: int = _integer()
    handover: int = _integer()
    sequence: int = _integer()
    reason: str = _string("")


@message("copy_read")
class CopyRead:
    """Reads a program's copy; with promise, it also raises the copy's promised term."""

    program: str = _string()
    epoch: int = _integer()
    handover: int = _integer()
    promise: bool = _flag()


@message("copy_state")
class CopyState:
    """Content of a copy; members is its copy set, with the owner first."""

    found: bool = _flag()
    epoch: int = _integer(0)
    handover: int = _integer(0)
    organisation: str = _string("")
    members: list = _list(str)
    records: list = _list(bytes)
    checksum: str = _string("")
    promised_epoch: int = _integer(0)
    promised_handover: int = _integer(0)
    ended: bool = _flag(False)


@message("copy_release")
class CopyRelease:
    """Drops the copy of a program that has ended."""

    program: str = _string()
    epoch: int = _integer()
    handover: int = _integer()


@message("hand_over")
class HandOver:
    """Transfers a program to another entry during a planned shutdown."""

    program: str = _string()
    organisation: str = _string()
    epoch: int = _integer()
    handover: int = _integer()
    records: list = _list(bytes)
    checksum: str = _string("")
    members: list = _list(str)


@message("release_program")
class ReleaseProgram:
    """Frees the resources that an endpoint keeps for a program that has ended."""

    program: str = _string()
    epoch: int = _integer()
    handover: int = _integer()


@message("claim_request")
class ClaimRequest:
    """Asks the relay to claim an idempotency key for one attempt."""

    claim_id: str = _string()
    organisation: str = _string()
    key: str = _string()
    body_digest: str = _string()
    attempt_id: str = _string()
    endpoint: str = _string()
    incarnation: int = _integer()
    attempt_number: int = _integer(1)
    # Unix time in seconds at which the caller created the key. 0 if unknown; the relay then does
    # not check the key's age.
    key_created: float = _number(0.0)
    # How long the requester will still wait; 0 if its version does not send the field.
    deadline_ms: int = _integer(0)


@message("outcome_report")
class OutcomeReport:
    """Reports the outcome of a claimed attempt for the log."""

    claim_id: str = _string()
    organisation: str = _string()
    key: str = _string()
    attempt_id: str = _string()
    verdict: str = _string()
    status: int = _integer()
    headers: dict = _map()
    body: bytes = _blob(b"")


@message("key_query")
class KeyQuery:
    """Queries the state of an idempotency key."""

    organisation: str = _string()
    key: str = _string()


@message("claim_decision")
class ClaimDecision:
    """State of a key: granted, held, done or unknown."""

    state: str = _string()
    claim_offset: int = _integer(-1)
    claim_id: str = _string("")
    attempt_id: str = _string("")
    endpoint: str = _string("")
    incarnation: int = _integer(0)
    attempt_number: int = _integer(0)
    body_digest: str = _string("")
    verdict: str = _string("not_run")
    status: int = _integer(0)
    headers: dict = _map()
    body: bytes = _blob(b"")


@message("load_query")
class LoadQuery:
    """Queries the current load of a sidecar's endpoint."""


@message("load_report")
class LoadReport:
    """Load of one endpoint."""

    running: int = _integer()
    waiting: int = _integer()
    limit: int = _integer()
    tokens_per_s: float = _number(0.0)
    state: str = _string("live")
    waiting_urgent: int = _integer(0)


@message("order")
class Order:
    """Orders an endpoint to load or unload a model, or to change its role.

    action is load, unload or role. For role, model contains the new role.
    """

    action: str = _string()
    model: str = _string()
    fencing: int = _integer()


@message("program_query")
class ProgramQuery:
    """Asks an entry which of these programs are still active."""

    programs: list = _list(str)


@message("program_states")
class ProgramStates:
    """State of each queried program, in the same order: active, ended or unknown."""

    states: list = _list(str)


@message("configuration_request")
class ConfigurationRequest:
    """Requests the configuration that is in force at a peer."""


@message("configuration_reply")
class ConfigurationReply:
    """The configuration in force; document is UTF-8 JSON."""

    version: int = _integer()
    digest: str = _string()
    document: bytes = _blob(b"")
