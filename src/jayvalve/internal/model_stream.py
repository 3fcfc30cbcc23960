"""Streams of model APIs, which are whole only with their last event."""

from jayvalve.internal.event_stream import Event, EventSplitter, TruncatedEventError

__all__ = ["ModelStream"]

DONE = b"[DONE]"
# Sidecars limit the whole answer to this size.
MAX_EVENT_BYTES = 32 * 1024 * 1024


class ModelStream:
    """Splits the stream of a model into complete events and withholds the last one.

    The ``[DONE]`` event tells the caller that the answer is complete, so it may be sent only
    after the turn has been replicated.
    """

    def __init__(self) -> None:
        self._splitter = EventSplitter(MAX_EVENT_BYTES)
        self._done = b""

    @property
    def held_bytes(self) -> int:
        """Size of what was received and may not be forwarded yet."""
        return self._splitter.held_bytes + len(self._done)

    @property
    def done_event(self) -> bytes:
        """The withheld ``[DONE]`` event; empty until it has arrived."""
        return self._done

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that may be forwarded now.

        Raises:
            EventTooLargeError: An event exceeds a limit.

        """
        return self._withhold_done(self._splitter.feed(data))

    def finish(self) -> bytes:
        """Return the events that are complete because the stream has ended.

        Raises:
            TruncatedEventError: The stream ended within an event, or without its last one.

        """
        ready = self._withhold_done(self._splitter.finish())
        if not self._done:
            raise TruncatedEventError("the stream ended without its [DONE] event")
        return ready

    def _withhold_done(self, events: list[Event]) -> bytes:
        ready = bytearray()
        for event in events:
            if self._done or event.data == DONE:
                self._done += event.raw
            else:
                ready += event.raw
        return bytes(ready)
