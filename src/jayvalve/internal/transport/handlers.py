"""Table of the functions that answer messages from other processes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs

from jayvalve.errors import InvalidFrameError
from jayvalve.internal.wire.messages import Hello

__all__ = ["HandlerTable", "PeerContext"]

Handler = Callable[["PeerContext", Any], Awaitable[Any] | AsyncIterator[Any]]


@attrs.frozen
class PeerContext:
    """Who sent a message, as stated in its Hello."""

    peer: Hello


class HandlerTable:
    """Maps message types to handlers.

    A handler is a coroutine function that returns one reply, or an async generator
    function that yields several.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    def on(self, message_type: type) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for the message type."""

        def add(handler: Handler) -> Handler:
            if message_type in self._handlers:
                raise ValueError(f"message {message_type.__name__} has two handlers")
            self._handlers[message_type] = handler
            return handler

        return add

    def find(self, message: Any) -> Handler:
        """Return the handler or raise InvalidFrameError."""
        try:
            return self._handlers[type(message)]
        except KeyError:
            raise InvalidFrameError(
                f"this process does not answer {type(message).__name__} messages"
            ) from None
