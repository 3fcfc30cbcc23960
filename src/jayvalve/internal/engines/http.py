"""Adapter for plain HTTP services, and base class of the other adapters."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, Self

import attrs
from loguru import logger
from tornado.httputil import HTTPHeaders

from jayvalve.errors import EndpointFailedError, InvalidRequestError, InvalidSettingsError
from jayvalve.internal.answer_end import (
    AnswerEnd,
    BodyEnd,
    EndState,
    judge_end,
    needs_survival,
)
from jayvalve.internal.body_checks import BodyCheck, body_check
from jayvalve.internal.engines.messages import (
    CachePage,
    EngineHead,
    EngineLoad,
    EngineRequest,
)
from jayvalve.internal.engines.registry import ENGINE_ADAPTERS
from jayvalve.internal.engines.survival import EndpointWatch
from jayvalve.internal.engines.transfer import CurlTransferClient, Transfer
from jayvalve.internal.http_framing import Framing

__all__ = ["AdapterSettings", "HttpAdapter"]

_log = logger.bind(part="engines")

MAX_ANSWER_BYTES = 64 * 1024 * 1024
# How long after an answer without a length further ones are expected, in seconds.
NO_LENGTH_EXPECTED_S = 30.0


@attrs.frozen
class AdapterSettings:
    """Settings of an adapter.

    Attributes:
        address: Host and port of the endpoint.
        max_clients: Maximum number of concurrent transfers; further ones wait.
        connect_timeout_s: Timeout for establishing a connection, in seconds. The default leaves
            time for one retransmitted SYN, which the kernel sends after 1 s.
        control_timeout_s: Timeout for a load query, release or other control request, in
            seconds.
        order_timeout_s: Timeout for an order, which may load weights, in seconds.

    """

    address: str = attrs.field(validator=attrs.validators.matches_re(r"[^/\s]+:\d+"))
    max_clients: int = attrs.field(default=512, validator=attrs.validators.ge(1))
    connect_timeout_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))
    control_timeout_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))
    order_timeout_s: float = attrs.field(default=300.0, validator=attrs.validators.gt(0))


@ENGINE_ADAPTERS.register("http")
class HttpAdapter:
    """Adapter for a plain service, which has no cache and accepts no orders."""

    def __init__(self, settings: AdapterSettings) -> None:
        self._settings = settings
        self._client: CurlTransferClient | None = None
        self._transfers: dict[str, Transfer] = {}
        self._observe_end: Callable[[AnswerEnd], None] = lambda end: None
        # Infinite until the endpoint has answered.
        self._no_length_until_s = math.inf

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._settings!r})"

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> Self:
        """Build an adapter from the fields of AdapterSettings; address has no default.

        Raises:
            InvalidSettingsError: a field is unknown, missing or invalid.

        """
        try:
            return cls(AdapterSettings(**config))
        except (TypeError, ValueError) as error:
            raise InvalidSettingsError(f"invalid engine adapter settings: {error}") from error

    @property
    def settings(self) -> AdapterSettings:
        """The adapter's settings."""
        return self._settings

    async def __aenter__(self) -> Self:
        self._client = CurlTransferClient(
            force_instance=True,
            max_clients=self._settings.max_clients,
            max_body_size=MAX_ANSWER_BYTES,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._client is not None:
            self._client.abort_all()
            self._client.close()
            self._client = None

    async def run(self, request: EngineRequest) -> AsyncIterator[EngineHead | bytes]:
        """Run an attempt; yield an EngineHead, then the chunks of the body.

        Cancelling the task that iterates, or closing the iterator, closes the connection to
        the endpoint. Use contextlib.aclosing if the iteration may end early. An answer with an
        error status is yielded like any other answer.

        Raises:
            InvalidRequestError: the attempt is already running, or the request cannot be sent.
            EndpointFailedError: nothing shows that the answer is whole; verdict may_have_run.

        Transfer.run documents the other errors.
        """
        if request.attempt_id in self._transfers:
            raise InvalidRequestError(f"attempt {request.attempt_id!r} is already running")
        transfer = self._create_transfer(self.prepare_request(request))
        self._transfers[request.attempt_id] = transfer
        watch = EndpointWatch(
            self._settings.address, self._settings.connect_timeout_s, lambda: transfer.ended
        )
        if self._expects_no_length():
            transfer.on_connected = watch.begin
        check: BodyCheck | None = None
        try:
            async with contextlib.aclosing(transfer.run()) as parts:
                async for part in parts:
                    if isinstance(part, EngineHead):
                        await self._follow_framing(transfer, watch)
                        check = self.body_check(request, part, transfer.framing or Framing.NO_BODY)
                    elif check is not None:
                        check.receive(part)
                    yield part
            await self._check_end(transfer, check, watch)
        finally:
            del self._transfers[request.attempt_id]
            await watch.close()

    def body_check(self, request: EngineRequest, head: EngineHead, framing: Framing) -> BodyCheck:
        """Return the check for the body of an answer."""
        return body_check(HTTPHeaders(head.headers), framing)

    def observe_ends(self, observe: Callable[[AnswerEnd], None]) -> None:
        """Call a function with what is known of the end of each answer."""
        self._observe_end = observe

    def prepare_request(self, request: EngineRequest) -> EngineRequest:
        """Return the request in the form that the endpoint expects."""
        return request

    def cancel(self, attempt_id: str) -> bool:
        """Abort an attempt; return whether it was running. Its run raises EndpointFailedError."""
        transfer = self._transfers.get(attempt_id)
        if transfer is None or self._client is None:
            return False
        self._client.abort(transfer)
        return True

    async def load(self) -> EngineLoad:
        """Return the number of attempts in progress."""
        return EngineLoad(running=len(self._transfers))

    async def cache_events(self, start: int) -> CachePage:
        """Return no events, since a plain service has no cache."""
        return CachePage((), start, has_gap=False)

    async def release(self, program: str) -> None:
        """Do nothing, since a plain service keeps no memory for programs."""

    async def export_cache(self, program: str) -> bytes:
        """Return an empty cache."""
        return b""

    async def import_cache(self, program: str, blob: bytes) -> None:
        """Raise InvalidRequestError unless the cache is empty."""
        if blob:
            raise InvalidRequestError("a plain service cannot import a cache")

    async def order(self, action: str, model: str, fencing: int) -> None:
        """Raise InvalidRequestError, since a plain service accepts no orders."""
        raise InvalidRequestError(f"a plain service does not support order {action!r}")

    def _expects_no_length(self) -> bool:
        """Return whether answers that end with their connection are likely."""
        return asyncio.get_running_loop().time() < self._no_length_until_s

    async def _follow_framing(self, transfer: Transfer, watch: EndpointWatch) -> None:
        """Start the watch for an answer without a length; close it for another one."""
        now = asyncio.get_running_loop().time()
        if transfer.framing is Framing.CONNECTION:
            self._no_length_until_s = now + NO_LENGTH_EXPECTED_S
            watch.begin()
            return
        if self._no_length_until_s == math.inf:
            self._no_length_until_s = now
        await watch.close()

    async def _check_end(
        self, transfer: Transfer, check: BodyCheck | None, watch: EndpointWatch
    ) -> None:
        framing = transfer.framing or Framing.NO_BODY
        body = check.finish() if check is not None else BodyEnd.OPEN
        survival = await watch.check() if needs_survival(framing, body) else None
        end = judge_end(framing, body, survival)
        self._observe_end(end)
        if end.state is not EndState.SHOWN:
            _log.bind(end=str(end.state), reason=end.reason).info("an answer ended")
        if not end.is_whole:
            raise EndpointFailedError(f"the end of the answer is {end.state}: {end.reason}")

    def _create_transfer(self, request: EngineRequest) -> Transfer:
        if self._client is None:
            raise RuntimeError("the adapter is not open; use it with 'async with'")
        url = f"http://{self._settings.address}"
        return Transfer(self._client, url, request, self._settings.connect_timeout_s)
