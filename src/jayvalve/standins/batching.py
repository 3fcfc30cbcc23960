"""Simulation of an engine with continuous batching, without I/O and with time as an argument."""

import heapq
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import attrs

from jayvalve.errors import InvalidSettingsError
from jayvalve.standins.prefix_cache import CacheEvent, PrefixCache
from jayvalve.standins.tokens import BLOCK_TOKENS

__all__ = ["FINISHED", "FIRST_TOKEN", "TOKEN", "ContinuousBatchEngine", "EngineCall", "EngineEvent"]

FIRST_TOKEN = "first_token"
TOKEN = "token"
FINISHED = "finished"


class EngineEvent(NamedTuple):
    """One event of a call; index is the number of tokens produced before it."""

    at_s: float
    kind: str
    call_id: str
    index: int


@attrs.define
class EngineCall:
    """One generation.

    Attributes:
        call_id: Unique name of the call.
        program: Program that the cached blocks belong to.
        blocks: Block hashes of the prompt.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Number of tokens to generate, at least 1.
        priority: Priority in the engine's queue; calls with lower numbers are admitted first.
        final_blocks: Block hashes of prompt and answer, cached when the call finishes, or None.
        cached_tokens: Prompt tokens found in the cache, set when the prefill of the call starts.

    """

    call_id: str
    program: str
    blocks: Sequence[int]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    final_blocks: Sequence[int] | None = None
    cached_tokens: int = 0


@attrs.define(eq=False)
class _Sequence:
    call: EngineCall
    produced: int = 0
    start_progress: float = 0.0
    waiting: bool = True
    cancelled: bool = False


