"""The commands ``status``, ``programs``, ``keys`` and ``settle``."""

import asyncio
import sys
from typing import Any

from fire.decorators import SetParseFn

__all__ = ["KeysCommands", "ProgramsCommands", "settle", "status"]

EXIT_NO_ANSWER = 1
DEFAULT_ORGANISATION = "default"


@SetParseFn(str, "entries")
def status(entries: str, json: bool = False) -> None:
    """Show instances, endpoints, programs and calls that may have run.

    Entries that do not answer are listed. Exit code 1 means that none answered.

    Args:
        entries: Comma-separated URLs of entries.
        json: Print JSON.
    """
    from jayvalve.internal.operator.fleet import entry_urls
    from jayvalve.internal.operator.output import print_json
    from jayvalve.internal.operator.status import fetch_status

    document = asyncio.run(fetch_status(entry_urls(entries)))
    if json:
        print_json(document)
    else:
        _print_status(document)
    if not document["instances"]:
        sys.exit(EXIT_NO_ANSWER)


def _print_status(document: dict[str, Any]) -> None:
    from jayvalve.internal.operator.output import print_table

    for url, reason in document["missing"].items():
        print(f"{url} did not answer: {reason}")
    columns = ("instance", "role", "data_centre", "state", "configuration_version")
    rows = [[item.get(name) for name in columns] for item in document["instances"]]
    print_table("instances", (*columns[:-1], "version"), rows)
    columns = ("name", "data_centre", "state", "running", "waiting", "waiting_urgent")
    rows = [
        [*(item[name] for name in columns), ", ".join(item["ejected_by"]) or "-"]
        for item in document["endpoints"]
    ]
    print_table("endpoints", (*columns, "ejected_by"), rows)
    ranks = document["programs_by_rank"]
    by_rank = ", ".join(f"{ranks.get(name, 0)} {name}" for name in ("urgent", "ordinary"))
    print(f"programs: {document['programs']} ({by_rank}); calls in progress: {document['calls']}")
    columns = ("organisation", "program", "key", "request_id", "endpoint", "code", "entry")
    rows = [[call[name] for name in columns] for call in document["may_have_run"]]
    print_table("calls that may have run", columns, rows)


class ProgramsCommands:
    """Programs and their latest calls."""

    @SetParseFn(str, "program", "entries", "organisation")
    def show(self, program: str, entries: str, organisation: str = "", json: bool = False):
        """Show the latest calls of a program with their start, endpoint, duration and verdict.

        Args:
            program: Identifier of the program or of one of its sub-agents.
            entries: Comma-separated URLs of entries; the program's owner must be among them.
            organisation: Show only the program of this organisation.
            json: Print JSON.
        """
        from urllib.parse import quote, urlencode

        from jayvalve.errors import ProgramUnknownError
        from jayvalve.internal.operator.fleet import entry_urls, fetch_all
        from jayvalve.internal.operator.output import print_json

        query = f"?{urlencode({'organisation': organisation})}" if organisation else ""
        path = f"/programs/{quote(program, safe='')}{query}"
        fleet = asyncio.run(fetch_all(entry_urls(entries), path))
        found = [item for answer in fleet.answers.values() for item in answer["programs"]]
        if json:
            print_json({"programs": found, "missing": fleet.missing})
        else:
            for url, reason in fleet.missing.items():
                print(f"{url} did not answer: {reason}")
            for item in found:
                _print_timeline(item)
        if not found:
            raise ProgramUnknownError(f"no answering entry has calls of program {program!r}")


def _print_timeline(item: dict[str, Any]) -> None:
    import datetime

    from jayvalve.internal.operator.output import print_table

    columns = ("agent", "turn", "capability", "endpoint", "attempts", "seconds", "verdict")
    rows = []
    for call in item["calls"]:
        started_at = datetime.datetime.fromtimestamp(call["started_at"], datetime.UTC)
        started = started_at.isoformat(timespec="milliseconds")
        if call["seconds"] is not None:
            call = {**call, "seconds": f"{call['seconds']:.3f}"}
        rows.append([started, *(call[name] for name in columns), call["status"], call["code"]])
    title = (
        f"{item['organisation']}/{item['program']}, {item['state']}, {item['rank']}, "
        f"{item['calls_in_all']} calls in all"
    )
    print_table(title, ("started", *columns, "status", "code"), rows)


class KeysCommands:
    """Idempotency keys."""

    @SetParseFn(str, "key", "log", "organisation")
    def show(
        self, key: str, log: str, organisation: str = DEFAULT_ORGANISATION, json: bool = False
    ) -> None:
        """Show the state of a key according to the log.

        Args:
            key: The Idempotency-Key.
            log: URL of the log service.
            organisation: Organisation of the caller that used the key.
            json: Print JSON.
        """
        from jayvalve.internal.operator.keys import show_key

        _print_key(asyncio.run(show_key(log, organisation, key)), json)


@SetParseFn(str, "key", "organisation", "verdict", "author", "reason", "log")
def settle(
    key: str,
    organisation: str,
    verdict: str,
    author: str,
    reason: str,
    log: str,
    json: bool = False,
) -> None:
    """Record an operator's verdict on a call whose verdict is may_have_run or not yet known.

    Args:
        key: The Idempotency-Key of the call.
        organisation: Organisation of the caller that used the key.
        verdict: ran or not_run.
        author: Name of the person who decided.
        reason: How the verdict was established.
        log: URL of the log service.
        json: Print JSON.
    """
    from jayvalve.internal.operator.keys import settle_key

    document = asyncio.run(settle_key(log, organisation, key, verdict, author, reason))
    _print_key(document, json)


def _print_key(document: dict[str, Any], json: bool) -> None:
    from jayvalve.internal.operator.output import print_json

    if json:
        print_json(document)
        return
    for name, value in document.items():
        print(f"{name}: {'-' if value is None else value}")
