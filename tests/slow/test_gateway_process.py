"""Gateways with stand-ins for the platform, as callers and engines see them."""

import asyncio
import contextlib
import json

from jayvalve.standins.faults import FaultMode
from tests.platform_support import HOST, Deployment, configuration, request
from tests.ports import free_port
from tests.support import AsyncTestCase

# Time within which the platform requires a restarted gateway to serve requests.
RECOVERY_S = 12.0
PROGRAM = {
    "X-Jayvalve-Program-Id": "program-1",
    "X-Jayvalve-Token-Budget": "1000",
    "X-Jayvalve-Token-Usage": "100,80",
}


class GatewayProcessTests(AsyncTestCase):
    def run_scenario(self, scenario, **options):
        async def run():
            async with Deployment.run(**options) as deployment:
                await scenario(deployment)

        self.run_async(run(), timeout_s=30.0)

    async def wait_served(self, deployment):
        """Call gateway 0 until it serves a plain call; fail after RECOVERY_S."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RECOVERY_S
        status, number = 0, 0
        while status != 200 and loop.time() < end_s:
            number += 1
            answer = await deployment.call("/status/", gateway=0, attempt=f"s{number}")
            status = answer.status
            await asyncio.sleep(0.1)
        self.assertEqual(200, status)

    def test_serves_each_kind_of_request(self):
        async def scenario(deployment):
            stream = await deployment.call("/advice/1", attempt="s1", body=b"hello")
            self.assertEqual((200, True), (stream.status, stream.whole))
            self.assertEqual(4, stream.body.count(b"data: s1/"))
            for path, body in (("/status/x?q=1", None), ("/charge/x", b"pay")):
                answer = await deployment.call(path, attempt=f"p{path}", body=body)
                self.assertEqual(200, answer.status)
                self.assertIn("x-jayvalve-server-signature", answer.headers)

        self.run_scenario(scenario)

    def test_a_stored_turn_is_available_at_every_gateway(self):
        """Guards against a history that only the gateway that wrote it can read."""

        async def scenario(deployment):
            await deployment.call("/chat/", attempt="t1", body=b"one;", headers=PROGRAM)
            previous = {**PROGRAM, "X-Jayvalve-Previous-Turn": "t1"}
            for gateway, attempt in ((1, "t2"), (0, "t3")):
                answer = await deployment.call(
                    "/chat/", gateway=gateway, attempt=attempt, body=b"two;", headers=previous
                )
                self.assertEqual(200, answer.status)
                body = deployment.engines["model-0"].bodies[attempt]
                self.assertEqual(b"one;t1/1\nt1/2\nt1/3\nt1/4\ntwo;", body)

        self.run_scenario(scenario, gateways=2)

    def test_an_unknown_turn_is_answered_404_and_an_uncertain_one_503(self):
        """Guards against answering 404 for a turn that may be in the store."""

        async def scenario(deployment):
            headers = {**PROGRAM, "X-Jayvalve-Previous-Turn": "nowhere"}
            answer = await deployment.call("/chat/", attempt="t1", body=b"x", headers=headers)
            self.assertEqual(404, answer.status)
            deployment.store.faults.set({"mode": "down"})
            answer = await deployment.call("/chat/", attempt="t2", body=b"x", headers=headers)
            self.assertEqual(503, answer.status)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(0, sum(deployment.engines["model-0"].runs.values()))

        self.run_scenario(scenario)

    def test_programs_in_progress_continue_during_an_outage_of_the_store(self):
        """Guards against refusing turns whose tokens the gateway has already leased.

        A lease covers the tokens of three turns; each turn uses 52 of at most 80 tokens.
        """

        async def scenario(deployment):
            in_progress = {**PROGRAM, "X-Jayvalve-Token-Budget": "4000"}
            new = {**in_progress, "X-Jayvalve-Program-Id": "program-2"}
            await deployment.call("/advice/", attempt="a1", body=b"x", headers=in_progress)
            deployment.store.faults.set({"mode": "down"})
            statuses = [
                (
                    await deployment.call("/advice/", attempt=name, body=b"x", headers=in_progress)
                ).status
                for name in ("a2", "a3")
            ]
            self.assertEqual([200, 200], statuses)
            refused = await deployment.call("/advice/", attempt="b1", body=b"x", headers=new)
            self.assertEqual(503, refused.status)
            self.assertNotIn("b1", deployment.engines["model-0"].runs)
            deployment.store.faults.set({"mode": "none"})
            answer = await deployment.call("/advice/", attempt="b2", body=b"x", headers=new)
            self.assertEqual(200, answer.status)

        self.run_scenario(scenario)

    def test_a_spent_budget_is_answered_402_at_every_gateway(self):
        """Guards against gateways that each grant the full budget.

        It also guards against status 402 while the budget still covers a turn.

        Each turn uses 52 of at most 80 tokens, which its gateway settles shortly afterwards.
        """

        async def scenario(deployment):
            headers = {**PROGRAM, "X-Jayvalve-Token-Budget": "150"}
            statuses = [
                (
                    await deployment.call(
                        "/advice/",
                        gateway=number % 2,
                        attempt=f"t{number}",
                        body=b"x",
                        headers=headers,
                    )
                ).status
                for number in range(4)
            ]
            self.assertEqual([200, 200, 402, 402], statuses)
            self.assertEqual(2, sum(deployment.engines["model-0"].runs.values()))

        self.run_scenario(scenario, gateways=2)

    def test_a_charge_whose_answer_is_lost_runs_once(self):
        """Guards against a second run of a call that must not be repeated."""

        async def scenario(deployment):
            engines = [deployment.engines[name] for name in ("tool-0", "tool-1")]
            await deployment.call("/charge/", attempt="c0", body=b"pay")
            for engine in engines:
                engine.faults.set({"mode": "lose_answers", "count": 1})
            answer = await deployment.call("/charge/", attempt="c1", body=b"pay")
            self.assertEqual(502, answer.status)
            self.assertEqual(1, sum(engine.runs["c1"] for engine in engines))

        self.run_scenario(scenario, tools=2)

    def test_a_status_lookup_whose_answer_is_lost_is_repeated_elsewhere(self):
        async def scenario(deployment):
            for engine in deployment.engines.values():
                engine.faults.set({"mode": "lose_answers", "count": 1})
            deployment.engines["tool-1"].faults.set({"mode": "none"})
            answers = [
                await deployment.call("/status/", attempt=f"s{number}") for number in range(4)
            ]
            self.assertEqual({200}, {answer.status for answer in answers})

        self.run_scenario(scenario, tools=2)

    def test_a_call_refused_by_one_engine_runs_at_another(self):
        """Guards against failing a call that did not run at the engine that refused it."""

        async def scenario(deployment):
            full = deployment.engines["tool-0"]
            full.settings = full.settings.__class__(id="tool-0", streaming=False, slots=0, queue=0)
            answers = [
                await deployment.call("/charge/", attempt=f"c{number}", body=b"pay")
                for number in range(6)
            ]
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertEqual(0, sum(full.runs.values()))

        self.run_scenario(scenario, tools=2)

    def test_a_cut_stream_does_not_look_complete(self):
        """Guards against callers that use a part of an answer as if it were the whole."""

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", break_share=1.0)
            answer = await deployment.call("/chat/", attempt="t1", body=b"x", headers=PROGRAM)
            self.assertFalse(answer.whole)

        self.run_scenario(scenario)

    def test_an_engine_that_fails_all_streams_quickly_is_not_preferred(self):
        """Guards against preferring an engine that looks idle and fast because it fails quickly."""

        async def scenario(deployment):
            failing = deployment.engines["model-0"]
            failing.settings = failing.settings.__class__(id="model-0", error_share=1.0)
            statuses = [
                (await deployment.call("/chat/", attempt=f"t{number}", body=b"x")).status
                for number in range(30)
            ]
            self.assertLess(statuses.count(500), 6)

        self.run_scenario(scenario, models=3)

    def test_a_resumable_stream_continues_after_a_break(self):
        """Guards against events that are missing or repeated after a resumption."""

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", break_share=0.5, seed=3)
            for number in range(12):
                attempt = f"r{number}"
                answer = await deployment.call("/advice/", attempt=attempt, body=b"x")
                if answer.whole and answer.status == 200:
                    expected_lines = [
                        f"data: {attempt}/{event_number}" for event_number in (1, 2, 3, 4)
                    ]
                    received_lines = [
                        line
                        for line in answer.body.decode().splitlines()
                        if line.startswith("data")
                    ]
                    self.assertEqual(expected_lines, received_lines)

        self.run_scenario(scenario)

    def test_a_gateway_that_is_cut_off_from_the_store_uses_a_peer(self):
        """Guards against refusals during an outage that affects single machines."""

        async def scenario(deployment):
            await deployment.call("/advice/", gateway=1, attempt="t1", body=b"x", headers=PROGRAM)
            cut_off = deployment.gateways[0]
            cut_off._paths.record_failure(cut_off._paths.direct, "test", certain=True)
            cut_off._paths.direct.client._address = ("127.0.0.1", 1)
            for attempt in ("t2", "t3"):
                answer = await deployment.call(
                    "/chat/", gateway=0, attempt=attempt, body=b"x", headers=PROGRAM
                )
                self.assertEqual((200, True), (answer.status, answer.whole))

        self.run_scenario(scenario, gateways=2)

    def test_a_gateway_that_starts_while_the_store_is_away_serves_plain_calls(self):
        """Guards against an instance that serves nothing when it restarts during an outage.

        The other gateway has no requests, so the restarted gateway learns of it only from its
        periodic messages.
        """

        async def scenario(deployment):
            deployment.store.faults.set({"mode": "down"})
            await deployment.restart_gateway(0)
            await self.wait_served(deployment)

        self.run_scenario(scenario, gateways=2)

    def test_a_gateway_restarted_as_planned_serves_while_the_store_is_away(self):
        """Guards against a rolling restart that leaves gateways without a configuration.

        A planned stop withdraws the gateway's address. If the store then goes away, the restarted
        process is not registered and cannot read who else is.
        """

        async def scenario(deployment):
            await deployment.gateways[0].drain()
            # The other gateway reads the withdrawal.
            await asyncio.sleep(0.5)
            deployment.store.faults.set({"mode": "down"})
            await deployment.restart_gateway(0)
            await self.wait_served(deployment)

        self.run_scenario(scenario, gateways=2)

    def test_the_end_of_a_stored_turn_waits_for_the_store(self):
        """Guards against losing the turn of a complete answer.

        It also guards against aborting the answer although the store recovers in time.
        """

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", work_ms=100.0)
            call = asyncio.ensure_future(
                deployment.call("/chat/", attempt="t1", body=b"x", headers=PROGRAM)
            )
            await asyncio.sleep(0.2)
            deployment.store.faults.set({"mode": "down"})
            await asyncio.sleep(1.0)
            self.assertFalse(call.done())
            deployment.store.faults.set({"mode": str(FaultMode.NONE)})
            answer = await call
            self.assertEqual((200, True), (answer.status, answer.whole))

        self.run_scenario(scenario)

    def test_a_newer_configuration_is_applied_and_an_older_one_is_ignored(self):
        async def scenario(deployment):
            document = configuration(version=7)
            document["routes"] = document["routes"][:3]
            deployment.store.put("keyed.op", "config", document)
            await asyncio.sleep(0.5)
            self.assertEqual(404, (await deployment.call("/charge/", attempt="a")).status)
            deployment.store.put("keyed.op", "config", configuration(version=3))
            await asyncio.sleep(0.5)
            self.assertEqual(404, (await deployment.call("/charge/", attempt="b")).status)

        self.run_scenario(scenario)

    def test_a_draining_engine_gets_no_new_work(self):
        """Guards against sending calls to an engine that is about to stop."""

        async def scenario(deployment):
            port = deployment.engine_ports["tool-0"]
            entry = deployment.engines["tool-0"].entry("tools", f"127.0.0.1:{port}", "draining")
            deployment.store.put("keyed.servers", "tool-0", entry)
            await asyncio.sleep(1.2)
            for number in range(4):
                await deployment.call("/status/", attempt=f"s{number}")
            self.assertEqual(0, sum(deployment.engines["tool-0"].runs.values()))

        self.run_scenario(scenario, tools=2)

    def test_a_call_does_not_run_at_another_engine_with_the_same_address(self):
        """Guards against running a call at an engine of another service.

        The entry of model-9 has the address of tool-0.
        """

        async def scenario(deployment):
            port = deployment.engine_ports["tool-0"]
            entry = deployment.engines["tool-0"].entry("models", f"127.0.0.1:{port}")
            deployment.store.put("keyed.servers", "model-9", entry)
            await asyncio.sleep(1.2)
            for number in range(6):
                answer = await deployment.call("/advice/", attempt=f"s{number}", body=b"x")
                self.assertEqual(200, answer.status)
            self.assertEqual(0, sum(deployment.engines["tool-0"].runs.values()))

        self.run_scenario(scenario)

    def test_work_for_a_disconnected_caller_is_stopped(self):
        """Guards against engines that are busy with answers that nobody receives."""

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", work_ms=200.0, events=20)
            call = asyncio.ensure_future(
                deployment.call("/advice/", attempt="t1", body=b"x", headers=PROGRAM)
            )
            await asyncio.sleep(0.5)
            call.cancel()
            await asyncio.sleep(0.4)
            self.assertEqual(0, engine.running)

        self.run_scenario(scenario)

    def test_a_slow_stream_is_delivered_and_a_stalled_one_ends_at_its_limit(self):
        """Guards against bounds that take a slow stream for a stalled one, or the reverse.

        The slow stream sends an event every 0.3 s. The stalled one sends a byte of a comment every
        0.05 s and no event.
        """

        async def trickle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Jayvalve-Attempt-Id: t2\r\n"
                b"X-Jayvalve-Server-Signature: x\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            with contextlib.suppress(ConnectionError):
                for _ in range(400):
                    writer.write(b"1\r\n:\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.05)

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", work_ms=300.0, events=5)
            slow = await deployment.call("/advice/", attempt="t1", body=b"x")
            self.assertEqual((200, True, 5), (slow.status, slow.whole, slow.body.count(b"data: ")))
            server = await asyncio.start_server(trickle, HOST, free_port())
            address = server.sockets[0].getsockname()
            entry = engine.entry("models", f"{address[0]}:{address[1]}")
            deployment.store.put("keyed.servers", "model-1", entry)
            deployment.store.put("keyed.servers", "model-0", None)
            async with asyncio.timeout(5.0):
                while (
                    "model-1"
                    not in {
                        view.key.id
                        for view in deployment.gateways[0]._directory.candidates("models")
                    }
                    or deployment.gateways[0].known_engines > 2
                ):
                    await asyncio.sleep(0.05)
            started_s = asyncio.get_running_loop().time()
            stalled = await deployment.call(
                "/advice/", attempt="t2", body=b"x", headers={"X-Jayvalve-Deadline-Ms": "1000"}
            )
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self.assertFalse(stalled.whole)
            self.assertGreater(elapsed_s, 0.9)
            self.assertLess(elapsed_s, 2.0)
            server.close()

        self.run_scenario(scenario)

    def test_a_planned_stop_cuts_off_no_request(self):
        """Guards against a stop that cuts off calls, and against one that never ends."""

        async def scenario(deployment):
            engine = deployment.engines["model-0"]
            engine.settings = engine.settings.__class__(id="model-0", work_ms=200.0, events=4)
            call = asyncio.ensure_future(deployment.call("/advice/", attempt="t1", body=b"x"))
            await asyncio.sleep(0.1)
            drain = asyncio.ensure_future(deployment.gateways[0].drain())
            await asyncio.sleep(0.1)
            port = deployment.readiness_ports[0]
            self.assertEqual(503, (await request(port, "/api/readiness", attempt="r")).status)
            late = await deployment.call("/status/", attempt="s1")
            self.assertEqual((200, "close"), (late.status, late.headers["connection"]))
            self.assertTrue((await call).whole)
            await drain

        self.run_scenario(scenario)

    def test_a_draining_gateway_soon_refuses_new_connections(self):
        """Guards against accepting requests late in the grace time and cutting them off."""

        async def scenario(deployment):
            drain = asyncio.ensure_future(deployment.gateways[0].drain())
            refused = 0
            number = 0
            while not drain.done():
                number += 1
                try:
                    await deployment.call("/status/", attempt=f"s{number}")
                except OSError:
                    refused += 1
                await asyncio.sleep(0.02)
            self.assertGreater(refused, 0)

        self.run_scenario(scenario)

    def test_bad_requests_get_a_clear_error_and_affect_no_others(self):
        async def scenario(deployment):
            bad = {"X-Jayvalve-Token-Usage": "many"}
            answer = await deployment.call("/advice/", attempt="a", body=b"x", headers=bad)
            self.assertEqual(400, answer.status)
            self.assertEqual("invalid_header", json.loads(answer.body)["error"]["code"])
            smuggled = {"Transfer-Encoding": "chunked"}
            answer = await deployment.call("/charge/", attempt="b", body=b"x", headers=smuggled)
            # Status 0: the connection was closed without an answer.
            self.assertIn(answer.status, (0, 400))
            self.assertEqual(404, (await deployment.call("/none/", attempt="c")).status)
            self.assertEqual(200, (await deployment.call("/status/", attempt="d")).status)

        self.run_scenario(scenario)
