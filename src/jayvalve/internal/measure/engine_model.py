"""Model of an engine with continuous batching and a prefix cache, in virtual time."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

__all__ = ["ContinuousBatch", "EngineSettings", "PrefixCache", "StartedCall"]


@attrs.frozen
class EngineSettings:
    """Size and rates of an engine.

    Attributes:
        slots: Maximum number of calls in the batch.
        prefill_tokens_per_s: Rate of the whole engine; prompts are computed one at a time.
        decode_tokens_per_s: Rate of each call in the batch.
        cache_tokens: KV memory in tokens, shared by running calls and cached prefixes.
        export_tokens: Capacity for exported prefixes outside the engine.
        transfer_tokens_per_s: Rate of export and import.

    """

    slots: int = 8
    prefill_tokens_per_s: float = 6_000.0
    decode_tokens_per_s: float = 40.0
    cache_tokens: int = 160_000
    export_tokens: int = 0
    transfer_tokens_per_s: float = 200_000.0


class PrefixCache:
    """Bounded cache of one prefix per program; the least recently used one is truncated first.

    In the simulation the ``program`` argument is the name of an agent, because each agent has its
    own prefix.

    Args:
        capacity: Maximum number of cached tokens over all programs.
        next_use: Returns the time of a program's next use or the expected wait until then; only
            the order matters. If given, the prefix whose next use is furthest away is truncated
            first.
        on_change: Called with a program and its cached tokens after each change, except by
            ``clear``.

    """

    def __init__(
        self,
        capacity: int,
        next_use: Callable[[str], float] | None = None,
        on_change: Callable[[str, int], None] | None = None,
    ) -> None:
        self._capacity = capacity
        self._next_use = next_use
        self._on_change = on_change or (lambda program, tokens: None)
        self._entries: OrderedDict[str, int] = OrderedDict()
        self._pinned: set[str] = set()
        self._used = 0

    @property
    def used_tokens(self) -> int:
        """Tokens cached, including those of running calls."""
        return self._used

    @property
    def free_tokens(self) -> int:
        """Tokens that can be stored before anything is evicted."""
        return max(0, self._capacity - self._used)

    def tokens(self, program: str) -> int:
        """Return the cached tokens of a program."""
        return self._entries.get(program, 0)

    def evictable(self) -> list[tuple[str, int]]:
        """Return the programs that may be evicted, least recently used first."""
        return [(p, t) for p, t in self._entries.items() if p not in self._pinned]

    def pin(self, program: str) -> None:
        """Protect the prefix of a running call from eviction."""
        self._pinned.add(program)

    def unpin(self, program: str) -> None:
        """Allow eviction of the prefix again."""
        self._pinned.discard(program)

    def store(self, program: str, tokens: int) -> None:
        """Set the cached tokens of a program and evict others to make room."""
        self._used += tokens - self._entries.get(program, 0)
        self._entries[program] = tokens
        self._entries.move_to_end(program)
        self._on_change(program, tokens)
        if self._used > self._capacity:
            self._evict(program)

    def remove(self, program: str) -> int:
        """Drop a program's prefix and return its tokens."""
        tokens = self._entries.pop(program, 0)
        self._used -= tokens
        if tokens:
            self._on_change(program, 0)
        return tokens

    def clear(self) -> None:
        """Drop all prefixes and pins without calling ``on_change``, as after a restart."""
        self._entries.clear()
        self._pinned.clear()
        self._used = 0

    def _evict(self, stored: str) -> None:
        victims = [p for p in self._entries if p not in self._pinned and p != stored]
        if self._next_use is not None:
            victims.sort(key=self._next_use, reverse=True)
        for victim in victims:
            excess = self._used - self._capacity
            if excess <= 0:
                return
            remaining = max(0, self._entries[victim] - excess)
            self._used -= self._entries[victim] - remaining
            if remaining:
                self._entries[victim] = remaining
            else:
                del self._entries[victim]
            self._on_change(victim, remaining)


@attrs.frozen
class StartedCall:
    """Finish time and computed tokens of a call, both known when it starts.

    Attributes:
        finish_s: Virtual time at which the call ends.
        computed_tokens: Prompt tokens that were not cached.

    """

    finish_s: float
    computed_tokens: int


class ContinuousBatch:
    """Runs up to ``slots`` calls at the same time."""

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self._settings = settings
        self._cache = cache
        self._exported: dict[str, int] = {}
        self._prefill_free_s = 0.0
        self._running = 0
        self._slowdown = 1.0

    @property
    def settings(self) -> EngineSettings:
        """Size and rates of the engine."""
        return self._settings

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache."""
        return self._cache

    @property
    def running(self) -> int:
        """Number of calls in the batch."""
        return self._running

    @property
    def export_free_tokens(self) -> int:
        """Free capacity for exported prefixes, in tokens."""
        return self._settings.export_tokens - sum(self._exported.values())

    def set_slowdown(self, factor: float) -> None:
        """Slow down calls that start from now on by a factor."""
        self._slowdown = factor

    def start(
        self, program: str, prefix_tokens: int, new_tokens: int, output_tokens: int, now: float
    ) -> StartedCall:
        """Add a call to the batch; the caller must check that a slot is free."""
        import_s = self._import(program)
        cached_tokens = min(self._cache.tokens(program), prefix_tokens)
        computed_tokens = prefix_tokens + new_tokens - cached_tokens
        self._cache.pin(program)
        self._cache.store(program, prefix_tokens + new_tokens + output_tokens)
        begin_s = max(now + import_s, self._prefill_free_s)
        prefill_s = computed_tokens * self._slowdown / self._settings.prefill_tokens_per_s
        self._prefill_free_s = begin_s + prefill_s
        decode_s = output_tokens * self._slowdown / self._settings.decode_tokens_per_s
        self._running += 1
        return StartedCall(begin_s + prefill_s + decode_s, computed_tokens)

    def finish(self, program: str) -> None:
        """Remove a call from the batch; its prefix stays cached."""
        self._running -= 1
        self._cache.unpin(program)

    def export(self, program: str) -> None:
        """Move a program's prefix out of the engine's memory, if it fits."""
        if self._cache.tokens(program) <= self.export_free_tokens:
            self._exported[program] = self._cache.remove(program)

    def release(self, program: str) -> None:
        """Drop the cached and the exported prefix of a program."""
        self._cache.remove(program)
        self._exported.pop(program, None)

    def restart(self) -> None:
        """Clear the batch, the cache and the exported prefixes."""
        self._cache.clear()
        self._exported.clear()
        self._prefill_free_s = 0.0
        self._running = 0

    def _import(self, program: str) -> float:
        tokens = self._exported.pop(program, 0)
        if not tokens:
            return 0.0
        self._cache.store(program, tokens)
        return tokens / self._settings.transfer_tokens_per_s
