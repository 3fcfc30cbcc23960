"""Limits calls to a partition of the store that refuses them.

An outage may affect single partitions. Each call that needs such a partition would then repeat
its attempts on every path, and a fleet would waste processor time on calls that cannot succeed.
While the gate is closed, only one call at a time makes attempts, at growing intervals. The others
wait until an attempt has succeeded.
"""

import asyncio
import contextlib
import random

import attrs
from loguru import logger

from jayvalve.internal.timing import Clock, Deadline

__all__ = ["GateSettings", "PartitionGate"]

_log = logger.bind(part="partition_gate")


@attrs.frozen
class GateSettings:
    """Backoff between attempts while the gate is closed.

    Attributes:
        initial_delay_s: Maximum delay before the second round of attempts, in seconds; it
            doubles with each further round.
        max_delay_s: Upper limit of the delay, in seconds. A turn waits 0.4 s for its first
            partition before it tries another one, so with longer delays it could miss the
            partition's recovery.

    """

    initial_delay_s: float = 0.06
    max_delay_s: float = 0.3


class PartitionGate:
    """Lets one call at a time probe a partition that refuses calls.

    Args:
        name: Topic and number of the partition, for log lines.

    """

    def __init__(self, name: str, settings: GateSettings, clock: Clock, rng: random.Random) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._attempt_rounds = 0
        self._closed_at_s = 0.0
        self._probing_call: object | None = None
        self._changed = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Whether the partition refused the most recent calls."""
        return self._attempt_rounds > 0

    @property
    def occupied(self) -> bool:
        """Whether the gate is closed and a call is already probing the partition."""
        return self.closed and self._probing_call is not None

    async def wait(self, call: object, deadline: Deadline) -> None:
        """Wait until the call may make attempts, or until its deadline."""
        while self.closed and self._probing_call not in (None, call) and not deadline.expired:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline.remaining_s):
                    await self._changed.wait()
        if self.closed and self._probing_call is None and not deadline.expired:
            self._set_probing_call(call)

    def close(self) -> None:
        """Close the gate after the partition refused a call on all paths."""
        if not self.closed:
            self._attempt_rounds = 1
            self._closed_at_s = self._clock.now()
            _log.bind(partition=self._name).info(
                "partition refuses calls; one call at a time probes it"
            )

    async def pause(self, call: object, deadline: Deadline) -> bool:
        """Wait for the backoff delay before the call makes further attempts.

        Returns:
            Whether the call may make attempts. If not, another call is probing the partition, and
            this one must wait at the gate.

        """
        if self._probing_call not in (None, call):
            return False
        self._set_probing_call(call)
        settings = self._settings
        delay_limit_s = min(
            settings.max_delay_s, settings.initial_delay_s * 2 ** min(8, self._attempt_rounds - 1)
        )
        self._attempt_rounds += 1
        # A random delay of 50% to 100% of the limit spreads the attempts of different gateways
        # and prevents immediate retries.
        delay_s = delay_limit_s * self._rng.uniform(0.5, 1.0)
        await asyncio.sleep(min(delay_s, deadline.remaining_s))
        return True

    def record_answer(self) -> None:
        """Open the gate after the partition has answered a call."""
        if self.closed:
            unavailable_s = round(self._clock.now() - self._closed_at_s, 3)
            _log.bind(partition=self._name, away_s=unavailable_s).info(
                "partition takes calls again"
            )
            self.open()

    def open(self) -> None:
        """Let all calls through, for example after the whole store has recovered."""
        self._attempt_rounds = 0
        self._probing_call = None
        self._wake_waiters()

    def release(self, call: object) -> None:
        """Let another call probe the partition after this one has ended."""
        if self._probing_call is call:
            self._probing_call = None
            self._wake_waiters()

    def _set_probing_call(self, call: object) -> None:
        self._probing_call = call
        self._changed.clear()

    def _wake_waiters(self) -> None:
        self._changed.set()
