"""Commands under ``jayvalve config``."""

import asyncio
import sys
from typing import Any

from fire.decorators import SetParseFn

from jayvalve.internal.operator.arguments import (
    check_timeout,
    check_version,
    current_user,
    load_document,
    print_changes,
    print_plan,
    read_text,
)

__all__ = ["ConfigCommands"]

EXIT_FAILURE = 1
DEFAULT_ROLLOUT_TIMEOUT_S = 30.0


class ConfigCommands:
    """Inventory and rules: import, check, publish and roll out."""

    @SetParseFn(str, "csv", "mapping", "output", "base")
    def _import(self, csv: str, mapping: str, output: str = "", base: str = "") -> None:
        """Build a configuration from an asset register.

        The document goes to standard output or to a file; refused rows are reported on
        standard error. Exit code 1 means that at least one row was refused.

        Args:
            csv: Path of the register; its first row holds the column headings.
            mapping: Path of the JSON column mapping.
            output: Path of the file to write.
            base: Path of a configuration whose rules are kept.
        """
        from jayvalve.internal.operator.inventory_import import ColumnMapping, import_inventory
        from jayvalve.internal.operator.output import print_json, write_document
        from jayvalve.internal.schema import parse_json

        column_mapping = ColumnMapping.from_config(parse_json(read_text(mapping), mapping))
        rules = load_document(base).to_value().get("rules") if base else None
        result = import_inventory(read_text(csv), column_mapping, rules)
        for row in result.refused:
            print(f"{csv}: row {row.row}: {row.reason}", file=sys.stderr)
        if output:
            write_document(result.document, output)
            print(
                f"{result.imported} endpoints imported, {len(result.refused)} rows refused, "
                f"{result.left_out} rows left out by the mapping"
            )
        else:
            print_json(result.document)
        if result.refused:
            sys.exit(EXIT_FAILURE)

    @SetParseFn(str, "file")
    def check(self, file: str) -> None:
        """Check a configuration and report every error with its path.

        Args:
            file: Path of the configuration.
        """
        document = load_document(file)
        print(f"{file}: valid, {len(document.inventory.endpoints)} endpoints")

    @SetParseFn(str, "old", "new")
    def diff(self, old: str, new: str, json: bool = False) -> None:
        """Show the differences between two configurations.

        Args:
            old: Path of the earlier configuration.
            new: Path of the later configuration.
            json: Print JSON.
        """
        from jayvalve.internal.operator.changes import change_rows
        from jayvalve.internal.operator.output import print_json

        changes = change_rows(load_document(old), load_document(new))
        if json:
            print_json(changes)
        else:
            print_changes("changes", changes)

    @SetParseFn(str, "file", "log")
    def plan(self, file: str, log: str, json: bool = False) -> None:
        """Show how a publish would change endpoints, models and capabilities.

        Args:
            file: Path of the configuration.
            log: URL of the log service.
            json: Print JSON.
        """
        from jayvalve.internal.operator.changes import open_session, plan_document
        from jayvalve.internal.operator.output import print_json

        document = load_document(file)

        async def run() -> dict[str, Any]:
            async with open_session(log) as session:
                return plan_document(session.document, document, session.in_force.version)

        plan = asyncio.run(run())
        if json:
            print_json(plan)
        else:
            print_plan(plan)

    @SetParseFn(str, "file", "log", "author")
    def publish(self, file: str, expect: int, log: str, author: str = "", json: bool = False):
        """Publish a configuration if the version that it is based on is still in force.

        If another version is in force, nothing is published; its number, its author and its
        differences from the expected version are shown, and the exit code is 1.

        Args:
            file: Path of the configuration.
            expect: Version that must be in force; 0 for the first publish.
            log: URL of the log service.
            author: Author to record; the user's name by default.
            json: Print JSON.
        """
        document = load_document(file)
        expected = check_version(expect, "--expect", 0)
        _run_publish(
            log,
            expected,
            lambda session: session.publish(document, expected, author or current_user()),
            json,
        )

    @SetParseFn(str, "log", "author")
    def restore(self, version: int, expect: int, log: str, author: str = "", json: bool = False):
        """Publish an earlier version's document again, as a new version.

        Args:
            version: Version to restore.
            expect: Version that must be in force.
            log: URL of the log service.
            author: Author to record; the user's name by default.
            json: Print JSON.
        """
        wanted, expected = (
            check_version(version, "VERSION", 1),
            check_version(expect, "--expect", 1),
        )
        _run_publish(
            log,
            expected,
            lambda session: session.restore(wanted, expected, author or current_user()),
            json,
        )

    @SetParseFn(str, "log")
    def history(self, log: str, json: bool = False) -> None:
        """List the publish and renewal records that the log still keeps.

        Args:
            log: URL of the log service.
            json: Print JSON.
        """
        import datetime

        from jayvalve.internal.operator.changes import open_session
        from jayvalve.internal.operator.output import print_json, print_table

        async def run() -> list[Any]:
            async with open_session(log) as session:
                return await session.history()

        names = ("offset", "time", "kind", "version", "author", "accepted", "reason")
        rows = [[getattr(entry, name) for name in names] for entry in asyncio.run(run())]
        if json:
            print_json([dict(zip(names, row, strict=True)) for row in rows])
            return
        for row in rows:
            timestamp = datetime.datetime.fromtimestamp(row[1], datetime.UTC)
            row[1] = timestamp.isoformat(timespec="seconds")
        print_table("history", names, rows)

    @SetParseFn(str, "log", "output")
    def show(self, log: str, version: int = 0, output: str = "") -> None:
        """Show the configuration in force, or an earlier version.

        Without --output, a JSON object with version, author and document is printed.

        Args:
            log: URL of the log service.
            version: Version to show; 0 is the one in force.
            output: Path of a file to write the document to, for editing.
        """
        from jayvalve.errors import InvalidRequestError
        from jayvalve.internal.configuration import Document
        from jayvalve.internal.operator.changes import open_session
        from jayvalve.internal.operator.output import print_json, write_document

        wanted = check_version(version, "--version", 0)

        async def run() -> Any:
            async with open_session(log) as session:
                return await session.version(wanted) if wanted else session.in_force

        found = asyncio.run(run())
        if not found.document:
            raise InvalidRequestError("nothing has been published yet")
        document = Document.from_json(found.document).to_value()
        if output:
            write_document(document, output)
            print(f"version {found.version} by {found.author or 'an unknown author'}")
        else:
            print_json({"version": found.version, "author": found.author, "document": document})

    @SetParseFn(str, "entries")
    def wait(
        self,
        version: int,
        entries: str,
        timeout: float = DEFAULT_ROLLOUT_TIMEOUT_S,
        json: bool = False,
    ) -> None:
        """Wait until all live instances have a version, and list those that do not.

        Exit code 1 means that a live instance did not have the version in time, or that no live
        instance was found, for example because no entry answered.

        Args:
            version: Version to wait for; a later version is accepted, too.
            entries: Comma-separated URLs of entries.
            timeout: Maximum time to wait, in seconds.
            json: Print JSON.
        """
        import attrs

        from jayvalve.internal.operator.fleet import entry_urls
        from jayvalve.internal.operator.output import print_json
        from jayvalve.internal.operator.rollout import wait_for_version

        wanted = check_version(version, "VERSION", 1)
        timeout_s = check_timeout(timeout)
        state = asyncio.run(wait_for_version(entry_urls(entries), wanted, timeout_s))
        if json:
            print_json({**attrs.asdict(state), "complete": state.complete})
        else:
            total = len(state.reached) + len(state.pending)
            print(f"version {wanted}: {len(state.reached)} of {total} live instances have it")
            for name, seen in state.pending.items():
                print(f"  {name} has version {seen}")
            for url, reason in state.missing.items():
                print(f"  {url} did not answer: {reason}")
        if not state.complete:
            sys.exit(EXIT_FAILURE)


# "import" is a Python keyword, so the method cannot be defined under the name of the command.
setattr(ConfigCommands, "import", ConfigCommands._import)


def _run_publish(log: str, expected: int, publish: Any, json: bool) -> None:
    import attrs

    from jayvalve.errors import PublishConflictError
    from jayvalve.internal.operator.changes import open_session
    from jayvalve.internal.operator.output import print_json

    async def run() -> Any:
        async with open_session(log) as session:
            try:
                return await publish(session)
            except PublishConflictError as error:
                conflict = await session.conflict(expected)
                if json:
                    print_json({"conflict": attrs.asdict(conflict)})
                else:
                    title = f"version {conflict.version} by {conflict.author} changed"
                    print_changes(title, conflict.changes)
                raise error

    accepted = asyncio.run(run())
    if json:
        print_json({"version": accepted.version, "digest": accepted.digest})
    else:
        print(f"version {accepted.version} is in force")
