"""A process ends after its stop signal, whatever its parts do."""

import asyncio
import os
import signal
from unittest import mock

from loguru import logger

from jayvalve.internal import lifecycle
from tests.support import AsyncTestCase


class Service:
    """A service whose stop waits for ever if it is told to."""

    def __init__(self, hangs):
        self.hangs = hangs
        self.stopped = False

    async def start(self):
        asyncio.get_running_loop().call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
        return "ready"

    async def drain(self):
        pass

    async def stop(self):
        if self.hangs:
            await asyncio.Event().wait()
        self.stopped = True


class LifecycleTests(AsyncTestCase):
    def run_service(self, hangs):
        lines = []
        handler = logger.add(lambda line: lines.append(str(line)), level="ERROR")
        service = Service(hangs)
        try:
            with mock.patch.object(lifecycle, "STOP_TIMEOUT_S", 0.2):
                self.run_async(lifecycle.run_until_stopped(service), timeout_s=5.0)
        finally:
            logger.remove(handler)
        return service.stopped, lines

    def test_a_stop_that_hangs_is_abandoned_and_logged(self):
        """Guards against a process that does not end after SIGTERM and does not say why."""
        stopped, lines = self.run_service(hangs=True)
        self.assertFalse(stopped)
        self.assertEqual(1, sum("stop abandoned" in line for line in lines))

    def test_a_stop_in_time_is_complete(self):
        """Guards against a bound that cuts off an ordinary stop."""
        self.assertEqual((True, []), self.run_service(hangs=False))
