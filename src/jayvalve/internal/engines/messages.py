"""Requests to an endpoint and its answers."""

from collections.abc import Collection, Mapping, Sequence

import attrs

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.validation import check_range, check_type

__all__ = [
    "CacheEvent",
    "CachePage",
    "EngineHead",
    "EngineLoad",
    "EngineRequest",
    "Headers",
    "end_to_end_headers",
]

# One value per name, as in messages between processes; repeated headers are joined with commas.
Headers = Mapping[str, str]

# Engines serve lower numbers first. The gap leaves room for intermediate ranks.
RANK_PRIORITIES = {"urgent": 0, "ordinary": 10}
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
MAX_TIMEOUT_S = 86_400.0

# Headers that apply to a single connection (RFC 9110 section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: Headers) -> dict[str, str]:
    """Return the headers without the hop-by-hop ones and those that Connection names."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers.items():
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return {name: value for name, value in headers.items() if name.lower() not in dropped}


def _check_choice(value: object, name: str, allowed: Collection[str]) -> None:
    if value not in allowed:
        raise InvalidRequestError(f"{name}={value!r} must be one of {', '.join(sorted(allowed))}")


@attrs.frozen
class EngineRequest:
    """One attempt at an endpoint; an invalid field raises InvalidRequestError.

    Attributes:
        attempt_id: Unique name of the attempt, used to cancel it.
        program: Program that the engine keeps memory for; empty if there is none.
        rank: urgent or ordinary.
        method: HTTP method.
        path: Path and query, starting with a slash.
        headers: Request headers; hop-by-hop headers are dropped.
        body: Request body.
        stream: Whether the caller asked for a streamed answer.
        timeout_s: Timeout for the whole transfer, up to the end of the answer, in seconds.

    """

    attempt_id: str
    program: str
    rank: str
    method: str
    path: str
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b""
    stream: bool = False
    timeout_s: float = 60.0

    def __attrs_post_init__(self) -> None:
        _check_choice(self.rank, "rank", RANK_PRIORITIES)
        _check_choice(self.method, "method", METHODS)
        if not check_type(str, self.path, "path").startswith("/"):
            raise InvalidRequestError(f"path={self.path!r} must start with a slash")
        check_range(self.timeout_s, "timeout_s", 0.001, MAX_TIMEOUT_S)

    @property
    def priority(self) -> int:
        """Priority in the engine's queue; lower numbers are served first."""
        return RANK_PRIORITIES[self.rank]


@attrs.frozen
class EngineHead:
    """Status and end-to-end headers of an answer."""

    status: int
    headers: Headers


@attrs.frozen
class EngineLoad:
    """Load that an endpoint reports; it may lag behind the actual load.

    Fields that the endpoint does not report are zero or empty.
    """

    running: int
    waiting: int = 0
    max_running: int = 0
    tokens_per_s: float = 0.0
    cache_tokens: int = 0
    models: Sequence[str] = ()
    role: str = ""


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache; kind is stored or removed."""

    sequence: int
    kind: str
    program: str
    blocks: Sequence[int]


@attrs.frozen
class CachePage:
    """Cache events, the next sequence number to request, and whether numbers are missing."""

    events: Sequence[CacheEvent]
    next_sequence: int
    has_gap: bool
