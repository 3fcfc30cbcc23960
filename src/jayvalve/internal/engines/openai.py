"""Adapter for model engines with the OpenAI protocol and the platform's extensions."""

import contextlib
import json
from http import HTTPStatus
from typing import Any

import attrs

from jayvalve.errors import EndpointFailedError, InvalidRequestError, StaleTermError
from jayvalve.internal.body_checks import BodyCheck
from jayvalve.internal.engines.completeness import completion_check
from jayvalve.internal.engines.http import HttpAdapter
from jayvalve.internal.engines.messages import (
    CacheEvent,
    CachePage,
    EngineHead,
    EngineLoad,
    EngineRequest,
)
from jayvalve.internal.engines.registry import ENGINE_ADAPTERS
from jayvalve.internal.http_framing import Framing
from jayvalve.verdict import Verdict

__all__ = ["OpenaiAdapter"]

CHAT_PATH = "/v1/chat/completions"
PROGRAM_HEADER = "X-Program-Id"
JSON_HEADERS = {"Content-Type": "application/json"}
CONTROL_RANK = "urgent"


@ENGINE_ADAPTERS.register("openai")
class OpenaiAdapter(HttpAdapter):
    """Sends priority and program with each chat completion and supports control requests."""

    def prepare_request(self, request: EngineRequest) -> EngineRequest:
        """Set the priority in the body and the program header of a chat completion.

        Values from the caller are replaced; without a program, the header is removed.
        """
        if request.path.partition("?")[0] != CHAT_PATH:
            return request
        try:
            body = json.loads(request.body)
        except ValueError as error:
            raise InvalidRequestError(f"body is not JSON: {error}") from error
        if not isinstance(body, dict):
            raise InvalidRequestError("body must be a JSON object")
        body["priority"] = request.priority
        dropped = PROGRAM_HEADER.lower()
        headers = {k: v for k, v in request.headers.items() if k.lower() != dropped}
        if request.program:
            headers[PROGRAM_HEADER] = request.program
        return attrs.evolve(request, headers=headers, body=json.dumps(body).encode())

    def body_check(self, request: EngineRequest, head: EngineHead, framing: Framing) -> BodyCheck:
        """Return the check for the body of an answer; a completion is checked in any framing."""
        if request.path.partition("?")[0] == CHAT_PATH:
            return completion_check(head, framing)
        return super().body_check(request, head, framing)

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports."""
        fields = await self._control_request_json("GET", "/load")
        names = {field.name for field in attrs.fields(EngineLoad)}
        try:
            return EngineLoad(**{name: fields[name] for name in names & fields.keys()})
        except TypeError as error:
            raise EndpointFailedError(
                f"invalid load report: {error}", verdict=Verdict.RAN
            ) from error

    async def cache_events(self, start: int) -> CachePage:
        """Return the events from sequence number start on, and whether numbers are missing."""
        document = await self._control_request_json("GET", f"/kv/events?from={start}")
        try:
            events = [
                CacheEvent(e["sequence"], e["kind"], e["program"], tuple(e["blocks"]))
                for e in document["events"]
            ]
            next_sequence = document["next"]
        except (KeyError, TypeError) as error:
            raise EndpointFailedError(
                f"invalid cache events: {error!r}", verdict=Verdict.RAN
            ) from error
        sequences = [event.sequence for event in events]
        return CachePage(events, next_sequence, sequences != list(range(start, next_sequence)))

    async def release(self, program: str) -> None:
        """Free the engine memory of a program."""
        await self._control_request_json("POST", "/kv/release", {"program": program})

    async def export_cache(self, program: str) -> bytes:
        """Return the cache as the engine exports it: a JSON object that names the program."""
        body = json.dumps({"program": program}).encode()
        return await self._control_request("POST", "/kv/export", body)

    async def import_cache(self, program: str, blob: bytes) -> None:
        """Import a cache that an engine of the same kind exported for the same program."""
        try:
            document = json.loads(blob)
        except ValueError as error:
            raise InvalidRequestError(f"cache is not JSON: {error}") from error
        if not isinstance(document, dict) or document.get("program") != program:
            raise InvalidRequestError(f"cache does not belong to program {program!r}")
        await self._control_request("POST", "/kv/import", blob)

    async def order(self, action: str, model: str, fencing: int) -> None:
        """Send an order; raise StaleTermError if the engine has seen a higher fencing number."""
        body = {"action": action, "model": model, "fencing": fencing}
        await self._control_request_json("POST", "/orders", body, self.settings.order_timeout_s)

    async def _control_request_json(
        self, method: str, path: str, body: Any = None, timeout_s: float | None = None
    ) -> dict[str, Any]:
        data = b"" if body is None else json.dumps(body).encode()
        answer = await self._control_request(method, path, data, timeout_s)
        try:
            document = json.loads(answer)
        except ValueError as error:
            raise EndpointFailedError(
                f"{path}: invalid JSON: {error}", verdict=Verdict.RAN
            ) from error
        if not isinstance(document, dict):
            raise EndpointFailedError(f"{path}: answer is not a JSON object", verdict=Verdict.RAN)
        return document

    async def _control_request(
        self, method: str, path: str, body: bytes, timeout_s: float | None = None
    ) -> bytes:
        effective_timeout_s = self.settings.control_timeout_s if timeout_s is None else timeout_s
        request = EngineRequest(
            "control",
            "",
            CONTROL_RANK,
            method,
            path,
            JSON_HEADERS,
            body,
            timeout_s=effective_timeout_s,
        )
        status, chunks = 0, []
        async with contextlib.aclosing(self._create_transfer(request).run()) as parts:
            async for part in parts:
                if isinstance(part, EngineHead):
                    status = part.status
                else:
                    chunks.append(part)
        answer = b"".join(chunks)
        if status == HTTPStatus.CONFLICT:
            raise StaleTermError(f"{path}: rejected with status 409, {answer[:200]!r}")
        if status >= HTTPStatus.BAD_REQUEST:
            message = f"{path}: status {status}, {answer[:200]!r}"
            raise EndpointFailedError(message, verdict=Verdict.RAN)
        return answer
