"""Rows of metrics computed from the records of a run."""

from jayvalve.internal.measure.records import Records, quantile
from jayvalve.internal.measure.scenarios import ALL_RANKS, Row, Scenario
from jayvalve.internal.scheduling import Rank

__all__ = ["RECOVERY_FACTOR", "cache_rows", "fault_rows", "flood_rows", "latency_rows"]

WINDOW_S = 5.0
# Latency has recovered when a window's RECOVERY_QUANTILE of call latency is at most this multiple
# of the median of that quantile over the windows before the fault.
RECOVERY_FACTOR = 1.2
RECOVERY_QUANTILE = 0.9
# Windows before this time are left out: the fleet starts empty and has to fill up first.
WARM_UP_S = 60.0

_RANKS = ((ALL_RANKS, None), (Rank.URGENT, Rank.URGENT), (Rank.ORDINARY, Rank.ORDINARY))


def latency_rows(scenario: Scenario, records: Records) -> list[Row]:
    """Return program latency, failures and goodput by rank."""
    rows = []
    for name, rank in _RANKS:
        latencies = records.latencies(*scenario.window, rank)
        rows.append(scenario.row("latency_p50", quantile(latencies, 0.5), "s", name))
        rows.append(scenario.row("latency_p95", quantile(latencies, 0.95), "s", name))
        failed = records.failed_share(*scenario.window, rank)
        rows.append(scenario.row("failed_programs", failed, "share", name))
        goodput = records.goodput(*scenario.window, rank)
        rows.append(scenario.row("goodput", goodput, "tokens/s", name))
    return rows


def cache_rows(scenario: Scenario, records: Records) -> list[Row]:
    """Return the recomputed prefix tokens and their share of all prefix tokens."""
    share = records.rebuilt_tokens / max(1, records.prefix_tokens)
    return [
        scenario.row("wasted_prefix", float(records.rebuilt_tokens), "tokens"),
        scenario.row("wasted_prefix_share", share, "share"),
    ]


def flood_rows(scenario: Scenario, records: Records) -> list[Row]:
    """Return the latency rows of a flood, and the p95 latency of completed programs alone."""
    rows = latency_rows(scenario, records)
    for name, rank in _RANKS:
        latencies = records.latencies(*scenario.window, rank, only_completed=True)
        rows.append(scenario.row("completed_p95", quantile(latencies, 0.95), "s", name))
    return rows


def fault_rows(scenario: Scenario, records: Records) -> list[Row]:
    """Return latency, goodput, retries and recovery time for the first fault."""
    fault = scenario.faults[0]
    span = (fault.begin_s, fault.end_s)
    before = records.call_latency_windows(WARM_UP_S, fault.begin_s, WINDOW_S, RECOVERY_QUANTILE)
    after = records.call_latency_windows(
        fault.end_s, scenario.window[1], WINDOW_S, RECOVERY_QUANTILE
    )
    bound = RECOVERY_FACTOR * quantile(before, 0.5)
    recovered_s = next(
        (WINDOW_S * (i + 1) for i, value in enumerate(after) if value <= bound),
        scenario.window[1] - fault.end_s,
    )
    rows = latency_rows(scenario, records)
    rows.append(scenario.row("recovery", recovered_s, "s"))
    retries = records.retry_share(span[0], span[1] + 2 * WINDOW_S)
    rows.append(scenario.row("retries_added", retries, "share"))
    rows.append(scenario.row("fault_goodput", records.goodput(*span), "tokens/s"))
    resubmissions = records.resubmissions / max(1, records.requests)
    rows.append(scenario.row("caller_resubmissions", resubmissions, "share"))
    return rows
