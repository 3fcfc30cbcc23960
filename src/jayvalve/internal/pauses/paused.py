"""Order in which paused prefixes are dropped when memory runs out."""

from collections.abc import Iterable

from jayvalve.internal.pauses.policy import PausePolicy

__all__ = ["PausedPrefixes"]


class PausedPrefixes:
    """Paused programs at one endpoint and when their next call is expected.

    A prefix is dropped only when another one needs its memory. Dropping at the start of a
    pause wastes prefixes that would have stayed unharmed.
    """

    def __init__(self) -> None:
        self._paused: dict[str, tuple[PausePolicy, str, float]] = {}

    def __len__(self) -> int:
        return len(self._paused)

    def pause(self, program: str, tool: str, policy: PausePolicy, now: float) -> None:
        """Record that a program waits for a tool."""
        self._paused[program] = (policy, tool, now)

    def resume(self, program: str) -> None:
        """Record that a program's next call has come, or that it has ended or moved."""
        self._paused.pop(program, None)

    def expected_wait_s(self, program: str, now: float) -> float:
        """Return the expected time to the next call; 0 for a program that is not paused."""
        paused = self._paused.get(program)
        if paused is None:
            return 0.0
        policy, tool, since_s = paused
        return policy.expected_remaining_s(tool, now - since_s)

    def by_next_use(self, programs: Iterable[str], now: float) -> list[str]:
        """Return the programs with the latest expected call first."""
        return sorted(
            programs, key=lambda program: self.expected_wait_s(program, now), reverse=True
        )
