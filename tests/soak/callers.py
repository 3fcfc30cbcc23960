"""Callers of the soak test, and checks of the promises against what callers and engines saw.

A turn on the kept route, /chat/, is kept, so that a later turn can continue it. A turn on
/advice/ is not kept.
"""

import asyncio
import contextlib
import pathlib
import random
from collections import Counter, defaultdict
from collections.abc import AsyncIterator

import attrs

from tests.platform_support import Answer, request
from tests.soak.fleet import Fleet

__all__ = ["Callers", "Ledger", "run_callers"]

BUDGET_TOKENS = 600
MAX_TURN_TOKENS = 80
CHUNK_TOKENS = 13
CALL_TIMEOUT_S = 8.0
# How often a caller resumes a stream that broke off.
MAX_RESUMPTIONS = 3
# Share of the streams that are not kept whose caller leaves and comes back.
LEAVE_SHARE = 0.3


@attrs.define
class Ledger:
    """What callers received.

    Attributes:
        calls: Number of calls made.
        served: Number of calls that got a complete answer with status 200.
        statuses: Number of calls by status; 0 stands for a lost connection or a timeout.
        kept: Start of the prompt that an engine must receive for a continuation, by kept turn
            that got a complete answer.
        prompts: Prompt that an engine must receive, by attempt on the kept route.
        tokens: Number of tokens that callers received, by program.
        resumed: Number of streams that were resumed to their end.
        refused: Status of each attempt that was refused with 402, 429 or 503.
        violations: Violated promises.

    """

    calls: int = 0
    served: int = 0
    statuses: Counter[int] = attrs.field(factory=Counter)
    kept: dict[str, bytes] = attrs.field(factory=dict)
    prompts: dict[str, bytes] = attrs.field(factory=dict)
    tokens: Counter[str] = attrs.field(factory=Counter)
    resumed: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)


