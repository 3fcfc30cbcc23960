"""Failures of engines that ran a call reach no caller as a promise that it has not run."""

import json
import pathlib
import tempfile

from tests.platform_support import Deployment
from tests.scripted_engine import ScriptedEngine, success
from tests.support import AsyncTestCase

EVENT_STREAM = "text/event-stream"
EVENT = "id: 1\ndata: one\n\n"
SIGNATURE = "x-jayvalve-server-signature"
NOT_RUN_STATUSES = (408, 429, 503)


def failure(attempt, status):
    """Return a signed failure with a field that a caller would follow."""
    answer = success(attempt, "failed").decode()
    return answer.replace("200 OK", f"{status} Failure\r\nRetry-After: 1").encode()


class FailureThatRanTests(AsyncTestCase):
    def play(self, path, *answers, headers=None, closes=False, log_folder=None):
        """Return the answers to calls that an engine answers with a text or a status."""

        def answer(number, attempt):
            script = answers[min(number, len(answers) - 1)]
            if isinstance(script, int):
                return failure(attempt, script), closes
            return success(attempt, script, EVENT_STREAM), False

        async def run():
            async with Deployment.run(models=0, tools=0, log_folder=log_folder) as deployment:
                service = "models" if path.startswith(("/chat", "/advice")) else "tools"
                engine = ScriptedEngine(answer)
                async with engine.run(deployment, "engine", service):
                    results = []
                    for number in range(len(answers)):
                        attempt = f"call-{number}"
                        more = headers if number == len(answers) - 1 else None
                        results.append(
                            await deployment.call(path, attempt=attempt, body=b"x", headers=more)
                        )
                    self.assertEqual(len(answers), len(engine.requests))
                    return results

        return self.run_async(run())

    def assert_hidden(self, answer, status):
        self.assertEqual(502, answer.status, status)
        self.assertNotIn(SIGNATURE, answer.headers)
        self.assertNotIn("retry-after", answer.headers)

    def test_a_call_that_may_not_run_twice_is_not_said_not_to_have_run(self):
        """Guards against REFUSED: a card that is charged again after its engine's own 503."""
        for path in ("/charge/1", "/chat/1"):
            for status in NOT_RUN_STATUSES:
                for closes in (False, True):
                    (answer,) = self.play(path, status, closes=closes)
                    self.assert_hidden(answer, (path, status, closes))

    def test_the_log_tells_what_the_engine_answered(self):
        """Guards against a status 502 that cannot be told from a broken connection."""
        with tempfile.TemporaryDirectory() as folder:
            self.play("/charge/1", 503, log_folder=folder)
            text = "".join(path.read_text() for path in pathlib.Path(folder).iterdir())
        lines = [json.loads(line) for line in text.splitlines() if '"call-0"' in line]
        (line,) = [each for each in lines if each.get("id") == "call-0"]
        self.assertEqual(("failed", 502), (line["outcome"], line["status"]))
        self.assertEqual(["answered 503"], [each["outcome"] for each in line["attempts"]])

    def test_a_turn_that_ran_is_not_said_to_exceed_its_budget(self):
        """Guards against REFUSED: a program that ends as if its budget were spent."""
        budget = {"X-Jayvalve-Program-Id": "p", "X-Jayvalve-Token-Budget": "100"}
        (answer,) = self.play("/chat/1", 402, headers=budget)
        self.assert_hidden(answer, 402)
        (answer,) = self.play("/chat/1", 402)
        self.assertEqual(402, answer.status)

    def test_a_turn_that_is_kept_is_not_said_to_be_lost(self):
        """Guards against LOST: an engine's 404 that a caller takes for a missing turn."""
        previous = {"X-Jayvalve-Previous-Turn": "call-0"}
        for status in (404, 410):
            first, answer = self.play("/chat/1", EVENT, status, headers=previous)
            self.assertEqual(200, first.status)
            self.assert_hidden(answer, status)
            (answer,) = self.play("/chat/1", status)
            self.assertEqual(status, answer.status)

    def test_failures_that_promise_nothing_are_passed_on(self):
        """Guards against MIXED: a failure with a status that its engine has not given."""
        cases = [("/charge/1", status) for status in (400, 404, 409, 500, 502, 504)]
        cases += [(path, each) for path in ("/status/1", "/advice/1") for each in NOT_RUN_STATUSES]
        for path, status in cases:
            (answer,) = self.play(path, status)
            self.assertEqual(status, answer.status, path)
            self.assertIn(SIGNATURE, answer.headers)
