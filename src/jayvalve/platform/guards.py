"""Memory account of a gateway process and the guards of its servers."""

import ctypes
import resource

import attrs
from tornado.httputil import HTTPServerConnectionDelegate

from jayvalve.internal.gateway.client_guard import ClientGuard, GuardLimits
from jayvalve.internal.gateway.memory import MemoryAccount, MemoryLimits, Purpose
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock
from jayvalve.platform.settings import PlatformSettings

__all__ = ["ProcessGuards"]

# Descriptors for the store, the peers, readiness and the log.
RESERVED_DESCRIPTORS = 200
# A request of a caller may need a connection to an engine as well.
DESCRIPTORS_PER_CALLER = 2
# Part of the memory that idle connections of callers may take.
CONNECTION_SHARE = 1 / 2
# Turns in memory, and one body that is copied when it is complete; both are not counted one by one.
UNCOUNTED_BYTES = (8 + 4) * 1024 * 1024
# An answer of the store that is relayed, and the copies of a body between its parts. Few processes
# use these ports.
PEER_LIMITS = GuardLimits(max_connections=100, request_bytes=512 * 1024, body_copies=3)
STATUS_LIMITS = GuardLimits(max_connections=40, request_bytes=64 * 1024, body_copies=3)
# Parameter of mallopt() and its value: blocks of at least this size get a mapping of their own.
# Otherwise glibc raises the threshold to the size of the largest block that was freed, so that
# bodies that grow in steps leave gaps in the heap.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024


@attrs.frozen
class ProcessGuards:
    """The account and what creates the guards that draw on it.

    Attributes:
        callers: Limits of the server for callers.

    """

    account: MemoryAccount
    callers: GuardLimits
    metrics: Metrics

    @classmethod
    def from_config(
        cls, settings: PlatformSettings, clock: Clock, metrics: Metrics
    ) -> "ProcessGuards":
        """Measure what the process holds at rest, and create the account for the remainder."""
        peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        resting_bytes = peak_bytes + UNCOUNTED_BYTES
        _return_large_blocks()
        limits = MemoryLimits.from_machine(
            settings.memory_mb, settings.memory_margin_mb, resting_bytes
        )
        default = GuardLimits()
        by_memory = int(limits.total_bytes * CONNECTION_SHARE) // default.connection_bytes
        descriptors = settings.file_descriptors - RESERVED_DESCRIPTORS
        by_descriptors = max(1, descriptors // DESCRIPTORS_PER_CALLER)
        callers = attrs.evolve(default, max_connections=min(by_memory, by_descriptors))
        guards = cls(MemoryAccount(limits, clock), callers, metrics)
        for purpose in Purpose:
            metrics.gauge(
                "jayvalve_gateway_held_bytes",
                lambda purpose=purpose: guards.account.held_bytes(purpose),
                "bytes held for others",
                purpose=purpose,
            )
        metrics.gauge(
            "jayvalve_gateway_held_bytes_limit",
            lambda: limits.total_bytes,
            "bytes that may be held for others",
        )
        return guards

    def for_callers(self, delegate: HTTPServerConnectionDelegate) -> ClientGuard:
        """Return the guard of the server for callers."""
        return ClientGuard(delegate, self.account, self.callers, Purpose.BODY, self.metrics)

    def for_peers(self, delegate: HTTPServerConnectionDelegate) -> ClientGuard:
        """Return the guard of the server for other gateways."""
        return ClientGuard(delegate, self.account, PEER_LIMITS, Purpose.PEER, self.metrics)

    def for_status(self, delegate: HTTPServerConnectionDelegate) -> ClientGuard:
        """Return the guard of the server for readiness and metrics."""
        return ClientGuard(delegate, self.account, STATUS_LIMITS, Purpose.PEER, self.metrics)


def _return_large_blocks() -> None:
    """Let the C library return large blocks to the system when they are freed, where it can."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
