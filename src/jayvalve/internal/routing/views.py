"""What an entry knows about endpoints: capabilities, state and load."""

import enum

import attrs

__all__ = ["Capability", "EndpointState", "EndpointView", "LoadView"]

INITIAL_SERVICE_S = 1.0
SERVICE_SMOOTHING = 0.1


class EndpointState(enum.StrEnum):
    """Whether an endpoint may receive new work."""

    LIVE = "live"
    DRAINING = "draining"
    EJECTED = "ejected"
    DEAD = "dead"


@attrs.frozen
class Capability:
    """Something an endpoint can do, or a call needs; empty fields of a need match anything."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    service: str = ""

    def covers(self, need: "Capability") -> bool:
        """Return whether this capability satisfies the need."""
        return (
            (not need.model or self.model == need.model)
            and (not need.adapter or self.adapter == need.adapter)
            and (not need.version or self.version == need.version)
            and (not need.role or self.role == need.role)
            and (not need.service or self.service == need.service)
        )


@attrs.define
class LoadView:
    """A lagging load report of one endpoint, corrected with the entry's own dispatches.

    Each own dispatch later than the report counts as one more call until it completes or a
    newer report includes it. A completion is subtracted only if the report counted the call.

    Attributes:
        running: Calls in the batch, as reported.
        waiting: Calls in the queue, as reported.
        waiting_urgent: Part of ``waiting`` with the urgent rank.
        limit: Calls that run at the same time.
        measured_at_s: When the endpoint measured the report.
        service_s: Smoothed time of one call in the batch, in seconds.

    """

    running: int = 0
    waiting: int = 0
    waiting_urgent: int = 0
    limit: int = 1
    measured_at_s: float = float("-inf")
    service_s: float = INITIAL_SERVICE_S
    _own: dict[object, tuple[float, bool]] = attrs.field(factory=dict, init=False)
    _finished: int = attrs.field(default=0, init=False)

    def observe_report(
        self,
        running: int,
        waiting: int,
        limit: int,
        measured_at_s: float,
        waiting_urgent: int = 0,
    ) -> bool:
        """Take a report unless a newer one is known; return whether it was taken."""
        if measured_at_s <= self.measured_at_s:
            return False
        self.running, self.waiting, self.limit = running, waiting, max(1, limit)
        self.waiting_urgent = waiting_urgent
        self.measured_at_s = measured_at_s
        self._finished = 0
        return True

    def note_dispatch(self, call_id: object, now: float, urgent: bool = False) -> None:
        """Record an own dispatch."""
        self._own[call_id] = (now, urgent)

    def note_completion(self, call_id: object, service_s: float | None = None) -> None:
        """Record that an own dispatch ended; ``service_s`` is its time in the batch."""
        dispatched = self._own.pop(call_id, None)
        if dispatched is not None and dispatched[0] <= self.measured_at_s:
            self._finished += 1
        if service_s is not None:
            self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s)

    def unreported(self, urgent_only: bool = False) -> int:
        """Return the number of own dispatches that the report cannot include."""
        since = self.measured_at_s
        # Dispatches are in time order, so only the newest ones need a look.
        count = 0
        for at_s, urgent in reversed(self._own.values()):
            if at_s <= since:
                break
            count += urgent or not urgent_only
        return count

    def age_s(self, now: float) -> float:
        """Return the report's age in seconds; infinite before the first report."""
        return now - self.measured_at_s

    @property
    def outstanding(self) -> int:
        """Estimated calls running or waiting now."""
        return max(0, self.running + self.waiting - self._finished) + self.unreported()

    def queue_delay_s(self, urgent: bool = False) -> float:
        """Return the expected wait of a new call before it runs, in seconds.

        An urgent call passes waiting ordinary calls, so only urgent ones delay it.
        """
        if urgent:
            ahead = self.running + self.waiting_urgent + self.unreported(urgent_only=True)
            ahead = max(0, ahead - self._finished)
        else:
            ahead = self.outstanding
        return max(0, ahead + 1 - self.limit) * self.service_s / self.limit

    @property
    def occupancy(self) -> float:
        """Outstanding calls per slot."""
        return self.outstanding / self.limit


@attrs.define
class EndpointView:
    """One endpoint as an entry sees it.

    Attributes:
        name: The endpoint's name in the inventory.
        data_centre: Where it runs.
        capabilities: What it can do.
        state: Whether it may receive new work.
        load: Its corrected load.
        rebuild_tokens_per_s: Rate at which it computes a missing prefix.

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
