"""Choice of the engine for a call, with the wait for a permit if the engine limits its rate."""

import asyncio
import random
from collections.abc import Callable, Mapping

import attrs

from jayvalve.errors import (
    DeadlineUnreachableError,
    EndpointFailedError,
    JayvalveError,
    NoEndpointError,
    OverloadedError,
)
from jayvalve.internal.gateway.calls import AttemptHistory, Call
from jayvalve.internal.gateway.crash_guard import CrashGuard
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.loads import PeerLoads
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.gateway.permits import SendPermits
from jayvalve.internal.gateway.placement import (
    Candidate,
    Placement,
    PlacementNeed,
    PlacementSettings,
    PrefixMemory,
    choose_engine,
)
from jayvalve.internal.gateway.run_limit import eligible_engines
from jayvalve.internal.timing import Clock

__all__ = ["ChoiceSettings", "ChosenEngine", "EngineChooser", "no_attempt_error"]

# When a caller may repeat a request while all engines of the service leave, in seconds. A new
# engine is seen within a second of its first entry.
_LEAVING_RETRY_AFTER_S = 1.0


@attrs.frozen
class ChoiceSettings:
    """Limits on the wait for an engine that has limited its rate.

    Attributes:
        permit_wait_target_factor: How long a call may wait for a permit, as a multiple of the
            route's target time. Calls that would have to wait for longer are refused at once, so
            that the others are answered in time.
        permit_slack_s: How much longer than expected a call waits for a permit before another
            engine is considered, in seconds.
        max_permit_rounds: Maximum number of times that a call without a permit is placed again.

    """

    permit_wait_target_factor: float = 0.5
    permit_slack_s: float = 0.03
    max_permit_rounds: int = 12


@attrs.frozen
class ChosenEngine:
    """An engine to which a request may be sent now.

    Attributes:
        permit_s: Time for which the call waited for a permit, in seconds, or None if the engine
            needs none.

    """

    view: EngineView
    placement: Placement
    permit_s: float | None


def no_attempt_error(
    history: AttemptHistory, leaving: bool = False, origin: StreamOrigin | None = None
) -> JayvalveError:
    """Return the error of a call for which no further attempt can be made.

    Args:
        history: Attempts of the call so far.
        leaving: Whether all engines of the service are leaving.
        origin: What began the stream that the call resumes, or None.

    """
    if history.may_have_run:
        return EndpointFailedError(
            "the call has no attempts left or there is no other engine to try"
        )
    if history.refused:
        return OverloadedError(
            "each engine that was tried refused the call or could not be reached",
            retry_after_s=0.15,
        )
    if origin is not None:
        return NoEndpointError(
            f"no engine of version {origin.version} accepts requests, which began the stream",
            retry_after_s=0.3,
        )
    if leaving:
        return NoEndpointError(
            "all engines of the service are leaving", retry_after_s=_LEAVING_RETRY_AFTER_S
        )
    return NoEndpointError("no engine of the service accepts requests", retry_after_s=0.3)


