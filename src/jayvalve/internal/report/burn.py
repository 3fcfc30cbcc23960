"""Attainment of the latency targets and the burn rate of their error budgets."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from jayvalve.internal.metrics import Histogram
from jayvalve.internal.report.windows import BETWEEN_TOKENS, FIRST_TOKEN, PROGRAM, SLOT_S

__all__ = [
    "ALERTS",
    "OBJECTIVE",
    "PERIOD_S",
    "Alert",
    "AlertRule",
    "BurnLine",
    "BurnReport",
    "Sample",
    "burn_report",
    "collect_samples",
    "forecast_s",
    "make_line",
]

# The latency targets apply to 95% of the values.
OBJECTIVE = 0.95
ALLOWED_MISS_SHARE = 0.05
# Entries keep their histograms for a day, so the error budget covers the last day.
PERIOD_S = 86_400
HOUR_S = 3600
MEASURES = (FIRST_TOKEN, BETWEEN_TOKENS, PROGRAM)


@attrs.frozen
class AlertRule:
    """Rule for an alert that fires while the burn rates of both windows reach ``rate``.

    The short window ends the alert soon after the burn rate has dropped.
    """

    severity: str
    long_s: int
    short_s: int
    rate: float


# Of a budget for one day, burn rate 6 spends a quarter in an hour and burn rate 2 spends half in
# six hours. With an objective of 95%, no burn rate can exceed 20.
ALERTS = (
    AlertRule("page", HOUR_S, 300, 6.0),
    AlertRule("ticket", 6 * HOUR_S, 1800, 2.0),
)
WINDOWS_S = (300, 1800, HOUR_S, 6 * HOUR_S, PERIOD_S)


@attrs.frozen
class Sample:
    """One histogram window of one series of an entry.

    Attributes:
        age_s: Time since the start of the window, in seconds by the clock of the entry.
        seconds: Length of the window in seconds.
        in_open_slot: Whether the window is in the 5-minute slot that is not closed yet.
        histogram: Latencies recorded in the window.
    """

    age_s: float
    seconds: int
    in_open_slot: bool
    histogram: Histogram

    def belongs_to(self, window_s: int) -> bool:
        """Return whether the sample is part of the window of the last ``window_s`` seconds.

        Windows of up to an hour use the 1-minute samples. Longer ones use the closed 5-minute
        slots and the minutes of the open slot, so that each value is counted once.
        """
        if window_s <= HOUR_S:
            has_matching_length = self.seconds < SLOT_S
        else:
            has_matching_length = self.seconds == SLOT_S or self.in_open_slot
        return has_matching_length and self.age_s <= window_s


@attrs.frozen
class Alert:
    """A firing alert with the burn rates of its two windows."""

    severity: str
    long_s: int
    long_rate: float
    short_s: int
    short_rate: float


@attrs.frozen
class BurnLine:
    """Result for one measure of one rank and caller.

    Attributes:
        target_s: Target in seconds; None if the rules set none.
        count: Number of values in the period.
        attainment: Share of the values within the target; None without a target or without values.
        budget_left: Remaining share of the error budget; negative once it is overspent.
        rates: Burn rate by window length in seconds; a rate of 1 spends the budget in exactly one
            period.
        spent_in_s: Seconds until the budget is spent at the burn rate of the last hour; 0 if it is
            already spent, None if it never will be or if there is no target or no value.
        history: Pairs (age in seconds, burn rate) in steps of 5 minutes, oldest first.
    """

    rank: str
    caller: str
    measure: str
    target_s: float | None
    count: int
    p95_s: float
    attainment: float | None = None
    budget_left: float | None = None
    rates: dict[int, float] = attrs.field(factory=dict)
    alerts: tuple[Alert, ...] = ()
    spent_in_s: float | None = None
    history: tuple[tuple[float, float], ...] = ()


@attrs.frozen
class BurnReport:
    """All lines, and the reason for each entry whose data is missing.

    Attributes:
        answered: Instance names of the entries that answered.
        missing: Reason why the data of an entry is missing, by entry URL.
        configuration_version: Newest configuration version among the answers; its targets are used.
            0 if no entry answered.
    """

    lines: list[BurnLine]
    answered: list[str]
    missing: dict[str, str]
    configuration_version: int

    @property
    def alerts(self) -> list[tuple[BurnLine, Alert]]:
        """All firing alerts with their lines, pages first."""
        firing = [(line, alert) for line in self.lines for alert in line.alerts]
        return sorted(firing, key=lambda pair: pair[1].severity)


def burn_report(answers: Iterable[Mapping[str, Any]], missing: Mapping[str, str]) -> BurnReport:
    """Merge the answers of ``GET /slo`` and compute all lines."""
    answers = list(answers)
    newest = max(answers, key=lambda item: item["configuration_version"], default=None)
    targets = newest["targets"] if newest is not None else {}
    samples = collect_samples(answers)
    lines = [
        make_line(rank, caller, measure, targets.get(rank, {}).get(measure), series_samples)
        for (rank, caller, measure), series_samples in samples.items()
    ]
    lines.sort(key=lambda line: (line.rank != "urgent", line.caller, MEASURES.index(line.measure)))
    return BurnReport(
        lines,
        sorted(item["instance"] for item in answers),
        dict(missing),
        newest["configuration_version"] if newest is not None else 0,
    )


def collect_samples(
    answers: Iterable[Mapping[str, Any]],
) -> dict[tuple[str, str, str], list[Sample]]:
    """Return the samples of each rank, caller and measure over all entries."""
    samples: dict[tuple[str, str, str], list[Sample]] = defaultdict(list)
    for answer in answers:
        now = answer["now"]
        open_slot = now // SLOT_S * SLOT_S
        for series in answer["series"]:
            if series["measure"] not in MEASURES:
                continue
            for window in series["windows"]:
                start, seconds = window["start"], window["seconds"]
                histogram = Histogram()
                histogram.merge_encoded(window["histogram"])
                is_open = seconds < SLOT_S and start >= open_slot
                samples[series["rank"], series["caller"], series["measure"]].append(
                    Sample(now - start, seconds, is_open, histogram)
                )
    return dict(samples)


def make_line(
    rank: str, caller: str, measure: str, target_s: float | None, samples: list[Sample]
) -> BurnLine:
    """Compute the line of one series."""
    period = [sample for sample in samples if sample.belongs_to(PERIOD_S)]
    merged = Histogram()
    for sample in period:
        merged.merge_encoded(sample.histogram.encode())
    p95_s = merged.quantile_s(100 * OBJECTIVE) if merged.count else 0.0
    if target_s is None or not merged.count:
        return BurnLine(rank, caller, measure, target_s, merged.count, p95_s)
    counted = [_CountedSample.from_sample(sample, target_s) for sample in samples]
    rates = {window_s: _burn_rate(counted, window_s) for window_s in WINDOWS_S}
    left = 1.0 - rates[PERIOD_S]
    return BurnLine(
        rank,
        caller,
        measure,
        target_s,
        merged.count,
        p95_s,
        attainment=1.0 - rates[PERIOD_S] * ALLOWED_MISS_SHARE,
        budget_left=left,
        rates=rates,
        alerts=_firing_alerts(rates),
        spent_in_s=forecast_s(left, rates[HOUR_S]),
        history=_burn_history(counted),
    )


def forecast_s(budget_left: float, rate: float) -> float | None:
    """Return the seconds until the budget is spent at a burn rate, or None if it never is."""
    if budget_left <= 0.0:
        return 0.0
    return budget_left * PERIOD_S / rate if rate > 0.0 else None


@attrs.frozen
class _CountedSample:
    sample: Sample
    count: int
    missed: int

    @classmethod
    def from_sample(cls, sample: Sample, target_s: float) -> "_CountedSample":
        count = sample.histogram.count
        return cls(sample, count, count - sample.histogram.count_below(target_s))


def _burn_rate(counted: Iterable[_CountedSample], window_s: int) -> float:
    """Return the share of missed values divided by the share that the objective allows."""
    in_window = [item for item in counted if item.sample.belongs_to(window_s)]
    return _missed_share(in_window) / ALLOWED_MISS_SHARE


def _firing_alerts(rates: Mapping[int, float]) -> tuple[Alert, ...]:
    return tuple(
        Alert(rule.severity, rule.long_s, rates[rule.long_s], rule.short_s, rates[rule.short_s])
        for rule in ALERTS
        if min(rates[rule.long_s], rates[rule.short_s]) >= rule.rate
    )


def _burn_history(counted: Iterable[_CountedSample]) -> tuple[tuple[float, float], ...]:
    """Return pairs (age in seconds, burn rate) over all entries, oldest first.

    Samples are grouped by age in steps of 5 minutes; steps without samples are left out.
    """
    by_step: dict[int, list[_CountedSample]] = defaultdict(list)
    for item in counted:
        if item.sample.belongs_to(PERIOD_S):
            by_step[int(item.sample.age_s // SLOT_S)].append(item)
    return tuple(
        (step * SLOT_S, _missed_share(items) / ALLOWED_MISS_SHARE)
        for step, items in sorted(by_step.items(), reverse=True)
    )


def _missed_share(items: Iterable[_CountedSample]) -> float:
    items = list(items)
    count = sum(item.count for item in items)
    return sum(item.missed for item in items) / count if count else 0.0
