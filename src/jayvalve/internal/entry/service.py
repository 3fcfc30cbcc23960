"""Execution of callers' requests by the entry that owns the program."""

import asyncio
import json
import re
import uuid
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import (
    InvalidRequestError,
    JayvalveError,
    PeerUnavailableError,
)
from jayvalve.internal.entry.endpoints import EndpointDirectory
from jayvalve.internal.entry.key_claims import KeyClaims
from jayvalve.internal.entry.placement import ProgramPlacement
from jayvalve.internal.entry.programs import ProgramCalls
from jayvalve.internal.entry.request import (
    MODEL_PATH,
    SERVICE_PREFIX,
    CallRequest,
    parse_budget,
)
from jayvalve.internal.hashing import digest
from jayvalve.internal.membership import Member
from jayvalve.internal.programs import OwnedProgram, OwnershipTable, ProgramId
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.transport import HandlerTable, PeerContext, PeerPool
from jayvalve.internal.wire.messages import Chunk, Completed, Forward, ReleaseProgram, ResponseHead
from jayvalve.verdict import Verdict

__all__ = ["EntryService"]

PROGRAM_PATH = re.compile(r"^/v1/programs/([^/]+)(?:/(end|history))?$")
KEY_PATH = re.compile(r"^/v1/keys/([^/]+)$")
CONTROL_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.2
# Timeout of one release call, and also the pause after a failed one.
RELEASE_TIMEOUT_S = 2.0
RELEASE_ATTEMPTS = 5

# These errors are temporary: they stop, for example, once a dead owner is replaced, a handover
# has ended or a new entry knows all members.
TRANSIENT_CODES = frozenset(
    {"owner_unavailable", "history_unavailable", "stale_term", "peer_unavailable"}
)

_log = logger.bind(part="entry")