class EngineChooser:
    """Chooses engines for calls.

    Args:
        permits: Grants requests to engines that have limited their rate.
        guard: Knows which engines have ended.
        refresh_loads: Called before an engine is chosen, to read the loads that other gateways
            have reported.

    """

    def __init__(
        self,
        directory: EngineDirectory,
        loads: PeerLoads,
        health: HealthTracker,
        permits: SendPermits,
        guard: CrashGuard,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        refresh_loads: Callable[[], None] = lambda: None,
    ) -> None:
        self._directory = directory
        self._loads = loads
        self._health = health
        self._permits = permits
        self._guard = guard
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._refresh_loads = refresh_loads
        self._settings = ChoiceSettings()
        self._placement = PlacementSettings()
        self._prefixes = PrefixMemory()

    def record_prefix(self, call: Call, key: EngineKey) -> None:
        """Record that an engine has read a call's prompt."""
        self._prefixes.record(call.info.prefix, key)

    async def choose(self, call: Call, history: AttemptHistory) -> ChosenEngine:
        """Return an engine for a call as soon as a request may be sent to it.

        Raises:
            NoEndpointError, OverloadedError, DeadlineUnreachableError: no engine takes the call.
            EndpointFailedError: the same, for a call that may have run.

        """
        started_s = self._clock.now()
        for _ in range(self._settings.max_permit_rounds):
            view, placement = self._place(call, history)
            if not self._permits.is_limited(view.key):
                return ChosenEngine(view, placement, None)
            expected_s = placement.candidate.permit_wait_s
            delay_s = await self._permits.acquire(
                view.key,
                min(
                    expected_s + self._settings.permit_slack_s,
                    self._longest_permit_wait_s(call, view),
                ),
                urgent=call.rank == 0,
            )
            if delay_s is None:
                continue
            await asyncio.sleep(delay_s)
            if self._directory.accepts(view):
                return ChosenEngine(view, placement, self._clock.now() - started_s)
        raise _limited_error(history, self._settings.permit_slack_s)

    def _longest_permit_wait_s(self, call: Call, view: EngineView) -> float:
        """Return how long a call may wait for a permit and still be answered in time."""
        return max(
            0.0,
            min(
                call.route.target_s * self._settings.permit_wait_target_factor,
                call.deadline.remaining_s - (view.service_s or 0.0),
            ),
        )

    def _place(self, call: Call, history: AttemptHistory) -> tuple[EngineView, Placement]:
        self._refresh_loads()
        now = self._clock.now()
        engines = self._directory.candidates(call.service.name)
        self._guard.note_capacity(call.service.name, len(engines))
        views = {
            view.key: view
            for view in engines
            if view.key not in history.refused and self._may_resume(view, call.origin)
        }
        eligible = eligible_engines(views, call, history)
        candidates = [self._candidate(view, call, now) for view in eligible.values()]
        candidates = self._drop_limited(candidates, views, call, history)
        need = PlacementNeed(
            call.info.prompt_tokens, call.info.max_output_tokens, call.route.repeatable
        )
        placement = choose_engine(candidates, need, self._placement, self._rng)
        if placement is None:
            leaving = self._directory.all_leave(call.service.name)
            raise no_attempt_error(history, leaving, call.origin)
        if placement.wait_s >= call.deadline.remaining_s and not history.may_have_run:
            raise DeadlineUnreachableError(
                f"expected wait {placement.wait_s:.2f} s exceeds the time left",
                retry_after_s=max(0.1, placement.wait_s / 2),
            )
        return views[placement.candidate.key], placement

    def _may_resume(self, view: EngineView, origin: StreamOrigin | None) -> bool:
        """Return whether an engine can go on with a stream that something has begun."""
        if origin is None:
            return True
        # An engine that has ended may be back under its id with other software.
        return view.record.version == origin.version and not self._guard.has_ended(view.key)

    def _drop_limited(
        self,
        candidates: list[Candidate],
        views: Mapping[EngineKey, EngineView],
        call: Call,
        history: AttemptHistory,
    ) -> list[Candidate]:
        """Return the engines of which a permit can be had in time.

        Raises:
            OverloadedError, EndpointFailedError: there are engines, but no such one.

        """
        within_limit = [
            candidate
            for candidate in candidates
            if candidate.permit_wait_s <= self._longest_permit_wait_s(call, views[candidate.key])
        ]
        if candidates and not within_limit:
            wait_s = min(candidate.permit_wait_s for candidate in candidates)
            raise _limited_error(history, wait_s)
        return within_limit

    def _candidate(self, view: EngineView, call: Call, now: float) -> Candidate:
        requests, tokens = self._loads.running(view.key.id)
        model = call.service.model
        return Candidate(
            key=view.key,
            slots=view.record.slots,
            load=view.running + requests,
            tokens=view.tokens + tokens,
            memory_tokens=model.kv_cache_tokens if model is not None else None,
            service_s=view.service_s,
            remote=view.record.data_centre != self._data_centre,
            cached_tokens=self._prefixes.cached_tokens(call.info.prefix, view.key),
            in_backoff=self._directory.is_avoided(view) or self._guard.has_ended(view.key),
            failure_share=self._health.failure_share(view.key.label),
            age_s=now - view.answered_s,
            permit_wait_s=self._permits.expected_wait_s(view.key),
        )


def _limited_error(history: AttemptHistory, wait_s: float) -> JayvalveError:
    """Return the error of a call that no engine takes, as all have reached their limits."""
    if history.may_have_run:
        return EndpointFailedError("each other engine has reached its limit of requests")
    return OverloadedError(
        "each engine of the service has reached its limit of requests",
        retry_after_s=max(0.1, wait_s),
    )
