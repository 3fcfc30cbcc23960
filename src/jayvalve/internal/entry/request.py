"""Parsing of a caller's request into a typed call."""

import json
import time
import uuid
from collections.abc import Mapping
from typing import Any

import attrs

from jayvalve.errors import InvalidHeaderError, InvalidRequestError
from jayvalve.internal.validation import check_identifier, check_range

__all__ = [
    "HEADER_NAMES",
    "MODEL_PATH",
    "SERVICE_PREFIX",
    "BudgetLimits",
    "CallRequest",
    "parse_budget",
]

MODEL_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/v1/services/"

RANKS = ("urgent", "ordinary")
HISTORY_MODES = ("append", "full")
DEFAULT_DEADLINE_S = 300.0
MAX_DEADLINE_S = 86_400.0
MAX_TURN = 1_000_000
# Largest integer that msgpack and JSON readers in other languages represent exactly.
MAX_EXACT_INTEGER = 2**53 - 1
MAX_KEY_LENGTH = 256

# Headers of a caller's request that are passed on to the owner of the program.
HEADER_NAMES = (
    "Jayvalve-Program",
    "Jayvalve-Parent",
    "Jayvalve-Turn",
    "Jayvalve-Request",
    "Jayvalve-Rank",
    "Jayvalve-Budget",
    "Jayvalve-Deadline",
    "Jayvalve-History",
    "Jayvalve-Repeatable",
    "Jayvalve-Key-Created",
    "Idempotency-Key",
    "Content-Type",
    "Accept",
)


@attrs.frozen
class BudgetLimits:
    """Limits that a caller requests for a program; None if the caller did not set the limit."""

    tokens: int | None = None
    calls: int | None = None
    seconds: float | None = None


def parse_budget(text: str) -> BudgetLimits:
    """Parse a budget such as ``tokens=1000,calls=20,seconds=60``; each part is optional.

    Raises:
        InvalidHeaderError: a part is malformed, unknown, repeated or out of range.
    """
    limits: dict[str, Any] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, separator, value = part.partition("=")
        if not separator or name not in ("tokens", "calls", "seconds") or name in limits:
            raise InvalidHeaderError(f"Jayvalve-Budget: {part!r} is not valid")
        number = _parse_number(value, f"Jayvalve-Budget {name}", 0, MAX_EXACT_INTEGER)
        limits[name] = number if name == "seconds" else int(number)
    return BudgetLimits(**limits)


@attrs.frozen
class CallRequest:
    """One call of a program, parsed from a caller's request.

    Attributes:
        program: Program identifier; generated in full or in part if the caller did not give it.
        named: Whether the caller named the program or its parent.
        turn: Turn number, counted from 1, or None for the next turn.
        model: Model of a chat completion, or None for a service call.
        service: Name of the called service, or None for a chat completion.
        path: Path of the request that is sent to the endpoint.
        deadline_s: Seconds from arrival until the caller stops waiting.
        key_created: Unix time at which the caller created its idempotency key.
    """

    organisation: str
    program: str
    named: bool
    turn: int | None
    request_id: str
    rank: str
    budget: BudgetLimits
    deadline_s: float
    history_mode: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    model: str | None
    service: str | None
    stream: bool
    max_tokens: int
    messages: list[Any]
    key: str | None
    key_created: float
    declared_repeatable: bool | None = None

    @property
    def capability(self) -> str:
        """The model or service name that an endpoint must offer."""
        return self.model if self.model is not None else self.service or ""

    @classmethod
    def from_parts(
        cls, method: str, path: str, headers: Mapping[str, str], body: bytes, organisation: str
    ) -> "CallRequest":
        """Validate and parse a request.

        Raises:
            InvalidHeaderError: a Jayvalve header or the key is not valid.
            InvalidRequestError: the body or path is not valid.
        """
        program, named = _parse_program(headers, organisation)
        values: dict[str, Any] = {
            "organisation": organisation,
            "program": program,
            "named": named,
            "turn": _parse_turn(headers),
            "request_id": _parse_optional_identifier(headers, "Jayvalve-Request")
            or uuid.uuid4().hex,
            "rank": _parse_choice(headers, "Jayvalve-Rank", RANKS, "ordinary"),
            "budget": parse_budget(headers.get("Jayvalve-Budget", "")),
            "deadline_s": _parse_deadline(headers),
            "history_mode": _parse_choice(headers, "Jayvalve-History", HISTORY_MODES, "full"),
            "method": method,
            "headers": _endpoint_headers(headers),
            "body": body,
            "key": _parse_key(headers),
            "key_created": _parse_key_created(headers),
            "declared_repeatable": _parse_repeatable(headers),
        }
        target = _parse_model_target(body) if path == MODEL_PATH else _parse_service_target(path)
        return cls(**values, **target)


