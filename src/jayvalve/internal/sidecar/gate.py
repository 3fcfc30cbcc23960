"""Admission, queueing and concurrency limit of the calls to one endpoint."""

import asyncio
from typing import Any

from jayvalve.errors import DeadlineExceededError
from jayvalve.internal.configuration import Rules
from jayvalve.internal.limits import ConcurrencyLimit
from jayvalve.internal.scheduling import (
    AdmissionControl,
    AdmissionSettings,
    QueuedCall,
    QueueSettings,
    Rank,
    ServiceRate,
    queue_policies,
)
from jayvalve.internal.timing import Clock
from jayvalve.verdict import Verdict

__all__ = ["EndpointGate"]

# Interval at which queued calls past their deadline are failed, so that callers learn early.
EXPIRY_INTERVAL_S = 0.05


class EndpointGate:
    """Admits calls to the endpoint in the order of the queue policy."""

    def __init__(
        self, policy: str, max_running: int, settings: QueueSettings, clock: Clock
    ) -> None:
        self._clock = clock
        self._queue = queue_policies.get(policy)(settings)
        self._rate = ServiceRate(max_running)
        self._limit = ConcurrencyLimit(
            minimum=1, maximum=max_running, initial=max_running, floor_s=0.05
        )
        self._admission = AdmissionControl(
            self._queue,
            self._rate,
            AdmissionSettings(max_waiting=settings.max_waiting, floor=settings.floor),
        )
        self._waiters: dict[Any, asyncio.Future[None]] = {}

    @property
    def running(self) -> int:
        """Number of calls running at the endpoint."""
        return self._limit.running

    @property
    def waiting(self) -> int:
        """Number of calls waiting in the queue."""
        return len(self._queue)

    def load(self) -> dict[str, int]:
        """Return the load report that is attached to answers and heartbeats."""
        return {
            "running": self.running,
            "waiting": self.waiting,
            "waiting_urgent": self._queue.waiting(Rank.URGENT),
            "limit": self._limit.limit,
        }

    def set_rules(self, rules: Rules) -> None:
        """Apply the queue rules of a new configuration."""
        balance = getattr(self._queue, "balance", None)
        if balance is not None:
            balance.floor = rules.ordinary_floor
            balance.worth_urgent = rules.urgent.worth
            balance.worth_ordinary = rules.ordinary.worth

    def check(self, call: QueuedCall) -> None:
        """Check that the call may wait in the queue.

        Raises:
            JayvalveError: the call is refused; verdict not_run.
        """
        self._admission.check(call, self._clock.now())

    async def acquire_slot(self, call: QueuedCall) -> None:
        """Wait for a slot at the endpoint, in the order of the queue policy.

        Raises:
            QueueFullError: too many calls are waiting; verdict not_run.
            DeadlineExceededError: the deadline passed in the queue; verdict not_run.
        """
        slot = asyncio.get_running_loop().create_future()
        self._queue.offer(call, self._clock.now())
        self._waiters[call.call_id] = slot
        self._admit()
        try:
            await slot
        except asyncio.CancelledError:
            if self._queue.cancel(call.call_id) is None and slot.done() and not slot.cancelled():
                self.release_slot(call, 0.0, None)
            raise
        finally:
            self._waiters.pop(call.call_id, None)

    def release_slot(
        self,
        call: QueuedCall,
        served_tokens: float,
        latency_s: float | None,
        dropped: bool = False,
    ) -> None:
        """Release the slot of a call and admit waiting calls.

        latency_s is the time to the first part of the answer, because the time to its end
        depends on its length, which says nothing about the load.
        """
        self._queue.settle(call, served_tokens)
        self._limit.release(latency_s, dropped=dropped)
        self._admit()

    def observe_service(self, served_tokens: float, service_s: float) -> None:
        """Update the estimated service rate from a finished call."""
        self._rate.observe(served_tokens, service_s)

    async def run(self) -> None:
        """Fail expired calls periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._fail_expired()

    def _admit(self) -> None:
        while len(self._queue) and self._limit.acquire():
            call = self._queue.take(self._clock.now())
            if call is None:
                self._limit.release()
                break
            slot = self._waiters.get(call.call_id)
            if slot is None or slot.done():
                self._limit.release()
                continue
            slot.set_result(None)
        self._fail_expired()

    def _fail_expired(self) -> None:
        for call in self._queue.expire(self._clock.now()):
            slot = self._waiters.get(call.call_id)
            if slot is not None and not slot.done():
                slot.set_exception(
                    DeadlineExceededError(
                        "the deadline passed in the queue", verdict=Verdict.NOT_RUN
                    )
                )
