"""Checks of configuration documents that report every fault with its path."""

import functools
import ipaddress
import json
import math
from collections import Counter
from importlib import resources
from typing import Any

from jsonschema import Draft202012Validator

from jayvalve.errors import InvalidSettingsError

__all__ = ["check_document", "load_schema", "parse_json"]

# Keeps the error message readable when a whole file has the wrong shape.
MAX_REPORTED_FAULTS = 50
_PARTS = {"inventory": "inventory.json", "rules": "rules.json"}
_REASON_LENGTH = 300


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the JSON Schema in the package's file of that name."""
    return json.loads(resources.files("jayvalve").joinpath("schemas", name).read_text("utf-8"))


def parse_json(text: str | bytes) -> Any:
    """Return the value in text.

    Raises:
        InvalidSettingsError: text is not JSON, repeats a key or holds NaN or Infinity.

    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_refuse_constant,
            parse_float=_finite_float,
        )
    except (ValueError, RecursionError) as error:
        raise InvalidSettingsError(f"configuration is not valid JSON: {error}") from error


def check_document(value: Any) -> None:
    """Raise InvalidSettingsError that lists each fault as "path: reason"."""
    faults = _shape_faults(value)
    if not faults:
        faults = _inventory_faults(value["inventory"]) + _rules_faults(value.get("rules", {}))
    if not faults:
        return
    shown = faults[:MAX_REPORTED_FAULTS]
    if len(faults) > len(shown):
        shown.append(f"and {len(faults) - len(shown)} more")
    raise InvalidSettingsError("configuration is not valid: " + "; ".join(shown))


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    repeated = [key for key, count in Counter(key for key, _ in pairs).items() if count > 1]
    if repeated:
        raise ValueError(f"key {repeated[0]!r} occurs more than once in one object")
    return dict(pairs)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _finite_float(text: str) -> float:
    # Python reads 1e999 as infinity, which is not JSON when it is written again.
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number {text:.40} is too large")
    return number


def _shape_faults(value: Any) -> list[str]:
    if not isinstance(value, dict):
        return ["$: must be an object with inventory and rules"]
    faults = [f"$.{key}: unknown key" for key in value if key not in _PARTS]
    if "inventory" not in value:
        faults.append("$.inventory: is required")
    for part, schema_name in _PARTS.items():
        if part in value:
            faults += _schema_faults(value[part], schema_name, f"$.{part}")
    return faults


def _schema_faults(value: Any, schema_name: str, prefix: str) -> list[str]:
    validator = Draft202012Validator(load_schema(schema_name))
    faults = []
    for error in sorted(validator.iter_errors(value), key=lambda fault: fault.json_path):
        path = prefix + error.json_path.removeprefix("$")
        if error.validator == "additionalProperties":
            known = error.schema.get("properties", {})
            faults += [f"{path}.{key}: unknown key" for key in error.instance if key not in known]
        else:
            faults.append(f"{path}: {error.message[:_REASON_LENGTH]}")
    return faults


def _inventory_faults(inventory: dict[str, Any]) -> list[str]:
    faults = []
    seen: dict[tuple[str, str], int] = {}
    for index, endpoint in enumerate(inventory["endpoints"]):
        path = f"$.inventory.endpoints[{index}]"
        for attribute in ("name", "address"):
            earlier = seen.setdefault((attribute, endpoint[attribute]), index)
            if earlier != index:
                faults.append(f"{path}.{attribute}: also used by endpoints[{earlier}]")
        faults += _endpoint_faults(endpoint, path)
    return faults


def _endpoint_faults(endpoint: dict[str, Any], path: str) -> list[str]:
    faults = []
    host, _, port = endpoint["address"].rpartition(":")
    if int(port) not in range(1, 65536):
        faults.append(f"{path}.address: port must be between 1 and 65535")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        faults.append(f"{path}.address: {host!r} is not an IP address")
    if endpoint["role"] == "model" and endpoint.get("services"):
        faults.append(f"{path}.services: only an endpoint with role application has services")
    if endpoint["role"] == "application" and endpoint.get("models"):
        faults.append(f"{path}.models: only an endpoint with role model has models")
    names = Counter(model["name"] for model in endpoint.get("models", []))
    repeated = sorted(name for name, count in names.items() if count > 1)
    faults += [f"{path}.models: model {name!r} is listed more than once" for name in repeated]
    return faults


def _rules_faults(rules: dict[str, Any]) -> list[str]:
    placement = rules.get("placement", {})
    up = placement.get("scale_up_load", 0.8)
    down = placement.get("scale_down_load", 0.0)
    if down >= up:
        return [f"$.rules.placement: scale_down_load {down} must be below scale_up_load {up}"]
    return []
