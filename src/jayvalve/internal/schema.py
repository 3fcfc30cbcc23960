"""Strict JSON parsing and validation against the schemas shipped with the package."""

import functools
import importlib.resources
import json
import math
from collections import Counter
from typing import Any

from jayvalve.errors import InvalidSettingsError

__all__ = ["check_against_schema", "load_schema", "parse_json", "schema_faults"]

# Keeps the error message readable: jsonschema quotes the whole invalid value, which may be the
# complete document.
MAX_REASON_CHARACTERS = 300


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the schema ``schemas/<name>.json`` of this package."""
    resource = importlib.resources.files("jayvalve").joinpath("schemas", f"{name}.json")
    return json.loads(resource.read_text(encoding="utf-8"))


def parse_json(text: str | bytes, source: str) -> Any:
    """Return the JSON value in text.

    Raises:
        InvalidSettingsError: text is not JSON, is nested too deeply, repeats a key in an
            object, or contains NaN, Infinity or a number too large for a float. The message
            names the source and, for a syntax error, the line and column.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
    except json.JSONDecodeError as error:
        raise InvalidSettingsError(
            f"{source} is not valid JSON at line {error.lineno} column {error.colno}: {error.msg}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise InvalidSettingsError(f"{source} is not valid JSON: {error}") from error


def schema_faults(value: Any, schema_name: str, prefix: str = "$") -> list[str]:
    """Return every schema violation as "path: reason"; paths start with prefix."""
    # Imported on first use, because a process without a settings file does not need it.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(load_schema(schema_name))
    faults = []
    for error in sorted(validator.iter_errors(value), key=lambda fault: fault.json_path):
        path = prefix + error.json_path.removeprefix("$")
        if error.validator == "additionalProperties":
            known = error.schema.get("properties", {})
            faults += [f"{path}.{key}: unknown key" for key in error.instance if key not in known]
        else:
            faults.append(f"{path}: {error.message[:MAX_REASON_CHARACTERS]}")
    return faults


def check_against_schema(value: Any, schema_name: str, source: str) -> None:
    """Raise InvalidSettingsError if value violates the schema.

    The message names the source and lists the path and reason of every violation.
    """
    faults = schema_faults(value, schema_name)
    if faults:
        raise InvalidSettingsError(f"{source}: " + "; ".join(faults))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    duplicates = [key for key, count in Counter(key for key, _ in pairs).items() if count > 1]
    if duplicates:
        raise ValueError(f"key {duplicates[0]!r} occurs more than once in one object")
    return dict(pairs)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _parse_finite_float(text: str) -> float:
    # Python parses 1e999 as infinity, which cannot be written back as valid JSON.
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number {text:.40} is too large")
    return number
