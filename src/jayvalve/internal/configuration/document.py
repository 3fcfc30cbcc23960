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
    """Limits of one endpoint as stated in the inventory.

    An entry uses max_running as the endpoint's limit until the next load report. The sidecar
    enforces the limits in its own settings instead.

    Attributes:
        max_running: Maximum number of calls that run at once.
        queue: Maximum number of calls that wait; not used by entries or sidecars.

    """

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
        """Strings that callers can request.

        These are model:NAME, adapter:NAME/ADAPTER and version:NAME/VERSION.
        """
        return frozenset(
            [f"model:{self.name}"]
            + [f"adapter:{self.name}/{adapter}" for adapter in self.adapters]
            + [f"version:{self.name}/{version}" for version in self.versions]
        )


@attrs.frozen
class Endpoint:
    """One endpoint.

    Attributes:
        name: Unique name.
        address: IP address and port of the endpoint's sidecar; IPv6 in brackets.
        data_centre: Data centre of the endpoint.
        role: model or application.
        services: Names of the services that an application endpoint provides.
        models: Models that a model endpoint has loaded.
        limits: Limits stated in the inventory; see Limits.
        checks_fencing: Whether the endpoint itself refuses orders with an old fencing number.
        non_repeatable_paths: Path prefixes whose calls may run at most once.

    """

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
        """Create from a validated JSON object."""
        values = dict(config)
        values["models"] = [Model(**model) for model in config.get("models", [])]
        values["limits"] = Limits(**config.get("limits", {}))
        return cls(**values)

    @property
    def capabilities(self) -> frozenset[str]:
        """Capabilities of the models, and service:NAME for each service."""
        return frozenset(f"service:{name}" for name in self.services).union(
            *(model.capabilities for model in self.models)
        )


@attrs.frozen
class Inventory:
    """All endpoints of one operator."""

    endpoints: tuple[Endpoint, ...] = attrs.field(default=(), converter=tuple)

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Inventory":
        """Create from a validated JSON object."""
        return cls(Endpoint.from_config(endpoint) for endpoint in config["endpoints"])

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name, or None."""
        return next((item for item in self.endpoints if item.name == name), None)


@attrs.frozen
class Document:
    """One version of the configuration.

    Attributes:
        inventory: Endpoints and their capabilities.
        rules: Rules with defaults filled in.
        canonical: The document as published, before defaults are filled in, as JSON with sorted
            keys and no white space.

    """

    inventory: Inventory
    rules: Rules
    canonical: bytes = attrs.field(repr=False)

    @classmethod
    def from_json(cls, text: str | bytes) -> "Document":
        """Parse and validate a document.

        Raises:
            InvalidSettingsError: text is not strict JSON, or the document is not valid; the
                message lists up to MAX_REPORTED_FAULTS faults, each with its JSON path and reason.

        """
        return cls.from_value(parse_json(text, "configuration"))

    @classmethod
    def from_value(cls, value: Any) -> "Document":
        """Validate a parsed document.

        Raises:
            InvalidSettingsError: the document is not valid, as for from_json, or it cannot be
                written as JSON.

        """
        check_document(value)
        return cls(
            Inventory.from_config(value["inventory"]),
            Rules.from_config(value.get("rules", {})),
            _canonical_json(value),
        )

    @property
    def digest(self) -> str:
        """Checksum of the canonical JSON, in hexadecimal."""
        return digest(self.canonical)

    def to_value(self) -> dict[str, Any]:
        """Return the document as parsed JSON."""
        return json.loads(self.canonical)
