"""Checks that an answer of a model API is whole, beyond what HTTP shows.

The protocol of the model says more than a type alone: a stream ends with its ``[DONE]`` event.
"""

from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from jayvalve.errors import EndpointFailedError
from jayvalve.internal.answer_end import BodyEnd
from jayvalve.internal.body_checks import (
    EVENT_STREAM,
    JSON,
    BodyCheck,
    DocumentCheck,
    body_check,
    media_type,
)
from jayvalve.internal.engines.messages import EngineHead
from jayvalve.internal.event_stream import EventStreamError, EventTooLargeError
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.model_stream import ModelStream

__all__ = ["ModelStreamCheck", "completion_check"]


class ModelStreamCheck:
    """Requires the ``[DONE]`` event."""

    def __init__(self) -> None:
        self._stream = ModelStream()
        self._is_cut = False

    @property
    def held_bytes(self) -> int:
        """Size of what is held of the stream."""
        return self._stream.held_bytes

    def receive(self, chunk: bytes) -> None:
        """Note a part of the body.

        Raises:
            EndpointFailedError: An event exceeds a limit.

        """
        if self._is_cut:
            return
        try:
            self._stream.feed(chunk)
        except EventTooLargeError as error:
            raise EndpointFailedError(f"the stream broke off: {error}") from error
        except EventStreamError:
            self._is_cut = True

    def finish(self) -> BodyEnd:
        """Return whether the stream is complete."""
        if not self._is_cut:
            try:
                self._stream.finish()
            except EventStreamError:
                self._is_cut = True
        return BodyEnd.CUT if self._is_cut else BodyEnd.CLOSED


def completion_check(head: EngineHead, framing: Framing) -> BodyCheck:
    """Return the check for the body of a chat completion."""
    headers = HTTPHeaders(head.headers)
    is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and framing is not Framing.NO_BODY:
        if media_type(headers) == EVENT_STREAM:
            return ModelStreamCheck()
        # A length is checked by the client.
        if media_type(headers) == JSON and framing is not Framing.LENGTH:
            return DocumentCheck()
    return body_check(headers, framing)
