"""Stand-in for the platform's rate-limited weight store."""

import asyncio
from collections.abc import Mapping

import attrs

from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_identifier
from jayvalve.standins.rate import TokenBucket
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["WeightStore", "WeightStoreSettings"]

SECONDS_PER_MINUTE = 60.0


@attrs.frozen
class WeightStoreSettings:
    """Settings of the store.

    Attributes:
        fetches_per_minute: Maximum rate of fetches of all models together.
        burst: Maximum number of fetches in a burst.
        fetch_s: Duration of a fetch, in seconds.

    """

    fetches_per_minute: float = attrs.field(default=6.0, validator=attrs.validators.gt(0))
    burst: float = attrs.field(default=2.0, validator=attrs.validators.ge(1))
    fetch_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))


@STAND_INS.register("weight-store")
class WeightStore(StandIn):
    """Counts the fetches of each model and rejects those above the rate."""

    kind = "weight-store"

    def __init__(
        self, settings: WeightStoreSettings | None = None, clock: Clock | None = None
    ) -> None:
        super().__init__([("/weights/([^/]+)/fetch", FetchHandler)], clock)
        self._settings = settings if settings is not None else WeightStoreSettings()
        rate_per_s = self._settings.fetches_per_minute / SECONDS_PER_MINUTE
        self._bucket = TokenBucket(rate_per_s, self._settings.burst)
        self._fetch_counts: dict[str, int] = {}

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "WeightStore":
        """Build the store from {"fetches_per_minute", "burst", "fetch_s"}; all have defaults."""
        return cls(checked_settings(WeightStoreSettings, config, cls.kind))

    @property
    def settings(self) -> WeightStoreSettings:
        """The store's settings."""
        return self._settings

    @property
    def bucket(self) -> TokenBucket:
        """Rate limit for the fetches of all models together."""
        return self._bucket

    def record_fetch(self, model: str) -> int:
        """Record a fetch of model and return how often it has been fetched."""
        self._fetch_counts[model] = self._fetch_counts.get(model, 0) + 1
        return self._fetch_counts[model]


class FetchHandler(StandInHandler):
    """Fetches the weights of a model."""

    standin: WeightStore  # type: ignore[assignment]

    async def post(self, model: str) -> None:
        """Answer after the fetch, or with 429 above the rate."""
        check_identifier(model, "model")
        wait_s = self.standin.bucket.take(self.standin.clock.now())
        if wait_s > 0:
            self.refuse(429, "rate_limited", "fetch rate exceeded", wait_s)
            return
        fetches = self.standin.record_fetch(model)
        await self.wait_unless_closed(asyncio.sleep(self.standin.settings.fetch_s))
        self.finish({"model": model, "fetches": fetches})
