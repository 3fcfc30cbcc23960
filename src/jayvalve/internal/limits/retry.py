"""Decides whether and when a failed request is sent again."""

import enum
import random

import attrs

from jayvalve.errors import JayvalveError
from jayvalve.internal.limits.retry_budget import RetryBudget
from jayvalve.internal.timing import Deadline, full_jitter
from jayvalve.verdict import Verdict

__all__ = ["RetryDecision", "RetryPolicy", "RetryRefusal"]


class RetryRefusal(enum.StrEnum):
    """Why a request is not sent again."""

    NOT_REPEATABLE = "not_repeatable"
    NOT_TRANSIENT = "not_transient"
    ATTEMPTS_SPENT = "attempts_spent"
    DEADLINE = "deadline"
    BUDGET_SPENT = "budget_spent"


@attrs.frozen
class RetryDecision:
    """Delay before the next attempt in seconds, or the reason for giving up."""

    delay_s: float | None
    refusal: RetryRefusal | None = None

    @property
    def retry(self) -> bool:
        """Whether the request is sent again."""
        return self.delay_s is not None


@attrs.define
class RetryPolicy:
    """Retries calls that did not run and repeatable calls, within the budget and deadline.

    Attributes:
        budget: Shared by all calls of this process.
        max_attempts: Attempts of one call, the first included.
        base_s: Upper bound of the first delay.
        cap_s: Upper bound of any delay.
        min_attempt_s: Time that must be left after the delay for an attempt to be useful.

    """

    # Errors whose cause lies in the request itself or in the state of its program or key;
    # sending the same request again cannot change them.
    PERMANENT_STATUS = frozenset({400, 401, 402, 404, 409, 410, 413})
    # These refusals name one process; another one can take the call.
    MOVABLE_CODES = frozenset({"wrong_incarnation"})

    budget: RetryBudget
    max_attempts: int = 4
    base_s: float = 0.05
    cap_s: float = 2.0
    min_attempt_s: float = 0.01
    _rng: random.Random = attrs.field(factory=random.Random, alias="rng")

    def decide(
        self,
        error: JayvalveError,
        *,
        repeatable: bool,
        attempt: int,
        deadline: Deadline,
        now: float,
    ) -> RetryDecision:
        """Return what to do after attempt number attempt, counted from 1, failed.

        A granted retry is drawn from the budget.
        """
        refusal = self._refusal(error, repeatable, attempt)
        if refusal is not None:
            return RetryDecision(None, refusal)
        delay_s = full_jitter(self._rng, attempt - 1, self.base_s, self.cap_s)
        if error.retry_after_s is not None and attempt > 1:
            # The first retry goes to another endpoint, so the hint does not bind it.
            delay_s += error.retry_after_s
        if deadline.remaining_s < delay_s + self.min_attempt_s:
            return RetryDecision(None, RetryRefusal.DEADLINE)
        if not self.budget.take_retry(now):
            return RetryDecision(None, RetryRefusal.BUDGET_SPENT)
        return RetryDecision(delay_s)

    def allow_hedge(self, *, repeatable: bool, now: float) -> bool:
        """Return whether a second attempt may run beside the first; drawn from the budget."""
        return repeatable and self.budget.take_hedge(now)

    def _refusal(self, error: JayvalveError, repeatable: bool, attempt: int) -> RetryRefusal | None:
        if error.verdict is not Verdict.NOT_RUN and not repeatable:
            return RetryRefusal.NOT_REPEATABLE
        if error.verdict is Verdict.RAN:
            return RetryRefusal.NOT_TRANSIENT
        if error.status in self.PERMANENT_STATUS and error.code not in self.MOVABLE_CODES:
            return RetryRefusal.NOT_TRANSIENT
        if attempt >= self.max_attempts:
            return RetryRefusal.ATTEMPTS_SPENT
        return None
