"""Adapter of model engines that speak the OpenAI protocol with the platform's additions."""

import contextlib
import json
from http import HTTPStatus
from typing import Any

import attrs

from jayvalve.errors import EndpointFailedError, InvalidRequestError, StaleTermError
from jayvalve.internal.engines.http import HttpAdapter
from jayvalve.internal.engines.messages import (
    CacheEvent,
    CachePage,
    EngineHead,
    EngineLoad,
    EngineRequest,
)
from jayvalve.internal.engines.registry import ENGINE_ADAPTERS
from jayvalve.verdict import Verdict

__all__ = ["OpenaiAdapter"]

CHAT_PATH = "/v1/chat/completions"
PROGRAM_HEADER = "X-Program-Id"
JSON_HEADERS = {"Content-Type": "application/json"}
CONTROL_RANK = "urgent"


@ENGINE_ADAPTERS.register("openai")
class OpenaiAdapter(HttpAdapter):
    """Sends priority and program with each chat completion and uses the control requests."""

    def prepared(self, request: EngineRequest) -> EngineRequest:
        """Add the priority to the body and the program to the headers of a chat completion."""
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

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports."""
        fields = await self._json("GET", "/load")
        names = {field.name for field in attrs.fields(EngineLoad)}
        try:
            return EngineLoad(**{name: fields[name] for name in names & fields.keys()})
        except TypeError as error:
            raise EndpointFailedError(f"load report: {error}", verdict=Verdict.RAN) from error

    async def cache_events(self, start: int) -> CachePage:
        """Return the events from number start on; has_gap tells that numbers are missing."""
        document = await self._json("GET", f"/kv/events?from={start}")
        try:
            events = [
                CacheEvent(e["sequence"], e["kind"], e["program"], tuple(e["blocks"]))
                for e in document["events"]
            ]
            following = document["next"]
        except (KeyError, TypeError) as error:
            raise EndpointFailedError(f"cache events: {error!r}", verdict=Verdict.RAN) from error
        numbers = [event.sequence for event in events]
        return CachePage(events, following, numbers != list(range(start, following)))

    async def release(self, program: str) -> None:
        """Free the engine memory of a program."""
        await self._json("POST", "/kv/release", {"program": program})

    async def export_cache(self, program: str) -> bytes:
        """Return the program's cache in the engine's own format."""
        body = json.dumps({"program": program}).encode()
        return await self._exchange("POST", "/kv/export", body)

    async def import_cache(self, program: str, blob: bytes) -> None:
        """Give the engine a cache that an engine of the same kind exported for program."""
        try:
            document = json.loads(blob)
        except ValueError as error:
            raise InvalidRequestError(f"cache is not JSON: {error}") from error
        if not isinstance(document, dict) or document.get("program") != program:
            raise InvalidRequestError(f"cache does not belong to program {program!r}")
        await self._exchange("POST", "/kv/import", blob)

    async def order(self, action: str, model: str, fencing: int) -> None:
        """Send an order; StaleTermError if the engine knows a higher fencing number."""
        body = {"action": action, "model": model, "fencing": fencing}
        await self._json("POST", "/orders", body, self.settings.order_timeout_s)

    async def _json(
        self, method: str, path: str, body: Any = None, timeout_s: float | None = None
    ) -> dict[str, Any]:
        data = b"" if body is None else json.dumps(body).encode()
        answer = await self._exchange(method, path, data, timeout_s)
        try:
            document = json.loads(answer)
        except ValueError as error:
            raise EndpointFailedError(f"{path}: {error}", verdict=Verdict.RAN) from error
        if not isinstance(document, dict):
            raise EndpointFailedError(f"{path}: not a JSON object", verdict=Verdict.RAN)
        return document

    async def _exchange(
        self, method: str, path: str, body: bytes, timeout_s: float | None = None
    ) -> bytes:
        limit_s = self.settings.control_timeout_s if timeout_s is None else timeout_s
        request = EngineRequest(
            "control", "", CONTROL_RANK, method, path, JSON_HEADERS, body, timeout_s=limit_s
        )
        status, chunks = 0, []
        async with contextlib.aclosing(self._transfer(request).run()) as parts:
            async for part in parts:
                if isinstance(part, EngineHead):
                    status = part.status
                else:
                    chunks.append(part)
        answer = b"".join(chunks)
        if status == HTTPStatus.CONFLICT:
            raise StaleTermError(f"{path}: {answer[:200]!r}")
        if status >= HTTPStatus.BAD_REQUEST:
            message = f"{path}: status {status}, {answer[:200]!r}"
            raise EndpointFailedError(message, verdict=Verdict.RAN)
        return answer
