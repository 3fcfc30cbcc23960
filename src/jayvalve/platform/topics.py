"""Keyed topics of the store: the source that followers read, and the peers' addresses."""

import json
from collections.abc import Awaitable, Callable
from typing import TypeVar

from jayvalve.errors import LogUnavailableError
from jayvalve.internal.gateway.http_client import NotSentError
from jayvalve.internal.malformed import MALFORMED_ERRORS, checked_address
from jayvalve.platform import names
from jayvalve.platform.store import (
    StoreClient,
    decode_keyed,
    encode_keyed,
)

__all__ = ["KeyedTopic", "PeerRegister"]

T = TypeVar("T")

# Ends a snapshot even if the store always reports another page.
MAX_PAGES = 1000


class KeyedTopic:
    """One keyed topic, which has only partition 0.

    Args:
        store: Returns the client to use for the next call.
        topic: Name of the topic.
        on_answer: Called with the client after each answer of the store.
        on_unreachable: Called with the client and the reason if a call could not be sent.

    """

    def __init__(
        self,
        store: Callable[[], StoreClient],
        topic: str,
        on_answer: Callable[[StoreClient], None] = lambda _: None,
        on_unreachable: Callable[[StoreClient, str], None] = lambda _, __: None,
    ) -> None:
        self._store = store
        self._on_answer = on_answer
        self._on_unreachable = on_unreachable
        self._topic = topic

    async def snapshot(self, timeout_s: float) -> tuple[dict[str, bytes], int]:
        """Return the newest values by key, and the offset from which to read on.

        The pages are not read at one point in time. The offset is therefore that of the first
        page, so that changes made between two pages are read again.
        """
        values: dict[str, bytes] = {}
        after: str | None = None
        end: int | None = None
        for _ in range(MAX_PAGES):
            client = self._store()
            page = await self._record_result(client, client.newest(self._topic, timeout_s, after))
            end = page.end if end is None else end
            for record in page.records:
                if record.value is not None:
                    values[record.key] = record.value
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        return values, end or 0

    async def changes(
        self, start: int, timeout_s: float, wait_s: float
    ) -> tuple[list[tuple[str, bytes | None]], int] | None:
        """Return changes and the next offset, or None if a new snapshot is needed.

        It is needed if records from offset start on have expired or the topic ends before start.
        """
        client = self._store()
        page = await self._record_result(
            client, client.read(self._topic, 0, start, timeout_s, wait_s)
        )
        if page.first > start or page.end < start:
            return None
        changes = []
        for record in page.records:
            try:
                decoded = decode_keyed(record)
            except ValueError:
                # The record comes from another kind of writer and has no key.
                continue
            changes.append((decoded.key, decoded.value))
        return changes, page.next

    async def _record_result(self, client: StoreClient, call: Awaitable[T]) -> T:
        try:
            result = await call
        except LogUnavailableError as error:
            # A refusal by the store may concern only this topic, but a connection that cannot be
            # made concerns all calls of the client.
            if isinstance(error.__cause__, NotSentError):
                self._on_unreachable(client, error.message)
            raise
        self._on_answer(client)
        return result


class PeerRegister:
    """Register of the addresses at which gateways receive calls and messages from their peers."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def announce(self, name: str, address: tuple[str, int], timeout_s: float) -> None:
        """Write the address of this process.

        Raises the same errors as StoreClient.append.
        """
        value = json.dumps({"peer": list(address)}).encode()
        await self._store.append(names.PEERS_TOPIC, 0, [encode_keyed(name, value)], timeout_s)

    async def withdraw(self, name: str, timeout_s: float) -> None:
        """Delete the address of this process.

        Raises the same errors as StoreClient.append.
        """
        await self._store.append(names.PEERS_TOPIC, 0, [encode_keyed(name, b"")], timeout_s)

    @staticmethod
    def decode(value: bytes) -> tuple[str, int] | None:
        """Return the address in a record, or None if the record is malformed."""
        try:
            host, port = json.loads(value)["peer"]
            return checked_address(host, port)
        except MALFORMED_ERRORS:
            return None
