"""Queue of membership updates that are piggybacked on heartbeats."""

import math
from typing import Any

from jayvalve.internal.membership.member import Member, encode_update
from jayvalve.internal.membership.view import MembershipView

__all__ = ["GossipQueue"]


class GossipQueue:
    """Selects each change often enough to reach all members with high probability.

    Each update is sent about REPEAT_FACTOR * log2(members) times. The updates sent least often
    go first, so that old changes do not delay new ones.
    """

    MAX_UPDATES = 8
    REPEAT_FACTOR = 3

    def __init__(self) -> None:
        self._sent_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sent_counts)

    def add(self, member: Member) -> None:
        """Queue the current state of the member, replacing an earlier update about it."""
        self._sent_counts[member.instance] = 0

    def next_updates(self, view: MembershipView, count: int, skip: str = "") -> list[list[Any]]:
        """Return up to count encoded updates for one heartbeat, none of them about skip."""
        limit = self.REPEAT_FACTOR * math.ceil(math.log2(view.size + 2))
        by_sent_count = sorted(self._sent_counts, key=self._sent_counts.__getitem__)
        updates = []
        for instance in by_sent_count:
            if len(updates) == count:
                break
            if instance == skip:
                continue
            update = self._current_update(view, instance)
            if update is not None:
                updates.append(update)
            self._sent_counts[instance] += 1
            if update is None or self._sent_counts[instance] >= limit:
                del self._sent_counts[instance]
        return updates

    @staticmethod
    def _current_update(view: MembershipView, instance: str) -> list[Any] | None:
        member = view.get(instance)
        if member is None:
            return None
        return encode_update(member, view.refutation_of(instance))
