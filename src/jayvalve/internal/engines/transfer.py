"""HTTP transfers through curl that can be aborted and that track whether they were sent."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import pycurl
from loguru import logger
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from jayvalve.errors import (
    DeadlineExceededError,
    EndpointFailedError,
    InvalidRequestError,
    JayvalveError,
)
from jayvalve.internal.engines.messages import (
    EngineHead,
    EngineRequest,
    end_to_end_headers,
)
from jayvalve.internal.http_client import CurlClient
from jayvalve.internal.http_framing import Framing, parse_status_line, received_framing
from jayvalve.verdict import Verdict

__all__ = ["CurlTransferClient", "Transfer"]

_log = logger.bind(part="engines")

# Not copied from the request: curl sets Host and Content-Length itself, and tornado suppresses
# Expect.
REPLACED_HEADERS = frozenset({"host", "content-length", "expect"})
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
MIN_FINAL_STATUS = 200
_END_OF_PARTS = object()


class CurlTransferClient(CurlClient):
    """Tornado's curl client with support for aborting transfers.

    Tornado cannot stop a transfer early: cancelling the future of fetch leaves the request
    running. This class calls _finish, which tornado calls when a transfer has ended. It removes
    the easy handle from the multi handle and thereby closes the connection.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Set up the client; the arguments are those of CurlClient."""
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        super().initialize(*args, **kwargs)

    def register_handle(self, curl: pycurl.Curl, transfer: "Transfer") -> None:
        """Associate an easy handle with the transfer that it runs."""
        self._transfers[curl] = transfer

    def abort(self, transfer: "Transfer") -> None:
        """Close the connection of a transfer immediately; a queued transfer never starts."""
        transfer.aborted = True
        for curl, candidate in list(self._transfers.items()):
            if candidate is transfer:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "transfer aborted")
                self._process_queue()
                return
        transfer.end()

    def abort_all(self) -> None:
        """Abort all transfers that have an easy handle."""
        for transfer in list(self._transfers.values()):
            self.abort(transfer)

    def _finish(
        self, curl: pycurl.Curl, curl_error: int | None = None, curl_message: str | None = None
    ) -> None:
        transfer = self._transfers.pop(curl, None)
        if transfer is not None:
            transfer.ended = True
            # Read before super() resets the handle, which clears these values.
            # PRETRANSFER_TIME is unsuitable: curl sets it even if the connection was refused.
            transfer.sent = (
                curl.getinfo(pycurl.CONNECT_TIME) > 0 or curl.getinfo(pycurl.REQUEST_SIZE) > 0
            )
        super()._finish(curl, curl_error, curl_message)


@attrs.define(eq=False)
class Transfer:
    """One HTTP request and its streamed answer.

    Attributes:
        client: The shared client.
        url: Scheme, host and port of the endpoint.
        request: The request to send.
        connect_timeout_s: Timeout for establishing the connection, in seconds.
        sent: Whether bytes of the request may have reached the endpoint.
        aborted: Whether the transfer was aborted.
        framing: What marks the end of the answer; None before its head.
        on_connected: Called when the request is about to be sent on its connection.
        ended: Whether the transfer has ended.

    """

    client: CurlTransferClient
    url: str
    request: EngineRequest
    connect_timeout_s: float
    sent: bool = False
    aborted: bool = False
    framing: Framing | None = None
    on_connected: Callable[[], None] | None = None
    ended: bool = False
    _parts: asyncio.Queue[Any] = attrs.field(factory=asyncio.Queue)
    _header_lines: list[str] = attrs.field(factory=list)
    _has_head: bool = False

    async def run(self) -> AsyncIterator[EngineHead | bytes]:
        """Yield the head, then the chunks of the body; closing early aborts the transfer.

        If the consumer is slow, chunks are buffered in memory, up to the client's max_body_size.

        Raises:
            EndpointFailedError: the transfer failed or was aborted; verdict not_run if nothing
                was sent, otherwise may_have_run.
            DeadlineExceededError: the answer was incomplete at the timeout; verdict
                may_have_run.
            InvalidRequestError: the request cannot be sent.

        """
        future = self.client.fetch(self._http_request(), raise_error=False)
        future.add_done_callback(self._on_done)
        try:
            while (part := await self._parts.get()) is not _END_OF_PARTS:
                yield part
            self._raise_on_failure(future)
        finally:
            if not future.done():
                self.client.abort(self)

    def end(self) -> None:
        """Make run stop after yielding the parts received so far."""
        self._parts.put_nowait(_END_OF_PARTS)

    def _on_done(self, future: asyncio.Future[Any]) -> None:
        # Retrieving the exception keeps asyncio from logging it if the consumer has stopped.
        if not future.cancelled():
            future.exception()
        self.end()

    def _raise_on_failure(self, future: asyncio.Future[Any]) -> None:
        if self.aborted:
            raise self._build_error(pycurl.E_ABORTED_BY_CALLBACK, "attempt cancelled")
        try:
            future.result()
        except CurlError as error:
            raise self._build_error(error.errno, str(error)) from error
        except (ValueError, KeyError, pycurl.error, UnicodeError) as error:
            raise InvalidRequestError(f"request cannot be sent: {error}") from error

    def _build_error(self, curl_error: int, message: str) -> JayvalveError:
        if not self.sent:
            return EndpointFailedError(f"{self.url}: {message}", verdict=Verdict.NOT_RUN)
        if curl_error == pycurl.E_OPERATION_TIMEDOUT:
            return DeadlineExceededError(f"{self.url}: timed out before the answer was complete")
        return EndpointFailedError(f"{self.url}: {message}")

    def _http_request(self) -> HTTPRequest:
        request = self.request
        headers = HTTPHeaders()
        for name, value in end_to_end_headers(request.headers).items():
            if name.lower() not in REPLACED_HEADERS:
                headers.add(name, value)
        has_body = bool(request.body) or request.method in BODY_METHODS
        return HTTPRequest(
            self.url + request.path,
            method=request.method,
            headers=headers,
            body=request.body if has_body else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=min(self.connect_timeout_s, request.timeout_s),
            request_timeout=request.timeout_s,
            streaming_callback=self._parts.put_nowait,
            prepare_curl_callback=self._configure_handle,
        )

    def _configure_handle(self, curl: pycurl.Curl) -> None:
        if self.aborted:
            raise ValueError("transfer aborted before it started")
        # curl resends a request, even a POST, if a reused connection closes without an answer.
        # The request could then run twice, so connections are never reused.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        # The endpoint is on this machine; requests must bypass proxies from the environment.
        curl.setopt(pycurl.NOPROXY, "*")
        # Tornado's header callback runs in a later loop iteration, possibly after the first
        # chunk, so it is replaced.
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        if self.on_connected is not None:
            curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        self.client.register_handle(curl, self)

    def _on_connected(self, *addresses: Any) -> int:
        if self.on_connected is not None:
            self.on_connected()
        return pycurl.PREREQFUNC_OK

    def _on_header(self, data: bytes) -> int | None:
        """Take a line of a head; return -1, which ends the transfer, if HTTP does not allow it."""
        line = data.decode("latin1").rstrip("\r\n")
        if line.startswith("HTTP/") and not self._has_head:
            self._header_lines = [line]
        elif line:
            self._header_lines.append(line)
        elif not self._has_head:
            try:
                self._emit_head(parse_status_line(self._header_lines[0]))
            except (IndexError, ValueError) as error:
                _log.warning("the answer of {} cannot be read: {}", self.url, error)
                return -1
        return None

    def _emit_head(self, status: int) -> None:
        if status < MIN_FINAL_STATUS:
            return
        self._has_head = True
        headers: dict[str, str] = {}
        for line in self._header_lines[1:]:
            name, _, value = line.partition(":")
            name, value = name.strip(), value.strip()
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        self.framing = received_framing(self.request.method, status, HTTPHeaders(headers))
        headers = end_to_end_headers(headers)
        self._parts.put_nowait(EngineHead(status, headers))
