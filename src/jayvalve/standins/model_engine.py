"""Stand-in for a model engine that serves the OpenAI protocol."""

import asyncio
import contextlib
import math
from collections import OrderedDict, deque
from collections.abc import Mapping
from typing import Any

import attrs

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_identifier, check_range, check_type
from jayvalve.standins.answers import answer_tokens
from jayvalve.standins.batching import (
    FINISHED,
    ContinuousBatchEngine,
    EngineCall,
    EngineEvent,
)
from jayvalve.standins.generation import Generation
from jayvalve.standins.model_handlers import ROUTES
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, checked_settings
from jayvalve.standins.tokens import block_hashes, render_messages, split_tokens

__all__ = ["ModelEngine", "ModelEngineSettings"]

DEFAULT_ANSWER_TOKENS = 16
MAX_ANSWER_TOKENS = 8192
MAX_PRIORITY = 1_000_000
# Generations with X-Request-Id stay readable after their end so that a stream can be resumed.
# Above this number, the oldest one is dropped if it has ended, which bounds the memory.
MAX_KEPT_GENERATIONS = 1000
ACTIONS = ("load", "unload", "role")


def _non_negative(default: float) -> Any:
    return attrs.field(default=default, validator=attrs.validators.ge(0))


@attrs.frozen
class ModelEngineSettings:
    """Settings of a model engine.

    Attributes:
        models: Models loaded at startup.
        role: Role at startup; an order with the action "role" changes it.
        checks_fencing: Whether to reject orders with a stale fencing number.
        load_lag_s: Age of the figures in GET /load, in seconds.
        events_lag_s: Delay before a cache event appears in GET /kv/events, in seconds.
        events_gap_every: Omit every n-th cache event from GET /kv/events; 0 omits none.
        resume_grace_s: How long a call with X-Request-Id continues without a connection, in
            seconds.
        load_model_s: Duration of a load order, in seconds.
        engine: Constructor arguments of ContinuousBatchEngine.

    """

    models: list[str] = attrs.field(factory=lambda: ["small"])
    role: str = "mixed"
    checks_fencing: bool = True
    load_lag_s: float = _non_negative(0.5)
    events_lag_s: float = _non_negative(0.5)
    events_gap_every: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    resume_grace_s: float = _non_negative(0.0)
    load_model_s: float = _non_negative(0.0)
    engine: dict[str, Any] = attrs.field(factory=dict)


