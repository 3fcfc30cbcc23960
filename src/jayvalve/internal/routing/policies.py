"""Routing policies; each chooses one of the candidates that passed the filters."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.registry import Registry
from jayvalve.internal.routing.cache_view import CacheView, Prefix
from jayvalve.internal.routing.views import Capability, EndpointView

__all__ = [
    "Distances",
    "JayvalvePolicy",
    "LeastLoadedPolicy",
    "ProgramHashPolicy",
    "RoundRobinPolicy",
    "RoutingCall",
    "RoutingPolicy",
    "routing_policies",
]

# A cost is nearly equal to the least cost if it exceeds it by at most the larger of these bounds.
# The first bound also applies to rebuild times.
NEAR_EQUAL_S = 0.02
NEAR_EQUAL_RATIO = 0.1
# A rebuild also delays the other calls of the batch and evicts other prefixes, so it costs
# more than the time that the call itself waits.
REBUILD_WEIGHT = 3.0
DEFAULT_DISTANCE_S = 0.002


@attrs.frozen
class RoutingCall:
    """Properties of a call that routing policies use.

    Attributes:
        call_id: Identifies the call in the load view.
        program: The program that issues the call.
        need: The capability that an endpoint must cover.
        prefix: The prompt prefix, which may be cached.
        urgent: Whether the call has the urgent rank.
        excluded: Endpoints that already failed or refused this call.

    """

    call_id: object
    program: str
    need: Capability = Capability()
    prefix: Prefix = Prefix((), ())
    urgent: bool = False
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Distances:
    """One-way network delays from the entry's data centre, in seconds."""

    data_centre: str = ""
    by_data_centre: Mapping[str, float] = attrs.field(factory=dict)

    def to(self, data_centre: str) -> float:
        """Return the one-way network delay to a data centre, in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        return self.by_data_centre.get(data_centre, DEFAULT_DISTANCE_S)


class RoutingPolicy(Protocol):
    """Chooses an endpoint; constructed as ``Policy(cache, distances, rng)``."""

    def choose(
        self, call: RoutingCall, candidates: Sequence[EndpointView], now: float
    ) -> EndpointView:
        """Return one of the candidates; there is always at least one."""


routing_policies: Registry[type] = Registry("routing policy")


class _Policy:
    def __init__(self, cache: CacheView, distances: Distances, rng: random.Random) -> None:
        self._cache = cache
        self._distances = distances
        self._rng = rng


@routing_policies.register("round_robin")
class RoundRobinPolicy(_Policy):
    """Chooses the candidates in turn."""

    def __init__(self, cache: CacheView, distances: Distances, rng: random.Random) -> None:
        super().__init__(cache, distances, rng)
        # Starts at a random position, so that entries do not choose the same endpoint at the
        # same time.
        self._next = rng.randrange(1 << 16)

    def choose(
        self, call: RoutingCall, candidates: Sequence[EndpointView], now: float
    ) -> EndpointView:
        """Return the next candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@routing_policies.register("least_loaded")
class LeastLoadedPolicy(_Policy):
    """Chooses the candidate with the fewest outstanding calls per slot; breaks ties at random."""

    def choose(
        self, call: RoutingCall, candidates: Sequence[EndpointView], now: float
    ) -> EndpointView:
        """Return the least occupied candidate."""
        return min(candidates, key=lambda view: (view.load.occupancy, self._rng.random()))


@routing_policies.register("program_hash")
class ProgramHashPolicy(_Policy):
    """Sends all calls of a program to the same endpoint while it is available."""

    def choose(
        self, call: RoutingCall, candidates: Sequence[EndpointView], now: float
    ) -> EndpointView:
        """Return the first candidate in the program's rendezvous order."""
        by_name = {view.name: view for view in candidates}
        return by_name[rendezvous_order(call.program, by_name)[0]]


@routing_policies.register("jayvalve")
class JayvalvePolicy(_Policy):
    """Chooses among the candidates with nearly the least cost.

    The cost is the sum of round-trip delay, expected queue delay and weighted rebuild time.
    Entries with the same stale load report would all choose the same cheapest candidate.
    Therefore two of the candidates with nearly equal costs are drawn at random, and the less
    occupied one is chosen.
    """

    def rebuild_s(self, call: RoutingCall, view: EndpointView, now: float) -> float:
        """Return the expected time to compute the uncached part of the prefix, in seconds."""
        cached = self._cache.cached_tokens(view.name, call.prefix, now)
        return (call.prefix.total_tokens - cached) / view.rebuild_tokens_per_s

    def choose(
        self, call: RoutingCall, candidates: Sequence[EndpointView], now: float
    ) -> EndpointView:
        """Return the less occupied of two random candidates with nearly equal costs."""
        costs = []
        for view in candidates:
            rebuild_s = self.rebuild_s(call, view, now)
            # The wait is the round trip plus the expected queue delay.
            wait_s = 2.0 * self._distances.to(view.data_centre)
            wait_s += view.load.queue_delay_s(call.urgent)
            costs.append((wait_s + REBUILD_WEIGHT * rebuild_s, rebuild_s, view))
        least_cost, cheapest_rebuild_s, _ = min(costs, key=lambda cost: cost[:2])
        cost_bound = least_cost + max(NEAR_EQUAL_S, NEAR_EQUAL_RATIO * least_cost)
        # An endpoint without the prefix is not treated as equal to one that has it.
        rebuild_bound = cheapest_rebuild_s + NEAR_EQUAL_S
        near = [v for cost, rebuild, v in costs if cost <= cost_bound and rebuild <= rebuild_bound]
        if len(near) > 2:
            near = self._rng.sample(near, 2)
        return min(near, key=lambda view: view.load.occupancy)
