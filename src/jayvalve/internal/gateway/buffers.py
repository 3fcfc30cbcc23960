"""Memory for answers that are held until they are complete, shared by all requests."""

from types import TracebackType
from typing import Self

from jayvalve.internal.gateway.memory import MemoryAccount, MemoryShare, Purpose

__all__ = ["AnswerBuffers", "BufferShare", "HistoryShare"]

# Ordinary answers and events are far smaller, so that they never depend on other requests.
FREE_BYTES = 64 * 1024


class AnswerBuffers:
    """Bounds what all requests together hold of answers that are not complete yet.

    Args:
        limit_bytes: Maximum total size, without the first FREE_BYTES of each request.
        account: Account of the process that counts the whole size of the answers, or None.

    """

    def __init__(self, limit_bytes: int, account: MemoryAccount | None = None) -> None:
        self._limit_bytes = limit_bytes
        self._account = account
        self._used_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb: int, account: MemoryAccount | None = None) -> Self:
        """Create buffers for a process that may use memory_mb MiB altogether."""
        return cls(memory_mb * 1024 * 1024 // 8, account)

    @property
    def account(self) -> MemoryAccount | None:
        """Account of the process."""
        return self._account

    @property
    def used_bytes(self) -> int:
        """Size of the answers that are held, without the first FREE_BYTES of each request."""
        return self._used_bytes

    def open(self) -> "BufferShare":
        """Return the share of one request, a context manager that gives it back."""
        return BufferShare(self)

    def open_history(self) -> "HistoryShare":
        """Return the share of a request of a kept turn."""
        return HistoryShare(self._account)

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
        account = buffers.account
        self._share = None if account is None else account.open(Purpose.ANSWER)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.resize(0)
        if self._share is not None:
            self._share.close()

    def resize(self, size: int) -> bool:
        """Return whether the request may hold this many bytes; if not, its share is unchanged."""
        needed = max(0, size - FREE_BYTES)
        delta = needed - self._taken
        if not self._buffers._take(delta):
            return False
        if self._share is not None and not self._count(size, delta > 0):
            self._buffers._take(-delta)
            return False
        self._taken = needed
        return True

    def _count(self, size: int, limited: bool) -> bool:
        """Count the answer; its first FREE_BYTES count as well, but depend on nothing."""
        if limited:
            return self._buffers.account.make_room(self._share, size)
        self._share.force(size)
        return True


class HistoryShare:
    """What a request of a kept turn holds besides its body and its answer.

    That is the preceding turns, and the records while the turn is stored.
    """

    def __init__(self, account: MemoryAccount | None) -> None:
        self._account = account
        self._share: MemoryShare | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._share is not None:
            self._share.close()

    def resize(self, size: int) -> bool:
        """Return whether the request may hold this many bytes; if not, its share is unchanged."""
        if self._account is None:
            return True
        if self._share is None:
            self._share = self._account.open(Purpose.TURN)
        return self._account.make_room(self._share, size)
