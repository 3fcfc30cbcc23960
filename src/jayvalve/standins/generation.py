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
    """The tokens of one answer, released as the engine produces them."""

    def __init__(
        self,
        call: EngineCall,
        tokens: Sequence[str],
        head: Mapping[str, Any],
        *,
        finish_reason: str,
        include_usage: bool,
    ) -> None:
        self._call = call
        self._tokens = tokens
        self._head = head
        self._finish_reason = finish_reason
        self._include_usage = include_usage
        self._produced = 0
        self._finished = False
        self._cancelled = False
        self._changed = asyncio.Event()
        self.readers = 0

    @property
    def call_id(self) -> str:
        """Identifier of the call in the engine."""
        return self._call.call_id

    @property
    def ended(self) -> bool:
        """Whether no more tokens follow."""
        return self._finished or self._cancelled

    @property
    def cancelled(self) -> bool:
        """Whether the generation ended before its last token."""
        return self._cancelled

    def produce(self, count: int) -> None:
        """Make the first count tokens readable."""
        self._produced = max(self._produced, count)
        self._wake()

    def finish(self) -> None:
        """Make the whole answer readable."""
        self._produced = len(self._tokens)
        self._finished = True
        self._wake()

    def cancel(self) -> None:
        """End the answer early."""
        self._cancelled = not self._finished
        self._wake()

    async def wait_ended(self) -> None:
        """Return when the last token is there or the generation is cancelled."""
        while not self.ended:
            await self._changed.wait()

    def document(self) -> dict[str, Any]:
        """Return the whole answer."""
        return completion_document(self._head, self._tokens, self._usage(), self._finish_reason)

    async def lines(self, start: int) -> AsyncIterator[bytes]:
        """Yield server-sent events from chunk number start; a cancelled stream just ends."""
        position = start
        while True:
            while position < self._produced:
                yield self._token_line(position)
                position += 1
            if self.ended:
                break
            await self._changed.wait()
        if self._cancelled:
            return
        for line in self._last_lines()[max(0, start - self._produced) :]:
            yield line

    def _last_lines(self) -> list[bytes]:
        lines = [_event(chunk_document(self._head, reason=self._finish_reason))]
        if self._include_usage:
            lines.append(_event(chunk_document(self._head, usage=self._usage())))
        return [*lines, STREAM_END]

    def _token_line(self, index: int) -> bytes:
        token = self._tokens[index]
        return _event(chunk_document(self._head, token if index == 0 else f" {token}"))

    def _usage(self) -> dict[str, Any]:
        call = self._call
        return usage_document(call.prompt_tokens, call.cached_tokens, self._produced)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _event(document: Mapping[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
