"""Body of a call: messages with history, output limit within the budget, usage."""

import json
from typing import Any

from jayvalve.errors import BudgetExceededError
from jayvalve.internal.entry.answers import without_usage_event
from jayvalve.internal.entry.journal import Journal
from jayvalve.internal.entry.request import CallRequest
from jayvalve.internal.hashing import digest
from jayvalve.internal.programs import Amount
from jayvalve.internal.routing import Prefix

__all__ = ["CallBody", "request_digest"]

CHARACTERS_PER_TOKEN = 4


class CallBody:
    """Builds what an endpoint receives from what the caller sent and the program holds."""

    def __init__(self, call: CallRequest, journal: Journal) -> None:
        self._call = call
        self._journal = journal
        self._hides_usage = False
        self._messages = call.messages
        if call.history_mode == "append":
            self._messages = [*journal.history(), *call.messages]

    @property
    def messages(self) -> list[Any]:
        """All messages of the call, those of the history included."""
        return self._messages

    def prefix(self) -> Prefix:
        """Return the prompt prefix that an endpoint may have cached."""
        if self._call.model is None:
            return Prefix((), ())
        characters = sum(len(str(message.get("content", ""))) for message in self._messages)
        return Prefix.from_program(self._call.program, characters // CHARACTERS_PER_TOKEN + 1)

    def prepare(self) -> tuple[bytes, Amount]:
        """Return the body to send and the amount that the call can use at most.

        Raises:
            BudgetExceededError: the budget does not cover the call.
        """
        call = self._call
        if call.model is None:
            return call.body, Amount(calls=1)
        document = json.loads(call.body)
        document["messages"] = self._messages
        # No tokenizer makes more tokens than bytes, so the reservation is never too small.
        prompt_bound = len(json.dumps(self._messages, ensure_ascii=False).encode())
        self._limit_output(document, prompt_bound)
        if call.stream:
            self._request_usage(document)
        limit = document.get("max_completion_tokens") or document.get("max_tokens")
        tokens = prompt_bound + (limit or call.max_tokens)
        return json.dumps(document, ensure_ascii=False).encode(), Amount(tokens, 1)

    def visible(self, events: bytes) -> bytes:
        """Return the events that the caller is to see."""
        return without_usage_event(events) if self._hides_usage else events

    def _limit_output(self, document: dict[str, Any], prompt_bound: int) -> None:
        """Check the token budget, and state the output limit that it leaves."""
        left = self._journal.tokens_left
        if left is None:
            return
        wanted = self._call.max_tokens
        room = left - prompt_bound
        is_stated = "max_tokens" in document or "max_completion_tokens" in document
        if room < 1 or (is_stated and wanted > room):
            raise BudgetExceededError(
                f"budget of tokens exhausted: {left} left, {prompt_bound + wanted} may be used"
            )
        if not is_stated:
            document["max_tokens"] = min(wanted, room)

    def _request_usage(self, document: dict[str, Any]) -> None:
        """Ask the engine for the usage, which the budget needs, and hide it from others."""
        options = document.get("stream_options")
        options = dict(options) if isinstance(options, dict) else {}
        self._hides_usage = options.get("include_usage") is not True
        document["stream_options"] = {**options, "include_usage": True}


def request_digest(call: CallRequest) -> str:
    """Return a checksum of what a repeated request must have in common."""
    parts = [call.method, call.path, call.service or "", call.body.decode("latin-1")]
    return digest(json.dumps(parts).encode())
