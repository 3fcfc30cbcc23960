"""A gateway's part as coordinator: the buckets of the organisations that it decides about."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from jayvalve.internal.gateway.peer_calls import PeerCalls
from jayvalve.internal.gateway.quota_bucket import (
    BucketAnswer,
    BucketSettings,
    OrganisationBucket,
    QuotaBounds,
    QuotaLimit,
)
from jayvalve.internal.gateway.quota_contacts import FleetContacts
from jayvalve.internal.organisations import Organisation

__all__ = ["QUOTA_CALLS", "QUOTA_RETURNS", "QuotaCoordinator", "QuotaQuestion"]

QUOTA_CALLS = "quota"
QUOTA_RETURNS = "quota_back"
# Maximum number of buckets. Far more organisations than are active within a window.
_MAX_BUCKETS = 4096
# Time after its last question for which an organisation counts as being in strict mode, in seconds.
_STRICT_VISIBLE_S = 5.0
_MAX_COUNT = 4096
# Age above which permits are not taken back, in seconds: the longest lease, and a message.
_MAX_RETURN_AGE_S = 0.35


@attrs.frozen
class QuotaQuestion:
    """Question of a gateway for permits.

    Attributes:
        version: Version of the configuration from which rate and burst are.
        waiting: The program of each request that waits.
        ahead: Number of permits for later requests.
        used: The program of each request that used a permit granted ahead since the last question.

    """

    name: str
    version: int
    rate: float
    burst: float
    waiting: list[int]
    ahead: int
    used: list[int]

    def encode(self) -> list[Any]:
        """Return the fields as they are sent."""
        return list(attrs.astuple(self, recurse=False))

    @classmethod
    def decode(cls, fields: list[Any]) -> "QuotaQuestion":
        """Return a question from its fields.

        Raises:
            ValueError, TypeError: the fields are malformed.

        """
        name, version, rate, burst, waiting, ahead, used = fields
        rate, burst = float(rate), float(burst)
        if not (0.0 <= rate < math.inf and 0.0 <= burst < math.inf):
            raise ValueError(f"{fields!r} is no limit of an organisation")
        return cls(
            str(name),
            int(version),
            rate,
            burst,
            _integers(waiting),
            min(_MAX_COUNT, max(0, int(ahead))),
            _integers(used),
        )


@attrs.define
class _Coordinated:
    bucket: OrganisationBucket
    version: int
    limit: QuotaLimit | None


class QuotaCoordinator:
    """Decides about organisations for all gateways that count on this one.

    Args:
        boot_time: Clock that counts the time for which the process was suspended.

    """

    def __init__(
        self,
        contacts: FleetContacts,
        calls: PeerCalls,
        boot_time: Callable[[], float],
        bounds: QuotaBounds,
        settings: BucketSettings,
    ) -> None:
        self._contacts = contacts
        self._boot_time = boot_time
        self._bounds = bounds
        self._settings = settings
        # Ordered by their last use, for the bound on their number.
        self._coordinated: OrderedDict[str, _Coordinated] = OrderedDict()
        # Newest configuration of this gateway.
        self._version = -1
        self._organisations: dict[str, Organisation] = {}
        # Last update of a bucket that was dropped; what it granted is not known any more.
        self._dropped_s = -math.inf
        calls.on(QUOTA_CALLS)(self._serve)
        calls.on_notice(QUOTA_RETURNS)(self._receive_return)

    @property
    def strict(self) -> int:
        """Number of organisations in strict mode."""
        cutoff_s = self._boot_time() - _STRICT_VISIBLE_S
        return sum(
            each.bucket.strict and each.bucket.updated_s >= cutoff_s
            for each in self._coordinated.values()
        )

    def apply(self, version: int, organisations: Iterable[Organisation]) -> None:
        """Apply the limits of a configuration to the buckets in use."""
        limits = {each.name: each for each in organisations}
        self._version, self._organisations = version, limits
        for name, coordinated in self._coordinated.items():
            limit = limits.get(name)
            if limit is not None and version >= coordinated.version:
                coordinated.version = version
                coordinated.limit = self._limit(limit.rate_per_s, limit.burst)

    def decide(self, question: QuotaQuestion) -> BucketAnswer:
        """Decide about the requests of a gateway."""
        coordinated = self._find(question)
        limit, now = coordinated.limit, self._boot_time()
        if limit is None:
            return BucketAnswer(False, 1.0, [0.0] * len(question.waiting), question.ahead, now)
        bucket = coordinated.bucket
        bucket.update(now, limit, self._contacts.starts(question.name), self._contacts.gateways)
        bucket.note_used(now, question.used)
        return bucket.answer(now, question.waiting, question.ahead)

    def take_back(
        self, name: str, permits: int, granted_s: float, standing_alone: bool = False
    ) -> None:
        """Take back permits that a gateway has not used.

        Permits that were granted long ago are not stored again: the tokens of a window would
        exceed the capacity and the rate.
        """
        coordinated = self._coordinated.get(name)
        age_s = self._boot_time() - granted_s
        if coordinated is not None and 0.0 <= age_s <= _MAX_RETURN_AGE_S:
            coordinated.bucket.give_back(permits, standing_alone)

    def _limit(self, rate: float, burst: float) -> QuotaLimit | None:
        return QuotaLimit.from_bounds(rate, burst, self._bounds) if rate > 0.0 else None

    def _find(self, question: QuotaQuestion) -> _Coordinated:
        own = self._organisations.get(question.name)
        if own is not None and self._version >= question.version:
            question = attrs.evolve(
                question, version=self._version, rate=own.rate_per_s, burst=own.burst
            )
        coordinated = self._coordinated.get(question.name)
        if coordinated is None:
            limit = self._limit(question.rate, question.burst)
            bucket = OrganisationBucket(
                limit or QuotaLimit(1.0, 0.0, 0.0), self._settings, self._dropped_s
            )
            coordinated = _Coordinated(bucket, question.version, limit)
            self._coordinated[question.name] = coordinated
            if len(self._coordinated) > _MAX_BUCKETS:
                _, dropped = self._coordinated.popitem(last=False)
                self._dropped_s = max(self._dropped_s, dropped.bucket.updated_s)
        elif question.version > coordinated.version:
            coordinated.version = question.version
            coordinated.limit = self._limit(question.rate, question.burst)
        self._coordinated.move_to_end(question.name)
        return coordinated

    async def _serve(self, arguments: list[Any]) -> list[Any]:
        answer = self.decide(QuotaQuestion.decode(arguments))
        return [answer.strict, answer.share, answer.retries_s, answer.ahead, answer.at_s]

    def _receive_return(self, arguments: list[Any]) -> None:
        name, permits, granted_s, standing_alone = arguments
        permits = min(_MAX_COUNT, int(permits))
        self.take_back(str(name), permits, float(granted_s), bool(standing_alone))


def _integers(values: Sequence[Any]) -> list[int]:
    if not isinstance(values, list) or len(values) > _MAX_COUNT:
        raise ValueError("the programs are not a list")
    return [int(value) for value in values]
