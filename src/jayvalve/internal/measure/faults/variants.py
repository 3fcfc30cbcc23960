"""Variants with one deliberately broken mechanism, which the search has to catch."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from jayvalve.errors import JayvalveError
from jayvalve.internal.claims.records import Claim
from jayvalve.internal.claims.relay import ClaimRelay
from jayvalve.internal.configuration.fold import ConfigurationFold
from jayvalve.internal.entry import app as entry_app
from jayvalve.internal.entry import programs as entry_programs
from jayvalve.internal.entry.execution import CallExecution
from jayvalve.internal.programs.budget import Amount, Budget
from jayvalve.internal.programs.copy_writer import CopyWriter
from jayvalve.internal.programs.sequence import TurnSequence
from jayvalve.internal.registry import Registry
from jayvalve.internal.sidecar.app import SidecarProcess
from jayvalve.internal.sidecar.attempts import AttemptTable
from jayvalve.internal.sidecar.release import EngineMemory
from jayvalve.internal.timing import Deadline
from jayvalve.internal.wire.messages import ClaimDecision, ClaimRequest
from jayvalve.verdict import Verdict

__all__ = ["VARIANTS", "Variant"]

Patch = tuple[Any, str, Any]


@attrs.frozen
class Variant:
    """A broken mechanism, the promise that it breaks, and how it is put in place."""

    promise: str
    patches: Callable[[], list[Patch]]


VARIANTS: Registry[Variant] = Registry("broken variant")


def _variant(name: str, promise: str) -> Callable[[Callable[[], list[Patch]]], Variant]:
    def add(patches: Callable[[], list[Patch]]) -> Variant:
        return VARIANTS.register(name)(Variant(promise, patches))

    return add


@_variant("turns_in_arrival_order", "P1")
def turns_in_arrival_order() -> list[Patch]:
    """Ignore the turn numbers that callers state."""

    class ArrivalOrder(TurnSequence):
        async def run(self, call: Any, execute: Any) -> Any:
            return await super().run(attrs.evolve(call, turn=None), execute)

    return [(entry_programs, "TurnSequence", ArrivalOrder)]


@_variant("acknowledged_before_quorum", "P2")
def acknowledged_before_quorum() -> list[Patch]:
    """Take the owner's own store for a quorum and wait for no copy."""

    async def commit(self: CopyWriter, count: int, timeout_s: float) -> None:
        self._active_until_s = self._clock.now() + timeout_s

    return [(CopyWriter, "commit", commit)]


@_variant("reservations_not_held", "P3")
def reservations_not_held() -> list[Patch]:
    """Do not count open reservations as spent."""

    def recount(self: Budget) -> None:
        self._reserved = Amount()

    return [(Budget, "_recount", recount)]


@_variant("no_release_on_end", "P4")
def no_release_on_end() -> list[Patch]:
    """Confirm a release at the sidecar and free nothing."""

    async def release(self: EngineMemory, root: str) -> None:
        return None

    return [(EngineMemory, "release", release)]


@_variant("attempt_ids_without_instance", "P5")
def attempt_ids_without_instance() -> list[Patch]:
    """Use the same attempt ids in entries that start in the same millisecond."""

    class MillisecondIds:
        def __init__(self, instance: str, incarnation: int) -> None:
            self._incarnation, self._counter = incarnation, itertools.count(1)

        def next(self) -> str:
            return f"{self._incarnation}-{next(self._counter)}"

    return [(entry_app, "AttemptIds", MillisecondIds)]


@_variant("all_errors_not_run", "P6")
def all_errors_not_run() -> list[Patch]:
    """Report each call that failed as not run, whatever is known of its attempts."""
    retry_or_raise = CallExecution._retry_or_raise

    async def report(self: CallExecution, error: JayvalveError, attempt: int) -> None:
        try:
            await retry_or_raise(self, error, attempt)
        except JayvalveError as final:
            final.verdict = Verdict.NOT_RUN
            raise

    return [(CallExecution, "_retry_or_raise", report)]


@_variant("sidecar_forgets_attempts", "P7")
def sidecar_forgets_attempts() -> list[Patch]:
    """Answer at the sidecar that an attempt that it runs was never seen."""
    known_inquire = AttemptTable.inquire

    def inquire(self: AttemptTable, attempt_id: str, incarnation: int, abandon: bool) -> Any:
        with_memory, self._find = self._find, lambda parsed: None
        try:
            return known_inquire(self, attempt_id, incarnation, abandon)
        finally:
            self._find = with_memory

    return [(AttemptTable, "inquire", inquire)]


@_variant("grant_before_read_back", "P7")
def grant_before_read_back() -> list[Patch]:
    """Grant a claim as soon as the relay has appended it."""

    async def claim(self: ClaimRelay, request: ClaimRequest, deadline: Deadline) -> ClaimDecision:
        item = Claim.from_request(request)
        offset = await self._appender.append(item.as_item(), deadline)
        return ClaimDecision(
            "granted",
            offset,
            request.claim_id,
            request.attempt_id,
            request.endpoint,
            request.incarnation,
            request.attempt_number,
        )

    return [(ClaimRelay, "claim", claim)]


@_variant("work_until_exit", "P8")
def work_until_exit() -> list[Patch]:
    """Take new work at a sidecar until it exits."""

    async def drain(self: SidecarProcess) -> None:
        for _ in range(100):
            await asyncio.sleep(0.05)

    return [(SidecarProcess, "drain", drain)]


@_variant("exit_without_waiting", "P9")
def exit_without_waiting() -> list[Patch]:
    """Exit a sidecar although attempts are in progress."""

    async def drain(self: SidecarProcess) -> None:
        self._runtime.start_draining()

    return [(SidecarProcess, "drain", drain)]


@_variant("publish_ignores_parent", "P10")
def publish_ignores_parent() -> list[Patch]:
    """Accept a publish whose parent has been replaced."""

    def fault(self: ConfigurationFold, publish: Any) -> str:
        if not self._has_base or publish.publish_id == self._current.publish_id:
            return "cannot be checked"
        return ""

    return [(ConfigurationFold, "_publish_fault", fault)]