@STAND_INS.register("model-engine")
class ModelEngine(StandIn):
    """Drives a ContinuousBatchEngine in real time and serves it over HTTP."""

    kind = "model-engine"

    def __init__(
        self, settings: ModelEngineSettings | None = None, clock: Clock | None = None
    ) -> None:
        super().__init__(ROUTES, clock)
        self._settings = settings if settings is not None else ModelEngineSettings()
        self._engine = ContinuousBatchEngine.from_config(
            {**self._settings.engine, "token_events": True}
        )
        self._models = set(self._settings.models)
        self._role = self._settings.role
        self._highest_fencing = -1
        self._generations: OrderedDict[str, Generation] = OrderedDict()
        self._by_call_id: dict[str, Generation] = {}
        self._load_history: deque[tuple[float, dict[str, Any]]] = deque()
        self._next_call = 0
        self._wake = asyncio.Event()
        self._driver: asyncio.Task[None] | None = None
        self._record_load()

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "ModelEngine":
        """Build the engine from the fields of ModelEngineSettings; all have defaults."""
        return cls(checked_settings(ModelEngineSettings, config, cls.kind))

    @property
    def settings(self) -> ModelEngineSettings:
        """The engine's settings."""
        return self._settings

    @property
    def engine(self) -> ContinuousBatchEngine:
        """The simulated engine with its counters."""
        return self._engine

    @property
    def models(self) -> list[str]:
        """The names of the loaded models, sorted."""
        return sorted(self._models)

    @property
    def role(self) -> str:
        """The current role."""
        return self._role

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start the engine, listen on host and return the bound port."""
        bound = await super().start(host, port)
        self._driver = asyncio.create_task(self._drive())
        return bound

    async def stop(self) -> None:
        """Cancel all generations, close all connections and stop the engine."""
        for generation in list(self._by_call_id.values()):
            self.cancel(generation)
        await super().stop()
        if self._driver is not None:
            self._driver.cancel()
            await asyncio.wait({self._driver})

    def generate(self, body: Mapping[str, Any], program: str, request_id: str) -> Generation:
        """Queue a chat completion and return its generation.

        A request id that is already in use returns the earlier generation, unless that one was
        cancelled.
        """
        earlier = self._generations.get(request_id) if request_id else None
        if earlier is not None and not earlier.cancelled:
            return earlier
        messages = body.get("messages")
        if not isinstance(messages, list) or not all(isinstance(m, dict) for m in messages):
            raise InvalidRequestError("messages must be a list of objects")
        limit = body.get("max_tokens", body.get("max_completion_tokens"))
        count = DEFAULT_ANSWER_TOKENS if limit is None else check_type(int, limit, "max_tokens")
        check_range(count, "max_tokens", 1, MAX_ANSWER_TOKENS)
        priority = check_type(int, body.get("priority", 0), "priority")
        check_range(priority, "priority", -MAX_PRIORITY, MAX_PRIORITY)
        self._next_call += 1
        call_id = request_id or f"call-{self._next_call}"
        tokens = answer_tokens(messages, count)
        prompt = split_tokens(render_messages(messages))
        answer = {"role": "assistant", "content": " ".join(tokens)}
        final = split_tokens(render_messages([*messages, answer]))
        call = EngineCall(
            call_id=f"{call_id}#{self._next_call}",
            program=program,
            blocks=block_hashes(prompt),
            prompt_tokens=len(prompt),
            output_tokens=count,
            priority=priority,
            final_blocks=block_hashes(final),
        )
        created = int(self.clock.wall())
        options = body.get("stream_options") or {}
        generation = Generation(
            call,
            tokens,
            {"id": f"chatcmpl-{call_id}", "created": created, "model": body["model"]},
            finish_reason="stop" if limit is None else "length",
            include_usage=bool(check_type(dict, options, "stream_options").get("include_usage")),
        )
        self._add(call, generation, request_id)
        return generation

    def find(self, request_id: str) -> Generation | None:
        """Return the generation of a request id, or None if it is unknown."""
        return self._generations.get(request_id)

    def cancel(self, generation: Generation) -> None:
        """Cancel a generation that is still queued or running."""
        if self._by_call_id.pop(generation.call_id, None) is not None:
            self._engine.cancel(generation.call_id, self.clock.now())
            generation.cancel()
            self._handle_change()

    async def cancel_if_abandoned(self, generation: Generation, resumable: bool) -> None:
        """Cancel a generation that has no readers, after resume_grace_s if it is resumable."""
        if resumable and self._settings.resume_grace_s > 0:
            await asyncio.sleep(self._settings.resume_grace_s)
        if generation.readers == 0:
            self.cancel(generation)

    def lagged_load(self) -> dict[str, Any]:
        """Return the load as it was load_lag_s ago and drop the history before it."""
        limit_s = self.clock.now() - self._settings.load_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit_s:
            self._load_history.popleft()
        return self._load_history[0][1]

    def cache_events(self, start: int) -> list[dict[str, Any]]:
        """Return the cache events from number start on that are visible by now."""
        until_s = self.clock.now() - self._settings.events_lag_s
        gap = self._settings.events_gap_every
        return [
            event._asdict()
            for event in self._engine.cache_events(start, until_s)
            if not gap or (event.sequence + 1) % gap
        ]

    async def order(self, action: str, model: str, fencing: int) -> bool:
        """Execute an order; return False if the engine rejects its fencing number as stale.

        For the action "role", model is the name of the new role.
        """
        if action not in ACTIONS:
            raise InvalidRequestError(f"action={action!r} must be one of {', '.join(ACTIONS)}")
        check_identifier(model, "model")
        if self._settings.checks_fencing and fencing < self._highest_fencing:
            return False
        self._highest_fencing = max(self._highest_fencing, fencing)
        if action == "role":
            self._role = model
        elif action == "load":
            await asyncio.sleep(self._settings.load_model_s)
            self._models.add(model)
        else:
            self._models.discard(model)
            self._engine.cache.clear(self.clock.now())
        self._handle_change()
        return True

    def _add(self, call: EngineCall, generation: Generation, request_id: str) -> None:
        if request_id:
            self._generations[request_id] = generation
            self._generations.move_to_end(request_id)
            self._drop_oldest_if_ended()
        self._by_call_id[call.call_id] = generation
        self._dispatch(self._engine.submit(call, self.clock.now()))
        self._handle_change()

    def _drop_oldest_if_ended(self) -> None:
        if len(self._generations) > MAX_KEPT_GENERATIONS:
            oldest = next(iter(self._generations))
            if self._generations[oldest].ended:
                del self._generations[oldest]

    async def _drive(self) -> None:
        while True:
            self._wake.clear()
            self._dispatch(self._engine.advance(self.clock.now()))
            delay_s = self._engine.next_event_s - self.clock.now()
            timeout_s = None if math.isinf(delay_s) else max(0.0, delay_s)
            # Avoids wait_for, which in Python 3.11 loses a cancellation that coincides with the end
            # of the wait.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()

    def _dispatch(self, events: list[EngineEvent]) -> None:
        for event in events:
            generation = self._by_call_id.get(event.call_id)
            if generation is None:
                continue
            if event.kind == FINISHED:
                del self._by_call_id[event.call_id]
                generation.finish()
            else:
                generation.produce(event.index + 1)
        if events:
            self._record_load()

    def _handle_change(self) -> None:
        self._record_load()
        self._wake.set()

    def _record_load(self) -> None:
        engine = self._engine
        load = {
            "running": engine.running,
            "waiting": engine.waiting,
            "max_running": engine.max_running,
            "tokens_per_s": engine.running * engine.sequence_tokens_per_s,
            "cache_tokens": engine.cache.tokens,
            "models": self.models,
            "role": self._role,
        }
        if not self._load_history or self._load_history[-1][1] != load:
            self._load_history.append((self.clock.now(), load))
            # Called only to drop the history older than load_lag_s, which bounds the memory.
            self.lagged_load()
