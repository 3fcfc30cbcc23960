"""Leases: tokens of one program's budget that a gateway has reserved for several turns."""

import attrs

from jayvalve.internal.gateway.partitions import Partition
from jayvalve.internal.timing import Clock

__all__ = ["HOLDER_LEASES", "Lease", "LeaseSettings", "Leases"]


@attrs.frozen
class LeaseSettings:
    """Size and lifetime of leases.

    The defaults suit a gateway that serves turns without regard to the program: two in three
    turns reach a gateway that served an earlier turn of the program, most of them within a third
    of a second after that turn.

    Attributes:
        turns: Number of turns, each as large as the first one, to request a lease for. A smaller
            lease is granted if the budget has few free tokens left (``accounts``).
        idle_timeout_s: Time without a turn after which a lease is released, in seconds. By
            default, it is shorter than the time that a turn waits for the settlements of others
            (LedgerSettings.settle_wait_s).
        max_age_s: Age from which a lease accepts no new turns, in seconds, since its spare tokens
            are unavailable to other gateways. It is ignored while the store is unavailable.

    """

    turns: int = 3
    idle_timeout_s: float = 0.3
    max_age_s: float = 2.0


# Settings of the gateway that holds a program's budget. All turns of the program use its leases,
# so a lease can last until the program ends: tools and failed turns cause gaps of up to 2.5 s
# between turns, and max_age_s exceeds the maximum run time of a program, about 20 s. The holder can
# grant the unused tokens of finished turns again before it settles the lease.
HOLDER_LEASES = LeaseSettings(turns=6, idle_timeout_s=2.5, max_age_s=60.0)


@attrs.define(eq=False)
class Lease:
    """Tokens that the log has granted to one gateway.

    Attributes:
        partition: Partition that contains the reservation.
        name: Name of the reservation.
        granted: Total number of tokens that the turns under the lease may use.
        added_at_s: Time at which this gateway obtained the lease; its age counts from here.
        spent: Tokens that finished turns have used.
        running_turns: Maximum number of tokens of each running turn, by turn id.

    """

    program: str
    partition: Partition
    name: str
    granted: int
    added_at_s: float
    last_used_s: float
    spent: int = 0
    running_turns: dict[str, int] = attrs.field(factory=dict)

    @property
    def free(self) -> int:
        """Tokens available for further turns."""
        return self.granted - self.spent - sum(self.running_turns.values())


class Leases:
    """Leases of one gateway; assigns turns to leases and decides when a lease ends."""

    def __init__(self, clock: Clock, settings: LeaseSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._by_program: dict[str, list[Lease]] = {}

    @property
    def active(self) -> list[Lease]:
        """All leases that have not been released."""
        return [lease for leases in self._by_program.values() for lease in leases]

    def lease_size(self, tokens: int) -> int:
        """Return the tokens to request for a lease whose first turn needs the given tokens."""
        return tokens * self._settings.turns

    def add(
        self, program: str, partition: Partition, name: str, granted: int, spent: int = 0
    ) -> Lease:
        """Add a new lease, or one transferred from another gateway; return the lease.

        A lease that is present already is returned unchanged.
        """
        now = self._clock.now()
        leases = self._by_program.setdefault(program, [])
        for lease in leases:
            if (lease.partition, lease.name) == (partition, name):
                return lease
        lease = Lease(program, partition, name, granted, now, now, spent)
        leases.append(lease)
        return lease

    def unused(self, program: str) -> list[Lease]:
        """Return the leases of a program without running turns."""
        return [lease for lease in self._by_program.get(program, ()) if not lease.running_turns]

    def start_turn(
        self, program: str, turn: str, tokens: int, store_unavailable: bool
    ) -> Lease | None:
        """Start a turn under a lease with enough free tokens; None if there is none.

        Args:
            program: Program whose budget is charged.
            turn: Id of the turn.
            tokens: Maximum number of tokens that the turn may use.
            store_unavailable: Whether the store is unavailable. Leases of any age are then used,
                since leases can be neither obtained nor released until the store recovers.

        """
        now = self._clock.now()
        for lease in self._by_program.get(program, ()):
            usable = store_unavailable or now - lease.added_at_s < self._settings.max_age_s
            if usable and lease.free >= tokens and turn not in lease.running_turns:
                lease.running_turns[turn] = tokens
                lease.last_used_s = now
                return lease
        return None

    def finish_turn(self, lease: Lease, turn: str, tokens: int, store_unavailable: bool) -> bool:
        """Record the end of a turn; return whether the lease should be released now."""
        max_tokens = lease.running_turns.pop(turn)
        now = self._clock.now()
        lease.spent += tokens
        lease.last_used_s = now
        if lease.running_turns:
            return False
        expired = not store_unavailable and now - lease.added_at_s >= self._settings.max_age_s
        return lease.free < max_tokens or expired

    def idle(self) -> list[Lease]:
        """Return the leases whose idle timeout has passed."""
        limit_s = self._clock.now() - self._settings.idle_timeout_s
        return [
            lease
            for lease in self.active
            if not lease.running_turns and lease.last_used_s <= limit_s
        ]

    def remove(self, lease: Lease) -> None:
        """Remove a lease; do nothing if it is not present."""
        leases = self._by_program.get(lease.program, [])
        if lease in leases:
            leases.remove(lease)
        if not leases:
            self._by_program.pop(lease.program, None)
