"""Verdicts that say whether a request may have run."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"

    @property
    def repeatable(self) -> bool:
        """Whether a request with this verdict may be sent again, even if it is not idempotent."""
        return self is Verdict.NOT_RUN
