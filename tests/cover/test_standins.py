"""Tests of the stand-ins: batching simulation, protocols, faults and limits."""

import asyncio
import base64
import json
import random
import subprocess
import sys
from contextlib import asynccontextmanager

from openai import AsyncOpenAI
from testtools import TestCase
from testtools.matchers import MatchesRegex
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.timing import ManualClock
from jayvalve.standins import STAND_INS, ContinuousBatchEngine, EngineCall
from jayvalve.standins.batching import FINISHED, FIRST_TOKEN, TOKEN
from jayvalve.standins.log_service import LogService, LogSettings
from jayvalve.standins.tokens import block_hashes, render_messages, split_tokens
from tests.support import AsyncTestCase

MESSAGES = [{"role": "user", "content": "deliver seawater to tank seven"}]


@asynccontextmanager
async def running(kind, config=None):
    standin = STAND_INS.get(kind).from_config(config or {})
    port = await standin.start()
    try:
        yield standin, f"http://127.0.0.1:{port}"
    finally:
        await standin.stop()


async def fetch(url, body=None, headers=None):
    """Return (status, document); 599 means no answer: connection failed, closed or timed out."""
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            url,
            method="GET" if body is None else "POST",
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json", **(headers or {})},
            raise_error=False,
            request_timeout=10,
        )
    except (HTTPClientError, StreamClosedError, OSError):
        return 599, None
    finally:
        client.close()
    return response.code, json.loads(response.body) if response.body else None


def chat_request(**fields):
    return {"model": "small", "messages": MESSAGES, "max_tokens": 4, **fields}


async def open_chat(base, body, request_id=None):
    """Send a chat request on a raw TCP connection and return the connection."""
    data = json.dumps(body).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n"
    if request_id:
        head += f"X-Request-Id: {request_id}\r\n"
    stream = await TCPClient().connect("127.0.0.1", int(base.rsplit(":", 1)[1]))
    await stream.write(head.encode() + b"\r\n" + data)
    return stream


