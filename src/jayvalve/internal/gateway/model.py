"""Data model of the gateway: routes, services, engines and requests."""

import enum
import random

import attrs

from jayvalve.internal.organisations import KeyTable

__all__ = [
    "CallerLimits",
    "EngineKey",
    "EngineRecord",
    "EngineState",
    "ModelServing",
    "RequestInfo",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
]


class RouteKind(enum.StrEnum):
    """Kind of a route; it determines which requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class EngineState(enum.StrEnum):
    """Whether an engine accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class EngineKey:
    """Identifies an incarnation of an engine: after a restart, born_ms differs."""

    id: str
    born_ms: int

    @property
    def label(self) -> str:
        """Id and start time as one text."""
        return f"{self.id}/{self.born_ms}"


@attrs.frozen
class EngineRecord:
    """An engine's entry, as published by the engine.

    Attributes:
        address: IP address and port.
        slots: Number of requests that the engine processes at the same time.
        warm_up_s: How long the engine is slow after its start, in seconds.
        version: Version of the engine's software. What two versions generate does not fit together.

    """

    key: EngineKey
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    state: EngineState
    warm_up_s: float = 0.0
    version: str = ""


@attrs.frozen
class ModelServing:
    """Properties of the model engines of a service.

    Attributes:
        slots: Number of requests that an engine processes at the same time.
        chunk_tokens: Number of tokens to count for each event of a stream.
        kv_cache_tokens: Size of an engine's KV cache in tokens.

    """

    slots: int
    chunk_tokens: int
    kv_cache_tokens: int


@attrs.frozen
class ServiceSpec:
    """A service to which routes send requests.

    Attributes:
        connection_limit: Maximum number of connections that one engine accepts from all its
            clients together.
        model: Properties of the model engines, or None for other services.
        health_path: Path at which each engine answers with its id, or None.

    """

    name: str
    connection_limit: int
    model: ModelServing | None = None
    health_path: str | None = None


@attrs.frozen
class Route:
    """One route of the configuration.

    Attributes:
        services: Names of the services and their weights.
        max_attempts: Maximum number of engines that may run one attempt of a caller. Engines that
            refuse it are not counted.
        timeout_s: Maximum time until the answer is complete, in seconds.
        target_s: Target time for an answer, in seconds. A later answer is worth less to the caller.
        rank: Urgency; 0 is the most urgent.
        retained: Whether the gateway stores the turns and builds prompts from them.
        retention_s: How long a turn is stored, in seconds.
        resumable: Whether a broken stream may be resumed at another engine.
        public: Whether requests need no key of an organisation.

    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    max_attempts: int
    timeout_s: float
    target_s: float
    rank: int = 0
    retained: bool = False
    retention_s: float = 60.0
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT

    def leads_to(self, service: str) -> bool:
        """Return whether requests may go to a service."""
        return any(name == service and weight > 0.0 for name, weight in self.services)

    def choose_service(self, rng: random.Random) -> str:
        """Return the name of a service, drawn by the weights."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [max(0.0, weight) for _, weight in self.services]
        if not any(weights):
            return names[0]
        return rng.choices(names, weights)[0]


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_timeout_s: Time within which a head must be complete once it has begun to arrive, in
            seconds, or None for no limit but that of idle connections.

    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0
    header_timeout_s: float | None = None


@attrs.define
class RoutingTable:
    """One version of the configuration.

    Attributes:
        keys: Keys of the organisations, or None if the configuration has no organisations.

    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    keys: KeyTable | None = None
    _by_host: dict[str, list[Route]] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@attrs.frozen
class RequestInfo:
    """Information from the headers of a request.

    Attributes:
        attempt_id: Identifies one attempt of a caller.
        deadline_s: How long the caller waits, in seconds, or None.
        program: Id of the program that the request belongs to, or None.
        program_deadline_s: Time until the program should be finished, in seconds, or None.
        token_budget: Maximum number of tokens that all turns of the program may generate
            together, or None.
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Maximum number of tokens that the turn generates.
        prefix: Parts of the prompt, each with its id and its number of tokens.
        previous_turn: Attempt id of the turn that this one continues, or None.
        resumed_attempt: Id of the attempt that brought the first event of a stream which this one
            resumes, or None.

    """

    attempt_id: str
    deadline_s: float | None = None
    program: str | None = None
    program_deadline_s: float | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix: tuple[tuple[str, int], ...] = ()
    previous_turn: str | None = None
    resumed_attempt: str | None = None
