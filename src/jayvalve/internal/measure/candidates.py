"""Policy combinations that the experiments compare."""

import attrs

from jayvalve.internal.registry import Registry

__all__ = ["BASELINES", "Candidate", "candidates"]

# About 20 s of work for an engine with 16 slots: long enough to absorb bursts, and short enough
# for queued calls to meet their deadlines. The engines modelled here have fewer slots, for which
# the same queue is more work.
BASELINE_MAX_WAITING = 128
BASELINE_MAX_ATTEMPTS = 3


@attrs.frozen
class Candidate:
    """One policy combination.

    Attributes:
        name: Name in tables.
        routing: Name of the routing policy.
        queue: Name of the queue policy.
        max_waiting: Maximum number of calls in each endpoint's queue.
        admission: Whether admission control refuses calls before they are queued.
        manages_memory: Whether the KV cache of paused agents and ended programs is managed.
        retry_budget: Maximum retries as a share of requests; with None only ``max_attempts``
            limits them.
        max_attempts: Maximum number of dispatches of a call before the caller gets an error.
        oracle: Whether decisions use future knowledge: calls go to the engine that caches
            their prefix, and the prefix whose next use is furthest away is evicted.

    """

    name: str
    routing: str
    queue: str
    max_waiting: int = BASELINE_MAX_WAITING
    admission: bool = False
    manages_memory: bool = False
    retry_budget: float | None = None
    max_attempts: int = BASELINE_MAX_ATTEMPTS
    oracle: bool = False


candidates: Registry[Candidate] = Registry("candidate")

for _routing in ("round_robin", "least_loaded", "program_hash"):
    candidates.register(_routing)(Candidate(_routing, _routing, "fcfs"))
candidates.register("jayvalve")(
    Candidate(
        "jayvalve",
        "jayvalve",
        "jayvalve",
        max_waiting=1024,
        admission=True,
        manages_memory=True,
        retry_budget=0.1,
    )
)
candidates.register("jayvalve_unlimited_retries")(
    attrs.evolve(candidates.get("jayvalve"), name="jayvalve_unlimited_retries", retry_budget=None)
)
candidates.register("oracle")(attrs.evolve(candidates.get("jayvalve"), name="oracle", oracle=True))

BASELINES = ("round_robin", "least_loaded", "program_hash")
