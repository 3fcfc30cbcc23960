"""Command of the soak test: ``python -m tests.soak.run --seeds 50``."""

import asyncio
import pathlib
import random
import shutil
import tempfile
import time

import attrs
import fire
from rich.console import Console
from rich.table import Table

from jayvalve.internal.logging import configure_logging
from tests.soak.callers import Callers, run_callers
from tests.soak.faults import inject
from tests.soak.fleet import Fleet

__all__ = ["SoakResult", "soak"]

# Documented recovery bound: all gateways serve again within this time after the last fault.
RECOVERY_S = 12.0
# Minimum number of calls made in a run, and of calls served once all gateways are ready after
# the last fault: readiness alone does not show that callers are served again.
MIN_CALLS = 20


@attrs.frozen
class SoakResult:
    """Outcome of one seed.

    Attributes:
        logs: Directory of the gateways' logs; None if no promise was violated.

    """

    seed: int
    faults: tuple[str, ...]
    calls: int
    served: int
    resumed: int
    recovery_s: float
    violations: tuple[str, ...]
    logs: pathlib.Path | None


async def soak(seed: int, seconds: float = 8.0, gateways: int = 3, programs: int = 8) -> SoakResult:
    """Run one seed and check the promises."""
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with run_callers(folder, rng, gateways, programs) as callers:
        faults = await inject(callers.fleet, rng, seconds, f"{seed}/partitions")
        recovery_s = await _wait_for_recovery(callers.fleet, callers)
    ledger = callers.ledger
    if ledger.calls < MIN_CALLS:
        ledger.violations.append(f"only {ledger.calls} calls were made")
    if not ledger.violations:
        shutil.rmtree(folder)
    return SoakResult(
        seed,
        tuple(faults),
        ledger.calls,
        ledger.served,
        ledger.resumed,
        recovery_s,
        tuple(ledger.violations),
        folder if ledger.violations else None,
    )


async def _wait_for_recovery(fleet: Fleet, callers: Callers) -> float:
    """Return the time from the last fault until all gateways are ready and callers are served.

    Records a violation unless all gateways become ready and MIN_CALLS calls are served after
    that, both within RECOVERY_S.
    """
    started = time.monotonic()
    ready = await fleet.wait_ready(RECOVERY_S)
    served = callers.ledger.served
    while callers.ledger.served < served + MIN_CALLS:
        if time.monotonic() - started > RECOVERY_S:
            callers.ledger.violations.append(
                f"not recovered within {RECOVERY_S} s after the last fault: ready {ready}, "
                f"{'; '.join(node.describe() for node in fleet.gateways)}, "
                f"{callers.ledger.served - served} calls served since then"
            )
            break
        await asyncio.sleep(0.1)
    return time.monotonic() - started


def main(seeds: int = 5, first: int = 0, seconds: float = 8.0, plot: str = "") -> None:
    """Run some seeds and print a table; exit with code 1 if a promise was violated.

    Args:
        seeds: Number of seeds.
        first: First seed; 0 derives one from the clock.
        seconds: How long to inject faults in each seed.
        plot: PNG or SVG file for a plot of the shares of served calls and the recovery times.
    """
    configure_logging("soak", "ERROR")
    start = first or int(time.time()) % 1_000_000
    results = [asyncio.run(soak(seed, seconds)) for seed in range(start, start + seeds)]
    table = Table("seed", "faults", "calls", "served", "resumed", "recovery s", "violations")
    for result in results:
        table.add_row(
            str(result.seed),
            str(len(result.faults)),
            str(result.calls),
            str(result.served),
            str(result.resumed),
            f"{result.recovery_s:.1f}",
            str(len(result.violations)),
        )
    console = Console()
    console.print(table)
    for result in results:
        if result.violations:
            console.print(f"seed {result.seed}: faults {', '.join(result.faults)}", markup=False)
        for violation in result.violations[:5]:
            console.print(f"seed {result.seed}: {violation}; logs in {result.logs}", markup=False)
    if plot:
        _plot(results, plot)
    if any(result.violations for result in results):
        raise SystemExit(1)


def _plot(results: list[SoakResult], path: str) -> None:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    left, right = figure.subplots(1, 2)
    left.hist([result.served / max(1, result.calls) for result in results], bins=20)
    left.set_xlabel("share of calls served")
    left.set_ylabel("seeds")
    right.hist([result.recovery_s for result in results], bins=20)
    right.set_xlabel("seconds to recovery")
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    fire.Fire(main)
