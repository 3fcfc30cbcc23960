"""Admission, order and concurrency of the calls in front of one endpoint."""

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

# Expired calls are reported at this interval, so that their callers learn early.
EXPIRY_INTERVAL_S = 0.05


class EndpointGate:
    """Lets calls through to the endpoint in the order of the queue policy."""

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
        self._entered: dict[Any, asyncio.Future[None]] = {}

    @property
    def running(self) -> int:
        """Number of calls at the endpoint."""
        return self._limit.running

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    def load(self) -> dict[str, int]:
        """Return the load report that rides on answers and heartbeats."""
        return {
            "running": self.running,
            "waiting": self.waiting,
            "waiting_urgent": self._queue.waiting(Rank.URGENT),
            "limit": self._limit.limit,
        }

    def set_rules(self, rules: Rules) -> None:
        """Follow a new configuration."""
        balance = getattr(self._queue, "balance", None)
        if balance is not None:
            balance.floor = rules.ordinary_floor
            balance.worth_urgent = rules.urgent.worth
            balance.worth_ordinary = rules.ordinary.worth

    def check(self, call: QueuedCall) -> None:
        """Raise an error with verdict not_run unless the call may wait."""
        self._admission.check(call, self._clock.now())

    async def enter(self, call: QueuedCall) -> None:
        """Return once the call may go to the endpoint.

        Raises:
            QueueFullError: too many calls wait; verdict not_run.
            DeadlineExceededError: the deadline passed in the queue; verdict not_run.
        """
        turn = asyncio.get_running_loop().create_future()
        self._queue.offer(call, self._clock.now())
        self._entered[call.call_id] = turn
        self._admit()
        try:
            await turn
        except asyncio.CancelledError:
            if self._queue.cancel(call.call_id) is None and turn.done() and not turn.cancelled():
                self.leave(call, 0.0, None)
            raise
        finally:
            self._entered.pop(call.call_id, None)

    def leave(
        self,
        call: QueuedCall,
        served_tokens: float,
        latency_s: float | None,
        dropped: bool = False,
    ) -> None:
        """Give the place of a call back.

        latency_s is the time to the first part of the answer; the length of an answer says
        nothing about the load.
        """
        self._queue.settle(call, served_tokens)
        self._limit.release(latency_s, dropped=dropped)
        self._admit()

    def observe_service(self, served_tokens: float, service_s: float) -> None:
        """Record the rate at which a call was served."""
        self._rate.observe(served_tokens, service_s)

    async def run(self) -> None:
        """Report expired calls until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._report_expired()

    def _admit(self) -> None:
        while len(self._queue) and self._limit.acquire():
            call = self._queue.take(self._clock.now())
            if call is None:
                self._limit.release()
                break
            turn = self._entered.get(call.call_id)
            if turn is None or turn.done():
                self._limit.release()
                continue
            turn.set_result(None)
        self._report_expired()

    def _report_expired(self) -> None:
        for call in self._queue.expire(self._clock.now()):
            turn = self._entered.get(call.call_id)
            if turn is not None and not turn.done():
                turn.set_exception(
                    DeadlineExceededError(
                        "the deadline passed in the queue", verdict=Verdict.NOT_RUN
                    )
                )
