"""One running or finished answer of the model engine, readable by several connections."""

import asyncio
import json
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

from jayvalve.standins.answers import chunk_document, completion_document, usage_document
from jayvalve.standins.batching import EngineCall

__all__ = ["Generation"]

STREAM_END = b"data: [DONE]\n\n"


class Generation:
    """The tokens of one answer, which become readable as the engine produces them.

    Attributes:
        readers: Number of connections that currently read the answer.

    """

    def __init__(
        self,
        call: EngineCall,
        tokens: Sequence[str],
        common_fields: Mapping[str, Any],
        *,
        finish_reason: str,
        include_usage: bool,
    ) -> None:
        self._call = call
        self._tokens = tokens
        self._common_fields = common_fields
        self._finish_reason = finish_reason
        self._include_usage = include_usage
        self._produced = 0
        self._finished = False
        self._cancelled = False
        self._state_changed = asyncio.Event()
        self.readers = 0

    @property
    def call_id(self) -> str:
        """Identifier of the call in the engine."""
        return self._call.call_id

    @property
    def ended(self) -> bool:
        """Whether the generation is finished or cancelled, so that no more tokens follow."""
        return self._finished or self._cancelled

    @property
    def cancelled(self) -> bool:
        """Whether the generation was cancelled before its last token."""
        return self._cancelled

    def produce(self, count: int) -> None:
        """Make the first count tokens readable."""
        self._produced = max(self._produced, count)
        self._wake_readers()

    def finish(self) -> None:
        """Make the whole answer readable."""
        self._produced = len(self._tokens)
        self._finished = True
        self._wake_readers()

    def cancel(self) -> None:
        """End the answer early, unless it is finished."""
        self._cancelled = not self._finished
        self._wake_readers()

    async def wait_until_ended(self) -> None:
        """Wait until the generation has finished or is cancelled."""
        while not self.ended:
            await self._state_changed.wait()

    def document(self) -> dict[str, Any]:
        """Return the response document of the complete answer."""
        return completion_document(
            self._common_fields, self._tokens, self._usage(), self._finish_reason
        )

    async def server_sent_events(self, start: int) -> AsyncIterator[bytes]:
        """Yield the server-sent events from chunk number start on.

        A cancelled stream ends without its final events.
        """
        position = start
        while True:
            while position < self._produced:
                yield self._token_event(position)
                position += 1
            if self.ended:
                break
            await self._state_changed.wait()
        if self._cancelled:
            return
        for event in self._final_events()[max(0, start - self._produced) :]:
            yield event

    def _final_events(self) -> list[bytes]:
        events = [_encode_event(chunk_document(self._common_fields, reason=self._finish_reason))]
        if self._include_usage:
            events.append(_encode_event(chunk_document(self._common_fields, usage=self._usage())))
        return [*events, STREAM_END]

    def _token_event(self, index: int) -> bytes:
        token = self._tokens[index]
        return _encode_event(
            chunk_document(self._common_fields, token if index == 0 else f" {token}")
        )

    def _usage(self) -> dict[str, Any]:
        call = self._call
        return usage_document(call.prompt_tokens, call.cached_tokens, self._produced)

    def _wake_readers(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()


def _encode_event(document: Mapping[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
