"""Explanation of a request from the log lines of the gateways."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ["Explanation", "explain_request"]

# Log lines about the gateway's state are included from this long before the start of the request,
# in seconds.
CONTEXT_S = 10.0
# Parts of the gateway whose messages describe its state.
CONTEXT_PARTS = frozenset(
    {
        "accounts",
        "budgets",
        "coordinators",
        "crash_records",
        "crashes",
        "departures",
        "directory",
        "engine_limits",
        "follower",
        "quotas",
        "storage",
        "store_paths",
        "trials",
        "turns",
    }
)
CONTEXT_EVENTS = frozenset({"start", "stop", "drain", "drained", "reload", "configuration"})


@attrs.frozen
class Explanation:
    """Explanation of a request.

    Attributes:
        lines: Lines of the text; empty if no log line names the request.

    """

    lines: tuple[str, ...]


def explain_request(request_id: str, log: Iterable[str]) -> Explanation:
    """Explain the request with the given id, or all requests of the program with that id."""
    documents = list(_documents(log))
    requests = [
        document
        for document in documents
        if document.get("event") == "request"
        and request_id in (document.get("id"), document.get("program"))
    ]
    lines: list[str] = []
    for request in sorted(requests, key=lambda document: document["time"]):
        lines += _context_lines(request, documents)
        lines += _request_lines(request)
    return Explanation(tuple(lines))


def _documents(log: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in log:
        # Log collectors put their own fields before the JSON document.
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and "time" in document:
            yield document


def _context_lines(request: dict[str, Any], documents: list[dict[str, Any]]) -> list[str]:
    engines = {attempt["engine"] for attempt in request.get("attempts", ())}
    end_s = request["time"]
    start_s = end_s - request["ms"] / 1000 - CONTEXT_S
    lines = []
    for document in documents:
        if document.get("instance") != request["instance"]:
            continue
        if not start_s <= document["time"] <= end_s:
            continue
        if document.get("event") in CONTEXT_EVENTS or _is_context(document, engines):
            lines.append(_format_line(document))
    return lines


def _is_context(document: dict[str, Any], engines: set[str]) -> bool:
    if document.get("event") != "message" or document.get("part") not in CONTEXT_PARTS:
        return False
    # An engine that leaves is not among those that were tried.
    leaves = document["part"] == "departures"
    return leaves or "engine" not in document or document["engine"] in engines


def _format_line(document: dict[str, Any]) -> str:
    hidden = {"time", "instance", "event", "level", "message", "part"}
    fields = ", ".join(f"{key}={value}" for key, value in document.items() if key not in hidden)
    text = document.get("message") or document["event"]
    return f"{document['time']:.3f}  {document['instance']}  {text}" + (
        f" ({fields})" if fields else ""
    )


def _request_lines(request: dict[str, Any]) -> list[str]:
    prefix = f"{request['time']:.3f}  {request['instance']}  "
    lines = [
        prefix
        + f"request {request['id']} of program {request['program']}"
        + (f" of organisation {request['organisation']}" if request.get("organisation") else "")
        + (f", resuming {request['resumes']}," if request.get("resumes") else "")
        + f" on route "
        f"{request['route'] or request['path']}, configuration {request['configuration']}: "
        f"{request['outcome']}, status {request['status']}, {request['ms']} ms"
        + (f" of {request['limit_ms']} ms" if request.get("limit_ms") else "")
    ]
    if request.get("error"):
        lines.append(prefix + f"cause: {request['error']}: {request['detail']}")
    if request.get("quota"):
        lines.append(prefix + f"admitted within the quota of the organisation: {request['quota']}")
    if request.get("store_ms"):
        source = f", tokens from {request['budget']}" if request.get("budget") else ""
        lines.append(
            prefix
            + f"budget and preceding turns took {request['store_ms']} ms before the first attempt"
            + source
        )
    for number, attempt in enumerate(request.get("attempts", ()), 1):
        kind = "kept" if attempt["reused"] else "new"
        lines.append(
            prefix
            + f"attempt {number}: engine {attempt['engine']}"
            + (f" of version {attempt['version']}" if attempt.get("version") else "")
            + f" with {attempt['load']} requests "
            f"known there, expected wait {attempt['wait_ms']} ms, "
            + (
                f"waited {attempt['permit_ms']} ms for a permit of the limited engine, "
                if attempt.get("permit_ms") is not None
                else ""
            )
            + f"{kind} connection: "
            f"{attempt['outcome']} after {attempt['ms']} ms" + _stream_progress(attempt)
        )
    lines.append(
        prefix + f"known then: engines as of {request['engines_age_ms']} ms before, "
        f"store {request['store']}, {request['peers']} other gateways heard of"
    )
    return lines


def _stream_progress(attempt: dict[str, Any]) -> str:
    """Return what an attempt has brought of a stream, or an empty text for other answers."""
    after_id, events = attempt.get("after_id"), attempt.get("events")
    if after_id is None and not events:
        return ""
    start = "" if after_id is None else f", resumed after event {after_id}"
    return f"{start}, {events} events"
