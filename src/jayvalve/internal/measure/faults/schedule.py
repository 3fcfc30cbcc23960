"""Schedules drawn from a seed: the timed actions of callers, operators and faults."""

import random
from typing import Any

import attrs

from jayvalve.internal.measure.faults.programs import ProgramPlan

__all__ = ["FAULT_KINDS", "HEAL_TIME_S", "FaultAction", "Schedule", "draw_schedule"]

FIRST_FAULT_S = 3.0
LAST_FAULT_S = 16.0
HEAL_TIME_S = 19.0
LAST_PROGRAM_S = 12.0
MAX_FAULTS = 6
# In this fraction of the schedules, processes stop only by planned stops, so that any aborted
# request reveals a fault in the planned stop.
PLANNED_FRACTION = 0.25

PLANNED_KINDS = ("stop_entry", "stop_sidecar", "flood", "list_lag")
FAULT_KINDS = (
    *PLANNED_KINDS,
    "kill_entry",
    "kill_sidecar",
    "pause_entry",
    "pause_sidecar",
    "cut_link",
    "cut_off",
    "slow_link",
    "stall_connection",
    "reset_connection",
    "log_down",
    "log_slow",
    "log_loss",
    "endpoint_hangs",
    "endpoint_fails",
)


@attrs.frozen
class FaultAction:
    """A fault to inject at a given time, and the seed from which its details are drawn."""

    at_s: float
    kind: str
    seed: int


@attrs.frozen
class Schedule:
    """Everything scheduled for one run.

    Attributes:
        planned: Whether processes stop only by planned stops.
        programs: Start time and plan of each program.
        changes: Time and idempotency key of each change that is sent without a program.
        publishes: Time and number of concurrent publishes of a configuration.
    """

    seed: int
    planned: bool
    faults: tuple[FaultAction, ...]
    programs: tuple[tuple[float, ProgramPlan], ...]
    changes: tuple[tuple[float, str], ...]
    publishes: tuple[tuple[float, int], ...]

    def summary(self) -> dict[str, Any]:
        """Return a description of the schedule's faults for a report."""
        kinds = [f"{action.at_s:.1f} s {action.kind}" for action in self.faults]
        return {"seed": self.seed, "planned": self.planned, "faults": kinds}


def _draw_program(rng: random.Random, name: str) -> ProgramPlan:
    append = rng.random() < 0.7
    budget = None
    if rng.random() < 0.35:
        budget = (rng.randint(150, 900), rng.randint(2, 7))
    return ProgramPlan(
        name=name,
        turns=rng.randint(2, 5),
        append=append,
        reordered=append and rng.random() < 0.4,
        stream=rng.random() < 0.3,
        duplicate_probability=rng.choice((0.0, 0.3)),
        budget=budget,
        child_turns=rng.choice((0, 0, 1, 2)),
        change=rng.random() < 0.25,
        pause_s=rng.choice((0.2, 1.0, 4.0)),
        deadline_s=rng.choice((3.0, 6.0, 9.0)),
        ends=rng.random() < 0.75,
        urgent=rng.random() < 0.3,
    )


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    rng = random.Random(f"schedule {seed}")
    planned = rng.random() < PLANNED_FRACTION
    kinds = PLANNED_KINDS if planned else FAULT_KINDS
    count = rng.randint(1, 3 if planned else MAX_FAULTS)
    # About half of the faults start shortly after another one, so that pairs of faults overlap.
    times: list[float] = []
    for _ in range(count):
        if times and rng.random() < 0.5:
            times.append(min(LAST_FAULT_S, rng.choice(times) + rng.random() * 2.0))
        else:
            times.append(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S))
    faults = [FaultAction(at_s, rng.choice(kinds), rng.getrandbits(32)) for at_s in sorted(times)]
    programs = [
        (rng.uniform(FIRST_FAULT_S - 1.0, LAST_PROGRAM_S), _draw_program(rng, f"p{number}"))
        for number in range(rng.randint(3, 6))
    ]
    changes = [
        (rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), f"key{number}")
        for number in range(rng.randint(2, 5))
    ]
    publishes = [
        (rng.uniform(FIRST_FAULT_S - 1.0, HEAL_TIME_S), rng.randint(1, 2))
        for _ in range(rng.randint(1, 3))
    ]
    return Schedule(seed, planned, tuple(faults), tuple(programs), tuple(changes), tuple(publishes))
