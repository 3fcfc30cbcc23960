"""Fleet of the soak test: store and engines in this process, gateways as separate processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

import attrs

from jayvalve.standins.platform_engine import PlatformEngine, PlatformEngineSettings
from jayvalve.standins.platform_store import PlatformStore, PlatformStoreSettings
from tests.platform_support import configuration, request
from tests.ports import HOST, free_port, free_port_pair
from tests.soak.proxy import LinkFault, Proxy

__all__ = ["Fleet", "GatewayNode"]

ROOT = pathlib.Path(__file__).parents[2]
STOP_GRACE_S = 4.0
START_TIMEOUT_S = 20.0
LOG_TAIL_CHARACTERS = 3000


@attrs.define(eq=False)
class GatewayNode:
    """One gateway process and its own link to the store.

    Attributes:
        paused: Whether the process is stopped by SIGSTOP.

    """

    name: str
    settings: pathlib.Path
    log: pathlib.Path
    port: int
    readiness_port: int
    store_link: Proxy
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    _log_start: int = 0
    _restart_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log.open("ab") as output:
            self._log_start = self.log.stat().st_size
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "gateway.py"),
                env={**os.environ, "JAYVALVE_NODE_FILE": str(self.settings)},
                stdout=output,
                stderr=output,
                # A parent that ignores SIGHUP, as nohup does, would pass that on to the process.
                preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
            )
        self.paused = False

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    def survives_sighup(self) -> bool:
        """Return whether the running process already ignores or handles SIGHUP."""
        if self.process is None or self.process.returncode is not None:
            return False
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        masks = dict(line.split(":\t", 1) for line in status.splitlines() if "\t" in line)
        bit = 1 << (signal.SIGHUP - 1)
        return any(int(masks[name], 16) & bit for name in ("SigIgn", "SigCgt"))

    async def restart(self, planned: bool) -> None:
        """Stop the process and start it again; do nothing if it is paused or was never started.

        A planned stop sends SIGTERM, and SIGKILL after STOP_GRACE_S; any other stop sends SIGKILL.
        """
        async with self._restart_lock:
            await self._restart(planned)

    async def _restart(self, planned: bool) -> None:
        if self.process is None or self.paused:
            return
        self.signal(signal.SIGTERM if planned else signal.SIGKILL)
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        await self.start()

    async def restart_if_ended_by_sighup(self) -> None:
        """Restart a process that SIGHUP ended before its first log line, as the platform does.

        The gateway cannot handle the signal while its interpreter is still starting. A gateway
        that ends after it has written a line is not restarted, so that the soak test reports it.
        """
        async with self._restart_lock:
            ended = self.process is not None and self.process.returncode == -signal.SIGHUP
            if ended and self.log.stat().st_size == self._log_start:
                await self.start()

    async def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def describe(self) -> str:
        """Return the name and state of the process."""
        code = None if self.process is None else self.process.returncode
        state = "runs" if code is None else f"ended with return code {code}"
        return f"{self.name} {state}{', paused' if self.paused else ''}"

    async def ready(self) -> bool:
        """Return whether the process reports itself ready."""
        try:
            async with asyncio.timeout(0.5):
                answer = await request(self.readiness_port, "/api/readiness", attempt="ready")
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


@attrs.define(eq=False)
class Fleet:
    """Store, engines and gateways of one soak run.

    Attributes:
        folder: Directory of the gateways' settings and logs.
        version: Version of the latest published configuration.

    """

    folder: pathlib.Path
    rng: random.Random
    store: PlatformStore = attrs.field(factory=lambda: PlatformStore(PlatformStoreSettings()))
    store_port: int = 0
    engines: dict[str, PlatformEngine] = attrs.field(factory=dict)
    engine_links: dict[str, Proxy] = attrs.field(factory=dict)
    gateways: list[GatewayNode] = attrs.field(factory=list)
    version: int = 1
    _stack: contextlib.AsyncExitStack = attrs.field(factory=contextlib.AsyncExitStack)

    async def start(self, gateways: int, models: int, tools: int) -> None:
        """Start store, engines and gateways, and wait until the gateways are ready.

        Raises:
            TimeoutError: the gateways are not ready after START_TIMEOUT_S.

        """
        self.store_port = await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        self.store.put("keyed.op", "config", configuration())
        for number in range(models):
            version = f"v{1 + number % 2}"
            await self._add_engine(f"model-{number}", "models", streaming=True, version=version)
        for number in range(tools):
            await self._add_engine(f"tool-{number}", "tools", streaming=False)
        for number in range(gateways):
            await self._add_gateway(f"gateway-{number}")
        if not await self.wait_ready(START_TIMEOUT_S):
            raise TimeoutError(f"not ready after {START_TIMEOUT_S} s: {self._describe_gateways()}")

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until all gateways are ready or the time is over; return whether they are ready.

        Meanwhile, restarts gateways that SIGHUP ended before their first log line.
        """
        try:
            async with asyncio.timeout(seconds):
                for node in self.gateways:
                    while not await node.ready():
                        await node.restart_if_ended_by_sighup()
                        await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True

    def _describe_gateways(self) -> str:
        """Return the states of the gateways and the ends of their logs."""
        return "\n".join(
            f"{node.describe()}\n{node.log.read_text(encoding='utf-8')[-LOG_TAIL_CHARACTERS:]}"
            for node in self.gateways
        )

    async def stop(self) -> None:
        """Stop everything that was started."""
        await self._stack.aclose()

    def publish(self) -> None:
        """Publish a configuration with a higher version."""
        self.version += self.rng.randrange(1, 4)
        self.store.put("keyed.op", "config", configuration(version=self.version))

    def announce(self, name: str, state: str) -> None:
        """Publish an engine's record with a state."""
        service = "models" if name.startswith("model") else "tools"
        address = f"{HOST}:{self.engine_links[name].port}"
        entry = self.engines[name].entry(service, address, state)
        self.store.put("keyed.servers", name, entry)

    def restart_engine(self, name: str) -> None:
        """Publish the next incarnation of an engine, which has the same id and address."""
        self.engines[name].begin_incarnation()
        self.announce(name, "ready")

    async def crash_engine(self, name: str, seconds: float) -> None:
        """End an engine: reset its connections and refuse new ones, then start it again."""
        link = self.engine_links[name]
        link.fault = LinkFault.REFUSE
        link.reset()
        await asyncio.sleep(seconds)
        link.fault = LinkFault.NONE
        self.restart_engine(name)

    async def _add_engine(
        self, name: str, service: str, streaming: bool, version: str = "v1"
    ) -> None:
        engine = PlatformEngine(
            PlatformEngineSettings(
                id=name,
                streaming=streaming,
                work_ms=10.0,
                version=version,
                names_version=streaming,
                seed=self.rng.randrange(1 << 30),
            )
        )
        port = await engine.start()
        self._stack.push_async_callback(engine.stop)
        link = Proxy((HOST, port))
        await link.start()
        self._stack.push_async_callback(link.stop)
        self.engines[name], self.engine_links[name] = engine, link
        self.announce(name, "ready")

    async def _add_gateway(self, name: str) -> None:
        link = Proxy((HOST, self.store_port))
        await link.start()
        self._stack.push_async_callback(link.stop)
        port, readiness_port = free_port(), free_port()
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, port, readiness_port, link.port)))
        log = self.folder / f"{name}.log"
        node = GatewayNode(name, path, log, port, readiness_port, link)
        await node.start()
        self._stack.push_async_callback(node.kill)
        self.gateways.append(node)

    @staticmethod
    def _settings(name: str, port: int, readiness_port: int, store_port: int) -> dict:
        return {
            "node_name": name,
            "zone": "zone-a",
            "ip": HOST,
            "listen_addresses": {
                "frontend": f"{HOST}:{port}",
                "ready": f"{HOST}:{readiness_port}",
            },
            "internal_ports": [free_port_pair(), 0],
            "limits": {"memory_mb": 170},
            "bounds": {"drain_ms": 2000, "grace_s": STOP_GRACE_S},
            "platform": {
                "address": f"{HOST}:{store_port}",
                "parts": 12,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
                "retention_s": 300,
            },
        }
