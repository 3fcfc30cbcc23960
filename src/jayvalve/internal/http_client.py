"""Tornado's curl client, made safe to close while callbacks are pending."""

import logging

from tornado.curl_httpclient import CurlAsyncHTTPClient

__all__ = ["CurlClient"]

# At DEBUG, tornado writes whole requests to this logger, including idempotency keys and the
# content of callers' requests. jayvalve does not lower the level of standard library loggers, but
# an application that embeds it may set the level of all loggers.
logging.getLogger("tornado.curl_httpclient").setLevel(logging.INFO)


class CurlClient(CurlAsyncHTTPClient):
    """HTTP client that can be closed while callbacks are still queued in the event loop.

    Tornado's close() sets the multi handle to None; a timer callback that was already queued
    would then fail with an AttributeError.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_force_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_force_timeout()
