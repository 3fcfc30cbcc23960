"""Retry budget of the experiments."""

__all__ = ["RetryTokens"]

# Lets a single failure be retried before any request has earned a token.
INITIAL_TOKENS = 1.0
# Tokens saved up before a fault come on top of the share earned during it: with 50 at each
# entry, retries added up to 23% during a fault of 60 s.
MAX_TOKENS = 3.0


class RetryTokens:
    """Token bucket: each request adds a share of a token, each retry takes a whole one."""

    def __init__(self, share: float | None) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS

    def request(self) -> None:
        """Count a first dispatch."""
        if self._share is not None:
            self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def allow(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self._share is None:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
