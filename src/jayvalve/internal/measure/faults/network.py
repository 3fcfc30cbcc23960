"""Simulated TCP connections between hosts, with faults of links and connections."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from tornado.iostream import StreamClosedError

from jayvalve.internal.measure.faults.virtual_time import (
    GLOBAL,
    SimulatedHost,
    VirtualTimeLoop,
    current_host,
)

__all__ = ["Network", "SimulatedStream"]

ONE_WAY_DELAY_S = 0.0005
MAX_JITTER_S = 0.0005

Accept = Callable[["SimulatedStream", Any], Coroutine[Any, Any, None]]


@attrs.define(eq=False)
class _Pipe:
    """One direction of a connection; bytes arrive in order or not at all.

    Bytes sent over a cut link or a stalled connection arrive when it works again, as TCP
    retransmits them. An infinite stalled_until_s means that the connection stalls forever.
    """

    network: "Network"
    source: SimulatedHost
    target: SimulatedHost
    random: random.Random
    buffer: bytearray = attrs.field(factory=bytearray)
    in_flight: deque[bytes | None] = attrs.field(factory=deque)
    ended: bool = False
    stalled_until_s: float = 0.0
    last_arrival_s: float = 0.0
    waiter: "asyncio.Future[None] | None" = None

    def send(self, data: bytes | None) -> None:
        """Send bytes, or None for the end of the stream."""
        loop = self.network.loop
        delay_s = ONE_WAY_DELAY_S + self.random.random() * MAX_JITTER_S
        ready_s = max(
            loop.time() + delay_s + self._extra_delay_s(),
            self.network.blocked_until_s(self.source, self.target),
            self.stalled_until_s,
            self.last_arrival_s,
        )
        if ready_s == float("inf"):
            return
        self.last_arrival_s = ready_s
        self.in_flight.append(data)
        loop.call_at(ready_s, self._arrive, context=GLOBAL.copy())

    def _extra_delay_s(self) -> float:
        delay_s = self.network.extra_delay_s(self.source, self.target)
        return delay_s * self.random.random() if delay_s else 0.0

    def _arrive(self) -> None:
        undeliverable_until_s = max(
            self.network.blocked_until_s(self.source, self.target), self.stalled_until_s
        )
        now_s = self.network.loop.time()
        if undeliverable_until_s > now_s:
            if undeliverable_until_s < float("inf"):
                self.network.loop.call_at(
                    undeliverable_until_s, self._arrive, context=GLOBAL.copy()
                )
            return
        # Timers with equal times may fire in any order; the queue keeps the byte order.
        data = self.in_flight.popleft()
        if data is None:
            self.ended = True
        else:
            self.buffer += data
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class SimulatedStream:
    """One end of a connection, with the methods of tornado's IOStream that the transport uses."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._closed = False
        self._number = incoming.network.loop.next_number()

    def __hash__(self) -> int:
        # The server closes the streams of a set in hash order, which must be the same in each run.
        return self._number

    def __eq__(self, other: object) -> bool:
        return self is other

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts at the two ends."""
        return frozenset({self._incoming.source.name, self._incoming.target.name})

    @property
    def ends(self) -> tuple[SimulatedHost, SimulatedHost]:
        """Hosts at the two ends."""
        return self._incoming.source, self._incoming.target

    def set_nodelay(self, value: bool) -> None:
        """Do nothing."""

    def closed(self) -> bool:
        """Return whether this end was closed or has read up to the end of the stream."""
        return self._closed or (self._incoming.ended and not self._incoming.buffer)

    def close(self) -> None:
        """Close this end; data that was sent earlier still arrives."""
        if not self._closed:
            self._closed = True
            self._outgoing.send(None)
            waiter = self._incoming.waiter
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def reset(self) -> None:
        """End the connection at both ends."""
        self._incoming.send(None)
        self._outgoing.send(None)

    def stall(self, until_s: float) -> None:
        """Deliver nothing in either direction until a time."""
        self._incoming.stalled_until_s = self._outgoing.stalled_until_s = until_s

    async def read_bytes(self, count: int, partial: bool = False) -> bytes:
        """Return the next count bytes, or with partial at least one and at most count bytes.

        Raises StreamClosedError if the stream is closed or ends first.
        """
        pipe = self._incoming
        while len(pipe.buffer) < (1 if partial else count):
            if self._closed or pipe.ended:
                raise StreamClosedError()
            pipe.waiter = asyncio.get_running_loop().create_future()
            await pipe.waiter
        if self._closed:
            raise StreamClosedError()
        data = bytes(pipe.buffer[:count])
        del pipe.buffer[:count]
        return data

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Send bytes; the future is already done, as the simulated buffer is unbounded.

        Raises StreamClosedError if the stream is closed.
        """
        if self.closed():
            raise StreamClosedError()
        self._outgoing.send(data)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def writing(self) -> bool:
        """Return that no written bytes wait, as the simulated buffer is unbounded."""
        return False

    def write_to_fd(self, data: memoryview) -> int:
        """Return the size of data; tornado's method passes it to the kernel."""
        return len(data)

    def _read_to_buffer(self) -> int | None:
        """Read nothing; the limits of a port watch this method of the library's streams."""
        return 0


