"""State of an organisation at its coordinator: which requests it may run.

Load: one organisation sends 7.5 times its usual requests over 35 gateways, in programs of about
six requests each, while gateways are cut off, frozen and killed. A part of a program is of no use,
so requests of admitted programs come before those of new ones. Below the limit, gateways get
permits in batches, so that most requests cost no message.

The rights to grant are divided: each of N registered gateways stands for 1/N of the rate and of
the capacity, and a coordinator grants the parts of those gateways that count on it. A part that
has just come to a coordinator brings its rate but no stored tokens. At any time, all coordinators
together thus hold at most the capacity, and receive at most the rate.
"""

import bisect
import itertools
import math
from collections import OrderedDict
from collections.abc import Sequence

import attrs

__all__ = ["BucketAnswer", "BucketSettings", "OrganisationBucket", "QuotaBounds", "QuotaLimit"]

# Marks a request that belongs to no program.
NO_PROGRAM = 0
# Least time of a refusal, as 0 stands for a permit.
_LEAST_RETRY_S = 0.001


@attrs.frozen
class QuotaBounds:
    """How far the requests in a window may exceed the limit.

    Attributes:
        window_s: Length of the sliding window in seconds.
        overshoot: Part of the requests allowed in a window.
        allowance: Number of requests in addition.

    """

    window_s: float = 5.0
    overshoot: float = 0.1
    allowance: float = 20.0


@attrs.frozen
class QuotaLimit:
    """Limit of an organisation, with the division of the slack that the bounds leave.

    An eighth of the slack covers the time that requests take from their admission to an engine,
    and a quarter is reserved for gateways without coordinator. Of the rest, a part covers permits
    that are used up to ``lease_s`` after they were granted. What is left adds to the stored tokens.
    """

    rate: float
    burst: float
    slack: float

    # Longest time from the question for permits to their use, in seconds.
    MAX_LEASE_S = 0.3

    @classmethod
    def from_bounds(cls, rate: float, burst: float, bounds: QuotaBounds) -> "QuotaLimit":
        """Create the limit of an organisation."""
        slack = bounds.overshoot * (rate * bounds.window_s + burst) + bounds.allowance
        return cls(rate, burst, slack)

    @property
    def capacity(self) -> float:
        """Maximum number of stored tokens."""
        return self.burst + self.slack * 5 / 8 - self.rate * self.lease_s

    @property
    def lease_s(self) -> float:
        """Time after the question for which permits may be used, in seconds."""
        return min(self.MAX_LEASE_S, self.slack / 2 / self.rate)

    @property
    def reserve(self) -> float:
        """Requests in a window that all gateways together may admit without a coordinator."""
        return self.slack / 4


@attrs.frozen
class BucketSettings:
    """Parameters of a bucket.

    Attributes:
        strict_level: Part of the capacity below which permits are granted one at a time.
        batch_part: Largest part of the tokens that one gateway gets ahead of its requests.
        program_requests: Mean number of requests of a program before any were observed.
        prior_programs: Number of programs that this mean stands for.
        mean_decay_s: Time constant with which observed programs are forgotten, in seconds.
        program_s: Time from the first to the last request of a program before any were observed,
            in seconds.
        ahead_part: Part of the tokens arriving within that time that new programs may count on.
        max_debt: Requests that admitted programs are expected to need, as a multiple of the
            capacity and of the tokens that arrive meanwhile. More are not taken into account.
        program_end_s: Time after its last request after which a program counts as ended, in
            seconds.
        program_idle_s: Time after its last request for which a program stays admitted, in seconds.
        max_programs: Maximum number of admitted programs that are remembered.
        max_retry_s: Longest time after which a refused caller is to repeat, in seconds.

    """

    strict_level: float = 0.5
    batch_part: float = 0.1
    program_requests: float = 6.0
    prior_programs: float = 2.0
    mean_decay_s: float = 60.0
    program_s: float = 3.0
    ahead_part: float = 0.2
    max_debt: float = 2.0
    program_end_s: float = 10.0
    program_idle_s: float = 30.0
    max_programs: int = 8192
    max_retry_s: float = 5.0


