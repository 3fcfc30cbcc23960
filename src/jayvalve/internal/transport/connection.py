"""Client side of one connection to another process."""

import asyncio
import contextlib
import itertools
import socket
import ssl
from collections.abc import AsyncIterator, Awaitable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import DefaultLoopResolver, is_valid_ip
from tornado.tcpclient import TCPClient

from jayvalve.errors import (
    InvalidFrameError,
    JayvalveError,
    PeerUnavailableError,
    error_from_code,
)
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport.framing import (
    FrameReader,
    FrameWriter,
    read_envelope,
    write_message,
)
from jayvalve.internal.wire import MAX_FRAME_BYTES, Envelope
from jayvalve.internal.wire.messages import Abandon, Failure, Heartbeat, Hello
from jayvalve.verdict import Verdict

__all__ = ["PeerConnection"]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5


class _AddressResolver(DefaultLoopResolver):
    """Resolver that returns IP addresses at once.

    The default resolver looks addresses up in a thread as well, which takes longer than the whole
    timeout on a busy machine.
    """

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        if is_valid_ip(host):
            kind = socket.AF_INET6 if ":" in host else socket.AF_INET
            return [(kind, (host, port))]
        return await super().resolve(host, port, family)


class PeerConnection:
    """Sends requests to one process and matches the replies by request id.

    While requests are pending, a keepalive is sent every KEEPALIVE_INTERVAL_S, and the
    connection is closed if it delivers nothing for SILENCE_TIMEOUT_S, because a middlebox may
    have dropped it without a reset. The pending requests then fail with PeerUnavailableError.
    """

    def __init__(self, stream: IOStream, peer: Hello, clock: Clock) -> None:
        self._stream = stream
        self._writer = FrameWriter(stream)
        self._peer = peer
        self._clock = clock
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Queue[Envelope | JayvalveError]] = {}
        self._last_received_s = clock.now()
        self._tasks = [
            asyncio.ensure_future(self._read_replies()),
            asyncio.ensure_future(self._keep_alive()),
        ]

    @classmethod
    async def open(
        cls,
        address: str,
        identity: Hello,
        clock: Clock,
        ssl_options: ssl.SSLContext | None = None,
    ) -> "PeerConnection":
        """Connect to ``ip:port`` and exchange Hello messages.

        Raises:
            PeerUnavailableError: the connection or the Hello exchange failed.

        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await TCPClient(resolver=_AddressResolver()).connect(
                    host, int(port), ssl_options=ssl_options, max_buffer_size=2 * MAX_FRAME_BYTES
                )
                stream.set_nodelay(True)
                await write_message(stream, 0, identity)
                reply = (await read_envelope(stream)).message
        except (OSError, TimeoutError, StreamClosedError, InvalidFrameError) as error:
            reason = str(error) or type(error).__name__
            tls_failed = isinstance(getattr(error, "real_error", None), ssl.SSLError)
            if isinstance(error, StreamClosedError) and not tls_failed:
                reason = (
                    "refused, or closed before Hello; check that the peer is running and that "
                    "both sides use TLS or neither does"
                )
            raise PeerUnavailableError(f"cannot connect to {address}: {reason}") from error
        if not isinstance(reply, Hello):
            stream.close()
            raise PeerUnavailableError(f"{address} did not answer with Hello")
        return cls(stream, reply, clock)

    @property
    def peer(self) -> Hello:
        """Identity of the other process."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the connection is closed and accepts no more requests."""
        return self._stream.closed()

    @property
    def has_pending_requests(self) -> bool:
        """Whether any request still waits for replies."""
        return bool(self._pending_replies)

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a request and return its only reply."""
        # Without aclosing, the garbage collector would close each generator in a separate task.
        async with contextlib.aclosing(self.stream(message, timeout_s)) as replies:
            async for reply in replies:
                return reply
        raise PeerUnavailableError("the peer sent no reply", verdict=Verdict.MAY_HAVE_RUN)

    async def stream(self, message: Any, timeout_s: float) -> AsyncIterator[Any]:
        """Send a request and yield its replies up to and including the final one."""
        request_id = next(self._request_ids)
        replies: asyncio.Queue[Envelope | JayvalveError] = asyncio.Queue()
        if not self._pending_replies:
            self._last_received_s = self._clock.now()
        self._pending_replies[request_id] = replies
        finished = False
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            await self._await_with_deadline(deadline_s, timeout_s, self._send(request_id, message))
            while not finished:
                envelope = await self._await_with_deadline(deadline_s, timeout_s, replies.get())
                if isinstance(envelope, JayvalveError):
                    raise envelope
                finished = envelope.is_final
                self._raise_if_failure(envelope.message)
                yield envelope.message
        finally:
            self._pending_replies.pop(request_id, None)
            if not finished and not self.closed:
                asyncio.ensure_future(self._send_abandon(request_id))

    async def close(self) -> None:
        """Close the connection; pending requests fail."""
        self._fail_all("connection closed")
        self._stream.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @staticmethod
    def _raise_if_failure(message: Any) -> None:
        if isinstance(message, Failure):
            raise error_from_code(
                message.code, message.message, Verdict(message.verdict), message.retry_after_s
            )

    async def _await_with_deadline(
        self, deadline_s: float, timeout_s: float, step: Awaitable[Any]
    ) -> Any:
        """Await one step until deadline_s, a time of the event loop's clock.

        A timeout around the whole stream would also run while the consumer processes a reply.
        It would then cancel the consumer's task at an unrelated point, for example after the
        process was paused.

        Raises:
            PeerUnavailableError: the deadline has passed; verdict may_have_run.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                return await step
        except TimeoutError as error:
            raise PeerUnavailableError(
                f"{self._peer.instance} sent no complete answer within {timeout_s:.3f} s",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error

    async def _send(self, request_id: int, message: Any) -> None:
        try:
            await write_message(self._writer, request_id, message)
        except StreamClosedError as error:
            raise PeerUnavailableError(
                f"connection to {self._peer.instance} is closed", verdict=Verdict.MAY_HAVE_RUN
            ) from error

    async def _read_replies(self) -> None:
        reader = FrameReader(self._stream)
        try:
            while True:
                envelope = await reader.read()
                self._last_received_s = self._clock.now()
                replies = self._pending_replies.get(envelope.request_id)
                # Drops replies to abandoned requests, so that they never reach another
                # requester.
                if replies is not None and envelope.is_reply:
                    replies.put_nowait(envelope)
        except (StreamClosedError, InvalidFrameError) as error:
            self._stream.close()
            self._fail_all(str(error))

    async def _keep_alive(self) -> None:
        sequence = 0
        while not self.closed:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            if not self._pending_replies:
                continue
            if self._clock.now() - self._last_received_s > SILENCE_TIMEOUT_S:
                self._stream.close()
                self._fail_all(f"nothing received for {SILENCE_TIMEOUT_S} s")
                return
            sequence += 1
            # Not awaited: a full send buffer must not block the silence check.
            asyncio.ensure_future(self._send_keepalive(sequence))

    async def _send_keepalive(self, sequence: int) -> None:
        try:
            await write_message(self._writer, 0, Heartbeat(sequence, "keepalive"))
        except StreamClosedError:
            return

    async def _send_abandon(self, request_id: int) -> None:
        try:
            await write_message(self._writer, request_id, Abandon())
        except StreamClosedError:
            return

    def _fail_all(self, reason: str) -> None:
        error_text = f"connection to {self._peer.instance} failed: {reason}"
        for replies in self._pending_replies.values():
            replies.put_nowait(PeerUnavailableError(error_text, verdict=Verdict.MAY_HAVE_RUN))
