"""An entry's view of the endpoints: capabilities, state and load."""

import enum

import attrs

__all__ = ["Capability", "EndpointState", "EndpointView", "LoadView"]

# Assumed service time before the first completed call.
INITIAL_SERVICE_S = 1.0
# Weight of a new sample in ``service_s``.
SERVICE_SMOOTHING = 0.1


class EndpointState(enum.StrEnum):
    """State of an endpoint, which determines whether it may receive new work."""

    LIVE = "live"
    DRAINING = "draining"
    EJECTED = "ejected"
    DEAD = "dead"


@attrs.frozen
class Capability:
    """What an endpoint offers or a call needs; empty fields of a need match any value."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    service: str = ""

    def covers(self, need: "Capability") -> bool:
        """Return whether this capability satisfies the need."""
        # Written out for speed: each routed call checks every capability of every endpoint.
        return (
            (not need.model or need.model == self.model)
            and (not need.adapter or need.adapter == self.adapter)
            and (not need.version or need.version == self.version)
            and (not need.role or need.role == self.role)
            and (not need.service or need.service == self.service)
        )


@attrs.define
class LoadView:
    """The last load report of one endpoint, corrected for this entry's own dispatches.

    A report lags behind the endpoint. Each dispatch of this entry after the report therefore
    adds one call, until it completes or a newer report includes it. A completion is subtracted
    only if the report included the call.

    Attributes:
        running: Calls in the batch, as reported.
        waiting: Calls in the queue, as reported.
        waiting_urgent: Part of ``waiting`` with the urgent rank.
        limit: Maximum number of calls that run at the same time.
        measured_at_s: Time at which the endpoint measured the reported load.
        service_s: Smoothed time that a call spends in the batch, in seconds.

    """

    running: int = 0
    waiting: int = 0
    waiting_urgent: int = 0
    limit: int = 1
    measured_at_s: float = float("-inf")
    service_s: float = INITIAL_SERVICE_S
    _own_dispatches: dict[object, tuple[float, bool]] = attrs.field(factory=dict, init=False)
    _completed_since_report: int = attrs.field(default=0, init=False)

    def observe_report(
        self,
        running: int,
        waiting: int,
        limit: int,
        measured_at_s: float,
        waiting_urgent: int = 0,
    ) -> bool:
        """Apply a report if it is newer than the last one; return whether it was applied."""
        if measured_at_s <= self.measured_at_s:
            return False
        self.running, self.waiting, self.limit = running, waiting, max(1, limit)
        self.waiting_urgent = waiting_urgent
        self.measured_at_s = measured_at_s
        self._completed_since_report = 0
        return True

    def record_dispatch(self, call_id: object, now: float, urgent: bool = False) -> None:
        """Record a dispatch of this entry."""
        self._own_dispatches[call_id] = (now, urgent)

    def record_completion(self, call_id: object, service_s: float | None = None) -> None:
        """Record the end of a dispatch; ``service_s`` is the call's time in the batch."""
        dispatched = self._own_dispatches.pop(call_id, None)
        if dispatched is not None and dispatched[0] <= self.measured_at_s:
            self._completed_since_report += 1
        if service_s is not None:
            self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s)

    def unreported(self, urgent_only: bool = False) -> int:
        """Return the number of this entry's dispatches that the report cannot include."""
        reported_at_s = self.measured_at_s
        # Dispatches are ordered by time, so only the newest ones need to be checked.
        count = 0
        for at_s, urgent in reversed(self._own_dispatches.values()):
            if at_s <= reported_at_s:
                break
            count += urgent or not urgent_only
        return count

    def age_s(self, now: float) -> float:
        """Return the report's age in seconds; infinite before the first report."""
        return now - self.measured_at_s

    @property
    def outstanding(self) -> int:
        """Estimated number of calls that are running or waiting now."""
        return (
            max(0, self.running + self.waiting - self._completed_since_report) + self.unreported()
        )

    def queue_delay_s(self, urgent: bool = False) -> float:
        """Return the expected wait of a new call before it runs, in seconds.

        An urgent call overtakes waiting ordinary calls, so of the waiting calls only urgent ones
        delay it.
        """
        if urgent:
            ahead = self.running + self.waiting_urgent + self.unreported(urgent_only=True)
            ahead = max(0, ahead - self._completed_since_report)
        else:
            ahead = self.outstanding
        return max(0, ahead + 1 - self.limit) * self.service_s / self.limit

    @property
    def occupancy(self) -> float:
        """Outstanding calls per slot."""
        return self.outstanding / self.limit


@attrs.define
class EndpointView:
    """One endpoint as seen by an entry.

    Attributes:
        name: The endpoint's name in the inventory.
        data_centre: Data centre in which the endpoint runs.
        capabilities: Capabilities that the endpoint offers.
        state: State, which determines whether the endpoint may receive new work.
        load: Last reported load, corrected for this entry's dispatches.
        rebuild_tokens_per_s: Rate at which it computes a missing prefix, in tokens per second.

    """

    name: str
    data_centre: str
    capabilities: tuple[Capability, ...] = ()
    state: EndpointState = EndpointState.LIVE
    load: LoadView = attrs.field(factory=LoadView)
    rebuild_tokens_per_s: float = 5000.0

    def covers(self, need: Capability) -> bool:
        """Return whether any capability satisfies the need."""
        return any(capability.covers(need) for capability in self.capabilities)
