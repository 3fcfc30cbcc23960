"""Runs minimal members in one process: connections, membership and heartbeats only.

The command line gives the instance name and the number of members. Each line on standard input is
a JSON object: "members" starts the detectors with that member list, "connect" opens connections to
those addresses, and an empty object does neither. Each is answered with the process's figures as
one line of JSON.
"""

import asyncio
import contextlib
import json
import sys
import time
from typing import Any

import attrs
import psutil
from loguru import logger
from tornado.netutil import bind_sockets

from jayvalve.internal.membership import Detector, MembershipView
from jayvalve.internal.membership.member import Member
from jayvalve.internal.timing import Clock
from jayvalve.internal.transport import HandlerTable, PeerPool, PeerServer
from jayvalve.internal.wire.messages import Hello

__all__ = ["main"]

LOOPBACK = "127.0.0.1"
DATA_CENTRES = 7
BACKLOG = 1024


class _MinimalMember:
    def __init__(self, instance: str, data_centre: str) -> None:
        self.sockets = bind_sockets(0, LOOPBACK, backlog=BACKLOG)
        address = f"{LOOPBACK}:{self.sockets[0].getsockname()[1]}"
        self.hello = Hello(instance, int(time.time() * 1000), "entry", data_centre, address)
        self.view = MembershipView(self.hello)
        clock = Clock()
        self.pool = PeerPool(self.hello, clock)
        self.detector = Detector(self.hello, self.view, self.pool, clock)
        handlers = HandlerTable()
        self.detector.register(handlers)
        self.server = PeerServer(self.hello, handlers)
        self.server.add_sockets(self.sockets)

    def load_member_list(self, members: list[list[Any]]) -> None:
        """Load a complete member list, as the platform provides it."""
        self.view.observe_list((Member(*fields) for fields in members), time.monotonic())


class _Process:
    def __init__(self, members: list[_MinimalMember]) -> None:
        self._members = members
        self._tasks: list[asyncio.Task[None]] = []

    async def handle_request(self, request: dict[str, Any]) -> dict[str, Any]:
        if "members" in request:
            for member in self._members:
                member.load_member_list(request["members"])
                self._tasks.append(asyncio.ensure_future(member.detector.run()))
        if "connect" in request:
            pool = self._members[0].pool
            await asyncio.gather(*(pool.connection(item) for item in request["connect"]))
        return self._figures()

    def _figures(self) -> dict[str, Any]:
        process = psutil.Process()
        times = process.cpu_times()
        return {
            "hellos": [list(attrs.astuple(m.hello))[:5] for m in self._members],
            "cpu_s": times.user + times.system,
            "memory_bytes": process.memory_info().rss,
            "sent_bytes": sum(m.detector.bytes_sent for m in self._members),
            "accepted": sum(m.server.connection_count for m in self._members),
            "live": [len(m.view.live()) for m in self._members],
            "at_s": time.monotonic(),
        }


async def _serve(instance: str, count: int) -> None:
    members = [
        _MinimalMember(f"{instance}-{number}", f"dc-{number % DATA_CENTRES}")
        for number in range(count)
    ]
    process = _Process(members)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await process.handle_request(json.loads(line))), flush=True)


def main() -> None:
    """Run until standard input ends."""
    logger.remove()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(sys.argv[1], int(sys.argv[2])))


if __name__ == "__main__":
    main()
