"""Bounded prefix cache of one engine, which records an event for each change."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from jayvalve.standins.tokens import BLOCK_TOKENS

__all__ = ["CacheEvent", "PrefixCache"]

MAX_KEPT_EVENTS = 10_000
# Bounds the memory for evicted hashes, which only serve to distinguish rebuilt tokens from new
# ones.
MAX_KEPT_EVICTED_HASHES = 1_000_000


class CacheEvent(NamedTuple):
    """One change of the cache; sequence numbers increase by one."""

    sequence: int
    at_s: float
    kind: str
    program: str
    blocks: tuple[int, ...]


class PrefixCache:
    """LRU cache of block hashes that tracks which programs use each block.

    Blocks of a running sequence are not pinned: a cache smaller than the running sequences
    evicts their blocks, as if the engine had preempted them.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int = BLOCK_TOKENS) -> None:
        self._block_tokens = block_tokens
        self._capacity_blocks = capacity_tokens // block_tokens
        self._blocks: OrderedDict[int, set[str]] = OrderedDict()
        self._programs: dict[str, set[int]] = {}
        self._evicted_hashes: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._next_sequence = 0
        self.cached_tokens = 0
        self.rebuilt_tokens = 0
        self.evicted_tokens = 0

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return len(self._blocks) * self._block_tokens

    @property
    def programs(self) -> dict[str, int]:
        """Number of cached tokens of each program; shared blocks count for each of its users."""
        return {name: len(blocks) * self._block_tokens for name, blocks in self._programs.items()}

    def match(self, blocks: Sequence[int]) -> int:
        """Return the number of leading tokens in the cache.

        Adds them to cached_tokens, and the evicted ones among the rest to rebuilt_tokens.
        """
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            matched += 1
        rebuilt = sum(block in self._evicted_hashes for block in blocks[matched:])
        self.cached_tokens += matched * self._block_tokens
        self.rebuilt_tokens += rebuilt * self._block_tokens
        return matched * self._block_tokens

    def store(self, program: str, blocks: Sequence[int], now: float) -> None:
        """Cache blocks for program, and evict the least recently used ones if needed."""
        program_blocks = self._programs.setdefault(program, set())
        added: list[int] = []
        # The last block is touched first, so that a prefix is evicted from its end.
        for block in reversed(blocks):
            users = self._blocks.get(block)
            if users is None:
                users = self._blocks[block] = set()
                self._evicted_hashes.pop(block, None)
                added.append(block)
            else:
                self._blocks.move_to_end(block)
            users.add(program)
            program_blocks.add(block)
        if added:
            self._emit("stored", program, added[::-1], now)
        self._evict(now)
        if program in self._programs and not self._programs[program]:
            del self._programs[program]

    def export(self, program: str) -> list[int]:
        """Return the block hashes cached for program, most recently used first."""
        program_blocks = self._programs.get(program, set())
        return [block for block in reversed(self._blocks) if block in program_blocks]

    def release(self, program: str, now: float) -> int:
        """Drop the blocks that only program uses; return the number of tokens freed."""
        removed = []
        for block in self._programs.pop(program, ()):
            users = self._blocks[block]
            users.discard(program)
            if not users:
                del self._blocks[block]
                removed.append(block)
        if removed:
            self._emit("removed", program, removed, now)
        return len(removed) * self._block_tokens

    def clear(self, now: float) -> None:
        """Drop all blocks, as an engine does when it unloads a model."""
        for program in list(self._programs):
            self.release(program, now)

    def events(self, start: int, until_s: float) -> list[CacheEvent]:
        """Return the recorded events from number start on that occurred by until_s."""
        if start >= self._next_sequence:
            return []
        return [e for e in self._events if e.sequence >= start and e.at_s <= until_s]

    def _evict(self, now: float) -> None:
        removed = []
        while len(self._blocks) > self._capacity_blocks:
            block, users = self._blocks.popitem(last=False)
            for program in users:
                program_blocks = self._programs[program]
                program_blocks.discard(block)
                if not program_blocks:
                    del self._programs[program]
            self._evicted_hashes[block] = None
            removed.append(block)
        while len(self._evicted_hashes) > MAX_KEPT_EVICTED_HASHES:
            self._evicted_hashes.popitem(last=False)
        if removed:
            self.evicted_tokens += len(removed) * self._block_tokens
            self._emit("removed", "", removed, now)

    def _emit(self, kind: str, program: str, blocks: list[int], now: float) -> None:
        event = CacheEvent(self._next_sequence, now, kind, program, tuple(blocks))
        self._events.append(event)
        self._next_sequence += 1
