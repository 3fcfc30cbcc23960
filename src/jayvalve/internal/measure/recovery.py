"""Time from the SIGKILL of an owner to the next served turn of its programs.

Run ``python -m jayvalve.internal.measure.recovery [--programs N] [--seconds S]``. It starts the
process deployment on the loopback interface and prints one JSON document.
"""

import asyncio
import itertools
import json
import pathlib
import tempfile
import time

import attrs
import fire
from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from jayvalve.deployments import DEPLOYMENTS, Deployment
from jayvalve.deployments.processes import ProcessDeployment
from jayvalve.errors import InternalError
from jayvalve.internal.hashing import rendezvous_order
from jayvalve.internal.validation import check_range

__all__ = ["RecoveryResult", "measure_recovery"]

DEFAULT_SECONDS = 60.0
MAX_PROGRAMS = 200
# Time reserved for another round. A round starts only when the restarted entry is ready again,
# which takes 2 to 6 s.
ROUND_RESERVE_S = 12.0
RETRY_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 20.0
TURN_TIMEOUT_S = 20.0
MAX_CLIENTS = 400
ORGANISATION = "default"
MAX_RECORDED_MS = 60_000
SIGNIFICANT_DIGITS = 3


@attrs.frozen
class RecoveryResult:
    """Times in milliseconds over all programs of all rounds.

    Attributes:
        undisturbed_p50_ms: Median time of the second turn of each program, which precedes the
            kill; the baseline of the run.
        unserved: Turns after a kill that were not served within TURN_TIMEOUT_S; the quantiles
            exclude them.
    """

    programs: int
    rounds: int
    samples: int
    unserved: int
    undisturbed_p50_ms: float
    p50_ms: float
    p95_ms: float
    maximum_ms: float


class _Run:
    """Rounds on one deployment: turns, a kill, the next turns of the programs, a restart."""

    def __init__(self, plan: Deployment, directory: pathlib.Path, programs: int) -> None:
        self._plan = plan
        self._processes = ProcessDeployment(plan, directory)
        self._programs = programs
        self._client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._undisturbed = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        self._recovered = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        self._unserved = 0

    async def run(self, end_s: float) -> RecoveryResult:
        """Run at least one round, and more while time remains before ``end_s``."""
        try:
            await self._processes.start()
            rounds = 0
            for number in itertools.count():
                await self._run_round(number)
                rounds += 1
                if time.monotonic() + ROUND_RESERVE_S > end_s:
                    break
            return self._result(rounds)
        finally:
            self._client.close()
            self._processes.close()

    async def _run_round(self, number: int) -> None:
        entries = self._processes.entry_names
        owner = entries[number % len(entries)]
        others = [name for name in entries if name != owner]
        programs = self._programs_owned_by(owner, number)
        await asyncio.gather(*(self._run_turn(name, 1, [owner], None) for name in programs))
        await asyncio.gather(*(self._run_turn(name, 2, others, None) for name in programs))
        self._processes.kill(owner)
        killed_s = time.monotonic()
        await asyncio.gather(*(self._run_turn(name, 3, others, killed_s) for name in programs))
        self._processes.spawn(owner)
        for entry in entries:
            await self._processes.wait_ready(entry)

    def _programs_owned_by(self, owner: str, number: int) -> list[str]:
        """Return program names whose rendezvous owner is the entry."""
        entries = self._processes.entry_names
        names = (f"recovery-{number}-{index}" for index in itertools.count())
        owned = (
            name
            for name in names
            if rendezvous_order(f"{ORGANISATION}/{name}", entries)[0] == owner
        )
        return list(itertools.islice(owned, self._programs))

    async def _run_turn(
        self, program: str, turn: int, entries: list[str], killed_s: float | None
    ) -> None:
        """Repeat a turn until it is served and record the elapsed time."""
        started_s = time.monotonic() if killed_s is None else killed_s
        for entry in itertools.cycle(entries):
            if await self._send_turn(program, turn, entry):
                break
            if time.monotonic() - started_s > TURN_TIMEOUT_S:
                if killed_s is None:
                    raise InternalError(f"turn {turn} of {program} was not served before the kill")
                self._unserved += 1
                return
            await asyncio.sleep(RETRY_INTERVAL_S)
        elapsed_ms = max(1, round((time.monotonic() - started_s) * 1000))
        if killed_s is not None:
            self._recovered.record_value(elapsed_ms)
        elif turn > 1:
            self._undisturbed.record_value(elapsed_ms)

    async def _send_turn(self, program: str, turn: int, entry: str) -> bool:
        """Send a turn to an entry and return whether it was served."""
        body = {
            "model": self._plan.ordinary_model,
            "messages": [{"role": "user", "content": f"question {turn}"}],
            "max_tokens": 1,
        }
        headers = {
            "Jayvalve-Program": program,
            "Jayvalve-Turn": str(turn),
            "Jayvalve-Request": f"{program}-{turn}",
            "Jayvalve-History": "append",
        }
        try:
            response = await self._client.fetch(
                f"{self._processes.url(entry)}/v1/chat/completions",
                method="POST",
                headers=headers,
                body=json.dumps(body),
                request_timeout=REQUEST_TIMEOUT_S,
                raise_error=False,
            )
        except (OSError, HTTPClientError):
            return False
        return response.code == 200

    def _result(self, rounds: int) -> RecoveryResult:
        recovered = self._recovered
        return RecoveryResult(
            self._programs,
            rounds,
            recovered.get_total_count(),
            self._unserved,
            float(self._undisturbed.get_value_at_percentile(50)),
            float(recovered.get_value_at_percentile(50)),
            float(recovered.get_value_at_percentile(95)),
            float(recovered.get_max_value()),
        )


async def measure_recovery(
    programs: int, seconds: float = DEFAULT_SECONDS, deployment: str = "acquaviva"
) -> RecoveryResult:
    """Measure recovery with the given number of programs on the killed owner.

    At least one round runs; another one starts only if at least ROUND_RESERVE_S of ``seconds``
    remain.
    """
    check_range(programs, "programs", 1, MAX_PROGRAMS)
    end_s = time.monotonic() + seconds
    with tempfile.TemporaryDirectory() as directory:
        run = _Run(DEPLOYMENTS.get(deployment), pathlib.Path(directory), programs)
        return await run.run(end_s)


def _main(programs: int = 1, seconds: float = DEFAULT_SECONDS) -> str:
    return json.dumps(attrs.asdict(asyncio.run(measure_recovery(programs, seconds))))


if __name__ == "__main__":
    fire.Fire(_main)
