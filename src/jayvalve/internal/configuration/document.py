"""The configuration document: inventory and rules."""

import json
from typing import Any

import attrs

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.configuration.rules import Rules
from jayvalve.internal.configuration.validation import check_document
from jayvalve.internal.hashing import digest
from jayvalve.internal.schema import parse_json

__all__ = ["Document", "Endpoint", "Inventory", "Limits", "Model"]


def _canonical_json(value: Any) -> bytes:
    try:
        return json.dumps(
            value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
        ).encode()
    except ValueError as error:
        raise InvalidSettingsError(f"configuration cannot be written as JSON: {error}") from error


@attrs.frozen
class Limits:
    """Bounds of one endpoint in numbers of calls."""

    max_running: int = 8
    queue: int = 256


@attrs.frozen
class Model:
    """A model with its adapters and versions."""

    name: str
    adapters: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    versions: tuple[str, ...] = attrs.field(default=(), converter=tuple)

    @property
    def capabilities(self) -> frozenset[str]:
        """Strings model:N, adapter:N/A and version:N/V that callers can ask for."""
        return frozenset(
            [f"model:{self.name}"]
            + [f"adapter:{self.name}/{adapter}" for adapter in self.adapters]
            + [f"version:{self.name}/{version}" for version in self.versions]
        )


@attrs.frozen
class Endpoint:
    """One endpoint; address is that of its sidecar."""

    name: str
    address: str
    data_centre: str
    role: str
    services: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    models: tuple[Model, ...] = attrs.field(default=(), converter=tuple)
    limits: Limits = attrs.field(factory=Limits)
    checks_fencing: bool = False
    non_repeatable_paths: tuple[str, ...] = attrs.field(default=(), converter=tuple)

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Endpoint":
        """Build from a checked JSON object."""
        values = dict(config)
        values["models"] = [Model(**model) for model in config.get("models", [])]
        values["limits"] = Limits(**config.get("limits", {}))
        return cls(**values)

    @property
    def capabilities(self) -> frozenset[str]:
        """Capabilities of the models, and service:N for each service."""
        return frozenset(f"service:{name}" for name in self.services).union(
            *(model.capabilities for model in self.models)
        )


@attrs.frozen
class Inventory:
    """All endpoints of the operator."""

    endpoints: tuple[Endpoint, ...] = attrs.field(default=(), converter=tuple)

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Inventory":
        """Build from a checked JSON object."""
        return cls(Endpoint.from_config(endpoint) for endpoint in config["endpoints"])

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint of that name, or None."""
        return next((item for item in self.endpoints if item.name == name), None)


@attrs.frozen
class Document:
    """One version of the configuration.

    Attributes:
        inventory: Endpoints and their capabilities.
        rules: Rules with defaults filled in.
        canonical: The document as published, as JSON with sorted keys and no white space.

    """

    inventory: Inventory
    rules: Rules
    canonical: bytes = attrs.field(repr=False)

    @classmethod
    def from_json(cls, text: str | bytes) -> "Document":
        """Parse and check a document.

        Raises:
            InvalidSettingsError: lists every fault with its JSON path and reason.

        """
        return cls.from_value(parse_json(text, "configuration"))

    @classmethod
    def from_value(cls, value: Any) -> "Document":
        """Check a parsed document; errors as for from_json."""
        check_document(value)
        return cls(
            Inventory.from_config(value["inventory"]),
            Rules.from_config(value.get("rules", {})),
            _canonical_json(value),
        )

    @property
    def digest(self) -> str:
        """Checksum of the canonical JSON."""
        return digest(self.canonical)

    def to_value(self) -> dict[str, Any]:
        """Return the document as parsed JSON."""
        return json.loads(self.canonical)
