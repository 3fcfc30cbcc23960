"""Early refusal of calls that an endpoint cannot serve in time."""

from collections.abc import Mapping

import attrs

from jayvalve.errors import DeadlineUnreachableError, OverloadedError, QueueFullError
from jayvalve.internal.scheduling.calls import QueuedCall, Rank
from jayvalve.internal.scheduling.queue import WaitingQueue

__all__ = ["AdmissionControl", "AdmissionSettings", "ServiceRate"]

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
RATE_SMOOTHING = 0.05
REFUSAL_SMOOTHING = 0.02
MIN_ACCEPTED_SHARE = 0.05


@attrs.frozen
class AdmissionSettings:
    """Limits of admission.

    Attributes:
        max_waiting: Most calls that wait at the endpoint.
        rank_share: Most of ``max_waiting`` that one rank may take, so that a flood of one
            rank leaves room for the other.
        floor: Share of service guaranteed to ordinary work.
        start_wait_s: Longest backlog of the call's rank, at the full rate, at which calls
            that start a program are taken. A refused start wastes nothing, whereas refusing
            a later call wastes what its program has already received.
        memory_share: Share of the engine's memory that histories of programs in progress may
            need before starts are refused. Beyond it programs evict one another's prefixes
            between turns. A rank whose own programs need less than its guaranteed part of it
            is taken even then, so that a flood of the other rank cannot shut it out.
        ordinary_memory: Part of ``memory_share`` guaranteed to ordinary work; the rest is
            guaranteed to urgent work. It exceeds ``floor`` because ordinary programs keep
            their histories longer: with 0.3, memory refused most ordinary starts in an urgent
            flood, and the ordinary queue ran empty.

    """

    max_waiting: int = 1024
    rank_share: float = 0.75
    floor: float = 0.3
    start_wait_s: float = 1.0
    memory_share: float = 0.7
    ordinary_memory: float = 0.5


@attrs.define
class ServiceRate:
    """Tokens per second that an endpoint serves with a full batch."""

    limit: int
    tokens_per_slot_s: float = 500.0

    def observe(self, tokens: float, service_s: float) -> None:
        """Record a call that took service_s seconds in the batch."""
        if service_s > 0.0:
            rate = tokens / service_s
            self.tokens_per_slot_s += RATE_SMOOTHING * (rate - self.tokens_per_slot_s)

    @property
    def tokens_per_s(self) -> float:
        """Estimated rate of the full batch."""
        return max(1.0, self.limit * self.tokens_per_slot_s)


class AdmissionControl:
    """Decides at the arrival of a call whether it may wait."""

    def __init__(self, queue: WaitingQueue, rate: ServiceRate, settings: AdmissionSettings) -> None:
        self._queue = queue
        self._rate = rate
        self._settings = settings
        self._refused_share = 0.0

    def expected_wait_s(self, rank: Rank) -> float:
        """Return the time that the waiting calls ahead of a new one take, in seconds.

        The other rank takes its share only while it has calls waiting.
        """
        other = Rank.ORDINARY if rank is Rank.URGENT else Rank.URGENT
        own = self._queue.waiting_tokens(rank)
        share = self._share(rank)
        alone_s = (own + self._queue.waiting_tokens(other)) / self._rate.tokens_per_s
        return min(own / (share * self._rate.tokens_per_s), alone_s)

    def check(
        self, call: QueuedCall, now: float, memory_shares: Mapping[Rank, float] | None = None
    ) -> None:
        """Return if the call may wait.

        Args:
            call: The arriving call.
            now: Current time in seconds.
            memory_shares: Memory needed by the programs in progress of each rank, relative to
                the engine's.

        Raises:
            QueueFullError: the queue, or the rank's part of it, is full.
            DeadlineUnreachableError: the expected wait exceeds the call's deadline.
            OverloadedError: the call would start a program, and the wait is too long or the
                memory is committed.

        All carry the verdict not_run and a retry hint.

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
                f"{waiting} {call.rank} calls are waiting", retry_after_s=self._hint_s(wait_s)
            )
        if now + wait_s > call.deadline_s:
            raise DeadlineUnreachableError(
                f"expected wait {wait_s:.1f} s exceeds the deadline",
                retry_after_s=self._hint_s(wait_s),
            )
        if not call.starts_program:
            return
        # Measured at the full rate: at the rate of the floor, one waiting call already exceeds
        # the limit, and the rank's queue runs empty between calls.
        backlog_s = self._queue.waiting_tokens(call.rank) / self._rate.tokens_per_s
        if backlog_s > settings.start_wait_s:
            raise OverloadedError(
                f"expected wait {wait_s:.1f} s is too long to start a program",
                retry_after_s=self._hint_s(wait_s),
            )
        self._check_memory(call.rank, memory_shares, wait_s)

    def _check_memory(self, rank: Rank, memory_shares: Mapping[Rank, float], wait_s: float) -> None:
        needed = sum(memory_shares.values())
        own = memory_shares.get(rank, 0.0)
        limit, part = self._settings.memory_share, self._settings.ordinary_memory
        guaranteed = limit * (part if rank is Rank.ORDINARY else 1.0 - part)
        if needed > limit and own > guaranteed:
            raise OverloadedError(
                f"programs in progress need {needed:.0%} of the memory",
                retry_after_s=self._hint_s(wait_s),
            )

    def _share(self, rank: Rank) -> float:
        return 1.0 - self._settings.floor if rank is Rank.URGENT else self._settings.floor

    def _hint_s(self, wait_s: float) -> float:
        """Return when to come back: later, the more of the recent starts were refused.

        With a hint of the wait alone, callers of a flood of 10 times came back ten times as
        often as calls were taken.
        """
        crowd = 1.0 / max(MIN_ACCEPTED_SHARE, 1.0 - self._refused_share)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s) * crowd)
