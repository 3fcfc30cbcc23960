"""Translation of a request's headers into the gateway's types and back."""

import hashlib
import math
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from jayvalve.errors import InvalidHeaderError
from jayvalve.internal.gateway.model import RequestInfo
from jayvalve.platform import names

__all__ = ["PlatformHeaders"]

MS_PER_S = 1000.0
# An event at which the version of the weights changes has this field.
_EVENT_FIELDS = frozenset({names.WEIGHT_VERSIONS.lower()})
# The platform's own ids are shorter. Longer ones are refused, since they would fill the logs.
MAX_ID_CHARACTERS = 200


class PlatformHeaders:
    """Codec for the headers that the platform defines."""

    @property
    def event_fields(self) -> frozenset[str]:
        """Names of fields that events may have besides those of the standard."""
        return _EVENT_FIELDS

    def decode_request(self, headers: HTTPHeaders) -> RequestInfo:
        """Return the information that the headers of a request contain.

        Raises:
            InvalidHeaderError: a header that the platform defines is malformed.

        """
        attempt_id = headers.get(names.ATTEMPT_ID)
        if not attempt_id or len(attempt_id) > MAX_ID_CHARACTERS:
            raise InvalidHeaderError(f"{names.ATTEMPT_ID} is missing or too long")
        prompt_tokens, output_tokens = _parse_token_usage(headers.get(names.TOKEN_USAGE))
        return RequestInfo(
            attempt_id=attempt_id,
            deadline_s=_parse_seconds(headers, names.DEADLINE_MS),
            program=_short_id(headers.get(names.PROGRAM_ID)),
            program_deadline_s=_parse_seconds(headers, names.PROGRAM_DEADLINE_MS),
            token_budget=_parse_integer(headers, names.TOKEN_BUDGET),
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            prefix=_parse_prefix(headers.get(names.PREFIX)),
            previous_turn=headers.get(names.PREVIOUS_TURN),
            resumed_attempt=headers.get(names.RESUMES),
        )

    def credentials(self, headers: HTTPHeaders) -> list[str]:
        """Return the values of all headers in which a request may carry a key."""
        return headers.get_list(names.AUTHORIZATION)

    def without_credentials(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers without those in which a request may carry a key."""
        kept = headers.copy()
        kept.pop(names.AUTHORIZATION, None)
        return kept

    def engine_headers(
        self,
        headers: HTTPHeaders,
        remaining_s: float,
        engine_id: str,
        priority: int | None,
        organisation: str | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an engine.

        Args:
            headers: Headers of the caller's request.
            remaining_s: Time after which the engine stops working on the request, in seconds.
            engine_id: Id of the engine. Any other engine that receives the request refuses it.
            priority: Priority from 0 (most urgent) to 9, or None for the engine's default.
            organisation: Name of the organisation that sent the request, or None. What the caller
                has sent under the name of this header is removed in any case.

        """
        kept = _end_to_end_headers(headers)
        kept.append((names.DEADLINE_MS, str(max(1, int(remaining_s * MS_PER_S)))))
        kept.append((names.EXPECTED_INSTANCE, engine_id))
        if priority is not None:
            kept.append((names.REQUEST_PRIORITY, str(priority)))
        if organisation is not None:
            # Headers are written as Latin-1, so this sends the name in UTF-8.
            kept.append((names.TENANT, organisation.encode().decode("latin1")))
        return kept

    def response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine's answer that are passed on to the caller."""
        result = HTTPHeaders()
        for name, value in _end_to_end_headers(headers):
            result.add(name, value)
        return result

    def is_answer_to(self, attempt_id: str, status: int, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to an attempt.

        Engines echo the attempt id. A failure may lack it, a successful answer may not.
        """
        echoed = headers.get(names.ATTEMPT_ID)
        if echoed is None:
            return status >= HTTPStatus.MULTIPLE_CHOICES
        return echoed == attempt_id

    def names_attempt(self, headers: HTTPHeaders) -> bool:
        """Return whether an engine's answer says to which attempt it belongs."""
        return names.ATTEMPT_ID in headers

    def says_not_run(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether an engine's answer states that it did not run the request.

        An engine that is not the expected one answers 421 without running the request.
        """
        return names.NOT_EXECUTED in headers or status == HTTPStatus.MISDIRECTED_REQUEST

    def says_leaving(self, headers: HTTPHeaders) -> bool:
        """Return whether an engine announces in an answer that it leaves."""
        return headers.get(names.SERVER_LEAVING, "").strip() == "1"

    def request_limit(self, headers: HTTPHeaders) -> float | None:
        """Return the requests per second that an engine takes from all gateways, or None.

        Raises:
            InvalidHeaderError: the limit is not a decimal number from 0.

        """
        value = headers.get(names.SERVER_LIMIT)
        if value is None:
            return None
        try:
            per_s = float(value)
        except ValueError as error:
            raise InvalidHeaderError(
                f"{names.SERVER_LIMIT} is not a number: {value!r:.40}"
            ) from error
        if not math.isfinite(per_s) or per_s < 0.0:
            raise InvalidHeaderError(f"{names.SERVER_LIMIT} is not a rate: {value!r:.40}")
        return per_s

    def is_signed(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer comes from an engine that handled the request."""
        return names.SIGNATURE in headers

    def identity_headers(self, engine_id: str) -> list[tuple[str, str]]:
        """Return the headers of a request that only the given engine is to answer."""
        return [(names.EXPECTED_INSTANCE, engine_id)]

    def answering_engine(self, headers: HTTPHeaders) -> str | None:
        """Return the id of the engine that has answered, if the answer names it."""
        return headers.get(names.INSTANCE_ID)


def _end_to_end_headers(headers: HTTPHeaders) -> list[tuple[str, str]]:
    connection_headers = {
        token.strip().lower() for token in headers.get("Connection", "").split(",")
    }
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in names.STRIPPED_HEADERS and name.lower() not in connection_headers
    ]


def _parse_seconds(headers: HTTPHeaders, name: str) -> float | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError as error:
        raise InvalidHeaderError(f"{name} is not a number: {value!r:.40}") from error
    if not math.isfinite(milliseconds):
        raise InvalidHeaderError(f"{name} is not a finite number: {value!r:.40}")
    return milliseconds / MS_PER_S


def _parse_integer(headers: HTTPHeaders, name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise InvalidHeaderError(
            f"{name} is not a whole number of at most 12 digits: {value!r:.40}"
        )
    return int(value)


def _short_id(value: str | None) -> str | None:
    """Return an id that is kept for minutes, with a digest in place of a long one."""
    if value is None or len(value) <= MAX_ID_CHARACTERS:
        return value
    return f"sha256:{hashlib.sha256(value.encode('utf-8', 'surrogateescape')).hexdigest()}"


def _parse_token_usage(value: str | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt_tokens, _, output_tokens = value.partition(",")
    try:
        return max(0, int(prompt_tokens)), max(0, int(output_tokens or 0))
    except ValueError as error:
        raise InvalidHeaderError(f"{names.TOKEN_USAGE} is malformed: {value!r:.40}") from error


def _parse_prefix(value: str | None) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in (value or "").split(","):
        part, _, tokens = entry.strip().partition(":")
        # The prefix only influences the choice of an engine, so a malformed entry is not an error:
        # the entries before it are used.
        if not part or not tokens.isdigit():
            break
        parts.append((part, int(tokens)))
    return tuple(parts)
