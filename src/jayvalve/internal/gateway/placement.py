"""Choice of an engine for a call, and the expected wait, used to refuse calls that would be late.

Both depend only on what the gateway knows at the time of the request. They are designed for the
days with the highest load, when bursts of one kind of program arrive while engines leave. The least
loaded engine that still has the prompt's prefix in its cache then finishes a turn first.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from jayvalve.internal.gateway.model import EngineKey

__all__ = [
    "Candidate",
    "Placement",
    "PlacementNeed",
    "PlacementSettings",
    "PrefixMemory",
    "choose_engine",
    "estimate_wait_s",
]


@attrs.frozen
class PlacementSettings:
    """Parameters of an engine's cost: its expected time to answer plus penalties, in seconds.

    Attributes:
        prefill_tokens_per_s: Speed at which engines process prompts, in tokens per second.
        batch_slowdown: Fraction by which a full batch lengthens the service time.
        default_service_s: Service time that is assumed while no engine has answered, in seconds.
        remote_s: Cost of an engine in another data centre: twice the network delay, plus the
            price of traffic between data centres expressed as time.
        memory_share: Fraction of an engine's memory that running requests may fill. Beyond it,
            the engine preempts running requests and later processes their prompts again.
        failure_s: Cost of a failed attempt that cannot be repeated: its program starts the turn
            again or fails.
        repeat_s: Cost of a failed attempt that is repeated at another engine.
        service_decay_s: Time constant with which a service time that differs from the median loses
            its weight, in seconds, so that an engine that was slow is tried again.
        jitter_s: Maximum random cost, so that gateways with equal views do not all choose the
            same engine.

    """

    prefill_tokens_per_s: float = 150_000.0
    batch_slowdown: float = 0.15
    default_service_s: float = 0.1
    remote_s: float = 0.003
    memory_share: float = 0.9
    failure_s: float = 3.0
    repeat_s: float = 0.5
    service_decay_s: float = 6.0
    jitter_s: float = 0.002


@attrs.frozen
class Candidate:
    """Properties of an engine that determine its cost.

    Attributes:
        load: Number of requests of all gateways at the engine.
        tokens: Tokens that these requests need in the engine's memory.
        memory_tokens: Memory of the engine in tokens, or None for a service without a model.
        service_s: Average service time in seconds, or None if unknown.
        in_backoff: Whether the engine could not be reached recently.
        failure_share: Expected share of requests that fail at the engine, from 0 to 1.
        age_s: Time since the engine's last successful answer to this gateway, in seconds.
        permit_wait_s: Expected wait until a request may be sent, if the engine has limited its
            rate, in seconds.

    """

    key: EngineKey
    slots: int
    load: int
    service_s: float | None
    remote: bool
    cached_tokens: int = 0
    in_backoff: bool = False
    failure_share: float = 0.0
    age_s: float = 0.0
    tokens: int = 0
    memory_tokens: int | None = None
    permit_wait_s: float = 0.0


@attrs.frozen
class PlacementNeed:
    """Requirements of a request.

    Attributes:
        output_tokens: Maximum number of tokens that it generates.
        repeatable: Whether a failed attempt may be repeated at another engine.

    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    repeatable: bool = False


@attrs.frozen
class Placement:
    """A chosen engine with its cost and its expected wait."""

    candidate: Candidate
    cost_s: float
    wait_s: float


def estimate_wait_s(candidate: Candidate, service_s: float) -> float:
    """Return the time that a new request is expected to wait in an engine's queue, in seconds.

    Args:
        candidate: The engine.
        service_s: Expected service time at the engine, in seconds.

    """
    ahead = candidate.load + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    return ahead / candidate.slots * service_s


def choose_engine(
    candidates: Sequence[Candidate],
    need: PlacementNeed,
    settings: PlacementSettings,
    rng: random.Random,
) -> Placement | None:
    """Return the engine with the lowest cost, or None if there are no candidates.

    The cost is mainly the time in which the engine is expected to answer. An engine in backoff is
    chosen only if all candidates are in backoff.
    """
    usable = [candidate for candidate in candidates if not candidate.in_backoff] or list(candidates)
    if not usable:
        return None
    service_times = sorted(
        candidate.service_s for candidate in usable if candidate.service_s is not None
    )
    typical_s = (
        service_times[len(service_times) // 2] if service_times else settings.default_service_s
    )
    best: Placement | None = None
    for candidate in usable:
        service_s = _service_s(candidate, typical_s, settings)
        wait_s = candidate.permit_wait_s + estimate_wait_s(candidate, service_s)
        cost_s = wait_s + service_s * (
            1 + settings.batch_slowdown * candidate.load / candidate.slots
        )
        uncached = max(0, need.prompt_tokens - candidate.cached_tokens)
        cost_s += uncached / settings.prefill_tokens_per_s
        cost_s += _memory_wait_s(candidate, need, service_s, settings)
        cost_s += settings.remote_s if candidate.remote else 0.0
        cost_s += candidate.failure_share * (
            settings.repeat_s if need.repeatable else settings.failure_s
        )
        cost_s += rng.uniform(0.0, settings.jitter_s)
        if best is None or cost_s < best.cost_s:
            best = Placement(candidate, cost_s, wait_s)
    return best


def _memory_wait_s(
    candidate: Candidate, need: PlacementNeed, service_s: float, settings: PlacementSettings
) -> float:
    """Return the expected time until enough memory of the engine is free, in seconds."""
    if candidate.memory_tokens is None:
        return 0.0
    capacity = settings.memory_share * candidate.memory_tokens
    needed = candidate.tokens + need.prompt_tokens + need.output_tokens
    if needed <= capacity:
        return 0.0
    return (needed - capacity) / capacity * candidate.slots * service_s


def _service_s(candidate: Candidate, typical_s: float, settings: PlacementSettings) -> float:
    """Return the expected service time of an engine, in seconds.

    It is the engine's own average, which approaches typical_s as the engine's last successful
    answer gets older, or typical_s if the engine has no average yet.
    """
    if candidate.service_s is None:
        return typical_s
    weight = math.exp(-candidate.age_s / settings.service_decay_s)
    return typical_s + (candidate.service_s - typical_s) * weight


class PrefixMemory:
    """Remembers which engines have processed which parts of prompts.

    Args:
        limit: Maximum number of parts; the least recently recorded are dropped.

    """

    def __init__(self, limit: int = 4096) -> None:
        self._limit = limit
        self._engines: OrderedDict[str, dict[EngineKey, None]] = OrderedDict()

    def record(self, prefix: Sequence[tuple[str, int]], key: EngineKey) -> None:
        """Record that an engine has processed a prompt."""
        for part, _ in prefix:
            engines = self._engines.pop(part, {})
            engines[key] = None
            self._engines[part] = engines
        while len(self._engines) > self._limit:
            self._engines.popitem(last=False)

    def cached_tokens(self, prefix: Sequence[tuple[str, int]], key: EngineKey) -> int:
        """Return how many leading tokens of a prompt the engine has processed before."""
        total = 0
        for part, tokens in prefix:
            if key not in self._engines.get(part, ()):
                break
            total += tokens
        return total
