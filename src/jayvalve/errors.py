"""Errors of jayvalve, each with a code, an HTTP status and a verdict.

The codes are part of the interface to callers; docs/design.md section 5.1 lists them.
"""

from http import HTTPStatus
from typing import ClassVar

from jayvalve.verdict import Verdict

__all__ = [
    "AttemptForgottenError",
    "BodyTooLargeError",
    "BudgetExceededError",
    "DeadlineExceededError",
    "DeadlineUnreachableError",
    "DrainingError",
    "EndpointFailedError",
    "HistoryUnavailableError",
    "InternalError",
    "InvalidFrameError",
    "InvalidHeaderError",
    "InvalidRequestError",
    "InvalidSettingsError",
    "JayvalveError",
    "KeyExpiredError",
    "KeyRequiredError",
    "KeyReusedError",
    "LogAnswerLostError",
    "LogUnavailableError",
    "MayHaveRunError",
    "MemoryLimitError",
    "ModelUnknownError",
    "NoConfigurationError",
    "NoEndpointError",
    "OverloadedError",
    "OwnerUnavailableError",
    "PeerUnavailableError",
    "PredecessorMissingError",
    "ProgramEndedError",
    "ProgramUnknownError",
    "PublishConflictError",
    "QueueFullError",
    "QuotaExceededError",
    "RateLimitedError",
    "RequestBlockedError",
    "RouteUnknownError",
    "ServiceUnknownError",
    "SettleRefusedError",
    "StaleTermError",
    "StreamUnknownError",
    "TurnUnknownError",
    "UnauthorizedError",
    "UnavailableError",
    "WrongIncarnationError",
    "WrongOrganisationError",
    "error_from_code",
]


class JayvalveError(Exception):
    """Base class of all errors; on its own, an unspecified failure inside jayvalve.

    Attributes:
        code: Stable name of the error in the HTTP and peer protocols.
        status: HTTP status sent to a caller.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which a retry is worthwhile, or None.

    """

    code: ClassVar[str] = "internal"
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    default_verdict: ClassVar[Verdict] = Verdict.NOT_RUN
    default_retry_after_s: ClassVar[float | None] = None

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.verdict = verdict if verdict is not None else self.default_verdict
        self.retry_after_s = (
            retry_after_s if retry_after_s is not None else self.default_retry_after_s
        )

    def __repr__(self) -> str:
        name = type(self).__name__
        return (
            f"{name}({self.message!r}, verdict={self.verdict!s}, "
            f"retry_after_s={self.retry_after_s!r})"
        )

    def as_document(self) -> dict[str, object]:
        """Return the JSON error document that callers receive."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "verdict": str(self.verdict),
                "type": "jayvalve_error",
                "retry_after_s": self.retry_after_s,
            }
        }


class InternalError(JayvalveError):
    """A fault in jayvalve itself; the request may have run."""

    default_verdict = Verdict.MAY_HAVE_RUN


class InvalidRequestError(JayvalveError):
    """A request, an argument or another input value is not valid."""

    code = "invalid_request"
    status = HTTPStatus.BAD_REQUEST


class InvalidHeaderError(InvalidRequestError):
    """A request header is not valid."""

    code = "invalid_header"


class InvalidSettingsError(InvalidRequestError):
    """Settings, an inventory, rules or other configuration cannot be read or are not valid."""

    code = "invalid_settings"


class InvalidFrameError(InvalidRequestError):
    """A frame between processes is malformed."""

    code = "invalid_frame"


class KeyRequiredError(InvalidRequestError):
    """A call that must not be repeated has no Idempotency-Key."""

    code = "key_required"


class UnauthorizedError(JayvalveError):
    """The caller presented no valid token."""

    code = "unauthorized"
    status = HTTPStatus.UNAUTHORIZED


class BudgetExceededError(JayvalveError):
    """The program's budget does not cover the call."""

    code = "budget_exceeded"
    status = HTTPStatus.PAYMENT_REQUIRED


class WrongOrganisationError(JayvalveError):
    """The program belongs to another organisation."""

    code = "wrong_organisation"
    status = HTTPStatus.NOT_FOUND


class ProgramUnknownError(JayvalveError):
    """No process has a record of the program."""

    code = "program_unknown"
    status = HTTPStatus.NOT_FOUND


class ModelUnknownError(JayvalveError):
    """No endpoint in the inventory serves the model."""

    code = "model_unknown"
    status = HTTPStatus.NOT_FOUND


class ServiceUnknownError(JayvalveError):
    """No endpoint in the inventory provides the service."""

    code = "service_unknown"
    status = HTTPStatus.NOT_FOUND


class RouteUnknownError(JayvalveError):
    """No route in the configuration matches the path."""

    code = "route_unknown"
    status = HTTPStatus.NOT_FOUND


class TurnUnknownError(JayvalveError):
    """The preceding turn that the call names is not stored."""

    code = "turn_unknown"
    status = HTTPStatus.NOT_FOUND


class KeyReusedError(JayvalveError):
    """The Idempotency-Key was used before with another request."""

    code = "key_reused"
    status = HTTPStatus.CONFLICT


class ProgramEndedError(JayvalveError):
    """The program has ended and accepts no further calls."""

    code = "program_ended"
    status = HTTPStatus.CONFLICT


