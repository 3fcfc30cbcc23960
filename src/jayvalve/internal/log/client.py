"""HTTP client of the log service; docs/design.md section 7 defines the protocol."""

import base64
import binascii
import json
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from jayvalve.errors import LogAnswerLostError, LogUnavailableError
from jayvalve.internal.http_client import CurlClient

__all__ = ["LogClient", "LogPage", "LogRecord"]

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 3.0
MAX_RETRY_AFTER_S = 30.0
_MAX_CLIENTS = 64

# Only these errors prove that no byte of the request reached the service. A timeout may occur
# before or after the request was sent, so it is treated as a lost answer.
_NOT_SENT_ERRORS = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_COULDNT_RESOLVE_PROXY}
)
_REFUSED_STATUS = frozenset({429, 503})


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Position in the stream.
        time: Time of the append on the clock of the service, in Unix seconds.
        data: Payload.

    """

    offset: int
    time: float
    data: bytes


@attrs.frozen
class LogPage:
    """Consecutive records of a stream.

    Attributes:
        first: Lowest offset that the service still retains.
        next: Offset after the last record of the page; for an empty page, the end of the stream.
        records: Records in order of offset; empty if there are none yet.

    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


class LogClient:
    """Appends to and reads from the streams of one log service."""

    def __init__(self, url: str, *, request_timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._url = url.rstrip("/")
        self._request_timeout_s = request_timeout_s
        self._http = CurlClient(force_instance=True, max_clients=_MAX_CLIENTS)

    def __repr__(self) -> str:
        return f"LogClient({self._url!r}, request_timeout_s={self._request_timeout_s!r})"

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "LogClient":
        """Build a client from the settings url and, optionally, request_timeout_s."""
        return cls(
            config["url"], request_timeout_s=config.get("request_timeout_s", REQUEST_TIMEOUT_S)
        )

    def close(self) -> None:
        """Close the connections; requests in progress are abandoned."""
        self._http.close()

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            LogUnavailableError: the record was not appended.
            LogAnswerLostError: the record may have been appended, now or later.

        """
        request = HTTPRequest(
            self._records_url(stream),
            method="POST",
            body=data,
            headers={"Content-Type": "application/octet-stream"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._request_timeout_s,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            if isinstance(error, CurlError) and error.errno in _NOT_SENT_ERRORS:
                raise LogUnavailableError(f"append to {stream} was not sent: {error}") from error
            raise LogAnswerLostError(
                f"the answer to the append to {stream} was lost: {error}"
            ) from error
        _raise_if_refused(response, f"append to {stream}")
        if response.code >= 500:
            raise LogAnswerLostError(f"append to {stream} was answered with {response.code}")
        if response.code >= 300:
            raise LogUnavailableError(f"append to {stream} was refused with {response.code}")
        return _parse_offset(response, stream)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogPage:
        """Return up to limit records from offset start; wait up to wait_s for the first one.

        Raises:
            LogUnavailableError: the page could not be read.

        """
        query = urlencode({"from": start, "limit": limit, "wait_ms": int(wait_s * 1000)})
        request = HTTPRequest(
            f"{self._records_url(stream)}?{query}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._request_timeout_s + wait_s,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            raise LogUnavailableError(f"read of {stream} failed: {error}") from error
        _raise_if_refused(response, f"read of {stream}")
        if response.code != 200:
            raise LogUnavailableError(f"read of {stream} was answered with {response.code}")
        try:
            return _parse_page(json.loads(response.body))
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise LogUnavailableError(
                f"read of {stream} returned an invalid page: {error}"
            ) from error

    def _records_url(self, stream: str) -> str:
        return f"{self._url}/streams/{quote(stream, safe='')}/records"


def _raise_if_refused(response: HTTPResponse, action: str) -> None:
    if response.code not in _REFUSED_STATUS:
        return
    try:
        retry_after_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        retry_after_s = 1.0
    raise LogUnavailableError(
        f"{action} was refused with {response.code}",
        retry_after_s=min(max(retry_after_s, 0.0), MAX_RETRY_AFTER_S),
    )


def _parse_offset(response: HTTPResponse, stream: str) -> int:
    try:
        offset = json.loads(response.body)["offset"]
    except (ValueError, KeyError, TypeError) as error:
        raise LogAnswerLostError(f"the answer to the append to {stream} is malformed") from error
    if type(offset) is not int:
        raise LogAnswerLostError(f"append to {stream} returned an invalid offset: {offset!r:.60}")
    return offset


def _parse_page(value: dict[str, Any]) -> LogPage:
    records = tuple(
        LogRecord(
            int(record["offset"]),
            float(record["time"]),
            base64.b64decode(record["data"], validate=True),
        )
        for record in value["records"]
    )
    return LogPage(int(value["first"]), int(value["next"]), records)
