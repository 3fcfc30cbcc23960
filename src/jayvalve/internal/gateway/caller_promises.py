"""What the statuses of a gateway's answers promise to callers."""

from http import HTTPStatus

from jayvalve.internal.gateway.calls import Call

__all__ = ["denies_run"]

# After these statuses callers send any request again.
_NOT_RUN = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
# These end a program whose turn names a previous one.
_NOT_KEPT = frozenset({HTTPStatus.NOT_FOUND, HTTPStatus.GONE})


def denies_run(call: Call, status: int) -> bool:
    """Return whether the caller would take a status for a promise that the call has not run.

    Only a gateway, or an engine that states that it has not run the call, can make that promise.

    Args:
        call: The call.
        status: Status of an engine's answer that does not state it.

    """
    if status == HTTPStatus.PAYMENT_REQUIRED:
        return call.info.program is not None and call.info.token_budget is not None
    if status in _NOT_KEPT:
        return call.route.retained and call.info.previous_turn is not None
    return status in _NOT_RUN and not (call.route.repeatable or call.route.resumable)
