"""Records of a run and the metrics computed from them."""

from typing import Any

import attrs

from jayvalve.internal.scheduling import Rank

__all__ = ["ProgramRecord", "Records", "quantile"]


def quantile(values: list[float], q: float) -> float:
    """Return the q-quantile of the values, or NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


@attrs.define
class ProgramRecord:
    """Outcome of one program."""

    rank: Rank
    arrival_s: float
    end_s: float | None = None
    completed: bool = False
    served: list[tuple[float, float]] = attrs.field(factory=list)

    @property
    def latency_s(self) -> float:
        """Time from the caller's first attempt to the end of the program."""
        return self.end_s - self.arrival_s

    def complete(self, now: float) -> None:
        """Record that the program completed."""
        self.end_s, self.completed = now, True

    def fail(self, now: float) -> None:
        """Record that the program failed."""
        self.end_s = now

    def censor(self, now: float) -> None:
        """Set the end of an incomplete program, even if it was given up, to the end of the run.

        Otherwise a candidate could lower its latency by refusing programs.
        """
        self.end_s = now


@attrs.define
class Records:
    """Counters and records of one run."""

    programs: list[ProgramRecord] = attrs.field(factory=list)
    calls: list[tuple[float, float]] = attrs.field(factory=list)
    requests: int = 0
    refusals: int = 0
    resubmissions: int = 0
    rebuilt_tokens: int = 0
    prefix_tokens: int = 0
    dispatch_times: list[float] = attrs.field(factory=list)
    retry_times: list[float] = attrs.field(factory=list)

    def record_dispatch(self, now: float, retry: bool) -> None:
        """Record the time of a first dispatch or of a retry."""
        (self.retry_times if retry else self.dispatch_times).append(now)

    def record_call(self, call: Any, attempt: Any, now: float) -> None:
        """Record a completed call: its latency, and its prefix and recomputed tokens."""
        self.calls.append((now, now - call.issued_s))
        self.prefix_tokens += call.prefix_tokens
        self.rebuilt_tokens += max(0, attempt.computed_tokens - call.new_tokens)

    def latencies(
        self, begin_s: float, end_s: float, rank: Rank | None = None, only_completed: bool = False
    ) -> list[float]:
        """Return the latencies of the programs that arrived in a time span.

        The latency of a program that was given up or did not finish lasts to the end of the
        run; ``only_completed`` excludes these programs.
        """
        return [
            record.latency_s
            for record in self.programs
            if begin_s <= record.arrival_s < end_s
            and (rank is None or record.rank is rank)
            and (record.completed or not only_completed)
        ]

    def failed_share(self, begin_s: float, end_s: float, rank: Rank | None = None) -> float:
        """Return the share of incomplete programs among those that arrived in a time span."""
        outcomes = [
            record.completed
            for record in self.programs
            if begin_s <= record.arrival_s < end_s and (rank is None or record.rank is rank)
        ]
        return 1.0 - sum(outcomes) / max(1, len(outcomes))

    def goodput(self, begin_s: float, end_s: float, rank: Rank | None = None) -> float:
        """Return the tokens per second served in a time span to programs that completed."""
        total = sum(
            tokens
            for record in self.programs
            if record.completed and (rank is None or record.rank is rank)
            for at_s, tokens in record.served
            if begin_s <= at_s < end_s
        )
        return total / (end_s - begin_s)

    def retry_share(self, begin_s: float, end_s: float) -> float:
        """Return retries as a share of first dispatches in a time span."""
        retries = sum(begin_s <= at_s < end_s for at_s in self.retry_times)
        first_dispatches = sum(begin_s <= at_s < end_s for at_s in self.dispatch_times)
        return retries / max(1, first_dispatches)

    def call_latency_windows(
        self, begin_s: float, end_s: float, window_s: float, q: float
    ) -> list[float]:
        """Return the q-quantile of latency of the calls that complete in each window."""
        count = int((end_s - begin_s) / window_s)
        windows: list[list[float]] = [[] for _ in range(count)]
        for at_s, latency_s in self.calls:
            index = int((at_s - begin_s) // window_s)
            if 0 <= index < count:
                windows[index].append(latency_s)
        return [quantile(window, q) for window in windows]
