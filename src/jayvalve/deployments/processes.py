"""A deployment as separate processes on loopback, which a test can kill, pause and stop."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import zipfile
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPError

from jayvalve.deployments.definitions import Deployment, inventory_document
from jayvalve.deployments.in_process import publish_document
from jayvalve.errors import InternalError

__all__ = ["PortBlock", "ProcessDeployment"]

LOOPBACK = "127.0.0.1"
# A deployment of a dozen processes takes about 3 s to start on an idle machine.
READY_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 2.0


# Below the range that Linux uses for outgoing connections (32768 to 60999): otherwise one of them
# could take a port after it is selected here and before a process binds it. The tests assign ports
# from 20000 on to single processes.
PORT_RANGE = (12_000, 20_000)
BLOCK_PORTS = 100


class PortBlock:
    """Block of loopback ports that no other deployment on this machine uses.

    The first port of the block stays bound and marks the others as taken. If each deployment
    selected single free ports, one could take a port that another had selected but not bound yet.
    """

    def __init__(self) -> None:
        first, last = PORT_RANGE
        bases = list(range(first, last, BLOCK_PORTS))
        random.shuffle(bases)
        for base in bases:
            reservation = socket.socket()
            try:
                reservation.bind((LOOPBACK, base))
            except OSError:
                reservation.close()
                continue
            self._reservation = reservation
            self._next = base + 1
            self._end = base + BLOCK_PORTS
            return
        raise InternalError("no free block of ports on loopback")

    def take(self) -> int:
        """Return a port of the block that is free now."""
        while self._next < self._end:
            port, self._next = self._next, self._next + 1
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((LOOPBACK, port))
                return port
        raise InternalError("all ports of the block are used")

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()


def jayvalve_command() -> list[str]:
    """Return the command that starts jayvalve.

    It uses the single-file build if this process runs from it, otherwise the installed package.
    """
    program = pathlib.Path(sys.argv[0])
    if program.is_file() and zipfile.is_zipfile(program):
        return [sys.executable, str(program.resolve())]
    return [sys.executable, "-m", "jayvalve"]


@attrs.define
class _Process:
    """One process: its command line, its log file and, once it was started, its handle."""

    name: str
    arguments: list[str]
    log_path: pathlib.Path
    handle: subprocess.Popen[bytes] | None = None


class ProcessDeployment:
    """Starts and stops the processes of a deployment by name.

    The process of a stand-in is named ``standin-log`` or ``standin-`` and the name of its endpoint.

    Args:
        deployment: Deployment to run.
        directory: Directory for settings and log files.
        settings: Settings that are added to those of every entry and sidecar.
        standin_settings: Settings that are added to those of single stand-ins, by endpoint name or
            ``log``.
    """

    def __init__(
        self,
        deployment: Deployment,
        directory: pathlib.Path,
        settings: dict[str, Any] | None = None,
        standin_settings: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        self._deployment = deployment
        self._directory = directory
        self._extra_settings = settings or {}
        self._standin_settings = standin_settings or {}
        self._processes: dict[str, _Process] = {}
        self._peer: dict[str, str] = {}
        self._http: dict[str, str] = {}
        self._standin_urls: dict[str, str] = {}
        self._ports = PortBlock()
        self._prepare_processes()

    @property
    def ports(self) -> PortBlock:
        """Block of ports reserved for this deployment."""
        return self._ports

    @property
    def deployment(self) -> Deployment:
        """Deployment that is run."""
        return self._deployment

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries."""
        return [name for name, _ in self._deployment.entries]

    @property
    def sidecar_names(self) -> list[str]:
        """Names of the sidecars."""
        return [f"sidecar-{plan.name}" for plan in self._deployment.endpoints]

    @property
    def log_url(self) -> str:
        """URL of the log stand-in."""
        return self._standin_urls["log"]

    def url(self, name: str) -> str:
        """Return the HTTP base URL of an entry or sidecar."""
        return f"http://{self._http[name]}"

    def peer_address(self, name: str) -> str:
        """Return the peer address of an entry or sidecar."""
        return self._peer[name]

    def standin_url(self, name: str) -> str:
        """Return the URL of a stand-in: ``log`` or the name of an endpoint."""
        return self._standin_urls[name]

    def document(self) -> dict[str, Any]:
        """Return the configuration document with all endpoints."""
        addresses = {
            plan.name: self._peer[f"sidecar-{plan.name}"] for plan in self._deployment.endpoints
        }
        return inventory_document(self._deployment, addresses)

    async def start(self) -> None:
        """Start all processes, publish the inventory and wait until all entries are ready."""
        for name in list(self._processes):
            self.spawn(name)
        standins = ["log", *(plan.name for plan in self._deployment.endpoints)]
        await asyncio.gather(*(self._wait_standin(name) for name in standins))
        await publish_document(self.log_url, self.document(), 0, "demo")
        await asyncio.gather(*(self.wait_ready(name) for name in self.entry_names))

    def spawn(self, name: str) -> None:
        """Start a process that is not running."""
        process = self._processes[name]
        with process.log_path.open("ab") as log:
            process.handle = subprocess.Popen(
                process.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        self._signal(name, signal.SIGKILL)
        self._require_handle(name).wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._signal(name, signal.SIGCONT)

    async def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        self._signal(name, signal.SIGTERM)
        return await asyncio.to_thread(self._require_handle(name).wait, STOP_TIMEOUT_S)

    def log_text(self, name: str) -> str:
        """Return the output that a process has written so far."""
        return self._processes[name].log_path.read_text(encoding="utf-8", errors="replace")

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status document of an entry or sidecar."""
        response = await AsyncHTTPClient().fetch(
            f"{self.url(name)}/status", request_timeout=REQUEST_TIMEOUT_S
        )
        return json.loads(response.body)

    async def set_fault(self, standin: str, **fault: Any) -> None:
        """Set a fault of a stand-in: ``log`` or the name of an endpoint.

        The keyword arguments are the body of its ``POST /faults``.
        """
        await AsyncHTTPClient().fetch(
            f"{self.standin_url(standin)}/faults",
            method="POST",
            body=json.dumps(fault),
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry sees all endpoints as live and has an epoch."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(name):
                self._check_running(name)
                await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Kill all processes that this object started and release its ports."""
        running = [item for item in self._processes.values() if item.handle is not None]
        for process in running:
            if process.handle.poll() is None:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.kill()
        for process in running:
            process.handle.wait()
        self._ports.close()

    def _prepare_processes(self) -> None:
        """Assign the addresses, write the settings files and register all processes."""
        sidecars, entries = self.sidecar_names, self.entry_names
        standins = ["log", *(plan.name for plan in self._deployment.endpoints)]
        take = self._ports.take
        for name in sidecars + entries:
            self._peer[name] = f"{LOOPBACK}:{take()}"
            self._http[name] = f"{LOOPBACK}:{take()}"
        for name in standins:
            self._standin_urls[name] = f"http://{LOOPBACK}:{take()}"
        self._add_standin("log", "log", {})
        for plan in self._deployment.endpoints:
            self._add_standin(plan.name, plan.standin, plan.standin_config())
            self._add_instance(
                "sidecar",
                f"sidecar-{plan.name}",
                plan.data_centre,
                endpoint={
                    "name": plan.name,
                    "adapter": plan.adapter,
                    "url": self._standin_urls[plan.name],
                    "max_running": 16,
                },
            )
        for name, centre in self._deployment.entries:
            self._add_instance("entry", name, centre)

    def _add_standin(self, name: str, kind: str, config: dict[str, Any]) -> None:
        port = int(self._standin_urls[name].rsplit(":", 1)[1])
        settings = {**config, **self._standin_settings.get(name, {}), "port": port}
        path = self._write_settings(f"standin-{name}", settings)
        self._add(f"standin-{name}", ["standin", kind, "--config", str(path)])

    def _add_instance(self, role: str, name: str, centre: str, **extra: Any) -> None:
        settings = {
            "instance": name,
            "data_centre": centre,
            "peer_address": self._peer[name],
            "http_address": self._http[name],
            "seeds": [self._peer[entry] for entry in self.entry_names if entry != name],
            "log": {"url": self.log_url},
            "balancer_delay_seconds": 0.5,
            **self._extra_settings,
            **extra,
        }
        self._add(name, [role, "--config", str(self._write_settings(name, settings))])

    def _write_settings(self, name: str, settings: dict[str, Any]) -> pathlib.Path:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def _add(self, name: str, arguments: list[str]) -> None:
        command = [*jayvalve_command(), *arguments]
        self._processes[name] = _Process(name, command, self._directory / f"{name}.log")

    def _require_handle(self, name: str) -> subprocess.Popen[bytes]:
        handle = self._processes[name].handle
        if handle is None:
            raise InternalError(f"process {name} was not started")
        return handle

    def _signal(self, name: str, number: int) -> None:
        self._require_handle(name).send_signal(number)

    def _check_running(self, name: str) -> None:
        if self._require_handle(name).poll() is not None:
            raise InternalError(f"process {name} ended early: {self.log_text(name)[-2000:]}")

    async def _wait_standin(self, name: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while "ready on" not in self.log_text(f"standin-{name}"):
                self._check_running(f"standin-{name}")
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, name: str) -> bool:
        try:
            status = await self.status(name)
        except (OSError, HTTPError):
            return False
        live = [item for item in status["endpoints"] if item["state"] == "live"]
        return status["epoch"] is not None and len(live) == len(self._deployment.endpoints)
