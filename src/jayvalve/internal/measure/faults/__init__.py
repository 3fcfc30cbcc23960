"""A seeded search over fault schedules that drives the real decision code."""

from jayvalve.internal.measure.faults.search import replay, run_fault_search, run_variants

__all__ = ["replay", "run_fault_search", "run_variants"]
