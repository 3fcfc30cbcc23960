"""Relays plain answers of engines to callers."""

from jayvalve.internal.body_checks import body_check
from jayvalve.internal.gateway.buffers import AnswerBuffers
from jayvalve.internal.gateway.calls import HeaderCodec, Responder
from jayvalve.internal.gateway.engine_answer import EngineAnswer
from jayvalve.internal.gateway.http_client import BrokenConnectionError
from jayvalve.internal.gateway.sender import EngineSender
from jayvalve.internal.http_framing import Framing

__all__ = ["AnswerRelay"]

# A plain answer up to this size is buffered until it is complete, so that the call can be retried
# if the answer breaks off.
MAX_BUFFERED_BYTES = 1024 * 1024


class AnswerRelay:
    """Relays answers that are no event streams.

    Args:
        sender: Judges the ends of answers.
        buffers: Memory for answers that are not complete yet.

    """

    def __init__(self, sender: EngineSender, codec: HeaderCodec, buffers: AnswerBuffers) -> None:
        self._sender = sender
        self._codec = codec
        self._buffers = buffers

    async def relay(self, answer: EngineAnswer, responder: Responder) -> None:
        """Relay an answer; one that fits into the buffers is sent only when it is complete.

        Raises:
            BrokenConnectionError: The answer broke off, or nothing shows that it is whole.

        """
        head = answer.head
        headers = self._codec.response_headers(head.headers)
        buffer = bytearray()
        check = body_check(head.headers, head.framing, self._codec.event_fields)
        with self._buffers.open() as share:
            async for chunk in answer.exchange.chunks():
                check.receive(chunk)
                if responder.started:
                    if not share.resize(check.held_bytes):
                        raise BrokenConnectionError("the answers in progress hold too much memory")
                    await responder.write(chunk)
                    continue
                buffer += chunk
                held = len(buffer) + check.held_bytes
                if len(buffer) > MAX_BUFFERED_BYTES or not share.resize(held):
                    responder.start(head.status, head.reason, headers, head.framing)
                    await responder.write(bytes(buffer))
                    buffer.clear()
        await self._sender.judge_end(answer, check.finish())
        if not responder.started:
            if head.framing is Framing.NO_BODY:
                if "Content-Length" in head.headers:
                    # It describes the body that the answer stands for.
                    headers["Content-Length"] = head.headers["Content-Length"]
            elif head.framing.shows_end:
                headers["Content-Length"] = str(len(buffer))
            responder.start(head.status, head.reason, headers, head.framing)
            if buffer:
                await responder.write(bytes(buffer))
        responder.finish()
