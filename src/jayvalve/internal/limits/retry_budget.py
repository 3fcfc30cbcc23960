"""Budget that limits retries and hedges to a small share of the requests."""

from collections import deque

import attrs

from jayvalve.internal.validation import check_range

__all__ = ["RetryBudget"]


@attrs.define
class RetryBudget:
    """Allows retries and hedges up to a share of the requests in a sliding window.

    An extra attempt is granted only if the window that ends with it contains at most
    ``share * requests + floor_per_s * window_s`` extra attempts, including this one. The floor
    allows retries even when there are few requests. Hedges are charged to the same budget and
    counted separately.

    Attributes:
        share: Maximum number of extra attempts per request.
        floor_per_s: Extra attempts per second that are allowed even without requests.
        window_s: Length of the window in seconds.

    """

    # Number of slots per window. Counting requests per slot bounds the memory that they need.
    SLOTS = 50

    share: float = 0.1
    floor_per_s: float = 0.2
    window_s: float = 10.0
    # Pairs of the time of a slot's first request and the slot's number of requests.
    _requests: deque[list[float]] = attrs.field(init=False, factory=deque)
    _extra: deque[float] = attrs.field(init=False, factory=deque)
    _request_count: int = attrs.field(init=False, default=0)
    _retries: int = attrs.field(init=False, default=0)
    _hedges: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        check_range(self.share, "share", 0.0, 1.0)
        check_range(self.floor_per_s, "floor_per_s", 0.0, 1000.0)
        check_range(self.window_s, "window_s", 0.1, 3600.0)

    @property
    def retries(self) -> int:
        """Number of retries granted so far."""
        return self._retries

    @property
    def hedges(self) -> int:
        """Number of hedges granted so far."""
        return self._hedges

    def record_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._expire(now)
        slot_s = self.window_s / self.SLOTS
        if self._requests and now - self._requests[-1][0] < slot_s:
            self._requests[-1][1] += 1
        else:
            self._requests.append([now, 1])
        self._request_count += 1

    def allowance(self, now: float) -> int:
        """Return the number of extra attempts left in the window that ends now."""
        self._expire(now)
        allowed = int(self.share * self._request_count + self.floor_per_s * self.window_s)
        return max(0, allowed - len(self._extra))

    def take_retry(self, now: float) -> bool:
        """Charge one retry to the budget; return False if the budget is spent."""
        granted = self._take(now)
        self._retries += granted
        return granted

    def take_hedge(self, now: float) -> bool:
        """Charge one hedge to the budget; return False if the budget is spent."""
        granted = self._take(now)
        self._hedges += granted
        return granted

    def _take(self, now: float) -> bool:
        if self.allowance(now) == 0:
            return False
        self._extra.append(now)
        return True

    def _expire(self, now: float) -> None:
        # A slot has the time of its first request, so no request is counted after it has left the
        # window.
        while self._requests and self._requests[0][0] <= now - self.window_s:
            self._request_count -= int(self._requests.popleft()[1])
        while self._extra and self._extra[0] <= now - self.window_s:
            self._extra.popleft()
