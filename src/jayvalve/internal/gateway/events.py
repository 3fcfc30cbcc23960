"""Splits an event stream into complete events."""

import attrs

__all__ = ["Event", "EventSplitter", "EventTooLargeError"]

# Models produce a few hundred bytes per event.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen
class Event:
    """One event of an event stream.

    Attributes:
        raw: Bytes of the event as received, including the blank line that ends it.
        id: Value of the id field, or None.
        data: Values of the data fields joined by line feeds, or None if there are no data fields.

    """

    raw: bytes
    id: str | None
    data: bytes | None


class EventTooLargeError(Exception):
    """An event exceeds the limit; the endpoint may be sending bytes without end."""


class EventSplitter:
    """Collects bytes and returns the events that they complete.

    Args:
        max_event_bytes: Maximum size of one event.

    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last complete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
            EventTooLargeError: The event that has not ended yet exceeds the limit.

        """
        self._buffer += chunk
        events = []
        while (end := _event_end(self._buffer)) is not None:
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse(raw))
        if len(self._buffer) > self._max_event_bytes:
            raise EventTooLargeError(f"an event exceeds {self._max_event_bytes} bytes")
        return events


def _event_end(buffer: bytes) -> int | None:
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(separator)) >= 0
    ]
    return min(ends) if ends else None


def _parse(raw: bytes) -> Event:
    event_id: str | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value.decode("utf-8", "replace")
    return Event(raw, event_id, b"\n".join(data) if data else None)
