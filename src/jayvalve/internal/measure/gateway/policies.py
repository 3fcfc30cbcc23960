"""Policies for placing, ordering and admitting turns, compared under the same loads."""

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.leases import HOLDER_LEASES
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.placement import Candidate, PlacementNeed, PlacementSettings
from jayvalve.internal.gateway.placement import choose_engine as choose_by_cost
from jayvalve.internal.gateway.priority import request_priority
from jayvalve.internal.measure.gateway.load import Engine, Turn
from jayvalve.internal.registry import Registry

__all__ = ["POLICIES", "GatewayPolicy", "GatewayView"]


@attrs.define(eq=False)
class GatewayView:
    """State on which one gateway bases the placement of a turn.

    Attributes:
        engines: Engines that accept turns.
        loads: Number of turns at each engine; the turns of other gateways as last reported.
        service_s: Moving average of the service times at this gateway, in seconds.
        placed_turns: Number of turns that this gateway has placed, plus the gateway's number,
            so that round-robin starts at different engines.

    """

    engines: Sequence[Engine]
    loads: Mapping[str, int]
    health: HealthTracker
    rng: random.Random
    service_s: float
    placed_turns: int


ChooseEngine = Callable[[GatewayView, Turn], Engine]
RankTurn = Callable[[Turn, float], float]


@attrs.frozen
class GatewayPolicy:
    """A combination of placement, queue order and budget reservations.

    Attributes:
        choose: Chooses an engine.
        rank: Returns the rank in an engine's queue for a turn and the remaining time of its
            program in seconds; lower ranks run first.
        lease_turns: Number of turns whose tokens one reservation covers; 0 reserves nothing and
            does not use the store.
        lends_budgets: Whether one gateway holds a program's budget and lends it to the others,
            with HOLDER_LEASES in place of lease_turns.

    """

    choose: ChooseEngine
    rank: RankTurn
    lease_turns: int
    lends_budgets: bool = False


POLICIES: Registry[GatewayPolicy] = Registry("gateway policy")


@attrs.frozen
class _RequestInfo:
    program_deadline_s: float


@attrs.frozen
class _PrioritizedRequest:
    """The part of a request that request_priority reads."""

    info: _RequestInfo


def _lowest_cost(view: GatewayView, turn: Turn) -> Engine:
    candidates = [
        Candidate(
            key=EngineKey(engine.name, 0),
            slots=engine.slots,
            load=view.loads.get(engine.name, 0),
            service_s=view.service_s,
            remote=False,
            failure_share=view.health.failure_share(engine.name),
        )
        for engine in view.engines
    ]
    placement = choose_by_cost(candidates, PlacementNeed(), PlacementSettings(), view.rng)
    assert placement is not None
    return next(e for e in view.engines if e.name == placement.candidate.key.id)


def _round_robin(view: GatewayView, turn: Turn) -> Engine:
    return view.engines[view.placed_turns % len(view.engines)]


def _least_waiting_work(view: GatewayView, turn: Turn) -> Engine:
    """Return the engine with the least queued work, which no real gateway can know."""
    return min(view.engines, key=lambda engine: (engine.waiting_s, engine.load, engine.name))


def _deadline_rank(turn: Turn, remaining_s: float) -> float:
    return request_priority(_PrioritizedRequest(_RequestInfo(remaining_s)))  # type: ignore[arg-type]


def _arrival_rank(turn: Turn, remaining_s: float) -> float:
    """Return the same rank for all turns, so that engine queues keep the order of arrival."""
    return 0.0


def _service_time_rank(turn: Turn, remaining_s: float) -> float:
    return turn.service_s


POLICIES.register("jayvalve")(
    GatewayPolicy(_lowest_cost, _deadline_rank, lease_turns=HOLDER_LEASES.turns, lends_budgets=True)
)
POLICIES.register("own_leases")(GatewayPolicy(_lowest_cost, _deadline_rank, lease_turns=3))
POLICIES.register("single_reservations")(GatewayPolicy(_lowest_cost, _deadline_rank, lease_turns=1))
POLICIES.register("round_robin")(GatewayPolicy(_round_robin, _arrival_rank, lease_turns=1))
POLICIES.register("oracle")(GatewayPolicy(_least_waiting_work, _service_time_rank, lease_turns=0))
