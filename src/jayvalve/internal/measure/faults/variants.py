"""Variants with one deliberately broken mechanism, which the search must detect."""

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
    """A broken mechanism: the promise that it violates and the patches that install it."""

    promise: str
    patches: Callable[[], list[Patch]]


VARIANTS: Registry[Variant] = Registry("broken variant")


def _register_variant(name: str, promise: str) -> Callable[[Callable[[], list[Patch]]], Variant]:
    def register(patches: Callable[[], list[Patch]]) -> Variant:
        return VARIANTS.register(name)(Variant(promise, patches))

    return register


@_register_variant("turns_in_arrival_order", "P1")
def turns_in_arrival_order() -> list[Patch]:
    """Ignore the turn numbers that callers send."""

    class ArrivalOrder(TurnSequence):
        async def run(self, call: Any, execute: Any) -> Any:
            return await super().run(attrs.evolve(call, turn=None), execute)

    return [(entry_programs, "TurnSequence", ArrivalOrder)]


@_register_variant("acknowledged_before_quorum", "P2")
def acknowledged_before_quorum() -> list[Patch]:
    """Treat the owner's own store as a quorum and do not wait for any copy."""

    async def commit(self: CopyWriter, count: int, timeout_s: float) -> None:
        self._active_until_s = self._clock.now() + timeout_s

    return [(CopyWriter, "commit", commit)]


@_register_variant("reservations_not_held", "P3")
def reservations_not_held() -> list[Patch]:
    """Do not count open reservations as spent."""

    def recount(self: Budget) -> None:
        self._reserved = Amount()

    return [(Budget, "_recount", recount)]


@_register_variant("no_release_on_end", "P4")
def no_release_on_end() -> list[Patch]:
    """Confirm a release at the sidecar without releasing any memory."""

    async def release(self: EngineMemory, root: str) -> None:
        return None

    return [(EngineMemory, "release", release)]


@_register_variant("attempt_ids_without_instance", "P5")
def attempt_ids_without_instance() -> list[Patch]:
    """Omit the instance, so that entries started in the same millisecond share attempt ids."""

    class MillisecondIds:
        def __init__(self, instance: str, incarnation: int) -> None:
            self._incarnation, self._counter = incarnation, itertools.count(1)

        def next(self) -> str:
            return f"{self._incarnation}-{next(self._counter)}"

    return [(entry_app, "AttemptIds", MillisecondIds)]


@_register_variant("all_errors_not_run", "P6")
def all_errors_not_run() -> list[Patch]:
    """Report each failed call as not run, regardless of its attempts."""
    original_retry_or_raise = CallExecution._retry_or_raise

    async def report_not_run(self: CallExecution, error: JayvalveError, attempt: int) -> None:
        try:
            await original_retry_or_raise(self, error, attempt)
        except JayvalveError as final_error:
            final_error.verdict = Verdict.NOT_RUN
            raise

    return [(CallExecution, "_retry_or_raise", report_not_run)]


@_register_variant("sidecar_forgets_attempts", "P7")
def sidecar_forgets_attempts() -> list[Patch]:
    """Report every attempt as unknown at the sidecar, even one that is running."""
    original_inquire = AttemptTable.inquire

    def inquire(self: AttemptTable, attempt_id: str, incarnation: int, abandon: bool) -> Any:
        original_find, self._find = self._find, lambda parsed: None
        try:
            return original_inquire(self, attempt_id, incarnation, abandon)
        finally:
            self._find = original_find

    return [(AttemptTable, "inquire", inquire)]


@_register_variant("grant_before_read_back", "P7")
def grant_before_read_back() -> list[Patch]:
    """Grant a claim once the relay has appended it, without reading it back."""

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


@_register_variant("work_until_exit", "P8")
def work_until_exit() -> list[Patch]:
    """Accept new work at a sidecar until it exits."""

    async def drain(self: SidecarProcess) -> None:
        for _ in range(100):
            await asyncio.sleep(0.05)

    return [(SidecarProcess, "drain", drain)]


@_register_variant("exit_without_waiting", "P9")
def exit_without_waiting() -> list[Patch]:
    """Exit a sidecar while attempts are in progress."""

    async def drain(self: SidecarProcess) -> None:
        self._runtime.start_draining()

    return [(SidecarProcess, "drain", drain)]


@_register_variant("publish_ignores_parent", "P10")
def publish_ignores_parent() -> list[Patch]:
    """Accept a publish whose parent is no longer the current version."""

    def fault(self: ConfigurationFold, publish: Any) -> str:
        if not self._has_base or publish.publish_id == self._current.publish_id:
            return "cannot be checked"
        return ""

    return [(ConfigurationFold, "_publish_fault", fault)]
