"""Polls the platform's list of live and leaving instances."""

import asyncio
import json
import random
from typing import Any

from loguru import logger
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from jayvalve.errors import InvalidRequestError
from jayvalve.internal.membership.member import Member, MemberState
from jayvalve.internal.membership.view import MembershipView
from jayvalve.internal.timing import Clock, full_jitter
from jayvalve.internal.validation import check_identifier, check_type

__all__ = ["InstanceListPoller", "parse_instances"]

POLL_INTERVAL_S = 2.0
REQUEST_TIMEOUT_S = 2.0
BACKOFF_BASE_S = 1.0
BACKOFF_CAP_S = 30.0
_JITTER_FRACTION = 0.2
_MAX_BACKOFF_EXPONENT = 10


def parse_instances(body: bytes) -> list[Member]:
    """Return the members in ``{"instances": [...]}``.

    The states leaving and draining mean draining; any other state means live.

    Raises:
        InvalidRequestError: the document or one of its entries is not valid.

    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise InvalidRequestError(f"instance list is not JSON: {error}") from error
    entries = check_type(dict, document, "instance list").get("instances")
    return [_parse_entry(entry) for entry in check_type(list, entries, "instances")]


def _parse_entry(entry: Any) -> Member:
    fields = check_type(dict, entry, "instance list entry")
    leaving = fields.get("state", "live") in ("leaving", "draining")
    return Member(
        check_identifier(fields.get("instance"), "instance"),
        check_type(int, fields.get("incarnation", 0), "incarnation"),
        check_type(str, fields.get("role"), "role"),
        check_type(str, fields.get("data_centre"), "data_centre"),
        check_type(str, fields.get("address"), "address"),
        MemberState.DRAINING if leaving else MemberState.LIVE,
    )


class InstanceListPoller:
    """Polls the instance list and records it in the membership view.

    While the list is unavailable or invalid, the view keeps its members, and the polls slow down
    with exponential backoff and full jitter.
    """

    def __init__(
        self,
        url: str,
        view: MembershipView,
        clock: Clock,
        *,
        rng: random.Random | None = None,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._url = url
        self._view = view
        self._clock = clock
        self._rng = rng or random.Random()
        self._interval_s = interval_s
        self._consecutive_failures = 0
        self._client = CurlAsyncHTTPClient(force_instance=True)
        self._log = logger.bind(part="instances")

    @property
    def consecutive_failures(self) -> int:
        """Number of polls that failed since the last success."""
        return self._consecutive_failures

    def next_delay_s(self) -> float:
        """Return the delay before the next poll, in seconds."""
        delay_s = self._interval_s * self._rng.uniform(1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION)
        if not self._consecutive_failures:
            return delay_s
        exponent = min(self._consecutive_failures - 1, _MAX_BACKOFF_EXPONENT)
        return delay_s + full_jitter(self._rng, exponent, BACKOFF_BASE_S, BACKOFF_CAP_S)

    async def poll(self) -> bool:
        """Fetch the list once; return whether a valid list was received."""
        try:
            response = await self._client.fetch(
                self._url, connect_timeout=REQUEST_TIMEOUT_S, request_timeout=REQUEST_TIMEOUT_S
            )
            listed = parse_instances(response.body)
        except (HTTPError, OSError, InvalidRequestError) as error:
            self._consecutive_failures += 1
            if self._consecutive_failures == 1:
                self._log.warning("instance list is unavailable or invalid: {}", error)
            return False
        if self._consecutive_failures:
            self._log.info("instance list is available again")
        self._consecutive_failures = 0
        self._view.observe_list(listed, self._clock.now())
        return True

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await self.poll()
                await asyncio.sleep(self.next_delay_s())
        finally:
            self._client.close()
