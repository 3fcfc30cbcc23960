"""Stand-in for an engine of the platform: a streaming model engine or a plain service."""

import asyncio
import contextlib
import json
import random
import time
from collections import Counter, deque
from collections.abc import Mapping

import attrs
from tornado.iostream import StreamClosedError

from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["PlatformEngine", "PlatformEngineSettings"]

ATTEMPT_ID = "X-Jayvalve-Attempt-Id"
EXPECTED_INSTANCE = "X-Jayvalve-Expected-Instance"
MAX_RECORDED_BODIES = 100_000


@attrs.frozen
class PlatformEngineSettings:
    """Settings of an engine. Shares are fractions between 0 and 1.

    Attributes:
        id: Identifier of the engine.
        streaming: Whether answers are event streams.
        slots: Maximum number of requests processed concurrently.
        queue: Maximum number of requests that wait for a slot; further ones are rejected.
        work_ms: Processing time of a plain request, or of each event of a stream, in
            milliseconds.
        events: Number of events of each stream.
        chunk_tokens: Number of tokens in each event.
        break_share: Share of the streams whose connection closes midway.
        lose_share: Share of the requests that run but get no answer.
        error_share: Share of the requests answered with status 500.
        extra_share: Share of the answers followed by a second one on the same connection.
        limit_per_s: Requests per second that the engine names as its limit, or None. It does not
            enforce the limit.
        crash_text: Text in the body of a request at which the engine ends: it stops listening and
            closes all connections. Empty for none.
        version: Version of the engine's software, in its entry.
        names_version: Whether each event of a stream names that version as its type.
        leaving: Whether the engine announces in its answers that it leaves. It goes on serving.
        seed: Seed of the random faults.

    """

    id: str = "engine-1"
    streaming: bool = True
    slots: int = 8
    queue: int = 24
    work_ms: float = 5.0
    events: int = 4
    chunk_tokens: int = 13
    break_share: float = 0.0
    lose_share: float = 0.0
    error_share: float = 0.0
    extra_share: float = 0.0
    limit_per_s: float | None = None
    crash_text: str = ""
    version: str = "v1"
    names_version: bool = False
    leaving: bool = False
    seed: int = 1


@STAND_INS.register("platform-engine")
class PlatformEngine(StandIn):
    """One engine; it records the requests that it runs, so that tests can check them."""

    kind = "platform-engine"

    def __init__(self, settings: PlatformEngineSettings | None = None) -> None:
        super().__init__(
            [
                ("/standin/record", RecordHandler),
                ("/standin/settings", SettingsHandler),
                ("/health", HealthHandler),
                ("/.*", CallHandler),
            ]
        )
        self.settings = settings if settings is not None else PlatformEngineSettings()
        self.rng = random.Random(self.settings.seed)
        self.born_ms = time.time_ns() // 1_000_000
        self.runs: Counter[str] = Counter()
        self.bodies: dict[str, bytes] = {}
        self.headers: dict[str, dict[str, str]] = {}
        self.arrivals_s: deque[float] = deque(maxlen=MAX_RECORDED_BODIES)
        self.tokens: Counter[str] = Counter()
        self.running = 0
        self.waiting = 0
        self.refused = 0
        self.ended = False
        self.slot_freed = asyncio.Condition()

    def begin_incarnation(self) -> None:
        """Give the engine a new start time, as after a restart under the same id."""
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "PlatformEngine":
        """Build the engine from the fields of PlatformEngineSettings."""
        return cls(checked_settings(PlatformEngineSettings, config, cls.kind))

    def entry(self, service: str, address: str, state: str = "ready") -> dict[str, object]:
        """Return the engine's record in the store."""
        return {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": self.settings.version,
            "slots": self.settings.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }


