"""Relays of all partitions that one entry serves."""

import asyncio
import random

from jayvalve.internal.claims.records import PARTITIONS, Settled, partition_of, stream_name
from jayvalve.internal.claims.relay import ClaimRelay, WaitingLimit
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.log import LogClient
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import ClaimDecision, ClaimRequest, KeyQuery, OutcomeReport

__all__ = ["ClaimRelays", "relay_of"]


def relay_of(organisation: str, key: str, entries: list[str]) -> str:
    """Return the entry that relays the partition of the key."""
    return rendezvous_order(stream_name(partition_of(organisation, key)), entries)[0]


class ClaimRelays:
    """Relays of one entry, each started by prepare or by the first request for its partition."""

    def __init__(
        self,
        log: LogClient,
        retention_s: float,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        poll_s: float = 1.0,
    ) -> None:
        self._log = log
        self._retention_s = retention_s
        self._clock = clock or Clock()
        self._rng = rng
        self._poll_s = poll_s
        self._claims_limit = WaitingLimit()
        self._outcomes_limit = WaitingLimit()
        self._relays: dict[int, tuple[ClaimRelay, asyncio.Task]] = {}

    def __repr__(self) -> str:
        return f"ClaimRelays(partitions={sorted(self._relays)})"

    @property
    def waiting(self) -> int:
        """Number of claims in all partitions that are waiting for the log."""
        return self._claims_limit.waiting

    async def claim(self, request: ClaimRequest, deadline: Deadline) -> ClaimDecision:
        """Claim a key; see ClaimRelay.claim."""
        return await self._relay_for(request.organisation, request.key).claim(request, deadline)

    async def report_outcome(self, report: OutcomeReport, deadline: Deadline) -> ClaimDecision:
        """Record an outcome; see ClaimRelay.report_outcome."""
        relay = self._relay_for(report.organisation, report.key)
        return await relay.report_outcome(report, deadline)

    async def settle(self, settlement: Settled, deadline: Deadline) -> ClaimDecision:
        """Record an operator's decision; see ClaimRelay.settle."""
        return await self._relay_for(settlement.organisation, settlement.key).settle(
            settlement, deadline
        )

    async def query(self, query: KeyQuery, deadline: Deadline) -> ClaimDecision:
        """Return the state of a key; see ClaimRelay.query."""
        return await self._relay_for(query.organisation, query.key).query(query, deadline)

    def prepare(self, instance: str, entries: list[str]) -> None:
        """Start the relays of the partitions that are assigned to instance.

        Reading a partition takes time, so its relay starts before the first claim arrives.
        """
        for number in range(PARTITIONS):
            if rendezvous_order(stream_name(number), entries)[:1] == [instance]:
                self._get_or_start(number)

    async def close(self) -> None:
        """Stop all relays."""
        tasks = [task for _, task in self._relays.values()]
        self._relays.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _relay_for(self, organisation: str, key: str) -> ClaimRelay:
        return self._get_or_start(partition_of(organisation, key))

    def _get_or_start(self, number: int) -> ClaimRelay:
        # A relay whose task has failed is replaced, and the new one reads the stream again.
        if number not in self._relays or self._relays[number][1].done():
            relay = ClaimRelay(
                self._log,
                number,
                self._retention_s,
                clock=self._clock,
                claims_limit=self._claims_limit,
                outcomes_limit=self._outcomes_limit,
                rng=self._rng,
                poll_s=self._poll_s,
            )
            self._relays[number] = relay, asyncio.create_task(relay.run())
        return self._relays[number][0]
