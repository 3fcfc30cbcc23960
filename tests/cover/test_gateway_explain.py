"""Tests that a request can be explained from the logs, with the cause of its failure."""

import json

from jayvalve.internal.gateway.explain import explain_request
from tests.support import AsyncTestCase

REQUEST = {
    "time": 20.0,
    "instance": "edge-1",
    "event": "request",
    "id": "a1",
    "program": "p1",
    "route": "chat",
    "path": None,
    "status": 503,
    "outcome": "refused",
    "error": "log_unavailable",
    "detail": "the budget could not be checked",
    "ms": 1010.0,
    "limit_ms": 3000,
    "store_ms": 1005.0,
    "attempts": [],
    "configuration": 3,
    "engines_age_ms": 1800,
    "store": "away",
    "peers": 7,
}


def message(time, text, **fields):
    document = {"time": time, "instance": "edge-1", "event": "message", "message": text}
    return json.dumps({**document, **fields})


class ExplainTests(AsyncTestCase):
    def test_shows_the_outage_that_caused_a_refusal(self):
        log = [
            message(2.0, "long ago", part="storage"),
            "12.5 edge-1 " + message(18.5, "the store is away", part="storage", reason="silent"),
            message(18.6, "the store is away", part="storage").replace("edge-1", "edge-2"),
            "not json",
            json.dumps(REQUEST),
        ]
        explanation = "\n".join(explain_request("a1", log).lines)
        self.assertIn("the store is away (reason=silent)", explanation)
        self.assertIn("cause: log_unavailable: the budget could not be checked", explanation)
        self.assertNotIn("edge-2", explanation)
        self.assertNotIn("long ago", explanation)

    def test_shows_each_attempt_and_messages_on_its_engines_only(self):
        attempt = {
            "engine": "i-1",
            "load": 3,
            "cached": 0,
            "wait_ms": 0,
            "reused": True,
            "outcome": "broken",
            "ms": 12.0,
        }
        request = {**REQUEST, "status": 502, "attempts": [attempt]}
        log = [
            message(19.0, "connection to the engine failed", part="directory", engine="i-1"),
            message(19.0, "connection to the engine failed", part="directory", engine="i-2"),
            json.dumps(request),
        ]
        explanation = "\n".join(explain_request("a1", log).lines)
        self.assertIn("attempt 1: engine i-1 with 3 requests known there", explanation)
        self.assertNotIn("i-2", explanation)

    def test_shows_which_attempts_ran_a_stream_from_its_start(self):
        """Guards against a second run that the log does not tell from a resumption."""
        attempt = {"engine": "i-1", "load": 0, "wait_ms": 0, "reused": True, "ms": 9.0}
        attempts = [
            {**attempt, "outcome": "broken", "after_id": None, "events": 2},
            {**attempt, "outcome": "complete", "after_id": "2", "events": 4},
            {**attempt, "outcome": "broken", "after_id": None, "events": 0},
        ]
        log = [json.dumps({**REQUEST, "attempts": attempts})]
        lines = [line for line in explain_request("a1", log).lines if "attempt " in line]
        self.assertIn("broken after 9.0 ms, 2 events", lines[0])
        self.assertIn("complete after 9.0 ms, resumed after event 2, 4 events", lines[1])
        self.assertTrue(lines[2].endswith("broken after 9.0 ms"))

    def test_a_program_id_selects_all_its_requests(self):
        log = [json.dumps({**REQUEST, "id": name}) for name in ("a1", "a2")]
        explanation = "\n".join(explain_request("p1", log).lines)
        self.assertIn("request a1", explanation)
        self.assertIn("request a2", explanation)

    def test_an_unknown_id_has_no_explanation(self):
        self.assertEqual((), explain_request("zz", [json.dumps(REQUEST)]).lines)
