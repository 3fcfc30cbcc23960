"""Client for the HTTP interface that entries offer to operators."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import attrs
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from jayvalve.errors import InvalidRequestError

__all__ = ["FleetAnswers", "entry_urls", "fetch_all"]

REQUEST_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@attrs.frozen
class FleetAnswers:
    """JSON answers by URL, and a reason for each URL that returned no usable answer."""

    answers: dict[str, dict[str, Any]]
    missing: dict[str, str]


def entry_urls(entries: object) -> list[str]:
    """Return the distinct base URLs in a command line value.

    Raises:
        InvalidRequestError: the value contains no URL, or an item is not an HTTP URL.
    """
    parts = entries if isinstance(entries, (list, tuple)) else str(entries).split(",")
    urls = [str(part).strip().rstrip("/") for part in parts if str(part).strip()]
    invalid = [url for url in urls if not url.startswith(("http://", "https://"))]
    if invalid or not urls:
        raise InvalidRequestError(f"--entries takes URLs http://HOST:PORT,..., not {invalid}")
    return list(dict.fromkeys(urls))


async def fetch_all(urls: Sequence[str], path: str) -> FleetAnswers:
    """Fetch a path from all entries concurrently; entries that fail are listed in missing."""
    client = SimpleAsyncHTTPClient(
        force_instance=True, max_clients=len(urls), max_body_size=MAX_ANSWER_BYTES
    )
    try:
        results = await asyncio.gather(
            *(_fetch(client, url + path) for url in urls), return_exceptions=True
        )
    finally:
        client.close()
    answers, missing = {}, {}
    for url, result in zip(urls, results, strict=True):
        if isinstance(result, dict):
            answers[url] = result
        elif isinstance(result, (OSError, HTTPClientError, ValueError)):
            missing[url] = str(result) or type(result).__name__
        else:
            raise result
    return FleetAnswers(answers, missing)


async def _fetch(client: SimpleAsyncHTTPClient, url: str) -> dict[str, Any]:
    response = await client.fetch(
        url, connect_timeout=REQUEST_TIMEOUT_S, request_timeout=REQUEST_TIMEOUT_S
    )
    value = json.loads(response.body)
    if not isinstance(value, dict):
        raise ValueError("the answer is not a JSON object")
    return value