class CallHandler(StandInHandler):
    """Runs a request, or rejects it if it is for another engine or the queue is full."""

    standin: PlatformEngine  # type: ignore[assignment]

    async def get(self) -> None:
        """Run a request without a body."""
        await self._handle_call()

    async def post(self) -> None:
        """Run a request with a body."""
        await self._handle_call()

    async def _handle_call(self) -> None:
        engine = self.standin
        engine.arrivals_s.append(time.monotonic())
        if engine.settings.leaving:
            self.set_header("Server-Leaving", "1")
        if engine.settings.limit_per_s is not None:
            self.set_header("Server-Limit", f"{engine.settings.limit_per_s:g}")
        attempt = self.request.headers.get(ATTEMPT_ID, "")
        self.set_header(ATTEMPT_ID, attempt)
        expected = self.request.headers.get(EXPECTED_INSTANCE)
        if expected is not None and expected != engine.settings.id:
            self.set_status(421)
            self.set_header("X-Jayvalve-Instance-Id", engine.settings.id)
            self.finish()
            return
        if engine.running + engine.waiting >= engine.settings.slots + engine.settings.queue:
            engine.refused += 1
            self.set_status(503)
            self.set_header("X-Jayvalve-Not-Executed", "1")
            self.finish()
            return
        engine.waiting += 1
        async with engine.slot_freed:
            await engine.slot_freed.wait_for(lambda: engine.running < engine.settings.slots)
            engine.waiting -= 1
            engine.running += 1
        try:
            if not self._closed.is_set():
                await self._run_attempt(attempt)
        finally:
            engine.running -= 1
            async with engine.slot_freed:
                engine.slot_freed.notify()

    async def _run_attempt(self, attempt: str) -> None:
        engine, settings = self.standin, self.standin.settings
        engine.runs[attempt] += 1
        if len(engine.bodies) < MAX_RECORDED_BODIES:
            engine.bodies[attempt] = self.request.body
            engine.headers[attempt] = dict(self.request.headers)
        if settings.crash_text and settings.crash_text.encode() in self.request.body:
            engine.ended = True
            await engine.stop()
            return
        if engine.rng.random() < settings.lose_share:
            await asyncio.sleep(settings.work_ms / 1000)
            self.drop_connection()
            return
        self.set_header("X-Jayvalve-Server-Signature", f"{settings.id}.{attempt}")
        if engine.rng.random() < settings.error_share:
            self.set_status(500)
            self.finish("failed")
            return
        if settings.streaming:
            await self._stream(attempt)
        else:
            await asyncio.sleep(settings.work_ms / 1000)
            self.finish(json.dumps({"attempt": attempt, "engine": settings.id}))
        if engine.rng.random() < settings.extra_share and self.request.connection is not None:
            extra = f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {attempt}\r\nContent-Length: 5\r\n\r\nextra"
            # A caller that has disconnected gets no extra answer.
            with contextlib.suppress(StreamClosedError):
                self.request.connection.stream.write(extra.encode())

    async def _stream(self, attempt: str) -> None:
        engine, settings = self.standin, self.standin.settings
        last_event = None
        if engine.rng.random() < settings.break_share:
            # A new stream never breaks before its first event, since lose_share covers that case.
            # A resumed stream may break before it sends any event.
            last_event = engine.rng.randrange(1, max(2, settings.events))
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        self.set_header("Content-Type", "text/event-stream")
        for number in range(first, settings.events + 1):
            await asyncio.sleep(settings.work_ms / 1000)
            if self._closed.is_set():
                return
            if last_event is not None and number > last_event:
                self.drop_connection()
                return
            engine.tokens[attempt] += settings.chunk_tokens
            kind = f"event: {settings.version}\n" if settings.names_version else ""
            self.write(f"{kind}id: {number}\ndata: {attempt}/{number}\n\n")
            await self.flush()
        self.finish()


class HealthHandler(StandInHandler):
    """GET /health names the engine; a health check is no run."""

    standin: PlatformEngine  # type: ignore[assignment]

    def get(self) -> None:
        """Return 200, or 503 while the engine leaves."""
        settings = self.standin.settings
        self.set_status(503 if settings.leaving else 200)
        self.set_header("X-Jayvalve-Instance-Id", settings.id)
        self.finish()


class RecordHandler(StandInHandler):
    """GET /standin/record returns the requests that the engine recorded."""

    exempt_from_faults = True
    standin: PlatformEngine  # type: ignore[assignment]

    def get(self) -> None:
        """Return runs and bodies by attempt, and the number of rejected requests."""
        engine = self.standin
        self.finish(
            {
                "runs": dict(engine.runs),
                "bodies": {name: body.decode("latin1") for name, body in engine.bodies.items()},
                "refused": engine.refused,
            }
        )


class SettingsHandler(StandInHandler):
    """POST /standin/settings changes settings, such as the shares of faults."""

    exempt_from_faults = True
    standin: PlatformEngine  # type: ignore[assignment]

    def post(self) -> None:
        """Replace the settings that the body names and keep the others."""
        self.standin.settings = attrs.evolve(self.standin.settings, **self.json_body())
        self.finish({})
