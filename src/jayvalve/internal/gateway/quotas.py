"""Admission of requests within the quotas of their organisations, which all gateways share.

Load: 35 gateways serve some organisations of a few requests a second and some of hundreds. A
counter that each request asks would cost a message and its delay for each; shares of each gateway
would refuse requests below the limit, because callers keep their connections. Gateways therefore
obtain permits in batches while there are enough, and one at a time when they are scarce.
"""

import asyncio
import math
from collections import OrderedDict, deque
from collections.abc import Callable, Collection

import attrs
import xxhash
from loguru import logger

from jayvalve.errors import DeadlineUnreachableError, QuotaExceededError
from jayvalve.internal.gateway.peer_calls import PeerCalls, PeerTimeoutError
from jayvalve.internal.gateway.quota_bucket import NO_PROGRAM, BucketAnswer, QuotaBounds, QuotaLimit
from jayvalve.internal.gateway.quota_contacts import FleetContacts
from jayvalve.internal.gateway.quota_coordinator import (
    QUOTA_CALLS,
    QUOTA_RETURNS,
    QuotaCoordinator,
    QuotaQuestion,
)
from jayvalve.internal.metrics import Metrics
from jayvalve.internal.organisations import Organisation
from jayvalve.internal.timing import Deadline

__all__ = ["Admission", "OrganisationQuotas", "QuotaSettings"]

_log = logger.bind(part="quotas")

Address = tuple[str, int]


@attrs.frozen
class QuotaSettings:
    """Parameters of a gateway that asks for permits.

    Attributes:
        call_timeout_s: Timeout of a question, in seconds.
        avoid_s: How long a gateway that did not answer is not asked, in seconds.
        full_share: Part of the fleet from which on a coordinator's refusal is final. One that
            decides for less may refuse although the others do not use their parts.
        max_waiting: Maximum number of requests in one question, which then fits into a datagram
            without fragments.
        batch_factor: Size of a batch as a multiple of the requests that are expected until its end.
        renew_factor: Rest of a batch, in the same unit, at which the next one is obtained.
        least_expected: Expected requests until the end of a batch from which on batches are
            obtained, so that a small organisation's few permits are not spread over the fleet.
        return_margin_s: Time before the end of a batch at which its rest is given back, in seconds.
        max_used: Maximum number of used permits that are reported with their programs.
        max_organisations: Maximum number of organisations that are remembered.
        hold_s: A request that would be admitted within this time waits for it once, in seconds. The
            tokens of a coordinator that has just taken over come within this time.
        min_retry_s: Least time after which refused callers are to repeat, in seconds.
        alone_retry_s: When refused callers are to repeat without a coordinator, in seconds.
        introduction_s: Time for which requests are admitted after the first configuration with
            limits has replaced one without, in seconds. Gateways come into contact meanwhile.

    """

    call_timeout_s: float = 0.15
    avoid_s: float = 0.5
    full_share: float = 0.9
    max_waiting: int = 64
    batch_factor: float = 1.5
    renew_factor: float = 0.4
    least_expected: float = 2.0
    return_margin_s: float = 0.05
    max_used: int = 256
    max_organisations: int = 4096
    hold_s: float = 0.15
    min_retry_s: float = 0.1
    alone_retry_s: float = 1.0
    introduction_s: float = 1.5


@attrs.frozen
class Admission:
    """An admitted request.

    Attributes:
        organisation: Name of the organisation.
        mode: How it was admitted: ``lease``, ``single``, ``strict``, ``reserve`` or ``new limit``.
        decider: Coordinator that granted the permit, or None.
        granted_s: When, by the coordinator's clock.

    """

    organisation: str
    mode: str
    decider: Address | None = None
    granted_s: float = 0.0


@attrs.define
class _Batch:
    permits: int
    end_s: float
    source: Admission


@attrs.define
class _Waiter:
    program: int
    # Result: the admission, or the seconds after which to repeat the request.
    result: "asyncio.Future[Admission | float]"


