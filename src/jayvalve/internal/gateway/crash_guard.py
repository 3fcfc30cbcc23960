"""Protection of engines against requests under which engines have ended."""

import asyncio

from jayvalve.errors import EndpointFailedError, RequestBlockedError
from jayvalve.internal.gateway.calls import AttemptHistory, Call
from jayvalve.internal.gateway.crash_records import CrashRecords
from jayvalve.internal.gateway.crashes import CrashDetector, fingerprint_of
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
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
        crashes: Finds out whether an engine has ended when a request breaks off there.
        trials: Lets a request under which an engine has ended run at one engine at a time.

    """

    def __init__(
        self,
        records: CrashRecords,
        crashes: CrashDetector,
        trials: RequestTrials,
        directory: EngineDirectory,
        clock: Clock,
    ) -> None:
        self._records = records
        self._crashes = crashes
        self._trials = trials
        self._directory = directory
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

    def end(self, fingerprint: str) -> None:
        """End the trial that begin() started."""
        self._crashes.end_trial(fingerprint)

    def record_broken(self, call: Call, view: EngineView, on_trial: bool, run_s: float) -> None:
        """Check the engine at which a call broke off.

        Args:
            call: The call.
            view: The engine.
            on_trial: Whether the attempt was a trial.
            run_s: Duration of the attempt, in seconds.

        """
        self._crashes.record_broken(
            view.key, view.record.address, _fingerprint(call), on_trial, run_s
        )

    def record_complete(self, call: Call) -> None:
        """Clear a call that an engine has answered completely."""
        if not self._records.empty:
            self._crashes.record_complete(_fingerprint(call))

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
