"""A gateway process on loopback, and crowds of abusive clients at its ports."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import socket
import sys
import tempfile

import attrs

from jayvalve.standins.platform_engine import PlatformEngine, PlatformEngineSettings
from jayvalve.standins.platform_store import PlatformStore, PlatformStoreSettings
from tests.platform_support import configuration, request
from tests.ports import HOST, free_port

__all__ = [
    "FILE_DESCRIPTORS",
    "MIB",
    "Gateway",
    "hold",
    "pieces",
    "request_head",
    "run_crowd",
    "run_gateway",
    "wait_status",
]

ROOT = pathlib.Path(__file__).parents[2]
MIB = 1024 * 1024
FILE_DESCRIPTORS = 1000
CROWD_S = 3.0
READY_S = 15.0


def request_head(method="POST", path="/status/", **headers):
    lines = {
        "Host": "shop.example",
        "X-Jayvalve-Attempt-Id": "crowd",
        "X-Jayvalve-Deadline-Ms": "3000",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode()


def pieces(data, size=64 * 1024):
    view = memoryview(data)
    return (view[start : start + size] for start in range(0, len(data), size))


@attrs.define
class Gateway:
    """A gateway process and what the test knows of it."""

    process: asyncio.subprocess.Process
    port: int
    peer_port: int
    readiness_port: int
    control_port: int
    most_descriptors: int = 0

    @property
    def peak_bytes(self):
        """Peak resident size of the process."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * 1024

    async def watch_descriptors(self):
        """Record the number of open descriptors until cancelled."""
        while True:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.05)


async def _start_engines(stack):
    entries = {}
    for name, service in (("tool-0", "tools"), ("model-0", "models")):
        streaming = service == "models"
        settings = PlatformEngineSettings(
            name, streaming=streaming, work_ms=10.0 if streaming else 50.0
        )
        engine = PlatformEngine(settings)
        port = await engine.start()
        stack.push_async_callback(engine.stop)
        entries[name] = engine.entry(service, f"{HOST}:{port}")
    return entries


@contextlib.asynccontextmanager
async def run_gateway(memory_mb, margin_mb, file_descriptors=FILE_DESCRIPTORS, engines=None):
    """Run a store, engines that take some time, and a gateway process that is ready.

    If entries of engines are given, those are used instead.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = PlatformStore(PlatformStoreSettings(parts=2))
        store_port = await store.start()
        stack.push_async_callback(store.stop)
        store.put("keyed.op", "config", configuration())
        entries = await _start_engines(stack) if engines is None else engines
        for name, entry in entries.items():
            store.put("keyed.servers", name, entry)
        port, readiness_port, peer_port = free_port(), free_port(), free_port()
        control_port = free_port()
        settings = {
            "node_name": "gateway-0",
            "zone": "zone-a",
            "ip": HOST,
            "listen_addresses": {
                "frontend": f"{HOST}:{port}",
                "ready": f"{HOST}:{readiness_port}",
                "control_plane": f"{HOST}:{control_port}",
            },
            "internal_ports": [peer_port, 0],
            "limits": {
                "memory_mb": memory_mb,
                "memory_margin_mb": margin_mb,
                "file_descriptors": file_descriptors,
            },
            "bounds": {"drain_ms": 2000, "grace_s": 4},
            "platform": {
                "address": f"{HOST}:{store_port}",
                "parts": 2,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
                "retention_s": 300,
            },
        }
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        path = folder / "gateway.json"
        path.write_text(json.dumps(settings))
        log = stack.enter_context((folder / "gateway.log").open("wb"))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "gateway.py"),
            env={**os.environ, "JAYVALVE_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        stack.push_async_callback(_kill, process)
        await wait_status(readiness_port, "/api/readiness", READY_S)
        yield Gateway(process, port, peer_port, readiness_port, control_port)


async def _kill(process):
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


async def wait_status(port, path, seconds, body=None, headers=None):
    """Send a request on new connections until one is answered with status 200; return its id."""
    async with asyncio.timeout(seconds):
        for number in itertools.count():
            attempt = f"after-{path}-{number}"
            with contextlib.suppress(OSError):
                answer = await request(port, path, attempt=attempt, body=body, headers=headers)
                if answer.status == 200 and answer.whole:
                    break
            await asyncio.sleep(0.1)
    return attempt


async def _discard(sock):
    while await asyncio.get_running_loop().sock_recv(sock, 65_536):
        pass


async def _run_client(port, script, reads):
    """Send what script() yields, and begin again on a new connection whenever one has ended.

    A number that the script yields is a pause in seconds.
    """
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            # A caller that reads nothing must not leave the answers in its own buffer.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await loop.sock_connect(sock, (HOST, port))
            reader = asyncio.ensure_future(_discard(sock)) if reads else None
            try:
                for piece in script():
                    if isinstance(piece, float):
                        await asyncio.sleep(piece)
                    else:
                        await loop.sock_sendall(sock, piece)
            finally:
                if reader is not None:
                    reader.cancel()
                    await asyncio.gather(reader, return_exceptions=True)
        await asyncio.sleep(0.05)


async def run_crowd(gateway, port, size, script, reads, seconds=CROWD_S):
    """Run clients that send what script() yields for a time, and record open descriptors."""
    clients = [asyncio.ensure_future(_run_client(port, script, reads)) for _ in range(size)]
    watch = asyncio.ensure_future(gateway.watch_descriptors())
    await asyncio.sleep(seconds)
    for task in (*clients, watch):
        task.cancel()
    await asyncio.gather(*clients, watch, return_exceptions=True)


def hold():
    """Yield pauses without end, so that the connection stays open."""
    return itertools.repeat(1.0)
