"""Adapter of plain HTTP services, and the base of the other adapters."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Any, Self

import attrs

from jayvalve.errors import InvalidRequestError, InvalidSettingsError
from jayvalve.internal.engines.messages import (
    CachePage,
    EngineHead,
    EngineLoad,
    EngineRequest,
)
from jayvalve.internal.engines.registry import ENGINE_ADAPTERS
from jayvalve.internal.engines.transfer import CurlTransferClient, Transfer

__all__ = ["AdapterSettings", "HttpAdapter"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024


@attrs.frozen
class AdapterSettings:
    """Settings of an adapter.

    Attributes:
        address: Host and port of the endpoint.
        max_clients: Transfers at the same time; further ones wait.
        connect_timeout_s: Bound of a connection's set-up. The default leaves time for one
            repeated SYN, which the kernel sends after 1 s.
        control_timeout_s: Bound of a load query, release or other control request.
        order_timeout_s: Bound of an order, which may load weights.

    """

    address: str = attrs.field(validator=attrs.validators.matches_re(r"[^/\s]+:\d+"))
    max_clients: int = attrs.field(default=512, validator=attrs.validators.ge(1))
    connect_timeout_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))
    control_timeout_s: float = attrs.field(default=2.0, validator=attrs.validators.gt(0))
    order_timeout_s: float = attrs.field(default=300.0, validator=attrs.validators.gt(0))


@ENGINE_ADAPTERS.register("http")
class HttpAdapter:
    """Talks to a plain service, which has no cache and takes no orders."""

    def __init__(self, settings: AdapterSettings) -> None:
        self._settings = settings
        self._client: CurlTransferClient | None = None
        self._transfers: dict[str, Transfer] = {}

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._settings!r})"

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> Self:
        """Build from the fields of AdapterSettings; address has no default."""
        try:
            return cls(AdapterSettings(**config))
        except (TypeError, ValueError) as error:
            raise InvalidSettingsError(f"engine adapter settings: {error}") from error

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
        """Yield an EngineHead, then the body's chunks.

        Cancelling the task that iterates, or closing the iterator, closes the connection to
        the endpoint. Use contextlib.aclosing when the iteration may end early. An error
        status is an answer like any other. For the errors raised see Transfer.run.
        """
        if request.attempt_id in self._transfers:
            raise InvalidRequestError(f"attempt {request.attempt_id!r} is already running")
        transfer = self._transfer(self.prepared(request))
        self._transfers[request.attempt_id] = transfer
        try:
            async with contextlib.aclosing(transfer.run()) as parts:
                async for part in parts:
                    yield part
        finally:
            del self._transfers[request.attempt_id]

    def prepared(self, request: EngineRequest) -> EngineRequest:
        """Return the request as the endpoint wants it."""
        return request

    def cancel(self, attempt_id: str) -> bool:
        """Abort an attempt, whose run then raises; False if it is not running."""
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
        """Do nothing, since a plain service holds no memory for programs."""

    async def export_cache(self, program: str) -> bytes:
        """Return an empty cache."""
        return b""

    async def import_cache(self, program: str, blob: bytes) -> None:
        """Refuse a cache that is not empty."""
        if blob:
            raise InvalidRequestError("a plain service imports no cache")

    async def order(self, action: str, model: str, fencing: int) -> None:
        """Refuse the order."""
        raise InvalidRequestError(f"a plain service takes no order {action!r}")

    def _transfer(self, request: EngineRequest) -> Transfer:
        if self._client is None:
            raise RuntimeError("the adapter is not open; use it with 'async with'")
        url = f"http://{self._settings.address}"
        return Transfer(self._client, url, request, self._settings.connect_timeout_s)
