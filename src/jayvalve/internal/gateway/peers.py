"""Messages between gateways over UDP: loads, and calls made by other modules.

Gateways share no memory, and an engine's own load report is delayed and not free of charge.
Each gateway therefore sends the others the number of its requests at each engine.
"""

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgpack
from loguru import logger

from jayvalve.internal.gateway.health import HealthTracker
from jayvalve.internal.gateway.loads import PeerLoads, PeerSettings
from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.internal.timing import Clock

__all__ = ["CallSocket", "LoadExchange"]

_log = logger.bind(part="peers")

Address = tuple[str, int]

# Maximum payload of a UDP datagram over IPv4.
_MAX_DATAGRAM_BYTES = 65_507
# Stands among the ids of engines for the store, which the sender does not reach. Gateways of
# earlier releases accept no further field in a message.
_NO_STORE = ""
# Maximum length of the name of a gateway or the id of an engine, in characters.
_MAX_NAME = 512


class CallSocket(asyncio.DatagramProtocol):
    """Sends and receives the messages of calls between gateways.

    Args:
        on_message: Called with the address of the sender and the message.

    """

    def __init__(self, on_message: Callable[[Address, list[Any]], None]) -> None:
        self._on_message = on_message
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass on a message from another gateway; malformed datagrams are dropped."""
        try:
            self._on_message(tuple(addr), msgpack.unpackb(data))
        except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
            _log.bind(sender=addr, error=repr(error)).info("dropped a malformed message")

    def send(self, address: Address, message: list[Any]) -> None:
        """Send a message, which may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self._transport.sendto(msgpack.packb(message), address)


def _count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a number of requests or tokens")
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > _MAX_NAME:
        raise ValueError(f"{value!r:.80} is not the id of an engine")
    return value


def _finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{value!r} is not a number of outcomes")
    return number


@attrs.frozen
class _LastMessage:
    """Time of the last message to a gateway, and the version of the loads that it contained."""

    sent_s: float
    version: int


