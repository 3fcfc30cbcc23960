"""HTTP interface of an entry: base classes of the handlers for commands and queries."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from jayvalve.errors import (
    EndpointFailedError,
    InternalError,
    InvalidRequestError,
    JayvalveError,
)
from jayvalve.internal.body_checks import EVENT_STREAM, media_type
from jayvalve.internal.entry.authentication import TokenTable
from jayvalve.internal.entry.request import HEADER_NAMES
from jayvalve.internal.held_bytes import HeldBody, needed_bytes
from jayvalve.internal.http_framing import reset_connection, set_reset_on_close
from jayvalve.internal.http_server import release_share, share_of
from jayvalve.internal.wire.messages import Chunk, Completed, Forward, ResponseHead

__all__ = ["CallerHandler", "ErrorHandler", "Serve"]

Serve = Callable[[Forward], AsyncIterator[ResponseHead | Chunk | Completed]]
Announce = Callable[[], Awaitable[None]]

_log = logger.bind(part="http")


class ErrorHandler(RequestHandler):
    """Base of all handlers: writes every error as a JSON error document."""

    def set_default_headers(self) -> None:
        """Omit the header with the name and version of the server."""
        self.clear_header("Server")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an exception as an error document."""
        error = kwargs.get("exc_info", (None, None))[1]
        if not isinstance(error, JayvalveError):
            error = _http_error(status_code, error)
        self.write_failure(error)

    def write_failure(self, error: JayvalveError) -> None:
        """Send an error document with its status and headers."""
        self.set_status(error.status)
        self.set_header("Jayvalve-Verdict", str(error.verdict))
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
        self.finish(error.as_document())

    def on_finish(self) -> None:
        """Return the room of the request's body, unless its call still runs."""
        release_share(self.request)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log a traceback only for unexpected exceptions."""
        if isinstance(value, JayvalveError):
            _log.debug(
                "request {} {} failed: {}", self.request.method, self.request.path, value.code
            )
        else:
            super().log_exception(typ, value, tb)


def _http_error(status_code: int, error: Any) -> JayvalveError:
    if status_code < 500:
        failure: JayvalveError = InvalidRequestError(f"HTTP {status_code}")
        failure.status = status_code  # type: ignore[misc]
        return failure
    return InternalError(f"unexpected {type(error).__name__} in the request handler")


class CallerHandler(ErrorHandler):
    """Base of the handlers for callers: authenticates a request and streams its answer."""

    def initialize(self, tokens: TokenTable, serve: Serve) -> None:
        """Store the token table and the function that serves a request."""
        self._tokens = tokens
        self._serve = serve
        self._answer_task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        """Announce no kept connection to a caller of HTTP/1.0."""
        if self.request.version == "HTTP/1.0":
            # The library would keep the connection after an answer that ends with it.
            self.request.headers.pop("Connection", None)

    def on_connection_close(self) -> None:
        """Stop reading the answer, since its caller has disconnected."""
        if self._answer_task is not None:
            self._answer_task.cancel()

    async def relay(self) -> None:
        """Serve the request through the owner of its program and stream the answer."""
        organisation = self._tokens.organisation(self.request.headers.get("Authorization"))
        headers = {
            name: self.request.headers[name]
            for name in HEADER_NAMES
            if name in self.request.headers
        }
        body = self._take_body()
        forward = Forward(
            self.request.method or "GET", self.request.path, headers, body, organisation, 0
        )
        del body
        self._answer_task = asyncio.ensure_future(self._stream_answer(forward))
        with contextlib.suppress(asyncio.CancelledError):
            await self._answer_task

    def _take_body(self) -> bytes:
        """Return the body with its share, which is resized for the values of a JSON document.

        Raises:
            MemoryLimitError: there is no room for the values; the request has not run.

        """
        body, self.request.body = self.request.body, b""
        share = share_of(self.request)
        if share is None:
            return body
        share.resize(needed_bytes(self.request.path, body))
        release_share(self.request)
        return HeldBody.of(body, share)

    async def _stream_answer(self, forward: Forward) -> None:
        async with contextlib.aclosing(self._serve(forward)) as answer:
            await self._write_answer(answer)

    async def _write_answer(self, answer: AsyncIterator[Any]) -> None:
        written = False
        try:
            async for part in answer:
                if isinstance(part, ResponseHead):
                    self._write_head(part)
                elif isinstance(part, Chunk):
                    if not written:
                        self._set_reset_on_close(True)
                    self.write(part.data)
                    await self.flush()
                    written = True
                else:
                    await self._finish_answer()
                    return
            raise EndpointFailedError("the answer ended without its completion")
        except StreamClosedError:
            return
        except JayvalveError as error:
            if not written:
                raise
            await self._abort_answer(error)
        except Exception as error:
            if not written:
                raise
            # The library would end the answer as if it were complete.
            self.log_exception(type(error), error, error.__traceback__)
            await self._abort_answer(InternalError(f"unexpected {type(error).__name__}"))

    def _write_head(self, head: ResponseHead) -> None:
        self.set_status(head.status)
        for name, value in head.headers.items():
            self.set_header(name, value)

    async def _finish_answer(self) -> None:
        # All parts were flushed.
        self._set_reset_on_close(False)
        await self.finish()
        if self.request.version == "HTTP/1.0":
            self.request.connection.stream.close()  # type: ignore[union-attr]

    async def _abort_answer(self, error: JayvalveError) -> None:
        # The status line has already been sent. The last event of a stream tells the error. Then
        # the connection is closed without the end of the answer, so that the caller cannot mistake
        # the part that it received for the complete answer.
        is_old = self.request.version == "HTTP/1.0"
        is_stream = media_type(self._headers) == EVENT_STREAM
        if is_stream:
            self.write(b"data: " + json.dumps(error.as_document()).encode() + b"\n\n")
            await self.flush()
            if is_old:
                # A reset could discard the event.
                self._set_reset_on_close(False)
                self.finish()
                return
        if self.request.connection is not None:
            stream = self.request.connection.stream  # type: ignore[attr-defined]
            if is_old:
                reset_connection(stream)
            stream.close()

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Choose how an answer that nothing but its connection ends is closed.

        If this process is killed, the kernel closes the connection. A close in order would make
        what was sent look complete.
        """
        if self.request.version == "HTTP/1.0" and self.request.connection is not None:
            set_reset_on_close(
                self.request.connection.stream,  # type: ignore[attr-defined]
                enabled,
            )
