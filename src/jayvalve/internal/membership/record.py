"""What a membership view keeps of one member."""

from collections import OrderedDict

import attrs

from jayvalve.internal.membership.member import Member

__all__ = ["IncarnationFloors", "MemberRecord"]

MAX_FLOORS = 10_000


@attrs.define
class MemberRecord:
    """Newest known incarnation of an instance and the evidence about it.

    Attributes:
        refutation: Highest refutation number seen of this incarnation.
        heard_s: Time of the last heartbeat, or None.
        signalled: Whether a process, and not only the instance list, reported the member.
        failed_since_s: When the first of the unanswered probes was sent, or None.
        suspected_by_others_s: When others first reported a failure, or None.
        changed_s: Time of the last change of state.
        final: Whether the incarnation is gone for good.
        draining: Whether the member announced that it is leaving.

    """

    member: Member
    refutation: int = 0
    heard_s: float | None = None
    signalled: bool = False
    failed_since_s: float | None = None
    suspected_by_others_s: float | None = None
    changed_s: float = 0.0
    final: bool = False
    draining: bool = False

    @property
    def is_gone(self) -> bool:
        """Whether the member is dead or left."""
        return self.member.state.is_gone

    def heard_within(self, seconds: float, now: float) -> bool:
        """Return whether a heartbeat arrived in the last seconds."""
        return self.heard_s is not None and now - self.heard_s < seconds

    def needs_probe(self, now: float, check_after_s: float) -> bool:
        """Return whether a failure is suspected that this process has to check.

        A suspicion learnt from others is checked only after check_after_s, so that a single
        suspicion does not make every process probe the same member.
        """
        if self.is_gone:
            return False
        if self.failed_since_s is not None:
            return True
        suspected_s = self.suspected_by_others_s
        return suspected_s is not None and now - suspected_s >= check_after_s

    def clear_suspicion(self) -> None:
        """Forget unanswered probes and reports of others."""
        self.failed_since_s = self.suspected_by_others_s = None


class IncarnationFloors:
    """Lowest incarnations that may still run, of instances that the view has forgotten.

    Late reports about a forgotten instance must not bring an ended incarnation back. The
    MAX_FLOORS instances forgotten last are kept.
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
