"""Parsing of OpenAI-compatible answers, as documents and as server-sent events."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

__all__ = ["AnswerSummary", "summarize", "without_usage_event"]

EVENT_END = b"\n\n"
EMPTY_CHOICES = (b'"choices": []', b'"choices":[]')


def without_usage_event(data: bytes) -> bytes:
    """Remove the event that only reports the usage from a sequence of complete events.

    Clients that did not request the usage may expect a choice in every event.
    """
    if not any(marker in data for marker in EMPTY_CHOICES):
        return data
    events = data.split(EVENT_END)
    return EVENT_END.join(
        event for event in events if not any(marker in event for marker in EMPTY_CHOICES)
    )


@attrs.frozen
class AnswerSummary:
    """The parts of a model's answer that a program stores.

    Attributes:
        message: The assistant's message, or None if the body contains none.
        total_tokens: Prompt and completion tokens; 0 if the engine did not report them.
        completion_tokens: Generated tokens, counted from the events if not reported.
    """

    message: dict[str, Any] | None
    total_tokens: int = 0
    completion_tokens: int = 0


def summarize(body: bytes, stream: bool) -> AnswerSummary:
    """Return the summary of a complete body; an unreadable body has an empty summary."""
    return _summarize_events(body) if stream else _summarize_document(body)


def _summarize_document(body: bytes) -> AnswerSummary:
    try:
        document = json.loads(body)
        message = document["choices"][0]["message"]
        usage = document.get("usage") or {}
        return AnswerSummary(
            message, int(usage.get("total_tokens", 0)), int(usage.get("completion_tokens", 0))
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError):
        return AnswerSummary(None)


def _events(body: bytes) -> Iterator[dict[str, Any]]:
    for line in body.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        try:
            yield json.loads(line[len(b"data: ") :])
        except ValueError:
            continue


def _summarize_events(body: bytes) -> AnswerSummary:
    content: list[str] = []
    extra: dict[str, Any] = {}
    total = completion = 0
    for event in _events(body):
        usage = event.get("usage") or {}
        total = int(usage.get("total_tokens", total))
        completion = int(usage.get("completion_tokens", completion))
        for choice in event.get("choices") or []:
            delta = choice.get("delta") or {}
            if isinstance(delta.get("content"), str):
                content.append(delta["content"])
            if delta.get("tool_calls"):
                extra.setdefault("tool_calls", []).extend(delta["tool_calls"])
    if not content and not extra:
        return AnswerSummary(None, total, completion)
    message = {"role": "assistant", "content": "".join(content), **extra}
    return AnswerSummary(message, total, completion or len(content))
