"""Table of handlers for messages from other processes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs

from jayvalve.errors import InvalidFrameError
from jayvalve.internal.wire.messages import Hello

__all__ = ["HandlerTable", "PeerContext"]

Handler = Callable[["PeerContext", Any], Awaitable[Any] | AsyncIterator[Any]]


@attrs.frozen
class PeerContext:
    """Identity of the sender of a message, as stated in its Hello."""

    peer: Hello


class HandlerTable:
    """Maps message types to handlers.

    A handler is a coroutine function that returns one reply, or an async generator
    function that yields several replies, the last of which is Completed.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    def on(self, message_type: type) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler for the message type.

        The decorator raises ValueError if the message type already has a handler.
        """

        def add(handler: Handler) -> Handler:
            if message_type in self._handlers:
                raise ValueError(f"message {message_type.__name__} already has a handler")
            self._handlers[message_type] = handler
            return handler

        return add

    def find(self, message: Any) -> Handler:
        """Return the handler for the message or raise InvalidFrameError."""
        try:
            return self._handlers[type(message)]
        except KeyError:
            raise InvalidFrameError(
                f"this process has no handler for {type(message).__name__} messages"
            ) from None
