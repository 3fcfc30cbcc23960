"""Relays event streams of engines to a caller, within limits for what an engine may send."""

from collections.abc import Callable
from typing import Self

import attrs

from jayvalve.internal.answer_end import BodyEnd, broken_end
from jayvalve.internal.body_checks import JSON, media_type
from jayvalve.internal.event_stream import (
    Event,
    EventSplitter,
    EventStreamError,
    EventTooLargeError,
    check_order,
)
from jayvalve.internal.gateway.buffers import BufferShare
from jayvalve.internal.gateway.calls import Call, Responder
from jayvalve.internal.gateway.engine_answer import EngineAnswer
from jayvalve.internal.gateway.http_client import BrokenConnectionError

__all__ = ["LAST_EVENT_ID", "BrokenStreamError", "EventRelay", "RelayLimits"]

LAST_EVENT_ID = "Last-Event-Id"
# Maximum size of the output of a kept turn, in bytes. The store takes 2 MiB in one call.
MAX_TURN_BYTES = 1024 * 1024
# A stream may have this many times the events that its caller allows, and a few more, before its
# engine counts as faulty.
EVENT_MARGIN_FACTOR = 2
EVENT_MARGIN = 8


class BrokenStreamError(Exception):
    """A stream ended early, or its engine sent what is no stream."""


@attrs.frozen
class RelayLimits:
    """Limits for the stream of one call.

    Attributes:
        retained: Whether the output is kept as a turn.
        max_events: Maximum number of events with data, or None if the caller names no maximum.
        max_turn_bytes: Maximum size of the output of a kept turn, in bytes.

    """

    retained: bool
    max_events: int | None = None
    max_turn_bytes: int = MAX_TURN_BYTES

    @classmethod
    def from_call(cls, call: Call) -> Self:
        """Return the limits that follow from the call's maximum number of tokens."""
        model, most_tokens = call.service.model, call.info.max_output_tokens
        if model is None or most_tokens <= 0:
            return cls(call.route.retained)
        usual = -(-most_tokens // max(1, model.chunk_tokens))
        return cls(call.route.retained, EVENT_MARGIN_FACTOR * usual + EVENT_MARGIN)


class EventRelay:
    """Relays the events of a stream, also over several engines, and keeps what a turn needs.

    Args:
        share: Memory for an event that is not complete yet and for the output of a kept turn.
        last_id: Id of the event after which the caller resumes the stream, or None.
        event_fields: Names of fields that events may have besides those of the standard.
        on_begin: Called with the engine's answer before its first event is passed on, if no event
            was before.

    """

    def __init__(
        self,
        responder: Responder,
        share: BufferShare,
        limits: RelayLimits,
        last_id: str | None = None,
        event_fields: frozenset[str] = frozenset(),
        on_begin: Callable[[EngineAnswer], None] = lambda _: None,
    ) -> None:
        self._on_begin = on_begin
        self._begun = last_id is not None
        self._responder = responder
        self._share = share
        self._limits = limits
        self._output = bytearray()
        self._last_id = last_id
        self._event_fields = event_fields
        self._events = 0
        self._names_last = True

    @classmethod
    def from_call(
        cls,
        call: Call,
        responder: Responder,
        share: BufferShare,
        event_fields: frozenset[str] = frozenset(),
        on_begin: Callable[[EngineAnswer], None] = lambda _: None,
    ) -> Self:
        """Create the relay of a call."""
        last_id = call.request.headers.get(LAST_EVENT_ID) if call.route.resumable else None
        limits = RelayLimits.from_call(call)
        return cls(responder, share, limits, last_id, event_fields, on_begin)

    @property
    def events(self) -> int:
        """Number of events with data that were received."""
        return self._events

    @property
    def last_id(self) -> str | None:
        """Id of the last event with one that the caller has, from this stream or before it."""
        return self._last_id

    @property
    def can_resume(self) -> bool:
        """Whether the last id names the last event that the caller has."""
        return self._names_last

    @property
    def output(self) -> bytes:
        """Data of the events of a kept turn, each followed by a line feed."""
        return bytes(self._output)

    async def run(self, answer: EngineAnswer) -> BodyEnd:
        """Relay one engine's stream to its end, and return what its format says of the end.

        Raises:
            BrokenStreamError: The stream broke off, exceeds a limit or contains what is no event.

        """
        splitter = EventSplitter(event_fields=self._event_fields)
        events_before = self._events
        answer.attempt.after_id = self._last_id
        head = answer.head
        # An engine may answer with a document instead, whose end its framing shows.
        is_document = media_type(head.headers) == JSON and head.framing.shows_end
        try:
            if is_document:
                async for chunk in answer.exchange.chunks():
                    await self._responder.write(chunk)
                return BodyEnd.OPEN
            async for chunk in answer.exchange.chunks():
                await self._write(splitter.feed(chunk), answer)
                self._check_memory(splitter.held_bytes)
            await self._write(splitter.finish(), answer)
            if splitter.remainder:
                await self._responder.write(splitter.remainder)
        except (BrokenConnectionError, EventStreamError) as error:
            if isinstance(error, EventStreamError):
                answer.attempt.end = broken_end(BodyEnd.CUT.value)
            raise BrokenStreamError(str(error)) from error
        finally:
            answer.attempt.events = self._events - events_before
        return BodyEnd.OPEN if self._events > events_before else BodyEnd.EMPTY

    async def _write(self, events: list[Event], answer: EngineAnswer) -> None:
        if not events:
            return
        accepted: list[Event] = []
        error: EventStreamError | None = None
        for event in events:
            try:
                self._accept(event)
            except EventStreamError as caught:
                error = caught
                break
            accepted.append(event)
        # A resumption continues after the last accepted event, so the caller must get all of them.
        if accepted:
            if not self._begun:
                self._begun = True
                self._on_begin(answer)
            await self._responder.write(b"".join(event.raw for event in accepted))
        if error is not None:
            raise error

    def _accept(self, event: Event) -> None:
        """Count an event and keep what a turn or a resumption needs of it."""
        check_order(self._last_id, event.id)
        if event.data is not None:
            if self._events == self._limits.max_events:
                raise EventTooLargeError(f"the stream has over {self._limits.max_events} events")
            self._events += 1
            self._names_last = event.id is not None
            if self._limits.retained:
                self._output += event.data + b"\n"
        if event.id is not None:
            self._last_id = event.id

    def _check_memory(self, incomplete_bytes: int) -> None:
        if len(self._output) > self._limits.max_turn_bytes:
            raise EventTooLargeError(
                f"the output of a turn exceeds {self._limits.max_turn_bytes} bytes"
            )
        if not self._share.resize(incomplete_bytes + len(self._output)):
            raise EventTooLargeError("the answers in progress hold too much memory")
