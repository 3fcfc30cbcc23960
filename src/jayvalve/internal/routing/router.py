"""Routing of calls: filters the endpoints, applies the policy and updates the views."""

import random
from collections.abc import Iterable

from jayvalve.errors import NoEndpointError
from jayvalve.internal.routing.cache_view import CacheView
from jayvalve.internal.routing.policies import Distances, RoutingCall, routing_policies
from jayvalve.internal.routing.views import EndpointState, EndpointView

__all__ = ["Router"]


class Router:
    """Chooses endpoints with a named policy.

    Args:
        policy: Name in ``routing_policies``.
        cache: The entry's cache view; the router records its dispatches there.
        distances: Delays from the entry's data centre.
        rng: Random number generator for the policy's choices.

    """

    def __init__(
        self, policy: str, cache: CacheView, distances: Distances, rng: random.Random
    ) -> None:
        self._policy = routing_policies.get(policy)(cache, distances, rng)
        self._cache = cache

    def candidates(
        self, call: RoutingCall, endpoints: Iterable[EndpointView]
    ) -> list[EndpointView]:
        """Return the live endpoints that cover the call's need and are not excluded by it."""
        return [
            view
            for view in endpoints
            if view.state is EndpointState.LIVE
            and view.name not in call.excluded
            and view.covers(call.need)
        ]

    def route(
        self, call: RoutingCall, endpoints: Iterable[EndpointView], now: float
    ) -> EndpointView:
        """Choose an endpoint and record the dispatch in its load view and in the cache view.

        Raises:
            NoEndpointError: no live endpoint covers the need, apart from excluded ones; verdict
                not_run.

        """
        candidates = self.candidates(call, endpoints)
        if not candidates:
            raise NoEndpointError(f"no live endpoint can serve {call.need!r}")
        chosen = self._policy.choose(call, candidates, now)
        chosen.load.record_dispatch(call.call_id, now, call.urgent)
        self._cache.note_dispatch(chosen.name, call.prefix, now)
        return chosen

    def completed(
        self, call_id: object, endpoint: EndpointView, service_s: float | None = None
    ) -> None:
        """Record the end of a dispatch; ``service_s`` is its time in the batch, if it ran."""
        endpoint.load.record_completion(call_id, service_s)
