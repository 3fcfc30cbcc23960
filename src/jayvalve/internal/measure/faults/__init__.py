"""Seeded search over fault schedules that exercises the real decision code."""

from jayvalve.internal.measure.faults.search import (
    PROMISES,
    ScheduleResult,
    replay,
    replay_pairs,
    run_fault_search,
    run_variants,
)

__all__ = [
    "PROMISES",
    "ScheduleResult",
    "replay",
    "replay_pairs",
    "run_fault_search",
    "run_variants",
]
