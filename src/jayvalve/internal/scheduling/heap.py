"""Heap that supports the removal of any item."""

import heapq
from typing import Any, Generic, TypeVar

__all__ = ["LazyHeap"]

T = TypeVar("T")

# Up to this number of entries, the removed ones are kept: rebuilding so small a heap to drop them
# is not worthwhile.
MIN_COMPACTION = 64


class LazyHeap(Generic[T]):
    """Maps distinct items to keys and finds the item with the smallest key.

    ``push``, ``discard`` and ``pop`` take O(log n) amortised time: a replaced or removed entry
    stays in the list until it reaches the top or until such entries are in the majority.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[Any, int, T]] = []
        self._serials: dict[T, int] = {}
        self._next_serial = 0

    def __len__(self) -> int:
        return len(self._serials)

    def __contains__(self, item: T) -> bool:
        return item in self._serials

    def push(self, key: Any, item: T) -> None:
        """Add the item, or change its key."""
        self._next_serial += 1
        self._serials[item] = self._next_serial
        heapq.heappush(self._heap, (key, self._next_serial, item))
        self._compact()

    def discard(self, item: T) -> bool:
        """Remove the item; return whether it was present."""
        if self._serials.pop(item, None) is None:
            return False
        self._compact()
        return True

    def peek(self) -> tuple[Any, T] | None:
        """Return the smallest key and its item, or None if the heap is empty."""
        while self._heap:
            key, serial, item = self._heap[0]
            if self._serials.get(item) == serial:
                return key, item
            heapq.heappop(self._heap)
        return None

    def pop(self) -> tuple[Any, T] | None:
        """Remove and return the smallest key and its item, or None if the heap is empty."""
        top = self.peek()
        if top is not None:
            heapq.heappop(self._heap)
            del self._serials[top[1]]
        return top

    def _compact(self) -> None:
        if len(self._heap) > max(MIN_COMPACTION, 2 * len(self._serials)):
            self._heap = [e for e in self._heap if self._serials.get(e[2]) == e[1]]
            heapq.heapify(self._heap)
