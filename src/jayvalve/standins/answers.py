"""Deterministic answers and their encoding as OpenAI response documents."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import xxhash

__all__ = ["answer_tokens", "chunk_document", "completion_document", "usage_document"]

_VOCABULARY_SIZE = 1000


def answer_tokens(messages: Iterable[Mapping[str, Any]], count: int) -> list[str]:
    """Return count one-token words that depend only on the messages.

    A shorter answer to the same messages is a prefix of a longer one.
    """
    text = json.dumps(list(messages), sort_keys=True, separators=(",", ":"))
    seed = xxhash.xxh3_64_intdigest(text.encode())
    return [
        f"w{xxhash.xxh3_64_intdigest(b'%d' % i, seed) % _VOCABULARY_SIZE:03d}" for i in range(count)
    ]


def usage_document(prompt: int, cached: int, completion: int) -> dict[str, Any]:
    """Return the usage object; all arguments are numbers of tokens."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def completion_document(
    common_fields: Mapping[str, Any], tokens: Sequence[str], usage: Mapping[str, Any], reason: str
) -> dict[str, Any]:
    """Return the response document of a complete answer."""
    message = {"role": "assistant", "content": " ".join(tokens)}
    choice = {"index": 0, "message": message, "logprobs": None, "finish_reason": reason}
    return {**common_fields, "object": "chat.completion", "choices": [choice], "usage": usage}


def chunk_document(
    common_fields: Mapping[str, Any],
    content: str | None = None,
    reason: str | None = None,
    usage: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return one streamed chunk, which carries a token, the finish reason or the usage."""
    document = {**common_fields, "object": "chat.completion.chunk", "choices": []}
    if usage is not None:
        document["usage"] = usage
        return document
    delta: dict[str, Any] = {} if content is None else {"role": "assistant", "content": content}
    document["choices"] = [{"index": 0, "delta": delta, "finish_reason": reason}]
    return document