class LoadExchange:
    """Sends this gateway's loads to the other gateways and receives theirs.

    Messages of other gateways wait in the socket until an engine is chosen or ``poll_interval_s``
    has passed. In a fleet of 30 busy gateways, each receives about 500 messages a second, and
    waking up for each message costs more than processing it.

    Args:
        name: Name of this process, which differs after a restart.
        loads: Collects the received loads.
        running: Returns this gateway's requests and their tokens by engine.
        health: Receives the other gateways' reports of failing engines and supplies this one's.
        addresses: Returns the other gateways' addresses for calls.
        reaches_store: Returns whether this gateway reaches the store directly.

    """

    # Load messages use the port after that of calls.
    PORT_OFFSET = 1

    def __init__(
        self,
        name: str,
        loads: PeerLoads,
        clock: Clock,
        settings: PeerSettings,
        running: Callable[[], dict[str, tuple[int, int]]],
        health: HealthTracker,
        data_centre: str,
        addresses: Callable[[], Iterable[Address]],
        reaches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self._name = name
        self._loads = loads
        self._clock = clock
        self._settings = settings
        self._running = running
        self._health = health
        self._data_centre = data_centre
        self._addresses = addresses
        self._reaches_store = reaches_store
        self._sequence = 0
        self._current_state: tuple[dict[str, tuple[int, int]], bool] = ({}, True)
        self._version = 0
        self._last_messages: dict[Address, _LastMessage] = {}
        self._socket: Any = None
        self._changed = asyncio.Event()

    def open(self, address: Address) -> None:
        """Bind the socket for load messages, given the address for calls.

        Raises:
            OSError: The port is in use.

        """
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind((address[0], address[1] + self.PORT_OFFSET))
        except OSError:
            udp.close()
            raise
        self.set_socket(udp)

    def set_socket(self, udp: Any) -> None:
        """Use a bound, non-blocking socket for sending and receiving."""
        self._socket = udp

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def receive(self) -> None:
        """Process messages that wait in the socket, up to ``max_messages``.

        A sender that is faster than this process would otherwise stop all other work.
        """
        for _ in range(self._settings.max_messages):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # For instance, the kernel reports that an earlier message was not delivered.
                _log.bind(error=repr(error)).debug("failed to receive a load message")
                continue
            try:
                self._process_message(address, *msgpack.unpackb(data))
            except (msgpack.UnpackException, *MALFORMED_ERRORS) as error:
                _log.bind(sender=address, error=repr(error)).info(
                    "dropped a malformed load message"
                )

    def _process_message(
        self,
        address: Address,
        sender: str,
        data_centre: str,
        sequence: int,
        running: dict[str, tuple[int, int]],
        counts: dict[str, tuple[float, float]],
    ) -> None:
        if type(sequence) is not int or not isinstance(sender, str) or len(sender) > _MAX_NAME:
            raise ValueError(f"{sender!r}, {sequence!r} do not identify a message")
        if sender == self._name:
            return
        loads = {
            _name(engine): (_count(requests), _count(tokens))
            for engine, (requests, tokens) in running.items()
        }
        failures = {
            _name(engine): (_finite(failed), _finite(succeeded))
            for engine, (failed, succeeded) in counts.items()
        }
        reaches_store = failures.pop(_NO_STORE, None) is None
        call_address = (address[0], address[1] - self.PORT_OFFSET)
        self._loads.receive(sender, sequence, loads, call_address, reaches_store)
        self._health.receive(sender, str(data_centre), failures)

    def notify_change(self) -> None:
        """Send the loads in the next round, without waiting for the keepalive interval."""
        self._changed.set()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        while True:
            wait_s = self._send_round()
            await self._wait_for_change(wait_s)
            self._changed.clear()
            await asyncio.sleep(self._settings.min_interval_s)
            self.receive()

    async def _wait_for_change(self, seconds: float) -> None:
        """Wait for a change of the loads or a timeout, and receive messages meanwhile."""
        end_s = self._clock.now() + seconds
        while (remaining_s := end_s - self._clock.now()) > 0 and not self._changed.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, self._settings.poll_interval_s)):
                    await self._changed.wait()
            self.receive()

    def _send_round(self) -> float:
        """Send the loads to the gateways that are due; return the seconds until the next round."""
        running = {name: load for name, load in self._running().items() if load[0]}
        counts = self._health.report()
        reaches_store = self._reaches_store()
        if (running, reaches_store) != self._current_state:
            self._current_state = (running, reaches_store)
            self._version += 1
        settings = self._settings
        now = self._clock.now()
        # Shortens the interval, as messages may be lost and may be sent a round late.
        interval_s = 0.9 * (
            settings.keepalive_interval_s
            if running or counts
            else settings.idle_keepalive_interval_s
        )
        never = _LastMessage(-math.inf, -1)
        last_messages = {
            address: self._last_messages.get(address, never) for address in self._addresses()
        }
        due = [
            address
            for address, last in last_messages.items()
            if last.version != self._version or now - last.sent_s >= interval_s
        ]
        due.sort(key=lambda address: last_messages[address].sent_s)
        chosen = due[: settings.fan_out]
        if chosen:
            self._sequence += 1
            if not reaches_store:
                counts = {**counts, _NO_STORE: (1.0, 0.0)}
            data = msgpack.packb([self._name, self._data_centre, self._sequence, running, counts])
            for address in chosen:
                last_messages[address] = _LastMessage(now, self._version)
                with contextlib.suppress(OSError):
                    self._socket.sendto(data, (address[0], address[1] + self.PORT_OFFSET))
        # Drops gateways that have left.
        self._last_messages = last_messages
        if len(due) > len(chosen):
            return 0.0
        oldest_s = min((last.sent_s for last in last_messages.values()), default=now)
        return max(0.0, oldest_s + interval_s - now) or settings.min_interval_s
