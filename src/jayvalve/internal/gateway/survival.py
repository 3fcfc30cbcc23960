"""Checks whether the engine that sent an answer without a length has outlived it."""

import asyncio
import contextlib
import math
from typing import Self

import attrs
from loguru import logger

from jayvalve.internal.answer_end import Survival
from jayvalve.internal.gateway.calls import Call, HeaderCodec
from jayvalve.internal.gateway.directory import EngineView
from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    Connection,
    Exchange,
    HttpPool,
    NotSentError,
)
from jayvalve.internal.gateway.model import RouteKind
from jayvalve.internal.http_framing import Framing
from jayvalve.internal.timing import Clock, Deadline

__all__ = ["SurvivalChecks", "SurvivalSettings", "SurvivalWatch"]

_log = logger.bind(part="survival")


@attrs.frozen
class SurvivalSettings:
    """Limits on the checks.

    Attributes:
        answer_timeout_s: Maximum time for the answer to a check, in seconds. Like any request, it
            waits for a slot of the engine.
        expected_s: How long after an answer without a length further ones are expected of the same
            service, in seconds.
        idle_close_s: How long before the end of an answer its engine may close the watch's idle
            connection, in seconds. One that closes later closed together with the answer.
        min_idle_s: A connection that an engine closes sooner is not replaced, in seconds. An engine
            that has too many connections closes new ones at once.

    """

    answer_timeout_s: float = 0.5
    expected_s: float = 30.0
    idle_close_s: float = 0.25
    min_idle_s: float = 1.0


