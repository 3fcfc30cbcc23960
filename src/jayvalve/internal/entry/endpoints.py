"""Directory of the endpoints of the inventory and their present state."""

import random
from collections.abc import Iterable

import attrs

from jayvalve.errors import ModelUnknownError, NoEndpointError, ServiceUnknownError
from jayvalve.internal.configuration import Document, Endpoint
from jayvalve.internal.entry.load_probe import STALE_AFTER_S, Candidate, LoadProbe
from jayvalve.internal.limits import OutlierDetector
from jayvalve.internal.membership import Member, MembershipView, MemberState
from jayvalve.internal.routing import (
    CacheView,
    Capability,
    Distances,
    EndpointState,
    EndpointView,
    Router,
    RoutingCall,
)
from jayvalve.internal.timing import Clock

__all__ = ["EndpointDirectory", "Target"]


@attrs.frozen
class Target:
    """The endpoint chosen for one attempt and the sidecar process in front of it."""

    endpoint: Endpoint
    view: EndpointView
    sidecar: Member


def _capabilities(endpoint: Endpoint) -> tuple[Capability, ...]:
    found = [Capability(service=service) for service in endpoint.services]
    for model in endpoint.models:
        found.append(Capability(model=model.name))
        found += [Capability(model=model.name, adapter=name) for name in model.adapters]
        found += [Capability(model=model.name, version=name) for name in model.versions]
    return tuple(found)