@attrs.frozen
class BucketAnswer:
    """Answer to a gateway.

    Attributes:
        strict: Whether permits are granted one at a time.
        share: Part of the fleet whose rights the coordinator grants.
        retries_s: For each waiting request, 0 if it is granted, or when to repeat it, in seconds.
        ahead: Number of permits for requests that have not arrived yet.
        at_s: Time of the answer, by the coordinator's clock.

    """

    strict: bool
    share: float
    retries_s: list[float]
    ahead: int
    at_s: float


@attrs.define
class _Program:
    """Requests of an admitted program, and the times of the first and the last one."""

    first_s: float
    last_s: float
    requests: int = 0


class _Programs:
    """Admitted programs, and the means of those that have ended.

    Programs that run do not count towards the means: when an organisation becomes hot, most of
    them have just begun, and a mean of the first requests would admit three times too many.
    """

    def __init__(self, settings: BucketSettings) -> None:
        self._settings = settings
        # Ordered by the time of the last request.
        self._running: OrderedDict[int, _Program] = OrderedDict()
        self._ended: OrderedDict[int, _Program] = OrderedDict()
        self._requests = settings.prior_programs * settings.program_requests
        self._duration_s = settings.prior_programs * settings.program_s
        self._count = settings.prior_programs

    def __contains__(self, program: int) -> bool:
        return program in self._running or program in self._ended

    @property
    def mean(self) -> float:
        """Expected number of requests of a program."""
        return max(1.0, self._requests / self._count)

    @property
    def duration_s(self) -> float:
        """Expected time from the first to the last request of a program, in seconds."""
        return self._duration_s / self._count

    def add(self, now: float, program: int) -> bool:
        """Count a request; return whether it is the first one of its program."""
        entry = self._running.pop(program, None)
        if entry is None:
            entry = self._ended.pop(program, None)
            if entry is not None:
                self._count_ended(entry, -1.0)
        first = entry is None
        if entry is None:
            entry = _Program(now, now)
        entry.requests += 1
        entry.last_s = now
        self._running[program] = entry
        if len(self._running) > self._settings.max_programs:
            self._end(*self._running.popitem(last=False))
        return first

    def update(self, now: float, elapsed_s: float) -> None:
        """Account for programs that have ended, and forget old ones."""
        settings = self._settings
        factor = math.exp(-elapsed_s / settings.mean_decay_s)
        prior = settings.prior_programs
        self._count = prior + (self._count - prior) * factor
        usual = prior * settings.program_requests
        self._requests = usual + (self._requests - usual) * factor
        usual_s = prior * settings.program_s
        self._duration_s = usual_s + (self._duration_s - usual_s) * factor
        for program in _idle(self._running, now - settings.program_end_s):
            self._end(program, self._running.pop(program))
        for program in _idle(self._ended, now - settings.program_idle_s):
            del self._ended[program]

    def _end(self, program: int, entry: _Program) -> None:
        self._count_ended(entry, 1.0)
        self._ended[program] = entry
        if len(self._ended) > self._settings.max_programs:
            self._ended.popitem(last=False)

    def _count_ended(self, entry: _Program, sign: float) -> None:
        prior = self._settings.prior_programs
        self._count = max(prior, self._count + sign)
        self._requests = max(prior, self._requests + sign * entry.requests)
        self._duration_s = max(prior, self._duration_s + sign * (entry.last_s - entry.first_s))


def _idle(programs: OrderedDict[int, _Program], cutoff_s: float) -> list[int]:
    return list(itertools.takewhile(lambda each: programs[each].last_s < cutoff_s, programs))


