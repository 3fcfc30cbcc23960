"""Access to the store for requests, with retries and early refusal during an outage.

All appends made here are idempotent, because readers ignore a record that they have seen before.
An append whose answer was lost is therefore repeated, even while the first one may still take
effect.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

import attrs
from loguru import logger

from jayvalve.errors import LogAnswerLostError, LogUnavailableError, UnavailableError
from jayvalve.internal.gateway.partition_gate import GateSettings, PartitionGate
from jayvalve.internal.gateway.store_paths import Page, StoreAccess, StorePath, StorePaths
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["RoundTripEstimate", "Storage", "StorageSettings"]

_log = logger.bind(part="storage")

T = TypeVar("T")


@attrs.frozen
class StorageSettings:
    """Limits of the calls made for requests.

    Attributes:
        min_timeout_s: Minimum time after which an unanswered call is repeated, in seconds.
        max_timeout_s: Maximum time after which an unanswered call is repeated, in seconds.
        max_relays: Maximum number of peers through which one call is sent between two pauses. If
            none of them reaches the store, other peers are unlikely to, and relayed calls would
            flood the fleet.
        max_partition_relays: Maximum number of such peers while the store answers other calls of
            this process. In that case the partition is more likely to be unavailable than the
            path to the store.
        max_parallel: Maximum number of attempts of one call that are pending at a time.
        silence_timeout_s: A path is considered failing when a call has waited on it for this time
            and the path has answered no other call meanwhile. A slow store answers within about
            0.3 s.
        call_timeout_s: Maximum time of a call, including the wait for an unavailable store. A
            refused caller would be asked to wait about as long. Waiting here saves it a new
            connection, and its request is served as soon as the store is available again.
        call_timeout_share: Maximum share of the remaining time that a call may take. Callers spend
            at most a third of their time limit on Retry-After delays.
        probe_interval_s: Time between two probes of a failing path, in seconds.
        probe_timeout_s: Timeout of a probe. A slow store still answers within it.
        link_bytes_per_s: Speed of this machine's link, or None if unknown. A call is not repeated
            while its records may still be in transit.
        min_retry_after_s: Minimum Retry-After of a refused caller, in seconds.
        max_retry_after_s: Maximum Retry-After of a refused caller. Callers wait for at most a third
            of their time limit.
        gate: Settings of the gate of each partition.

    """

    min_timeout_s: float = 0.06
    max_timeout_s: float = 1.0
    max_relays: int = 3
    max_partition_relays: int = 1
    max_parallel: int = 3
    silence_timeout_s: float = 0.6
    call_timeout_s: float = 1.0
    call_timeout_share: float = 0.33
    probe_interval_s: float = 0.25
    probe_timeout_s: float = 1.5
    link_bytes_per_s: float | None = None
    min_retry_after_s: float = 0.3
    max_retry_after_s: float = 1.0
    gate: GateSettings = GateSettings()


@attrs.define
class RoundTripEstimate:
    """Estimates when an answer is overdue, in the way TCP computes its retransmission timeout."""

    settings: StorageSettings
    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Record how long an answer took."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = seconds, seconds / 2
            return
        self._deviation_s += (abs(seconds - self._mean_s) - self._deviation_s) / 4
        self._mean_s += (seconds - self._mean_s) / 8

    def timeout_s(self, attempt: int) -> float:
        """Return the timeout of an attempt, counted from 0; it doubles with each attempt."""
        settings = self.settings
        base = settings.max_timeout_s / 4
        if self._mean_s is not None:
            base = self._mean_s + 4 * self._deviation_s
        return min(settings.max_timeout_s, max(settings.min_timeout_s, base) * 2**attempt)


@attrs.define(eq=False)
class _CallState(Generic[T]):
    """Attempts of one call.

    Attributes:
        pending: Path and start time of each unfinished attempt.
        attempts: Number of attempts that were started.
        transfer_s: Time that the records of the call need on this machine's link, in seconds.
        refusals: Number of attempts that certainly had no effect.
        failed_paths: Paths on which an attempt was refused or not answered; they are not used again
            before a pause.

    """

    started_s: float
    gate: PartitionGate
    wait_until_available: bool
    transfer_s: float = 0.0
    pending: dict["asyncio.Task[T]", tuple[StorePath[StoreAccess], float]] = attrs.field(
        factory=dict
    )
    attempts: int = 0
    refusals: int = 0
    failed_paths: set[StorePath[StoreAccess]] = attrs.field(factory=set)


class Storage:
    """Appends to and reads from the store, each call within a deadline."""

    def __init__(
        self,
        paths: StorePaths[StoreAccess],
        clock: Clock,
        settings: StorageSettings,
        rng: random.Random,
        probe: Callable[[StoreAccess, float], Awaitable[object]],
    ) -> None:
        self._paths = paths
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._probe = probe
        self._estimate = RoundTripEstimate(settings)
        self._unavailable_since_s: float | None = None
        self._recovered = asyncio.Event()
        self._recovered.set()
        self._on_recovery: list[Callable[[], None]] = []
        self._gates: dict[tuple[str, int], PartitionGate] = {}

    @property
    def available(self) -> bool:
        """Whether the store can be reached on at least one path."""
        return self._unavailable_since_s is None

    @property
    def retry_timeout_s(self) -> float:
        """Timeout of a second attempt, estimated from recent answers."""
        return self._estimate.timeout_s(1)

    @property
    def retry_after_s(self) -> float:
        """Retry-After of a refused caller: the duration of the outage so far, within bounds."""
        settings = self._settings
        if self._unavailable_since_s is None:
            return settings.min_retry_after_s
        outage_s = self._clock.now() - self._unavailable_since_s
        return min(settings.max_retry_after_s, max(settings.min_retry_after_s, outage_s))

    def store_deadline(self, deadline: Deadline) -> Deadline:
        """Return the time until which a request may wait for a store that does not answer."""
        return self._call_deadline(deadline, None)

    def on_recovery(self, callback: Callable[[], None]) -> None:
        """Register a callback for each time the store becomes available again."""
        self._on_recovery.append(callback)

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        deadline: Deadline,
        call_timeout_s: float | None = None,
        wait_until_available: bool = True,
    ) -> int:
        """Append records at least once and return the offset of one of the appends.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            records: Records to append.
            deadline: Deadline of the whole call.
            call_timeout_s: Maximum time of the call; the default follows from the settings.
            wait_until_available: Whether the call waits while the partition or the store refuses
                it. Code that can use another partition does not wait.

        Raises:
            LogUnavailableError: Nothing was appended.
            LogAnswerLostError: The records may have been appended, or may still be appended later.

        """
        return await self._call_until_answered(
            lambda client, timeout_s: client.append(topic, partition, records, timeout_s),
            self._call_deadline(deadline, call_timeout_s),
            self._gate(topic, partition),
            wait_until_available,
            self._transfer_s(sum(map(len, records))),
        )

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        deadline: Deadline,
        call_timeout_s: float | None = None,
        wait_until_available: bool = True,
        max_bytes: int | None = None,
    ) -> Page:
        """Return the records of a partition from an offset on, or the first part of them.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            start: Offset of the first record.
            deadline: Deadline of the whole call.
            call_timeout_s: Maximum time of the call; the default follows from the settings.
            wait_until_available: Whether the call waits while the partition or the store refuses
                it.
            max_bytes: Maximum size of the records, in bytes; the first one is returned even if it
                is larger. By default, the limit of the store.

        Raises:
            LogUnavailableError: The records could not be read.

        """
        try:
            return await self._call_until_answered(
                lambda client, timeout_s: client.read(
                    topic, partition, start, timeout_s, max_bytes=max_bytes
                ),
                self._call_deadline(deadline, call_timeout_s),
                self._gate(topic, partition),
                wait_until_available,
                self._transfer_s(max_bytes or 0),
            )
        except LogAnswerLostError as error:
            raise LogUnavailableError(error.message, retry_after_s=error.retry_after_s) from error

    async def run(self) -> None:
        """Probe failing paths until cancelled."""
        probes: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self._settings.probe_interval_s)
            targets = [] if self._paths.direct_usable else [self._paths.direct]
            if not self.available:
                relay = self._paths.pick()
                targets += [relay] if relay is not None else []
            for path in targets:
                task = asyncio.ensure_future(self._probe_path(path))
                probes.add(task)
                task.add_done_callback(probes.discard)

    async def _probe_path(self, path: StorePath[StoreAccess]) -> None:
        try:
            await self._probe(path.client, self._settings.probe_timeout_s)
        except UnavailableError as error:
            self._paths.record_failure(path, error.message)
            return
        self._record_answer(path)

    def _call_deadline(self, deadline: Deadline, call_timeout_s: float | None) -> Deadline:
        """Return the deadline of a call to the store, at most that of its request."""
        if call_timeout_s is None:
            share_s = self._settings.call_timeout_share * deadline.remaining_s
            call_timeout_s = min(self._settings.call_timeout_s, share_s)
        return Deadline.after(self._clock, min(call_timeout_s, deadline.remaining_s))

    def _transfer_s(self, size: int) -> float:
        """Return the time to transfer records, allowing for as much other traffic on the link."""
        link_bytes_per_s = self._settings.link_bytes_per_s
        return 2 * size / link_bytes_per_s if link_bytes_per_s else 0.0

    def _gate(self, topic: str, partition: int) -> PartitionGate:
        gate = self._gates.get((topic, partition))
        if gate is None:
            gate = self._gates[topic, partition] = PartitionGate(
                f"{topic}/{partition}", self._settings.gate, self._clock, self._rng
            )
        return gate

    async def _call_until_answered(
        self,
        call: Callable[[StoreAccess, float], Awaitable[T]],
        deadline: Deadline,
        gate: PartitionGate,
        wait_until_available: bool,
        transfer_s: float,
    ) -> T:
        state: _CallState[T] = _CallState(self._clock.now(), gate, wait_until_available, transfer_s)
        try:
            while True:
                if wait_until_available:
                    await self._wait_for_recovery(deadline.remaining_s)
                    await gate.wait(state, deadline)
                elif not self.available or gate.occupied:
                    raise self._failure_error(state)
                if deadline.expired:
                    raise self._failure_error(state)
                if not self.available:
                    continue
                result = await self._make_attempts(call, deadline, state)
                if result is not None:
                    return result
                if not wait_until_available:
                    raise self._failure_error(state)
        finally:
            gate.release(state)
            for task in state.pending:
                task.cancel()

    async def _wait_for_recovery(self, seconds: float) -> None:
        if not self.available and seconds > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._recovered.wait()

    def _failure_error(self, state: _CallState[T]) -> UnavailableError:
        # A call whose attempts were all refused has had no effect and will have none later.
        had_no_effect = state.refusals == state.attempts
        error_class = LogUnavailableError if had_no_effect else LogAnswerLostError
        return error_class(
            "the call to the store did not succeed", retry_after_s=self.retry_after_s
        )

    async def _make_attempts(
        self,
        call: Callable[[StoreAccess, float], Awaitable[T]],
        deadline: Deadline,
        state: _CallState[T],
    ) -> T | None:
        """Make attempts until one succeeds; return None if no further attempt is possible now.

        That is the case while the store is unavailable, while another call makes the attempts for
        the partition, or after one round of attempts if the call does not wait.

        Raises:
            UnavailableError: The deadline has expired.

        """
        while self.available and not deadline.expired:
            self._start_attempt(call, deadline, state)
            timeout_s = min(
                self._estimate.timeout_s(max(0, state.attempts - 1)) + state.transfer_s,
                deadline.remaining_s,
            )
            if not state.pending:
                if not self.available:
                    return None
                state.failed_paths.clear()
                state.gate.close()
                if not state.wait_until_available or not await state.gate.pause(state, deadline):
                    return None
                continue
            done, _ = await asyncio.wait(
                state.pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            result = self._collect(state, done)
            if result is not None:
                return result
            self._record_silent_paths(state)
            self._check_paths()
        if not self.available:
            return None
        raise self._failure_error(state)

    def _start_attempt(
        self,
        call: Callable[[StoreAccess, float], Awaitable[T]],
        deadline: Deadline,
        state: _CallState[T],
    ) -> None:
        if len(state.pending) >= self._settings.max_parallel:
            return
        pending_paths = {path for path, _ in state.pending.values()}
        relays = {
            candidate
            for candidate in pending_paths | state.failed_paths
            if candidate is not self._paths.direct
        }
        path = None
        if len(relays) < self._max_relays():
            path = self._paths.pick(pending_paths | state.failed_paths)
        if path is None and not state.failed_paths:
            # No unused path is allowed, but the answer of a pending attempt may be lost. Repeats
            # the call on a usable path, often the same one, over another connection.
            path = self._paths.pick()
        if path is None:
            answer_possible = any(
                pending_path.failing_since_s is None for pending_path in pending_paths
            )
            if not self._paths.direct_usable and not answer_possible:
                self._mark_unavailable("no path is left")
            return
        state.attempts += 1
        task = asyncio.ensure_future(call(path.client, max(0.05, deadline.remaining_s)))
        state.pending[task] = (path, self._clock.now())

    def _max_relays(self) -> int:
        if self._paths.direct_answered_recently:
            return self._settings.max_partition_relays
        return self._settings.max_relays

    def _collect(self, state: _CallState[T], done: set["asyncio.Task[T]"]) -> T | None:
        for task in done:
            path, started_s = state.pending.pop(task)
            error = task.exception()
            if error is None:
                elapsed_s = self._clock.now() - started_s
                self._estimate.observe(max(0.0, elapsed_s - state.transfer_s))
                self._record_answer(path)
                self._record_silent_paths(state)
                state.gate.record_answer()
                return task.result()
            if not isinstance(error, UnavailableError):
                state.gate.record_answer()
                raise error
            if isinstance(error, LogUnavailableError):
                state.refusals += 1
            state.failed_paths.add(path)
            self._paths.record_failure(path, error.message)
        return None

    def _record_silent_paths(self, state: _CallState[T]) -> None:
        """Record a failure of each path on which this call has waited too long."""
        now = self._clock.now()
        for path, started_s in state.pending.values():
            # The path may have answered calls for other partitions meanwhile.
            waited_s = now - max(started_s, path.succeeded_s)
            if waited_s >= self._settings.silence_timeout_s and path.failing_since_s is None:
                self._paths.record_failure(path, f"silent for {waited_s:.2f} s", certain=True)

    def _check_paths(self) -> None:
        """Mark the store as unavailable if no path is left, before a call reports its failure."""
        if not self._paths.direct_usable and self._paths.pick() is None:
            self._mark_unavailable("no path is left")

    def _record_answer(self, path: StorePath[StoreAccess]) -> None:
        self._paths.record_success(path)
        if self._unavailable_since_s is not None:
            outage_s = self._clock.now() - self._unavailable_since_s
            _log.bind(away_s=round(outage_s, 3), path=path.name).info("the store answers again")
            self._unavailable_since_s = None
            self._recovered.set()
            for gate in self._gates.values():
                gate.open()
            for callback in self._on_recovery:
                callback()

    def _mark_unavailable(self, reason: str) -> None:
        if self._unavailable_since_s is None:
            self._unavailable_since_s = self._clock.now()
            self._recovered.clear()
            _log.bind(reason=reason).warning("the store is away; requests that depend on it wait")
