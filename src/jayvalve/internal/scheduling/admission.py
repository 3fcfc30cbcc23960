"""Admission control: early refusal of calls that an endpoint cannot serve in time."""

from collections.abc import Mapping

import attrs

from jayvalve.errors import DeadlineUnreachableError, OverloadedError, QueueFullError
from jayvalve.internal.scheduling.calls import QueuedCall, Rank
from jayvalve.internal.scheduling.queue import WaitingQueue

__all__ = ["AdmissionControl", "AdmissionSettings", "ServiceRate"]

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# Weight of a new call in the estimated service rate.
RATE_SMOOTHING = 0.05
# Weight of a new start in the share of refused starts.
REFUSAL_SMOOTHING = 0.02
# Lower bound of the accepted share of starts; it limits the backoff factor to 20.
MIN_ACCEPTED_SHARE = 0.05


@attrs.frozen
class AdmissionSettings:
    """Limits that admission control applies.

    Attributes:
        max_waiting: Maximum number of calls waiting at the endpoint.
        rank_share: Maximum share of ``max_waiting`` that one rank may use, so that a flood of
            one rank leaves room for the other.
        floor: Share of service guaranteed to ordinary work.
        start_wait_s: Maximum backlog of the call's rank at which a call that starts a program
            is accepted, in seconds at the full service rate. Refusing a start wastes nothing,
            whereas refusing a later call wastes the service that its program has already
            received.
        memory_share: Share of the engine's memory that the histories of programs in progress
            may need before starts of programs are refused. Above it, programs evict one
            another's prefixes between turns. Starts of a rank whose own programs need no more
            than its guaranteed part are accepted even then, so that a flood of the other rank
            cannot block them.
        ordinary_memory: Part of ``memory_share`` guaranteed to ordinary work; the rest is
            guaranteed to urgent work. It exceeds ``floor`` because ordinary programs keep
            their histories longer: with 0.3, most ordinary starts were refused for lack of
            memory during an urgent flood, and the ordinary queue ran empty.

    """

    max_waiting: int = 1024
    rank_share: float = 0.75
    floor: float = 0.3
    start_wait_s: float = 1.0
    memory_share: float = 0.7
    ordinary_memory: float = 0.5


@attrs.define
class ServiceRate:
    """Estimates how many tokens per second an endpoint serves with a full batch.

    Attributes:
        limit: Number of slots in a full batch.
        tokens_per_s_per_slot: Smoothed rate at which one slot serves tokens.

    """

    limit: int
    tokens_per_s_per_slot: float = 500.0

    def observe(self, tokens: float, service_s: float) -> None:
        """Update the estimate with a call that spent ``service_s`` seconds in the batch."""
        if service_s > 0.0:
            rate = tokens / service_s
            self.tokens_per_s_per_slot += RATE_SMOOTHING * (rate - self.tokens_per_s_per_slot)

    @property
    def tokens_per_s(self) -> float:
        """Estimated rate of a full batch."""
        return max(1.0, self.limit * self.tokens_per_s_per_slot)


class AdmissionControl:
    """Decides whether an arriving call may join the queue."""

    def __init__(self, queue: WaitingQueue, rate: ServiceRate, settings: AdmissionSettings) -> None:
        self._queue = queue
        self._rate = rate
        self._settings = settings
        self._refused_share = 0.0

    def expected_wait_s(self, rank: Rank) -> float:
        """Return the expected wait of a new call of the rank, in seconds.

        The other rank uses its share of the service only while it has calls waiting, so the wait
        is at most the time to serve the backlogs of both ranks at the full rate.
        """
        other = Rank.ORDINARY if rank is Rank.URGENT else Rank.URGENT
        own = self._queue.waiting_tokens(rank)
        share = self._service_share(rank)
        full_rate_wait_s = (own + self._queue.waiting_tokens(other)) / self._rate.tokens_per_s
        return min(own / (share * self._rate.tokens_per_s), full_rate_wait_s)

    def check(
        self, call: QueuedCall, now: float, memory_shares: Mapping[Rank, float] | None = None
    ) -> None:
        """Check that the call may join the queue.

        Args:
            call: The arriving call.
            now: Current time in seconds.
            memory_shares: Memory needed by the programs in progress of each rank, as a share
                of the engine's memory; 0 for a missing rank. With None, no memory limit applies.

        Raises:
            QueueFullError: the queue, or the rank's share of it, is full.
            DeadlineUnreachableError: the expected wait ends after the call's deadline.
            OverloadedError: the call would start a program, and the backlog is too long or
                programs in progress need too much of the engine's memory.

        All of these errors carry the verdict not_run and a retry delay.

        """
        refused = True
        try:
            self._check(call, now, memory_shares or {})
            refused = False
        finally:
            if call.starts_program:
                self._refused_share += REFUSAL_SMOOTHING * (refused - self._refused_share)

    def _check(self, call: QueuedCall, now: float, memory_shares: Mapping[Rank, float]) -> None:
        wait_s = self.expected_wait_s(call.rank)
        settings = self._settings
        waiting = self._queue.waiting(call.rank)
        rank_limit = int(settings.max_waiting * settings.rank_share)
        if len(self._queue) >= settings.max_waiting or waiting >= rank_limit:
            raise QueueFullError(
                f"queue or the rank's share is full: {waiting} {call.rank} calls are waiting",
                retry_after_s=self._retry_delay_s(wait_s),
            )
        if now + wait_s > call.deadline_s:
            raise DeadlineUnreachableError(
                f"expected wait {wait_s:.1f} s ends after the call's deadline",
                retry_after_s=self._retry_delay_s(wait_s),
            )
        if not call.starts_program:
            return
        # Computed at the full rate: at the floor's share of the rate, a single waiting call
        # would exceed the limit, and the rank's queue would run empty between calls.
        backlog_s = self._queue.waiting_tokens(call.rank) / self._rate.tokens_per_s
        if backlog_s > settings.start_wait_s:
            raise OverloadedError(
                f"expected wait {wait_s:.1f} s is too long to start a program",
                retry_after_s=self._retry_delay_s(wait_s),
            )
        self._check_memory(call.rank, memory_shares, wait_s)

    def _check_memory(self, rank: Rank, memory_shares: Mapping[Rank, float], wait_s: float) -> None:
        needed = sum(memory_shares.values())
        own = memory_shares.get(rank, 0.0)
        limit, ordinary_part = self._settings.memory_share, self._settings.ordinary_memory
        guaranteed = limit * (ordinary_part if rank is Rank.ORDINARY else 1.0 - ordinary_part)
        if needed > limit and own > guaranteed:
            raise OverloadedError(
                f"programs in progress need {needed:.0%} of the engine's memory",
                retry_after_s=self._retry_delay_s(wait_s),
            )

    def _service_share(self, rank: Rank) -> float:
        return 1.0 - self._settings.floor if rank is Rank.URGENT else self._settings.floor

    def _retry_delay_s(self, wait_s: float) -> float:
        """Return the retry delay, which grows with the share of recent starts refused.

        When the delay was only the expected wait, callers that offered ten times the capacity
        retried ten times as often as calls were accepted.
        """
        backoff_factor = 1.0 / max(MIN_ACCEPTED_SHARE, 1.0 - self._refused_share)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s) * backoff_factor)
