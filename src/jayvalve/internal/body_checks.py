"""Checks of bodies whose format shows whether they are complete, by media type."""

import json
from collections.abc import Callable, Mapping
from typing import Protocol

from jayvalve.internal.answer_end import BodyEnd
from jayvalve.internal.event_stream import Event, EventSplitter, EventStreamError
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.registry import Registry

__all__ = [
    "BODY_CHECKS",
    "EVENT_STREAM",
    "JSON",
    "BodyCheck",
    "DocumentCheck",
    "EventStreamCheck",
    "body_check",
    "media_type",
]

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
# A larger document is not parsed, which would delay other requests.
MAX_DOCUMENT_BYTES = 256 * 1024


class BodyCheck(Protocol):
    """Follows one body and says at its end whether it is complete."""

    @property
    def held_bytes(self) -> int:
        """Size of what is held of the body."""

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body."""

    def finish(self) -> BodyEnd:
        """Return what the body says of its end."""


BODY_CHECKS: Registry[Callable[[], BodyCheck]] = Registry("body check")


def media_type(headers: Mapping[str, str]) -> str:
    """Return the media type of an answer in lower case, without parameters; may be empty.

    Args:
        headers: Headers of the answer, whose names ignore case.

    """
    return headers.get("Content-Type", "").partition(";")[0].strip().lower()


def body_check(
    headers: Mapping[str, str], framing: Framing, event_fields: frozenset[str] = frozenset()
) -> BodyCheck:
    """Return the check for the body of an answer.

    An event stream that is cut is broken off whatever its framing says, since an engine may end it
    there in order. Other formats are checked only if nothing else marks their end.

    Args:
        headers: Headers of the answer, whose names ignore case.
        framing: Framing of the answer.
        event_fields: Names of fields that events may have besides those of the standard.

    """
    name = media_type(headers)
    if framing is not Framing.NO_BODY:
        if name == EVENT_STREAM:
            return EventStreamCheck(event_fields)
        if not framing.shows_end and name in BODY_CHECKS:
            return BODY_CHECKS.get(name)()
    return _NoCheck()


class _NoCheck:
    """Check of a format that does not show its end."""

    @property
    def held_bytes(self) -> int:
        """Size of what is held of the body: nothing."""
        return 0

    def receive(self, chunk: bytes) -> None:
        """Ignore a part of the body."""

    def finish(self) -> BodyEnd:
        """Return that nothing is known."""
        return BodyEnd.OPEN


@BODY_CHECKS.register(EVENT_STREAM)
class EventStreamCheck:
    """Requires that a stream consists of whole events.

    Args:
        event_fields: Names of fields that events may have besides those of the standard.

    """

    def __init__(self, event_fields: frozenset[str] = frozenset()) -> None:
        self._splitter = EventSplitter(event_fields=event_fields)
        self._has_data = False
        self._is_cut = False

    @property
    def held_bytes(self) -> int:
        """Size of the event that is not complete yet."""
        return self._splitter.held_bytes

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body."""
        if self._is_cut:
            return
        try:
            self._note(self._splitter.feed(chunk))
        except EventStreamError:
            self._is_cut = True

    def finish(self) -> BodyEnd:
        """Return whether the stream was cut. A whole event need not be the last one."""
        if not self._is_cut:
            try:
                self._note(self._splitter.finish())
            except EventStreamError:
                self._is_cut = True
        if self._is_cut:
            return BodyEnd.CUT
        return BodyEnd.OPEN if self._has_data else BodyEnd.EMPTY

    def _note(self, events: list[Event]) -> None:
        self._has_data = self._has_data or any(event.data is not None for event in events)


@BODY_CHECKS.register(JSON)
class DocumentCheck:
    """Requires a JSON document; the end of an object or an array shows in itself."""

    def __init__(self) -> None:
        self._body = bytearray()
        self._size = 0

    @property
    def held_bytes(self) -> int:
        """Size of the document so far; 0 if it is too large to be checked."""
        return len(self._body)

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body."""
        self._size += len(chunk)
        if self._size <= MAX_DOCUMENT_BYTES:
            self._body += chunk
        else:
            self._body.clear()

    def finish(self) -> BodyEnd:
        """Return whether the body is one whole document."""
        if self._size > MAX_DOCUMENT_BYTES:
            return BodyEnd.OPEN
        text = self._body.decode("utf-8-sig", "replace").strip()
        if not text.startswith(("{", "[")):
            # Of a number, digits may be missing; other texts are no JSON.
            return BodyEnd.OPEN
        try:
            return _document_end(text)
        except (ValueError, RecursionError):
            return BodyEnd.CUT


def _document_end(text: str) -> BodyEnd:
    """Return what the end of a JSON text shows, which begins with an object or an array.

    Raises:
        ValueError: It ends within a document, or contains what is none.

    """
    _, end = json.JSONDecoder().raw_decode(text)
    rest = text[end:].strip()
    # Of several documents in a row, the last ones may be missing.
    for line in rest.splitlines():
        json.loads(line or "null")
    return BodyEnd.OPEN if rest else BodyEnd.CLOSED
