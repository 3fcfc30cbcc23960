"""Token budgets of programs: chooses the partition and the reservation for each turn's tokens.

Reservations are admitted in log order (``accounts``). A reservation may cover more tokens than
its first turn needs. The gateway then serves the program's next turns from it without calling
the store, even while the store is unavailable (``leases``).
"""

import asyncio

import attrs

from jayvalve.errors import BudgetExceededError, LogUnavailableError
from jayvalve.internal.gateway.accounts import Account, AccountLog, AccountSettings, TokenRequest
from jayvalve.internal.gateway.leases import Lease, Leases, LeaseSettings
from jayvalve.internal.gateway.partitions import Partition, PartitionMap
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["BudgetLedger", "LedgerSettings", "Reservation"]

# A budget is split between two partitions so that programs can start and continue while one of
# them is unavailable. The second share covers a turn of maximum size if the budget is at least 2.5
# times that size.
_SECOND_PARTITION_SHARE = 0.4


@attrs.frozen
class LedgerSettings:
    """Limits of the ledger.

    Attributes:
        settle_retries: Maximum number of further attempts to reserve a turn's tokens if the budget
            would suffice without the unsettled reservations of other turns.
        settle_wait_s: Delay before each further attempt, in seconds. By default, it is slightly
            longer than the delay of a settlement, which is settle_delay_s of the accounts, or
            idle_timeout_s of the leases plus sweep_interval_s.
        partition_timeout_s: How long to wait for one partition before trying the program's
            other one, in seconds.
        avoid_s: How long a partition that did not answer is tried last, in seconds.
        sweep_interval_s: Interval between sweeps for idle leases, in seconds.

    """

    settle_retries: int = 2
    settle_wait_s: float = 0.45
    partition_timeout_s: float = 0.4
    avoid_s: float = 1.0
    sweep_interval_s: float = 0.1
    accounts: AccountSettings = AccountSettings()
    leases: LeaseSettings = LeaseSettings()


@attrs.frozen
class Reservation:
    """Tokens reserved for one turn.

    Attributes:
        turn: Id of the turn.
        parts: Leases that provide the tokens, with the number of tokens from each.

    """

    turn: str
    parts: tuple[tuple[Lease, int], ...]

    @property
    def tokens(self) -> int:
        """Maximum number of tokens that the turn may use."""
        return sum(tokens for _, tokens in self.parts)


@attrs.frozen
class _Decision:
    """Decision of one partition on a turn.

    Attributes:
        account: Account of the program in the partition, including the decision.
        choice: Which of the program's partitions decided, as in PartitionMap.of.
        lease: Lease that was granted, or None if the tokens were denied.

    """

    account: Account
    choice: int
    lease: Lease | None


