"""A background task that fails is started again, and the process says so."""

import asyncio
import itertools

from jayvalve.internal.supervision import SupervisionSettings, TaskSupervisor
from tests.fakes_network import LoopClock
from tests.gateway_fleet import run_virtual
from tests.support import AsyncTestCase


class SupervisionTests(AsyncTestCase):
    def test_a_failed_task_is_started_again_after_growing_delays(self):
        """Guards against a process that serves on without one of its tasks."""

        async def run(loop):
            failures, starts = [], []
            clock = LoopClock(loop)
            supervisor = TaskSupervisor(clock, SupervisionSettings(0.1, 1.0), failures.append)

            async def work():
                starts.append(clock.now())
                if len(starts) < 6:
                    raise TypeError("set.issuperset() takes exactly one argument (2 given)")
                await asyncio.sleep(1000)

            supervisor.start("upkeep", work)
            await asyncio.sleep(10)
            await supervisor.close()
            gaps = [round(later - earlier, 3) for earlier, later in itertools.pairwise(starts)]
            self.assertEqual((["upkeep"] * 5, [0.1, 0.2, 0.4, 0.8, 1.0]), (failures, gaps))

        run_virtual(run)

    def test_a_task_that_returns_is_not_started_again(self):
        """Guards against tasks, such as an announcement at the start, that run for ever."""

        async def run(loop):
            starts = []

            async def work():
                starts.append(1)

            supervisor = TaskSupervisor(LoopClock(loop), SupervisionSettings())
            await supervisor.start("announcement", work)
            await asyncio.sleep(10)
            self.assertEqual([1], starts)

        run_virtual(run)

    def test_close_ends_a_task_that_waits_for_its_next_start(self):
        """Guards against a process that does not end because one of its tasks keeps failing."""

        async def run(loop):
            async def work():
                raise ValueError

            supervisor = TaskSupervisor(LoopClock(loop), SupervisionSettings())
            task = supervisor.start("loads", work)
            await asyncio.sleep(0.05)
            await supervisor.close()
            self.assertTrue(task.done())

        run_virtual(run)
