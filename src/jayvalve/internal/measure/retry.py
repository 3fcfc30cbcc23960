"""Retry budget for the experiments."""

__all__ = ["RetryTokens"]

# Allows one retry before any request has earned a token.
INITIAL_TOKENS = 1.0
# Tokens saved before a fault add to the share earned during it: with a maximum of 50 at each
# entry, retries were up to 23% of first dispatches during a fault of 60 s.
MAX_TOKENS = 3.0


class RetryTokens:
    """Token bucket: each request adds a share of a token, each retry takes one token.

    With a share of None, every retry is allowed.
    """

    def __init__(self, share: float | None) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS

    def record_request(self) -> None:
        """Add the share of a token that a request earns; resubmissions earn nothing."""
        if self._share is not None:
            self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Take a token for a retry and return True; return False if there is none."""
        if self._share is None:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