class SurvivalWatch:
    """Watches one engine from before the end of its answer.

    A connection that was established before the end belongs to the process that was there then, so
    that an answer on it after the end shows that the process has not been killed. Without such a
    connection only the id of whatever listens at the address can be checked. An engine that closes
    the idle connection while it still answers gets another one.
    """

    def __init__(
        self,
        pool: HttpPool,
        codec: HeaderCodec,
        clock: Clock,
        settings: SurvivalSettings,
        view: EngineView,
        health_path: str | None,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._clock = clock
        self._settings = settings
        self._view = view
        self._health_path = health_path
        self._address = view.record.address
        self._exchange: Exchange | None = None
        self._precedes_end = True
        self._connection: Connection | None = None
        self._held_s = 0.0
        self._closed_s = -math.inf
        self._opening: asyncio.Task[None] | None = None
        if health_path is not None:
            connection = pool.take(self._address)
            if connection is not None:
                self._hold(connection)
            else:
                self._opening = asyncio.ensure_future(self._open())

    @property
    def _is_ended(self) -> bool:
        return self._exchange is not None and self._exchange.complete

    def follow(self, exchange: Exchange) -> None:
        """Note the exchange whose end counts."""
        self._exchange = exchange

    async def check(self, deadline: Deadline) -> Survival:
        """Return whether the engine has outlived its answer, which has ended.

        Args:
            deadline: Time limit of the call.

        """
        if self._health_path is None:
            return Survival.UNCHECKED
        timeout_s = min(deadline.remaining_s, self._settings.answer_timeout_s)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                survival = await self._ask()
        except TimeoutError:
            survival = Survival.SILENT
        _log.bind(engine=self._view.key.id, result=str(survival)).debug("checked an engine")
        return survival

    def close(self) -> None:
        """Return the connection for later requests."""
        if self._opening is not None and not self._opening.done():
            # Its connection is kept once it is established.
            self._opening.add_done_callback(lambda _: self._give_back())
        else:
            self._give_back()

    async def _open(self) -> None:
        with contextlib.suppress(NotSentError):
            self._hold(await self._pool.open(self._address))
        self._precedes_end = not self._is_ended

    def _hold(self, connection: Connection) -> None:
        self._connection = connection
        self._held_s = self._clock.now()
        connection.stream.set_close_callback(self._replace)

    def _replace(self) -> None:
        """Open another connection after the engine has closed the idle one."""
        self._connection = None
        self._closed_s = self._clock.now()
        if not self._is_ended and self._closed_s - self._held_s >= self._settings.min_idle_s:
            self._opening = asyncio.ensure_future(self._open())

    def _release(self) -> Connection | None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.stream.set_close_callback(None)
        return connection

    async def _ask(self) -> Survival:
        if self._opening is not None:
            await self._opening
        if self._clock.now() - self._closed_s < self._settings.idle_close_s:
            return Survival.GONE
        if self._connection is None:
            await self._open()
        connection = self._release()
        if connection is None or self._health_path is None:
            return Survival.GONE
        host, port = self._address
        request = ClientRequest(
            self._address,
            "GET",
            self._health_path,
            (("Host", f"{host}:{port}"), *self._codec.identity_headers(self._view.key.id)),
        )
        exchange = self._pool.send_on(connection, request)
        try:
            head = await exchange.head()
            answering = self._codec.answering_engine(head.headers)
            await exchange.body()
        except BrokenConnectionError:
            return Survival.GONE
        finally:
            exchange.abort()
        if answering == self._view.key.id:
            return Survival.SAME_CONNECTION if self._precedes_end else Survival.SAME_ID
        if answering is None and self._precedes_end:
            # An engine that refuses the check for lack of a slot does not name itself.
            return Survival.SAME_CONNECTION
        return Survival.REPLACED

    def _give_back(self) -> None:
        connection = self._release()
        if connection is not None:
            self._pool.give_back(connection)


class SurvivalChecks:
    """Starts the watches, where possible before the request is sent.

    A short answer may have ended before a connection can be established. Watches therefore begin
    early for calls that cannot be repeated, and for services that have answered without a length
    lately or have not answered yet.
    """

    def __init__(
        self, pool: HttpPool, codec: HeaderCodec, clock: Clock, settings: SurvivalSettings
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._clock = clock
        self._settings = settings
        # Times until which answers without a length are expected, by service.
        self._expected_until_s: dict[str, float] = {}

    @classmethod
    def from_config(cls, pool: HttpPool, codec: HeaderCodec, clock: Clock) -> Self:
        """Create the checks of a gateway."""
        return cls(pool, codec, clock, SurvivalSettings())

    def prepare(self, call: Call, view: EngineView, is_last: bool) -> SurvivalWatch | None:
        """Return a watch for a request that is about to be sent, or None if none is needed yet.

        Args:
            call: The call.
            view: The engine.
            is_last: Whether the call cannot be sent again once an engine may have run it.

        """
        expected = self._expected_until_s.get(call.service.name, math.inf) > self._clock.now()
        # A stream lasts long enough for a connection that is established after its head.
        if expected or (is_last and call.route.kind is not RouteKind.STREAMING):
            return self._watch(call, view)
        return None

    def begin(
        self,
        call: Call,
        view: EngineView,
        exchange: Exchange,
        framing: Framing,
        prepared: SurvivalWatch | None,
    ) -> SurvivalWatch | None:
        """Return the watch for an answer whose head has arrived; None if its framing shows its end.

        Args:
            call: The call that was answered.
            view: The engine.
            exchange: Exchange of the answer.
            framing: Framing of the answer.
            prepared: Result of prepare(), which is closed if it is not needed.

        """
        now = self._clock.now()
        if framing.shows_end:
            self._expected_until_s.setdefault(call.service.name, now)
            if prepared is not None:
                prepared.close()
            return None
        self._expected_until_s[call.service.name] = now + self._settings.expected_s
        watch = prepared if prepared is not None else self._watch(call, view)
        watch.follow(exchange)
        return watch

    def _watch(self, call: Call, view: EngineView) -> SurvivalWatch:
        return SurvivalWatch(
            self._pool, self._codec, self._clock, self._settings, view, call.service.health_path
        )
