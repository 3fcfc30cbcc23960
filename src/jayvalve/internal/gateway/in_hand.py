"""Requests that an engine may be running, by incarnation of the engine.

An engine may go on running a request after its gateway has given the attempt up. When the engine
ends later, that request may be the cause as well as those whose answers break off.
"""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.timing import Clock

__all__ = ["EngineRun", "InHandSettings", "RequestsInHand"]

Address = tuple[str, int]


@attrs.frozen
class InHandSettings:
    """Bounds on what is remembered of attempts that were given up.

    Attributes:
        limit_margin_s: How long after its time limit an engine may still run a request, in seconds.
        restart_visible_s: Time within which the entry of an engine's next incarnation is seen, in
            seconds. An answer proves the incarnation that it was expected from only after this
            time without a newer one, since an engine may start again under its id.
        max_age_s: How long an attempt that was given up is remembered after its time limit without
            a sign of life of its engine, in seconds. An engine that is down is back by then.
        max_abandoned: Maximum number of such attempts; the oldest are dropped.

    """

    limit_margin_s: float = 0.5
    restart_visible_s: float = 2.5
    max_age_s: float = 30.0
    max_abandoned: int = 4096


@attrs.define(eq=False)
class EngineRun:
    """An attempt at an engine whose end there is not known.

    Attributes:
        began_s: Time at which the request was sent.
        limit_s: Time at which the engine stops working on it.
        on_trial: Whether an earlier end was known when it was sent.
        health_path: Path at which the engine answers health checks, or None.
        broke_s: Time at which its connection failed, or None.
        abandoned_s: Time from which the gateway no longer waits for its answer, or None.

    """

    engine: EngineKey
    address: Address
    _fingerprint: str | Callable[[], str]
    began_s: float
    limit_s: float
    on_trial: bool = False
    health_path: str | None = None
    broke_s: float | None = None
    abandoned_s: float | None = None

    @property
    def fingerprint(self) -> str:
        """Checksum of the request, computed when it is first needed."""
        if not isinstance(self._fingerprint, str):
            # Drops the function as well, which refers to the body of the request.
            self._fingerprint = self._fingerprint()
        return self._fingerprint


@attrs.define
class _EngineRuns:
    """Attempts at one incarnation of an engine.

    Attributes:
        answered_s: Time of the last answer.
        heard_s: Time of an answer that does not prove anything yet, or None.
        proven_s: Time at which this incarnation is known to have run.

    """

    runs: dict[EngineRun, None] = attrs.field(factory=dict)
    answered_s: float = float("-inf")
    heard_s: float | None = None
    proven_s: float = float("-inf")


class RequestsInHand:
    """Tracks the attempts at each incarnation of an engine until their end there is known."""

    def __init__(self, clock: Clock, settings: InHandSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._engines: dict[EngineKey, _EngineRuns] = {}
        # Attempts that were given up, in the order of that time, and by their request.
        self._abandoned: OrderedDict[EngineRun, None] = OrderedDict()
        self._by_request: dict[str, dict[EngineRun, None]] = {}

    def __len__(self) -> int:
        return sum(len(engine.runs) for engine in self._engines.values())

    @property
    def has_abandoned(self) -> bool:
        """Whether any attempt that was given up is remembered."""
        return bool(self._abandoned)

    @property
    def settings(self) -> InHandSettings:
        """Bounds on what is remembered."""
        return self._settings

    def add(self, run: EngineRun) -> None:
        """Track an attempt that is sent; complete() or abandon() must follow."""
        self._engines.setdefault(run.engine, _EngineRuns()).runs[run] = None

    def complete(self, run: EngineRun) -> None:
        """Forget an attempt that the engine has answered completely, refused or never received."""
        engine = self._engines.get(run.engine)
        if engine is not None:
            engine.runs.pop(run, None)
            if not engine.runs:
                del self._engines[run.engine]
        if run in self._abandoned:
            del self._abandoned[run]
            others = self._by_request[run.fingerprint]
            del others[run]
            if not others:
                del self._by_request[run.fingerprint]

    def complete_request(self, fingerprint: str) -> bool:
        """Forget all attempts of a request that an engine has completed; return whether any was.

        A request that completes does not end engines.
        """
        runs = list(self._by_request.get(fingerprint, ()))
        for run in runs:
            self.complete(run)
        return bool(runs)

    def abandon(self, run: EngineRun) -> None:
        """Record that this gateway no longer waits for the answer to a request.

        An attempt whose end is known already stays forgotten.
        """
        if run.abandoned_s is not None or not self.is_open(run):
            return
        run.abandoned_s = self._clock.now()
        self._abandoned[run] = None
        self._by_request.setdefault(run.fingerprint, {})[run] = None
        self.expire()
        while len(self._abandoned) > self._settings.max_abandoned:
            self.complete(next(iter(self._abandoned)))

    def record_life(self, key: EngineKey) -> None:
        """Record that an engine has answered: it has not ended under attempts that were over."""
        engine = self._engines.get(key)
        if engine is None:
            return
        now = engine.answered_s = self._clock.now()
        if engine.heard_s is None:
            engine.heard_s = now
            return
        if now - engine.heard_s < self._settings.restart_visible_s:
            return
        engine.proven_s, engine.heard_s = engine.heard_s, now
        for run in [run for run in engine.runs if self._was_over(run, engine.proven_s)]:
            self.complete(run)

    def answered_s(self, key: EngineKey) -> float:
        """Return the time of the last answer of an engine since it has had such attempts."""
        engine = self._engines.get(key)
        return float("-inf") if engine is None else engine.answered_s

    def is_open(self, run: EngineRun) -> bool:
        """Return whether the end of an attempt is not known yet."""
        engine = self._engines.get(run.engine)
        return engine is not None and run in engine.runs

    def has_runs(self, key: EngineKey) -> bool:
        """Return whether the end of any attempt at an engine is not known."""
        self.expire()
        return key in self._engines

    def runs_of(self, key: EngineKey) -> list[EngineRun]:
        """Return the attempts at an engine whose end is not known."""
        self.expire()
        engine = self._engines.get(key)
        return [] if engine is None else list(engine.runs)

    def engines_at(self, address: Address) -> list[EngineKey]:
        """Return the engines with such attempts that had an address."""
        self.expire()
        return [
            key
            for key, engine in self._engines.items()
            if any(run.address == address for run in engine.runs)
        ]

    def take_ended(self, key: EngineKey) -> list[EngineRun]:
        """Forget the attempts at an engine that has ended, and return them."""
        runs = self.runs_of(key)
        for run in runs:
            self.complete(run)
        return runs

    def dismiss(self, key: EngineKey) -> None:
        """Forget the attempts that were given up at an engine that leaves as planned."""
        for run in self.runs_of(key):
            if run.abandoned_s is not None:
                self.complete(run)

    def expire(self) -> None:
        """Forget the attempts whose engine has shown no end for too long."""
        now = self._clock.now()
        while self._abandoned:
            run = next(iter(self._abandoned))
            if now <= run.limit_s + self._settings.max_age_s:
                return
            self.complete(run)

    def _was_over(self, run: EngineRun, at_s: float) -> bool:
        if run.abandoned_s is None:
            return False
        return at_s > run.limit_s + self._settings.limit_margin_s
