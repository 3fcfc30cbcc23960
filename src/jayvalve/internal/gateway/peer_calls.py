"""Calls between gateways over UDP, retransmitted until they are answered.

A call and its answer each fit into one datagram. A lost datagram is sent again. The called gateway
recognises the retransmission and answers it without running the call twice.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.timing import Clock

__all__ = ["CallSettings", "PeerCalls", "PeerTimeoutError"]

_log = logger.bind(part="peer_calls")

Address = tuple[str, int]
Handler = Callable[[list[Any]], Awaitable[list[Any]]]
NoticeHandler = Callable[[list[Any]], None]

# Types of messages. A pending message is the reply to a retransmitted call that has no answer yet;
# it keeps the call from failing after silence_timeout_s.
_REQUEST = 1
_PENDING = 2
_REPLY = 3
# Not answered, and not sent again.
_NOTICE = 4


class PeerTimeoutError(Exception):
    """A gateway did not answer; it may have run the call, or may still run it later."""


@attrs.frozen
class CallSettings:
    """Limits of calls between gateways.

    Attributes:
        retransmit_interval_s: Time after which an unanswered call is sent again. Data centres are
            at most 3 ms apart, and a busy gateway answers within about 10 ms.
        silence_timeout_s: A call fails when the called gateway has sent no message about it for
            this time, neither the answer nor a pending message.
        reply_retention_s: How long answers are kept for retransmitted calls, in seconds.
        max_kept_replies: Maximum number of answers kept.

    """

    retransmit_interval_s: float = 0.05
    silence_timeout_s: float = 0.16
    reply_retention_s: float = 5.0
    max_kept_replies: int = 4096


@attrs.define
class _OutgoingCall:
    reply: "asyncio.Future[list[Any]]"
    last_heard_s: float


@attrs.define
class _IncomingCall:
    received_s: float
    reply: list[Any] | None = None


class PeerCalls:
    """Makes calls to other gateways and answers theirs.

    Args:
        transmit: Sends a message to an address; it may be lost.

    """

    def __init__(
        self,
        transmit: Callable[[Address, list[Any]], None],
        clock: Clock,
        settings: CallSettings,
        rng: random.Random,
    ) -> None:
        self._transmit = transmit
        self._clock = clock
        self._settings = settings
        # Starts at random, so that other gateways do not mistake these calls for retransmissions
        # by an earlier process with the same address.
        self._next_id = rng.getrandbits(48)
        self._handlers: dict[str, Handler] = {}
        self._notice_handlers: dict[str, NoticeHandler] = {}
        self._outgoing: dict[int, _OutgoingCall] = {}
        self._incoming: OrderedDict[tuple[Address, int], _IncomingCall] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()

    def on(self, kind: str) -> Callable[[Handler], Handler]:
        """Register the decorated function as the handler of a kind of call."""

        def register(handler: Handler) -> Handler:
            self._handlers[kind] = handler
            return handler

        return register

    def on_notice(self, kind: str) -> Callable[[NoticeHandler], NoticeHandler]:
        """Register the decorated function as the handler of a kind of notice."""

        def register(handler: NoticeHandler) -> NoticeHandler:
            self._notice_handlers[kind] = handler
            return handler

        return register

    def notify(self, address: Address, kind: str, arguments: list[Any]) -> None:
        """Send a message that is not answered; it may be lost."""
        self._transmit(address, [_NOTICE, 0, kind, arguments])

    async def call(
        self, address: Address, kind: str, arguments: list[Any], timeout_s: float
    ) -> list[Any]:
        """Make a call and return its answer.

        Raises:
            PeerTimeoutError: No answer arrived; the call may have run.

        """
        settings = self._settings
        self._next_id += 1
        call_id = self._next_id
        started_s = self._clock.now()
        reply = asyncio.get_running_loop().create_future()
        outgoing = self._outgoing[call_id] = _OutgoingCall(reply, started_s)
        try:
            while True:
                self._transmit(address, [_REQUEST, call_id, kind, arguments])
                done, _ = await asyncio.wait([reply], timeout=settings.retransmit_interval_s)
                if done:
                    return reply.result()
                now = self._clock.now()
                silent = now - outgoing.last_heard_s >= settings.silence_timeout_s
                if silent or now - started_s >= timeout_s:
                    raise PeerTimeoutError(f"{address[0]}:{address[1]} did not answer {kind}")
        finally:
            del self._outgoing[call_id]

    def receive(self, address: Address, message: list[Any]) -> None:
        """Process a message from another gateway.

        Raises:
            ValueError, TypeError, LookupError: The message is malformed.

        """
        message_type, call_id, *rest = message
        if message_type == _REQUEST:
            kind, arguments = rest
            self._serve(address, call_id, kind, arguments)
            return
        if message_type == _NOTICE:
            kind, arguments = rest
            notice_handler = self._notice_handlers.get(kind)
            if notice_handler is not None:
                notice_handler(arguments)
            return
        outgoing = self._outgoing.get(call_id)
        if outgoing is None:
            return
        outgoing.last_heard_s = self._clock.now()
        if message_type == _REPLY and not outgoing.reply.done():
            outgoing.reply.set_result(list(rest[0]))

    def _serve(self, address: Address, call_id: int, kind: str, arguments: list[Any]) -> None:
        previous = self._incoming.get((address, call_id))
        if previous is not None:
            answer = (
                [_PENDING, call_id] if previous.reply is None else [_REPLY, call_id, previous.reply]
            )
            self._transmit(address, answer)
            return
        handler = self._handlers.get(kind)
        if handler is None:
            return
        now = self._clock.now()
        self._drop_old_replies(now)
        incoming = self._incoming[address, call_id] = _IncomingCall(now)

        async def run() -> None:
            try:
                incoming.reply = await handler(arguments)
            except MALFORMED_ERRORS as error:
                _log.bind(kind=kind, error=repr(error)).warning("ignoring a malformed call")
                return
            self._transmit(address, [_REPLY, call_id, incoming.reply])

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _drop_old_replies(self, now: float) -> None:
        cutoff_s = now - self._settings.reply_retention_s
        while self._incoming:
            oldest = next(iter(self._incoming.values()))
            if (
                oldest.received_s > cutoff_s
                and len(self._incoming) < self._settings.max_kept_replies
            ):
                return
            self._incoming.popitem(last=False)
