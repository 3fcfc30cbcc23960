"""Helpers shared by the tests."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from testtools import TestCase

__all__ = ["AsyncTestCase"]


class AsyncTestCase(TestCase):
    """Runs coroutines on a fresh event loop with a time limit."""

    def run_async(self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20.0) -> Any:
        """Return the coroutine's result; TimeoutError after timeout_s.

        A coroutine that swallows the cancellation at the limit fails as well.
        """

        async def limited() -> Any:
            async with asyncio.timeout(timeout_s):
                return await coroutine

        started = time.monotonic()
        result = asyncio.run(limited())
        elapsed_s = time.monotonic() - started
        if elapsed_s > timeout_s:
            raise TimeoutError(f"took {elapsed_s:.1f} s, at most {timeout_s} s are allowed")
        return result
