"""One process's view of the other processes."""

from collections.abc import Callable, Iterable

import attrs

from jayvalve.internal.membership.member import (
    Member,
    MemberChange,
    MemberState,
    MemberUpdate,
)
from jayvalve.internal.membership.record import IncarnationFloors, MemberRecord
from jayvalve.internal.wire.messages import Heartbeat, Hello

__all__ = ["DEAD_AFTER_S", "SUSPECT_AFTER_S", "MembershipView"]

SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 3.0
CHECK_SUSPICION_AFTER_S = 5.0
# Longer than a network partition between regions, so that both sides find each other again.
FORGET_AFTER_S = 3600.0

Subscriber = Callable[[MemberChange], None]


class MembershipView:
    """Combines heartbeats, failed probes, gossip and the instance list.

    A member that does not answer becomes suspect after SUSPECT_AFTER_S and dead after
    DEAD_AFTER_S. A draining member does not become suspect; it stays draining until it is dead or
    has left. An incarnation that left, or was replaced by a higher one or by a newer process at its
    address, has ended for good. A suspect member becomes live again with its next heartbeat or when
    it refutes the report with a higher refutation number. An incarnation that was declared dead
    only because it did not answer becomes live or draining again only with such a refutation, for
    example after a network partition between regions.
    """

    def __init__(self, identity: Hello) -> None:
        self._identity = identity
        self._records: dict[str, MemberRecord] = {}
        # Indexes, built on demand and invalidated by each change. They are needed because each
        # routed call looks up the member at the address of every endpoint, and each heartbeat
        # lists all members.
        self._ordered: list[Member] | None = None
        self._addresses: dict[str, Member] | None = None
        self._floors = IncarnationFloors()
        self._subscribers: list[Subscriber] = []
        self._changes: list[MemberChange] = []
        self._refutation = 0

    @property
    def refutation(self) -> int:
        """Own refutation number, sent in the heartbeats of this process."""
        return self._refutation

    @property
    def size(self) -> int:
        """Number of known members, without this process."""
        return len(self._records)

    def members(self) -> list[Member]:
        """Return all known members except this process, also gone ones, ordered by instance."""
        if self._ordered is None:
            self._ordered = [record.member for _, record in sorted(self._records.items())]
        return list(self._ordered)

    def get(self, instance: str) -> Member | None:
        """Return the newest known incarnation of the instance, or None."""
        record = self._records.get(instance)
        return record.member if record else None

    def live(self, role: str | None = None) -> list[Member]:
        """Return the members that are live or suspect."""
        return self._select(role, (MemberState.LIVE, MemberState.SUSPECT))

    def usable(self, role: str | None = None) -> list[Member]:
        """Return the live members, which may be given new work."""
        return self._select(role, (MemberState.LIVE,))

    def draining(self, role: str | None = None) -> list[Member]:
        """Return members that are draining."""
        return self._select(role, (MemberState.DRAINING,))

    def by_address(self, address: str) -> Member | None:
        """Return the newest member at ``ip:port`` that is not gone, or None."""
        if self._addresses is None:
            self._addresses = self._index_addresses()
        return self._addresses.get(address)

    def is_believed_dead(self, instance: str, incarnation: int) -> bool:
        """Return whether this incarnation has ended, left or been declared dead.

        An instance that was never seen is not believed dead.
        """
        record = self._records.get(instance)
        if record is None or incarnation > record.member.incarnation:
            return self._floors.excludes(instance, incarnation)
        return incarnation < record.member.incarnation or record.is_gone

    def incarnation_ended(self, instance: str, incarnation: int) -> bool:
        """Return whether this incarnation has ended for good.

        A report that it is dead is not proof, because the process may be paused or partitioned.
        Proof is a newer incarnation of the instance, a newer process at its address, or a report
        that it left.
        """
        record = self._records.get(instance)
        if record is None or incarnation > record.member.incarnation:
            return self._floors.excludes(instance, incarnation)
        return incarnation < record.member.incarnation or record.has_ended

    def refutation_of(self, instance: str) -> int:
        """Return the highest refutation number seen from the current incarnation, or 0."""
        record = self._records.get(instance)
        return record.refutation if record else 0

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call subscriber with each subsequent change."""
        self._subscribers.append(subscriber)

    def observe_heartbeat(self, hello: Hello, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat that the process itself sent.

        It clears any suspicion. A member declared dead becomes live only with a higher refutation
        number; an incarnation that has ended stays ended.
        """
        # A process without an address, such as a command, is not a member.
        if hello.instance == self._identity.instance or not hello.address:
            return
        record = self._find_or_create_record(Member.from_hello(hello), now)
        if record is None or record.has_ended:
            return
        record.reported_by_process = True
        if record.member.state is MemberState.DEAD and heartbeat.refutation <= record.refutation:
            return
        record.refutation = max(record.refutation, heartbeat.refutation)
        record.last_heartbeat_s = now
        record.clear_suspicion()
        self._retire_address(record.member, now)
        if heartbeat.state == MemberState.LEFT:
            record.has_ended = True
            self._set_state(record, MemberState.LEFT, now)
            return
        record.draining |= heartbeat.state == MemberState.DRAINING
        self._set_state(record, MemberState.LIVE, now)

    def observe_failure(self, instance: str, sent_s: float) -> None:
        """Record that a probe sent at sent_s was not answered.

        The failure is ignored if a heartbeat arrived after the probe was sent.
        """
        record = self._records.get(instance)
        if record is None or record.is_gone or record.failed_since_s is not None:
            return
        if record.last_heartbeat_s is None or record.last_heartbeat_s <= sent_s:
            record.failed_since_s = sent_s

    def observe_indirect_answer(self, instance: str) -> None:
        """Record that the instance answered an indirect probe.

        This stops the suspect and dead timeouts. An existing suspicion remains until a heartbeat
        or a refutation clears it.
        """
        record = self._records.get(instance)
        if record is not None and not record.is_gone:
            record.failed_since_s = None

    def observe_updates(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Record membership updates reported by other processes."""
        for update in updates:
            if update.instance == self._identity.instance:
                self._refute(update)
            else:
                self._observe_update(update, now)

    def observe_list(self, listed: Iterable[Member], now: float) -> None:
        """Record the platform's instance list, which may be out of date.

        The list adds or removes a member only if no process has reported the same or a newer
        incarnation of it. An incarnation of 0 means that the list does not state the incarnation.
        If the list shows the known incarnation as draining, the member is set to draining even if
        a process has reported it. Draining is never reversed, so an outdated list cannot be wrong
        about it.
        """
        names = set()
        for member in listed:
            names.add(member.instance)
            if member.instance != self._identity.instance:
                self._observe_listed(member, now)
        for instance, record in list(self._records.items()):
            if instance not in names and not record.reported_by_process and not record.is_gone:
                self._forget(record)
                self._report_change(
                    attrs.evolve(record.member, state=MemberState.LEFT), record.member
                )

    def extend_timeouts(self, seconds: float) -> None:
        """Extend the running suspect and dead timeouts by seconds after a pause of this process."""
        for record in self._records.values():
            if record.failed_since_s is not None:
                record.failed_since_s += seconds

    def members_to_probe(self, now: float) -> list[Member]:
        """Return the members that this process has to probe to check a suspected failure."""
        return [
            record.member
            for record in self._records.values()
            if record.needs_probe(now, CHECK_SUSPICION_AFTER_S)
        ]

    def tick(self, now: float, timeout_multiplier: float = 1.0) -> list[MemberChange]:
        """Apply the timeouts and return the changes since the last tick.

        SUSPECT_AFTER_S and DEAD_AFTER_S are multiplied by timeout_multiplier.
        """
        for record in list(self._records.values()):
            if record.is_gone:
                if now - record.changed_s > FORGET_AFTER_S:
                    self._forget(record)
            elif record.failed_since_s is not None:
                self._apply_timeouts(record, now, timeout_multiplier)
        changes, self._changes = self._changes, []
        return changes

    def _apply_timeouts(self, record: MemberRecord, now: float, timeout_multiplier: float) -> None:
        failing_s = now - record.failed_since_s
        if failing_s >= DEAD_AFTER_S * timeout_multiplier:
            self._set_state(record, MemberState.DEAD, now)
        elif failing_s >= SUSPECT_AFTER_S * timeout_multiplier:
            self._set_state(record, MemberState.SUSPECT, now)

    def _index_addresses(self) -> dict[str, Member]:
        index: dict[str, Member] = {}
        for member in self.members():
            known = index.get(member.address)
            if member.state.is_gone or (known and known.incarnation >= member.incarnation):
                continue
            index[member.address] = member
        return index

    def _invalidate_indexes(self) -> None:
        self._ordered = self._addresses = None

    def _select(self, role: str | None, states: tuple[MemberState, ...]) -> list[Member]:
        return [
            member
            for member in self.members()
            if member.state in states and (role is None or member.role == role)
        ]

    def _find_or_create_record(self, member: Member, now: float) -> MemberRecord | None:
        """Return the record of this incarnation, creating it if necessary.

        Returns None if a newer incarnation is known or this one is known to have ended.
        """
        record = self._records.get(member.instance)
        if record is not None and member.incarnation <= record.member.incarnation:
            return record if member.incarnation == record.member.incarnation else None
        if self._floors.excludes(member.instance, member.incarnation):
            return None
        created = MemberRecord(attrs.evolve(member, state=MemberState.LIVE), changed_s=now)
        # A record that only the instance list created may lack the incarnation. The new member is
        # then the listed process, not its replacement.
        replaced = record is not None and (
            record.reported_by_process or record.member.incarnation > 0
        )
        if replaced:
            self._report_change(attrs.evolve(record.member, state=MemberState.DEAD), record.member)
        self._records[member.instance] = created
        self._invalidate_indexes()
        self._report_change(created.member, None)
        return created

    def _retire_address(self, newcomer: Member, now: float) -> None:
        for record in self._records.values():
            member = record.member
            if member.address == newcomer.address and member.incarnation < newcomer.incarnation:
                self._end_incarnation(record, now)

    def _end_incarnation(self, record: MemberRecord, now: float) -> None:
        record.has_ended = True
        if not record.is_gone:
            self._set_state(record, MemberState.DEAD, now)

    def _forget(self, record: MemberRecord) -> None:
        member = record.member
        lowest = member.incarnation + 1 if record.has_ended else member.incarnation
        self._floors.raise_to(member.instance, lowest)
        del self._records[member.instance]
        self._invalidate_indexes()

    def _refute(self, update: MemberUpdate) -> None:
        reported_failed = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if reported_failed and update.incarnation == self._identity.incarnation:
            self._refutation = max(self._refutation, update.refutation + 1)

    def _observe_update(self, update: MemberUpdate, now: float) -> None:
        known = self._records.get(update.instance)
        newer = known is None or update.incarnation > known.member.incarnation
        # An update without an address, or about a gone member, cannot create a member. It still
        # proves that an older known incarnation has ended.
        if newer and (not update.address or update.state.is_gone):
            if known is not None:
                self._end_incarnation(known, now)
            return
        record = self._find_or_create_record(update.as_member(), now)
        if record is None or record.has_ended:
            return
        record.reported_by_process = True
        if update.state is MemberState.LEFT:
            record.has_ended = True
            self._set_state(record, MemberState.LEFT, now)
        elif update.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._observe_failure_report(record, update, now)
        else:
            self._observe_liveness_report(record, update, now)

    def _observe_failure_report(
        self, record: MemberRecord, update: MemberUpdate, now: float
    ) -> None:
        has_recent_heartbeat = record.received_heartbeat_within(SUSPECT_AFTER_S, now)
        if update.refutation < record.refutation or has_recent_heartbeat or record.is_gone:
            return
        record.refutation = update.refutation
        if record.suspected_by_others_s is None:
            record.suspected_by_others_s = now
        self._set_state(record, update.state, now)

    def _observe_liveness_report(
        self, record: MemberRecord, update: MemberUpdate, now: float
    ) -> None:
        record.draining |= update.state is MemberState.DRAINING
        if update.refutation > record.refutation:
            record.refutation = update.refutation
            record.clear_suspicion()
            self._set_state(record, MemberState.LIVE, now)
        elif record.member.state is MemberState.LIVE:
            # Becomes draining if record.draining was set.
            self._set_state(record, MemberState.LIVE, now)

    def _observe_listed(self, listed: Member, now: float) -> None:
        record = self._find_or_create_record(listed, now)
        if record is None or record.is_gone:
            return
        if listed.state is MemberState.DRAINING:
            record.draining = True
            # Changes the state to draining, because record.draining is set.
            self._set_state(record, record.member.state, now)

    def _set_state(self, record: MemberRecord, state: MemberState, now: float) -> None:
        """Set the state and report a change.

        If record.draining is set, live and suspect become draining.
        """
        if record.draining and not state.is_gone:
            state = MemberState.DRAINING
        previous = record.member
        if previous.state is state:
            return
        record.member = attrs.evolve(previous, state=state)
        self._invalidate_indexes()
        record.changed_s = now
        self._report_change(record.member, previous)

    def _report_change(self, member: Member, previous: Member | None) -> None:
        change = MemberChange(member, previous.state if previous else None)
        self._changes.append(change)
        for subscriber in self._subscribers:
            subscriber(change)
