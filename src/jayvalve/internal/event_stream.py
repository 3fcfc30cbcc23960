"""Splits an event stream into complete events."""

import codecs
import re

import attrs

__all__ = [
    "Event",
    "EventOrderError",
    "EventSplitter",
    "EventStreamError",
    "EventTooLargeError",
    "MalformedEventError",
    "TruncatedEventError",
    "check_order",
]

# Models produce a few hundred bytes per event.
MAX_EVENT_BYTES = 1024 * 1024
# Parsing is not interruptible, so an event of many short lines would delay other requests.
MAX_EVENT_LINES = 10_000


def _event_end(line_end: bytes) -> re.Pattern[bytes]:
    # A blank line ends an event. Further blank lines belong to the same match, so that any number
    # of them costs one step.
    return re.compile(rb"(?:\A|%b)%b+" % (line_end, line_end))


# A carriage return at the end of the buffer may be the first half of a line end.
_EVENT_END = _event_end(rb"(?:\r\n|\n|\r(?=[^\n]))")
_LAST_EVENT_END = _event_end(rb"(?:\r\n|\n|\r(?!\n))")
# Where a search continues: before the longest sequence that may have been incomplete.
_OVERLAP = 4
_STANDARD_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
# Ids are compared as numbers up to this length.
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
_COMMENT_LINES = re.compile(rb"(?::[^\r\n]*(?:\r\n|\n|\r))*")


@attrs.frozen
class Event:
    """One event of an event stream, or blank lines between events.

    Attributes:
        raw: Bytes of the event as received, including the blank lines that end it.
        id: Value of the id field, or None.
        data: Values of the data fields joined by line feeds, or None if there are no data fields.

    """

    raw: bytes
    id: str | None
    data: bytes | None


class EventStreamError(Exception):
    """The bytes of a stream are no whole events in order."""


class EventTooLargeError(EventStreamError):
    """An event exceeds a limit; the endpoint may be sending bytes without end."""


class TruncatedEventError(EventStreamError):
    """A stream ended within an event."""


class MalformedEventError(EventStreamError):
    """A line is neither a field of an event nor a comment; it may belong to another answer."""


class EventOrderError(EventStreamError):
    """The id of an event does not follow that of an earlier one."""


def check_order(last_id: str | None, next_id: str | None) -> None:
    """Check that whole numbers as ids increase; numbers may be left out, and other ids pass.

    An engine that ignores where a stream is to be resumed sends events that its caller has.

    Raises:
        EventOrderError: The second number is not above the first.

    """
    if last_id is None or next_id is None:
        return
    are_numbers = _WHOLE_NUMBER.fullmatch(last_id) and _WHOLE_NUMBER.fullmatch(next_id)
    if are_numbers and int(next_id) <= int(last_id):
        raise EventOrderError(f"the event {next_id} follows the event {last_id}")


class EventSplitter:
    """Collects bytes and returns the events that they complete.

    Args:
        max_event_bytes: Maximum size of one event with data, including the comments and blank
            lines before it.
        event_fields: Names of fields that events may have besides those of the standard.

    """

    def __init__(
        self,
        max_event_bytes: int = MAX_EVENT_BYTES,
        event_fields: frozenset[str] = frozenset(),
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._fields = _STANDARD_FIELDS | {name.encode() for name in event_fields}
        self._at_start = True
        self._buffer = bytearray()
        self._searched = 0
        self._bytes_without_data = 0
        self._uses_crlf = False

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last complete event."""
        return bytes(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Size of the remainder."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
            EventTooLargeError: An event, or what was received since the last event with data,
                exceeds the limit.
            MalformedEventError: A line is no field that an event may have.

        """
        self._buffer += chunk
        events = self._take_events(_EVENT_END)
        self._check_size(len(self._buffer))
        return events

    def finish(self) -> list[Event]:
        """Return the events that are complete because the stream has ended.

        Complete comment lines are not part of an event and stay in the remainder.

        Raises:
            TruncatedEventError: The stream ended within an event or a line.
            EventTooLargeError, MalformedEventError: As for feed().

        """
        if self._buffer.endswith(b"\r") and (self._uses_crlf or b"\r\n" in self._buffer):
            raise TruncatedEventError("the stream ended within a line end")
        events = self._take_events(_LAST_EVENT_END)
        if _COMMENT_LINES.fullmatch(self._buffer) is None:
            raise TruncatedEventError(
                f"the stream ended within an event, after {len(self._buffer)} bytes of it"
            )
        return events

    def _take_events(self, event_end: re.Pattern[bytes]) -> list[Event]:
        events = []
        start = 0
        for match in event_end.finditer(self._buffer, max(0, self._searched - _OVERLAP)):
            raw = bytes(self._buffer[start : match.end()])
            start = match.end()
            events.append(self._parse(raw))
        del self._buffer[:start]
        self._searched = len(self._buffer)
        return events

    def _parse(self, raw: bytes) -> Event:
        if raw.count(b"\n") + raw.count(b"\r") > MAX_EVENT_LINES and raw.strip(b"\r\n"):
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_LINES} lines")
        self._uses_crlf = self._uses_crlf or b"\r\n" in raw
        event_id: str | None = None
        data: list[bytes] = []
        text = raw.removeprefix(codecs.BOM_UTF8) if self._at_start else raw
        self._at_start = False
        for line in text.strip(b"\r\n").splitlines():
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name and name not in self._fields:
                # The standard ignores other fields. Here they are the sign of bytes that do not
                # belong to the stream, such as the head of another answer.
                raise MalformedEventError(f"a line is no field of an event: {line[:60]!r}")
            if name == b"data":
                data.append(value)
            elif name == b"id":
                event_id = value.decode("utf-8", "replace")
        self._check_size(len(raw))
        self._bytes_without_data = 0 if data else self._bytes_without_data + len(raw)
        return Event(raw, event_id, b"\n".join(data) if data else None)

    def _check_size(self, size: int) -> None:
        if self._bytes_without_data + size > self._max_event_bytes:
            raise EventTooLargeError(
                f"over {self._max_event_bytes} bytes were received without a complete event"
            )
