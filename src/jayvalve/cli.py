"""The ``jayvalve`` command line.

Each command imports the modules that implement it only when it runs: otherwise a stand-in or
sidecar would spend half of its start-up time on modules that it never uses.
"""

import asyncio
import contextlib
import pathlib
import sys
from typing import Any

import fire

from jayvalve.errors import InvalidRequestError, InvalidSettingsError, JayvalveError
from jayvalve.internal.lifecycle import Service, run_until_stopped
from jayvalve.internal.logging import configure_logging
from jayvalve.internal.operator.config_commands import ConfigCommands
from jayvalve.internal.operator.run_commands import (
    KeysCommands,
    ProgramsCommands,
    settle,
    status,
)
from jayvalve.internal.report.commands import ReportCommands
from jayvalve.internal.schema import parse_json
from jayvalve.internal.settings import Settings, load_settings

__all__ = ["Commands", "main"]

EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
# The single-file build omits these packages. Only the HTML burn report and the plots and curve fits
# of measurements need them.
OPTIONAL_PACKAGES = ("matplotlib", "numpy")


def _run_process(process_type: type, config: str) -> None:
    settings = load_settings(str(config))
    _configure_process_logging(settings)

    async def run() -> None:
        service: Service = process_type.from_config(settings)
        await run_until_stopped(service)

    asyncio.run(run())


def _configure_process_logging(settings: Settings) -> None:
    configure_logging(settings.instance, settings.logging.level, settings.logging.json)


class Commands:
    """Scheduler for agent programs in front of model engines and application services."""

    config = ConfigCommands()
    programs = ProgramsCommands()
    keys = KeysCommands()
    report = ReportCommands()
    status = staticmethod(status)
    settle = staticmethod(settle)

    def entry(self, config: str) -> None:
        """Run an entry, which serves callers, owns programs and routes their calls.

        Args:
            config: Path of the JSON settings file.
        """
        from jayvalve.internal.entry.app import EntryProcess

        _run_process(EntryProcess, config)

    def gateway(self, config: str = "") -> None:
        """Run a gateway on the platform, which serves callers for engines without sidecars.

        Args:
            config: Path of the settings that the platform wrote; by default the path in the
                environment variable that the platform sets.
        """
        from jayvalve.platform.command import run_gateway

        run_gateway(str(config) or None)

    def explain(self, request_id: str, log: str = "-") -> None:
        """Explain what happened to a request or a program, from the logs of gateways.

        Args:
            request_id: Attempt id of the request, or id of the program.
            log: Path of the file with log lines; - reads standard input.
        """
        from jayvalve.internal.gateway.explain import explain_request

        lines = sys.stdin.readlines() if log == "-" else _read(log).splitlines()
        explanation = explain_request(str(request_id), lines).lines
        if not explanation:
            raise InvalidRequestError(f"no log line names {request_id}")
        print("\n".join(explanation))

    def sidecar(self, config: str) -> None:
        """Run a sidecar beside one endpoint.

        Args:
            config: Path of the JSON settings file.
        """
        from jayvalve.internal.sidecar.app import SidecarProcess

        _run_process(SidecarProcess, config)

    def local(self, port: int = 8080, deployment: str = "acquaviva") -> None:
        """Run a whole deployment on loopback in this process, until SIGTERM.

        Args:
            port: HTTP port of the first entry; 0 takes a free one.
            deployment: acquaviva or quotaviva.
        """
        from jayvalve.deployments import DEPLOYMENTS, InProcessDeployment

        configure_logging("local", "WARNING")
        definition = DEPLOYMENTS.get(deployment)

        async def run() -> None:
            await run_until_stopped(InProcessDeployment(definition, port))

        asyncio.run(run())

    def demo(self) -> None:
        """Run both deployments as separate processes with faults and check the promises."""
        from jayvalve.demo import run_demo

        configure_logging("demo", "WARNING")
        if not run_demo():
            sys.exit(EXIT_FAILED)

    def measure(
        self,
        experiment: str,
        seed: int = 1,
        output: str = "",
        plot: str = "",
        schedules: int = 1000,
        variant: str = "",
        quick: bool = False,
    ) -> None:
        """Run an experiment; exit code 1 if an expected figure is missed.

        Args:
            experiment: Name of an experiment, all, faults, capacity, gateway or overhead.
            seed: First seed; the same seed repeats the same schedules.
            output: JSON file for the rows.
            plot: PNG or SVG file for a plot of the experiment.
            schedules: Number of fault schedules.
            variant: Broken variant for the fault search to catch.
            quick: Use short runs, whose figures only show that the experiment works.
        """
        from jayvalve.internal.measure.command import measure

        measure(experiment, seed, output, plot, schedules, variant, quick)

    def standin(self, kind: str, config: str = "", port: int = 0) -> None:
        """Run a stand-in for a service of the platform, for tests and demos.

        Args:
            kind: model-engine, application-engine, log, instance-list or weight-store.
            config: Path of a JSON file with the stand-in's settings.
            port: TCP port on 127.0.0.1; 0 takes a free one.
        """
        from jayvalve.standins import run_standin

        settings: dict[str, Any] = {}
        if config:
            settings = parse_json(_read(config), config)
            if not isinstance(settings, dict):
                raise InvalidSettingsError(f"{config}: must be a JSON object")
        configure_logging(f"standin-{kind}", "WARNING")
        asyncio.run(run_standin(kind, {"port": port, **settings}))


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingsError(f"{path}: cannot be read: {error}") from error


def main() -> None:
    """Run the command line.

    An error prints one line to standard error and sets exit code 1, or 2 for an invalid request
    or a missing optional package.
    """
    # Operator commands print one line for an error; warnings about retries would hide it.
    configure_logging("jayvalve", "ERROR")
    with contextlib.suppress(KeyboardInterrupt):
        try:
            fire.Fire(Commands, name="jayvalve")
        except JayvalveError as error:
            message = " ".join(error.message.split())
            print(f"jayvalve: {error.code}: {message}", file=sys.stderr)
            sys.exit(EXIT_USAGE_ERROR if isinstance(error, InvalidRequestError) else EXIT_FAILED)
        except ModuleNotFoundError as error:
            if error.name not in OPTIONAL_PACKAGES:
                raise
            print(
                f"jayvalve: this build leaves out the package {error.name}, which the command "
                "needs; use an installation with pip",
                file=sys.stderr,
            )
            sys.exit(EXIT_USAGE_ERROR)
