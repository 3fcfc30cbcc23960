"""Tornado's curl client with a safe close."""

from tornado.curl_httpclient import CurlAsyncHTTPClient

__all__ = ["CurlClient"]


class CurlClient(CurlAsyncHTTPClient):
    """Closes while callbacks of the event loop are still queued.

    Tornado's close() drops the multi handle, and a timer callback that was queued before
    then fails with an AttributeError.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_force_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_force_timeout()
