"""End-to-end tests of a deployment in one process, through its HTTP interface."""

import asyncio
import json
import time

import openai
from tornado.httpclient import AsyncHTTPClient

from jayvalve.deployments import DEPLOYMENTS, InProcessDeployment
from tests.support import AsyncTestCase

CHAT = "/v1/chat/completions"
BOOKINGS = "/v1/services/deliveries/bookings"


def chat_body(text: str, **extra) -> dict:
    message = {"role": "user", "content": text}
    return {"model": "tank-chemistry", "messages": [message], "max_tokens": 12, **extra}


class LocalTest(AsyncTestCase):
    """Sends requests to an in-process deployment, as ``jayvalve local`` starts it."""

    def with_deployment(self, scenario, name: str = "acquaviva"):
        async def run():
            deployment = InProcessDeployment(DEPLOYMENTS.get(name))
            try:
                await deployment.start()
                return await scenario(deployment)
            finally:
                await deployment.stop()

        return self.run_async(run(), 60.0)

    @staticmethod
    async def send(deployment, path, body=None, headers=None, entry=0):
        return await AsyncHTTPClient().fetch(
            deployment.urls[entry] + path,
            method="GET" if body is None else "POST",
            body=None if body is None else json.dumps(body),
            headers=headers or {},
            raise_error=False,
        )

    async def key_outcome(self, deployment, key):
        """Return the state of a key; its outcome is recorded shortly after the answer is sent."""
        for _ in range(100):
            response = await self.send(deployment, f"/v1/keys/{key}")
            state = json.loads(response.body)
            if state["state"] == "done":
                break
            await asyncio.sleep(0.05)
        return state

    def test_a_stream_to_a_caller_of_http_1_0_ends_with_its_connection(self):
        """Guards against a caller that waits for the end of a connection that is kept."""

        async def scenario(deployment):
            host, _, port = deployment.urls[0].removeprefix("http://").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(chat_body("x", stream=True))
            writer.write(
                f"POST {CHAT} HTTP/1.0\r\nConnection: keep-alive\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            answer = await asyncio.wait_for(reader.read(), 20.0)
            writer.close()
            return answer

        head, _, body = self.with_deployment(scenario).partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"), body)

    def test_openai_client_streams_and_lists_models(self):
        """Guards the protocol that an unmodified openai client expects."""

        async def scenario(deployment):
            client = openai.AsyncOpenAI(
                base_url=f"{deployment.urls[0]}/v1", api_key="none", max_retries=0
            )
            models = [model.id async for model in client.models.list()]
            whole = await client.chat.completions.create(**chat_body("pH is 7.1"))
            stream = await client.chat.completions.create(
                **chat_body("pH is 7.1", stream=True, stream_options={"include_usage": True})
            )
            parts, usage = [], None
            async for event in stream:
                parts += [choice.delta.content or "" for choice in event.choices]
                usage = event.usage or usage
            await client.close()
            return models, whole.choices[0].message.content, "".join(parts), usage

        models, whole, streamed, usage = self.with_deployment(scenario)
        self.assertIn("tank-chemistry", models)
        self.assertEqual(12, len(whole.split()))
        self.assertEqual(whole, streamed)
        self.assertEqual(12, usage.completion_tokens)

    def test_openai_client_reads_errors(self):
        """Guards against errors that an openai client cannot map to its exceptions."""

        async def scenario(deployment):
            client = openai.AsyncOpenAI(
                base_url=f"{deployment.urls[0]}/v1", api_key="none", max_retries=0
            )
            try:
                await client.chat.completions.create(model="none", messages=[{"role": "user"}])
            except openai.NotFoundError as error:
                return error.body["code"], error.body["verdict"]
            finally:
                await client.close()

        self.assertEqual(("model_unknown", "not_run"), self.with_deployment(scenario))

    def test_turns_through_different_entries_share_one_history(self):
        """Guards against entries that each keep a history of their own for a program."""

        async def scenario(deployment):
            headers = {"Jayvalve-Program": "tank-4", "Jayvalve-History": "append"}
            for turn in (1, 2, 3):
                sent = {**headers, "Jayvalve-Turn": str(turn)}
                response = await self.send(
                    deployment, CHAT, chat_body(f"question {turn}"), sent, turn % 3
                )
                self.assertEqual(200, response.code, response.body)
            history = await self.send(deployment, "/v1/programs/tank-4/history", entry=1)
            return json.loads(history.body)["messages"]

        messages = self.with_deployment(scenario)
        self.assertEqual(6, len(messages))
        self.assertEqual("question 2", messages[2]["content"])

    def test_turns_that_arrive_out_of_order_run_in_order(self):
        """Guards P1: a turn that arrives before its predecessor waits for it."""

        async def scenario(deployment):
            headers = {"Jayvalve-Program": "crossed", "Jayvalve-History": "append"}

            async def turn(number, delay):
                await asyncio.sleep(delay)
                sent = {**headers, "Jayvalve-Turn": str(number)}
                return await self.send(deployment, CHAT, chat_body(f"q{number}"), sent, number % 3)

            await turn(1, 0)
            answers = await asyncio.gather(turn(4, 0), turn(3, 0.1), turn(2, 0.2))
            self.assertEqual([200] * 3, [answer.code for answer in answers])
            history = await self.send(deployment, "/v1/programs/crossed/history")
            return [m["content"] for m in json.loads(history.body)["messages"][::2]]

        self.assertEqual(["q1", "q2", "q3", "q4"], self.with_deployment(scenario))

    def test_repeated_request_joins_or_replays(self):
        """Guards against a second run when a caller repeats a request."""

        async def scenario(deployment):
            headers = {"Jayvalve-Program": "repeat", "Jayvalve-Request": "r1", "Jayvalve-Turn": "1"}
            first = await asyncio.gather(
                *(self.send(deployment, CHAT, chat_body("once"), headers, n) for n in range(3))
            )
            again = await self.send(deployment, CHAT, chat_body("once"), headers, 1)
            state = await self.send(deployment, "/v1/programs/repeat")
            bodies = {response.body for response in (*first, again)}
            return bodies, json.loads(state.body)["agents"]["repeat"]["budget"]["used"]["calls"]

        bodies, calls = self.with_deployment(scenario)
        self.assertEqual(1, len(bodies))
        self.assertEqual(1, calls)

    def test_change_runs_once_through_all_entries(self):
        """Guards P7: a change runs once even if requests with its key reach all entries at once."""

        async def scenario(deployment):
            headers = {"Idempotency-Key": "booking-1"}
            answers = await asyncio.gather(
                *(self.send(deployment, BOOKINGS, {"tank": 3}, headers, n) for n in range(3))
            )
            reused = await self.send(deployment, BOOKINGS, {"tank": 4}, headers)
            keyless = await self.send(deployment, BOOKINGS, {"tank": 4})
            runs = sum(
                len(standin.runs)
                for standin in deployment.standins.values()
                if hasattr(standin, "runs")
            )
            return answers, reused, keyless, runs, await self.key_outcome(deployment, "booking-1")

        answers, reused, keyless, runs, key = self.with_deployment(scenario)
        self.assertEqual({201}, {answer.code for answer in answers})
        self.assertEqual(1, len({answer.body for answer in answers}))
        self.assertEqual("key_reused", json.loads(reused.body)["error"]["code"])
        self.assertEqual("key_required", json.loads(keyless.body)["error"]["code"])
        self.assertEqual(1, runs)
        self.assertEqual(("done", "ran"), (key["state"], key["verdict"]))

    def test_sub_agents_share_the_budget_of_their_parent(self):
        """Guards P3: concurrent sub-agents stay within the budget of their parent."""

        async def scenario(deployment):
            start = {"Jayvalve-Program": "family", "Jayvalve-Budget": "calls=4"}
            await self.send(deployment, "/v1/programs", {}, start)
            answers = await asyncio.gather(
                *(
                    self.send(
                        deployment, CHAT, chat_body("help"), {"Jayvalve-Program": f"family.s{n}"}, n
                    )
                    for n in range(3)
                    for _ in range(3)
                )
            )
            return sorted(answer.code for answer in answers)

        self.assertEqual([200] * 4 + [402] * 5, self.with_deployment(scenario))

    def test_parent_header_creates_a_sub_agent(self):
        """Guards against a header that is documented and read but has no effect."""

        async def scenario(deployment):
            await self.send(
                deployment,
                "/v1/programs",
                {},
                {"Jayvalve-Program": "p", "Jayvalve-Budget": "calls=2"},
            )
            named = await self.send(
                deployment, CHAT, chat_body("x"), {"Jayvalve-Parent": "p", "Jayvalve-Program": "a"}
            )
            unnamed = await self.send(deployment, CHAT, chat_body("x"), {"Jayvalve-Parent": "p"})
            spent = await self.send(
                deployment,
                CHAT,
                chat_body("x"),
                {"Jayvalve-Parent": "p", "Jayvalve-Program": "p.a"},
            )
            orphan = await self.send(deployment, CHAT, chat_body("x"), {"Jayvalve-Parent": "none"})
            names = [reply.headers.get("Jayvalve-Program") for reply in (named, unnamed)]
            return names, spent.code, orphan.code

        names, spent, orphan = self.with_deployment(scenario)
        self.assertEqual("p.a", names[0])
        self.assertTrue(names[1].startswith("p.agent-"), names[1])
        self.assertEqual((402, 404), (spent, orphan))

    def test_program_of_another_organisation_is_not_found(self):
        """Guards P2: programs of the same name in two organisations are separate."""

        async def scenario(deployment):
            from jayvalve.internal.entry.authentication import TokenTable, hash_token

            table = TokenTable([hash_token("a", "token-a"), hash_token("b", "token-b")])
            for entry in deployment.entries:
                entry.use_tokens(table)
            headers = {"Jayvalve-Program": "same", "Authorization": "Bearer token-a"}
            await self.send(deployment, CHAT, chat_body("secret"), headers)
            path = "/v1/programs/same/history"
            own = await self.send(deployment, path, headers={"Authorization": "Bearer token-a"})
            other = await self.send(deployment, path, headers={"Authorization": "Bearer token-b"})
            without_token = await self.send(deployment, path)
            return own.code, other.code, without_token.code

        self.assertEqual((200, 404, 401), self.with_deployment(scenario))

    def test_call_is_cancelled_when_its_caller_disconnects(self):
        """Guards against engines that generate for callers that have disconnected."""

        async def scenario(deployment):
            body = json.dumps(chat_body("long", stream=True) | {"max_tokens": 4000}).encode()
            host, port = deployment.urls[0].removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await reader.readuntil(b"data: ")
            writer.close()
            started = time.monotonic()
            engines = [s for s in deployment.standins.values() if hasattr(s, "engine")]
            while any(standin.engine.running for standin in engines):
                await asyncio.sleep(0.05)
                self.assertLess(time.monotonic() - started, 8.0)
            return time.monotonic() - started

        self.assertLess(self.with_deployment(scenario), 8.0)

    def test_invalid_requests_get_specific_error_codes(self):
        """Guards against an invalid request that runs or fails with an unspecific error."""

        async def scenario(deployment):
            cases = [
                (CHAT, chat_body("x"), {"Jayvalve-Turn": "-1"}, "invalid_header"),
                (CHAT, chat_body("x"), {"Jayvalve-Rank": "first"}, "invalid_header"),
                (CHAT, chat_body("x"), {"Jayvalve-Budget": "tokens=nan"}, "invalid_header"),
                (CHAT, chat_body("x"), {"Jayvalve-Program": "a/b"}, "invalid_header"),
                (CHAT, {"model": 1}, {}, "invalid_request"),
                (CHAT, [], {}, "invalid_request"),
                (
                    CHAT,
                    chat_body("x"),
                    {"Jayvalve-Program": "p", "Jayvalve-Turn": "7"},
                    "program_unknown",
                ),
                ("/v1/services/none/x", {}, {}, "service_unknown"),
            ]
            found = []
            for path, body, headers, expected in cases:
                response = await self.send(deployment, path, body, headers)
                document = json.loads(response.body)["error"]
                found.append((document["code"], expected, document["verdict"]))
            return found

        for code, expected, verdict in self.with_deployment(scenario):
            self.assertEqual(expected, code)
            self.assertEqual("not_run", verdict)

    def test_stream_is_charged_for_its_usage_and_omits_an_unrequested_usage_event(self):
        """Guards P3: a stream is charged for its usage instead of its whole reservation.

        It also guards against a usage event in the stream of a client that did not request one.
        """

        async def scenario(deployment):
            headers = {"Jayvalve-Program": "stream"}
            response = await self.send(deployment, CHAT, chat_body("x", stream=True), headers)
            state = await self.send(deployment, "/v1/programs/stream")
            used = json.loads(state.body)["agents"]["stream"]["budget"]["used"]
            return response.body, used["tokens"]

        body, tokens = self.with_deployment(scenario)
        self.assertNotIn(b'"choices": []', body)
        self.assertIn(b"data: [DONE]", body)
        # The usage is 12 generated tokens and a short prompt. The reservation counts each byte of
        # the prompt as a token and so exceeds 30.
        self.assertTrue(12 < tokens < 30, tokens)
