"""Endpoint and the decisions of its sidecar, in virtual time."""

import random
from collections.abc import Callable
from typing import Any

import attrs

from jayvalve.internal.measure.candidates import Candidate
from jayvalve.internal.measure.engine_model import ContinuousBatch, EngineSettings, PrefixCache
from jayvalve.internal.pauses import MemoryState, PauseDecision, PausedPrefixes, PausePolicy
from jayvalve.internal.routing import CacheEvent, CacheEventKind
from jayvalve.internal.scheduling import (
    AdmissionControl,
    AdmissionSettings,
    QueuedCall,
    QueueSettings,
    Rank,
    ServiceRate,
    queue_policies,
)

__all__ = ["PROMPT_WEIGHT", "Attempt", "Endpoint", "served_tokens"]

# Computing a prompt token takes about 1/20 of the batch time of a generated token:
# (8 slots x 40 tokens/s) / 6,000 tokens/s.
PROMPT_WEIGHT = 1.0 / 20.0


def served_tokens(computed_tokens: int, output_tokens: int) -> float:
    """Return the service of a call, expressed in generated tokens."""
    return output_tokens + PROMPT_WEIGHT * computed_tokens


@attrs.define(eq=False)
class Attempt:
    """One dispatch of a call to an endpoint."""

    call: Any
    queued: QueuedCall | None = None
    started_s: float = 0.0
    computed_tokens: int = 0


