"""Helpers shared by the tests."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from testtools import TestCase

__all__ = ["AsyncTestCase"]


class AsyncTestCase(TestCase):
    """Runs coroutines on a fresh event loop with a time limit."""

    def run_async(self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20.0) -> Any:
        """Return the coroutine's result; TimeoutError after timeout_s."""

        async def limited() -> Any:
            return await asyncio.wait_for(coroutine, timeout_s)

        return asyncio.run(limited())
