"""The demo: both deployments as separate processes, with faults, and a check of each promise."""

import asyncio
import json
import pathlib
import random
import tempfile
import time
import uuid
from collections import Counter
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from jayvalve.deployments import DEPLOYMENTS, Deployment, publish_document
from jayvalve.deployments.processes import ProcessDeployment

__all__ = ["run_demo"]

REQUEST_TIMEOUT_S = 30.0
REPEAT_INTERVAL_S = 0.3
REPEAT_LIMIT = 60
TURNS = 4
# Delay before the demo starts a killed process again. It simulates the platform, which replaces an
# instance that has ended.
REPLACEMENT_DELAY_S = 2.0
PROGRAMS = 6
MAX_CLIENTS = 200

PROMISES = (
    "calls run in order",
    "history is kept and not mixed",
    "budget is never exceeded",
    "memory of ended programs is freed",
    "each caller gets its whole answer",
    "not run means not run",
    "a change runs at most once",
    "a leaving endpoint gets no new work",
    "a planned stop cuts off no request",
    "configuration is in force everywhere",
)


class Checks:
    """Counts the checks of each promise and records the failures."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._failures: list[str] = []

    @property
    def failures(self) -> list[str]:
        """Descriptions of the failed checks."""
        return self._failures

    @property
    def missing(self) -> list[str]:
        """Promises that were never checked."""
        return [promise for promise in PROMISES if not self._counts[promise]]

    def check(self, number: int, passed: bool, description: str) -> None:
        """Record the result of a check of a promise.

        Args:
            number: Number of the promise, 1 to 10.
            passed: Whether the check passed.
            description: What was seen, reported if the check failed.
        """
        promise = PROMISES[number - 1]
        self._counts[promise] += 1
        if not passed:
            self._failures.append(f"P{number} {promise}: {description}")

    def table(self) -> Table:
        """Return a table with one row per promise."""
        table = Table("promise", "checks", "failed")
        for number, promise in enumerate(PROMISES, 1):
            failed = sum(text.startswith(f"P{number} ") for text in self._failures)
            table.add_row(f"P{number} {promise}", str(self._counts[promise]), str(failed))
        return table


@attrs.define
class Caller:
    """Caller that repeats a request through randomly selected entries until it is answered."""

    deployment: ProcessDeployment
    rng: random.Random
    repeats: int = 0

    async def call(
        self, path: str, body: Any, headers: dict[str, str], entry: str | None = None
    ) -> HTTPResponse:
        """Send a request until it is answered, with the same request id each time.

        A failed connection, a 5xx status and 429 lead to another attempt. The first attempt goes to
        ``entry`` if given, every other one to a random entry.

        Raises:
            RuntimeError: No attempt was answered.
        """
        headers = {"Jayvalve-Request": uuid.uuid4().hex, **headers}
        for _ in range(REPEAT_LIMIT):
            name = entry or self.rng.choice(self.deployment.entry_names)
            entry = None
            response = await self.send(name, path, body, headers)
            if response is not None and response.code < 500 and response.code != 429:
                return response
            self.repeats += 1
            await asyncio.sleep(REPEAT_INTERVAL_S)
        raise RuntimeError(f"no answer to {path} after {REPEAT_LIMIT} attempts")

    async def send(
        self, entry: str, path: str, body: Any, headers: dict[str, str]
    ) -> HTTPResponse | None:
        """Send a request once and return the response, or None if the connection failed."""
        try:
            return await AsyncHTTPClient().fetch(
                self.deployment.url(entry) + path,
                method="GET" if body is None else "POST",
                body=None if body is None else json.dumps(body),
                headers=headers,
                raise_error=False,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (OSError, HTTPError):
            return None

    async def chat(
        self, model: str, program: str, turn: int, text: str, **headers: str
    ) -> tuple[HTTPResponse, str]:
        """Run one turn in append mode and return the response and the text of the answer.

        Each additional keyword argument is sent as a header: ``rank`` as ``Jayvalve-Rank``.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
        }
        request_headers = {
            "Jayvalve-Program": program,
            "Jayvalve-Turn": str(turn),
            "Jayvalve-History": "append",
            **{f"Jayvalve-{name.title()}": value for name, value in headers.items()},
        }
        response = await self.call("/v1/chat/completions", body, request_headers)
        document = json.loads(response.body)
        return response, document.get("choices", [{}])[0].get("message", {}).get("content", "")


