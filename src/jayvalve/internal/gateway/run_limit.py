"""Limit on the number of engines that may run one call."""

from collections.abc import Mapping

from jayvalve.errors import DeadlineExceededError, EndpointFailedError
from jayvalve.internal.gateway.calls import AttemptHistory, Call
from jayvalve.internal.gateway.crash_guard import CrashGuard
from jayvalve.internal.gateway.directory import EngineDirectory, EngineView
from jayvalve.internal.gateway.engine_probe import is_down
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    HttpPool,
    NotSentError,
)
from jayvalve.internal.gateway.model import EngineKey

__all__ = ["RunLimit", "eligible_engines"]


def eligible_engines(
    views: Mapping[EngineKey, EngineView], call: Call, history: AttemptHistory
) -> Mapping[EngineKey, EngineView]:
    """Return the engines at which a call may run next within the limit of its route.

    Other engines than those of earlier attempts come first. When the limit is reached, only the
    engines that count towards it are left: a stream goes on where it broke off.
    """
    if history.counted_engines >= call.route.max_attempts:
        return {
            key: view
            for key, view in views.items()
            if key in history.may_have_run and key not in history.ended
        }
    untried = {key: view for key, view in views.items() if key not in history.may_have_run}
    return untried or views


class RunLimit:
    """Records which engines count towards the limit of a call's route.

    An engine that has ended, or that cannot be reached, runs the call no longer. It does not count,
    so that a stream which it broke off can go on elsewhere.

    Args:
        guard: Knows which engines have ended.
        pool: Checks whether anything serves an engine's address.

    """

    def __init__(self, directory: EngineDirectory, guard: CrashGuard, pool: HttpPool) -> None:
        self._directory = directory
        self._guard = guard
        self._pool = pool

    @staticmethod
    def is_last_run(call: Call, history: AttemptHistory) -> bool:
        """Return whether no other engine may run the call after the next one that may have."""
        possible_runs = len(history.may_have_run) + 1
        return not call.route.repeatable or possible_runs >= call.route.max_attempts

    async def record_lost(
        self, call: Call, view: EngineView, history: AttemptHistory, error: Exception
    ) -> None:
        """Record an attempt without an answer, after which another one may follow.

        Raises:
            DeadlineExceededError: The time limit has passed.
            EndpointFailedError: The call may have run and must not be sent again.

        """
        was_used = view.key in history.may_have_run
        history.may_have_run.add(view.key)
        if call.deadline.expired:
            raise DeadlineExceededError("the engine did not answer in time") from error
        if not call.route.repeatable:
            # A supervisor may still listen for the engine that has broken the stream off.
            is_resumption = call.route.resumable and was_used
            if (
                is_resumption
                and isinstance(error, BrokenConnectionError)
                and await self._is_down(view)
            ):
                history.ended.add(view.key)
                return
            raise EndpointFailedError(f"the engine may have run the call: {error}") from error
        if len(history.may_have_run) >= call.route.max_attempts:
            raise EndpointFailedError(f"the last attempt failed: {error}") from error

    async def record_broken_stream(
        self, call: Call, view: EngineView, history: AttemptHistory
    ) -> None:
        """Record the engine of a stream that broke off and may be resumed."""
        history.may_have_run.add(view.key)
        if history.counted_engines < call.route.max_attempts or self._directory.accepts(view):
            return
        # The stream cannot go on at an engine that takes no new work.
        if self._directory.is_replaced(view) or await self._is_down(view):
            history.ended.add(view.key)

    @staticmethod
    def record_not_sent(view: EngineView, history: AttemptHistory, error: NotSentError) -> None:
        """Record that no connection to an engine could be made.

        A link that loses packets also loses attempts to connect. An engine of an earlier run
        therefore counts as cut off only after the second attempt that times out.
        """
        key = view.key
        if key in history.may_have_run:
            if not error.is_refusal and key not in history.unreached:
                history.unreached.add(key)
                return
            history.ended.add(key)
        history.refused.add(key)

    @staticmethod
    def record_replaced(view: EngineView, history: AttemptHistory) -> None:
        """Record that another engine has answered at the address of an engine."""
        if view.key in history.may_have_run:
            history.ended.add(view.key)

    async def _is_down(self, view: EngineView) -> bool:
        return self._guard.has_ended(view.key) or await is_down(self._pool, view.record.address)
