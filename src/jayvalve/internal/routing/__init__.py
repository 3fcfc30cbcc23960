"""Choice of an endpoint for each call."""

from jayvalve.internal.routing.cache_view import CacheEvent, CacheEventKind, CacheView, Prefix
from jayvalve.internal.routing.policies import Distances, RoutingCall, routing_policies
from jayvalve.internal.routing.router import Router
from jayvalve.internal.routing.views import Capability, EndpointState, EndpointView, LoadView

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheView",
    "Capability",
    "Distances",
    "EndpointState",
    "EndpointView",
    "LoadView",
    "Prefix",
    "Router",
    "RoutingCall",
    "routing_policies",
]
