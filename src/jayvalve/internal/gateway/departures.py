"""Engines that have announced in an answer that they leave."""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.timing import Clock

__all__ = ["DEPARTURE_NOTICES", "DepartureSettings", "Departures"]

DEPARTURE_NOTICES = "departures"

_log = logger.bind(part="departures")


@attrs.frozen
class DepartureSettings:
    """Bounds on what is remembered.

    Attributes:
        max_engines: Maximum number of engines; those that announced it longest ago are dropped.
        hearsay_ttl_s: How long the word of another gateway counts after its last repetition, in
            seconds.
        report_age_s: Maximum age of an announcement that is told to other gateways, in seconds.
        max_reported: Maximum number of engines in a message.

    """

    max_engines: int = 4096
    hearsay_ttl_s: float = 3.0
    report_age_s: float = 20.0
    max_reported: int = 64


class Departures:
    """Remembers the announcements of engines for as long as their incarnation may run.

    An announcement to this gateway holds until the next incarnation of the engine, whatever the
    list of engines says, which may be out of date. The word of another gateway only makes this
    one prefer other engines, so that a wrong word takes no engine away.

    Args:
        on_change: Called when the other gateways should be told.

    """

    def __init__(
        self,
        clock: Clock,
        settings: DepartureSettings,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        # Times of the announcements, oldest first.
        self._announced: OrderedDict[EngineKey, float] = OrderedDict()
        # Times until which other gateways' words count.
        self._hearsay: dict[EngineKey, float] = {}

    @property
    def announced(self) -> int:
        """Number of remembered announcements to this gateway."""
        return len(self._announced)

    def record(self, key: EngineKey) -> None:
        """Record that an engine has announced in an answer to this gateway that it leaves."""
        if key in self._announced:
            return
        self._announced[key] = self._clock.now()
        while len(self._announced) > self._settings.max_engines:
            self._announced.popitem(last=False)
        _log.bind(engine=key.id, source="an answer", age_s=0.0).info(
            "the engine announced that it leaves"
        )
        self._on_change()

    def is_announced(self, key: EngineKey) -> bool:
        """Return whether an engine has announced to this gateway that it leaves."""
        return key in self._announced

    def is_rumoured(self, key: EngineKey) -> bool:
        """Return whether another gateway has said lately that an engine leaves."""
        return self._hearsay.get(key, -math.inf) > self._clock.now()

    def forget_before(self, key: EngineKey) -> None:
        """Forget the earlier incarnations of an engine."""
        for known in [each for each in self._announced if _is_earlier(each, key)]:
            del self._announced[known]

    def items(self) -> list[Any]:
        """Return the recent announcements to this gateway, for a notice to the others."""
        now = self._clock.now()
        items: list[Any] = []
        for key, at_s in reversed(self._announced.items()):
            if now - at_s > self._settings.report_age_s:
                break
            items.append([key.id, key.born_ms, now - at_s])
        return items[: self._settings.max_reported]

    def receive(self, items: list[Any]) -> None:
        """Note what another gateway has been told.

        Raises:
            ValueError, TypeError: an item is malformed.

        """
        now = self._clock.now()
        self._hearsay = {key: until_s for key, until_s in self._hearsay.items() if until_s > now}
        for engine_id, born_ms, age_s in items:
            if type(born_ms) is not int or not math.isfinite(float(age_s)):
                raise ValueError(f"{[engine_id, born_ms, age_s]!r} does not name an engine")
            key = EngineKey(str(engine_id), born_ms)
            if key not in self._hearsay and key not in self._announced:
                _log.bind(engine=key.id, source="another gateway", age_s=round(age_s, 3)).info(
                    "the engine announced that it leaves"
                )
            if key in self._hearsay or len(self._hearsay) < self._settings.max_engines:
                self._hearsay[key] = now + self._settings.hearsay_ttl_s


def _is_earlier(key: EngineKey, other: EngineKey) -> bool:
    return key.id == other.id and key.born_ms < other.born_ms
