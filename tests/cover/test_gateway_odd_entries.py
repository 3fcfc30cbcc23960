"""Entries of other writers among those of the engines affect no call and no other engine."""

import asyncio
import json
import math

from tests.platform_support import Deployment
from tests.support import AsyncTestCase

DRAIN_S = 2.0
HUGE = 10**400


def odd_entries(entry):
    """Return records that look like an engine's entry and name no engine to use."""
    changes = [
        {"slots": HUGE},
        {"slots": 1e300},
        {"cold_remaining_ms": HUGE},
        {"cold_remaining_ms": math.inf},
        {"cold_remaining_ms": math.nan},
        {"born": HUGE},
        {"born": 2**64},
        {"sequence": HUGE},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:-1"},
        {"address": "engine.example:80"},
        {"address": None},
        {"state": "resting"},
        {"state": []},
        {"service": 5},
        {"zone": "\ud800"},
    ]
    records = [json.dumps({**entry, **change}).encode() for change in changes]
    for name in entry:
        if name != "born":
            records.append(json.dumps({k: v for k, v in entry.items() if k != name}).encode())
    nested = b'{"service": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    return [*records, nested, b"[" * 100_000, b"\xff\xfe", b"[]", b"null", b"1e999", b'"text"']


class OddEntryTests(AsyncTestCase):
    async def check_calls(self, deployment, name):
        for path in ("/charge/1", "/advice/1", "/chat/1"):
            answer = await deployment.call(path, attempt=f"{name}-{path[1]}", body=b"x")
            self.assertEqual((200, True), (answer.status, answer.whole), answer.body)

    def test_odd_entries_affect_no_call_and_no_start(self):
        """Guards against LOST: one entry that fails every call, or that stops a follower."""

        async def run():
            async with Deployment.run(gateways=1, models=2, tools=2) as deployment:
                tool = deployment.engines["tool-0"]
                address = f"127.0.0.1:{deployment.engine_ports['tool-0']}"
                for number, record in enumerate(odd_entries(tool.entry("tools", address))):
                    deployment.store.put("keyed.servers", f"odd-{number}", record)
                valid = json.dumps(tool.entry("tools", address)).encode()
                deployment.store.put("keyed.servers", "odd\r\nX-Injected: 1", valid)
                await asyncio.sleep(1.2)
                await self.check_calls(deployment, "followed")
                self.assertEqual(4, deployment.gateways[0].known_engines)
                # Changes after the odd ones are followed, and a start reads all of them at once.
                late = await deployment.add_engine("tool-9", "tools", streaming=False)
                async with asyncio.timeout(3.0):
                    while deployment.gateways[0].known_engines < 5:
                        await asyncio.sleep(0.05)
                await deployment.restart_gateway(0)
                await deployment.wait_ready()
                await self.check_calls(deployment, "started")
                self.assertEqual(5, deployment.gateways[0].known_engines)
                self.assertFalse(late.ended)

        self.run_async(run())

    def test_an_odd_entry_does_not_make_a_draining_engine_ready(self):
        """Guards against DRAIN: another writer that makes a leaving engine ready."""

        async def run():
            async with Deployment.run(gateways=1, models=1, tools=2) as deployment:
                tool = deployment.engines["tool-0"]
                address = f"127.0.0.1:{deployment.engine_ports['tool-0']}"
                entry = tool.entry("tools", address, state="draining")
                deployment.store.put("keyed.servers", "tool-0", entry)
                await asyncio.sleep(DRAIN_S)
                for number, record in enumerate(odd_entries(tool.entry("tools", address))):
                    before = tool.runs.total()
                    deployment.store.put("keyed.servers", "tool-0", record)
                    if number % 8 == 0:
                        await asyncio.sleep(0.7)
                    for call in range(2):
                        answer = await deployment.call(
                            "/charge/1", attempt=f"late-{number}-{call}", body=b"x"
                        )
                        self.assertEqual(200, answer.status)
                    self.assertEqual(before, tool.runs.total(), record[:200])

        self.run_async(run())
