"""Renews the version in force before the log's retention removes it."""

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

# The first entry renews at a quarter of the retention. Each further one waits 1/32 longer,
# at most until half, which leaves half of the retention for outages of the log.
FIRST_SHARE = 1 / 4
FURTHER_SHARE = 1 / 32
LAST_SHARE = 1 / 2
# Checks are jittered by a tenth, which keeps entries with the same age from appending together.
_CHECKS_PER_RETENTION = 256
_MAX_CHECK_S = 60.0

_log = logger.bind(part="configuration")


def renewal_age_s(instance: str, entries: Iterable[str], key: str, retention_s: float) -> float:
    """Return the age of the newest record at which instance renews the key's stream."""
    order = rendezvous_order(key, set(entries) | {instance})
    share = FIRST_SHARE + order.index(instance) * FURTHER_SHARE
    return min(share, LAST_SHARE) * retention_s


class Renewal:
    """Decides when this entry renews the configuration, and does so.

    Args:
        log: Client of the log service.
        follower: Running follower of the configuration.
        instance: Name of this entry.
        entries: Returns the names of the live entries.
        retention_s: Time in seconds for which the log keeps records.
        clock: Source of the wall-clock time that is compared with record times.
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

    def due(self) -> bool:
        """Return whether this entry should renew now.

        A version that came from a peer has no known record in the log; its age counts as
        one that is due for the first entry and not yet for the others.
        """
        follower = self._follower
        # Without a base the version may have been replaced already.
        if follower.version == 0 or not follower.log.caught_up or not follower.fold.has_base:
            return False
        limit_s = renewal_age_s(self._instance, self._entries(), STREAM, self._retention_s)
        renewed_at = self._follower.fold.renewed_at
        if renewed_at is None:
            return limit_s <= FIRST_SHARE * self._retention_s
        return self._clock.wall() - renewed_at >= limit_s

    async def renew_once(self) -> bool:
        """Renew if due; return whether the record was appended.

        Raises:
            LogUnavailableError: the record was not appended.
            LogAnswerLostError: the record may have been appended.

        """
        if not self.due():
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
        """Check and renew until cancelled."""
        check_s = min(_MAX_CHECK_S, self._retention_s / _CHECKS_PER_RETENTION)
        while True:
            await asyncio.sleep(check_s * self._rng.uniform(0.9, 1.1))
            try:
                await self.renew_once()
            except (LogUnavailableError, LogAnswerLostError) as error:
                _log.warning("Renewal failed and is tried again: {}", error.message)