class BudgetLedger:
    """Reserves and settles tokens.

    Args:
        process: Name of this process in the log; it changes with each restart.

    """

    def __init__(
        self,
        storage: Storage,
        partitions: PartitionMap,
        clock: Clock,
        settings: LedgerSettings,
        process: str = "",
    ) -> None:
        self._storage = storage
        # Two gateways may reserve tokens for the same turn if the first one, asked by the second,
        # does not answer in time. The suffix makes the names of their reservations distinct.
        self._suffix = f"@{process}" if process else ""
        self._partitions = partitions
        self._clock = clock
        self._settings = settings
        self._accounts = AccountLog(storage, clock, settings.accounts)
        self._avoid_until_s: dict[Partition, float] = {}
        self._all_choices = (0, 1) if partitions.total > 1 else (0,)
        self._leases = Leases(clock, settings.leases)

    @property
    def available(self) -> bool:
        """Whether the log is reachable."""
        return self._storage.available

    @property
    def lease_count(self) -> int:
        """Number of active leases of this process."""
        return len(self._leases.active)

    @property
    def pending_settlements(self) -> int:
        """Number of settlements not yet written to the log."""
        return self._accounts.pending_settlements

    def store_deadline(self, deadline: Deadline) -> Deadline:
        """Return the time until which a turn waits for a store that does not answer."""
        return self._storage.store_deadline(deadline)

    def reserve_from_lease(self, program: str, turn: str, tokens: int) -> Reservation | None:
        """Reserve tokens from an existing lease; None if no lease has enough."""
        lease = self._leases.start_turn(program, turn, tokens, not self._storage.available)
        return None if lease is None else Reservation(turn, ((lease, tokens),))

    async def reserve(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        deadline: Deadline,
        reserve_ahead: bool = True,
        store_deadline: Deadline | None = None,
    ) -> Reservation:
        """Reserve tokens for a turn.

        Args:
            program: Program whose budget is charged.
            turn: Id of the turn.
            tokens: Maximum number of tokens that the turn may use.
            budget: Token budget for all turns of the program.
            deadline: Deadline of the call.
            reserve_ahead: Whether to reserve tokens for later turns as well.
            store_deadline: When to give up on a store that does not answer.

        Raises:
            BudgetExceededError: the budget has too few tokens left; the turn must not run.
            LogUnavailableError: no decision was reached; the turn must not run.

        """
        reservation = self.reserve_from_lease(program, turn, tokens)
        if reservation is not None:
            return reservation
        wanted = self._leases.lease_size(tokens) if reserve_ahead else tokens
        for attempt in range(self._settings.settle_retries + 1):
            # The decision on a name is final, so each further attempt needs a new name.
            name = f"{turn}{self._suffix}/{attempt}" if attempt else f"{turn}{self._suffix}"
            if store_deadline is None or attempt:
                store_deadline = self._storage.store_deadline(deadline)
            request = TokenRequest(program, name, tokens, budget, wanted)
            decisions = await self._reserve_from_any(request, deadline, store_deadline)
            lease = decisions[-1].lease
            if lease is not None:
                lease.running_turns[turn] = tokens
                return Reservation(turn, ((lease, tokens),))
            reservation = await self._reserve_from_both(turn, request, decisions, deadline)
            if reservation is not None:
                return reservation
            accounts = [decision.account for decision in decisions]
            spent = sum(account.spent for account in accounts)
            may_retry = attempt < self._settings.settle_retries and spent + tokens <= budget
            if not may_retry or deadline.remaining_s <= self._settings.settle_wait_s:
                break
            await asyncio.sleep(self._settings.settle_wait_s)
        reserved = sum(sum(account.reserved.values()) for account in accounts)
        raise BudgetExceededError(
            f"{spent} tokens spent and {reserved} reserved of {budget}; the turn may take {tokens}"
        )

    async def _reserve_from_any(
        self, request: TokenRequest, deadline: Deadline, store_deadline: Deadline
    ) -> list[_Decision]:
        """Ask the program's partitions one after the other until one grants the tokens.

        Args:
            request: Tokens that the turn needs; the quota is the whole budget.
            deadline: Deadline of the turn.
            store_deadline: When to give up on a store that does not answer.

        Returns:
            The decisions in the order in which the partitions were asked. Only the last one can
            be a grant.

        Raises:
            LogUnavailableError: no partition granted the tokens and at least one did not answer.

        """
        decisions: list[_Decision] = []
        failure: LogUnavailableError | None = None
        choices = self._ordered_choices(request.program)
        for position, choice in enumerate(choices):
            for lease in self._leases.unused(request.program):
                # The lease has too few tokens for this turn or is too old. Release it, since its
                # tokens would otherwise count as reserved in its partition.
                self.release_lease(lease)
            call_timeout_s = store_deadline.remaining_s
            wait_until_available = position == len(choices) - 1 or not self._storage.available
            if not wait_until_available:
                call_timeout_s = min(call_timeout_s, self._settings.partition_timeout_s)
            try:
                decision = await self._reserve_in(
                    choice, request, deadline, call_timeout_s, wait_until_available
                )
            except LogUnavailableError as error:
                failure = error
                self._avoid(request.program, choice)
                continue
            decisions.append(decision)
            if decision.lease is not None:
                return decisions
        if failure is not None:
            raise failure
        return decisions

    async def _reserve_from_both(
        self, turn: str, request: TokenRequest, decisions: list[_Decision], deadline: Deadline
    ) -> Reservation | None:
        """Reserve a turn's tokens from both partitions, since neither has enough alone.

        Returns:
            The reservation, or None if both partitions together have too few tokens.

        """
        free = {
            decision.choice: max(0, decision.account.free(self._quota(request, decision.choice)))
            for decision in decisions
        }
        if sum(free.values()) < request.tokens:
            return None
        parts: list[tuple[Lease, int]] = []
        remaining = request.tokens
        for choice, free_tokens in free.items():
            part = min(free_tokens, remaining)
            if not part:
                continue
            # The partition has denied the whole turn under the request's name, and that decision
            # is final, so the part needs another name.
            part_request = attrs.evolve(request, name=f"{request.name}+", tokens=part, wanted=part)
            call_timeout_s = self._storage.store_deadline(deadline).remaining_s
            try:
                decision = await self._reserve_in(choice, part_request, deadline, call_timeout_s)
            except BaseException:
                self._release_parts(turn, parts)
                raise
            if decision.lease is None:
                # Another gateway reserved the tokens first.
                self._release_parts(turn, parts)
                return None
            # Record the turn now: a lease without running turns could be released while the other
            # partition is asked.
            decision.lease.running_turns[turn] = part
            parts.append((decision.lease, part))
            remaining -= part
        return Reservation(turn, tuple(parts))

    def _release_parts(self, turn: str, parts: list[tuple[Lease, int]]) -> None:
        for lease, _ in parts:
            del lease.running_turns[turn]
            self.release_lease(lease)

    def _quota(self, request: TokenRequest, choice: int) -> int:
        """Return the share of the program's budget that a partition may grant, in tokens."""
        second = int(request.quota * _SECOND_PARTITION_SHARE) if len(self._all_choices) > 1 else 0
        return second if choice else request.quota - second

    def _ordered_choices(self, program: str) -> list[int]:
        """Return a program's partitions, with recently unresponsive ones last."""
        now = self._clock.now()
        return sorted(
            self._all_choices,
            key=lambda choice: (
                self._avoid_until_s.get(self._partitions.of(program, choice), 0.0) > now
            ),
        )

    def _avoid(self, program: str, choice: int) -> None:
        if self._storage.available:
            partition = self._partitions.of(program, choice)
            self._avoid_until_s[partition] = self._clock.now() + self._settings.avoid_s

    async def _reserve_in(
        self,
        choice: int,
        request: TokenRequest,
        deadline: Deadline,
        call_timeout_s: float,
        wait_until_available: bool = True,
    ) -> _Decision:
        partition = self._partitions.of(request.program, choice)
        partition_request = attrs.evolve(request, quota=self._quota(request, choice))
        account = await self._accounts.reserve(
            partition, partition_request, deadline, call_timeout_s, wait_until_available
        )
        lease = None
        if account.decided.get(request.name, False):
            granted = account.reserved.get(request.name, request.tokens)
            lease = self._leases.add(request.program, partition, request.name, granted)
        return _Decision(account, choice, lease)

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Record the tokens that a turn used; release its leases if exhausted or too old."""
        store_unavailable = not self._storage.available
        for position, (lease, part) in enumerate(reservation.parts):
            is_last = position == len(reservation.parts) - 1
            used = tokens if is_last else min(tokens, part)
            tokens -= used
            if self._leases.finish_turn(lease, reservation.turn, used, store_unavailable):
                self.release_lease(lease)

    def remove_unused_leases(self) -> list[Lease]:
        """Stop using the leases without running turns, and return them."""
        unused = [lease for lease in self._leases.active if not lease.running_turns]
        for lease in unused:
            self._leases.remove(lease)
        return unused

    def accept_lease(self, program: str, choice: int, name: str, granted: int, spent: int) -> None:
        """Take over a lease that another process has transferred.

        Raises:
            ValueError: the fields do not describe a valid lease.

        """
        valid_numbers = type(granted) is int and type(spent) is int and choice in self._all_choices
        if not isinstance(program, str) or not isinstance(name, str) or not valid_numbers:
            raise ValueError(f"{[program, choice, name, granted, spent]!r} is not a lease")
        self._leases.add(program, self._partitions.of(program, choice), name, granted, spent)

    def choice_of(self, lease: Lease) -> int:
        """Return the choice, as in PartitionMap.of, whose partition granted a lease."""
        return next(
            choice
            for choice in self._all_choices
            if self._partitions.of(lease.program, choice) == lease.partition
        )

    async def run(self) -> None:
        """Release idle leases periodically until cancelled."""
        while True:
            await asyncio.sleep(self._settings.sweep_interval_s)
            if self._storage.available:
                self._release_idle_leases()

    def _release_idle_leases(self) -> None:
        for lease in self._leases.idle():
            self.release_lease(lease)
            # An idle lease has already waited for another turn, so its settlement need not wait.
            self._accounts.flush_partition(lease.partition)

    def release_lease(self, lease: Lease) -> None:
        """Remove a lease without running turns and settle its reservation."""
        self._leases.remove(lease)
        self._accounts.settle(lease.partition, lease.program, lease.name, lease.spent)

    async def flush(self, timeout_s: float) -> None:
        """Release unused leases and send all settlements before a planned shutdown."""
        for lease in self._leases.active:
            if not lease.running_turns:
                self.release_lease(lease)
        await self._accounts.flush(timeout_s)

    def expire(self) -> None:
        """Discard accounts of programs that are no longer active."""
        self._accounts.expire()
