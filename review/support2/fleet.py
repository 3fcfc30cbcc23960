"""A small deployment: the store, engines, and gateways started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tomllib

from .engine import Engine
from .http import Channel
from .store import CALL_BYTES, PARTS, RECORD_BYTES, Store

ROOT = pathlib.Path(__file__).parents[2]
BEAT_S = 1.2
# Outside the usual range of ephemeral ports.
PORTS = range(20_000, 32_000)


class CannotRunError(Exception):
    """The case could not run."""


def _free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count: int) -> int:
    """Return the first of some consecutive free ports."""
    for _ in range(1000):
        first = random.randrange(PORTS.start, PORTS.stop - count)
        if all(_free(first + each) for each in range(count)):
            return first
    raise CannotRunError("no free ports")


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, folder: pathlib.Path, store: Store) -> None:
        self.name = name
        self.port = free_ports(4)
        self.ready_port = self.port + 1
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._store = store
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict:
        """Return the settings, with the values of a small deployment."""
        return {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen_addresses": {
                "frontend": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internal_ports": [self.port + 2, self.port + 3],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.717,
                "cores": 3,
                "memory_mb": 170,
                "file_descriptors": 8200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "heartbeat_ms": 1200,
            "bounds": {"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000},
            "platform": {
                "address": f"127.0.0.1:{self._store.port}",
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": PARTS,
                "append_ms": 2.0,
                "part_mb_per_s": 20.0,
                "read_mb_per_s": 80.0,
                "record_bytes": RECORD_BYTES,
                "call_bytes": CALL_BYTES,
                "retention_s": self._store.retention_s,
                "partition_mb": 200,
                "min_ttl_ms": 1000,
            },
        }

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["JAYVALVE_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until the gateway reports itself ready."""
        for _ in range(int(seconds / 0.1)):
            channel = Channel(self.ready_port)
            answer = await channel.ask("GET", "/api/readiness", {"Host": "x"}, timeout_s=1.0)
            channel.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")


class Fleet:
    """Store, engines and gateways."""

    def __init__(self, folder: pathlib.Path, retention_s: float = 300.0) -> None:
        self.store = Store(retention_s)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self._folder = folder
        self._beats: asyncio.Task[None] | None = None

    async def start(self, configuration: dict, engines: list[Engine], gateways: int) -> None:
        """Start everything and wait until the gateways are ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", configuration)
        for engine in engines:
            await engine.start()
            self.engines.append(engine)
            self.store.put("keyed.servers", engine.name, engine.entry())
        self._beats = asyncio.ensure_future(self._beat())
        for number in range(1, gateways + 1):
            gateway = Gateway(f"edge-z1-{number}", self._folder, self.store)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # The gateways hear of each other within a second or two.
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            await gateway.kill()
        if self._beats is not None:
            self._beats.cancel()
        for engine in self.engines:
            engine.stop()
        self.store.stop()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for engine in self.engines:
                self.store.put("keyed.servers", engine.name, engine.entry())


def configuration(routes: list[dict], services: list[dict], version: int = 1) -> dict:
    """Return a configuration as the pages show it."""
    usual = {
        "host": "shop.example",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 0,
        "max_attempts": 1,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


MODELS = {
    "name": "model-pool",
    "health_path": "/health",
    "connection_limit": 150,
    "protocol": "h1",
    "tls": False,
    "engine": {"slots": 8, "kv_cache_tokens": 90990, "chunk_tokens": 13},
}
TOOLS = {
    "name": "dispatch-app",
    "health_path": "/health",
    "connection_limit": 110,
    "protocol": "h1",
    "tls": False,
}
