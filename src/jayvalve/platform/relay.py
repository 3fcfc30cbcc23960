"""Services that a gateway offers to its peers: relayed calls to the store, copies of topics."""

import base64
import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import urlencode

import msgpack
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from jayvalve.errors import LogUnavailableError, UnavailableError
from jayvalve.internal.gateway.follower import KeyedFollower
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.platform.redaction import redact_answer, redact_value
from jayvalve.platform.store import StoreClient

__all__ = ["PeerCopy", "StoreRelay", "fetch_turn_records"]

_log = logger.bind(part="relay")

# Calls that gateways make to the store. A relay serves them under the same paths as the store.
RELAYED_PATHS = r"/api/log-(?:append|read|newest|trim)"
# Reads of the configuration and of the engines wait at most 1 s for records, which leaves time for
# the answer. A relayed read that waits longer, such as one of the list of gateways, gets status 504
# if no record arrives in time. The sender may use a shorter timeout.
RELAY_TIMEOUT_S = 3.0
COPY_PATH = "/peer/copy"
TURN_PATH = "/peer/turn"


class StoreRelay:
    """Makes calls to the store for gateways that cannot reach it.

    Args:
        store: Client that calls the store directly.
        store_usable: Returns whether the store can be reached directly. Otherwise calls are
            refused, because a call must not be relayed twice.
        followers: Returns the followers by topic. Their copies are served to gateways that
            are starting.
        turn_records: Returns the records of a turn that this gateway has in memory, or None.

    """

    def __init__(
        self,
        store: StoreClient,
        store_usable: Callable[[], bool],
        followers: Callable[[], dict[str, KeyedFollower]],
        turn_records: Callable[[str], list[bytes] | None] = lambda _: None,
    ) -> None:
        class RelayHandler(RequestHandler):
            async def get(self) -> None:
                await self._forward_call()

            async def post(self) -> None:
                await self._forward_call()

            async def _forward_call(self) -> None:
                if not store_usable():
                    self.set_status(503)
                    return
                request = self.request
                try:
                    status, body = await store.forward(
                        request.method or "GET", request.uri or "", request.body, RELAY_TIMEOUT_S
                    )
                except UnavailableError as error:
                    # Unlike 503, 504 means that the call may have had an effect.
                    self.set_status(503 if error.verdict.repeatable else 504)
                    return
                topic = self.get_query_argument("topic", "")
                status, body = _without_keys(request.path, topic, status, body)
                self.set_status(status)
                self.set_header("Content-Type", "application/octet-stream")
                self.finish(body)

        class CopyHandler(RequestHandler):
            def get(self) -> None:
                topic = self.get_query_argument("topic", "")
                follower = followers().get(topic)
                copy = follower.copy if follower is not None else None
                if copy is None:
                    self.set_status(503)
                    return
                self.finish(_encode_copy(topic, *copy))

        class TurnHandler(RequestHandler):
            def get(self) -> None:
                records = turn_records(self.get_query_argument("id", ""))
                if records is None:
                    self.set_status(404)
                    return
                self.set_header("Content-Type", "application/msgpack")
                self.finish(msgpack.packb(records))

        application = Application(
            [
                (RELAYED_PATHS, RelayHandler),
                (COPY_PATH, CopyHandler),
                (TURN_PATH, TurnHandler),
            ],
            log_function=lambda _: None,
        )
        self._server = HTTPServer(application)

    def listen(self, address: tuple[str, int]) -> None:
        """Accept connections."""
        self._server.add_sockets(bind_sockets(address[1], address[0]))

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()


def _without_keys(path: str, topic: str, status: int, body: bytes) -> tuple[int, bytes]:
    if status != HTTPStatus.OK:
        return status, body
    try:
        return status, redact_answer(path, topic, body)
    except ValueError as error:
        _log.bind(topic=topic, error=str(error)).info("did not relay an answer of the store")
        return HTTPStatus.GATEWAY_TIMEOUT, b""


def _encode_copy(topic: str, values: dict[str, bytes], start: int) -> str:
    encoded = {
        key: base64.b64encode(redact_value(topic, key, value)).decode()
        for key, value in values.items()
    }
    return json.dumps({"values": encoded, "next": start})


async def fetch_turn_records(
    peer: StoreClient, turn_id: str, timeout_s: float
) -> list[bytes] | None:
    """Return the records of a turn from another gateway's memory, or None if it has none."""
    target = f"{TURN_PATH}?{urlencode({'id': turn_id})}"
    try:
        status, body = await peer.forward("GET", target, b"", timeout_s)
        if status != 200:
            return None
        records = msgpack.unpackb(body)
    except (UnavailableError, msgpack.UnpackException, *MALFORMED_ERRORS) as error:
        _log.bind(turn=turn_id, error=repr(error)).info("a gateway did not return a turn")
        return None
    valid = isinstance(records, list) and all(isinstance(record, bytes) for record in records)
    return records if valid else None


class PeerCopy:
    """Source of one topic's values that asks other gateways for their copies.

    Args:
        peers: Returns the clients of the gateways to ask.
        topic: Name of the topic.

    """

    # Maximum number of gateways asked per snapshot. If none of them has a copy, the follower soon
    # asks again.
    MAX_PEERS_ASKED = 3

    def __init__(self, peers: Callable[[], Iterable[StoreClient]], topic: str) -> None:
        self._peers = peers
        self._topic = topic

    async def snapshot(self, timeout_s: float) -> tuple[dict[str, bytes], int]:
        """Return the values by key, and the offset from which to read on.

        Raises:
            LogUnavailableError: none of the gateways returned a copy.

        """
        target = f"{COPY_PATH}?{urlencode({'topic': self._topic})}"
        newest: tuple[dict[str, bytes], int] | None = None
        for peer in list(self._peers())[: self.MAX_PEERS_ASKED]:
            try:
                status, body = await peer.forward("GET", target, b"", timeout_s)
                if status == 200:
                    document = json.loads(body)
                    values = {
                        key: base64.b64decode(value) for key, value in document["values"].items()
                    }
                    start = int(document["next"])
                    # The copy of a gateway that was cut off longer than the others still has
                    # engines that have left.
                    if newest is None or start > newest[1]:
                        newest = values, start
            except (UnavailableError, *MALFORMED_ERRORS):
                # Another gateway may have a copy. If none has, the follower logs the error.
                continue
        if newest is not None:
            return newest
        raise LogUnavailableError(f"no gateway returned a copy of {self._topic}")
