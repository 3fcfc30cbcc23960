"""A budget is split between two partitions, either of which may be unavailable."""

from jayvalve.errors import BudgetExceededError, LogUnavailableError
from jayvalve.internal.gateway.accounts import AccountSettings
from jayvalve.internal.gateway.leases import LeaseSettings
from jayvalve.internal.gateway.ledger import BudgetLedger, LedgerSettings
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.timing import Clock
from tests.cover.test_gateway_ledger import short_deadline
from tests.platform_support import MemoryLog
from tests.support import AsyncTestCase


class _PartialOutageLog(MemoryLog):
    """Log with some partitions that refuse all calls."""

    def __init__(self):
        super().__init__()
        self.unavailable = set()

    async def append(
        self, topic, partition, records, deadline, call_timeout_s=None, wait_until_available=True
    ):
        if (topic, partition) in self.unavailable:
            raise LogUnavailableError("the partition is unavailable")
        return await super().append(topic, partition, records, deadline)

    async def read(self, topic, partition, start, deadline, call_timeout_s=None, **options):
        if (topic, partition) in self.unavailable:
            raise LogUnavailableError("the partition is unavailable")
        return await super().read(topic, partition, start, deadline)


class SecondPartitionTests(AsyncTestCase):
    """Tests of budgets while some partitions of the store are unavailable."""

    MAP = PartitionMap("budget-", 1, 12)
    PROGRAMS = 60

    def ledger(self, log):
        settings = LedgerSettings(
            settle_wait_s=0.0,
            leases=LeaseSettings(turns=3),
            accounts=AccountSettings(settle_delay_s=30.0),
        )
        return BudgetLedger(log, self.MAP, Clock(), settings)

    def test_programs_start_while_a_third_of_the_partitions_is_unavailable(self):
        """Guards against status 503 for every program whose first partition is unavailable.

        Both partitions of a program are unavailable for (4 x 3) / (12 x 11) of the programs,
        about a tenth.
        """

        async def run():
            log = _PartialOutageLog()
            ledger = self.ledger(log)
            log.unavailable = {("budget-0", number) for number in range(4)}
            served = 0
            for number in range(self.PROGRAMS):
                for turn in range(3):
                    try:
                        reservation = await ledger.reserve(
                            f"p{number}", f"t{number}-{turn}", 100, 900, short_deadline()
                        )
                    except LogUnavailableError:
                        break
                    ledger.settle(reservation, 30)
                else:
                    served += 1
            return served

        self.assertGreaterEqual(self.run_async(run()), 0.8 * self.PROGRAMS)

    def test_the_whole_budget_can_be_spent(self):
        """Guards against status 402 while both partitions together have enough tokens left."""

        async def run():
            for budget in (100, 199, 200, 500, 950, 2000):
                ledger = self.ledger(MemoryLog())
                completed = 0
                try:
                    while True:
                        reservation = await ledger.reserve(
                            "p", f"t{completed}", 100, budget, short_deadline()
                        )
                        completed += 1
                        ledger.settle(reservation, 100)
                except BudgetExceededError:
                    self.assertEqual(budget // 100, completed, f"budget {budget}")

        self.run_async(run())

    def test_a_budget_is_not_reported_spent_while_a_partition_is_unavailable(self):
        """Guards against status 402, which ends a program, while part of its budget is unknown.

        The available partition grants 360 of the 900 tokens, enough for 3 turns of 100 tokens. All
        9 turns would need both partitions.
        """

        async def run():
            log = _PartialOutageLog()
            ledger = self.ledger(log)
            partition = self.MAP.of("p")
            log.unavailable = {(partition.topic, partition.index)}
            for turn in range(30):
                try:
                    ledger.settle(
                        await ledger.reserve("p", f"t{turn}", 100, 900, short_deadline()), 100
                    )
                except LogUnavailableError:
                    return turn
            return None

        self.assertIn(self.run_async(run()), range(3, 9))

    def test_both_partitions_together_grant_no_more_than_the_budget(self):
        """Guards against a budget that is granted in full by each partition."""

        async def run():
            log = _PartialOutageLog()
            partition = self.MAP.of("p")
            handed_out = 0
            for number in range(40):
                # Use a new gateway each time, so that only the log limits the turns.
                ledger = self.ledger(log)
                log.unavailable = {(partition.topic, partition.index)} if number % 2 else set()
                try:
                    await ledger.reserve("p", f"t{number}", 100, 900, short_deadline())
                    handed_out += 100
                except (BudgetExceededError, LogUnavailableError):
                    continue
            return handed_out

        self.assertLessEqual(self.run_async(run()), 900)


class PartitionMapTests(AsyncTestCase):
    def test_the_second_partition_is_another_one(self):
        """Guards against a single account that serves both shares of a budget."""
        for total in (2, 3, 96):
            partitions = PartitionMap("budget-", 1, total)
            for number in range(200):
                key = f"p{number}"
                self.assertNotEqual(partitions.of(key), partitions.of(key, 1))