@attrs.define
class _Account:
    """What this gateway knows of one organisation."""

    organisation: Organisation
    limit: QuotaLimit
    # Version of the configuration that the limit is from.
    version: int = 0
    batches: list[_Batch] = attrs.field(factory=list)
    waiters: deque[_Waiter] = attrs.field(factory=deque)
    asking: bool = False
    strict: bool = False
    # Part of the fleet that the last answer was for; 0 without an answer.
    share: float = 0.0
    # Requests within about the duration of a batch, decaying.
    recent: float = 0.0
    recent_s: float = -math.inf
    # The program of each request admitted from a batch since the last question.
    used: list[int] = attrs.field(factory=list)
    reserve_used_s: deque[float] = attrs.field(factory=deque)


class OrganisationQuotas:
    """Admits requests of organisations.

    Args:
        boot_time: Clock that counts the time for which the process was suspended.

    """

    def __init__(
        self,
        contacts: FleetContacts,
        coordinator: QuotaCoordinator,
        calls: PeerCalls,
        boot_time: Callable[[], float],
        bounds: QuotaBounds,
        settings: QuotaSettings,
        metrics: Metrics,
    ) -> None:
        self._contacts = contacts
        self._coordinator = coordinator
        self._calls = calls
        self._boot_time = boot_time
        self._bounds = bounds
        self._settings = settings
        self._metrics = metrics
        self._version = 0
        self._limited: bool | None = None
        self._introduced_s = -math.inf
        # Ordered by their last use, for the bound on their number.
        self._accounts: OrderedDict[str, _Account] = OrderedDict()
        self._avoid_until_s: dict[Address, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, version: int, organisations: Collection[Organisation]) -> None:
        """Apply the limits of a configuration."""
        self._version = version
        limited = any(each.rate_per_s > 0.0 for each in organisations)
        if limited and self._limited is False:
            self._introduced_s = self._boot_time() + self._settings.introduction_s
        self._limited = limited
        self._contacts.enable(limited, self._introduced_s)
        self._coordinator.apply(version, organisations)

    async def admit(
        self, organisation: Organisation, program: str | None, deadline: Deadline
    ) -> Admission | None:
        """Admit a request; return None if its organisation has no limit.

        Raises:
            QuotaExceededError: The organisation has reached its limit.
            DeadlineUnreachableError: The time limit passed before the decision.

        """
        if organisation.rate_per_s <= 0.0:
            return None
        now = self._boot_time()
        account = self._account(organisation)
        program_id = NO_PROGRAM if program is None else _program_id(program)
        self._count_arrival(account, now)
        source = None if account.waiters else self._take_permit(account, now)
        if source is not None:
            if len(account.used) < self._settings.max_used:
                account.used.append(program_id)
            if self._needs_batch(account, now):
                self._ask_soon(account)
            return self._admitted(source)
        if now < self._introduced_s:
            return self._admitted(Admission(organisation.name, "new limit"))
        result = await self._wait(account, program_id, deadline)
        if isinstance(result, Admission):
            return self._admitted(result)
        mode = "strict" if account.share >= self._settings.full_share else "part"
        self._metrics.count("jayvalve_gateway_quota_total", outcome="refused", mode=mode)
        raise QuotaExceededError(
            f"the organisation has reached its limit of {organisation.rate_per_s:g} requests"
            f" per second (mode {mode})",
            retry_after_s=max(result, self._settings.min_retry_s),
        )

    def give_back(self, admission: Admission, program: str | None) -> None:
        """Give back an admission whose request has not run at any engine."""
        if admission.decider is not None:
            self._metrics.count(
                "jayvalve_gateway_quota_total", outcome="given back", mode=admission.mode
            )
            self._return(1, admission, standing_alone=program is None)

    def _admitted(self, admission: Admission) -> Admission:
        self._metrics.count("jayvalve_gateway_quota_total", outcome="admitted", mode=admission.mode)
        return admission

    def _account(self, organisation: Organisation) -> _Account:
        account = self._accounts.get(organisation.name)
        if account is not None and account.organisation is organisation:
            self._accounts.move_to_end(organisation.name)
            return account
        limit = QuotaLimit.from_bounds(organisation.rate_per_s, organisation.burst, self._bounds)
        if account is None:
            account = self._accounts[organisation.name] = _Account(organisation, limit)
            while len(self._accounts) > self._settings.max_organisations:
                self._accounts.popitem(last=False)
        elif account.limit != limit:
            # Permits of the earlier limit end.
            account.batches.clear()
        account.organisation, account.limit = organisation, limit
        account.version = self._version
        return account

    @staticmethod
    def _count_arrival(account: _Account, now: float) -> None:
        elapsed_s = now - account.recent_s
        account.recent = 1.0 + account.recent * math.exp(-elapsed_s / QuotaLimit.MAX_LEASE_S)
        account.recent_s = now

    @staticmethod
    def _take_permit(account: _Account, now: float) -> Admission | None:
        batches = account.batches
        while batches:
            batch = batches[0]
            if batch.permits > 0 and now < batch.end_s:
                batch.permits -= 1
                return batch.source
            batches.pop(0)
        return None

    def _needs_batch(self, account: _Account, now: float) -> bool:
        settings = self._settings
        if account.asking or account.strict or account.recent < settings.least_expected:
            return False
        left = sum(batch.permits for batch in account.batches if now < batch.end_s)
        return left <= settings.renew_factor * account.recent

    async def _wait(self, account: _Account, program: int, deadline: Deadline) -> Admission | float:
        try:
            async with asyncio.timeout(deadline.remaining_s):
                result = await self._ask_for(account, program)
                if isinstance(result, float) and result <= self._settings.hold_s:
                    await asyncio.sleep(result)
                    result = await self._ask_for(account, program)
                return result
        except TimeoutError:
            raise DeadlineUnreachableError(
                "the time limit passed before the quota was decided"
            ) from None

    async def _ask_for(self, account: _Account, program: int) -> Admission | float:
        waiter = _Waiter(program, asyncio.get_running_loop().create_future())
        account.waiters.append(waiter)
        self._ask_soon(account)
        try:
            return await waiter.result
        except asyncio.CancelledError:
            # The decision may have arrived just before the caller left.
            if waiter.result.done() and not waiter.result.cancelled():
                self._return_unused(waiter)
            raise

    def _return_unused(self, waiter: _Waiter) -> None:
        result = waiter.result.result()
        if isinstance(result, Admission):
            self._return(1, result, waiter.program == NO_PROGRAM)

    def _ask_soon(self, account: _Account) -> None:
        if account.asking:
            return
        account.asking = True
        task = asyncio.ensure_future(self._ask_until_done(account))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_until_done(self, account: _Account) -> None:
        try:
            while True:
                await self._ask_once(account)
                if not account.waiters:
                    return
        finally:
            account.asking = False

    async def _ask_once(self, account: _Account) -> None:
        now = self._boot_time()
        most = self._settings.max_waiting
        waiters = [account.waiters.popleft() for _ in range(min(most, len(account.waiters)))]
        question = QuotaQuestion(
            account.organisation.name,
            account.version,
            account.organisation.rate_per_s,
            account.organisation.burst,
            [waiter.program for waiter in waiters],
            self._wanted(account, now),
            account.used,
        )
        account.used = []
        decider, answer = await self._decide(question, now)
        try:
            self._settle(account, waiters, decider, answer, now)
        finally:
            for waiter in waiters:
                if not waiter.result.done():
                    waiter.result.set_result(self._settings.alone_retry_s)

    def _wanted(self, account: _Account, now: float) -> int:
        """Return how many permits to ask for ahead of the requests."""
        if account.recent < self._settings.least_expected:
            return 0
        left = sum(batch.permits for batch in account.batches if now < batch.end_s)
        scale = account.limit.lease_s / QuotaLimit.MAX_LEASE_S
        return max(0, math.ceil(self._settings.batch_factor * account.recent * scale) - left)

    async def _decide(
        self, question: QuotaQuestion, now: float
    ) -> tuple[Address | None, BucketAnswer | None]:
        """Ask the gateways that may decide; return the last answer and who gave it."""
        last: tuple[Address | None, BucketAnswer | None] = (None, None)
        for decider in self._contacts.deciders(question.name):
            if decider == self._contacts.own:
                answer = self._coordinator.decide(question)
            elif self._avoid_until_s.get(decider, -math.inf) > now:
                continue
            else:
                received = await self._call(decider, question)
                if received is None:
                    continue
                answer = received
            last = (decider, answer)
            if answer.share > 0.0:
                break
        return last

    async def _call(self, decider: Address, question: QuotaQuestion) -> BucketAnswer | None:
        settings = self._settings
        try:
            strict, share, retries_s, ahead, at_s = await self._calls.call(
                decider, QUOTA_CALLS, question.encode(), settings.call_timeout_s
            )
            retries_s = [float(each) for each in retries_s]
            if len(retries_s) != len(question.waiting):
                raise ValueError("the answer is about other requests")
            return BucketAnswer(bool(strict), float(share), retries_s, int(ahead), float(at_s))
        except (PeerTimeoutError, ValueError, TypeError) as error:
            now = self._boot_time()
            self._avoid_until_s = {
                address: until_s
                for address, until_s in self._avoid_until_s.items()
                if until_s > now
            }
            self._avoid_until_s[decider] = now + settings.avoid_s
            _log.bind(coordinator=f"{decider[0]}:{decider[1]}", reason=str(error)).info(
                "the coordinator of quotas did not answer"
            )
            return None

    def _settle(
        self,
        account: _Account,
        waiters: list[_Waiter],
        decider: Address | None,
        answer: BucketAnswer | None,
        asked_s: float,
    ) -> None:
        now = self._boot_time()
        if decider is None or answer is None:
            account.strict, account.share = False, 0.0
            for waiter in waiters:
                self._resolve(account, waiter, self._use_reserve(account, now, None))
            return
        account.strict, account.share = answer.strict, answer.share
        end_s = asked_s + account.limit.lease_s
        source = Admission(
            account.organisation.name,
            "strict" if answer.strict else "single",
            decider,
            answer.at_s,
        )
        for waiter, retry_s in zip(waiters, answer.retries_s, strict=True):
            if retry_s <= 0.0 and now < end_s:
                self._resolve(account, waiter, source)
            elif answer.share >= self._settings.full_share:
                self._resolve(account, waiter, max(retry_s, 0.001))
            else:
                self._resolve(account, waiter, self._use_reserve(account, now, retry_s))
        if answer.ahead > 0 and now < end_s:
            lease = attrs.evolve(source, mode="lease")
            self._keep(account, _Batch(answer.ahead, end_s, lease), now)

    def _resolve(self, account: _Account, waiter: _Waiter, result: Admission | float) -> None:
        if not waiter.result.done():
            waiter.result.set_result(result)
        elif isinstance(result, Admission):
            # The caller has left meanwhile.
            self._return(1, result, waiter.program == NO_PROGRAM)

    def _use_reserve(
        self, account: _Account, now: float, retry_s: float | None
    ) -> Admission | float:
        """Admit a request within the part of the slack that each gateway has for itself."""
        used_s = account.reserve_used_s
        while used_s and used_s[0] <= now - self._bounds.window_s:
            used_s.popleft()
        if len(used_s) + 1 > account.limit.reserve / self._contacts.gateways:
            return retry_s or self._settings.alone_retry_s
        used_s.append(now)
        return Admission(account.organisation.name, "reserve")

    def _keep(self, account: _Account, batch: _Batch, now: float) -> None:
        account.batches.append(batch)
        delay_s = max(0.0, batch.end_s - now - self._settings.return_margin_s)
        asyncio.get_running_loop().call_later(delay_s, self._return_rest, account, batch)

    def _return_rest(self, account: _Account, batch: _Batch) -> None:
        permits, batch.permits = batch.permits, 0
        if permits > 0 and self._boot_time() < batch.end_s:
            self._return(permits, batch.source)

    def _return(self, permits: int, source: Admission, standing_alone: bool = False) -> None:
        arguments = [source.organisation, permits, source.granted_s, standing_alone]
        if source.decider == self._contacts.own:
            self._coordinator.take_back(*arguments)
        elif source.decider is not None:
            self._calls.notify(source.decider, QUOTA_RETURNS, arguments)


def _program_id(program: str) -> int:
    # Without the highest bit, as the id is sent as a signed number; 0 stands for no program.
    return xxhash.xxh3_64_intdigest(program.encode()) >> 1 or 1
