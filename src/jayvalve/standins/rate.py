"""Token bucket for the stand-ins' rate limits."""

import attrs

__all__ = ["TokenBucket"]


@attrs.define
class TokenBucket:
    """Token bucket that allows rate_per_s requests per second and a burst; time is an argument."""

    rate_per_s: float = attrs.field(validator=attrs.validators.gt(0))
    burst: float = attrs.field(validator=attrs.validators.ge(1))
    _level: float | None = None
    _updated_at_s: float = 0.0

    def take(self, now: float) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        level = self.burst if self._level is None else self._level
        level = min(self.burst, level + max(0.0, now - self._updated_at_s) * self.rate_per_s)
        self._updated_at_s = now
        if level >= 1:
            self._level = level - 1
            return 0.0
        self._level = level
        return (1 - level) / self.rate_per_s