def _parse_number(text: str, name: str, minimum: float, maximum: float) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidHeaderError(f"{name}: {text!r:.40} is not a number") from error
    try:
        return check_range(value, name, minimum, maximum)
    except InvalidRequestError as error:
        raise InvalidHeaderError(error.message) from error


def _parse_optional_identifier(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        return check_identifier(value, name)
    except InvalidRequestError as error:
        raise InvalidHeaderError(error.message) from error


def _parse_program(headers: Mapping[str, str], organisation: str) -> tuple[str, bool]:
    """Return the name of the program, and whether the caller named it or its parent.

    With Jayvalve-Parent, the program is a sub-agent of that program. Its own name may be given
    with or without the name of the parent as a prefix.
    """
    given_name = _parse_optional_identifier(headers, "Jayvalve-Program")
    parent = _parse_optional_identifier(headers, "Jayvalve-Parent")
    if parent is not None:
        own_name = (
            given_name.removeprefix(f"{parent}.") if given_name else f"agent-{uuid.uuid4().hex}"
        )
        return f"{parent}.{own_name}", True
    if given_name is not None:
        return given_name, True
    key = _parse_key(headers)
    if key is not None:
        # Repeats through different entries appear as one program in logs and timelines.
        return "key-" + uuid.uuid5(uuid.NAMESPACE_OID, f"{organisation}\n{key}").hex, False
    return "single-" + uuid.uuid4().hex, False


def _parse_turn(headers: Mapping[str, str]) -> int | None:
    text = headers.get("Jayvalve-Turn")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise InvalidHeaderError(f"Jayvalve-Turn: {text!r:.40} is not a whole number")
    return int(_parse_number(text, "Jayvalve-Turn", 1, MAX_TURN))


def _parse_choice(
    headers: Mapping[str, str], name: str, allowed: tuple[str, ...], default: str
) -> str:
    value = headers.get(name, default)
    if value not in allowed:
        raise InvalidHeaderError(f"{name}: {value!r:.40} is not one of {', '.join(allowed)}")
    return value


def _parse_deadline(headers: Mapping[str, str]) -> float:
    text = headers.get("Jayvalve-Deadline")
    if text is None:
        return DEFAULT_DEADLINE_S
    return _parse_number(text, "Jayvalve-Deadline", 0.001, MAX_DEADLINE_S)


def _parse_key(headers: Mapping[str, str]) -> str | None:
    key = headers.get("Idempotency-Key")
    if key is None:
        return None
    key = key.strip().strip('"')
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        raise InvalidHeaderError(
            f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} printable characters"
        )
    return key


def _parse_key_created(headers: Mapping[str, str]) -> float:
    text = headers.get("Jayvalve-Key-Created")
    if text is None:
        return time.time()
    return _parse_number(text, "Jayvalve-Key-Created", 0, MAX_EXACT_INTEGER)


def _parse_repeatable(headers: Mapping[str, str]) -> bool | None:
    text = headers.get("Jayvalve-Repeatable")
    if text is None:
        return None
    return _parse_choice(headers, "Jayvalve-Repeatable", ("yes", "no"), "yes") == "yes"


def _endpoint_headers(headers: Mapping[str, str]) -> dict[str, str]:
    names = ("Content-Type", "Accept", "Idempotency-Key")
    return {name: headers[name] for name in names if name in headers}


def _parse_model_target(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(f"body is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidRequestError("body must be a JSON object")
    model, messages = document.get("model"), document.get("messages")
    if not isinstance(model, str) or not model:
        raise InvalidRequestError("body field 'model' must be a non-empty string")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError("body field 'messages' must be a non-empty array")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidRequestError(
                f"body field 'messages[{index}]' must be an object with a string 'role'"
            )
    return {
        "path": MODEL_PATH,
        "model": model,
        "service": None,
        "stream": document.get("stream") is True,
        "max_tokens": _parse_max_tokens(document),
        "messages": messages,
    }


DEFAULT_MAX_TOKENS = 1024


def _parse_max_tokens(document: dict[str, Any]) -> int:
    name = "max_completion_tokens" if "max_completion_tokens" in document else "max_tokens"
    value = document.get(name)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= MAX_EXACT_INTEGER:
        raise InvalidRequestError(
            f"body field {name!r} must be a whole number from 1 to {MAX_EXACT_INTEGER}"
        )
    return value


def _parse_service_target(path: str) -> dict[str, Any]:
    if not path.startswith(SERVICE_PREFIX):
        raise InvalidRequestError(
            f"path {path!r:.80} is neither the path of chat completions nor that of a service"
        )
    service, _, rest = path[len(SERVICE_PREFIX) :].partition("/")
    check_identifier(service, "service")
    return {
        "path": "/" + rest,
        "model": None,
        "service": service,
        "stream": False,
        "max_tokens": 0,
        "messages": [],
    }