class ContinuousBatchEngine:
    """Runs up to max_running sequences concurrently; further calls wait in priority order.

    Prompts are prefilled one after the other at prefill_tokens_per_s. All decoding sequences
    advance at the same rate, decode_tokens_per_s / (1 + batch_slowdown * (decoding - 1)), where
    decoding is the number of sequences whose prefill is complete. They share one progress counter
    in tokens, so that a call takes a few heap operations regardless of its length, unless
    token_events requests an event for each token.
    The cache takes a few operations per block; experiments with long prompts may use larger
    block_tokens.
    """

    def __init__(
        self,
        *,
        max_running: int = 32,
        prefill_tokens_per_s: float = 8000.0,
        decode_tokens_per_s: float = 60.0,
        batch_slowdown: float = 0.02,
        cache_tokens: int = 200_000,
        block_tokens: int = BLOCK_TOKENS,
        token_events: bool = False,
    ) -> None:
        if min(max_running, block_tokens, prefill_tokens_per_s, decode_tokens_per_s) <= 0:
            raise ValueError("max_running, block_tokens and the rates must be positive")
        self._max_running = max_running
        self._prefill_rate = prefill_tokens_per_s
        self._decode_rate = decode_tokens_per_s
        self._slowdown = batch_slowdown
        self._token_events = token_events
        self._cache = PrefixCache(cache_tokens, block_tokens)
        self._now = 0.0
        self._progress = 0.0
        self._insertion_order = 0
        self._wait_heap: list[tuple[int, int, _Sequence]] = []
        self._waiting = 0
        self._running = 0
        self._decoding = 0
        self._prefill_heap: list[tuple[int, int, _Sequence]] = []
        self._prefilling: _Sequence | None = None
        self._prefill_end_s = math.inf
        self._decode_heap: list[tuple[float, int, _Sequence]] = []
        self._calls: dict[str, _Sequence] = {}

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "ContinuousBatchEngine":
        """Build an engine from the constructor's arguments; bad ones raise InvalidSettingsError."""
        try:
            return cls(**config)  # type: ignore[arg-type]
        except (TypeError, ValueError) as error:
            raise InvalidSettingsError(f"engine settings: {error}") from error

    @property
    def running(self) -> int:
        """Number of sequences in the batch, including those waiting for or in prefill."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of calls not yet admitted to the batch."""
        return self._waiting

    @property
    def max_running(self) -> int:
        """Maximum number of sequences in the batch."""
        return self._max_running

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache with its counters."""
        return self._cache

    @property
    def sequence_tokens_per_s(self) -> float:
        """Current decoding rate of each sequence."""
        return self._decode_rate / (1 + self._slowdown * max(0, self._decoding - 1))

    @property
    def next_event_s(self) -> float:
        """Time of the next internal event, or infinity when idle."""
        return min(self._prefill_end_s, self._next_decode_s())

    def submit(self, call: EngineCall, now: float) -> list[EngineEvent]:
        """Queue a call; return the events up to now.

        Raises ValueError if the call_id is in use or output_tokens is below 1.
        """
        if call.call_id in self._calls:
            raise ValueError(f"call {call.call_id!r} is already in the engine")
        if call.output_tokens < 1:
            raise ValueError(f"output_tokens={call.output_tokens} must be at least 1")
        events = self.advance(now)
        sequence = _Sequence(call)
        self._calls[call.call_id] = sequence
        self._insertion_order += 1
        heapq.heappush(self._wait_heap, (call.priority, self._insertion_order, sequence))
        self._waiting += 1
        self._admit()
        return events

    def cancel(self, call_id: str, now: float) -> bool:
        """Remove a call; return False if it has ended or is unknown.

        Does not skip events due before now: time advances at most to the next pending event, so
        that the next call to advance returns it.
        """
        sequence = self._calls.pop(call_id, None)
        if sequence is None:
            return False
        self._advance_clock(min(now, self.next_event_s))
        sequence.cancelled = True
        if sequence.waiting:
            self._waiting -= 1
            return True
        self._running -= 1
        if sequence is self._prefilling:
            self._prefilling = None
            self._prefill_end_s = math.inf
            self._start_prefill()
        elif sequence.produced:
            self._decoding -= 1
        self._admit()
        return True

    def advance(self, now: float) -> list[EngineEvent]:
        """Advance to time now and return the events up to then, in order."""
        events: list[EngineEvent] = []
        while True:
            decode_s = self._next_decode_s()
            if min(decode_s, self._prefill_end_s) > now:
                break
            if self._prefill_end_s <= decode_s:
                self._finish_prefill(events)
            else:
                self._decode_step(decode_s, events)
        self._advance_clock(now)
        return events

    def export(self, program: str) -> list[int]:
        """Return the block hashes cached for program."""
        return self._cache.export(program)

    def import_blocks(self, program: str, blocks: Sequence[int], now: float) -> None:
        """Cache blocks exported by another engine, as blocks of program."""
        self._cache.store(program, blocks, now)

    def release(self, program: str, now: float) -> int:
        """Free the blocks that only program uses; return the number of tokens freed."""
        return self._cache.release(program, now)

    def cache_events(self, start: int, until_s: float) -> list[CacheEvent]:
        """Return the cache events from number start on that occurred by until_s."""
        return self._cache.events(start, until_s)

    def _next_decode_s(self) -> float:
        while self._decode_heap and self._decode_heap[0][2].cancelled:
            heapq.heappop(self._decode_heap)
        if not self._decode_heap:
            return math.inf
        remaining = max(0.0, self._decode_heap[0][0] - self._progress)
        return self._now + remaining / self.sequence_tokens_per_s

    def _advance_clock(self, now: float) -> None:
        if now > self._now:
            if self._decoding:
                self._progress += (now - self._now) * self.sequence_tokens_per_s
            self._now = now

    def _admit(self) -> None:
        while self._wait_heap and self._running < self._max_running:
            _, order, sequence = heapq.heappop(self._wait_heap)
            if sequence.cancelled:
                continue
            sequence.waiting = False
            self._waiting -= 1
            self._running += 1
            heapq.heappush(self._prefill_heap, (sequence.call.priority, order, sequence))
        if self._prefilling is None:
            self._start_prefill()

    def _start_prefill(self) -> None:
        while self._prefill_heap:
            sequence = heapq.heappop(self._prefill_heap)[2]
            if sequence.cancelled:
                continue
            call = sequence.call
            call.cached_tokens = self._cache.match(call.blocks)
            # The last prompt token is always computed, since it yields the first output token.
            uncached_tokens = max(1, call.prompt_tokens - call.cached_tokens)
            self._prefilling = sequence
            self._prefill_end_s = self._now + uncached_tokens / self._prefill_rate
            return

    def _finish_prefill(self, events: list[EngineEvent]) -> None:
        self._advance_clock(self._prefill_end_s)
        sequence, self._prefilling, self._prefill_end_s = self._prefilling, None, math.inf
        call = sequence.call
        self._cache.store(call.program, call.blocks, self._now)
        sequence.produced = 1
        sequence.start_progress = self._progress
        events.append(EngineEvent(self._now, FIRST_TOKEN, call.call_id, 0))
        self._decoding += 1
        if call.output_tokens == 1:
            self._finish(sequence, events)
        else:
            self._schedule(sequence)
        self._admit()

    def _schedule(self, sequence: _Sequence) -> None:
        last = sequence.call.output_tokens
        target = sequence.produced + 1 if self._token_events else last
        self._insertion_order += 1
        target_progress = sequence.start_progress + target - 1
        heapq.heappush(self._decode_heap, (target_progress, self._insertion_order, sequence))

    def _decode_step(self, at_s: float, events: list[EngineEvent]) -> None:
        progress, _, sequence = heapq.heappop(self._decode_heap)
        self._now = max(self._now, at_s)
        self._progress = progress
        call = sequence.call
        if not self._token_events:
            sequence.produced = call.output_tokens
            self._finish(sequence, events)
        else:
            events.append(EngineEvent(self._now, TOKEN, call.call_id, sequence.produced))
            sequence.produced += 1
            if sequence.produced >= call.output_tokens:
                self._finish(sequence, events)
            else:
                self._schedule(sequence)
        self._admit()

    def _finish(self, sequence: _Sequence, events: list[EngineEvent]) -> None:
        call = sequence.call
        del self._calls[call.call_id]
        self._running -= 1
        self._decoding -= 1
        if call.final_blocks is not None:
            self._cache.store(call.program, call.final_blocks, self._now)
        events.append(EngineEvent(self._now, FINISHED, call.call_id, call.output_tokens))
