"""Answers of faulty engines do not mislead callers about what has run or is complete."""

import asyncio
import contextlib

from testtools.matchers import Not, StartsWith

from tests.platform_support import Deployment
from tests.scripted_engine import ScriptedEngine, success
from tests.support import AsyncTestCase

NOT_RUN = "HTTP/1.1 503 Service Unavailable\r\nX-Jayvalve-Not-Executed: 1\r\nContent-Length: 4\r\n"


class FaultyEngineTests(AsyncTestCase):
    def play(self, work, *scripts, service="tools"):
        async def run():
            async with (
                Deployment.run(models=0, tools=0) as deployment,
                contextlib.AsyncExitStack() as stack,
            ):
                engines = [
                    await stack.enter_async_context(
                        ScriptedEngine(script).run(deployment, f"engine-{number}", service)
                    )
                    for number, script in enumerate(scripts)
                ]
                return await work(deployment, engines)

        return self.run_async(run())

    def check_late_refusal(self, identified):
        """Check a booking whose engine first sends an earlier refusal once more."""

        def answer(number, attempt):
            if number == 0:
                return success(attempt, "{}"), False
            identity = "X-Jayvalve-Attempt-Id: earlier\r\n" if identified else ""
            return f"{NOT_RUN}{identity}\r\nfull".encode() + success(attempt, "ran"), False

        async def work(deployment, engines):
            first = await deployment.call("/charge/1", attempt="first", body=b"x")
            self.assertEqual(200, first.status)
            second = await deployment.call("/charge/1", attempt="second", body=b"x")
            await asyncio.sleep(0.1)
            self.assertEqual(1, sum(engine.requests.count("second") for engine in engines))
            return second.status

        return self.play(work, answer)

    def test_a_late_copy_of_a_refusal_is_no_refusal_of_a_running_request(self):
        """Guards against REFUSED: callers told "not run" of a request that an engine runs."""
        self.assertEqual(502, self.check_late_refusal(identified=False))

    def test_a_late_copy_of_a_refusal_of_another_request_is_skipped(self):
        """Guards against failing a request because of an answer that names another one."""
        self.assertEqual(200, self.check_late_refusal(identified=True))

    def test_a_late_copy_of_a_refusal_starts_no_second_run(self):
        """Guards against TWICE: a request that goes on to a second engine while one runs it."""

        def answer(number, attempt):
            if number == 0:
                return success(attempt, "{}"), False
            return f"{NOT_RUN}\r\nfull".encode(), False

        async def work(deployment, engines):
            for number in range(20):
                await deployment.call("/charge/1", attempt=f"first-{number}", body=b"x")
                if all(engine.requests for engine in engines):
                    break
            answer = await deployment.call("/charge/1", attempt="second", body=b"x")
            self.assertEqual(502, answer.status)
            self.assertEqual(1, sum(engine.requests.count("second") for engine in engines))

        self.play(work, answer, answer)

    def test_an_error_while_a_stream_is_resumed_does_not_reach_its_text(self):
        """Guards against ORDER and MIXED: an error's text inside a stream, or a complete look."""

        def begin(number, attempt):
            events = "".join(f"id: {n}\ndata: part {n}\n\n" for n in (1, 2))
            whole = success(attempt, events + "id: 3\n", "text/event-stream")
            return whole.replace(b"Content-Length: ", b"Content-Length: 9"), True

        for status in ("500 Internal Server Error", "404 Not Found", "503 Service Unavailable"):

            def fail(number, attempt, status=status):
                if number % 2 == 0:
                    return begin(number, attempt)
                return (
                    f"HTTP/1.1 {status}\r\nX-Jayvalve-Attempt-Id: {attempt}\r\n"
                    "X-Jayvalve-Server-Signature: s\r\nContent-Length: 5\r\n\r\nerror"
                ).encode(), False

            async def work(deployment, engines):
                answer = await deployment.call("/advice/1", attempt="a", body=b"x")
                self.assertFalse(answer.whole)
                self.assertNotIn(b"error", answer.body)
                self.assertNotIn(b"HTTP/1.1", answer.body)
                self.assertEqual(2, sum(len(engine.requests) for engine in engines))

            self.play(work, fail, service="models")

    def check_resumed(self, first, second, headers=None, begun=None):
        """Return what a caller gets if the first engine breaks off and the second one goes on.

        With begun, the id of another attempt, that one has begun the stream before.
        """

        def answer(number, attempt):
            if number % 2 == 0:
                return success(attempt, first + "id: ", "text/event-stream", framed=False), True
            return success(attempt, second, "text/event-stream"), False

        async def work(deployment, engines):
            if begun is not None:
                await deployment.call("/advice/1", attempt=begun, body=b"x")
            return await deployment.call("/advice/1", attempt="a", body=b"x", headers=headers)

        return self.play(work, answer, service="models")

    def test_an_engine_that_repeats_events_does_not_look_complete(self):
        """Guards against ORDER: pieces that come twice after a resumption."""
        events = [f"id: {number}\ndata: part {number}\n\n" for number in range(5)]
        answer = self.check_resumed(events[1] + events[2], "".join(events[1:4]))
        self.assertEqual(1, answer.body.count(b"part 1"))
        self.assertFalse(answer.whole)
        answer = self.check_resumed(events[1] + events[2], events[3] + events[4])
        self.assertTrue(answer.whole)
        self.assertEqual("".join(events[1:]).encode(), answer.body)
        headers = {"Last-Event-Id": "2", "Resumes": "begun"}
        answer = self.check_resumed(events[1], events[3], headers, "begun")
        self.assertEqual((events[3].encode(), True), (answer.body, answer.whole))

    def test_ids_that_leave_out_numbers_are_in_order(self):
        """Guards against breaking off streams whose ids increase by more than one."""
        stream = "id: 1\ndata: a\n\nid: 3\ndata: b\n\nid: end\ndata: c\n\nid: 2\ndata: d\n\n"
        answer = self.check_resumed("id: 0\ndata: z\n\n", stream)
        self.assertTrue(answer.whole)

    def test_events_before_one_too_many_are_relayed_before_a_resumption(self):
        """Guards against ORDER: a resumption after events that the caller never got."""
        events = [f"id: {number}\ndata: part {number}\n\n" for number in range(14)]
        # One token gives a limit of two events and the margin of eight.
        headers = {"X-Jayvalve-Token-Usage": "1,1"}
        answer = self.check_resumed("".join(events[1:13]), events[11], headers)
        self.assertEqual("".join(events[1:11]).encode(), answer.body)

    def test_a_success_without_a_signature_is_not_passed_on(self):
        """Guards against MIXED: a success that does not come from the engine."""

        def answer(number, attempt):
            content_type = "text/event-stream" if attempt.startswith("stream") else "text/plain"
            whole = success(attempt, "data: a\n\n", content_type)
            return whole.replace(b"X-Jayvalve-Server-Signature: s\r\n", b""), False

        def resume(number, attempt):
            if number == 0:
                return success(attempt, "id: 1\ndata: a\n\n:", "text/event-stream", False), True
            return answer(number, attempt)

        async def work(deployment, engines):
            for path in ("/chat/1", "/advice/1"):
                result = await deployment.call(path, attempt=f"stream{path}", body=b"x")
                self.assertEqual(502, result.status)

        async def work_resumed(deployment, engines):
            result = await deployment.call("/advice/1", attempt="stream", body=b"x")
            self.assertFalse(result.whole)

        async def work_plain(deployment, engines):
            for path in ("/charge/1", "/status/1"):
                result = await deployment.call(path, attempt=path, body=b"x")
                self.assertEqual(502, result.status)
            # The idempotent call goes to a second engine, the other one does not.
            self.assertEqual(3, sum(len(engine.requests) for engine in engines))

        self.play(work, answer, service="models")
        self.play(work_resumed, resume, service="models")
        self.play(work_plain, answer, answer)

    def check_cut_streams(self, path, streams):
        """Check streams that their engine ends by closing the connection.

        On a kept route, later turns that name the cut ones are sent as well.
        """

        def answer(number, attempt):
            stream = streams[int(attempt.partition("-")[2])]
            return success(attempt, stream, "text/event-stream", framed=False), True

        async def work(deployment, engines):
            for number in range(len(streams)):
                cut = await deployment.call(path, attempt=f"cut-{number}", body=b"x")
                self.assertFalse(cut.whole, cut)
                if path.startswith("/chat/"):
                    later = {"X-Jayvalve-Previous-Turn": f"cut-{number}"}
                    turn = await deployment.call(path, attempt="later", body=b"y", headers=later)
                    self.assertEqual(404, turn.status)

        self.play(work, answer, service="models")

    def test_a_stream_that_ends_within_an_event_is_broken_off(self):
        """Guards against ORDER: a stream that its engine cut and that looks complete."""
        whole = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n"
        for stream in (whole, whole.replace("\n", "\r\n"), whole.replace("\n", "\r")):
            first = stream.index("id: 2")
            cut_streams = [stream[:end] for end in range(first + 1, len(stream))]
            for path in ("/chat/1", "/advice/1"):
                self.check_cut_streams(path, cut_streams)

    def test_a_stream_without_length_or_events_is_broken_off(self):
        """Guards against ORDER: an engine that ends before its first event."""
        for path in ("/chat/1", "/advice/1"):
            self.check_cut_streams(path, ["", ": comment\n\n"])

    def test_a_stream_without_length_that_ends_between_events_is_complete(self):
        """Guards against failing streams that end with their connection."""
        for line_end in ("\n", "\r\n", "\r"):
            stream = f"id: 1{line_end}data: part 1{line_end}{line_end}: end{line_end}"

            def answer(number, attempt, stream=stream):
                return success(attempt, stream, "text/event-stream", framed=False), True

            async def work(deployment, engines, stream=stream):
                first = await deployment.call("/chat/1", attempt="first", body=b"x")
                self.assertTrue(first.whole)
                self.assertEqual(stream.encode(), first.body)
                headers = {"X-Jayvalve-Previous-Turn": "first"}
                await deployment.call("/chat/1", attempt="second", body=b"y", headers=headers)
                self.assertEqual(["xpart 1\ny"], engines[0].bodies[1:])

            self.play(work, answer, service="models")

    def test_a_document_on_a_route_of_streams_is_complete(self):
        """Guards against failing answers that are no event stream but have a length."""
        for framed, whole in ((True, True), (False, False)):

            def answer(number, attempt, framed=framed):
                return success(attempt, '{"a": 1}', "application/json", framed), not framed

            async def work(deployment, engines, whole=whole):
                result = await deployment.call("/advice/1", attempt="a", body=b"x")
                self.assertEqual(whole, result.whole)
                self.assertEqual(b'{"a": 1}' if whole else b"", result.body)

            self.play(work, answer, service="models")

    def test_a_head_that_ends_early_is_never_a_success(self):
        """Guards against MIXED: a 200 with an empty or short body that looks complete."""
        whole = success("ATTEMPT", "body")
        head_bytes = whole.index(b"\r\n\r\n") + 4

        def answer(number, attempt):
            cut = number % head_bytes
            return whole.replace(b"ATTEMPT", attempt.encode())[:cut], True

        async def work(deployment, engines):
            for number in range(head_bytes):
                # Ids as long as the placeholder, so that each byte of the head is an end once.
                result = await deployment.call("/charge/1", attempt=f"{number:07d}", body=b"x")
                self.assertThat(str(result.status), Not(StartsWith("2")))
            self.assertEqual(head_bytes, len(engines[0].requests))

        self.play(work, answer)
