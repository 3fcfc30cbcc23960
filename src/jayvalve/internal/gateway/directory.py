"""Directory of the engines that the gateway may send to, with its observations of them."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs
from loguru import logger

from jayvalve.internal.gateway.departures import Departures
from jayvalve.internal.gateway.model import EngineKey, EngineRecord, EngineState
from jayvalve.internal.timing import Clock

__all__ = ["DirectorySettings", "EngineDirectory", "EngineObserver", "EngineView"]

_log = logger.bind(part="directory")


@attrs.frozen
class DirectorySettings:
    """Limits of the directory.

    Attributes:
        expiry_grace_s: Grace time after the store recovers from an outage, in seconds: engines
            whose entries disappear are kept until it ends. Live engines write their entries again
            within 2 s.
        base_backoff_s: How long to avoid an engine after its first failed connection, in seconds.
            The time doubles with each further failure in a row.
        max_backoff_s: Maximum time to avoid an engine, in seconds.
        latency_weight: Weight of a new service time in the moving average.

    """

    expiry_grace_s: float = 2.2
    base_backoff_s: float = 0.4
    max_backoff_s: float = 3.0
    latency_weight: float = 0.15


@attrs.define(eq=False)
class EngineView:
    """One incarnation of an engine, with this process's observations of it.

    Attributes:
        running: Number of this process's requests at the engine.
        tokens: Tokens of prompts and answers that these requests need in the engine's memory.
        expires_at_s: Time at which the engine is dropped because its entry disappeared, or None.
        failures: Number of failed connections since the last successful answer.
        backoff_until_s: Time until which the engine is used only as a last resort.
        service_s: Moving average of the service time, or None before the first answer.
        answered_s: Time of the last successful answer.

    """

    record: EngineRecord
    running: int = 0
    tokens: int = 0
    expires_at_s: float | None = None
    failures: int = 0
    backoff_until_s: float = 0.0
    service_s: float | None = None
    answered_s: float = 0.0

    @property
    def key(self) -> EngineKey:
        """Id and start time of the engine."""
        return self.record.key


class EngineObserver(Protocol):
    """Interface of what learns from the entries whether engines have ended."""

    def record_restart(self, engine: EngineKey) -> None:
        """Record the end of an incarnation, as the engine has started again under its id."""

    def record_address(self, engine: EngineKey, address: tuple[str, int]) -> None:
        """Record that a new engine has an address."""

    def record_leaving(self, engine: EngineKey) -> None:
        """Record that an engine leaves as planned."""

    def record_removed(self, engine: EngineKey) -> None:
        """Record that the entry of an engine is gone that did not say that it leaves."""


class EngineDirectory:
    """Tracks the engines' entries in the store.

    Args:
        departures: Engines that have announced in an answer that they leave.
        observer: Is told about engines that start again, leave, or lose their entry.

    """

    def __init__(
        self,
        clock: Clock,
        settings: DirectorySettings,
        departures: Departures,
        observer: EngineObserver | None = None,
    ) -> None:
        self._departures = departures
        self._observer = observer
        self._clock = clock
        self._settings = settings
        self._views: dict[str, EngineView] = {}
        self._grace_until_s = 0.0
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Whether the entries have been read at least once."""
        return self._loaded

    @property
    def views(self) -> Iterable[EngineView]:
        """All engines of the directory, including those in the grace time after an outage."""
        return self._views.values()

    def handle_store_recovery(self) -> None:
        """Start the grace time for entries that may have expired during the store's outage."""
        self._grace_until_s = self._clock.now() + self._settings.expiry_grace_s

    def replace_all(self, records: Mapping[str, EngineRecord | None]) -> None:
        """Apply a snapshot of all entries; an entry missing from it is treated as deleted."""
        self._loaded = True
        for engine_id in [known_id for known_id in self._views if known_id not in records]:
            self.apply(engine_id, None)
        for engine_id, record in records.items():
            self.apply(engine_id, record)

    def apply(self, engine_id: str, record: EngineRecord | None) -> None:
        """Apply a changed entry; None if it was deleted or does not describe an engine."""
        view = self._views.get(engine_id)
        now = self._clock.now()
        if record is None:
            if view is None:
                return
            if now < self._grace_until_s:
                view.expires_at_s = self._grace_until_s
                _log.bind(engine=engine_id).info(
                    "entry expired during an outage of the store; keeping the engine for now"
                )
                return
            del self._views[engine_id]
            _log.bind(engine=engine_id).info("engine has left")
            self._report_removed(view)
            return
        if view is None or view.key != record.key:
            self._views[engine_id] = EngineView(record)
            self._departures.forget_before(record.key)
            _log.bind(engine=engine_id, service=record.service, born=record.key.born_ms).info(
                "engine added"
            )
            if self._observer is not None:
                if view is not None:
                    self._observer.record_restart(view.key)
                self._observer.record_address(record.key, record.address)
                if record.state is EngineState.DRAINING:
                    self._observer.record_leaving(record.key)
            return
        if view.record.state is not record.state:
            if self._observer is not None and record.state is EngineState.DRAINING:
                self._observer.record_leaving(record.key)
            _log.bind(engine=engine_id, state=str(record.state)).info("engine changed its state")
        view.record = record
        view.expires_at_s = None

    def _report_removed(self, view: EngineView) -> None:
        if self._observer is not None and view.record.state is EngineState.READY:
            self._observer.record_removed(view.key)

    def candidates(self, service: str) -> list[EngineView]:
        """Return the engines of a service that accept new requests."""
        now = self._clock.now()
        expired = [
            engine_id
            for engine_id, view in self._views.items()
            if view.expires_at_s is not None and now >= view.expires_at_s
        ]
        for engine_id in expired:
            view = self._views.pop(engine_id)
            _log.bind(engine=engine_id).info(
                "entry was not written again after the outage; engine removed"
            )
            self._report_removed(view)
        return [
            view
            for view in self._views.values()
            if view.record.service == service and self._takes_new_work(view)
        ]

    def accepts(self, view: EngineView) -> bool:
        """Return whether an engine that was chosen before still accepts new requests."""
        return self._views.get(view.key.id) is view and self._takes_new_work(view)

    def versions(self, service: str) -> set[str]:
        """Return the software versions of a service's engines, also of those that leave."""
        return {
            view.record.version for view in self._views.values() if view.record.service == service
        }

    def is_replaced(self, view: EngineView) -> bool:
        """Return whether another incarnation of an engine, or another engine, has its place."""
        return any(
            other.key != view.key
            and (other.key.id == view.key.id or other.record.address == view.record.address)
            for other in self._views.values()
        )

    def is_avoided(self, view: EngineView) -> bool:
        """Return whether an engine is used only if there is no other."""
        return self._clock.now() < view.backoff_until_s or self._departures.is_rumoured(view.key)

    def all_leave(self, service: str) -> bool:
        """Return whether the service has engines, all of which are leaving."""
        states = [
            self._takes_new_work(view)
            for view in self._views.values()
            if view.record.service == service
        ]
        return bool(states) and not any(states)

    def _takes_new_work(self, view: EngineView) -> bool:
        return view.record.state is EngineState.READY and not self._departures.is_announced(
            view.key
        )

    def record_success(self, view: EngineView, service_s: float) -> None:
        """Record a successful answer and its service time."""
        view.failures = 0
        view.backoff_until_s = 0.0
        view.answered_s = self._clock.now()
        previous_s = view.service_s if view.service_s is not None else service_s
        view.service_s = previous_s + self._settings.latency_weight * (service_s - previous_s)

    def record_failure(self, view: EngineView) -> None:
        """Record a failed connection and avoid the engine for a while."""
        view.failures += 1
        settings = self._settings
        # A larger power does not fit into a float; max_backoff_s is reached long before.
        exponent = min(view.failures - 1, 32)
        duration_s = min(settings.max_backoff_s, settings.base_backoff_s * 2**exponent)
        view.backoff_until_s = self._clock.now() + duration_s
        _log.bind(engine=view.key.id, failures=view.failures, avoid_s=round(duration_s, 2)).info(
            "connection to the engine failed; avoiding it"
        )
