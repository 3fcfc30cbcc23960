"""Argument checks and output shared by several commands."""

import getpass
import pathlib
from typing import Any

__all__ = [
    "check_timeout",
    "check_version",
    "current_user",
    "load_document",
    "print_changes",
    "print_plan",
    "read_text",
]

MAX_ROLLOUT_TIMEOUT_S = 3600.0


def print_changes(title: str, changes: list[dict[str, Any]]) -> None:
    """Print changed values as a table."""
    from jayvalve.internal.operator.output import print_table

    rows = [[change["path"], change["before"], change["after"]] for change in changes]
    print_table(title, ("path", "before", "after"), rows)


def print_plan(plan: dict[str, Any]) -> None:
    """Print the effects that a publish would have."""
    from jayvalve.internal.operator.output import print_table

    print(f"version in force: {plan['version_in_force']}")
    for field in ("endpoints_added", "endpoints_removed", "capabilities_lost"):
        heading = field.replace("_", " ")
        if field == "capabilities_lost":
            heading = "capabilities that lose their last endpoint"
        print(f"{heading}: {', '.join(plan[field]) or 'none'}")
    moved = [list(item.values()) for item in plan["endpoints_moved"]]
    print_table("endpoints moved", ("endpoint", "what", "before", "after"), moved)
    print_table("models loaded", ("endpoint", "model"), plan["models_loaded"])
    print_table("models lost", ("endpoint", "model"), plan["models_lost"])
    print_changes("changes", plan["changes"])


def read_text(path: str) -> str:
    """Return the text of a file, or raise InvalidSettingsError if it cannot be read."""
    from jayvalve.errors import InvalidSettingsError

    try:
        return pathlib.Path(path).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingsError(f"{path}: cannot be read: {error}") from error


def load_document(path: str) -> Any:
    """Load and validate a configuration file.

    Raises:
        InvalidSettingsError: the file cannot be read or is not valid; the message names the file.
    """
    from jayvalve.errors import InvalidSettingsError
    from jayvalve.internal.configuration import Document

    try:
        return Document.from_json(read_text(path))
    except InvalidSettingsError as error:
        message = error.message.removeprefix(f"{path}: ")
        raise InvalidSettingsError(f"{path}: {message}") from error


def check_version(value: object, name: str, minimum: int) -> int:
    """Return value if it is a version number of at least minimum.

    Raises:
        InvalidRequestError: it is not; the message names the argument.
    """
    from jayvalve.errors import InvalidRequestError

    if type(value) is not int or value < minimum:
        raise InvalidRequestError(f"{name} takes a version number from {minimum}, not {value!r}")
    return value


def check_timeout(value: object) -> float:
    """Return value as a timeout in seconds.

    Raises:
        InvalidRequestError: it is not a number from 0 to MAX_ROLLOUT_TIMEOUT_S.
    """
    from jayvalve.errors import InvalidRequestError

    if type(value) not in (int, float) or not 0 <= value <= MAX_ROLLOUT_TIMEOUT_S:
        raise InvalidRequestError(f"--timeout takes 0 to {MAX_ROLLOUT_TIMEOUT_S:.0f} seconds")
    return float(value)


def current_user() -> str:
    """Return the name of the user who runs the command."""
    return getpass.getuser()
