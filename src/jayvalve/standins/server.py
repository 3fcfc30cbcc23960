"""HTTP server shared by the stand-ins: JSON handlers, fault injection, start and stop."""

import asyncio
import json
from collections.abc import Awaitable
from typing import Any

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, RequestHandler

from jayvalve.errors import InvalidRequestError, InvalidSettingsError, JayvalveError
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_type
from jayvalve.standins.faults import FaultMode, FaultSwitch

__all__ = ["StandIn", "StandInHandler", "checked_settings"]

MAX_BODY_BYTES = 64 * 1024 * 1024
# Adapters open a connection for each request. With tornado's default of 128, some connection
# attempts in a burst of 200 were lost, and the kernel retries a lost one only after 1 s.
LISTEN_BACKLOG = 1024

Routes = list[tuple[str, type[RequestHandler]]]


def checked_settings(settings_type: type, config: object, kind: str) -> Any:
    """Build an attrs settings object.

    An unknown key, a missing key or an invalid value raises InvalidSettingsError.
    """
    fields = check_type(dict, config, f"{kind} settings")
    try:
        return settings_type(**fields)
    except (TypeError, ValueError) as error:
        raise InvalidSettingsError(f"{kind} settings: {error}") from error


class StandInHandler(RequestHandler):
    """Base class of the handlers: injects faults, reads JSON bodies, answers errors as JSON."""

    exempt_from_faults = False

    def initialize(self) -> None:
        """Initialize the state of one request."""
        self._closed = asyncio.Event()
        self._loses_answer = False

    @property
    def standin(self) -> "StandIn":
        """The stand-in that serves the request."""
        return self.application.settings["standin"]

    async def prepare(self) -> None:
        """Register the request and apply the active fault."""
        self.standin.handlers.add(self)
        if self.exempt_from_faults:
            return
        switch = self.standin.faults
        mode = switch.take()
        if mode is FaultMode.DOWN:
            self.drop_connection()
            raise Finish
        if mode is FaultMode.HANG:
            await self._closed.wait()
            raise Finish
        if mode is FaultMode.SLOW:
            await self.wait_unless_closed(asyncio.sleep(switch.delay_s))
        self._loses_answer = mode is FaultMode.LOSE_ANSWERS

    def drop_connection(self) -> None:
        """Close the connection without sending anything more."""
        self._closed.set()
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()

    async def wait_unless_closed(self, awaitable: Awaitable[Any]) -> Any:
        """Return the awaitable's result; end the request if its connection closes first."""
        task = asyncio.ensure_future(awaitable)
        closed = asyncio.ensure_future(self._closed.wait())
        try:
            await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise Finish
            return task.result()
        finally:
            task.cancel()
            closed.cancel()

    def on_connection_close(self) -> None:
        """Wake the tasks that wait on behalf of the request."""
        self._closed.set()

    def on_finish(self) -> None:
        """Remove the request from the requests in progress."""
        self.standin.handlers.discard(self)

    def json_body(self) -> dict[str, Any]:
        """Return the body, a JSON object; anything else raises InvalidRequestError."""
        try:
            return check_type(dict, json.loads(self.request.body or b"{}"), "body")
        except ValueError as error:
            raise InvalidRequestError(f"body is not JSON: {error}") from error

    def flush(self, include_footers: bool = False) -> Any:
        """Send the written data, or close the connection if the active fault loses answers."""
        if self._loses_answer:
            self.drop_connection()
        return super().flush(include_footers)

    def finish(self, chunk: str | bytes | dict | None = None) -> Any:
        """Finish the answer, or close the connection if the active fault loses answers."""
        if self._loses_answer:
            self.drop_connection()
        return super().finish(chunk)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with a JSON error document."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, JayvalveError):
            self.set_status(error.status)
            self.finish(error.as_document())
            return
        self.finish({"error": {"code": "failed", "message": self._reason}})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log internal errors; rejections are part of the protocol and not logged."""
        if not isinstance(value, JayvalveError):
            super().log_exception(typ, value, tb)

    def refuse(self, status: int, code: str, message: str, retry_after_s: float = 0.0) -> None:
        """Answer with an error document, and with Retry-After if retry_after_s is positive."""
        self.set_status(status)
        if retry_after_s > 0:
            self.set_header("Retry-After", f"{retry_after_s:.3f}")
        self.finish({"error": {"code": code, "message": message}})


class FaultsHandler(StandInHandler):
    """POST /faults sets the active fault."""

    exempt_from_faults = True

    def post(self) -> None:
        """Set the fault; "down" also closes the connections of requests in progress."""
        standin = self.standin
        standin.faults.set(self.json_body())
        mode = standin.faults.mode
        if mode is FaultMode.DOWN:
            for handler in list(standin.handlers):
                if handler is not self:
                    handler.drop_connection()
        self.finish({"mode": str(mode)})


class StandIn:
    """One stand-in service on its own port."""

    kind = "stand-in"

    def __init__(self, routes: Routes, clock: Clock | None = None) -> None:
        self._clock = clock if clock is not None else Clock()
        self._faults = FaultSwitch(self._clock)
        self._handlers: set[StandInHandler] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = logger.bind(part=self.kind)
        application = Application(
            [("/faults", FaultsHandler), *routes], standin=self, log_function=self._log_request
        )
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)

    @property
    def clock(self) -> Clock:
        """The stand-in's clock."""
        return self._clock

    @property
    def faults(self) -> FaultSwitch:
        """The active fault."""
        return self._faults

    @property
    def handlers(self) -> set[StandInHandler]:
        """Handlers of the requests in progress."""
        return self._handlers

    @property
    def tasks(self) -> set[asyncio.Task[None]]:
        """Background tasks that the stand-in cancels when it stops."""
        return self._tasks

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on host and return the bound port; port 0 selects a free one."""
        sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, and cancel the background tasks."""
        self._server.stop()
        for handler in list(self._handlers):
            handler.drop_connection()
        await self._server.close_all_connections()
        for task in list(self._tasks):
            task.cancel()

    def _log_request(self, handler: RequestHandler) -> None:
        request: HTTPServerRequest = handler.request
        self._log.debug("{} {} answered {}", request.method, request.path, handler.get_status())