class PredecessorMissingError(JayvalveError):
    """The call's preceding turn did not arrive in time."""

    code = "predecessor_missing"
    status = HTTPStatus.CONFLICT


class StaleTermError(JayvalveError):
    """The sender's term is lower than one already accepted."""

    code = "stale_term"
    status = HTTPStatus.CONFLICT


class WrongIncarnationError(JayvalveError):
    """The request is addressed to another incarnation of this process."""

    code = "wrong_incarnation"
    status = HTTPStatus.CONFLICT


class PublishConflictError(JayvalveError):
    """Another operator published since the expected version."""

    code = "publish_conflict"
    status = HTTPStatus.CONFLICT


class SettleRefusedError(JayvalveError):
    """The call was claimed again or its verdict was known before an operator settled it."""

    code = "settle_refused"
    status = HTTPStatus.CONFLICT


class KeyExpiredError(JayvalveError):
    """The Idempotency-Key is older than the log's retention."""

    code = "key_expired"
    status = HTTPStatus.GONE


class BodyTooLargeError(JayvalveError):
    """The request body exceeds the configured size."""

    code = "body_too_large"
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class OverloadedError(JayvalveError):
    """The fleet cannot accept the call now."""

    code = "overloaded"
    status = HTTPStatus.TOO_MANY_REQUESTS
    default_retry_after_s = 1.0


class QueueFullError(OverloadedError):
    """Too many calls of one program or endpoint are waiting."""

    code = "queue_full"


class RateLimitedError(OverloadedError):
    """The caller exceeds its rate limit."""

    code = "rate_limited"


class QuotaExceededError(OverloadedError):
    """The caller's organisation exceeds its limit on all gateways together."""

    code = "quota_exceeded"


class UnavailableError(JayvalveError):
    """Base class of errors that are temporary, so that a later retry may succeed."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    default_retry_after_s = 1.0


class LogUnavailableError(UnavailableError):
    """The log service did not accept the request."""

    code = "log_unavailable"


class LogAnswerLostError(UnavailableError):
    """The log service may or may not have stored an append."""

    code = "log_unavailable"
    default_verdict = Verdict.MAY_HAVE_RUN


class OwnerUnavailableError(UnavailableError):
    """The program's owner is unavailable and no takeover is possible yet."""

    code = "owner_unavailable"


class HistoryUnavailableError(UnavailableError):
    """Too few copies of the history can be read."""

    code = "history_unavailable"


class NoEndpointError(UnavailableError):
    """No live endpoint can serve the call."""

    code = "no_endpoint"


class NoConfigurationError(UnavailableError):
    """The process has not read the configuration yet."""

    code = "no_configuration"
    default_retry_after_s = 0.2


class DrainingError(UnavailableError):
    """The process is stopping and accepts no new work."""

    code = "draining"


class MemoryLimitError(UnavailableError):
    """The process holds as many bytes for its clients as its settings allow."""

    code = "memory_limit"
    default_retry_after_s = 1.0


class RequestBlockedError(UnavailableError):
    """Several engines ended while they ran the same request, so it is not sent to another one."""

    code = "request_blocked"


class StreamUnknownError(UnavailableError):
    """It is not known which version of an engine's software began the stream to resume."""

    code = "stream_unknown"
    # A record that is still being written is there by then.
    default_retry_after_s = 0.3


class DeadlineUnreachableError(UnavailableError):
    """The queue is too long for the call's deadline."""

    code = "deadline_unreachable"


class PeerUnavailableError(UnavailableError):
    """A connection to another process failed.

    The verdict is not_run if nothing was sent, else may_have_run.
    """

    code = "peer_unavailable"


class EndpointFailedError(JayvalveError):
    """The endpoint failed while it processed the call."""

    code = "endpoint_failed"
    status = HTTPStatus.BAD_GATEWAY
    default_verdict = Verdict.MAY_HAVE_RUN


class DeadlineExceededError(JayvalveError):
    """The call's deadline passed after the call was dispatched."""

    code = "deadline_exceeded"
    status = HTTPStatus.GATEWAY_TIMEOUT
    default_verdict = Verdict.MAY_HAVE_RUN


class AttemptForgottenError(JayvalveError):
    """The sidecar has no outcome of an attempt, which is too old or was abandoned."""

    code = "attempt_forgotten"
    status = HTTPStatus.GATEWAY_TIMEOUT
    default_verdict = Verdict.MAY_HAVE_RUN


class MayHaveRunError(JayvalveError):
    """The call may have run and is not repeated; an operator settles it."""

    code = "may_have_run"
    status = HTTPStatus.GATEWAY_TIMEOUT
    default_verdict = Verdict.MAY_HAVE_RUN


def _subclasses(base: type[JayvalveError]) -> list[type[JayvalveError]]:
    direct = base.__subclasses__()
    return direct + [descendant for child in direct for descendant in _subclasses(child)]


def error_from_code(
    code: str, message: str, verdict: Verdict, retry_after_s: float | None = None
) -> JayvalveError:
    """Rebuild an error that another process reported.

    An unknown code, for example from a newer version, becomes an InternalError with the
    reported verdict.
    """
    for candidate in _subclasses(JayvalveError):
        if candidate.code == code:
            return candidate(message, verdict=verdict, retry_after_s=retry_after_s)
    return InternalError(f"{code}: {message}", verdict=verdict, retry_after_s=retry_after_s)
