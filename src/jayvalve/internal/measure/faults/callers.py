"""Callers that send requests to entries and record what they were told."""

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
NETWORK_S = 0.001
POLL_S = 0.25
# Added to the deadline that a caller states; then it gives up and asks again.
PATIENCE_S = 3.0


@attrs.define(eq=False)
class Submission:
    """One request sent to one entry.

    outcome is answer, error, cut (an answer that broke off), broken (the connection ended),
    refused (nobody listened), timeout, or empty while it runs.
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
    """Return a chat completion of a program; headers are names without Jayvalve-."""
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
    """Return a change that may not be repeated."""
    fields = {
        "Idempotency-Key": key,
        "Jayvalve-Request": request_id,
        "Jayvalve-Deadline": str(deadline_s),
    }
    if program:
        fields["Jayvalve-Program"] = program
    return Forward("POST", CHANGE_PATH, fields, json.dumps({"tag": tag}).encode(), ORGANISATION, 0)


class Callers:
    """Sends requests through a balancer that does not know of paused or dying entries."""

    def __init__(self, entries: Callable[[], list[Process]], rng: random.Random) -> None:
        self._entries = entries
        self._random = rng
        self.submissions: list[Submission] = []

    def choose(self) -> Process | None:
        """Return an entry as the balancer would."""
        entries = self._entries()
        return self._random.choice(entries) if entries else None

    async def submit(self, request: Forward, submission: Submission) -> Submission:
        """Send a request through some entry and wait for its end."""
        loop = asyncio.get_running_loop()
        process = self.choose()
        submission.started_s = loop.time()
        self.submissions.append(submission)
        await asyncio.sleep(NETWORK_S)
        if process is None or not process.running:
            return self._end(submission, "refused")
        submission.entry = process.site.instance
        parts: asyncio.Queue[Any] = asyncio.Queue()
        process.host.spawn(_serve(process, request, parts))
        deadline_s = float(request.headers.get("Jayvalve-Deadline", "10"))
        return await self._collect(process, parts, submission, loop.time() + deadline_s)

    async def _collect(
        self, process: Process, parts: "asyncio.Queue[Any]", submission: Submission, due_s: float
    ) -> Submission:
        loop = asyncio.get_running_loop()
        body: list[bytes] = []
        while True:
            try:
                part = await asyncio.wait_for(parts.get(), POLL_S)
            except TimeoutError:
                if not process.running:
                    return self._end(submission, "broken")
                if loop.time() > due_s + PATIENCE_S:
                    return self._end(submission, "timeout")
                continue
            if isinstance(part, JayvalveError):
                submission.code, submission.verdict = part.code, str(part.verdict)
                return self._end(submission, "cut" if body else "error")
            if isinstance(part, Chunk):
                body.append(part.data)
            elif isinstance(part, Completed):
                submission.body = b"".join(body)
                return self._end(submission, "answer")
            elif part is None:
                return self._end(submission, "broken")

    def _end(self, submission: Submission, outcome: str) -> Submission:
        submission.outcome = outcome
        submission.ended_s = asyncio.get_running_loop().time()
        if outcome == "answer" and submission.kind == "model":
            stream = submission.body.startswith(b"data: ")
            message = summarize(submission.body, stream).message
            submission.text = message["content"] if message else ""
        return submission


async def _serve(process: Process, request: Forward, parts: "asyncio.Queue[Any]") -> None:
    """Run the request in the entry, as its HTTP handler does."""
    try:
        async with contextlib.aclosing(process.program._serve(request)) as answer:
            async for part in answer:
                parts.put_nowait(part)
    except JayvalveError as error:
        parts.put_nowait(error)
    except BaseException:
        parts.put_nowait(None)
        raise
