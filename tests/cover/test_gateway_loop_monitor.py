"""A process that is short of processor time says so."""

import asyncio
import time

from loguru import logger

from jayvalve.internal.gateway.loop_monitor import LoopMonitor, MonitorSettings
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.timing import Clock
from tests.support import AsyncTestCase


class LoopMonitorTests(AsyncTestCase):
    def test_a_blocked_loop_is_measured_and_logged_once_a_second(self):
        """Guards against timeouts on a slow machine that look like failures of others."""

        async def run():
            lines = []
            handler = logger.add(lambda line: lines.append(str(line)), level="WARNING")
            metrics = Metrics()
            monitor = LoopMonitor(Clock(), MonitorSettings(), metrics)
            task = asyncio.ensure_future(monitor.run())
            for _ in range(2):
                await asyncio.sleep(0.15)
                time.sleep(0.4)
            await asyncio.sleep(0.25)
            task.cancel()
            logger.remove(handler)
            return lines, metrics.histogram("jayvalve_gateway_loop_delay_seconds")

        lines, histogram = self.run_async(run())
        self.assertEqual(1, sum("the event loop is late" in line for line in lines))
        self.assertGreater(histogram.quantile_s(100.0), 0.3)
        self.assertGreaterEqual(histogram.count, 3)
