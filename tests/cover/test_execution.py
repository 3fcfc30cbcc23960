"""Tests of the execution of one call, with fakes in place of the journal and the endpoint."""

from jayvalve.errors import EndpointFailedError, HistoryUnavailableError, MayHaveRunError
from jayvalve.internal.entry.call_stream import CallStream
from jayvalve.internal.entry.execution import CallExecution
from jayvalve.internal.entry.journal import EphemeralJournal
from jayvalve.internal.entry.key_claims import ClaimGrant
from jayvalve.internal.entry.request import CallRequest
from jayvalve.internal.programs import Amount, Term
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import Chunk, ResponseHead
from jayvalve.verdict import Verdict
from tests.support import AsyncTestCase

BODY = b'{"model": "m", "messages": [{"role": "user", "content": "x"}], "stream": true}'


class JournalWithoutQuorum(EphemeralJournal):
    """A journal that cannot replicate a turn because its quorum is lost."""

    async def end_turn(self, attempt_id, used, answer, digest, messages):
        raise HistoryUnavailableError("no quorum")


class ExecutionTest(AsyncTestCase):
    """Guards against a wrong verdict when a call fails at its end.

    A call that may have run and is reported as not_run would be run a second time by a retry.
    """

    def build(self, journal):
        call = CallRequest.from_parts("POST", "/v1/chat/completions", {}, BODY, "club")
        deadline = Deadline.after(Clock(), 5.0)
        return CallExecution(None, call, 1, journal, Term(0), CallStream(), deadline)

    async def consume(self, execution, *parts):
        async def answer():
            for part in parts:
                yield part

        return await execution._consume(None, "1-1", answer(), Amount(10, 1), None)

    def test_a_stream_cut_inside_an_event_is_not_reported_as_complete(self):
        execution = self.build(EphemeralJournal())
        parts = ResponseHead(200, {}), Chunk(0, b'data: {"choices": []}\n\ndata: {"cho')
        error = self.assertRaises(
            EndpointFailedError, lambda: self.run_async(self.consume(execution, *parts))
        )
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    def test_a_stream_without_its_last_event_is_not_complete(self):
        """Guards against a cut stream that is kept as a turn, also when it is recovered."""
        for end in (b"", b"data: [DONE]", b"data: [DONE]\n", b": [DONE]\n\n"):
            execution = self.build(EphemeralJournal())
            parts = ResponseHead(200, {}), Chunk(0, b'data: {"choices": []}\n\n' + end)
            error = self.assertRaises(
                EndpointFailedError,
                lambda parts=parts, execution=execution: self.run_async(
                    self.consume(execution, *parts)
                ),
            )
            self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    def test_the_last_event_may_end_with_any_line_end(self):
        """Guards against failing streams of engines with other line ends."""
        for end in (b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\n\n"):
            execution = self.build(EphemeralJournal())
            parts = ResponseHead(200, {}), Chunk(0, b"data: {}" + end + b"data: [DONE]" + end)
            answer = self.run_async(self.consume(execution, *parts))
            self.assertEqual(200, answer.status)

    def test_a_turn_without_quorum_is_not_reported_as_not_run(self):
        """Guards against reporting not_run for a call that ran but was not recorded (check P6)."""
        execution = self.build(JournalWithoutQuorum())
        parts = ResponseHead(200, {}), Chunk(0, b"data: [DONE]\n\n")
        error = self.assertRaises(
            MayHaveRunError, lambda: self.run_async(self.consume(execution, *parts))
        )
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    def test_a_known_outcome_without_quorum_is_not_reported_as_not_run(self):
        """Guards against a second run of a call whose answer is known but cannot be recorded."""
        execution = self.build(JournalWithoutQuorum())
        grant = ClaimGrant(None, 3, (201, {}, b"{}"))
        error = self.assertRaises(
            MayHaveRunError,
            lambda: self.run_async(execution._finish_with_earlier_answer("1-1", grant)),
        )
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)
