"""Eviction order of the prefixes of paused programs."""

from collections.abc import Iterable

from jayvalve.internal.pauses.policy import PausePolicy

__all__ = ["PausedPrefixes"]


class PausedPrefixes:
    """Paused programs of one endpoint, with the expected time to their next call.

    A prefix is evicted only when another one needs its memory. Eviction at the start of a
    pause would also discard prefixes whose memory nobody needs during the pause.
    """

    def __init__(self) -> None:
        self._paused: dict[str, tuple[PausePolicy, str, float]] = {}

    def __len__(self) -> int:
        return len(self._paused)

    def pause(self, program: str, tool: str, policy: PausePolicy, now: float) -> None:
        """Record that a program started to wait for a tool at time now."""
        self._paused[program] = (policy, tool, now)

    def resume(self, program: str) -> None:
        """Record that a program is no longer paused: it made its next call, ended or moved."""
        self._paused.pop(program, None)

    def expected_wait_s(self, program: str, now: float) -> float:
        """Return the expected time to the next call, or 0 if the program is not paused."""
        paused = self._paused.get(program)
        if paused is None:
            return 0.0
        policy, tool, paused_at = paused
        return policy.expected_remaining_s(tool, now - paused_at)

    def by_next_use(self, programs: Iterable[str], now: float) -> list[str]:
        """Return the programs sorted by expected time to their next call, longest first."""
        return sorted(
            programs, key=lambda program: self.expected_wait_s(program, now), reverse=True
        )
