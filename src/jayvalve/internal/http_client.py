"""Tornado's curl client with a safe close."""

import logging

from tornado.curl_httpclient import CurlAsyncHTTPClient

__all__ = ["CurlClient"]

# At DEBUG tornado writes whole requests to this logger: keys, messages, bookings. Nothing in
# jayvalve lowers the level, but an application that embeds it may set that of all loggers.
logging.getLogger("tornado.curl_httpclient").setLevel(logging.INFO)


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
