"""Bytes of callers that a gateway has not read count against the memory of its machine.

Bound: resident size and unread bytes together stay below the memory of the machine.
"""

import asyncio
import contextlib
import functools
import pathlib

import pytest

from tests.slow.gateway_crowd import MIB, run_crowd, run_gateway
from tests.slow.test_gateway_crowds import CROWD_S, FILE_DESCRIPTORS, ROUTES, SENDS, SMALL
from tests.support import AsyncTestCase

CLIENTS = 1500


def count_unread(port):
    """Return the bytes in the receive queues of the connections to a port."""
    suffix = f":{port:04X}"
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(suffix):
            total += int(fields[4].partition(":")[2], 16)
    return total


@pytest.mark.xdist_group("abusive-clients")
class UnreadBytesTests(AsyncTestCase):
    def test_bodies_that_are_sent_ahead(self):
        """Guards against clients that fill the memory of a machine outside its processes."""
        peaks = []

        async def watch(gateway):
            while True:
                unread = await asyncio.to_thread(count_unread, gateway.port)
                peaks.append((gateway.peak_bytes + unread, unread))
                await asyncio.sleep(0.1)

        async def run():
            memory_mb, margin_mb = SMALL
            async with run_gateway(memory_mb, margin_mb, FILE_DESCRIPTORS) as gateway:
                watching = asyncio.ensure_future(watch(gateway))
                for path in ROUTES:
                    script = functools.partial(SENDS.get("bodies that lack one byte"), path)
                    await run_crowd(gateway, gateway.port, CLIENTS, script, False, CROWD_S)
                watching.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await watching
                total, unread = max(peaks)
                print(f"resident and unread {total / MIB:.0f} MiB, unread {unread / MIB:.0f}")
                self.assertLess(total, memory_mb * MIB)

        self.run_async(run(), 120.0)
