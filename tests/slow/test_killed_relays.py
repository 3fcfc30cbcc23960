"""The end of a process that relays answers does not make them look complete.

Where nothing but the end of its connection ends an answer, a killed process must not end it in
order, as the kernel does unless it is told otherwise.
"""

import asyncio
import contextlib
import itertools
import os
import sys

from tests.cover.test_gateway_answer_framing import EVENTS, call_raw, chunked, read_raw
from tests.ports import HOST, free_port
from tests.scripted_engine import ScriptedEngine, success
from tests.slow.gateway_crowd import ROOT, run_gateway
from tests.slow.unfinished_answer import PART
from tests.support import AsyncTestCase

EVENT_STREAM = "text/event-stream"
# Larger than what a gateway collects before it begins to relay.
LARGE = "x" * 1_500_000
VERSIONS = ("1.0", "1.1")
READY_S = 10.0


class UnfinishedEngine(ScriptedEngine):
    """Writes what its answers consist of, and never ends them."""

    async def finish_end(self, end, writer):
        await asyncio.Event().wait()


def entry_of(service, port):
    return {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }


class KilledRelayTests(AsyncTestCase):
    async def kill_gateway(self, models, tools):
        """Return the answers by path and version of a gateway that is killed meanwhile."""
        engines = {"models": UnfinishedEngine(models), "tools": UnfinishedEngine(tools)}
        entries = {
            service: entry_of(service, await engine.listen()) for service, engine in engines.items()
        }
        with contextlib.ExitStack() as stack:
            for name, engine in engines.items():
                engine.name = name
                stack.callback(engine.stop)
            async with run_gateway(256, 32, engines=entries) as gateway:
                cases = list(itertools.product(("/chat/1", "/advice/1", "/status/1"), VERSIONS))
                cases += itertools.product(("/charge/1",), VERSIONS)
                calls = [
                    asyncio.ensure_future(call_raw(gateway.port, path, version))
                    for path, version in cases
                ]
                async with asyncio.timeout(READY_S):
                    while sum(engine.ending for engine in engines.values()) < len(cases):
                        await asyncio.sleep(0.02)
                # What the engines have written is on its way to the callers.
                await asyncio.sleep(0.3)
                gateway.process.kill()
                return dict(zip(cases, await asyncio.gather(*calls), strict=True))

    def check_answers(self, models, tools):
        answers = self.run_async(self.kill_gateway(models, tools), 40.0)
        for case, answer in answers.items():
            with self.subTest(case):
                self.assertEqual(200, answer.status)
                self.assertTrue(answer.body)
                self.assertFalse(answer.looks_whole, answer.end)

    def test_answers_without_a_length_of_a_killed_gateway_do_not_look_whole(self):
        """Guards against ORDER and MIXED: half an answer that its connection ends in order."""
        self.check_answers(
            lambda number, attempt: (success(attempt, EVENTS, EVENT_STREAM, framed=False), True),
            lambda number, attempt: (success(attempt, LARGE, "text/plain", framed=False), True),
        )

    def test_answers_in_chunks_of_a_killed_gateway_do_not_look_whole(self):
        """Guards against ORDER and MIXED at callers of HTTP/1.0, to whom chunks are unknown."""
        self.check_answers(
            lambda number, attempt: (chunked(EVENTS, last=False), True),
            lambda number, attempt: (
                chunked(LARGE, last=False).replace(EVENT_STREAM.encode(), b"text/plain"),
                True,
            ),
        )

    def test_answers_of_a_killed_entry_do_not_look_whole(self):
        """Guards against ORDER and MIXED: half an answer that its connection ends in order."""
        for version in VERSIONS:
            with self.subTest(version):
                answer = self.run_async(self.kill_entry(version), 30.0)
                self.assertEqual((200, PART), (answer.status, answer.body))
                self.assertFalse(answer.looks_whole, answer.end)

    async def kill_entry(self, version):
        """Return the answer of an entry's handler whose process is killed meanwhile."""
        port = free_port()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.slow.unfinished_answer",
            str(port),
            cwd=ROOT,
            env=dict(os.environ),
        )
        try:
            reader, writer = await self.connect(port)
            writer.write(f"POST /x HTTP/{version}\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
            answer = asyncio.ensure_future(read_raw(reader))
            # The part that is served comes with the head.
            await asyncio.sleep(0.5)
            process.kill()
            try:
                return await asyncio.wait_for(answer, 5.0)
            finally:
                writer.close()
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def connect(self, port):
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    return await asyncio.open_connection(HOST, port)
                except ConnectionRefusedError:
                    await asyncio.sleep(0.05)
