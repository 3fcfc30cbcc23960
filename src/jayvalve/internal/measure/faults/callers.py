"""Callers that send requests to entries and record the outcomes."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from jayvalve.errors import JayvalveError
from jayvalve.internal.entry.answers import summarize
from jayvalve.internal.measure.faults.processes import Process
from jayvalve.internal.wire.messages import Chunk, Completed, Forward

__all__ = ["Callers", "Submission", "model_request", "service_request"]

ORGANISATION = "default"
MODEL = "writer"
SERVICE = "fees"
CHANGE_PATH = f"/v1/services/{SERVICE}/debits"
NETWORK_DELAY_S = 0.001
POLL_INTERVAL_S = 0.25
# A caller gives up on a submission this long after the deadline that it stated, and may then
# submit the request again.
ANSWER_GRACE_S = 3.0


@attrs.define(eq=False)
class Submission:
    """One request sent to one entry.

    Attributes:
        tag: Identifies the request; all submissions of it have the same tag.
        kind: model, change or control.
        key: Idempotency key of a change.
        outcome: answer, error, cut (an incomplete answer), broken (the connection ended),
            refused (no process was listening), timeout, or empty while the request runs.
        text: Content of a model's answer.
    """

    tag: str
    program: str
    kind: str
    entry: str
    started_s: float
    messages: list[Any] = attrs.field(factory=list)
    turn: int = 0
    key: str = ""
    ended_s: float | None = None
    outcome: str = ""
    code: str = ""
    verdict: str = ""
    body: bytes = b""
    text: str = ""


def model_request(
    program: str,
    messages: list[Any],
    *,
    request_id: str,
    turn: int | None = None,
    stream: bool = False,
    deadline_s: float = 8.0,
    **headers: str,
) -> Forward:
    """Return a chat completion request of a program; header names omit the prefix Jayvalve-."""
    body = {"model": MODEL, "messages": messages, "max_tokens": 8, "stream": stream}
    fields = {f"Jayvalve-{name}": value for name, value in headers.items()}
    fields |= {"Jayvalve-Request": request_id, "Jayvalve-Deadline": str(deadline_s)}
    if program:
        fields["Jayvalve-Program"] = program
    if turn is not None:
        fields["Jayvalve-Turn"] = str(turn)
    data = json.dumps(body).encode()
    return Forward("POST", "/v1/chat/completions", fields, data, ORGANISATION, 0)


def service_request(
    tag: str, key: str, *, request_id: str, program: str = "", deadline_s: float = 8.0
) -> Forward:
    """Return a service request with an idempotency key for a change that may not be repeated."""
    fields = {
        "Idempotency-Key": key,
        "Jayvalve-Request": request_id,
        "Jayvalve-Deadline": str(deadline_s),
    }
    if program:
        fields["Jayvalve-Program"] = program
    return Forward("POST", CHANGE_PATH, fields, json.dumps({"tag": tag}).encode(), ORGANISATION, 0)


class Callers:
    """Send requests through a load balancer that does not detect paused or failing entries."""

    def __init__(self, entries: Callable[[], list[Process]], rng: random.Random) -> None:
        self._entries = entries
        self._random = rng
        self.submissions: list[Submission] = []

    def choose_entry(self) -> Process | None:
        """Return the entry that the balancer chooses, or None if it has none."""
        entries = self._entries()
        return self._random.choice(entries) if entries else None

    async def submit(self, request: Forward, submission: Submission) -> Submission:
        """Send a request through an entry and wait for its outcome."""
        loop = asyncio.get_running_loop()
        process = self.choose_entry()
        submission.started_s = loop.time()
        self.submissions.append(submission)
        await asyncio.sleep(NETWORK_DELAY_S)
        if process is None or not process.running:
            return self._finish(submission, "refused")
        submission.entry = process.site.instance
        parts: asyncio.Queue[Any] = asyncio.Queue()
        process.host.spawn(_serve_in_entry(process, request, parts))
        deadline_s = float(request.headers.get("Jayvalve-Deadline", "10"))
        return await self._collect(process, parts, submission, loop.time() + deadline_s)

    async def _collect(
        self,
        process: Process,
        parts: "asyncio.Queue[Any]",
        submission: Submission,
        answer_due_s: float,
    ) -> Submission:
        loop = asyncio.get_running_loop()
        body: list[bytes] = []
        while True:
            try:
                part = await asyncio.wait_for(parts.get(), POLL_INTERVAL_S)
            except TimeoutError:
                if not process.running:
                    return self._finish(submission, "broken")
                if loop.time() > answer_due_s + ANSWER_GRACE_S:
                    return self._finish(submission, "timeout")
                continue
            if isinstance(part, JayvalveError):
                submission.code, submission.verdict = part.code, str(part.verdict)
                return self._finish(submission, "cut" if body else "error")
            if isinstance(part, Chunk):
                body.append(part.data)
            elif isinstance(part, Completed):
                submission.body = b"".join(body)
                return self._finish(submission, "answer")
            elif part is None:
                return self._finish(submission, "broken")

    def _finish(self, submission: Submission, outcome: str) -> Submission:
        submission.outcome = outcome
        submission.ended_s = asyncio.get_running_loop().time()
        if outcome == "answer" and submission.kind == "model":
            stream = submission.body.startswith(b"data: ")
            message = summarize(submission.body, stream).message
            submission.text = message["content"] if message else ""
        return submission


async def _serve_in_entry(process: Process, request: Forward, parts: "asyncio.Queue[Any]") -> None:
    """Serve the request in the entry, as its HTTP handler does."""
    try:
        async with contextlib.aclosing(process.app._serve(request)) as answer:
            async for part in answer:
                parts.put_nowait(part)
    except JayvalveError as error:
        parts.put_nowait(error)
    except BaseException:
        parts.put_nowait(None)
        raise
