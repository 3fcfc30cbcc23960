"""Checks that an answer of a model API is whole, beyond what HTTP shows.

An answer with neither a length nor chunks ends with its connection, and the kernel closes the
connections of a killed process in order. The protocol of the model says more: a stream ends with
its ``[DONE]`` event, and a document is valid JSON.
"""

import json
from typing import Protocol

from jayvalve.errors import EndpointFailedError
from jayvalve.internal.engines.messages import EngineHead
from jayvalve.internal.event_stream import EventTooLargeError, TruncatedEventError
from jayvalve.internal.model_stream import ModelStream

__all__ = ["CompletenessCheck", "DocumentCheck", "StreamCheck", "check_for"]

EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class CompletenessCheck(Protocol):
    """Follows one answer and says at its end whether it is whole."""

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body."""

    def finish(self) -> None:
        """Check the body after its end.

        Raises:
            EndpointFailedError: The answer is not whole.

        """


class StreamCheck:
    """Requires the ``[DONE]`` event."""

    def __init__(self) -> None:
        self._stream = ModelStream()

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body.

        Raises:
            EndpointFailedError: An event exceeds a limit.

        """
        try:
            self._stream.feed(chunk)
        except EventTooLargeError as error:
            raise EndpointFailedError(f"the stream broke off: {error}") from error

    def finish(self) -> None:
        """Check the body after its end.

        Raises:
            EndpointFailedError: The stream ended within an event or without its last one.

        """
        try:
            self._stream.finish()
        except (EventTooLargeError, TruncatedEventError) as error:
            raise EndpointFailedError(f"the stream broke off: {error}") from error


class DocumentCheck:
    """Requires valid JSON."""

    def __init__(self) -> None:
        self._body = bytearray()

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Check the body after its end.

        Raises:
            EndpointFailedError: The body is no JSON document.

        """
        try:
            json.loads(self._body)
        except (ValueError, RecursionError) as error:
            raise EndpointFailedError(f"the answer is no whole JSON document: {error}") from error


def check_for(head: EngineHead) -> CompletenessCheck | None:
    """Return the check for a model's answer with this head, or None if nothing can be checked."""
    headers = {name.lower(): value for name, value in head.headers.items()}
    content_type = headers.get("content-type", "").lower()
    if head.status != 200:
        return None
    if content_type.startswith(EVENT_STREAM):
        return StreamCheck()
    # A length is checked by the client.
    if content_type.startswith(JSON) and "content-length" not in headers:
        return DocumentCheck()
    return None