class Network:
    """Listening hosts by address, and the state of the links between hosts."""

    def __init__(self, loop: VirtualTimeLoop, seed: int) -> None:
        self.loop = loop
        self._seed = seed
        self._connections: Counter[tuple[str, str]] = Counter()
        self._listeners: dict[str, tuple[SimulatedHost, Accept]] = {}
        self._blocked_links: dict[tuple[str, str], float] = {}
        self._slow_links: dict[tuple[str, str], tuple[float, float]] = {}
        self._streams: list[SimulatedStream] = []

    def listen(self, address: str, host: SimulatedHost, accept: Accept) -> None:
        """Accept connections to an address on a host; accept serves each connection."""
        self._listeners[address] = host, accept

    def close_listener(self, address: str, host: SimulatedHost) -> None:
        """Stop listening at an address, unless another host has taken it over."""
        if address in self._listeners and self._listeners[address][0] is host:
            del self._listeners[address]

    def block(self, source: str, target: str, until_s: float) -> None:
        """Cut the link in one direction until a time."""
        self._blocked_links[source, target] = max(
            until_s, self._blocked_links.get((source, target), 0.0)
        )

    def slow(self, source: str, target: str, delay_s: float, until_s: float) -> None:
        """Add a delay to one direction of a link until a time."""
        self._slow_links[source, target] = delay_s, until_s

    def heal(self) -> None:
        """End all faults of links; a stalled connection stays stalled until its own end, if any."""
        self._blocked_links.clear()
        self._slow_links.clear()

    def blocked_until_s(self, source: SimulatedHost, target: SimulatedHost) -> float:
        """Return the time from which the link carries data in this direction."""
        return self._blocked_links.get((source.name, target.name), 0.0)

    def extra_delay_s(self, source: SimulatedHost, target: SimulatedHost) -> float:
        """Return the maximum delay that a slow link adds, in seconds."""
        delay_s, until_s = self._slow_links.get((source.name, target.name), (0.0, 0.0))
        return delay_s if self.loop.time() < until_s else 0.0

    def streams_between(self, one: str, other: str) -> list[SimulatedStream]:
        """Return the open connections between two hosts."""
        self._streams = [stream for stream in self._streams if not stream.closed()]
        return [stream for stream in self._streams if stream.hosts == {one, other}]

    def host_ended(self, host: SimulatedHost) -> None:
        """Reset the connections and remove the listeners of an ended process.

        The kernel of its machine does so; do not call this if the machine itself has failed.
        """
        for stream in self._streams:
            if host in stream.ends:
                stream.reset()
        for address, (listener, _) in list(self._listeners.items()):
            if listener is host:
                del self._listeners[address]

    async def connect(self, address: str) -> SimulatedStream:
        """Connect from the current host.

        Raises ConnectionRefusedError if no host listens at the address.
        """
        source = current_host()
        if source is None:
            raise RuntimeError("connect must be called on a simulated host")
        await asyncio.sleep(ONE_WAY_DELAY_S)
        found = self._listeners.get(address)
        if found is not None:
            target, _ = found
            links = (self.blocked_until_s(source, target), self.blocked_until_s(target, source))
            while max(links) > self.loop.time():
                await asyncio.sleep(max(links) - self.loop.time())
                links = (self.blocked_until_s(source, target), self.blocked_until_s(target, source))
        await asyncio.sleep(ONE_WAY_DELAY_S)
        found = self._listeners.get(address)
        if found is None:
            raise ConnectionRefusedError(f"no host listens at {address}")
        target, accept = found
        if not target.alive:
            # The machine has failed, so there is no response.
            await asyncio.sleep(60.0)
        forward = self._pipe(source, target)
        backward = self._pipe(target, source)
        client = SimulatedStream(backward, forward)
        target.spawn(accept(SimulatedStream(forward, backward), (source.name, 0)))
        self._streams.append(client)
        return client

    def _pipe(self, source: SimulatedHost, target: SimulatedHost) -> _Pipe:
        # Each pipe has its own generator, so that delays do not depend on the order in which a
        # process closes its connections, which follows memory addresses.
        self._connections[source.name, target.name] += 1
        number = self._connections[source.name, target.name]
        name = f"pipe {self._seed} {source.name} {target.name} {number}"
        return _Pipe(self, source, target, random.Random(name))

    def client_class(self) -> type:
        """Return a replacement for tornado's TCPClient class."""
        network = self

        class SimulatedTCPClient:
            def __init__(self, resolver: Any = None) -> None:
                # Simulated hosts have no names, so nothing is looked up.
                pass

            async def connect(self, host: str, port: int, **options: Any) -> SimulatedStream:
                return await network.connect(f"{host}:{port}")

        return SimulatedTCPClient
