"""Commands under ``jayvalve report``."""

import asyncio
import pathlib
import sys

from fire.decorators import SetParseFn

__all__ = ["ReportCommands"]

EXIT_NO_ANSWER = 1


class ReportCommands:
    """Reports on the service level that callers received."""

    @SetParseFn(str, "entries", "format", "output")
    def burn(self, entries: str, format: str = "text", output: str = "") -> None:
        """Report how fast the error budgets of the latency targets are being spent.

        Exit code 1 means that no entry answered; the report lists those that did not.

        Args:
            entries: Comma-separated URLs of entries.
            format: text, json or html.
            output: Path of the file to write; standard output by default.
        """
        from jayvalve.errors import InvalidRequestError
        from jayvalve.internal.operator.fleet import entry_urls, fetch_all
        from jayvalve.internal.report.burn import burn_report
        from jayvalve.internal.report.render import as_html, as_text, to_json

        renderers = {"text": as_text, "json": to_json, "html": as_html}
        if format not in renderers:
            raise InvalidRequestError(f"--format takes {', '.join(renderers)}, not {format!r}")
        fleet = asyncio.run(fetch_all(entry_urls(entries), "/slo"))
        text = renderers[format](burn_report(fleet.answers.values(), fleet.missing))
        if output:
            pathlib.Path(output).write_text(text, encoding="utf-8")
        else:
            print(text, end="")
        if not fleet.answers:
            sys.exit(EXIT_NO_ANSWER)
