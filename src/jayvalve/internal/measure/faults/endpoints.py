"""Endpoints that answer deterministically and record the requests that reach them."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, Self

import attrs

from jayvalve.errors import DeadlineExceededError, EndpointFailedError, InvalidRequestError
from jayvalve.internal.answer_end import AnswerEnd
from jayvalve.internal.engines import CacheEvent, CachePage, EngineHead, EngineRequest
from jayvalve.internal.hashing import digest
from jayvalve.internal.measure.faults.virtual_time import SimulatedHost, current_host
from jayvalve.verdict import Verdict

__all__ = ["EndpointRun", "SimulatedAdapter", "SimulatedEndpoint", "answer_text", "request_tag"]

COMPLETION_TOKENS = 4
HANG_POLL_S = 0.1
EVENT_LAG_S = 0.5
JSON_HEADERS = {"Content-Type": "application/json"}
EVENT_HEADERS = {"Content-Type": "text/event-stream"}


def request_tag(messages: list[Any]) -> str:
    """Return the tag that the caller put at the start of the last message."""
    return str(messages[-1]["content"]).split(" ", 1)[0]


def answer_text(messages: list[Any]) -> str:
    """Return the model's answer, which depends on the whole prompt."""
    return f"{request_tag(messages)} {digest(json.dumps(messages, sort_keys=True).encode())}"


@attrs.define(eq=False)
class EndpointRun:
    """One request that reached an endpoint.

    Attributes:
        host: Process of the sidecar that sent it.
        tag: Tag of the caller's request.
        key: Idempotency key of a change, or an empty string.
        messages: Complete prompt of a model call.
        tokens: Prompt and completion tokens.
        finished_s: Time at which the answer was complete, or None.
        aborted_s: Time at which the run ended without a complete answer, or None.
    """

    endpoint: str
    host: SimulatedHost
    tag: str
    program: str
    key: str
    started_s: float
    messages: list[Any] = attrs.field(factory=list)
    tokens: int = 0
    finished_s: float | None = None
    aborted_s: float | None = None


class SimulatedEndpoint:
    """A model engine or an application service."""

    def __init__(self, name: str, role: str, latency_s: float) -> None:
        self.name = name
        self.role = role
        self.latency_s = latency_s
        self.hangs_until_s = 0.0
        self.fails_until_s = 0.0
        self.runs: list[EndpointRun] = []
        self.memory: dict[str, int] = {}

    def start_run(self, request: EngineRequest, now_s: float) -> EndpointRun:
        """Record a request as run and return its EndpointRun."""
        host = current_host()
        assert host is not None
        document = json.loads(request.body)
        if self.role == "model":
            messages = document["messages"]
            prompt = sum(len(str(message["content"]).split()) for message in messages)
            limit = document.get("max_tokens") or COMPLETION_TOKENS
            tokens = prompt + min(limit, COMPLETION_TOKENS)
            run = EndpointRun(
                self.name, host, request_tag(messages), request.program, "", now_s, messages, tokens
            )
            self.memory[request.program] = self.memory.get(request.program, 0) + prompt
        else:
            key = request.headers.get("Idempotency-Key", "")
            run = EndpointRun(
                self.name, host, document["tag"], request.program, key, now_s, tokens=0
            )
        self.runs.append(run)
        return run

    def answer(self, run: EndpointRun, stream: bool) -> list[bytes]:
        """Return the parts of the answer."""
        if self.role != "model":
            return [json.dumps({"done": run.tag}).encode()]
        text = answer_text(run.messages)
        usage = {"total_tokens": run.tokens, "completion_tokens": COMPLETION_TOKENS}
        if not stream:
            choice = {"message": {"role": "assistant", "content": text}}
            return [json.dumps({"choices": [choice], "usage": usage}).encode()]
        middle = len(text) // 2
        events = [
            {"choices": [{"delta": {"content": part}}]} for part in (text[:middle], text[middle:])
        ]
        events.append({"choices": [], "usage": usage})
        parts = [b"data: " + json.dumps(event).encode() + b"\n\n" for event in events]
        return [*parts, b"data: [DONE]\n\n"]


class SimulatedAdapter:
    """Engine adapter for a simulated endpoint."""

    endpoints: dict[str, SimulatedEndpoint] = {}  # noqa: RUF012 (replaced by each schedule)

    def __init__(self, endpoint: SimulatedEndpoint) -> None:
        self._endpoint = endpoint

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> Self:
        """Return an adapter for the endpoint with the configured address."""
        return cls(cls.endpoints[config["address"]])

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        return None

    def observe_ends(self, observe: Callable[[AnswerEnd], None]) -> None:
        """Observe nothing, since simulated answers are whole or fail."""

    async def run(self, request: EngineRequest) -> AsyncIterator[EngineHead | bytes]:
        """Yield an EngineHead, then the parts of the answer.

        Raises EndpointFailedError if the endpoint refuses connections, and DeadlineExceededError
        if the answer is not complete within the request's timeout.
        """
        endpoint, loop = self._endpoint, asyncio.get_running_loop()
        if loop.time() < endpoint.fails_until_s:
            raise EndpointFailedError("connection refused", verdict=Verdict.NOT_RUN)
        await asyncio.sleep(0.0005)
        run = endpoint.start_run(request, loop.time())
        limit_s = loop.time() + request.timeout_s
        try:
            parts = endpoint.answer(run, request.stream)
            headers = EVENT_HEADERS if request.stream else JSON_HEADERS
            await self._wait_for_endpoint(endpoint.latency_s, limit_s)
            yield EngineHead(200, headers)
            for part in parts:
                await self._wait_for_endpoint(0.01, limit_s)
                yield part
            run.finished_s = loop.time()
        finally:
            if run.finished_s is None:
                run.aborted_s = loop.time()

    async def _wait_for_endpoint(self, seconds: float, limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < max(end_s, self._endpoint.hangs_until_s):
            if loop.time() >= limit_s:
                raise DeadlineExceededError("the endpoint did not complete its answer in time")
            await asyncio.sleep(max(0.001, min(HANG_POLL_S, end_s - loop.time())))

    def cancel(self, attempt_id: str) -> bool:
        """Return False, since the sidecar cancels an attempt by cancelling its task."""
        return False

    async def cache_events(self, start: int) -> CachePage:
        """Return the cache events from start on, except those of the last EVENT_LAG_S seconds.

        Real engines also publish their events with a delay.
        """
        await asyncio.sleep(0.0005)
        limit_s = asyncio.get_running_loop().time() - EVENT_LAG_S
        runs = [run for run in self._endpoint.runs if run.messages and run.started_s <= limit_s]
        events = [
            CacheEvent(number, "stored", run.program, ())
            for number, run in enumerate(runs)
            if number >= start
        ]
        return CachePage(events, max(start, len(runs)), has_gap=False)

    async def release(self, program: str) -> None:
        """Release the memory of a program."""
        await asyncio.sleep(0.0005)
        self._endpoint.memory.pop(program, None)

    async def order(self, action: str, model: str, fencing: int) -> None:
        """Refuse all orders."""
        raise InvalidRequestError("orders are not simulated")
