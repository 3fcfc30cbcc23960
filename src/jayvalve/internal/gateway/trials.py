"""Trials of requests under which an engine has ended: at one engine at a time.

Callers repeat such a request through several gateways at once. Without trials, it would end more
engines meanwhile than it takes to block it.
"""

from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.coordinators import Coordinators
from jayvalve.internal.gateway.crash_records import CrashRecords, decode_crash, encode_crash
from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.timing import Clock

__all__ = ["RequestTrials", "TrialSettings", "UsualCapacity", "may_risk_engine"]

_log = logger.bind(part="trials")

Address = tuple[str, int]

_GRANTED = "granted"
_DENIED = "denied"
_STOPPING = "leaving"


def may_risk_engine(ends: int, live: int, usual: int) -> bool:
    """Return whether a suspected request may be sent, which could end another engine.

    While many engines are away, the others are kept for requests that are not suspected.

    Args:
        ends: Number of engines that have ended while they ran the request.
        live: Number of engines of the service that accept requests.
        usual: The same before engines ended.

    """
    missing = max(0, usual - live)
    return missing * (4 if ends >= 2 else 2) < usual


class UsualCapacity:
    """Largest number of engines of each service that accepted requests lately."""

    # Engines are back within some seconds.
    WINDOW_S = 10.0

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._largest: dict[str, tuple[int, float]] = {}

    def update(self, service: str, live: int) -> int:
        """Note the present number of engines, and return the usual one."""
        now = self._clock.now()
        largest, at_s = self._largest.get(service, (0, now))
        if live >= largest or now - at_s > self.WINDOW_S:
            largest, at_s = live, now
        self._largest[service] = largest, at_s
        return largest


@attrs.frozen
class TrialSettings:
    """Parameters of trials.

    Attributes:
        call_timeout_s: Timeout of a question to a coordinator, in seconds.
        max_coordinators: Maximum number of coordinators to ask. If none answers, the trial begins,
            as most suspected requests are sound.
        avoid_unresponsive_s: How long to avoid a gateway that did not answer, in seconds.
        avoid_stopping_s: How long to avoid a gateway that is shutting down, in seconds.
        longest_s: Time after which a trial whose end was not reported is over unless it is
            extended, in seconds.

    """

    call_timeout_s: float = 0.15
    max_coordinators: int = 2
    avoid_unresponsive_s: float = 1.0
    avoid_stopping_s: float = 4.0
    longest_s: float = 5.0


class RequestTrials:
    """Lets a suspected request run at one engine at a time, whichever gateways it reaches.

    One gateway, chosen by the request's fingerprint, grants its trials.
    """

    def __init__(
        self,
        records: CrashRecords,
        calls: PeerCalls,
        coordinators: Coordinators,
        clock: Clock,
        settings: TrialSettings,
    ) -> None:
        self._records = records
        self._calls = calls
        self._coordinators = coordinators
        self._clock = clock
        self._settings = settings
        # Trials that this gateway has granted, with the time at which they are over.
        self._granted: dict[str, float] = {}
        # Trials that this gateway runs, with the coordinator that granted them.
        self._running: dict[str, Address] = {}
        calls.on("trial")(self._serve_trial)
        calls.on_notice("trial_end")(self._receive_end)
        calls.on_notice("trial_extension")(self._receive_extension)

    async def begin(self, fingerprint: str) -> bool:
        """Return whether a suspected request may be sent now; then end() must follow."""
        settings = self._settings
        for coordinator in self._coordinators.order(fingerprint)[: settings.max_coordinators]:
            if coordinator == self._coordinators.own:
                answer = self._grant(fingerprint)
            else:
                answer = await self._ask(coordinator, fingerprint)
            if answer == _DENIED:
                return False
            if answer == _GRANTED:
                self._running[fingerprint] = coordinator
                return True
        return True

    def end(self, fingerprint: str) -> None:
        """Report the end of a trial with what is known of the request; no trial, no effect."""
        coordinator = self._running.pop(fingerprint, None)
        if coordinator is None:
            return
        if coordinator == self._coordinators.own:
            self._granted.pop(fingerprint, None)
            return
        reports = [encode_crash(report) for report in self._records.report_of(fingerprint)]
        self._calls.notify(coordinator, "trial_end", [fingerprint, reports])

    def extend(self, fingerprint: str) -> None:
        """Let a trial of this gateway last longer, since the engine may still run the request."""
        coordinator = self._running.get(fingerprint)
        if coordinator == self._coordinators.own:
            self._prolong(fingerprint)
        elif coordinator is not None:
            self._calls.notify(coordinator, "trial_extension", [fingerprint])

    def _prolong(self, fingerprint: str) -> None:
        if fingerprint in self._granted:
            self._granted[fingerprint] = self._clock.now() + self._settings.longest_s

    def _receive_extension(self, arguments: list[Any]) -> None:
        (fingerprint,) = arguments
        self._prolong(str(fingerprint))

    async def _ask(self, coordinator: Address, fingerprint: str) -> str:
        settings = self._settings
        reports = [encode_crash(report) for report in self._records.report_of(fingerprint)]
        try:
            (answer,) = await self._calls.call(
                coordinator, "trial", [fingerprint, reports], settings.call_timeout_s
            )
        except PeerTimeoutError as error:
            self._coordinators.avoid(coordinator, settings.avoid_unresponsive_s, str(error))
            return _STOPPING
        if answer == _STOPPING:
            self._coordinators.avoid(
                coordinator, settings.avoid_stopping_s, "the gateway is shutting down"
            )
        return str(answer)

    def _grant(self, fingerprint: str) -> str:
        now = self._clock.now()
        self._granted = {name: end_s for name, end_s in self._granted.items() if end_s > now}
        blocked = self._records.blocked_for_s(fingerprint) is not None
        if blocked or fingerprint in self._granted:
            _log.bind(fingerprint=fingerprint, blocked=blocked).info("denied a trial")
            return _DENIED
        self._granted[fingerprint] = now + self._settings.longest_s
        return _GRANTED

    async def _serve_trial(self, arguments: list[Any]) -> list[Any]:
        fingerprint, reports = arguments
        if self._coordinators.withdrawn:
            return [_STOPPING]
        self._records.record([decode_crash(fields) for fields in reports])
        return [self._grant(str(fingerprint))]

    def _receive_end(self, arguments: list[Any]) -> None:
        fingerprint, reports = arguments
        self._records.record([decode_crash(fields) for fields in reports])
        self._granted.pop(fingerprint, None)
