"""Validation of configuration documents, which reports each fault with its path."""

import ipaddress
from collections import Counter
from typing import Any

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.schema import schema_faults

__all__ = ["check_document"]

# Keeps the error message readable if a whole file has the wrong structure.
MAX_REPORTED_FAULTS = 50
# Each part of a document has a schema with the same name.
_PARTS = ("inventory", "rules")


def check_document(value: Any) -> None:
    """Validate a parsed document.

    Addresses and relations between values are checked only if the structure has no faults.

    Raises:
        InvalidSettingsError: lists up to MAX_REPORTED_FAULTS faults as "path: reason".

    """
    faults = _structure_faults(value)
    if not faults:
        faults = _inventory_faults(value["inventory"]) + _rules_faults(value.get("rules", {}))
    if not faults:
        return
    shown = faults[:MAX_REPORTED_FAULTS]
    if len(faults) > len(shown):
        shown.append(f"and {len(faults) - len(shown)} more")
    raise InvalidSettingsError("configuration is not valid: " + "; ".join(shown))


def _structure_faults(value: Any) -> list[str]:
    if not isinstance(value, dict):
        return ["$: must be an object with the key inventory and optionally rules"]
    faults = [f"$.{key}: unknown key" for key in value if key not in _PARTS]
    if "inventory" not in value:
        faults.append("$.inventory: is required")
    for part in _PARTS:
        if part in value:
            faults += schema_faults(value[part], part, f"$.{part}")
    return faults


def _inventory_faults(inventory: dict[str, Any]) -> list[str]:
    faults = []
    first_indexes: dict[tuple[str, str], int] = {}
    for index, endpoint in enumerate(inventory["endpoints"]):
        path = f"$.inventory.endpoints[{index}]"
        for attribute in ("name", "address"):
            first_index = first_indexes.setdefault((attribute, endpoint[attribute]), index)
            if first_index != index:
                faults.append(f"{path}.{attribute}: also used by endpoints[{first_index}]")
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
        faults.append(
            f"{path}.services: only an endpoint with the role application may have services"
        )
    if endpoint["role"] == "application" and endpoint.get("models"):
        faults.append(f"{path}.models: only an endpoint with the role model may have models")
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