class EntryService:
    """Runs a request here if this entry owns its program, else forwards it to the owner."""

    def __init__(
        self,
        placement: ProgramPlacement,
        calls: ProgramCalls,
        table: OwnershipTable,
        directory: EndpointDirectory,
        claims: KeyClaims | None,
        pool: PeerPool,
        clock: Clock,
        spawn: Callable[[Any], Any],
    ) -> None:
        self._placement = placement
        self._calls = calls
        self._table = table
        self._directory = directory
        self._claims = claims
        self._pool = pool
        self._clock = clock
        self._spawn = spawn

    def register(self, handlers: HandlerTable) -> None:
        """Register the handler of requests that other entries forward."""

        @handlers.on(Forward)
        async def forward(context: PeerContext, message: Forward) -> AsyncIterator[Any]:
            async for part in self.serve(message):
                yield part

    async def serve(self, request: Forward) -> AsyncIterator[ResponseHead | Chunk | Completed]:
        """Yield the parts of the answer to a request."""
        if request.path == MODEL_PATH or request.path.startswith(SERVICE_PREFIX):
            parts = self._serve_call(request)
        else:
            parts = self._serve_control(request)
        async for part in parts:
            yield part

    async def end_program(self, identity: ProgramId) -> None:
        """End an owned program and release its state at the endpoints."""
        owned = self._table.get(identity)
        if owned is None:
            return
        term = owned.writer.term
        unreached = await self._table.end(identity)
        if unreached:
            _log.warning(
                "{} could not be reached and may keep a copy of ended program {}",
                sorted(unreached),
                identity.key,
            )
        self._calls.finish(owned)
        keys = [ProgramId(identity.organisation, name).key for name in owned.program.agents]
        for sidecar in self._directory.sidecars(owned.program.endpoints):
            for key in keys:
                release = ReleaseProgram(key, term.epoch, term.handover)
                self._spawn(self._release(sidecar, release))

    async def _serve_call(self, request: Forward) -> AsyncIterator[Any]:
        call = CallRequest.from_parts(
            request.method, request.path, request.headers, request.body, request.organisation
        )
        self._check_target(call)
        if not call.named:
            async for part in self._calls.run_single(call).read():
                yield part
            return
        # The id may have been generated; the owner and all retries must use the same one.
        headers = {**request.headers, "Jayvalve-Request": call.request_id}
        request = attrs.evolve(request, headers=headers)
        identity = ProgramId.parse(call.organisation, call.program)
        deadline = Deadline.after(self._clock, call.deadline_s)
        may_create = call.turn in (None, 1) and identity.parent is None

        async def run_here(owned: OwnedProgram) -> AsyncIterator[Any]:
            if self._calls.lacks_predecessor(owned, call):
                # The preceding turn may have run at another entry that took over the program.
                await self._table.confirm(identity)
            stream = await self._calls.run(owned, call)
            async for part in stream.read():
                yield part

        limits = self._calls.limits_of(call) if may_create else None
        async for part in self._run_at_owner(request, identity, limits, deadline, run_here):
            yield part

    def _check_target(self, call: CallRequest) -> None:
        if call.model is not None:
            self._directory.check_model(call.model)
        else:
            self._directory.service(call.service or "")

    async def _run_at_owner(
        self,
        request: Forward,
        identity: ProgramId,
        limits: list[Any] | None,
        deadline: Deadline,
        run_here: Callable[[OwnedProgram], AsyncIterator[Any]],
    ) -> AsyncIterator[Any]:
        """Yield the answer of the owner.

        After a temporary error, the entry that received the request from the caller retries until
        the deadline, unless it has already yielded a part of the answer.
        """
        may_have_run = False
        while True:
            started = False
            try:
                place = await self._placement.place(identity, request.hops, limits)
                if isinstance(place, Member):
                    parts = self._forward(place, request, deadline)
                else:
                    parts = run_here(place)
                async for part in parts:
                    started = True
                    yield part
                return
            except JayvalveError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                is_transient = error.code in TRANSIENT_CODES and request.hops == 0
                if started or not is_transient or deadline.remaining_s <= RETRY_INTERVAL_S:
                    if may_have_run and error.verdict is Verdict.NOT_RUN:
                        # An earlier owner may have run the request before its connection broke.
                        error.verdict = Verdict.MAY_HAVE_RUN
                    raise
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _forward(
        self, owner: Member, request: Forward, deadline: Deadline
    ) -> AsyncIterator[Any]:
        message = attrs.evolve(request, hops=request.hops + 1)
        received = 0
        # The owner's deadline starts later, when the request reaches it, so its answer may arrive
        # after the deadline of this entry.
        async for part in self._pool.stream(owner.address, message, deadline.remaining_s + 1.0):
            if isinstance(part, Chunk):
                received += 1
            elif isinstance(part, Completed) and part.chunks != received:
                raise PeerUnavailableError(
                    f"answer has {part.chunks} chunks, {received} arrived",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            yield part

    async def _serve_control(self, request: Forward) -> AsyncIterator[Any]:
        key = KEY_PATH.match(request.path)
        if key is not None and request.method == "GET":
            for part in _json_answer(await self._key_state(request.organisation, key.group(1))):
                yield part
            return
        identity, action, limits = self._control_action(request)
        if "Jayvalve-Program" not in request.headers:
            # The name may have been generated; the owner and all retries must use the same one.
            headers = {**request.headers, "Jayvalve-Program": identity.name}
            request = attrs.evolve(request, headers=headers)

        async def run_here(owned: OwnedProgram) -> AsyncIterator[Any]:
            for part in _json_answer(await self._run_action(action, identity, owned)):
                yield part

        deadline = Deadline.after(self._clock, CONTROL_TIMEOUT_S)
        async for part in self._run_at_owner(request, identity, limits, deadline, run_here):
            yield part

    def _control_action(self, request: Forward) -> tuple[ProgramId, str, list[Any] | None]:
        if request.path == "/v1/programs" and request.method == "POST":
            name = request.headers.get("Jayvalve-Program") or f"program-{uuid.uuid4().hex}"
            limits = self._calls.limits_from(
                parse_budget(request.headers.get("Jayvalve-Budget", ""))
            )
            return ProgramId.parse(request.organisation, name), "show", limits
        match = PROGRAM_PATH.match(request.path)
        if match is None:
            raise InvalidRequestError(f"{request.method} {request.path:.80} is not known")
        identity = ProgramId.parse(request.organisation, match.group(1))
        action = match.group(2) or "show"
        expected = "POST" if action == "end" else "GET"
        if request.method != expected:
            raise InvalidRequestError(f"{request.path:.80} requires the method {expected}")
        return identity, action, None

    async def _run_action(
        self, action: str, identity: ProgramId, owned: OwnedProgram
    ) -> dict[str, Any]:
        program = owned.program
        if action != "end":
            await self._table.confirm(identity)
        if action == "history":
            messages = program.agent(identity.name).messages
            return {"program": identity.name, "messages": messages}
        if action == "end":
            await self.end_program(identity)
        agents = {
            name: {
                "last_turn": agent.last_turn,
                "budget": {
                    "limits": dict(
                        zip(("tokens", "calls", "ends_at"), agent.budget.limits, strict=True)
                    ),
                    "used": {"tokens": agent.budget.used.tokens, "calls": agent.budget.used.calls},
                },
            }
            for name, agent in program.agents.items()
        }
        return {
            "program": identity.name,
            "state": "ended" if program.ended else "active",
            "term": [owned.writer.term.epoch, owned.writer.term.handover],
            "copies": owned.writer.sets[-1],
            "open_attempts": len(program.intents),
            "agents": agents,
        }

    async def _key_state(self, organisation: str, key: str) -> dict[str, Any]:
        if self._claims is None:
            raise InvalidRequestError("this entry has no log service and cannot look up keys")
        decision = await self._claims.query(organisation, key, CONTROL_TIMEOUT_S)
        verdict = decision.verdict if decision.state == "done" else None
        return {
            "key": key,
            "state": decision.state,
            "verdict": verdict,
            "status": decision.status,
            "attempt": decision.attempt_id,
            "endpoint": decision.endpoint,
        }

    async def _release(self, sidecar: Member, message: ReleaseProgram) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._pool.call(sidecar.address, message, RELEASE_TIMEOUT_S)
                return
            except JayvalveError as error:
                _log.info(
                    "could not release the state of a program at sidecar {}: {}",
                    sidecar.instance,
                    error.message,
                )
                await asyncio.sleep(RELEASE_TIMEOUT_S)


def _json_answer(document: dict[str, Any]) -> list[Any]:
    body = json.dumps(document, ensure_ascii=False).encode()
    head = ResponseHead(200, {"Content-Type": "application/json; charset=utf-8"})
    return [head, Chunk(0, body), Completed(200, str(Verdict.RAN), 1, digest(body))]
