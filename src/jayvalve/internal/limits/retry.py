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
    """Reason why a request is not retried."""

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
    """Retries calls that did not run, and repeatable calls that may have run.

    A call is not retried after a permanent error, or beyond the maximum number of attempts, the
    budget or the deadline.

    Attributes:
        budget: Retry budget, shared by all calls of this process.
        max_attempts: Maximum number of attempts of one call, including the first.
        base_s: Upper bound of the first random delay, in seconds.
        cap_s: Upper bound of any random delay, in seconds.
        min_attempt_s: Time that must be left after the delay for an attempt to be useful, in
            seconds.

    """

    # HTTP status codes of errors caused by the request itself, or by the state of its program or
    # key; the same request would fail again.
    PERMANENT_STATUS = frozenset({400, 401, 402, 404, 409, 410, 413})
    # Codes of errors that concern a single process; another process can accept the call.
    SINGLE_PROCESS_CODES = frozenset({"wrong_incarnation"})

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
        """Decide whether to retry after attempt number ``attempt``, counted from 1, failed.

        A granted retry is charged to the budget.
        """
        refusal = self._refusal(error, repeatable, attempt)
        if refusal is not None:
            return RetryDecision(None, refusal)
        delay_s = full_jitter(self._rng, attempt - 1, self.base_s, self.cap_s)
        if error.retry_after_s is not None and attempt > 1:
            # The first retry goes to another endpoint, to which ``retry_after_s`` does not apply.
            delay_s += error.retry_after_s
        if deadline.remaining_s < delay_s + self.min_attempt_s:
            return RetryDecision(None, RetryRefusal.DEADLINE)
        if not self.budget.take_retry(now):
            return RetryDecision(None, RetryRefusal.BUDGET_SPENT)
        return RetryDecision(delay_s)

    def allow_hedge(self, *, repeatable: bool, now: float) -> bool:
        """Return whether a parallel second attempt may run; if so, charge it to the budget."""
        return repeatable and self.budget.take_hedge(now)

    def _refusal(self, error: JayvalveError, repeatable: bool, attempt: int) -> RetryRefusal | None:
        if error.verdict is not Verdict.NOT_RUN and not repeatable:
            return RetryRefusal.NOT_REPEATABLE
        if error.verdict is Verdict.RAN:
            return RetryRefusal.NOT_TRANSIENT
        if error.status in self.PERMANENT_STATUS and error.code not in self.SINGLE_PROCESS_CODES:
            return RetryRefusal.NOT_TRANSIENT
        if attempt >= self.max_attempts:
            return RetryRefusal.ATTEMPTS_SPENT
        return None