class OrganisationBucket:
    """Tokens of one organisation at one coordinator.

    Args:
        limit: Limit of the organisation.
        known_since_s: Time since when the coordinator would know of other grants of its own.

    """

    def __init__(self, limit: QuotaLimit, settings: BucketSettings, known_since_s: float) -> None:
        self._limit = limit
        self._settings = settings
        self._updated_s = known_since_s
        self._share = 0.0
        self._level = 0.0
        # Tokens that no admitted program is expected to need. Negative after programs were
        # admitted faster than the rate.
        self._free = 0.0
        # Tokens promised to refused callers of admitted and of new programs.
        self._promised = [0.0, 0.0]
        self._programs = _Programs(settings)

    @property
    def limit(self) -> QuotaLimit:
        """Limit in force."""
        return self._limit

    @property
    def updated_s(self) -> float:
        """Time of the last update, in seconds."""
        return self._updated_s

    @property
    def level(self) -> float:
        """Stored tokens."""
        return self._level

    @property
    def strict(self) -> bool:
        """Whether permits are granted one at a time."""
        return self._level < self._settings.strict_level * self._limit.capacity * self._share

    def update(
        self, now: float, limit: QuotaLimit, starts_s: Sequence[float], gateways: int
    ) -> None:
        """Add the tokens of the time since the last update.

        Args:
            now: Time in seconds.
            limit: Limit in force from now on.
            starts_s: For each gateway whose part this coordinator grants, the time since when it
                has done so without interruption; times that lie ahead do not count yet.
            gateways: Number of registered gateways.

        """
        rate = min(self._limit.rate, limit.rate) / gateways
        since_s = self._updated_s
        part = limit.capacity / gateways
        current = sorted(start_s for start_s in starts_s if start_s <= now)
        self._share = len(current) / gateways
        kept = bisect.bisect_right(current, since_s)
        self._level = min(self._level, part * kept)
        self._free = min(self._free, part * kept)
        at_s, added = since_s, 0.0
        # Parts that came meanwhile store tokens only from then on.
        for count, end_s in enumerate([*current[kept:], now], kept):
            if count:
                gained = rate * count * max(0.0, end_s - at_s)
                self._level = min(self._level + gained, part * count)
                self._free = min(self._free + gained, part * count)
                added += gained
            at_s = end_s
        debt = self._settings.max_debt * (part * len(current) + self._expected())
        self._free = max(-debt, self._free)
        if now > since_s > -math.inf:
            self._promised = [max(0.0, each - added) for each in self._promised]
            self._programs.update(now, now - since_s)
        self._updated_s = max(since_s, now)
        self._limit = limit

    def answer(self, now: float, waiting: Sequence[int], ahead: int) -> BucketAnswer:
        """Decide about requests that wait, each given by its program, and grant others ahead."""
        retries_s = [self._admit(now, program) for program in waiting]
        granted = 0
        if not self.strict and not any(retries_s):
            batch = max(1, int(self._level * self._settings.batch_part))
            granted = min(ahead, batch, int(self._level))
            self._level -= granted
        return BucketAnswer(self.strict, self._share, retries_s, granted, now)

    def give_back(self, permits: int, standing_alone: bool = False) -> None:
        """Take back permits that were not used.

        Args:
            permits: Their number.
            standing_alone: Whether they were for requests that belong to no program.

        """
        most = self._limit.capacity * self._share
        permits = max(0, permits)
        self._level = min(self._level + permits, max(self._level, most))
        if standing_alone:
            self._free = min(self._free + permits, max(self._free, most))

    def note_used(self, now: float, programs: Sequence[int]) -> None:
        """Count requests that used permits granted ahead, each given by its program."""
        for program in programs:
            self._note(now, program)

    def _admit(self, now: float, program: int) -> float:
        """Admit a request and return 0, or return when to repeat it, in seconds."""
        if program not in self._programs and self.strict:
            # Without the tokens to come, two programs that begin together would exceed the stored
            # ones of a small organisation, although they do not need them at once.
            free = self._free + self._settings.ahead_part * self._expected()
            cost = self._new_cost(program)
            if free < cost:
                return self._refuse(1, cost, free)
        if self._level < 1.0:
            return self._refuse(0, 1.0, self._level)
        self._level -= 1.0
        self._note(now, program)
        return 0.0

    def _expected(self) -> float:
        """Return the tokens that arrive while a program runs."""
        return self._limit.rate * self._share * self._programs.duration_s

    def _new_cost(self, program: int) -> float:
        if program == NO_PROGRAM:
            return 1.0
        # A program that is longer than the capacity must start at some time.
        return min(self._programs.mean, 0.9 * self._limit.capacity * self._share)

    def _refuse(self, kind: int, need: float, available: float) -> float:
        settings = self._settings
        rate = self._limit.rate * self._share
        if rate <= 0.0:
            return 1.0
        missing = need + self._promised[kind] - available
        retry_s = missing / rate
        if retry_s < settings.max_retry_s:
            self._promised[kind] += need
        return min(settings.max_retry_s, max(_LEAST_RETRY_S, retry_s))

    def _note(self, now: float, program: int) -> None:
        if program == NO_PROGRAM:
            self._free -= 1.0
        elif self._programs.add(now, program):
            self._free -= self._programs.mean
