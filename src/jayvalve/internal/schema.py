"""Validation of JSON documents against the schemas that ship with the package."""

import functools
import importlib.resources
import json
from typing import Any

from jsonschema import Draft202012Validator

from jayvalve.errors import InvalidSettingsError

__all__ = ["check_document", "load_schema", "parse_json"]


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the schema ``schemas/<name>.json`` of this package."""
    resource = importlib.resources.files("jayvalve").joinpath("schemas", f"{name}.json")
    return json.loads(resource.read_text(encoding="utf-8"))


def parse_json(text: str | bytes, source: str) -> Any:
    """Return the JSON value; an error names the source, line and column."""
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        raise InvalidSettingsError(
            f"{source}: not valid JSON at line {error.lineno} column {error.colno}: {error.msg}"
        ) from error
    except (UnicodeDecodeError, RecursionError) as error:
        raise InvalidSettingsError(f"{source}: not valid JSON: {error}") from error


def check_document(document: Any, schema_name: str, source: str) -> None:
    """Raise InvalidSettingsError that lists the path and reason of every fault."""
    validator = Draft202012Validator(load_schema(schema_name))
    faults = [
        f"{fault.json_path}: {fault.message}"
        for fault in sorted(validator.iter_errors(document), key=lambda fault: fault.json_path)
    ]
    if faults:
        raise InvalidSettingsError(f"{source}: " + "; ".join(faults))
