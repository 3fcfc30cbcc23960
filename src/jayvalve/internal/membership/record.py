"""Records of a membership view: evidence per member and forgotten incarnations."""

from collections import OrderedDict

import attrs

from jayvalve.internal.membership.member import Member

__all__ = ["IncarnationFloors", "MemberRecord"]

MAX_FLOORS = 10_000


@attrs.define
class MemberRecord:
    """Newest known incarnation of an instance and the evidence about it.

    Attributes:
        member: The member with its current state.
        refutation: Highest refutation number seen of this incarnation.
        last_heartbeat_s: Time of the last direct heartbeat, or None.
        reported_by_process: Whether a process reported the member, not only the instance list.
        failed_since_s: When the first unanswered probe since the last answer was sent, or None.
            Moved later by the length of each pause of this process.
        suspected_by_others_s: When other processes first reported a failure, or None.
        changed_s: Time of the last change of state.
        has_ended: Whether the incarnation has ended for good.
        draining: Whether the member, another process or the instance list reported that it is
            leaving. Never reset.

    """

    member: Member
    refutation: int = 0
    last_heartbeat_s: float | None = None
    reported_by_process: bool = False
    failed_since_s: float | None = None
    suspected_by_others_s: float | None = None
    changed_s: float = 0.0
    has_ended: bool = False
    draining: bool = False

    @property
    def is_gone(self) -> bool:
        """Whether the member is believed dead or has left."""
        return self.member.state.is_gone

    def received_heartbeat_within(self, seconds: float, now: float) -> bool:
        """Return whether a heartbeat arrived less than the given number of seconds ago."""
        return self.last_heartbeat_s is not None and now - self.last_heartbeat_s < seconds

    def needs_probe(self, now: float, check_after_s: float) -> bool:
        """Return whether this process has to probe the member to check a suspected failure.

        A suspicion reported by others is checked only after check_after_s, so that a single
        suspicion does not make every process probe the same member.
        """
        if self.is_gone:
            return False
        if self.failed_since_s is not None:
            return True
        suspected_s = self.suspected_by_others_s
        return suspected_s is not None and now - suspected_s >= check_after_s

    def clear_suspicion(self) -> None:
        """Forget the unanswered probes and the failure reports of others."""
        self.failed_since_s = self.suspected_by_others_s = None


class IncarnationFloors:
    """Lowest incarnation that may still run, for each instance that the view has forgotten.

    A late report about a forgotten instance must not revive an ended incarnation. Only the
    MAX_FLOORS most recently forgotten instances are kept.
    """

    def __init__(self) -> None:
        self._floors: OrderedDict[str, int] = OrderedDict()

    def excludes(self, instance: str, incarnation: int) -> bool:
        """Return whether this incarnation is known to have ended."""
        return incarnation < self._floors.get(instance, 0)

    def raise_to(self, instance: str, incarnation: int) -> None:
        """Record the lowest incarnation that may still run."""
        self._floors[instance] = max(incarnation, self._floors.pop(instance, 0))
        if len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)
