"""Limits on concurrency, rates, retries and the use of failing endpoints."""

from jayvalve.internal.limits.concurrency import ConcurrencyLimit
from jayvalve.internal.limits.outliers import OutlierDetector
from jayvalve.internal.limits.pacing import Pacer, PacingDecision
from jayvalve.internal.limits.retry import RetryDecision, RetryPolicy, RetryRefusal
from jayvalve.internal.limits.retry_budget import RetryBudget

__all__ = [
    "ConcurrencyLimit",
    "OutlierDetector",
    "Pacer",
    "PacingDecision",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryRefusal",
]
