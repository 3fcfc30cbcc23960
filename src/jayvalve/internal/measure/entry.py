"""Views and routing decisions of an entry, in virtual time."""

import random
from collections.abc import Iterable
from typing import Any

from jayvalve.internal.measure.candidates import Candidate
from jayvalve.internal.measure.endpoint import Attempt, Endpoint
from jayvalve.internal.measure.retry import RetryTokens
from jayvalve.internal.measure.workloads import Deployment
from jayvalve.internal.pauses import PausePolicy
from jayvalve.internal.routing import (
    CacheEvent,
    CacheView,
    Capability,
    Distances,
    EndpointState,
    EndpointView,
    LoadView,
    Prefix,
    Router,
    RoutingCall,
)
from jayvalve.internal.scheduling import AttainedService, Rank

__all__ = ["Entry"]

MODEL = Capability(model="chat")
LOST_EVENTS_SHARE = 0.02
OUTPUT_SMOOTHING = 0.01


class Entry:
    """One entry instance; its views of the endpoints lag behind their real state."""

    def __init__(
        self,
        data_centre: str,
        deployment: Deployment,
        endpoints: Iterable[Endpoint],
        candidate: Candidate,
        seed: int,
    ) -> None:
        self.alive = True
        self.pauses = PausePolicy()
        self.attained = AttainedService()
        self.budget = RetryTokens(candidate.retry_budget)
        self.mean_output_tokens = deployment.output_tokens
        distances = dict.fromkeys(deployment.data_centres, deployment.distance_s)
        self.distances = Distances(data_centre, distances)
        self._rng = random.Random(f"{seed} {data_centre}")
        self._cache = CacheView()
        self._router = Router(candidate.routing, self._cache, self.distances, self._rng)
        self.views = {
            endpoint.name: EndpointView(
                endpoint.name,
                endpoint.data_centre,
                (MODEL,),
                load=LoadView(limit=endpoint.engine.settings.slots),
                rebuild_tokens_per_s=endpoint.engine.settings.prefill_tokens_per_s,
            )
            for endpoint in endpoints
        }

    def route(
        self, call: Any, attempt_id: int, now: float, pinned: str | None = None
    ) -> EndpointView:
        """Choose an endpoint; a pinned one that is live and not excluded is the only choice."""
        routing_call = RoutingCall(
            call_id=attempt_id,
            # Prefixes are cached per agent, so the agent's name serves as the key.
            program=call.agent,
            need=MODEL,
            prefix=Prefix.from_program(call.agent, call.prefix_tokens + call.new_tokens),
            urgent=call.rank is Rank.URGENT,
            excluded=call.excluded,
        )
        views = list(self.views.values())
        if pinned is not None and pinned not in call.excluded:
            pinned_view = self.views[pinned]
            if pinned_view.state is EndpointState.LIVE:
                views = [pinned_view]
        return self._router.route(routing_call, views, now)

    def record_attempt_end(
        self, attempt: Attempt, endpoint: Endpoint, service_s: float | None
    ) -> None:
        """Record the end of an attempt; ``service_s`` is None unless it succeeded."""
        view = self.views[endpoint.name]
        self._router.completed(attempt.queued.call_id, view, service_s)

    def record_service(self, program: str, tokens: float, output_tokens: int) -> None:
        """Add a call's service to its program and update the mean number of output tokens."""
        self.attained.add(program, tokens)
        self.mean_output_tokens += OUTPUT_SMOOTHING * (output_tokens - self.mean_output_tokens)

    def observe_load(self, endpoint: Endpoint, now: float) -> None:
        """Record the load reported with an answer or a refusal."""
        self._update_load(endpoint.name, endpoint.load(), now)

    def observe_report(
        self,
        endpoint: str,
        events: list[CacheEvent],
        load: tuple[int, int, int, int],
        measured_at_s: float,
        now: float,
    ) -> None:
        """Record a periodic report; for LOST_EVENTS_SHARE of reports the cache events are lost."""
        self._update_load(endpoint, load, measured_at_s)
        if self._rng.random() >= LOST_EVENTS_SHARE:
            self._cache.observe_events(endpoint, events, now)

    def _update_load(
        self, endpoint: str, load: tuple[int, int, int, int], measured_at_s: float
    ) -> None:
        running, waiting, limit, urgent = load
        view = self.views[endpoint].load
        view.observe_report(running, waiting, limit, measured_at_s, urgent)
