"""Stand-in for an application service whose changes are not idempotent."""

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs

from jayvalve.internal.hashing import partition
from jayvalve.internal.timing import Clock
from jayvalve.internal.validation import check_identifier
from jayvalve.standins.registry import STAND_INS
from jayvalve.standins.server import StandIn, StandInHandler, checked_settings

__all__ = ["ApplicationEngine", "ApplicationSettings", "Run"]

MAX_ROUTE_MINUTES = 240


@attrs.frozen
class ApplicationSettings:
    """Settings of the service.

    Attributes:
        delay_s: Delay before a change takes effect or a query is answered, in seconds.

    """

    delay_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))


@attrs.frozen
class Run:
    """One executed change."""

    service: str
    key: str
    body: Any


@STAND_INS.register("application-engine")
class ApplicationEngine(StandIn):
    """Executes every booking, charge and debit that it receives, including repeated ones."""

    kind = "application-engine"

    def __init__(
        self, settings: ApplicationSettings | None = None, clock: Clock | None = None
    ) -> None:
        routes = [
            ("/(bookings|charges|debits)", ChangeHandler),
            ("/runs", RunsHandler),
            ("/route", RouteHandler),
            ("/members/([^/]+)", MemberHandler),
        ]
        super().__init__(routes, clock)
        self._settings = settings if settings is not None else ApplicationSettings()
        self._runs: list[Run] = []

    @classmethod
    def from_config(cls, config: Mapping[str, object]) -> "ApplicationEngine":
        """Build the service from {"delay_s"}, which has a default."""
        return cls(checked_settings(ApplicationSettings, config, cls.kind))

    @property
    def delay_s(self) -> float:
        """Delay of each change, route query and member query, in seconds."""
        return self._settings.delay_s

    @property
    def runs(self) -> list[Run]:
        """The executed changes in order."""
        return self._runs


class ChangeHandler(StandInHandler):
    """Executes a change; the key comes from the Idempotency-Key header or the body."""

    standin: ApplicationEngine  # type: ignore[assignment]

    async def post(self, service: str) -> None:
        """Execute the change and return its number."""
        body = self.json_body()
        key = self.request.headers.get("Idempotency-Key") or str(body.get("key", ""))
        # Closing the connection does not end the delay: a service that has started a change
        # completes it even if its caller has disconnected.
        await asyncio.sleep(self.standin.delay_s)
        self.standin.runs.append(Run(service, key, body))
        self.set_status(201)
        self.finish({"service": service, "key": key, "number": len(self.standin.runs)})


class RunsHandler(StandInHandler):
    """Reports how many changes with a key were executed; unaffected by injected faults."""

    exempt_from_faults = True
    standin: ApplicationEngine  # type: ignore[assignment]

    def get(self) -> None:
        """Return {"key", "runs"}; without a key, "runs" counts all changes."""
        key = self.get_query_argument("key", None)
        runs = sum(key is None or run.key == key for run in self.standin.runs)
        self.finish({"key": key, "runs": runs})


class RouteHandler(StandInHandler):
    """Answers route queries with a hash of the query, so that equal queries get equal answers."""

    standin: ApplicationEngine  # type: ignore[assignment]

    async def get(self) -> None:
        """Return the travel time between two places, in minutes."""
        await self.wait_unless_closed(asyncio.sleep(self.standin.delay_s))
        start = self.get_query_argument("from", "")
        end = self.get_query_argument("to", "")
        minutes = 1 + partition(f"{start}|{end}", MAX_ROUTE_MINUTES)
        self.finish({"from": start, "to": end, "minutes": minutes})


class MemberHandler(StandInHandler):
    """Answers queries for members."""

    standin: ApplicationEngine  # type: ignore[assignment]

    async def get(self, member: str) -> None:
        """Return a member's record."""
        await self.wait_unless_closed(asyncio.sleep(self.standin.delay_s))
        check_identifier(member, "member")
        self.finish(
            {"id": member, "name": f"Member {member}", "fee_paid": not partition(member, 2)}
        )
