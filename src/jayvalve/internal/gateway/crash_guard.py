"""Protection of engines against requests under which engines have ended."""

import asyncio

from jayvalve.errors import EndpointFailedError, RequestBlockedError
from jayvalve.internal.gateway.calls import AttemptHistory, Call
from jayvalve.internal.gateway.crash_records import CrashRecords
from jayvalve.internal.gateway.crashes import CrashDetector, fingerprint_of
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
from jayvalve.internal.gateway.in_hand import EngineRun, RequestsInHand
from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.trials import RequestTrials, UsualCapacity, may_risk_engine
from jayvalve.internal.timing import Clock

__all__ = ["CrashGuard"]

# When a caller may repeat a request that runs elsewhere, or that has to wait until more engines are
# back, in seconds.
_TRIAL_RETRY_AFTER_S = 0.3
# How long a call waits for the trial of the same request, and how often it asks, in seconds. Most
# suspected requests are sound, and callers that are refused again and again give up.
_TRIAL_WAIT_S = 1.0
_TRIAL_POLL_S = 0.1


class CrashGuard:
    """Decides whether a call may be sent, and records how its attempts ended.

    Args:
        records: Requests under which engines have ended.
        in_hand: Attempts at engines whose end is not known.
        crashes: Finds out under which requests an engine has ended.
        trials: Lets a request under which an engine has ended run at one engine at a time.

    """

    def __init__(
        self,
        records: CrashRecords,
        in_hand: RequestsInHand,
        crashes: CrashDetector,
        trials: RequestTrials,
        directory: EngineDirectory,
        clock: Clock,
    ) -> None:
        self._records = records
        self._in_hand = in_hand
        self._crashes = crashes
        self._trials = trials
        self._directory = directory
        self._clock = clock
        self._usual_capacity = UsualCapacity(clock)

    def has_ended(self, engine: EngineKey) -> bool:
        """Return whether an engine has ended while it ran requests."""
        return self._records.has_ended(engine)

    def note_capacity(self, service: str, engines: int) -> None:
        """Note how many engines of a service take new work."""
        self._usual_capacity.update(service, engines)

    async def begin(self, call: Call, history: AttemptHistory) -> str | None:
        """Return the fingerprint of a call under which an engine has ended, or None.

        After a fingerprint, end() must follow when the attempt is over.

        While the same request of another caller is on trial, waits for the outcome for a while.

        Raises:
            RequestBlockedError, EndpointFailedError: the call must not be sent, because too many
                engines ended while they ran it or because it runs at another engine now.

        """
        if self._records.empty:
            return None
        fingerprint = _fingerprint(call)
        waited_s = 0.0
        while ends := self._records.ends(fingerprint):
            retry_after_s = self._records.blocked_for_s(fingerprint)
            if retry_after_s is not None:
                break
            retry_after_s = _TRIAL_RETRY_AFTER_S
            if not self._may_risk_engine(call, ends):
                break
            if await self._trials.begin(fingerprint):
                return fingerprint
            if waited_s >= min(_TRIAL_WAIT_S, call.deadline.remaining_s):
                break
            await asyncio.sleep(_TRIAL_POLL_S)
            waited_s += _TRIAL_POLL_S
        else:
            return None
        message = f"engines ended while they ran this request ({fingerprint})"
        if history.may_have_run:
            raise EndpointFailedError(message)
        raise RequestBlockedError(message, retry_after_s=retry_after_s)

    def end(self, fingerprint: str, run: EngineRun | None = None) -> None:
        """End the trial that begin() started, once the end of its run is known."""
        self._crashes.end_trial(run, fingerprint)

    def begin_run(
        self, call: Call, view: EngineView, remaining_s: float, on_trial: bool
    ) -> EngineRun:
        """Return the record of an attempt that is sent now.

        One of record_complete(), record_not_run(), record_abandoned() and record_broken() must
        follow.

        Args:
            call: The call.
            view: The engine.
            remaining_s: Time after which the engine stops working on it, in seconds.
            on_trial: Whether an earlier end is known.

        """
        now = self._clock.now()
        run = EngineRun(
            view.key,
            view.record.address,
            lambda: _fingerprint(call),
            now,
            now + remaining_s,
            on_trial,
            call.service.health_path,
        )
        self._in_hand.add(run)
        return run

    def record_broken(self, run: EngineRun) -> None:
        """Check the engine at which an attempt broke off."""
        self._crashes.record_broken(run)

    def record_abandoned(self, run: EngineRun) -> None:
        """Record that this gateway has given an attempt up, which the engine may still run."""
        self._in_hand.abandon(run)

    def record_not_run(self, run: EngineRun) -> None:
        """Record that an engine has not run an attempt."""
        self._in_hand.complete(run)

    def record_leaving(self, view: EngineView) -> None:
        """Record that an engine has announced in an answer that it leaves."""
        self._crashes.record_leaving(view.key)

    def record_refused(self, view: EngineView) -> None:
        """Record that an engine's address refuses connections."""
        self._crashes.record_refused(view.key)

    def record_answer(self, run: EngineRun) -> None:
        """Record that an engine has begun to answer an attempt."""
        self._crashes.record_answer(run)

    def record_complete(self, run: EngineRun) -> None:
        """Clear a call that an engine has answered completely."""
        self._in_hand.complete(run)
        if self._in_hand.has_abandoned or not self._records.empty:
            self._crashes.record_complete(run.fingerprint)

    def _may_risk_engine(self, call: Call, ends: int) -> bool:
        if not self._records.has_repeated:
            return True
        service = call.service.name
        live = sum(
            not self._records.has_ended(view.key) for view in self._directory.candidates(service)
        )
        return may_risk_engine(ends, live, self._usual_capacity.update(service, live))


def _fingerprint(call: Call) -> str:
    return fingerprint_of(call.request, call.info.program)
