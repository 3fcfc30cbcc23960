"""Budgets of programs: one gateway holds the leases of a program and grants tokens to the others.

The turns of a program reach several gateways. If each gateway reserved tokens in the log, most
turns would wait for the store and none could start while it is unavailable. Therefore one
gateway, the holder, reserves tokens for several turns, and the others ask it for each turn. The
holder is chosen by hashing the program's partition over the live gateways. All tokens come from
reservations in the log, so two gateways that both consider themselves the holder never grant the
same token twice.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from loguru import logger

from jayvalve.errors import BudgetExceededError, UnavailableError
from jayvalve.internal.gateway.leases import Lease
from jayvalve.internal.gateway.ledger import BudgetLedger, Reservation
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["BudgetSettings", "TurnBudgets", "TurnGrant"]

_log = logger.bind(part="budgets")

Address = tuple[str, int]

_GRANTED = "granted"
_DENIED = "denied"
_UNAVAILABLE = "unavailable"
_STOPPING = "leaving"
_ACCEPTED = "taken"


@attrs.frozen
class BudgetSettings:
    """Limits of token grants between gateways.

    Attributes:
        max_holders: Maximum number of possible holders to try, which may include this gateway,
            before it reserves the tokens of just this turn in the log. If the first one has just
            started, the second one may still hold a lease.
        peer_call_timeout_s: Timeout of a call between gateways that needs no store call, in
            seconds.
        avoid_unresponsive_s: How long to avoid a gateway that did not answer, in seconds.
        avoid_stopping_s: How long to avoid a gateway that is shutting down, in seconds; long
            enough for it to exit.
        settle_grace_s: Time after its deadline within which a remote turn must be settled, in
            seconds. After that, it is charged its maximum number of tokens.
        sweep_interval_s: Interval between sweeps for such turns, in seconds.
        settle_attempts: Maximum number of attempts to send a settlement to the holder. If no
            attempt reaches the holder, for example because its process is frozen, the holder
            charges the turn its maximum number of tokens.
        settle_retry_delay_s: Delay after the first such attempt, in seconds; it doubles with
            each further attempt.
        max_finished: Number of finished turns to remember, so that a late reserve call does not
            start one of them again.

    """

    max_holders: int = 2
    peer_call_timeout_s: float = 1.0
    avoid_unresponsive_s: float = 1.0
    avoid_stopping_s: float = 4.0
    settle_grace_s: float = 1.0
    sweep_interval_s: float = 0.5
    settle_attempts: int = 5
    settle_retry_delay_s: float = 0.2
    max_finished: int = 4096


@attrs.frozen
class TurnGrant:
    """Tokens reserved for one turn.

    Attributes:
        holder: Gateway that granted the tokens, or None if this gateway reserved them itself.
        reservation: Reservation of this gateway, or None if another gateway granted the tokens.

    """

    program: str
    turn: str
    tokens: int
    holder: Address | None = None
    reservation: Reservation | None = None

    @property
    def source(self) -> str:
        """Origin of the tokens, for the decision log."""
        return "own" if self.holder is None else f"{self.holder[0]}:{self.holder[1]}"


@attrs.frozen
class _RemoteTurn:
    """Turn that runs at another gateway with tokens of this one."""

    reservation: Reservation
    settle_by_s: float


class TurnBudgets:
    """Reserves and settles tokens of turns through the gateway that holds the program's budget.

    Args:
        own: Address at which other gateways reach this one.
        peers: Returns the addresses of the other live gateways.

    """

    def __init__(
        self,
        ledger: BudgetLedger,
        calls: PeerCalls,
        partitions: PartitionMap,
        own: Address,
        peers: Callable[[], Iterable[Address]],
        clock: Clock,
        settings: BudgetSettings,
    ) -> None:
        self._ledger = ledger
        self._calls = calls
        self._partitions = partitions
        self._own_address = own
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._stopping = False
        self._avoid_until_s: dict[Address, float] = {}
        self._remote_turns: dict[str, _RemoteTurn] = {}
        self._finished_turns: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        calls.on("reserve")(self._serve_reserve)
        calls.on("settle")(self._serve_settle)
        calls.on("take_over")(self._serve_take_over)

    @property
    def remote_turns(self) -> int:
        """Number of turns that run at other gateways with tokens of this one."""
        return len(self._remote_turns)

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, deadline: Deadline
    ) -> TurnGrant:
        """Reserve tokens for a turn.

        Raises:
            BudgetExceededError: the budget has too few tokens left; the turn must not run.
            LogUnavailableError: no decision was reached; the turn must not run.

        """
        store_deadline = self._ledger.store_deadline(deadline)
        for holder in self._holders(program):
            if holder == self._own_address:
                reservation = await self._reserve_locally(
                    program, turn, tokens, budget, deadline, store_deadline
                )
                if reservation is not None:
                    return TurnGrant(program, turn, tokens, reservation=reservation)
            elif await self._reserve_at_holder(
                holder, [program, turn, tokens, budget], deadline, store_deadline
            ):
                return TurnGrant(program, turn, tokens, holder=holder)
        # No holder granted the tokens. Reserve only what this turn needs, since another gateway
        # may be serving the rest of the program.
        reservation = await self._ledger.reserve(
            program,
            turn,
            tokens,
            budget,
            deadline,
            reserve_ahead=False,
            store_deadline=store_deadline,
        )
        return TurnGrant(program, turn, tokens, reservation=reservation)

    def settle(self, grant: TurnGrant, tokens: int) -> None:
        """Record the tokens that a turn used."""
        if grant.reservation is not None:
            self._ledger.settle(grant.reservation, tokens)
        elif grant.holder is not None:
            self._spawn(self._send_settlement(grant.holder, grant.turn, tokens))

    async def run(self) -> None:
        """Settle overdue remote turns periodically until cancelled."""
        while True:
            await asyncio.sleep(self._settings.sweep_interval_s)
            now = self._clock.now()
            for turn, remote_turn in list(self._remote_turns.items()):
                if remote_turn.settle_by_s <= now:
                    _log.bind(turn=turn).info(
                        "no settlement received for a remote turn; charged its maximum"
                    )
                    self._finish_remote_turn(turn, remote_turn.reservation.tokens)

    async def hand_over(self) -> None:
        """Stop granting tokens and transfer unused leases before a planned shutdown.

        While the store is unavailable, leases can be transferred but not released. Programs can
        then continue with the transferred tokens.
        """
        self._stopping = True
        await asyncio.gather(*map(self._transfer_lease, self._ledger.remove_unused_leases()))

    def _holders(self, program: str) -> list[Address]:
        """Return the gateways that may hold a program's budget, the most likely one first."""
        now = self._clock.now()
        usable = {
            address for address in self._peers() if self._avoid_until_s.get(address, 0) <= now
        }
        if not self._stopping:
            usable.add(self._own_address)
        names = {f"{host}:{port}": (host, port) for host, port in usable}
        order = rendezvous_order(str(self._partitions.of(program)), names)
        return [names[name] for name in order[: self._settings.max_holders]]

    async def _reserve_locally(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        deadline: Deadline,
        store_deadline: Deadline,
    ) -> Reservation | None:
        """Reserve tokens as the holder.

        Returns:
            The reservation, or None if no lease has enough tokens and the store is unavailable.

        """
        reservation = self._ledger.reserve_from_lease(program, turn, tokens)
        if reservation is not None or not self._ledger.available:
            return reservation
        return await self._ledger.reserve(
            program, turn, tokens, budget, deadline, store_deadline=store_deadline
        )

    async def _reserve_at_holder(
        self, holder: Address, arguments: list[Any], deadline: Deadline, store_deadline: Deadline
    ) -> bool:
        """Ask a holder for a turn's tokens; return whether it granted them.

        Args:
            holder: Address of the holder.
            arguments: Program, turn, maximum tokens of the turn, and budget of the program.
            deadline: Deadline of the turn.
            store_deadline: When to give up on a store that does not answer.

        Raises:
            BudgetExceededError: the budget has too few tokens left.

        """
        turn = arguments[1]
        remaining_times_ms = [
            int(deadline.remaining_s * 1000),
            int(store_deadline.remaining_s * 1000),
        ]
        try:
            answer, *detail = await self._calls.call(
                holder, "reserve", [*arguments, *remaining_times_ms], deadline.remaining_s
            )
        except (PeerTimeoutError, asyncio.CancelledError) as error:
            # The holder may have granted the tokens, or may still do so. Release them.
            self._spawn(self._send_settlement(holder, turn, 0))
            if isinstance(error, asyncio.CancelledError):
                raise
            self._avoid(holder, self._settings.avoid_unresponsive_s, str(error))
            return False
        if answer == _DENIED:
            raise BudgetExceededError(str(detail[0]))
        if answer == _STOPPING:
            self._avoid(holder, self._settings.avoid_stopping_s, "the gateway is shutting down")
        return answer == _GRANTED

    def _avoid(self, holder: Address, duration_s: float, reason: str) -> None:
        self._avoid_until_s[holder] = self._clock.now() + duration_s
        _log.bind(holder=f"{holder[0]}:{holder[1]}", reason=reason, seconds=duration_s).info(
            "asks another gateway for budgets"
        )

    async def _send_settlement(self, holder: Address, turn: str, tokens: int) -> None:
        delay_s = self._settings.settle_retry_delay_s
        for _ in range(self._settings.settle_attempts):
            try:
                await self._calls.call(
                    holder, "settle", [turn, tokens], self._settings.peer_call_timeout_s
                )
                return
            except PeerTimeoutError:
                await asyncio.sleep(delay_s)
                delay_s *= 2
        _log.bind(turn=turn, tokens=tokens, holder=f"{holder[0]}:{holder[1]}").info(
            "could not send a settlement; the holder may charge the turn its maximum"
        )

    async def _serve_reserve(self, arguments: list[Any]) -> list[Any]:
        program, turn, tokens, budget, remaining_ms, store_remaining_ms = arguments
        if self._stopping:
            return [_STOPPING]
        if turn in self._remote_turns:
            return [_GRANTED]
        deadline = Deadline.after(self._clock, remaining_ms / 1000)
        store_deadline = Deadline.after(self._clock, store_remaining_ms / 1000)
        try:
            reservation = await self._reserve_locally(
                program, turn, tokens, budget, deadline, store_deadline
            )
        except BudgetExceededError as error:
            return [_DENIED, error.message]
        except UnavailableError:
            return [_UNAVAILABLE]
        if reservation is None:
            return [_UNAVAILABLE]
        settle_by_s = self._clock.now() + deadline.remaining_s + self._settings.settle_grace_s
        self._remote_turns[turn] = _RemoteTurn(reservation, settle_by_s)
        if turn in self._finished_turns:
            # The turn has already been settled: the requesting gateway gave up while the tokens
            # were being reserved, or this reserve call arrived late.
            self._finish_remote_turn(turn, 0)
            return [_UNAVAILABLE]
        return [_GRANTED]

    async def _serve_settle(self, arguments: list[Any]) -> list[Any]:
        turn, tokens = arguments
        if type(tokens) is not int or tokens < 0:
            raise ValueError(f"{tokens!r} is not a number of tokens")
        self._finish_remote_turn(turn, tokens)
        return [_ACCEPTED]

    def _finish_remote_turn(self, turn: str, tokens: int) -> None:
        self._finished_turns[turn] = None
        while len(self._finished_turns) > self._settings.max_finished:
            self._finished_turns.popitem(last=False)
        remote_turn = self._remote_turns.pop(turn, None)
        if remote_turn is None:
            return
        self._ledger.settle(remote_turn.reservation, tokens)
        if self._stopping:
            for lease in self._ledger.remove_unused_leases():
                self._spawn(self._transfer_lease(lease))

    async def _transfer_lease(self, lease: Lease) -> None:
        """Transfer a lease to the program's next holder; release it if no gateway accepts it."""
        choice = self._ledger.choice_of(lease)
        lease_fields = [lease.program, choice, lease.name, lease.granted, lease.spent]
        for holder in self._holders(lease.program):
            try:
                answer = await self._calls.call(
                    holder, "take_over", lease_fields, self._settings.peer_call_timeout_s
                )
            except PeerTimeoutError as error:
                # The other gateway may have accepted the lease, which must not be used twice.
                # Leave its tokens reserved: neither offer it to another gateway nor release it.
                _log.bind(program=lease.program, error=str(error)).info(
                    "could not transfer a lease; its tokens may stay reserved"
                )
                return
            if answer == [_ACCEPTED]:
                return
        self._ledger.release_lease(lease)

    async def _serve_take_over(self, arguments: list[Any]) -> list[Any]:
        program, choice, name, granted, spent = arguments
        if self._stopping:
            return [_STOPPING]
        self._ledger.accept_lease(program, choice, name, granted, spent)
        return [_ACCEPTED]

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
