"""TCP connections between simulated hosts, with the faults of links and connections."""

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

ONE_WAY_S = 0.0005
JITTER_S = 0.0005

Accept = Callable[["SimulatedStream", Any], Coroutine[Any, Any, None]]


@attrs.define(eq=False)
class _Pipe:
    """Bytes in one direction of a connection; they arrive in order or not at all.

    Bytes sent over a cut link or a stalled connection arrive when it works again, as TCP
    repeats them. stalled_until_s of infinity is a connection that went silent for good.
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
    waiting: "asyncio.Future[None] | None" = None

    def send(self, data: bytes | None) -> None:
        """Send bytes, or the end of the stream as None."""
        loop = self.network.loop
        delay_s = ONE_WAY_S + self.random.random() * JITTER_S
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
        held_s = max(self.network.blocked_until_s(self.source, self.target), self.stalled_until_s)
        now_s = self.network.loop.time()
        if held_s > now_s:
            if held_s < float("inf"):
                self.network.loop.call_at(held_s, self._arrive, context=GLOBAL.copy())
            return
        # Timers of equal times may fire in any order; the bytes keep theirs.
        data = self.in_flight.popleft()
        if data is None:
            self.ended = True
        else:
            self.buffer += data
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)


class SimulatedStream:
    """One end of a connection, with the methods of tornado's IOStream that are used."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._closed = False
        self._number = incoming.network.loop.next_number()

    def __hash__(self) -> int:
        # The server closes the streams of a set in an order that must repeat.
        return self._number

    def __eq__(self, other: object) -> bool:
        return self is other

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts at both ends."""
        return frozenset({self._incoming.source.name, self._incoming.target.name})

    @property
    def ends(self) -> tuple[SimulatedHost, SimulatedHost]:
        """The hosts at both ends."""
        return self._incoming.source, self._incoming.target

    def set_nodelay(self, value: bool) -> None:
        """Do nothing."""

    def closed(self) -> bool:
        """Return whether this end was closed or has seen the end of the stream."""
        return self._closed or (self._incoming.ended and not self._incoming.buffer)

    def close(self) -> None:
        """Close this end; what was sent before still arrives."""
        if not self._closed:
            self._closed = True
            self._outgoing.send(None)
            waiting = self._incoming.waiting
            if waiting is not None and not waiting.done():
                waiting.set_result(None)

    def reset(self) -> None:
        """End the connection at both ends."""
        self._incoming.send(None)
        self._outgoing.send(None)

    def stall(self, until_s: float) -> None:
        """Deliver nothing in either direction until a time."""
        self._incoming.stalled_until_s = self._outgoing.stalled_until_s = until_s

    async def read_bytes(self, count: int, partial: bool = False) -> bytes:
        """Return the next count bytes; with partial, what has arrived up to count."""
        pipe = self._incoming
        while len(pipe.buffer) < (1 if partial else count):
            if self._closed or pipe.ended:
                raise StreamClosedError()
            pipe.waiting = asyncio.get_running_loop().create_future()
            await pipe.waiting
        if self._closed:
            raise StreamClosedError()
        data = bytes(pipe.buffer[:count])
        del pipe.buffer[:count]
        return data

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Send bytes; the future is done at once, as the simulated buffer has no bound."""
        if self.closed():
            raise StreamClosedError()
        self._outgoing.send(data)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written


class Network:
    """Hosts that listen at addresses and the state of the links between them."""

    def __init__(self, loop: VirtualTimeLoop, seed: int) -> None:
        self.loop = loop
        self._seed = seed
        self._connections: Counter[tuple[str, str]] = Counter()
        self._listeners: dict[str, tuple[SimulatedHost, Accept]] = {}
        self._blocked: dict[tuple[str, str], float] = {}
        self._slow: dict[tuple[str, str], tuple[float, float]] = {}
        self._streams: list[SimulatedStream] = []

    def listen(self, address: str, host: SimulatedHost, accept: Accept) -> None:
        """Accept connections to an address on a host."""
        self._listeners[address] = host, accept

    def close_listener(self, address: str, host: SimulatedHost) -> None:
        """Refuse connections to an address, unless another host listens there now."""
        if address in self._listeners and self._listeners[address][0] is host:
            del self._listeners[address]

    def block(self, source: str, target: str, until_s: float) -> None:
        """Cut the link in one direction until a time."""
        self._blocked[source, target] = max(until_s, self._blocked.get((source, target), 0.0))

    def slow(self, source: str, target: str, delay_s: float, until_s: float) -> None:
        """Add a delay to one direction of a link until a time."""
        self._slow[source, target] = delay_s, until_s

    def heal(self) -> None:
        """Make all links work; connections that went silent for good stay so."""
        self._blocked.clear()
        self._slow.clear()

    def blocked_until_s(self, source: SimulatedHost, target: SimulatedHost) -> float:
        """Return when the link carries data again."""
        return self._blocked.get((source.name, target.name), 0.0)

    def extra_delay_s(self, source: SimulatedHost, target: SimulatedHost) -> float:
        """Return the most that a slow link adds to a delay."""
        delay_s, until_s = self._slow.get((source.name, target.name), (0.0, 0.0))
        return delay_s if self.loop.time() < until_s else 0.0

    def streams_between(self, one: str, other: str) -> list[SimulatedStream]:
        """Return the open connections between two hosts."""
        self._streams = [stream for stream in self._streams if not stream.closed()]
        return [stream for stream in self._streams if stream.hosts == {one, other}]

    def host_ended(self, host: SimulatedHost) -> None:
        """End the connections of a host whose machine still runs: its kernel resets them."""
        for stream in self._streams:
            if host in stream.ends:
                stream.reset()
        for address, (listener, _) in list(self._listeners.items()):
            if listener is host:
                del self._listeners[address]

    async def connect(self, address: str) -> SimulatedStream:
        """Connect from the current host; OSError if nobody listens."""
        source = current_host()
        if source is None:
            raise RuntimeError("only a host can connect")
        await asyncio.sleep(ONE_WAY_S)
        found = self._listeners.get(address)
        if found is not None:
            target, _ = found
            links = (self.blocked_until_s(source, target), self.blocked_until_s(target, source))
            while max(links) > self.loop.time():
                await asyncio.sleep(max(links) - self.loop.time())
                links = (self.blocked_until_s(source, target), self.blocked_until_s(target, source))
        await asyncio.sleep(ONE_WAY_S)
        found = self._listeners.get(address)
        if found is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        target, accept = found
        if not target.alive:
            # The machine is gone, so nothing answers.
            await asyncio.sleep(60.0)
        forward = self._pipe(source, target)
        backward = self._pipe(target, source)
        client = SimulatedStream(backward, forward)
        target.spawn(accept(SimulatedStream(forward, backward), source.name))
        self._streams.append(client)
        return client

    def _pipe(self, source: SimulatedHost, target: SimulatedHost) -> _Pipe:
        # Each pipe draws its own delays, so that they do not depend on the order in which a
        # process closes its connections; that order follows memory addresses.
        self._connections[source.name, target.name] += 1
        number = self._connections[source.name, target.name]
        name = f"pipe {self._seed} {source.name} {target.name} {number}"
        return _Pipe(self, source, target, random.Random(name))

    def client_class(self) -> type:
        """Return a stand-in for tornado's TCPClient."""
        network = self

        class SimulatedTCPClient:
            async def connect(self, host: str, port: int, **options: Any) -> SimulatedStream:
                return await network.connect(f"{host}:{port}")

        return SimulatedTCPClient
