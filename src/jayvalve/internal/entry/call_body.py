"""Preparation of a call's body: adding the history, limiting the output, requesting the usage."""

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

# Estimates the length of the prompt prefix for routing. Budgets use an upper bound instead.
CHARACTERS_PER_TOKEN = 4


class CallBody:
    """Builds the request body for an endpoint from the caller's request and the program's state."""

    def __init__(self, call: CallRequest, journal: Journal) -> None:
        self._call = call
        self._journal = journal
        self._hides_usage = False
        self._messages = call.messages
        if call.history_mode == "append":
            self._messages = [*journal.history(), *call.messages]

    @property
    def messages(self) -> list[Any]:
        """All messages of the call, including those of the history."""
        return self._messages

    def prefix(self) -> Prefix:
        """Return the prompt prefix that an endpoint may have in its cache."""
        if self._call.model is None:
            return Prefix((), ())
        characters = sum(len(str(message.get("content", ""))) for message in self._messages)
        return Prefix.from_program(self._call.program, characters // CHARACTERS_PER_TOKEN + 1)

    def prepare(self) -> tuple[bytes, Amount]:
        """Return the body to send and the maximum amount that the call can use.

        Raises:
            BudgetExceededError: the budget does not cover the call.
        """
        call = self._call
        if call.model is None:
            return call.body, Amount(calls=1)
        document = json.loads(call.body)
        document["messages"] = self._messages
        # A tokenizer never produces more tokens than bytes, so the reservation is never too small.
        prompt_bound = len(json.dumps(self._messages, ensure_ascii=False).encode())
        self._limit_output(document, prompt_bound)
        if call.stream:
            self._request_usage(document)
        limit = document.get("max_completion_tokens") or document.get("max_tokens")
        tokens = prompt_bound + (limit or call.max_tokens)
        return json.dumps(document, ensure_ascii=False).encode(), Amount(tokens, 1)

    def visible(self, events: bytes) -> bytes:
        """Return the events without those that are hidden from the caller."""
        return without_usage_event(events) if self._hides_usage else events

    def _limit_output(self, document: dict[str, Any], prompt_bound: int) -> None:
        """Check the token budget and set an output limit within it if the request has none."""
        tokens_left = self._journal.tokens_left
        if tokens_left is None:
            return
        output_tokens = self._call.max_tokens
        output_budget = tokens_left - prompt_bound
        has_limit = "max_tokens" in document or "max_completion_tokens" in document
        if output_budget < 1 or (has_limit and output_tokens > output_budget):
            raise BudgetExceededError(
                f"budget of tokens exhausted: {tokens_left} left, but the call can use "
                f"up to {prompt_bound + output_tokens}"
            )
        if not has_limit:
            document["max_tokens"] = min(output_tokens, output_budget)

    def _request_usage(self, document: dict[str, Any]) -> None:
        """Request the usage for the budget and hide it from callers that did not request it."""
        options = document.get("stream_options")
        options = dict(options) if isinstance(options, dict) else {}
        self._hides_usage = options.get("include_usage") is not True
        document["stream_options"] = {**options, "include_usage": True}


def request_digest(call: CallRequest) -> str:
    """Return a checksum of the fields that must be equal in a repeated request."""
    parts = [call.method, call.path, call.service or "", call.body.decode("latin-1")]
    return digest(json.dumps(parts).encode())
