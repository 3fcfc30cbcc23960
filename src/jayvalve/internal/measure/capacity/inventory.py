"""Benches of endpoints, callers and configuration changes."""

import json
import random
from typing import Any

from jayvalve.internal.configuration import ConfigurationFold, Document
from jayvalve.internal.configuration.fold import Publish
from jayvalve.internal.entry.authentication import TokenTable, hash_token
from jayvalve.internal.entry.endpoints import EndpointDirectory
from jayvalve.internal.hashing import digest
from jayvalve.internal.limits import OutlierDetector
from jayvalve.internal.log import LogRecord
from jayvalve.internal.measure.capacity.bench import state_bench, usage
from jayvalve.internal.membership import MembershipView
from jayvalve.internal.routing import Capability, Prefix, RoutingCall
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire.messages import Heartbeat, Hello

__all__ = ["document_value", "filled_view"]

DATA_CENTRES = 7
MODELS = 17
ENDPOINTS = 660
ENTRIES = 350
ROUTING_DECISIONS = 20
TOKEN_CHECKS = 20
Costs = dict[str, tuple[float, str]]


def _address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}:7000"


def document_value(endpoints: int, version: int = 0) -> dict[str, Any]:
    """Return a configuration document with the given number of model endpoints.

    Consecutive versions differ in the limits of each endpoint.
    """
    return {
        "inventory": {
            "endpoints": [
                {
                    "name": f"engine-{number}",
                    "address": _address(number),
                    "data_centre": f"dc-{number % DATA_CENTRES}",
                    "role": "model",
                    "limits": {"max_running": 16 + version % 2},
                    "models": [{"name": f"model-{number % MODELS}"}],
                    "checks_fencing": True,
                }
                for number in range(endpoints)
            ]
        },
        "rules": {},
    }


def filled_view(endpoints: int, entries: int) -> MembershipView:
    """Return an entry's view of a deployment of the given size, with all members live."""
    view = MembershipView(Hello("entry-x", 1, "entry", "dc-0", "10.9.9.9:7000"))
    for number in range(endpoints + entries):
        role = "sidecar" if number < endpoints else "entry"
        hello = Hello(f"{role}-{number}", 1, role, f"dc-{number % DATA_CENTRES}", _address(number))
        view.observe_heartbeat(hello, Heartbeat(1), 0.0)
    return view


@state_bench("endpoints", (80, 165, 330, 660), (4, 8, 12, 16))
def measure_endpoints(size: int, seed: int) -> Costs:
    """Measure endpoints in the inventory of an entry.

    The members are the endpoints' sidecars and ENTRIES entries for every ENDPOINTS of them.
    """
    with usage() as members:
        view = filled_view(size, size * ENTRIES // ENDPOINTS)
    document = Document.from_value(document_value(size))
    with usage() as measured:
        directory = EndpointDirectory(
            view, OutlierDetector(), "jayvalve", "dc-0", Clock(), random.Random(seed)
        )
        directory.set_document(document)
    with usage() as choosing:
        for number in range(ROUTING_DECISIONS):
            need = Capability(model=f"model-{number % min(MODELS, size)}")
            directory.choose(
                RoutingCall(number, f"org/p{number}", need, Prefix((), ()), False, frozenset())
            )
    return {
        "entry_memory_per_endpoint": (measured.memory_bytes, "bytes"),
        "member_memory_per_endpoint": (members.memory_bytes, "bytes"),
        "route_cpu_per_endpoint": (choosing.cpu_s / ROUTING_DECISIONS, "s"),
    }


@state_bench("callers", (4000, 8000, 16_000, 31_000), (50, 100, 150, 200))
def measure_callers(size: int, seed: int) -> Costs:
    """Measure organisations with one token each, checking tokens spread evenly over them."""
    with usage() as measured:
        callers = [hash_token(f"org-{n}", f"token-{n}") for n in range(size)]
        table = TokenTable(callers)
    checked = [size * number // TOKEN_CHECKS for number in range(TOKEN_CHECKS)]
    with usage() as first_check:
        for number in checked:
            table.organisation(f"Bearer token-{number}")
    with usage() as repeated_check:
        for number in checked:
            table.organisation(f"Bearer token-{number}")
    return {
        "entry_memory_per_caller": (measured.memory_bytes, "bytes"),
        "first_token_check_cpu_per_caller": (first_check.cpu_s / TOKEN_CHECKS, "s"),
        "repeated_token_check_cpu_per_caller": (repeated_check.cpu_s / TOKEN_CHECKS, "s"),
    }


@state_bench("configuration", (5, 10, 20, 40), (1, 2, 3, 4))
def measure_configuration(size: int, seed: int) -> Costs:
    """Measure accepted configuration changes to a document of 660 endpoints."""
    fold = ConfigurationFold()
    directory = EndpointDirectory(
        filled_view(ENDPOINTS, ENTRIES), OutlierDetector(), "jayvalve", "dc-0", Clock()
    )
    records = []
    parent = (0, "")
    for number in range(size):
        text = json.dumps(document_value(ENDPOINTS, number), sort_keys=True).encode()
        publish = Publish(f"p{number}", number + 1, *parent, text, "operator")
        records.append(LogRecord(number, float(number), publish.pack()))
        parent = (number + 1, digest(text))
    with usage() as measured:
        for record in records:
            if not fold.apply(record).accepted:
                raise AssertionError("a configuration change was rejected")
            directory.set_document(Document.from_json(fold.current.document))
    return {
        "cpu_per_configuration_change": (measured.cpu_s, "s"),
        "memory_per_configuration_change": (measured.memory_bytes, "bytes"),
        "bytes_per_configuration_change": (sum(len(item.data) for item in records), "bytes"),
    }