class EndpointDirectory:
    """Chooses endpoints by inventory, membership, load reports and outlier detection."""

    def __init__(
        self,
        membership: MembershipView,
        outliers: OutlierDetector,
        policy: str,
        data_centre: str,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._outliers = outliers
        self._clock = clock
        self._cache = CacheView()
        self._router = Router(policy, self._cache, Distances(data_centre), rng or random.Random())
        self._endpoints: dict[str, Endpoint] = {}
        self._views: dict[str, EndpointView] = {}
        self._has_inventory = False
        self._probe: LoadProbe | None = None

    @property
    def cache(self) -> CacheView:
        """The view of which endpoints cache which prefixes."""
        return self._cache

    @property
    def endpoints(self) -> list[Endpoint]:
        """The endpoints of the inventory in force."""
        return list(self._endpoints.values())

    def models(self) -> list[str]:
        """Return the names of all models in the inventory."""
        return sorted({model.name for item in self.endpoints for model in item.models})

    def set_document(self, document: Document) -> None:
        """Apply a new configuration; endpoints that remain keep their load, with the new limit."""
        inventory = {item.name: item for item in document.inventory.endpoints}
        for name in self._views.keys() - inventory.keys():
            del self._views[name]
            self._cache.forget_endpoint(name)
        for name, item in inventory.items():
            previous = self._views.get(name)
            self._views[name] = EndpointView(name, item.data_centre, _capabilities(item))
            if previous is not None:
                self._views[name].load = previous.load
            self._views[name].load.limit = item.limits.max_running
        self._endpoints = inventory
        self._has_inventory = True
        self._outliers.set_endpoints(inventory)

    def demand(self) -> dict[str, float]:
        """Return the demand for each model, as a number of fully used endpoints.

        The load of an endpoint is divided equally among its loaded models, since load reports
        do not distinguish models.
        """
        demand: dict[str, float] = dict.fromkeys(self.models(), 0.0)
        for view in self._views.values():
            loaded = {item.model for item in view.capabilities if item.model}
            for model in loaded:
                demand[model] = demand.get(model, 0.0) + view.load.occupancy / len(loaded)
        return demand

    def live_endpoints(self) -> list[str]:
        """Return the names of the endpoints that may receive work."""
        return [view.name for view in self.views() if view.state is EndpointState.LIVE]

    def present_sidecar(self, endpoint: str) -> Member | None:
        """Return the sidecar of an endpoint, even if it is suspect or draining.

        Return None if it is gone or not known, or if the inventory does not list the endpoint.
        """
        sidecar = self._sidecar(endpoint) if endpoint in self._endpoints else None
        return sidecar if sidecar is not None and not sidecar.state.is_gone else None

    def set_model(self, endpoint: str, model: str, loaded: bool) -> None:
        """Record that an endpoint has loaded a model, or is about to unload it."""
        view = self._views.get(endpoint)
        if view is None:
            return
        others = tuple(item for item in view.capabilities if item.model != model)
        view.capabilities = (*others, Capability(model=model)) if loaded else others

    def service(self, name: str) -> Endpoint:
        """Return any endpoint that provides the service.

        Raises:
            ServiceUnknownError: the inventory does not list the service.
            NoEndpointError: this entry has no inventory yet.
        """
        self._require_inventory()
        for item in self.endpoints:
            if name in item.services:
                return item
        raise ServiceUnknownError(f"service {name!r} is not in the inventory")

    def check_model(self, name: str) -> None:
        """Check that the inventory lists the model.

        Raises:
            ModelUnknownError: the inventory does not list the model.
            NoEndpointError: this entry has no inventory yet.
        """
        self._require_inventory()
        if name not in self.models():
            raise ModelUnknownError(f"model {name!r} is not in the inventory")

    def _require_inventory(self) -> None:
        # Other entries forward calls to an entry that has just started. Without an inventory it
        # would report models as unknown, an error that callers take as final.
        if not self._has_inventory:
            raise NoEndpointError("this entry has just started and has no inventory yet")

    def sidecars(self, names: Iterable[str]) -> list[Member]:
        """Return the known sidecars of these endpoints."""
        found = [self._sidecar(name) for name in names if name in self._endpoints]
        return [sidecar for sidecar in found if sidecar is not None]

    def sidecar(self, name: str, incarnation: int) -> Member | None:
        """Return the sidecar of an endpoint if it still has this incarnation, else None."""
        if name not in self._endpoints:
            return None
        member = self._sidecar(name)
        return member if member is not None and member.incarnation == incarnation else None

    def views(self) -> list[EndpointView]:
        """Return all endpoints with their state updated."""
        now = self._clock.now()
        for name, view in self._views.items():
            view.state = self._state(name, now)
        return list(self._views.values())

    def choose(self, call: RoutingCall) -> Target:
        """Choose an endpoint for an attempt of a call and record the dispatch.

        Raises:
            NoEndpointError: no live endpoint covers the need, or the sidecar is gone.
        """
        now = self._clock.now()
        views = self.views()
        view = self._router.route(call, views, now)
        if self._probe is not None and view.load.age_s(now) > STALE_AFTER_S:
            self._probe.start_queries(self._candidates(call, views, now))
        sidecar = self._sidecar(view.name)
        if sidecar is None:
            raise NoEndpointError(f"the sidecar of {view.name} is gone")
        self._outliers.record_dispatch(view.name, self._clock.now())
        return Target(self._endpoints[view.name], view, sidecar)

    def use_probe(self, probe: LoadProbe) -> None:
        """Query endpoints with old load figures through this probe."""
        self._probe = probe

    def _candidates(
        self, call: RoutingCall, views: list[EndpointView], now: float
    ) -> list[Candidate]:
        found = []
        for view in self._router.candidates(call, views):
            sidecar = self._sidecar(view.name)
            if sidecar is not None:
                found.append(Candidate(view.name, sidecar, view.load.age_s(now)))
        return found

    def completed(self, call_id: object, target: Target, service_s: float) -> None:
        """Record the success of an attempt that took service_s seconds."""
        self._router.completed(call_id, target.view, service_s)
        self._outliers.record_success(target.view.name, service_s, self._clock.now())

    def failed(self, call_id: object, target: Target, at_endpoint: bool) -> None:
        """Record a failed attempt.

        at_endpoint is true if the endpoint failed and false if the attempt was refused.
        """
        self._router.completed(call_id, target.view)
        if at_endpoint:
            self._outliers.record_failure(target.view.name, self._clock.now())

    def observe_load(self, name: str, load: dict[str, object]) -> None:
        """Apply a load report from an answer, a heartbeat or the reply to a load query.

        A malformed report and a report of an unknown endpoint are ignored.
        """
        view = self._views.get(name)
        running, waiting, limit = (load.get(key) for key in ("running", "waiting", "limit"))
        if view is None or not all(type(item) is int for item in (running, waiting, limit)):
            return
        urgent = load.get("waiting_urgent")
        view.load.observe_report(
            running,
            waiting,
            limit,
            self._clock.now(),
            urgent if type(urgent) is int else 0,
        )

    def endpoint_of(self, member: Member) -> str | None:
        """Return the name of the endpoint that a sidecar serves, or None."""
        for item in self.endpoints:
            if item.address == member.address:
                return item.name
        return None

    def _sidecar(self, name: str) -> Member | None:
        return self._membership.by_address(self._endpoints[name].address)

    def _state(self, name: str, now: float) -> EndpointState:
        sidecar = self._sidecar(name)
        if sidecar is None or sidecar.state.is_gone:
            return EndpointState.DEAD
        if sidecar.state is MemberState.DRAINING:
            return EndpointState.DRAINING
        if sidecar.state is MemberState.SUSPECT:
            return EndpointState.EJECTED
        if not self._outliers.usable(name, now):
            return EndpointState.EJECTED
        return EndpointState.LIVE