class Endpoint:
    """Queue, admission control, batch and cache of one endpoint.

    Args:
        name: Name of the endpoint.
        data_centre: Data centre of the endpoint.
        candidate: Policies of the endpoint.
        settings: Size and rates of the engine.
        schedule: Schedules an event; called with a time, a function and its arguments. The
            function also receives the time, as its last argument.
        on_end: Called with an attempt, its outcome (``done``, ``failed`` or ``expired``) and the
            time.
        next_use: Returns the time of an agent's next call, for the oracle.

    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        candidate: Candidate,
        settings: EngineSettings,
        schedule: Callable[..., None],
        on_end: Callable[[Attempt, str, float], None],
        next_use: Callable[[str], float] | None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.alive = True
        self.failure_share = 0.0
        self._candidate = candidate
        self._schedule = schedule
        self._on_end = on_end
        self._paused = PausedPrefixes()
        if candidate.manages_memory and next_use is None:
            next_use = self._expected_wait_s
        cache = PrefixCache(settings.cache_tokens, next_use, self._record_cache_change)
        self.engine = ContinuousBatch(settings, cache)
        queue_settings = QueueSettings(max_waiting=candidate.max_waiting)
        self.queue = queue_policies.get(candidate.queue)(queue_settings)
        rate = settings.decode_tokens_per_s
        self._rate = ServiceRate(settings.slots, rate)
        admission = AdmissionSettings(max_waiting=candidate.max_waiting)
        self._admission = AdmissionControl(self.queue, self._rate, admission)
        self._running: set[Attempt] = set()
        self._committed_memory: dict[str, tuple[Rank, int]] = {}
        self._sequence = 0
        self._events: list[CacheEvent] = []
        self._now = 0.0
        self._rng = random.Random(name)

    def submit(self, attempt: Attempt, now: float) -> None:
        """Queue an attempt, or raise an error if it is refused."""
        self._now = now
        if self._candidate.admission:
            self._admission.check(attempt.queued, now, self._memory_shares())
        self.queue.offer(attempt.queued, now)
        call = attempt.call
        self._paused.resume(call.agent)
        needed = call.prefix_tokens + call.new_tokens + call.output_tokens
        self._committed_memory[call.agent] = (call.rank, needed)
        self._fill_slots(now)

    def _memory_shares(self) -> dict[Rank, float]:
        shares = dict.fromkeys(Rank, 0.0)
        for rank, tokens in self._committed_memory.values():
            shares[rank] += tokens / self.engine.settings.cache_tokens
        return shares

    def _fill_slots(self, now: float) -> None:
        while self.engine.running < self.engine.settings.slots:
            queued = self.queue.take(now)
            if queued is None:
                break
            self._start(queued.payload, now)
        for expired in self.queue.expire(now):
            self._on_end(expired.payload, "expired", now)

    def _start(self, attempt: Attempt, now: float) -> None:
        call = attempt.call
        started = self.engine.start(
            call.agent, call.prefix_tokens, call.new_tokens, call.output_tokens, now
        )
        attempt.started_s, attempt.computed_tokens = now, started.computed_tokens
        self._running.add(attempt)
        self._schedule(started.finish_s, self._finish, attempt)

    def _finish(self, attempt: Attempt, now: float) -> None:
        if attempt not in self._running:
            return
        self._now = now
        self._running.discard(attempt)
        call = attempt.call
        self.engine.finish(call.agent)
        tokens = served_tokens(attempt.computed_tokens, call.output_tokens)
        # Recomputing an evicted prefix is not charged to the caller, who did not ask for it.
        self.queue.settle(attempt.queued, served_tokens(call.new_tokens, call.output_tokens))
        self._rate.observe(tokens, now - attempt.started_s)
        failed = self.failure_share > 0.0 and self._rng.random() < self.failure_share
        self._on_end(attempt, "failed" if failed else "done", now)
        self._fill_slots(now)

    def pause(self, agent: str, tool: str, policy: PausePolicy, now: float) -> None:
        """Decide what happens to an agent's KV cache during a tool pause.

        A prefix that is to be dropped stays cached until another prefix needs the memory.
        """
        settings, cache = self.engine.settings, self.engine.cache
        memory = MemoryState(
            rebuild_tokens_per_s=settings.prefill_tokens_per_s,
            transfer_tokens_per_s=settings.transfer_tokens_per_s,
            memory_tokens=settings.cache_tokens,
            free_tokens=cache.free_tokens,
            export_free_tokens=self.engine.export_free_tokens,
        )
        self._paused.pause(agent, tool, policy, now)
        if policy.decide(tool, cache.tokens(agent), memory) is PauseDecision.EXPORT:
            self.engine.export(agent)

    def _expected_wait_s(self, agent: str) -> float:
        return self._paused.expected_wait_s(agent, self._now)

    def record_departure(self, agent: str) -> None:
        """Record that an agent has moved to another endpoint or has ended."""
        self._committed_memory.pop(agent, None)
        self._paused.resume(agent)

    def release(self, agent: str) -> None:
        """Drop the memory of an agent that has ended."""
        self.record_departure(agent)
        self.engine.release(agent)

    def fail(self, now: float) -> None:
        """Simulate the loss of the engine: queued and running calls fail, the cache is empty."""
        self.alive = False
        lost = list(self._running)
        while (queued := self.queue.take(now)) is not None:
            lost.append(queued.payload)
        lost.extend(queued.payload for queued in self.queue.expire(now))
        self._running.clear()
        self._committed_memory.clear()
        self.engine.restart()
        for attempt in sorted(lost, key=lambda attempt: attempt.queued.call_id):
            self._on_end(attempt, "failed", now)

    def recover(self) -> None:
        """Make the endpoint available again, with an empty cache."""
        self.alive = True
        self._add_cache_event(CacheEventKind.CLEARED, "", 0)

    def load(self) -> tuple[int, int, int, int]:
        """Return the numbers of running calls, waiting calls, slots and waiting urgent calls."""
        slots = self.engine.settings.slots
        return self.engine.running, len(self.queue), slots, self.queue.waiting(Rank.URGENT)

    def collect_events(self) -> list[CacheEvent]:
        """Return the cache events since the last call of this method."""
        events, self._events = self._events, []
        return events

    def _record_cache_change(self, program: str, tokens: int) -> None:
        kind = CacheEventKind.STORED if tokens else CacheEventKind.REMOVED
        self._add_cache_event(kind, f"program:{program}", tokens)

    def _add_cache_event(self, kind: CacheEventKind, key: str, tokens: int) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, kind, key, tokens, self._now))
