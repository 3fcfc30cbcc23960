"""Combinations of decisions that are measured against each other."""

import attrs

from jayvalve.internal.registry import Registry

__all__ = ["BASELINES", "Candidate", "candidates"]

# About 20 s of work at an engine of 16 slots: long enough to absorb bursts, and short enough
# that queued calls still meet their deadlines.
BASELINE_MAX_WAITING = 128
BASELINE_ATTEMPTS = 3


@attrs.frozen
class Candidate:
    """One combination.

    Attributes:
        name: Its name in tables.
        routing: Name of the routing policy.
        queue: Name of the queue policy.
        max_waiting: Bound of each endpoint's queue.
        admission: Whether calls are refused early.
        manages_memory: Whether the KV cache of pauses and of ended programs is managed.
        retry_budget: Retries allowed as a share of requests; None leaves only the bound on
            attempts.
        attempts: Most dispatches of a call before its caller is told.
        oracle: Whether it knows the future: it returns to the engine with the prefix and
            evicts the prefix whose next use is furthest away.

    """

    name: str
    routing: str
    queue: str
    max_waiting: int = BASELINE_MAX_WAITING
    admission: bool = False
    manages_memory: bool = False
    retry_budget: float | None = None
    attempts: int = BASELINE_ATTEMPTS
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
