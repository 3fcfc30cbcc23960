"""Clocks, deadlines and jitter."""

import random
import time

import attrs

__all__ = ["Clock", "Deadline", "ManualClock", "full_jitter"]


class Clock:
    """Monotonic and wall-clock time in seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that moves only when advance is called."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time of this clock, in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same value as now()."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward; negative seconds raise ValueError."""
        if seconds < 0:
            raise ValueError(f"seconds={seconds} must not be negative")
        self._now += seconds


@attrs.frozen
class Deadline:
    """A point in monotonic time after which a result is no longer useful."""

    clock: Clock
    at_s: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> "Deadline":
        """Return a deadline the given number of seconds from now."""
        return cls(clock, clock.now() + seconds)

    @property
    def remaining_s(self) -> float:
        """Seconds left, never negative."""
        return max(0.0, self.at_s - self.clock.now())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return self.clock.now() >= self.at_s


def full_jitter(rng: random.Random, attempt: int, base_s: float, cap_s: float) -> float:
    """Return a random delay in seconds between 0 and the capped exponential backoff.

    Drawing from the whole interval spreads out the retries of calls that failed together.
    """
    return rng.uniform(0.0, min(cap_s, base_s * 2.0**attempt))
