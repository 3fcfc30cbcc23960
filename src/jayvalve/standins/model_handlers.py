"""HTTP handlers of the stand-in for a model engine."""

import asyncio
from typing import TYPE_CHECKING, Any

from tornado.iostream import StreamClosedError

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.validation import check_identifier, check_type
from jayvalve.standins.generation import Generation
from jayvalve.standins.server import StandInHandler

if TYPE_CHECKING:
    from jayvalve.standins.model_engine import ModelEngine

__all__ = ["ROUTES"]

REQUEST_ID_HEADER = "X-Request-Id"
PROGRAM_HEADER = "X-Program-Id"


class EngineHandler(StandInHandler):
    """Base of the handlers of the model engine."""

    standin: "ModelEngine"  # type: ignore[assignment]

    def program_argument(self, fields: dict[str, Any]) -> str:
        """Return the program named in the body, including the organisation prefix if present."""
        program = check_type(str, fields.get("program"), "program")
        for part in program.split("/"):
            check_identifier(part, "program")
        return program

    def start_argument(self, name: str) -> int:
        """Return a query argument that must be a non-negative integer; the default is 0."""
        text = self.get_query_argument(name, "0")
        if not text.isdecimal():
            raise InvalidRequestError(f"{name}={text!r} must be a number from 0 on")
        return int(text)


class StreamingHandler(EngineHandler):
    """Sends a generation, and cancels it if its last connection closes before it has ended."""

    async def send(self, generation: Generation, start: int, *, stream: bool, resumable: bool):
        """Send the generation, streamed from chunk number start on or as one document."""
        generation.readers += 1
        try:
            if stream:
                await self.wait_unless_closed(self._send_events(generation, start))
            else:
                await self.wait_unless_closed(generation.wait_until_ended())
                self._send_document(generation)
        finally:
            generation.readers -= 1
            if generation.readers == 0 and not generation.ended:
                # A separate task, because the handler ends when its connection closes.
                task = asyncio.create_task(self.standin.cancel_if_abandoned(generation, resumable))
                self.standin.tasks.add(task)
                task.add_done_callback(self.standin.tasks.discard)

    async def _send_events(self, generation: Generation, start: int) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        try:
            async for event in generation.server_sent_events(start):
                self.write(event)
                await self.flush()
        except StreamClosedError:
            self.on_connection_close()
            return
        if generation.cancelled:
            # The truncated chunked body shows the reader that the answer is incomplete.
            self.drop_connection()
            return
        self.finish()

    def _send_document(self, generation: Generation) -> None:
        if generation.cancelled:
            self.drop_connection()
            return
        self.finish(generation.document())


class ChatHandler(StreamingHandler):
    """POST /v1/chat/completions."""

    async def post(self) -> None:
        """Generate an answer to the messages."""
        body = self.json_body()
        model = check_type(str, body.get("model"), "model")
        if model not in self.standin.models:
            self.refuse(404, "model_not_found", f"model {model!r} is not loaded")
            return
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        if request_id:
            check_identifier(request_id, REQUEST_ID_HEADER)
        program = self.request.headers.get(PROGRAM_HEADER, "")
        generation = self.standin.generate(body, program, request_id)
        stream = bool(body.get("stream"))
        await self.send(generation, 0, stream=stream, resumable=bool(request_id))


class StreamHandler(StreamingHandler):
    """GET /v1/streams/{request_id}?from=N resumes a stream."""

    async def get(self, request_id: str) -> None:
        """Send the chunks from number N on, or 404 if the stream is unknown or was cancelled."""
        start = self.start_argument("from")
        generation = self.standin.find(request_id)
        if generation is None or generation.cancelled:
            self.refuse(404, "stream_unknown", f"no stream {request_id!r} to resume")
            return
        await self.send(generation, start, stream=True, resumable=True)


class ModelsHandler(EngineHandler):
    """GET /v1/models."""

    def get(self) -> None:
        """Return the loaded models."""
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "stand-in"}
            for name in self.standin.models
        ]
        self.finish({"object": "list", "data": models})


class LoadHandler(EngineHandler):
    """GET /load."""

    def get(self) -> None:
        """Return the load as it was load_lag_s ago."""
        self.finish(self.standin.lagged_load())


class EventsHandler(EngineHandler):
    """GET /kv/events?from=N."""

    def get(self) -> None:
        """Return the cache events from number N on, and the number to request next."""
        start = self.start_argument("from")
        events = self.standin.cache_events(start)
        self.finish({"events": events, "next": events[-1]["sequence"] + 1 if events else start})


class ProgramsHandler(EngineHandler):
    """GET /kv/programs, the current cache usage, for tests that check released memory."""

    exempt_from_faults = True

    def get(self) -> None:
        """Return the cached tokens of each program and the counters of the cache."""
        cache = self.standin.engine.cache
        self.finish(
            {
                "programs": cache.programs,
                "tokens": cache.tokens,
                "cached_tokens": cache.cached_tokens,
                "rebuilt_tokens": cache.rebuilt_tokens,
                "evicted_tokens": cache.evicted_tokens,
            }
        )


class ExportHandler(EngineHandler):
    """POST /kv/export {"program"}."""

    def post(self) -> None:
        """Return the program's cached blocks, which stay allocated until they are released."""
        program = self.program_argument(self.json_body())
        self.finish({"program": program, "blocks": self.standin.engine.export(program)})


class ImportHandler(EngineHandler):
    """POST /kv/import with the body of an export."""

    def post(self) -> None:
        """Add the exported blocks to the cache."""
        body = self.json_body()
        blocks = check_type(list, body.get("blocks"), "blocks")
        for block in blocks:
            check_type(int, block, "block")
        program = self.program_argument(body)
        self.standin.engine.import_blocks(program, blocks, self.standin.clock.now())
        self.finish({"program": program, "blocks": len(blocks)})


class ReleaseHandler(EngineHandler):
    """POST /kv/release {"program"}."""

    def post(self) -> None:
        """Free the cached blocks that only the program uses."""
        program = self.program_argument(self.json_body())
        tokens = self.standin.engine.release(program, self.standin.clock.now())
        self.finish({"program": program, "released_tokens": tokens})


class OrdersHandler(EngineHandler):
    """POST /orders {"action", "model", "fencing"}; for the action "role", model is the new role."""

    async def post(self) -> None:
        """Execute an order to load or unload a model or to change the role."""
        body = self.json_body()
        action = check_type(str, body.get("action"), "action")
        fencing = check_type(int, body.get("fencing"), "fencing")
        if not await self.standin.order(action, body.get("model", ""), fencing):
            self.refuse(409, "stale_fencing", f"fencing number {fencing} is old")
            return
        self.finish({"accepted": True, "models": self.standin.models, "role": self.standin.role})


ROUTES = [
    ("/v1/chat/completions", ChatHandler),
    ("/v1/streams/([^/]+)", StreamHandler),
    ("/v1/models", ModelsHandler),
    ("/load", LoadHandler),
    ("/kv/events", EventsHandler),
    ("/kv/programs", ProgramsHandler),
    ("/kv/export", ExportHandler),
    ("/kv/import", ImportHandler),
    ("/kv/release", ReleaseHandler),
    ("/orders", OrdersHandler),
]
