"""Accounts of token budgets: their log records and the state computed from them.

All processes apply the records of a partition in log order. They therefore reach the same
decision on each reservation without an owner, and the decision outlives the processes.
"""

import asyncio

import attrs
import msgpack
from loguru import logger

from jayvalve.errors import LogUnavailableError, UnavailableError
from jayvalve.internal.gateway.partitions import Partition
from jayvalve.internal.gateway.storage import Storage
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["Account", "AccountLog", "AccountSettings", "TokenRequest"]

_log = logger.bind(part="accounts")

_RESERVE = 0
_SETTLE = 1
# Besides the tokens of its own turn, a reservation may take up to a quarter of the tokens that are
# then still free, for later turns. The rest is left to other gateways. All processes must use the
# same value, since each one computes the reservations from the log.
_SPARE_DIVISOR = 4
# Time limit of an append of settlements; no caller waits for it.
_FLUSH_TIMEOUT_S = 2.0
# Delay before settlements that the store did not accept are sent again.
_FLUSH_RETRY_S = 0.5


@attrs.define
class Account:
    """State of one program's budget after the records read so far.

    Attributes:
        spent: Tokens that settled reservations used.
        reserved: Tokens of each unsettled reservation, by name.
        decided: Whether each reservation was admitted, by name; the decision is final.
        last_record_s: Time at which this process last applied a record of the program.

    """

    spent: int = 0
    reserved: dict[str, int] = attrs.field(factory=dict)
    decided: dict[str, bool] = attrs.field(factory=dict)
    last_record_s: float = 0.0

    def free(self, quota: int) -> int:
        """Return the tokens that are neither spent nor reserved."""
        return quota - self.spent - sum(self.reserved.values())

    def reserve(self, name: str, tokens: int, quota: int, wanted: int = 0) -> None:
        """Admit the reservation if enough tokens are free; a repeated record changes nothing.

        Args:
            name: Name of the reservation.
            tokens: Tokens that the turn needs; the reservation is denied if fewer are free.
            quota: Share of the program's budget in this partition, in tokens.
            wanted: Maximum number of tokens to reserve, including those of the turn. The tokens
                for later turns are limited further by _SPARE_DIVISOR.

        """
        if name in self.decided:
            return
        free = self.free(quota)
        self.decided[name] = free >= tokens
        if free >= tokens:
            spare = min(max(0, wanted - tokens), (free - tokens) // _SPARE_DIVISOR)
            self.reserved[name] = tokens + spare

    def settle(self, name: str, tokens: int) -> None:
        """Replace a reservation with the tokens that were used.

        A settlement may precede its reservation in the log if the append of the reservation was
        delayed. The reservation is then denied.
        """
        if name in self.reserved:
            del self.reserved[name]
            self.spent += tokens
        elif name not in self.decided:
            self.spent += tokens
        self.decided[name] = self.decided.get(name, False)


@attrs.frozen
class TokenRequest:
    """Content of a reservation record, in the order of its fields.

    Attributes:
        name: Name of the reservation; the decision on it is final.
        tokens: Tokens that the turn needs; the reservation is denied if fewer are free.
        quota: Share of the program's budget in the partition, in tokens; the whole budget until
            BudgetLedger has chosen the partition.
        wanted: Maximum number of tokens to reserve, including those of the turn.

    """

    program: str
    name: str
    tokens: int
    quota: int
    wanted: int


@attrs.frozen
class AccountSettings:
    """Timing of settlements and of account expiry.

    Attributes:
        settle_delay_s: Maximum time that a settlement waits to be sent in the same append as the
            partition's next reservation, in seconds.
        account_idle_timeout_s: Time without records after which an account is discarded, in
            seconds. It exceeds the longest pause after which a program may continue.

    """

    settle_delay_s: float = 0.4
    account_idle_timeout_s: float = 200.0


@attrs.define
class _PartitionState:
    next_offset: int = 0
    accounts: dict[str, Account] = attrs.field(factory=dict)
    pending_settlements: list[bytes] = attrs.field(factory=list)
    flush_timer: asyncio.TimerHandle | None = None
    flushing: bool = False
    read_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


class AccountLog:
    """Appends records to the partitions and maintains the accounts computed from them."""

    def __init__(self, storage: Storage, clock: Clock, settings: AccountSettings) -> None:
        self._storage = storage
        self._clock = clock
        self._settings = settings
        self._states: dict[Partition, _PartitionState] = {}
        self._flushes: set[asyncio.Task[None]] = set()

    @property
    def pending_settlements(self) -> int:
        """Number of settlements not yet written to the log."""
        return sum(len(state.pending_settlements) for state in self._states.values())

    async def reserve(
        self,
        partition: Partition,
        request: TokenRequest,
        deadline: Deadline,
        call_timeout_s: float,
        wait_until_available: bool = True,
    ) -> Account:
        """Append a reservation and return the program's account with the decision on it.

        Args:
            partition: Partition that holds the program's account.
            request: Tokens to reserve.
            deadline: Deadline of the turn.
            call_timeout_s: Maximum time until the decision, in seconds.
            wait_until_available: Whether to wait for a partition that refuses calls.

        Raises:
            LogUnavailableError: no decision was reached within call_timeout_s; tokens that may
                have been reserved are released.

        """
        state = self._states.setdefault(partition, _PartitionState())
        settlements, state.pending_settlements = state.pending_settlements, []
        reservation = msgpack.packb([_RESERVE, *attrs.astuple(request)])
        records = [*settlements, reservation]
        read_deadline = Deadline.after(self._clock, min(call_timeout_s, deadline.remaining_s))
        appended = False
        try:
            offset = await self._storage.append(
                partition.topic,
                partition.index,
                records,
                deadline,
                call_timeout_s=call_timeout_s,
                wait_until_available=wait_until_available,
            )
            appended = True
            await self._catch_up(partition, state, offset, records, read_deadline)
        except (UnavailableError, asyncio.CancelledError) as error:
            state.pending_settlements = settlements + state.pending_settlements
            if appended or not isinstance(error, LogUnavailableError):
                # The append has taken effect or may still do so. Without a settlement, the tokens
                # would stay reserved forever.
                self.settle(partition, request.program, request.name, 0)
            if isinstance(error, asyncio.CancelledError):
                raise
            raise LogUnavailableError(
                "the budget could not be checked", retry_after_s=error.retry_after_s
            ) from error
        return state.accounts[request.program]

    def settle(self, partition: Partition, program: str, name: str, tokens: int) -> None:
        """Send a settlement with the partition's next reservation, or after settle_delay_s."""
        state = self._states.setdefault(partition, _PartitionState())
        state.pending_settlements.append(msgpack.packb([_SETTLE, program, name, tokens]))
        if state.flush_timer is None:
            loop = asyncio.get_running_loop()
            state.flush_timer = loop.call_later(
                self._settings.settle_delay_s, self._start_flush, partition, state
            )

    def flush_partition(self, partition: Partition) -> None:
        """Send the pending settlements of a partition without further delay."""
        self._start_flush(partition, self._states[partition])

    async def flush(self, timeout_s: float) -> None:
        """Send all pending settlements before a planned shutdown."""
        deadline = Deadline.after(self._clock, timeout_s)
        while not deadline.expired:
            for partition, state in list(self._states.items()):
                self._start_flush(partition, state)
            if not self._flushes:
                return
            await asyncio.wait(self._flushes, timeout=deadline.remaining_s)

    def expire(self) -> None:
        """Discard accounts of programs that are no longer active."""
        limit_s = self._clock.now() - self._settings.account_idle_timeout_s
        for state in self._states.values():
            expired = [
                program
                for program, account in state.accounts.items()
                if account.last_record_s < limit_s
            ]
            for program in expired:
                del state.accounts[program]

    def _start_flush(self, partition: Partition, state: _PartitionState) -> None:
        if state.flush_timer is not None:
            state.flush_timer.cancel()
            state.flush_timer = None
        if state.pending_settlements and not state.flushing:
            # Only one append at a time tries a partition that may be unavailable; the next one
            # sends the settlements that are added meanwhile.
            state.flushing = True
            task = asyncio.ensure_future(self._flush(partition, state))
            self._flushes.add(task)
            task.add_done_callback(self._flushes.discard)

    async def _flush(self, partition: Partition, state: _PartitionState) -> None:
        records, state.pending_settlements = state.pending_settlements, []
        deadline = Deadline.after(self._clock, _FLUSH_TIMEOUT_S)
        delay_s = self._settings.settle_delay_s
        try:
            offset = await self._storage.append(partition.topic, partition.index, records, deadline)
            if offset == state.next_offset:
                self._apply_records(state, records)
        except UnavailableError:
            state.pending_settlements = records + state.pending_settlements
            delay_s = _FLUSH_RETRY_S
        finally:
            state.flushing = False
        if state.pending_settlements and state.flush_timer is None:
            loop = asyncio.get_running_loop()
            state.flush_timer = loop.call_later(delay_s, self._start_flush, partition, state)

    async def _catch_up(
        self,
        partition: Partition,
        state: _PartitionState,
        offset: int,
        records: list[bytes],
        read_deadline: Deadline,
    ) -> None:
        """Apply the partition's records up to and including those appended at offset."""
        if offset == state.next_offset:
            self._apply_records(state, records)
            return
        end_offset = offset + len(records)
        async with state.read_lock:
            while state.next_offset < end_offset:
                start = state.next_offset
                page = await self._storage.read(
                    partition.topic,
                    partition.index,
                    start,
                    read_deadline,
                    call_timeout_s=read_deadline.remaining_s,
                )
                if start < page.first:
                    _log.bind(partition=str(partition), first=page.first).info(
                        "skipped records that had expired in the store"
                    )
                    state.next_offset = page.first
                    continue
                # A flush of settlements during the read may have advanced the offset.
                skip = state.next_offset - start
                self._apply_records(state, list(page.records[skip:]))
                if not page.records:
                    raise LogUnavailableError(
                        "the store did not return records that it had accepted"
                    )

    def _apply_records(self, state: _PartitionState, records: list[bytes]) -> None:
        now = self._clock.now()
        state.next_offset += len(records)
        for record in records:
            try:
                kind, program, name, tokens, *rest = msgpack.unpackb(record)
                account = state.accounts.setdefault(program, Account())
                account.last_record_s = now
                if kind == _RESERVE:
                    account.reserve(name, tokens, *rest)
                else:
                    account.settle(name, tokens)
            except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
                _log.bind(error=repr(error)).warning("skipped a malformed budget record")
