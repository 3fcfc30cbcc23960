"""Progress and outcome of a caller's request, for the log and the metrics."""

import attrs

from jayvalve.internal.gateway.calls import AttemptHistory
from jayvalve.internal.gateway.model import RequestInfo, Route
from jayvalve.internal.gateway.origin_table import StreamOrigin
from jayvalve.internal.gateway.quotas import Admission
from jayvalve.internal.organisations import Organisation

__all__ = ["RequestProgress"]


@attrs.define
class RequestProgress:
    """Progress and outcome of a call, for the log and the metrics.

    Attributes:
        version: Version of the configuration that applies to the call.
        events: Number of events with data that were received from engines.
        store_s: Time to fetch the preceding turns and reserve tokens, in seconds.
        budget: Source of the reserved tokens, or None if none were reserved.
        origin: What began the stream that the call resumes, for a caller or within its answer, or
            None.
        origin_source: Who knew it for a caller, or None.
        admission: Admission within the quota of the organisation, or None if it has no limit.

    """

    info: RequestInfo | None = None
    route: Route | None = None
    organisation: Organisation | None = None
    version: int | None = None
    history: AttemptHistory = attrs.field(factory=AttemptHistory)
    status: int | None = None
    outcome: str = "cancelled"
    error: str | None = None
    detail: str | None = None
    events: int = 0
    store_s: float = 0.0
    budget: str | None = None
    origin: StreamOrigin | None = None
    origin_source: str | None = None
    admission: Admission | None = None
