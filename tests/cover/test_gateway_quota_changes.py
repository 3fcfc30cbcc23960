"""Quotas while limits change, callers leave, and requests wait for the store."""

import asyncio

import attrs
from testtools import TestCase

from jayvalve.internal.gateway.quota_bucket import (
    BucketAnswer,
)
from jayvalve.internal.gateway.quota_coordinator import QuotaQuestion
from jayvalve.internal.organisations import Organisation
from jayvalve.internal.timing import Deadline
from tests.gateway_fleet import run_virtual
from tests.platform_support import Deployment, configuration
from tests.quota_fleet import QuotaFleet
from tests.support import AsyncTestCase

LARGE = Organisation("large", rate_per_s=100.0, burst=100.0)
LOWER = attrs.evolve(LARGE, rate_per_s=10.0, burst=10.0)
# Longer than an admission applies to a request that has not been sent.
WAIT_S = 0.45


class ChangedLimitTests(TestCase):
    def play(self, work):
        """Run work(gateway, clock) at the only gateway of a fleet."""

        async def run(loop):
            fleet = QuotaFleet(loop, 1)
            fleet.start_all(LARGE)
            await asyncio.sleep(6.0)
            return await work(fleet.live["gw", 0], fleet.clock)

        return run_virtual(run)

    def test_a_question_names_the_version_of_its_limit(self):
        """Guards against a lowered limit that an earlier one replaces under the new version."""

        async def work(gateway, clock):
            asked = []

            def decide(question):
                asked.append((question.version, question.rate))
                retry_s = 0.1 if len(asked) == 1 else 0.0
                return BucketAnswer(True, 1.0, [retry_s], 0, clock.now())

            gateway.coordinator.decide = decide
            asyncio.get_running_loop().call_later(0.05, gateway.apply, 2, [LOWER])
            await gateway.admit(LARGE, "p", Deadline.after(clock, 1.0))
            await gateway.admit(LOWER, "p", Deadline.after(clock, 1.0))
            return asked

        self.assertEqual([(1, 100.0), (1, 100.0), (2, 10.0)], self.play(work))

    def rates(self, *steps):
        """Return the rate in force after each step: a question's or a configuration's limit."""

        async def work(gateway, _):
            coordinator, rates = gateway.coordinator, []
            for version, limit, asks in steps:
                if asks:
                    fields = ["large", version, limit.rate_per_s, limit.burst, [], 0, []]
                    coordinator.decide(QuotaQuestion.decode(fields))
                else:
                    coordinator.apply(version, [limit])
                coordinated = coordinator._coordinated.get("large")
                rates.append(coordinated and coordinated.limit.rate)
            return rates

        return self.play(work)

    def test_an_older_question_does_not_set_the_limit_of_a_new_bucket(self):
        """Guards against a coordinator that uses the earlier limit although it has a newer one."""
        self.assertEqual([None, 10.0], self.rates((5, LOWER, False), (4, LARGE, True)))

    def test_an_older_question_does_not_set_the_limit_of_a_bucket_in_use(self):
        """Guards against an earlier limit that comes back with the question of a late gateway."""
        steps = ((4, LARGE, True), (5, LOWER, False), (4, LARGE, True))
        self.assertEqual([100.0, 10.0, 10.0], self.rates(*steps))

    def test_the_own_configuration_precedes_a_question_of_its_version(self):
        """Guards against a question with a wrong limit that stays until the next version."""
        steps = ((5, LARGE, True), (5, LOWER, False), (5, LARGE, True))
        self.assertEqual([100.0, 10.0, 10.0], self.rates(*steps))

    def test_a_permit_of_a_caller_that_leaves_with_the_decision_is_given_back(self):
        """Guards against permits that are lost when callers time out."""

        async def work(gateway, clock):
            returned = []
            decide = gateway.coordinator.decide

            def decide_and_leave(question):
                # Runs after the decision has arrived, before its caller continues.
                asyncio.get_running_loop().call_soon(caller.cancel)
                return decide(question)

            gateway.coordinator.decide = decide_and_leave
            gateway.coordinator.take_back = lambda *fields: returned.append(fields[:2])
            caller = asyncio.ensure_future(
                gateway.admit(LARGE, "p", Deadline.after(clock, 1.0)),
            )
            await asyncio.wait([caller])
            self.assertTrue(caller.cancelled())
            return returned

        self.assertEqual([("large", 1)], self.play(work))


class LateRequestTests(AsyncTestCase):
    def test_a_request_that_waited_for_the_store_is_admitted_again(self):
        """Guards against requests that wait for the store and reach engines all at once."""
        tenants = [{"name": "limited", "api_keys": ["k1"], "rate_per_s": 1, "burst": 2}]

        async def run():
            async with Deployment.run() as deployment:
                deployment.store.put(
                    "keyed.op", "config", configuration(version=2, tenants=tenants)
                )
                gateway = deployment.gateways[0]._service
                while gateway.table.version < 2:
                    await asyncio.sleep(0.02)
                admitted = []

                async def admit(organisation, program, deadline):
                    admitted.append(organisation.name)

                gateway._quotas.admit = admit
                counts = []
                for wait_s in (0.0, WAIT_S):

                    async def reserve(call, wait_s=wait_s):
                        await asyncio.sleep(wait_s)

                    gateway._streams._reserve = reserve
                    headers = {"Authorization": "Bearer k1"}
                    answer = await deployment.call(
                        "/advice/x", attempt=f"a-{wait_s}", body=b"hello", headers=headers
                    )
                    self.assertEqual(200, answer.status)
                    counts.append(len(admitted))
                    admitted.clear()
                return counts

        self.assertEqual([1, 2], self.run_async(run()))