async def wait_until(condition, seconds=5.0):
    for _ in range(int(seconds / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


def make_call(name, tokens=5, blocks=(), priority=0, program="p"):
    return EngineCall(name, program, blocks, 16 * len(blocks) + 10, tokens, priority)


class BatchingTest(TestCase):
    def test_decode_slows_with_the_batch(self):
        """Guards against decoding at full speed in a large batch, which would hide queueing."""
        times = []
        for size in (1, 8):
            engine = ContinuousBatchEngine(prefill_tokens_per_s=1e9, batch_slowdown=0.1)
            for number in range(size):
                engine.submit(make_call(str(number), tokens=100), 0.0)
            times.append(engine.advance(1e6)[-1].at_s)
        self.assertAlmostEqual(99 / 60, times[0], places=3)
        self.assertAlmostEqual(99 / 60 * 1.7, times[1], places=3)

    def test_priority_and_limit(self):
        """Guards against admission in arrival order and against a batch above max_running."""
        engine = ContinuousBatchEngine(max_running=1)
        engine.submit(make_call("first"), 0.0)
        engine.submit(make_call("low", priority=9), 0.0)
        engine.submit(make_call("high", priority=1), 0.0)
        self.assertEqual((1, 2), (engine.running, engine.waiting))
        ended = [e.call_id for e in engine.advance(100.0) if e.kind == FINISHED]
        self.assertEqual(["first", "high", "low"], ended)

    def test_token_events_do_not_change_finish_times(self):
        """Guards against finish times that depend on token_events."""
        ends = []
        # The HTTP stand-in sets token_events, experiments do not: both must see equal times.
        for token_events in (False, True):
            rng = random.Random(5)
            engine = ContinuousBatchEngine(max_running=4, token_events=token_events)
            events, now = [], 0.0
            for number in range(200):
                now += rng.expovariate(20.0)
                new = make_call(str(number), tokens=rng.randint(1, 40), priority=number % 2)
                events += engine.submit(new, now)
                if number % 10 == 9:
                    engine.cancel(str(number - 5), now)
            events += engine.advance(1e6)
            self.assertEqual((0, 0), (engine.running, engine.waiting))
            ends.append({e.call_id: round(e.at_s, 6) for e in events if e.kind == FINISHED})
            if token_events:
                one = [e for e in events if e.call_id == "0"]
                kinds = [FIRST_TOKEN, *[TOKEN] * (len(one) - 2), FINISHED]
                self.assertEqual(kinds, [e.kind for e in one])
                self.assertEqual(list(range(len(one))), [e.index for e in one])
            times = [e.at_s for e in events]
            self.assertEqual(sorted(times), times)
        self.assertEqual(ends[0], ends[1])

    def test_cancel_frees_the_slot(self):
        """Guards against cancelled calls that keep their slot in the batch."""
        engine = ContinuousBatchEngine(max_running=1)
        for name in ("decoding", "prefilling", "last"):
            engine.submit(make_call(name, tokens=1000), 0.0)
        engine.advance(1.0)
        self.assertTrue(engine.cancel("decoding", 1.0))
        self.assertTrue(engine.cancel("prefilling", 1.0))
        self.assertFalse(engine.cancel("prefilling", 1.0))
        self.assertEqual((1, 0), (engine.running, engine.waiting))
        ended = [e.call_id for e in engine.advance(1e6) if e.kind == FINISHED]
        self.assertEqual(["last"], ended)

    def test_cache_counts_hits_and_rebuilds(self):
        """Guards against wrong counts of cache hits, rebuilt tokens and tokens in the cache."""
        engine = ContinuousBatchEngine(cache_tokens=64)
        for number, blocks in enumerate([(1, 2, 3), (1, 2, 3), (7, 8, 9), (1, 2, 3)]):
            engine.submit(
                make_call(str(number), blocks=blocks, program=str(number % 2)), number * 10.0
            )
            engine.advance(number * 10.0 + 9)
        cache = engine.cache
        # The third call evicts blocks 3 and 2; block 1 is still cached for the fourth.
        self.assertEqual(48 + 16, cache.cached_tokens)
        self.assertEqual(32, cache.rebuilt_tokens)
        self.assertEqual(64, cache.tokens)
        # Guards against cache events later than the requested time.
        self.assertEqual([0], [e.sequence for e in engine.cache_events(0, 5.0)])

    def test_block_size_sets_the_capacity(self):
        """Guards against counting blocks instead of tokens."""
        engine = ContinuousBatchEngine(cache_tokens=1000, block_tokens=500)
        engine.import_blocks("a", [1, 2, 3], 0.0)
        self.assertEqual((1000, 500), (engine.cache.tokens, engine.cache.evicted_tokens))

    def test_release_keeps_shared_blocks_only(self):
        """Guards against a release that leaks a program's blocks or frees those of another one."""
        engine = ContinuousBatchEngine()
        engine.import_blocks("a", [1, 2], 0.0)
        engine.import_blocks("b", [1, 3], 0.0)
        self.assertEqual([1, 2], engine.export("a"))
        self.assertEqual(16, engine.release("a", 1.0))
        self.assertEqual({"b": 32}, engine.cache.programs)
        self.assertEqual(32, engine.release("b", 1.0))
        self.assertEqual((0, {}), (engine.cache.tokens, engine.cache.programs))

    def test_longer_conversation_extends_the_block_hashes(self):
        """Guards against later turns of a conversation whose prefix does not match the cache."""
        first = MESSAGES * 10
        longer = [*first, {"role": "assistant", "content": "yes"}]
        short = block_hashes(split_tokens(render_messages(first)))
        self.assertEqual(short, block_hashes(split_tokens(render_messages(longer)))[: len(short)])
        changed = [{"role": "user", "content": "bring freshwater"}, *longer[1:]]
        other = block_hashes(split_tokens(render_messages(changed)))
        # Later blocks with equal words differ too, because a hash covers the preceding blocks.
        self.assertEqual(set(), set(short) & set(other))


class ModelEngineTest(AsyncTestCase):
    FAST = {"engine": {"decode_tokens_per_s": 500.0}, "load_lag_s": 0.0, "events_lag_s": 0.0}
    SLOW = {"engine": {"decode_tokens_per_s": 5.0}, "load_lag_s": 0.0}

    def test_stream_equals_whole_answer(self):
        """Guards against streamed and whole answers that differ."""

        async def body():
            async with running("model-engine", self.FAST) as (_, base):
                _, whole = await fetch(f"{base}/v1/chat/completions", chat_request())
                lines = await self.stream(base, chat_request(stream=True))
                text = "".join(c["choices"][0]["delta"].get("content", "") for c in lines)
                self.assertEqual(whole["choices"][0]["message"]["content"], text)
                self.assertEqual(4, whole["usage"]["completion_tokens"])
                self.assertEqual("length", lines[-1]["choices"][0]["finish_reason"])
                status, _ = await fetch(f"{base}/v1/chat/completions", chat_request(model="none"))
                self.assertEqual(404, status)

        self.run_async(body())

    async def stream(self, base, document, path="/v1/chat/completions", headers=None):
        client = AsyncHTTPClient(force_instance=True)
        data = None if document is None else json.dumps(document)
        method = "GET" if document is None else "POST"
        response = await client.fetch(base + path, method=method, body=data, headers=headers)
        client.close()
        lines = response.body.decode().split("\n\n")
        self.assertEqual(["data: [DONE]", ""], lines[-2:])
        return [json.loads(line[6:]) for line in lines[:-2]]

    def test_openai_client_reads_the_answers(self):
        """Guards against responses that the official OpenAI client cannot parse."""

        async def body():
            async with running("model-engine", self.FAST) as (_, base):
                async with AsyncOpenAI(
                    base_url=f"{base}/v1", api_key="none", max_retries=0
                ) as client:
                    self.assertEqual(["small"], [m.id async for m in await client.models.list()])
                    whole = await client.chat.completions.create(**chat_request())
                    options = {"stream": True, "stream_options": {"include_usage": True}}
                    stream = await client.chat.completions.create(**chat_request(), **options)
                    chunks = [chunk async for chunk in stream]
                text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
                self.assertEqual(whole.choices[0].message.content, text)
                self.assertEqual(whole.usage.total_tokens, chunks[-1].usage.total_tokens)

        self.run_async(body())

    def test_closed_connection_cancels(self):
        """Guards against calls that keep running after their connection has closed."""

        async def body():
            async with running("model-engine", self.SLOW) as (engine, base):
                for streamed in (True, False):
                    stream = await open_chat(base, chat_request(max_tokens=500, stream=streamed))
                    self.assertTrue(await wait_until(lambda: engine.engine.running == 1))
                    stream.close()
                    self.assertTrue(await wait_until(lambda: engine.engine.running == 0))

        self.run_async(body())

    def test_stop_completes_after_a_cancelled_call(self):
        """Guards against a stop whose cancellation of the engine's task is lost."""

        async def body():
            async with running("model-engine", self.SLOW) as (engine, _):
                generation = engine.generate(chat_request(max_tokens=500), "p", "")
                await asyncio.sleep(0.05)
                # Wakes the engine's task in the same iteration of the event loop as the stop.
                engine.cancel(generation)
                # asyncio.timeout might hang: it cancels the stop, which may suppress that.
                stop = asyncio.create_task(engine.stop())
                done, _ = await asyncio.wait({stop}, timeout=2.0)
                stop.cancel()
                self.assertEqual(1, len(done))

        self.run_async(body())

    def test_resume_continues_after_a_lost_connection(self):
        """Guards against a resume that repeats or skips tokens."""

        async def body():
            config = {**self.FAST, "resume_grace_s": 5.0}
            async with running("model-engine", config) as (engine, base):
                whole = await self.stream(base, chat_request(max_tokens=40, stream=True))
                stream = await open_chat(base, chat_request(max_tokens=40, stream=True), "r1")
                await stream.read_until(b"data: ")
                stream.close()
                rest = await self.stream(base, None, "/v1/streams/r1?from=7")
                self.assertEqual([c["choices"] for c in whole[7:]], [c["choices"] for c in rest])

        self.run_async(body())

    def test_kv_interface(self):
        """Guards against miscounted cache tokens after an export, import or release."""

        async def body():
            long = chat_request(messages=MESSAGES * 20)
            async with running("model-engine", self.FAST) as (_, base):
                headers = {"X-Program-Id": "p1"}
                await fetch(f"{base}/v1/chat/completions", long, headers)
                _, again = await fetch(f"{base}/v1/chat/completions", long, headers)
                self.assertGreater(again["usage"]["prompt_tokens_details"]["cached_tokens"], 100)
                _, cached = await fetch(f"{base}/kv/programs")
                _, exported = await fetch(f"{base}/kv/export", {"program": "p1"})
                _, events = await fetch(f"{base}/kv/events?from=0")
                self.assertEqual("stored", events["events"][0]["kind"])
                _, freed = await fetch(f"{base}/kv/release", {"program": "p1"})
                self.assertEqual(cached["tokens"], freed["released_tokens"])
                await fetch(f"{base}/kv/import", exported)
                _, after = await fetch(f"{base}/kv/programs")
                self.assertEqual(cached["programs"], after["programs"])

        self.run_async(body())

    def test_kv_release_accepts_the_program_name_of_a_chat(self):
        """Guards against a release that rejects the program names that sidecars use."""

        async def body():
            async with running("model-engine", self.FAST) as (_, base):
                headers = {"X-Program-Id": "default/p1.child"}
                await fetch(
                    f"{base}/v1/chat/completions", chat_request(messages=MESSAGES * 20), headers
                )
                _, cached = await fetch(f"{base}/kv/programs")
                _, freed = await fetch(f"{base}/kv/release", {"program": "default/p1.child"})
                self.assertGreater(cached["tokens"], 0)
                self.assertEqual(cached["tokens"], freed["released_tokens"])

        self.run_async(body())

    def test_orders_and_fencing(self):
        """Guards against stale orders that run despite checks_fencing or fail without it."""

        async def body():
            for checks, expected in ((True, 409), (False, 200)):
                config = {**self.FAST, "checks_fencing": checks}
                async with running("model-engine", config) as (engine, base):
                    order = {"action": "load", "model": "large", "fencing": 7}
                    self.assertEqual(200, (await fetch(f"{base}/orders", order))[0])
                    old = {"action": "unload", "model": "large", "fencing": 6}
                    self.assertEqual(expected, (await fetch(f"{base}/orders", old))[0])
                    self.assertEqual(checks, "large" in engine.models)

        self.run_async(body())

    def test_cache_events_are_delayed_and_have_gaps(self):
        """Guards against events that appear earlier or more completely than the settings allow."""

        async def body():
            config = {**self.FAST, "events_lag_s": 0.3, "events_gap_every": 2}
            async with running("model-engine", config) as (engine, base):
                clock = engine._clock = ManualClock()
                for block in range(4):
                    engine.engine.import_blocks("p", [block], engine.clock.now())
                self.assertEqual([], (await fetch(f"{base}/kv/events?from=0"))[1]["events"])
                clock.advance(0.29)
                self.assertEqual([], (await fetch(f"{base}/kv/events?from=0"))[1]["events"])
                clock.advance(0.02)
                _, page = await fetch(f"{base}/kv/events?from=0")
                self.assertEqual([0, 2], [e["sequence"] for e in page["events"]])

        self.run_async(body())

    def test_unknown_settings_are_rejected(self):
        """Guards against a misspelt setting that is ignored without an error."""
        for config in ({"model": []}, {"engine": {"rate": 1}}):
            error = self.assertRaises(
                InvalidSettingsError, STAND_INS.get("model-engine").from_config, config
            )
            self.assertIn("settings", error.message)


class FaultsTest(AsyncTestCase):
    def test_fault_modes_and_limits(self):
        """Guards against faults with the wrong effect or that apply to the wrong requests."""

        async def body():
            async with running("application-engine") as (_, base):

                async def book(key, mode, **fields):
                    fault = {"mode": mode, "count": 1, **fields}
                    self.assertEqual(200, (await fetch(f"{base}/faults", fault))[0])
                    status, _ = await fetch(f"{base}/bookings", {}, {"Idempotency-Key": key})
                    _, runs = await fetch(f"{base}/runs?key={key}")
                    return status, runs["runs"]

                self.assertEqual((599, 0), await book("a", "down"))
                self.assertEqual((599, 1), await book("b", "lose_answers"))
                self.assertEqual((201, 1), await book("c", "slow", delay_s=0.05))
                self.assertEqual((201, 1), await book("d", "none"))
                self.assertEqual((201, 1), await book("e", "down", seconds=0))
                self.assertEqual(201, (await fetch(f"{base}/bookings", {"key": "b"}))[0])
                self.assertEqual(2, (await fetch(f"{base}/runs?key=b"))[1]["runs"])
                for wrong in ({"mode": "odd"}, {"mode": "down", "seconds": "5"}):
                    self.assertEqual(400, (await fetch(f"{base}/faults", wrong))[0])

        self.run_async(body())

    def test_hang_blocks_one_connection_only(self):
        """Guards against a hang that answers the request or blocks other connections."""

        async def body():
            async with running("application-engine") as (standin, base):
                await fetch(f"{base}/faults", {"mode": "hang", "count": 1})
                hung = asyncio.create_task(fetch(f"{base}/bookings", {"key": "a"}))
                self.assertTrue(await wait_until(lambda: len(standin.handlers) == 1))
                self.assertEqual(200, (await fetch(f"{base}/route?from=a&to=b"))[0])
                self.assertFalse(hung.done())
                self.assertEqual([], standin.runs)
                await standin.stop()
                self.assertEqual(599, (await hung)[0])

        self.run_async(body())


class LogServiceTest(AsyncTestCase):
    def test_append_read_and_long_poll(self):
        """Guards against lost or reordered records and a long poll that misses an append."""

        async def body():
            async with running("log") as (_, base):
                url = f"{base}/streams/config/records"
                for number in range(3):
                    data = base64.b64encode(b"%d" % number).decode()
                    self.assertEqual((200, {"offset": number}), await fetch(url, {"data": data}))
                _, page = await fetch(f"{url}?from=1&limit=1")
                self.assertEqual((0, 2), (page["first"], page["next"]))
                self.assertEqual(b"1", base64.b64decode(page["records"][0]["data"]))
                poll = asyncio.create_task(fetch(f"{url}?from=3&wait_ms=5000"))
                await asyncio.sleep(0.1)
                self.assertFalse(poll.done())
                await fetch(url, {"data": base64.b64encode(b"3").decode()})
                self.assertEqual([3], [r["offset"] for r in (await poll)[1]["records"]])
                _, empty = await fetch(f"{url}?from=4&wait_ms=50")
                self.assertEqual((4, []), (empty["next"], empty["records"]))

        self.run_async(body())

    def test_rate_limit_counts_all_streams(self):
        """Guards against a rate limit that applies to each stream separately."""

        async def body():
            async with running("log", {"appends_per_s": 1}) as (_, base):
                record = {"data": base64.b64encode(b"x").decode()}
                self.assertEqual(200, (await fetch(f"{base}/streams/a/records", record))[0])
                self.assertEqual(429, (await fetch(f"{base}/streams/b/records", record))[0])

        self.run_async(body())

    def test_retention_drops_old_records(self):
        """Guards against expired records that are still returned and offsets that are reused."""

        async def body():
            clock = ManualClock()
            log = LogService(LogSettings(retention_s=10.0), clock)
            log.stream("s").append(b"old", clock.wall())
            clock.advance(6.0)
            log.stream("s").append(b"new", clock.wall())
            clock.advance(6.0)
            self.assertEqual([1], [r.offset for r in log.stream("s").read(0, 10)])
            clock.advance(6.0)
            self.assertEqual((2, 2), (log.stream("s").first, log.stream("s").next))

        self.run_async(body())


class RunnerAndServicesTest(AsyncTestCase):
    def test_runner_prints_the_port_and_stops_on_sigterm(self):
        """Guards against a demo that waits forever for the ready line or the end on SIGTERM."""
        program = (
            "import asyncio; from jayvalve.standins import run_standin; "
            "asyncio.run(run_standin('log', {'appends_per_s': 5}))"
        )
        command = [sys.executable, "-c", program]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            line = process.stdout.readline()
            process.terminate()
            self.assertEqual(0, process.wait(10))
        self.assertThat(line, MatchesRegex(r"standin log ready on 127\.0\.0\.1:\d+\n"))

    def test_instance_list_lags(self):
        """Guards against a list that shows changes before its lag has passed."""

        async def body():
            fields = {"instance": "e1", "incarnation": 1, "role": "entry"}
            fields |= {"data_centre": "catania", "address": "127.0.0.1:1"}
            async with running("instance-list", {"lag_s": 0.3}) as (_, base):
                await fetch(f"{base}/instances", fields)
                self.assertEqual([], (await fetch(f"{base}/instances"))[1]["instances"])
                await asyncio.sleep(0.35)
                await fetch(f"{base}/instances", {"action": "leave", "instance": "e1"})
                _, document = await fetch(f"{base}/instances")
                self.assertEqual([{**fields, "state": "live"}], document["instances"])
                await asyncio.sleep(0.35)
                _, document = await fetch(f"{base}/instances")
                self.assertEqual("leaving", document["instances"][0]["state"])

        self.run_async(body())

    def test_weight_store_limits_fetches(self):
        """Guards against a store that limits the fetches of each model separately."""

        async def body():
            async with running("weight-store", {"burst": 2}) as (_, base):
                codes = [(await fetch(f"{base}/weights/m{n}/fetch", {}))[0] for n in range(3)]
                self.assertEqual([200, 200, 429], codes)

        self.run_async(body())
