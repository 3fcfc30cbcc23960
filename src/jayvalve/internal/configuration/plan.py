"""Preview of the changes that a publish would make."""

from typing import Any

import attrs

from jayvalve.internal.configuration.document import Document, Inventory

__all__ = ["Change", "Plan", "diff", "make_plan"]

ABSENT = "(absent)"


@attrs.frozen
class Change:
    """One changed value; before is ABSENT for a new path, and after is ABSENT for a removed one."""

    path: str
    before: Any
    after: Any


@attrs.frozen
class Plan:
    """Effect of a publish.

    Attributes:
        changes: Changed values, sorted by path.
        endpoints_added: Names of new endpoints.
        endpoints_removed: Names of endpoints that are removed.
        models_loaded: New pairs (endpoint, model).
        models_lost: Pairs (endpoint, model) that are no longer listed.
        capabilities_lost: Capabilities that would lose their last endpoint.

    """

    changes: tuple[Change, ...]
    endpoints_added: tuple[str, ...]
    endpoints_removed: tuple[str, ...]
    models_loaded: tuple[tuple[str, str], ...]
    models_lost: tuple[tuple[str, str], ...]
    capabilities_lost: tuple[str, ...]


def diff(old: Document | None, new: Document) -> tuple[Change, ...]:
    """Return the changed values; endpoints and models are matched by name, not by position."""
    before = _flatten(_index_by_name(old.to_value()), "$") if old is not None else {}
    after = _flatten(_index_by_name(new.to_value()), "$")
    return tuple(
        Change(path, before.get(path, ABSENT), after.get(path, ABSENT))
        for path in sorted(before.keys() | after.keys())
        if before.get(path, ABSENT) != after.get(path, ABSENT)
    )


def make_plan(old: Document | None, new: Document) -> Plan:
    """Return the effect of publishing new; old is None before the first publish."""
    old_inventory = old.inventory if old is not None else Inventory()
    old_names, new_names = _endpoint_names(old_inventory), _endpoint_names(new.inventory)
    old_models, new_models = _endpoint_models(old_inventory), _endpoint_models(new.inventory)
    return Plan(
        diff(old, new),
        tuple(sorted(new_names - old_names)),
        tuple(sorted(old_names - new_names)),
        tuple(sorted(new_models - old_models)),
        tuple(sorted(old_models - new_models)),
        tuple(sorted(_capabilities(old_inventory) - _capabilities(new.inventory))),
    )


def _endpoint_names(inventory: Inventory) -> set[str]:
    return {endpoint.name for endpoint in inventory.endpoints}


def _endpoint_models(inventory: Inventory) -> set[tuple[str, str]]:
    return {(item.name, model.name) for item in inventory.endpoints for model in item.models}


def _capabilities(inventory: Inventory) -> set[str]:
    return set().union(*(endpoint.capabilities for endpoint in inventory.endpoints))


def _index_by_name(value: dict[str, Any]) -> dict[str, Any]:
    endpoints = {}
    for endpoint in value["inventory"]["endpoints"]:
        models = {model["name"]: model for model in endpoint.get("models", [])}
        endpoints[endpoint["name"]] = {**endpoint, "models": models} if models else endpoint
    return {**value, "inventory": {"endpoints": endpoints}}


def _flatten(value: Any, path: str) -> dict[str, Any]:
    if not isinstance(value, dict) or not value:
        return {path: value}
    flat: dict[str, Any] = {}
    for key, inner in value.items():
        flat.update(_flatten(inner, f"{path}.{key}"))
    return flat
