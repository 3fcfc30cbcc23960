"""What gateways share: limits and departures of engines, requests that end them, and quotas."""

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Self

import attrs

from jayvalve.internal.gateway.coordinators import Coordinators
from jayvalve.internal.gateway.crash_records import CrashRecords, CrashSettings
from jayvalve.internal.gateway.crashes import CRASH_NOTICES, CrashDetector
from jayvalve.internal.gateway.departures import (
    DEPARTURE_NOTICES,
    Departures,
    DepartureSettings,
)
from jayvalve.internal.gateway.engine_limits import EngineLimits, LimitSettings
from jayvalve.internal.gateway.http_client import HttpPool
from jayvalve.internal.gateway.in_hand import InHandSettings, RequestsInHand
from jayvalve.internal.gateway.limit_messages import LIMIT_NOTICES, LimitMessages
from jayvalve.internal.gateway.notices import NoticeSettings, RepeatedNotices
from jayvalve.internal.gateway.peer_calls import PeerCalls
from jayvalve.internal.gateway.permits import PermitSettings, SendPermits
from jayvalve.internal.gateway.quota_bucket import BucketSettings, QuotaBounds
from jayvalve.internal.gateway.quota_contacts import ContactSettings, FleetContacts
from jayvalve.internal.gateway.quota_coordinator import QuotaCoordinator
from jayvalve.internal.gateway.quotas import OrganisationQuotas, QuotaSettings
from jayvalve.internal.gateway.trials import RequestTrials, TrialSettings
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock

__all__ = ["FleetMembers", "FleetState", "QuotaClock"]

Address = tuple[str, int]


@attrs.frozen
class FleetMembers:
    """View of one gateway of the fleet.

    Attributes:
        own: Address at which other gateways reach it.
        live: Returns the addresses of the gateways heard from recently.
        targets: Returns the addresses of the gateways that get notices.
        known: Returns the number of registered gateways, including itself, or None if the
            register has not been read yet.

    """

    own: Address
    live: Callable[[], Iterable[Address]]
    targets: Callable[[], Iterable[Address]]
    known: Callable[[], int | None]


@attrs.frozen
class QuotaClock:
    """What the quotas of organisations are measured by.

    Attributes:
        boot_time: Clock in seconds that counts the time for which the process was suspended.
        bounds: How far the requests in a window may exceed a limit.

    """

    boot_time: Callable[[], float]
    bounds: QuotaBounds


@attrs.frozen
class FleetState:
    """Parts that keep the shared state of one gateway up to date."""

    coordinators: Coordinators
    departures: Departures
    limits: EngineLimits
    permits: SendPermits
    crash_records: CrashRecords
    in_hand: RequestsInHand
    crashes: CrashDetector
    trials: RequestTrials
    notices: Mapping[str, RepeatedNotices]
    quota_contacts: FleetContacts
    quota_coordinator: QuotaCoordinator
    quotas: OrganisationQuotas

    @classmethod
    def from_config(
        cls,
        members: FleetMembers,
        calls: PeerCalls,
        engine_pool: HttpPool,
        clock: Clock,
        metrics: Metrics,
        quota_clock: QuotaClock,
    ) -> Self:
        """Create all parts with their default settings, and connect them."""
        notices: dict[str, RepeatedNotices] = {}

        def add_notices(kind: str, items: Any, on_items: Any) -> None:
            notices[kind] = RepeatedNotices(
                kind, items, on_items, calls, members.targets, NoticeSettings()
            )

        def notifier(kind: str) -> Callable[[], None]:
            return lambda: notices[kind].notify_change()

        coordinators = Coordinators(members.own, members.live, clock)
        departures = Departures(clock, DepartureSettings(), notifier(DEPARTURE_NOTICES))
        limits = EngineLimits(clock, LimitSettings(), notifier(LIMIT_NOTICES))
        permits = SendPermits(
            limits, calls, coordinators, members.known, clock, PermitSettings(), metrics
        )
        records = CrashRecords(clock, CrashSettings())
        trials = RequestTrials(records, calls, coordinators, clock, TrialSettings())
        in_hand = RequestsInHand(clock, InHandSettings())
        crashes = CrashDetector(
            records, in_hand, engine_pool, trials, clock, notifier(CRASH_NOTICES)
        )
        limit_messages = LimitMessages(limits)
        add_notices(DEPARTURE_NOTICES, departures.items, departures.receive)
        add_notices(LIMIT_NOTICES, limit_messages.items, limit_messages.receive)
        add_notices(CRASH_NOTICES, crashes.items, crashes.receive)
        boot_time, bounds = quota_clock.boot_time, quota_clock.bounds
        contacts = FleetContacts(
            members.own,
            members.targets,
            members.known,
            lambda: coordinators.withdrawn,
            calls,
            boot_time,
            random.SystemRandom().getrandbits(48),
            ContactSettings(),
        )
        coordinator = QuotaCoordinator(contacts, calls, boot_time, bounds, BucketSettings())
        quotas = OrganisationQuotas(
            contacts, coordinator, calls, boot_time, bounds, QuotaSettings(), metrics
        )
        return cls(
            coordinators,
            departures,
            limits,
            permits,
            records,
            in_hand,
            crashes,
            trials,
            notices,
            contacts,
            coordinator,
            quotas,
        )

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            kind: notices.run for kind, notices in self.notices.items()
        }
        tasks["quota contacts"] = self.quota_contacts.run
        return tasks

    def gauges(self) -> dict[str, tuple[Callable[[], float], str]]:
        """Return the gauges by name, each with its help text."""
        return {
            "leaving_engines": (
                lambda: self.departures.announced,
                "engines that announced their end in an answer",
            ),
            "limited_engines": (lambda: self.limits.limited, "engines that name a limit"),
            "blocked_requests": (
                lambda: self.crash_records.blocked,
                "requests not sent because engines ended",
            ),
            "requests_in_hand": (
                lambda: len(self.in_hand),
                "requests that engines may be running, also those that were given up",
            ),
            "strict_quotas": (
                lambda: self.quota_coordinator.strict,
                "organisations for which this gateway grants requests one at a time",
            ),
        }