class Callers:
    """Runs programs against a fleet until an event is set."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self._rng = rng
        self._last_id = 0
        self.ledger = Ledger()
        self._kept_turns: dict[str, list[str]] = defaultdict(list)

    async def run(self, programs: int, stop: asyncio.Event) -> None:
        """Run a number of programs concurrently until the event is set."""
        await asyncio.gather(*(self._run_consecutive_programs(stop) for _ in range(programs)))

    async def _run_consecutive_programs(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            self._last_id += 1
            program = f"program-{self._last_id}"
            for _ in range(self._rng.randrange(1, 6)):
                if stop.is_set():
                    return
                await self._turn(program)
                await self._tool(program, self._rng.choice(["/status/", "/charge/"]))

    async def check_continuations(self) -> None:
        """Continue from a sample of the kept turns with complete answers; none may be unknown."""
        sample = self._rng.sample(sorted(self.ledger.kept), min(20, len(self.ledger.kept)))
        for turn in sample:
            self._last_id += 1
            attempt = f"after-{self._last_id}"
            headers = {"X-Jayvalve-Previous-Turn": turn}
            answer = await self._call("/chat/", attempt, b"again;", headers)
            if answer is not None and answer.status == 404:
                self.ledger.violations.append(f"kept turn {turn} was answered 404")
            if answer is not None and answer.status == 200:
                self.ledger.prompts[attempt] = self.ledger.kept[turn] + b"again;"

    def check_engines(self) -> None:
        """Compare the answers that callers received with what the engines ran."""
        ledger = self.ledger
        runs: Counter[str] = Counter()
        for engine in self.fleet.engines.values():
            runs.update(engine.runs)
            for attempt, prompt in ledger.prompts.items():
                body = engine.bodies.get(attempt)
                if body is not None and body != prompt:
                    ledger.violations.append(f"{attempt} ran with {body!r}, not {prompt!r}")
        for attempt, count in runs.items():
            # Turns on the kept route and charges must run at most once.
            if count > 1 and not attempt.startswith(("status", "advice")):
                ledger.violations.append(f"{attempt} ran {count} times")
        for attempt, status in ledger.refused.items():
            if runs[attempt] and not attempt.startswith(("status", "advice")):
                ledger.violations.append(f"{attempt} was refused with {status} but ran")
        for program, tokens in ledger.tokens.items():
            if tokens > BUDGET_TOKENS + MAX_TURN_TOKENS:
                ledger.violations.append(
                    f"{program} received {tokens} tokens with a budget of {BUDGET_TOKENS}"
                )

    async def _turn(self, program: str) -> None:
        self._last_id += 1
        kept = self._rng.random() < 0.7
        kind, path = ("turn", "/chat/") if kept else ("advice", "/advice/")
        attempt = f"{kind}-{self._last_id}"
        headers = {
            "X-Jayvalve-Program-Id": program,
            "X-Jayvalve-Token-Budget": str(BUDGET_TOKENS),
            "X-Jayvalve-Token-Usage": f"100,{MAX_TURN_TOKENS}",
        }
        prompt = f"in-{self._last_id};".encode()
        earlier = self._kept_turns[program]
        previous = self._rng.choice(earlier) if kept and earlier else None
        if previous is not None:
            headers["X-Jayvalve-Previous-Turn"] = previous
        body = prompt
        prompt = (self.ledger.kept[previous] if previous else b"") + prompt
        if kept:
            self.ledger.prompts[attempt] = prompt
        if not kept and self._rng.random() < LEAVE_SHARE:
            await self._leave_and_resume(attempt, headers)
            return
        answer = await self._call(path, attempt, body, headers)
        if answer is None:
            return
        events = [line[6:] for line in answer.body.split(b"\n") if line.startswith(b"data: ")]
        self.ledger.tokens[program] += CHUNK_TOKENS * len(events)
        self._check_chunks(attempt, answer, events)
        if answer.status == 404:
            self.ledger.violations.append(f"{attempt}: kept turn {previous} was answered 404")
        if not kept and events and not answer.whole:
            await self._resume(attempt, answer, headers)
        if kept and answer.status == 200 and answer.whole:
            self.ledger.kept[attempt] = prompt + b"".join(event + b"\n" for event in events)
            earlier.append(attempt)

    async def _leave_and_resume(self, attempt: str, headers: dict[str, str]) -> None:
        """Leave a stream after its second event, and resume it."""
        self.ledger.calls += 1
        port = self._rng.choice(self.fleet.gateways).port
        last = f"data: {attempt}/2\n\n".encode()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await request(
                    port, "/advice/", attempt=attempt, body=b"in;", headers=headers, until=last
                )
        except (OSError, TimeoutError):
            return
        if answer.body.endswith(last):
            # At most all four events were made.
            self.ledger.tokens[headers["X-Jayvalve-Program-Id"]] += 4 * CHUNK_TOKENS
            await self._resume(attempt, answer, headers)

    async def _resume(self, began: str, answer: Answer, headers: dict[str, str]) -> None:
        """Resume a stream until it is whole; its events must all be of one software version."""
        body = answer.body
        for _ in range(MAX_RESUMPTIONS):
            received = body.count(b"\ndata: ")
            self._last_id += 1
            attempt = f"advice-{self._last_id}"
            names = {"Last-Event-Id": str(received), "Resumes": began}
            part = await self._call("/advice/", attempt, b"again;", {**headers, **names})
            if part is None or part.status != 200:
                continue
            expected = f"id: {received + 1}\ndata: {attempt}/{received + 1}\n".encode()
            if part.body and expected not in part.body:
                self.ledger.violations.append(f"{attempt} resumed {began} with {part.body!r}")
            body += part.body
            self.ledger.tokens[headers["X-Jayvalve-Program-Id"]] += CHUNK_TOKENS * part.body.count(
                b"\ndata: "
            )
            if part.whole:
                self.ledger.resumed += 1
                break
        versions = {line for line in body.split(b"\n") if line.startswith(b"event: ")}
        if len(versions) > 1:
            self.ledger.violations.append(f"{began} was joined from {sorted(versions)}")

    def _check_chunks(self, attempt: str, answer: Answer, events: list[bytes]) -> None:
        expected = [f"{attempt}/{number}".encode() for number in range(1, len(events) + 1)]
        if answer.status == 200 and events != expected:
            self.ledger.violations.append(f"{attempt} received the chunks {events!r}")
        # A complete answer of a model engine has 4 chunks, the default of PlatformEngineSettings.
        if answer.status == 200 and answer.whole and len(events) != 4:
            self.ledger.violations.append(f"{attempt} ended as complete after {len(events)} chunks")

    async def _tool(self, program: str, path: str) -> None:
        self._last_id += 1
        attempt = f"{path.strip('/')}-{self._last_id}"
        body = None if path == "/status/" else b"pay"
        answer = await self._call(path, attempt, body, {"X-Jayvalve-Program-Id": program})
        if answer is None or answer.status != 200:
            return
        # A gateway that is killed may have sent the head of an answer and not its body. The caller
        # sees that the answer is incomplete.
        if answer.whole and attempt.encode() not in answer.body:
            self.ledger.violations.append(f"{attempt} received the answer {answer.body!r}")

    async def _call(
        self, path: str, attempt: str, body: bytes | None, headers: dict[str, str]
    ) -> Answer | None:
        port = self._rng.choice(self.fleet.gateways).port
        self.ledger.calls += 1
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await request(port, path, attempt=attempt, body=body, headers=headers)
        except (OSError, TimeoutError):
            self.ledger.statuses[0] += 1
            await asyncio.sleep(0.05)
            return None
        self.ledger.statuses[answer.status] += 1
        self.ledger.served += answer.status == 200 and answer.whole
        if answer.status in (402, 429, 503):
            self.ledger.refused[attempt] = answer.status
            await asyncio.sleep(min(1.0, float(answer.headers.get("retry-after", "0.1"))))
        return answer


@contextlib.asynccontextmanager
async def run_callers(
    folder: pathlib.Path, rng: random.Random, gateways: int, programs: int
) -> AsyncIterator[Callers]:
    """Run callers against a new fleet and check the promises when the block ends."""
    fleet = Fleet(folder, random.Random(rng.random()))
    callers = Callers(fleet, random.Random(rng.random()))
    stop = asyncio.Event()
    work: asyncio.Task[None] | None = None
    try:
        await fleet.start(gateways=gateways, models=3, tools=2)
        work = asyncio.ensure_future(callers.run(programs, stop))
        yield callers
        stop.set()
        await work
        await callers.check_continuations()
        callers.check_engines()
    finally:
        stop.set()
        if work is not None:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
        await fleet.stop()
