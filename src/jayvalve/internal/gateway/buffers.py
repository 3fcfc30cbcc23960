"""Memory for answers that are held until they are complete, shared by all requests."""

from types import TracebackType
from typing import Self

__all__ = ["AnswerBuffers", "BufferShare"]

# Ordinary answers and events are far smaller, so that they never depend on other requests.
FREE_BYTES = 64 * 1024


class AnswerBuffers:
    """Bounds what all requests together hold of answers that are not complete yet.

    Args:
        limit_bytes: Maximum total size, without the first FREE_BYTES of each request.

    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb: int) -> Self:
        """Create buffers for a process that may use memory_mb MiB altogether."""
        return cls(memory_mb * 1024 * 1024 // 8)

    @property
    def used_bytes(self) -> int:
        """Size of the answers that are held, without the first FREE_BYTES of each request."""
        return self._used_bytes

    def open(self) -> "BufferShare":
        """Return the share of one request, a context manager that gives it back."""
        return BufferShare(self)

    def _take(self, size: int) -> bool:
        """Reserve bytes, or release them if size is negative; return whether they fit."""
        if size > 0 and self._used_bytes + size > self._limit_bytes:
            return False
        self._used_bytes += size
        return True


class BufferShare:
    """What one request holds."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._taken = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.resize(0)

    def resize(self, size: int) -> bool:
        """Return whether the request may hold this many bytes; if not, its share is unchanged."""
        needed = max(0, size - FREE_BYTES)
        if not self._buffers._take(needed - self._taken):
            return False
        self._taken = needed
        return True
