"""Queue of membership updates that ride on heartbeats."""

import math
from typing import Any

from jayvalve.internal.membership.member import Member, encode_update
from jayvalve.internal.membership.view import MembershipView

__all__ = ["GossipQueue"]


class GossipQueue:
    """Sends each change often enough to reach all members with high probability.

    An update is sent about REPEAT_FACTOR * log2(members) times; those sent least go first,
    so that new changes are not held up by old ones.
    """

    MAX_UPDATES = 8
    REPEAT_FACTOR = 3

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, member: Member) -> None:
        """Queue the member's present state, in place of an earlier one."""
        self._sent[member.instance] = 0

    def take(self, view: MembershipView, count: int, skip: str = "") -> list[list[Any]]:
        """Return up to count updates for one heartbeat, none about skip."""
        limit = self.REPEAT_FACTOR * math.ceil(math.log2(view.size + 2))
        chosen = sorted(self._sent, key=self._sent.__getitem__)
        updates = []
        for instance in chosen:
            if len(updates) == count:
                break
            if instance == skip:
                continue
            update = self._current_update(view, instance)
            if update is not None:
                updates.append(update)
            self._sent[instance] += 1
            if update is None or self._sent[instance] >= limit:
                del self._sent[instance]
        return updates

    @staticmethod
    def _current_update(view: MembershipView, instance: str) -> list[Any] | None:
        member = view.get(instance)
        if member is None:
            return None
        return encode_update(member, view.refutation_of(instance))
