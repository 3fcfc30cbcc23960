"""Renewal of the version in force before the log removes it after the retention time."""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from jayvalve.errors import LogAnswerLostError, LogUnavailableError
from jayvalve.internal.configuration.fold import Renew
from jayvalve.internal.configuration.follower import STREAM, ConfigurationFollower
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.log import LogClient
from jayvalve.internal.timing import Clock

__all__ = ["Renewal", "renewal_age_s"]

# Shares of the retention time. In rendezvous order, the first entry renews when the newest record
# has reached 1/4 of it, and each further entry 1/32 later, but no later than at 1/2. The other half
# is left for outages of the log.
FIRST_AGE_SHARE = 1 / 4
AGE_SHARE_STEP = 1 / 32
MAX_AGE_SHARE = 1 / 2
_CHECKS_PER_RETENTION = 256
_MAX_CHECK_INTERVAL_S = 60.0

_log = logger.bind(part="configuration")


def renewal_age_s(instance: str, entries: Iterable[str], key: str, retention_s: float) -> float:
    """Return the age that the newest record must reach before instance renews it, in seconds.

    key is the name of the stream.
    """
    order = rendezvous_order(key, set(entries) | {instance})
    share = FIRST_AGE_SHARE + order.index(instance) * AGE_SHARE_STEP
    return min(share, MAX_AGE_SHARE) * retention_s


class Renewal:
    """Renews the version in force when its newest record reaches the renewal age of this entry.

    Args:
        log: Client of the log service.
        follower: Running follower of the configuration.
        instance: Name of this entry.
        entries: Returns the names of the live entries.
        retention_s: How long the log keeps records, in seconds.
        clock: Source of the wall-clock time that is compared with the times of records.
        rng: Source of jitter.

    """

    def __init__(
        self,
        log: LogClient,
        follower: ConfigurationFollower,
        instance: str,
        entries: Callable[[], Iterable[str]],
        retention_s: float,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._follower = follower
        self._instance = instance
        self._entries = entries
        self._retention_s = retention_s
        self._clock = clock or Clock()
        self._rng = rng or random.Random()

    def is_due(self) -> bool:
        """Return whether this entry should renew now.

        A version that was adopted from a peer has no known record, and therefore no known age.
        Its renewal is due for the first entry and not yet for the others.
        """
        follower = self._follower
        # Without a base, a newer version may already have replaced this one.
        if follower.version == 0 or not follower.log.caught_up or not follower.fold.has_base:
            return False
        due_age_s = renewal_age_s(self._instance, self._entries(), STREAM, self._retention_s)
        renewed_at = self._follower.fold.renewed_at
        if renewed_at is None:
            return due_age_s <= FIRST_AGE_SHARE * self._retention_s
        return self._clock.wall() - renewed_at >= due_age_s

    async def renew_once(self) -> bool:
        """Renew the version in force if due; return whether a record was appended.

        Raises:
            LogUnavailableError: the record was not appended.
            LogAnswerLostError: the record may have been appended.

        """
        if not self.is_due():
            return False
        current = self._follower.in_force
        record = Renew(
            current.version,
            current.digest,
            current.document,
            self._follower.log.position - 1,
            current.author,
            current.publish_id,
        )
        await self._log.append(STREAM, record.pack())
        _log.info("Renewed version {}", current.version)
        return True

    async def run(self) -> None:
        """Check periodically and renew if due, until cancelled."""
        check_interval_s = min(_MAX_CHECK_INTERVAL_S, self._retention_s / _CHECKS_PER_RETENTION)
        while True:
            # A jitter of 10 % spreads the appends of entries that have the same renewal age.
            await asyncio.sleep(check_interval_s * self._rng.uniform(0.9, 1.1))
            try:
                await self.renew_once()
            except (LogUnavailableError, LogAnswerLostError) as error:
                _log.warning("Renewal failed, retrying: {}", error.message)
