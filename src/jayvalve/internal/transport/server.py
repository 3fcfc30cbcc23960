"""Server side of the connections between processes."""

import asyncio
import contextlib
import functools
import inspect
import itertools
import ssl
from typing import Any

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from jayvalve.errors import InternalError, InvalidFrameError, JayvalveError
from jayvalve.internal.connections import Connection
from jayvalve.internal.held_bytes import Share
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.port_limits import PortLimits, RefusalLog
from jayvalve.internal.settings import LimitSettings
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport.bounded_reader import BoundedFrameReader, FrameRefusedError
from jayvalve.internal.transport.framing import (
    FrameWriter,
    failure_from_error,
    read_envelope,
    write_reply,
)
from jayvalve.internal.transport.handlers import HandlerTable, PeerContext
from jayvalve.internal.wire.messages import Abandon, Completed, Hello

__all__ = ["PeerServer"]

HELLO_TIMEOUT_S = 5.0
# Size of a read from a connection.
READ_BYTES = 16 * 1024
# A Hello has about 100 bytes; its sender is not known yet.
MAX_HELLO_BYTES = 16 * 1024
# Replies that wait for a peer that does not read them. Until it does, no further request is read.
# With it, 64 connections hold at most 16 MB.
MAX_UNSENT_BYTES = 256 * 1024
# About 5 KB each. Requests that wait at a sidecar or for the log have lower limits of their own.
MAX_RUNNING_REQUESTS = 10_000
RUNNING_POLL_S = 0.01
# One read may return thousands of requests. Their tasks run, and so count, only after a pause.
REQUESTS_PER_PAUSE = 64


def _remove_finished_task(
    tasks: dict[int, asyncio.Task[None]], key: int, done: asyncio.Task[None]
) -> None:
    if tasks.get(key) is done:
        del tasks[key]


def _default_limits() -> PortLimits:
    clock, metrics = Clock(), Metrics()
    return PortLimits.for_peers(LimitSettings(), metrics, clock, RefusalLog(metrics, clock))


class PeerServer(TCPServer):
    """Accepts connections from other processes and answers their messages.

    Each connection has one task that reads requests. Each request runs in a separate task, so
    that a slow request does not delay the next one on the same connection.
    """

    def __init__(
        self,
        identity: Hello,
        handlers: HandlerTable,
        ssl_options: ssl.SSLContext | None = None,
        limits: PortLimits | None = None,
    ) -> None:
        super().__init__(ssl_options=ssl_options, read_chunk_size=READ_BYTES)
        self._limits = limits if limits is not None else _default_limits()
        self._identity = identity
        self._handler_table = handlers
        self._streams: set[IOStream] = set()
        self._log = logger.bind(part="peer")

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._streams)

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection until it closes."""
        connection = self._limits.admit(stream, address)
        if connection is None:
            return
        stream.set_nodelay(True)
        self._streams.add(stream)
        tasks: dict[int, asyncio.Task[None]] = {}
        reader = BoundedFrameReader(stream, connection, self._limits)
        try:
            context = await self._exchange_hello(stream)
            connection.served = True
            await self._read_requests(stream, reader, connection, context, tasks)
        except StreamClosedError as error:
            if isinstance(error.real_error, ssl.SSLError):
                self._log.warning(
                    "refused a connection from {}: TLS handshake failed: {}",
                    address,
                    error.real_error.reason,
                )
        except (InvalidFrameError, TimeoutError) as error:
            self._log.warning("closed connection from {}: {!r}", address, error)
            await self._report_protocol_error(stream, error)
        finally:
            self._streams.discard(stream)
            stream.close()
            reader.close()
            self._limits.release(stream)
            for task in list(tasks.values()):
                task.cancel()

    async def _report_protocol_error(self, stream: IOStream, error: Exception) -> None:
        reason = InvalidFrameError(str(error) or "timed out waiting for Hello")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                write_reply(stream, 0, failure_from_error(reason), final=True), HELLO_TIMEOUT_S
            )

    async def _exchange_hello(self, stream: IOStream) -> PeerContext:
        envelope = await asyncio.wait_for(read_envelope(stream, MAX_HELLO_BYTES), HELLO_TIMEOUT_S)
        if not isinstance(envelope.message, Hello):
            raise InvalidFrameError("the first message must be Hello")
        await write_reply(stream, envelope.request_id, self._identity, final=True)
        return PeerContext(envelope.message)

    async def _read_requests(
        self,
        stream: IOStream,
        reader: BoundedFrameReader,
        connection: Connection,
        context: PeerContext,
        tasks: dict[int, asyncio.Task[None]],
    ) -> None:
        writer = FrameWriter(stream)

        def finish(done: asyncio.Task[None], key: int) -> None:
            self._limits.connections.complete(connection)
            _remove_finished_task(tasks, key, done)

        for number in itertools.count(1):
            if not number % REQUESTS_PER_PAUSE:
                await asyncio.sleep(0)
            await self._wait_for_room(writer, connection)
            try:
                envelope, share = await reader.read_request()
            except FrameRefusedError as refused:
                failure = failure_from_error(refused.error)
                await write_reply(writer, refused.request_id, failure, final=True)
                continue
            request_id = envelope.request_id
            if isinstance(envelope.message, Abandon):
                if request_id in tasks:
                    tasks[request_id].cancel()
                continue
            task = asyncio.ensure_future(
                self._answer(writer, request_id, context, envelope.message, share)
            )
            # Keepalives share request id 0, so one may replace the entry of another. This is
            # harmless, because their tasks finish immediately.
            tasks[request_id] = task
            self._limits.connections.begin(connection)
            task.add_done_callback(functools.partial(finish, key=request_id))
            del envelope, share

    async def _wait_for_room(self, writer: FrameWriter, connection: Connection) -> None:
        """Wait while the peer has too many running requests or does not read its replies."""
        while connection.running >= MAX_RUNNING_REQUESTS:
            await asyncio.sleep(RUNNING_POLL_S)
        if writer.unsent_bytes > MAX_UNSENT_BYTES:
            await writer.wait_below(MAX_UNSENT_BYTES)

    async def _answer(
        self,
        writer: FrameWriter,
        request_id: int,
        context: PeerContext,
        message: Any,
        share: Share | None,
    ) -> None:
        # The share is returned when this coroutine and the message's body are gone.
        try:
            handler = self._handler_table.find(message)
            if inspect.isasyncgenfunction(handler):
                await self._answer_stream(writer, request_id, handler(context, message))
            else:
                await write_reply(writer, request_id, await handler(context, message), final=True)
        except JayvalveError as error:
            await write_reply(writer, request_id, failure_from_error(error), final=True)
        except Exception as error:
            self._log.exception("handler for {} messages failed", type(message).__name__)
            report = InternalError(f"the handler raised {type(error).__name__}")
            await write_reply(writer, request_id, failure_from_error(report), final=True)

    async def _answer_stream(self, writer: FrameWriter, request_id: int, replies: Any) -> None:
        async with contextlib.aclosing(replies):
            async for reply in replies:
                is_last = isinstance(reply, Completed)
                await write_reply(writer, request_id, reply, final=is_last)
                if is_last:
                    return
        raise InternalError("the handler finished without sending Completed")