class DemoRun:
    """Runs the demo's work on one deployment, injects faults and checks the promises."""

    def __init__(
        self, deployment: Deployment, directory: pathlib.Path, checks: Checks, console: Console
    ) -> None:
        self._deployment = deployment
        self._processes = ProcessDeployment(deployment, directory)
        self._caller = Caller(self._processes, random.Random(deployment.name))
        self._checks = checks
        self._console = console
        self._latencies: list[tuple[str, str, float]] = []

    async def run(self) -> None:
        """Start the processes, run the work and check the promises."""
        try:
            started = time.monotonic()
            await self._processes.start()
            count = len(self._processes.entry_names) + len(self._processes.sidecar_names)
            self._print(
                f"{count} processes and stand-ins ready, {time.monotonic() - started:.1f} s"
            )
            await self._run_programs()
            await self._check_budget()
            await self._check_change_once()
            await self._check_urgent_request()
            await self._check_planned_stop()
            await self._check_configuration()
            await self._check_memory_freed()
            self._show_latencies()
        finally:
            self._processes.close()

    def _print(self, text: str) -> None:
        self._console.print(f"{self._deployment.name}: {text}", highlight=False)

    async def _run_programs(self) -> None:
        """Run programs while an entry and a sidecar are killed."""
        programs = [f"program-{number}" for number in range(PROGRAMS)]
        work = asyncio.gather(*(self._run_program(program) for program in programs))
        await asyncio.sleep(0.4)
        entry, sidecar = self._processes.entry_names[-1], self._processes.sidecar_names[0]
        self._print(f"killing {entry} and {sidecar} in the middle of the work")
        self._processes.kill(entry)
        self._processes.kill(sidecar)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        for name in (entry, sidecar):
            self._processes.spawn(name)
        await work
        self._print(f"all programs finished after {self._caller.repeats} repeated requests")
        lost = [text for text in self._checks.failures if text.startswith(("P1 ", "P2 ", "P5 "))]
        self._print(f"{PROGRAMS} histories compared, {len(lost)} turns lost or out of order")
        for name in self._processes.entry_names:
            await self._processes.wait_ready(name)

    async def _run_program(self, program: str) -> None:
        started = time.monotonic()
        texts = [f"{program} question {turn}" for turn in range(1, TURNS + 1)]
        answers = []
        for turn, text in enumerate(texts, 1):
            response, answer = await self._caller.chat(
                self._deployment.ordinary_model, program, turn, text
            )
            self._checks.check(
                5,
                response.code == 200 and bool(answer),
                f"{program} {turn}: {response.body[:250]!r}",
            )
            self._checks.check(
                1, response.headers.get("Jayvalve-Turn") == str(turn), f"{program} turn {turn}"
            )
            answers.append(answer)
            await asyncio.sleep(self._caller.rng.uniform(0.05, 0.2))
        _, sub_answer = await self._caller.chat(
            self._deployment.ordinary_model, f"{program}.helper", 1, "summarise"
        )
        self._checks.check(5, bool(sub_answer), f"{program}.helper")
        await self._check_history(program, texts, answers)
        self._latencies.append((program, "ordinary", time.monotonic() - started))

    async def _check_history(self, program: str, texts: list[str], answers: list[str]) -> None:
        response = await self._caller.call(f"/v1/programs/{program}/history", None, {})
        contents = [message["content"] for message in json.loads(response.body).get("messages", [])]
        expected = [part for pair in zip(texts, answers, strict=True) for part in pair]
        self._checks.check(2, contents == expected, f"{program}: {len(contents)} messages")

    async def _check_budget(self) -> None:
        """Check that a program in an endless loop is stopped by its budget of calls."""
        answered = 0
        for turn in range(1, 6):
            response, _ = await self._caller.chat(
                self._deployment.ordinary_model, "looping", turn, "again", budget="calls=3"
            )
            if response.code != 200:
                break
            answered += 1
        self._checks.check(3, answered == 3, f"{answered} calls ran on a budget of 3")
        code = json.loads(response.body)["error"]["code"]
        self._checks.check(3, code == "budget_exceeded", code)
        self._print(f"looping program stopped after {answered} calls: {code}")

    async def _check_change_once(self) -> None:
        """Check that a change runs once when it is sent repeatedly through different entries.

        Each change is sent through two entries at once and again through the last entry. A change
        without an idempotency key must be refused and must not run.
        """
        path = f"/v1/services/{self._deployment.service}{self._deployment.change_path}"
        entries = self._processes.entry_names
        for number in range(4):
            headers = {"Idempotency-Key": f"change-{number}"}
            body = {"order": number}
            responses = await asyncio.gather(
                self._caller.call(path, body, headers, entries[0]),
                self._caller.call(path, body, headers, entries[1]),
            )
            responses.append(await self._caller.call(path, body, headers, entries[-1]))
            runs = await self._count_runs(f"change-{number}")
            self._checks.check(7, runs == 1, f"change-{number} ran {runs} times")
            bodies = {response.body for response in responses}
            self._checks.check(5, len(bodies) == 1, f"change-{number}: {len(bodies)} answers")
        response = await self._caller.send(entries[0], path, {"order": 9}, {})
        refused = response is not None and response.headers.get("Jayvalve-Verdict") == "not_run"
        self._checks.check(6, refused and await self._count_runs("") == 4, "a change without a key")
        self._print("4 changes, each sent 3 times through different entries, ran once each")

    async def _count_runs(self, key: str) -> int:
        """Return how often changes with the key ran; an empty key counts all changes."""
        total = 0
        query = f"?key={key}" if key else ""
        for plan in self._deployment.endpoints:
            if plan.role == "application":
                url = self._processes.standin_url(plan.name)
                response = await AsyncHTTPClient().fetch(f"{url}/runs{query}")
                total += json.loads(response.body)["runs"]
        return total

    async def _check_urgent_request(self) -> None:
        """Check that an urgent request is answered, and record its latency."""
        started = time.monotonic()
        response, answer = await self._caller.chat(
            self._deployment.urgent_model, "alert", 1, "tank 4 is failing", rank="urgent"
        )
        elapsed = time.monotonic() - started
        self._checks.check(5, response.code == 200 and bool(answer), "alert")
        self._latencies.append(("alert", "urgent", elapsed))

    async def _check_planned_stop(self) -> None:
        """Stop a sidecar and an entry while requests are running and check that no request fails.

        Both must exit with 0, and the endpoint of the sidecar must no longer be live.
        """
        entry, sidecar = self._processes.entry_names[0], self._processes.sidecar_names[1]
        calls = [
            asyncio.ensure_future(self._long_call(f"stop-{number}", entry)) for number in range(8)
        ]
        await asyncio.sleep(0.2)
        exit_codes = await asyncio.gather(
            self._processes.terminate(entry), self._processes.terminate(sidecar)
        )
        for response in await asyncio.gather(*calls):
            served = response is not None and response.code == 200
            self._checks.check(9, served, "a request was cut off by a planned stop")
        self._checks.check(9, exit_codes == [0, 0], f"exit codes {exit_codes}")
        states = await self._endpoint_states()
        name = sidecar.removeprefix("sidecar-")
        self._checks.check(8, states[name] != "live", f"{name} is still {states[name]}")
        self._print(f"{entry} and {sidecar} stopped as planned; 8 requests went on")
        for process_name in (entry, sidecar):
            self._processes.spawn(process_name)
        for entry_name in self._processes.entry_names:
            await self._processes.wait_ready(entry_name)

    async def _long_call(self, program: str, entry: str) -> HTTPResponse | None:
        body = {
            "model": self._deployment.ordinary_model,
            "messages": [{"role": "user", "content": program}],
            "max_tokens": 150,
        }
        headers = {"Jayvalve-Program": program}
        return await self._caller.send(entry, "/v1/chat/completions", body, headers)

    async def _endpoint_states(self) -> dict[str, str]:
        status = await self._processes.status(self._processes.entry_names[-1])
        return {item["name"]: item["state"] for item in status["endpoints"]}

    async def _check_configuration(self) -> None:
        """Publish a configuration and check that all entries and sidecars use it within 7 s."""
        document = self._processes.document()
        document["rules"] = {"floors": {"ordinary": 0.4}}
        started = time.monotonic()
        version = await publish_document(self._processes.log_url, document, 1, "demo")
        names = self._processes.entry_names + self._processes.sidecar_names
        outdated = set(names)
        while outdated and time.monotonic() - started < 7.0:
            for name in sorted(outdated):
                status = await self._processes.status(name)
                if status["configuration_version"] == version:
                    outdated.discard(name)
            await asyncio.sleep(0.05)
        elapsed = time.monotonic() - started
        self._checks.check(10, not outdated, f"{sorted(outdated)} lack version {version}")
        self._print(f"version {version} in force at {len(names)} processes after {elapsed:.2f} s")

    async def _check_memory_freed(self) -> None:
        """End the programs and check that no model engine still has their memory."""
        for number in range(PROGRAMS):
            await self._caller.call(f"/v1/programs/program-{number}/end", {}, {})
        await asyncio.sleep(0.5)
        retained = 0
        for plan in self._deployment.endpoints:
            if plan.role != "model":
                continue
            url = self._processes.standin_url(plan.name)
            for number in range(PROGRAMS):
                response = await AsyncHTTPClient().fetch(
                    f"{url}/kv/export",
                    method="POST",
                    body=json.dumps({"program": f"default/program-{number}"}),
                    raise_error=False,
                )
                retained += response.code == 200 and bool(json.loads(response.body).get("blocks"))
        self._checks.check(4, retained == 0, f"{retained} ended programs still hold engine memory")

    def _show_latencies(self) -> None:
        table = Table("program", "rank", "latency", title=self._deployment.name)
        for program, rank, seconds in sorted(self._latencies):
            table.add_row(program, rank, f"{seconds:.2f} s")
        self._console.print(table)


async def _run_all(console: Console) -> Checks:
    AsyncHTTPClient.configure(None, max_clients=MAX_CLIENTS)
    checks = Checks()
    for name in DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="jayvalve-demo-") as directory:
            await DemoRun(DEPLOYMENTS.get(name), pathlib.Path(directory), checks, console).run()
    return checks


def run_demo() -> bool:
    """Run the demo and return whether every promise was checked and kept."""
    console = Console()
    checks = asyncio.run(_run_all(console))
    console.print(checks.table())
    for failure in checks.failures:
        console.print(f"FAILED {failure}", highlight=False)
    for promise in checks.missing:
        console.print(f"NOT CHECKED {promise}", highlight=False)
    return not checks.failures and not checks.missing
