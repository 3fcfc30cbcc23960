"""Headers and body of the answer that tells a caller of an error."""

import json

from tornado.httputil import HTTPHeaders

from jayvalve.errors import JayvalveError, UnauthorizedError

__all__ = ["error_answer"]


def error_answer(error: JayvalveError) -> tuple[HTTPHeaders, bytes]:
    """Return the headers and the body of the answer to a request that failed."""
    body = json.dumps(error.as_document()).encode()
    headers = HTTPHeaders({"Content-Type": "application/json"})
    if error.retry_after_s is not None and error.verdict.repeatable:
        headers["Retry-After"] = f"{error.retry_after_s:.2f}"
    if isinstance(error, UnauthorizedError):
        # RFC 9110, section 15.5.2, requires the scheme with status 401.
        headers["WWW-Authenticate"] = "Bearer"
    headers["Content-Length"] = str(len(body))
    return headers, body
