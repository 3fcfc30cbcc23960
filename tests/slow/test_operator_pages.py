"""Runs every command that the operators' and callers' pages show.

A fenced block ``console`` contains commands, each followed by its expected output. A command
starts with ``$ `` and continues on lines that start with ``> ``. In the output, ``...`` matches
any text, and a line ``(exit code N)`` states an exit code other than 0. A block of another
language with ``file=NAME`` after the language defines a file that the commands use. Each page
runs against its own ``jayvalve local`` process. The variables ENTRY, ENTRIES and LOG contain its
URLs, and its log contains a charge with the key ``charge-118`` that may have run.
"""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile

from testtools import TestCase

import jayvalve.errors
from jayvalve.errors import JayvalveError
from jayvalve.internal.claims import ClaimRelays
from jayvalve.internal.log import LogClient
from jayvalve.internal.report.burn import ALERTS
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.internal.wire.messages import ClaimRequest, OutcomeReport

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = [*sorted((ROOT / "docs" / "operators").glob("*.md")), ROOT / "docs" / "callers.md"]
FENCE = re.compile(r"^```(\w+)(?: file=(\S+))?\n(.*?)^```$", re.MULTILINE | re.DOTALL)
EXIT_CODE = re.compile(r"^\(exit code (\d+)\)$")
COMMAND_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30
LOG_TAIL_CHARACTERS = 8_000
UNCERTAIN_KEY = "charge-118"


class Command:
    """One command of a page with its expected output and exit code."""

    def __init__(self, text):
        self.text = text
        self.exit_code = 0
        self.output = []

    def add_output_line(self, line):
        code = EXIT_CODE.match(line)
        if code:
            self.exit_code = int(code.group(1))
        else:
            self.output.append(line)

    def matches(self, text):
        pattern = re.escape("\n".join(self.output).strip()).replace(r"\.\.\.", ".*?")
        return re.fullmatch(pattern, text.strip(), re.DOTALL) is not None


def parse_console(text):
    """Return the commands of a console block."""
    commands = []
    for line in text.splitlines():
        if line.startswith("$ "):
            commands.append(Command(line[2:]))
        elif line.startswith("> ") and not commands[-1].output:
            commands[-1].text += "\n" + line[2:]
        else:
            commands[-1].add_output_line(line)
    return commands


class Local:
    """A ``jayvalve local`` process in a directory where the commands run."""

    def __init__(self, directory):
        self._directory = directory
        self._environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        # The commands must run with the interpreter that runs this test.
        for name, arguments in (("jayvalve", "-m jayvalve "), ("python", "")):
            script = directory / "bin" / name
            script.parent.mkdir(exist_ok=True)
            script.write_text(f'#!/bin/sh\nexec {sys.executable} {arguments}"$@"\n')
            script.chmod(0o755)
        self._environment["PATH"] = f"{directory / 'bin'}:{os.environ['PATH']}"

    def __enter__(self):
        self._log_path = self._directory / "local.log"
        with self._log_path.open("wb") as log_file:
            self._process = self._start(log_file)
        ready = self._process.stdout.readline()
        pattern = r"ready on (\S+); entries on (\S+), log on (\S+)$"
        entry, entries, log = re.search(pattern, ready).groups()
        self.log = log
        self._environment.update({"ENTRY": entry, "ENTRIES": entries, "LOG": log})
        asyncio.run(add_uncertain_call(log))
        return self

    def _start(self, log_file):
        return subprocess.Popen(
            [sys.executable, "-m", "jayvalve", "local", "--port", "0"],
            stdout=subprocess.PIPE,
            stderr=log_file,
            env=self._environment,
            text=True,
        )

    def __exit__(self, *exception):
        self._process.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            # The process logs what its stop waits for.
            tail = self._log_path.read_text(encoding="utf-8")[-LOG_TAIL_CHARACTERS:]
            raise AssertionError(f"jayvalve local did not end; its log:\n{tail}") from error
        finally:
            self._process.kill()
            self._process.stdout.close()

    def run(self, command):
        """Run a command; return its exit code and output, with standard error last."""
        process = subprocess.Popen(
            ["bash", "-c", command],
            cwd=self._directory,
            env=self._environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        try:
            output, errors = process.communicate(timeout=COMMAND_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            # Also ends processes that the command started in the background.
            os.killpg(process.pid, signal.SIGKILL)
            output, errors = process.communicate()
        return process.returncode, output + errors


async def add_uncertain_call(log_url):
    """Record a call that may have run, as after the death of its sidecar."""
    log = LogClient(log_url)
    relays = ClaimRelays(log, 86_400.0)
    deadline = Deadline.after(Clock(), 10.0)
    try:
        claim = ClaimRequest(
            "claim-118", "default", UNCERTAIN_KEY, "d", "1-1", "service-1", 1, 1, 0.0
        )
        await relays.claim(claim, deadline)
        report = OutcomeReport(
            "claim-118", "default", UNCERTAIN_KEY, "1-1", "may_have_run", 0, {}, b""
        )
        await relays.report_outcome(report, deadline)
    finally:
        await relays.close()
        log.close()


class PagesTest(TestCase):
    """Guards against pages whose commands fail or print something other than the page shows."""

    def _check_page(self, path):
        text = path.read_text(encoding="utf-8")
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        local = None
        for kind, name, body in FENCE.findall(text):
            if name:
                (directory / name).write_text(body, encoding="utf-8")
            if kind != "console":
                self.assertTrue(name, f"{path.name}: a {kind} block must define a file")
                continue
            local = local or self.enterContext(Local(directory))
            for command in parse_console(body):
                code, output = local.run(command.text)
                actual = f"{path.name}: $ {command.text}\nexit code {code}, output:\n{output}"
                self.assertEqual(command.exit_code, code, actual)
                expected = "\n".join(command.output)
                self.assertTrue(command.matches(output), f"{actual}\nexpected:\n{expected}")


def _add_page_tests():
    """Add one test per page, so that pages can be tested in parallel."""
    for path in PAGES:
        name = f"test_page_{path.parent.name}_{path.stem}".replace("-", "_")
        setattr(PagesTest, name, lambda self, path=path: self._check_page(path))


_add_page_tests()


class CompletenessTest(TestCase):
    """Guards against unlisted pages, undocumented codes and alerts, and untested commands."""

    def test_all_pages_are_listed_in_the_index(self):
        index = (ROOT / "docs" / "operators" / "README.md").read_text(encoding="utf-8")
        names = [path.name for path in PAGES if path.parent.name == "operators"]
        self.assertGreater(len(names), 10)
        for name in names:
            self.assertTrue(name == "README.md" or f"({name})" in index, name)

    def test_every_error_code_and_alert_has_an_instruction(self):
        page = (ROOT / "docs" / "operators" / "errors.md").read_text(encoding="utf-8")
        kinds = (getattr(jayvalve.errors, name) for name in jayvalve.errors.__all__)
        codes = {kind.code for kind in kinds if isinstance(kind, type)} | {JayvalveError.code}
        for code in sorted(codes | {rule.severity for rule in ALERTS}):
            self.assertRegex(page, rf"(?m)^\| `{code}` \| [^|]+ \| [^|]+ \|$")

    def test_pages_show_commands_only_in_console_blocks(self):
        for path in PAGES:
            prose = FENCE.sub("", path.read_text(encoding="utf-8"))
            self.assertNotIn("```", prose, path.name)
            self.assertNotRegex(prose, r"`(jayvalve|curl|kill) [^`]*--", path.name)
