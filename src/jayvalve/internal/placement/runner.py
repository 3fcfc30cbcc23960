"""Writes placement orders to the log and delivers them to the sidecars."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from loguru import logger

from jayvalve.errors import JayvalveError, LogAnswerLostError, LogUnavailableError, StaleTermError
from jayvalve.internal.configuration import ConfigurationFollower, PlacementRule, renewal_age_s
from jayvalve.internal.log import LogClient, LogFollower, LogRecord
from jayvalve.internal.membership import Member
from jayvalve.internal.placement.decider import PlacementDecider, is_decider
from jayvalve.internal.placement.fold import PlacementFold
from jayvalve.internal.placement.records import STREAM, PlacementOrder, inventory_record
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import PeerPool
from jayvalve.internal.wire.messages import Order

__all__ = ["FleetView", "PlacementRunner"]

DECISION_INTERVAL_S = 2.0
# A sidecar confirms a load order only after the engine has loaded the weights.
ORDER_TIMEOUT_S = 300.0
ORDER_RETRY_INTERVAL_S = 2.0
MODEL_PREFIX = "model:"

_log = logger.bind(part="placement")


class FleetView(Protocol):
    """View of the endpoints that the runner reads and updates."""

    def demand(self) -> dict[str, float]:
        """Return the demand for each model in units of one fully used endpoint."""

    def live_endpoints(self) -> list[str]:
        """Return the names of the live endpoints."""

    def present_sidecar(self, endpoint: str) -> Member | None:
        """Return the sidecar of an endpoint, even if it is suspect or draining, or None."""

    def set_model(self, endpoint: str, model: str, loaded: bool) -> None:
        """Record that an endpoint has loaded a model or is about to unload it."""


class PlacementRunner:
    """Follows the placement stream, decides for this entry's models and delivers orders.

    Every entry delivers every accepted order. The sidecar runs it only once and confirms it to
    each entry, so that each entry learns when the model can be used.
    """

    def __init__(
        self,
        instance: str,
        log: LogClient,
        configuration: ConfigurationFollower,
        fleet: FleetView,
        entries: Callable[[], list[str]],
        pool: PeerPool,
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
        clock: Clock,
        retention_s: float,
    ) -> None:
        self._instance = instance
        self._log = log
        self._configuration = configuration
        self._fleet = fleet
        self._entries = entries
        self._pool = pool
        self._spawn = spawn
        self._clock = clock
        self._retention_s = retention_s
        self._fold = PlacementFold()
        self._follower = LogFollower(
            log, STREAM, self._apply, on_truncation=lambda wanted, first: self._fold.record_gap()
        )
        self._rule: PlacementRule | None = None
        self._decider: PlacementDecider | None = None

    @property
    def fold(self) -> PlacementFold:
        """State of all endpoints; read only."""
        return self._fold

    async def run(self) -> None:
        """Follow the stream, decide on orders and renew the stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._decide_periodically())

    async def step(self) -> None:
        """Append the records that are due: the inventory, or a renewal and new orders.

        Raises:
            LogUnavailableError: a record was not appended.
            LogAnswerLostError: a record may have been appended; appending it again has no effect.
        """
        document = self._configuration.current
        if document is None or not self._follower.caught_up:
            return
        if await self._append_inventory():
            return
        if self._renewal_due():
            snapshot = self._fold.snapshot()
            if snapshot is not None:
                await self._log.append(STREAM, snapshot.pack())
        for order in self._new_orders(document.rules.placement):
            _log.info("ordering {} to {} {}", order.endpoint, order.action, order.capability)
            await self._log.append(STREAM, order.pack())

    def _new_orders(self, rule: PlacementRule) -> list[PlacementOrder]:
        if self._decider is None or rule != self._rule:
            self._rule = rule
            self._decider = PlacementDecider.from_config(self._instance, rule)
        return self._decider.decide(
            self._fold,
            self._fleet.demand(),
            self._fleet.live_endpoints(),
            self._entries(),
            self._clock.now(),
            self._clock.wall(),
        )

    async def _append_inventory(self) -> bool:
        """Append the inventory of a new configuration version if this entry is responsible for it.

        Return whether it was appended.
        """
        version = self._configuration.version
        if version <= self._fold.configuration_version:
            return False
        if not is_decider(self._instance, STREAM, self._entries()):
            return False
        document = self._configuration.current
        rule = document.rules.placement
        record = inventory_record(
            version, document.inventory, rule.loads_per_interval, rule.load_interval_s
        )
        await self._log.append(STREAM, record.pack())
        return True

    def _renewal_due(self) -> bool:
        renewed_at = self._fold.renewed_at
        if renewed_at is None:
            return False
        due_age_s = renewal_age_s(self._instance, self._entries(), STREAM, self._retention_s)
        return self._clock.wall() - renewed_at >= due_age_s

    async def _decide_periodically(self) -> None:
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            try:
                await self.step()
            except (LogUnavailableError, LogAnswerLostError) as error:
                _log.info("append to the placement stream failed, retrying: {}", error.message)

    def _apply(self, record: LogRecord) -> None:
        result = self._fold.apply(record)
        order = result.record
        if isinstance(order, PlacementOrder):
            if result.accepted:
                self._spawn(self._deliver(order, record.offset))
            else:
                _log.debug("order at offset {} refused: {}", record.offset, result.reason)

    async def _deliver(self, order: PlacementOrder, fencing: int) -> None:
        """Send an order until the sidecar confirms it or a newer record supersedes it."""
        target = order.capability.removeprefix(MODEL_PREFIX)
        if order.action == "unload":
            self._fleet.set_model(order.endpoint, target, loaded=False)
        message = Order(order.action, target, fencing)
        while self._is_in_force(order.endpoint, fencing):
            sidecar = self._fleet.present_sidecar(order.endpoint)
            if sidecar is not None:
                try:
                    await self._pool.call(sidecar.address, message, ORDER_TIMEOUT_S)
                    break
                except StaleTermError:
                    return
                except JayvalveError as error:
                    _log.warning("order to {} failed, retrying: {}", order.endpoint, error.message)
            await asyncio.sleep(ORDER_RETRY_INTERVAL_S)
        else:
            return
        if order.action == "load":
            self._fleet.set_model(order.endpoint, target, loaded=True)

    def _is_in_force(self, endpoint: str, fencing: int) -> bool:
        state = self._fold.get(endpoint)
        return state is not None and state.offset == fencing
