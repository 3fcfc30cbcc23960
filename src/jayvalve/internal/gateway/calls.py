"""A caller's request, its attempts at engines, and the interface to answer the caller."""

from http import HTTPStatus
from typing import Any, Protocol

import attrs
from tornado.httputil import HTTPHeaders

from jayvalve.internal.answer_end import AnswerEnd
from jayvalve.internal.gateway.in_hand import EngineRun
from jayvalve.internal.gateway.model import EngineKey, RequestInfo, Route, ServiceSpec
from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.organisations import Organisation, scoped_id
from jayvalve.internal.timing import Deadline

__all__ = [
    "AttemptHistory",
    "AttemptRecord",
    "Call",
    "CallerRequest",
    "HeaderCodec",
    "Responder",
    "reason_phrase",
]


@attrs.frozen
class CallerRequest:
    """A request as it was received.

    Attributes:
        target: Path and query as on the request line.
        received_s: Monotonic time at which the head of the request was read.

    """

    method: str
    target: str
    # The headers may contain a key, which must not get into a log line.
    headers: HTTPHeaders = attrs.field(repr=False)
    body: bytes
    received_s: float


@attrs.frozen
class Call:
    """A request with its route.

    Attributes:
        body: Body that is sent to the engine. For a retained turn, it begins with the preceding
            turns.
        deadline: Time by which the answer must be complete: the shorter of the caller's and the
            route's time limit, less a margin for sending the answer.
        organisation: Organisation whose key the request carries, or None.
        anonymous: Whether the configuration has organisations and the request is of none.
        origin: What began the stream that the call resumes, or None.

    """

    request: CallerRequest
    info: RequestInfo
    route: Route
    service: ServiceSpec
    deadline: Deadline
    body: bytes
    organisation: Organisation | None = None
    anonymous: bool = False
    origin: StreamOrigin | None = None

    @property
    def rank(self) -> int:
        """Urgency of the organisation if it has one, or else of the route; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    def scoped(self, identifier: str) -> str:
        """Return an id of the caller in a form that no other organisation can name."""
        return scoped_id(self.organisation, identifier, self.anonymous)


@attrs.define
class AttemptRecord:
    """One attempt of a call at an engine and its result, for the log.

    Attributes:
        engine: Id of the engine.
        version: Version of its software.
        load: Number of requests that were known to be at the engine before the attempt.
        cached: Number of prompt tokens that are expected in the engine's cache.
        wait_s: Expected wait in the engine's queue, in seconds.
        permit_s: Time for which the attempt waited for a permit, as the engine has limited its
            rate, in seconds; None if it needed none.
        reused: Whether the attempt used a kept-alive connection.
        on_trial: Whether an engine was known to have ended under the call.
        framing: What marks the end of the engine's answer, or None if no answer arrived.
        end: What is known of the end of that answer, or None if it was not reached.
        may_have_run: False once it is known that the engine has not run the attempt.
        after_id: Id of the event after which the engine was to resume a stream, or None for a new
            run.
        events: Number of events with data that arrived from the engine.

    """

    engine: str
    load: int
    cached: int
    wait_s: float
    permit_s: float | None = None
    version: str = ""
    reused: bool = False
    on_trial: bool = False
    framing: str | None = None
    end: AnswerEnd | None = None
    may_have_run: bool = True
    after_id: str | None = None
    events: int = 0
    outcome: str = "cancelled"
    elapsed_s: float = 0.0

    def as_document(self) -> dict[str, Any]:
        """Return the attempt as an entry of the request's log line."""
        return {
            "engine": self.engine,
            "version": self.version,
            "load": self.load,
            "cached": self.cached,
            "wait_ms": round(self.wait_s * 1000),
            "permit_ms": None if self.permit_s is None else round(self.permit_s * 1000, 1),
            "reused": self.reused,
            "on_trial": self.on_trial,
            "framing": self.framing,
            "end": str(self.end.state) if self.end else None,
            "end_reason": self.end.reason if self.end else None,
            "after_id": self.after_id,
            "events": self.events,
            "outcome": self.outcome,
            "ms": round(self.elapsed_s * 1000, 1),
        }


@attrs.define
class AttemptHistory:
    """Attempts that were made for a call so far.

    Attributes:
        may_have_run: Engines at which the call may have run.
        ended: Those of them that have ended or cannot be reached since.
        unreached: Those of them to which one later attempt to connect has timed out.
        refused: Engines that did not run the call because they refused it or were unreachable.
        runs: Records of the attempts as long as engines may run them.

    """

    attempts: list[AttemptRecord] = attrs.field(factory=list)
    may_have_run: set[EngineKey] = attrs.field(factory=set)
    ended: set[EngineKey] = attrs.field(factory=set)
    unreached: set[EngineKey] = attrs.field(factory=set)
    refused: set[EngineKey] = attrs.field(factory=set)
    runs: list[EngineRun] = attrs.field(factory=list)

    @property
    def counted_engines(self) -> int:
        """Number of engines that count towards the limit of the route."""
        return len(self.may_have_run - self.ended)

    @property
    def any_may_have_run(self) -> bool:
        """Whether any engine may have run the call, also one that answered it."""
        return any(attempt.may_have_run for attempt in self.attempts)


class HeaderCodec(Protocol):
    """Interface to the platform's HTTP headers."""

    def decode_request(self, headers: HTTPHeaders) -> RequestInfo:
        """Return the information in the headers of a request."""

    def credentials(self, headers: HTTPHeaders) -> list[str]:
        """Return the values of all headers in which a request may carry a key."""

    def without_credentials(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers without those in which a request may carry a key."""

    def engine_headers(
        self,
        headers: HTTPHeaders,
        remaining_s: float,
        engine_id: str,
        priority: int | None,
        organisation: str | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an engine."""

    def response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine's answer that are passed to the caller."""

    def is_answer_to(self, attempt_id: str, status: int, headers: HTTPHeaders) -> bool:
        """Return whether an engine's answer belongs to the given attempt of a caller."""

    def names_attempt(self, headers: HTTPHeaders) -> bool:
        """Return whether an engine's answer says to which attempt it belongs."""

    def says_not_run(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether an engine's answer says that the engine did not run the request."""

    def says_leaving(self, headers: HTTPHeaders) -> bool:
        """Return whether an engine announces in an answer that it leaves."""

    def request_limit(self, headers: HTTPHeaders) -> float | None:
        """Return the requests per second that an engine takes from all gateways, or None.

        Raises:
            InvalidHeaderError: the limit is malformed.

        """

    def is_signed(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer comes from an engine that handled the request."""

    def identity_headers(self, engine_id: str) -> list[tuple[str, str]]:
        """Return the headers of a request that only the given engine is to answer."""

    def answering_engine(self, headers: HTTPHeaders) -> str | None:
        """Return the id of the engine that has answered, if the answer names it."""

    @property
    def event_fields(self) -> frozenset[str]:
        """Names of fields that events may have besides those of the standard."""


class Responder(Protocol):
    """Interface to answer a caller."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent."""

    @property
    def framing(self) -> Framing | None:
        """What marks the end of the answer for the caller; None before its head."""

    def start(
        self, status: int, reason: str, headers: HTTPHeaders, received: Framing | None = None
    ) -> None:
        """Send the head of the answer, in no more framing than that of the engine's answer."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body and wait until it is written to the connection."""

    def write_nowait(self, chunk: bytes) -> None:
        """Send a short part of the body without waiting."""

    def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Break the answer off, so that it does not look complete."""


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
