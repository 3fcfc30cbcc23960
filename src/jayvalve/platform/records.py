"""Decoding of the records that the operator and the engines write to the store."""

import json
import math
from typing import Any

from jayvalve.errors import InvalidSettingsError
from jayvalve.internal.gateway.model import (
    CallerLimits,
    EngineKey,
    EngineRecord,
    EngineState,
    ModelServing,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
)
from jayvalve.internal.malformed import MALFORMED_ERRORS, checked_address
from jayvalve.internal.organisations import KeyTable, Organisation, key_digest

__all__ = ["decode_configuration", "decode_engine", "without_keys"]

MS_PER_S = 1000.0
# Largest whole number that is taken, which messages between gateways and arithmetic can carry.
MAX_INTEGER = 2**53


def decode_engine(engine_id: str, value: bytes) -> EngineRecord | None:
    """Return the engine that a record describes, or None if the record names no engine to use.

    Records may come from other writers: they may be unreadable, lack fields or have fields of
    another type. All fields of an entry must be valid, since such a record may stand under the id
    of an engine whose own entry it has replaced. Only ``born`` may be missing.
    """
    try:
        _require_id(engine_id)
        entry = json.loads(value)
        host, _, port = entry["address"].rpartition(":")
        slots = _require_count(entry["slots"])
        if slots < 1:
            return None
        _require_count(entry["sequence"])
        return EngineRecord(
            key=EngineKey(engine_id, _require_count(entry.get("born", 0))),
            service=_require_text(entry["service"]),
            address=checked_address(host, port),
            data_centre=_require_text(entry["zone"]),
            slots=slots,
            state=EngineState(entry["state"]),
            warm_up_s=_require_duration(entry["cold_remaining_ms"]) / MS_PER_S,
            version=_require_text(entry["version"]),
        )
    except MALFORMED_ERRORS:
        return None


def decode_configuration(value: bytes) -> RoutingTable:
    """Return the configuration that a record contains.

    Raises:
        InvalidSettingsError: the record is not a valid configuration.

    """
    try:
        document = json.loads(value)
        services = {
            _require_text(entry["name"]): _decode_service(entry) for entry in document["services"]
        }
        return RoutingTable(
            version=_require_count(document["version"]),
            routes=tuple(_decode_route(entry) for entry in document["routes"]),
            services=services,
            limits=_decode_limits(document.get("limits") or {}),
            keys=_decode_organisations(document.get("tenants") or []),
        )
    except UnicodeError as error:
        # Its text contains the document, in which the keys of the organisations are.
        raise InvalidSettingsError(
            f"configuration cannot be read: {type(error).__name__}"
        ) from None
    except MALFORMED_ERRORS as error:
        raise InvalidSettingsError(f"configuration cannot be read: {error!r}") from error


def without_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of the keys of the organisations."""
    try:
        document = json.loads(value)
        if not document.get("tenants"):
            return value
        for entry in document["tenants"]:
            entry["api_key_digests"] = [digest.hex() for digest in _key_digests(entry)]
            entry.pop("api_keys", None)
        return json.dumps(document).encode()
    except MALFORMED_ERRORS:
        # Nothing can be removed from what cannot be read. Other gateways refuse this value too.
        return b"{}"


def _decode_route(entry: dict[str, Any]) -> Route:
    split = entry.get("traffic_split")
    if split:
        services = tuple(
            (_require_text(part["service"]), _finite(part["weight"])) for part in split
        )
    else:
        services = ((_require_text(entry["service"]), 1.0),)
    timeout_s = _finite(entry["timeout_ms"]) / MS_PER_S
    return Route(
        name=_require_text(entry["name"]),
        host=_require_text(entry["host"]).lower(),
        path_prefix=_require_text(entry["path_prefix"]),
        kind=RouteKind(entry["type"]),
        services=services,
        max_attempts=max(1, _integer(entry.get("max_attempts") or 1)),
        timeout_s=timeout_s,
        target_s=_finite(entry.get("target_latency_ms") or timeout_s * MS_PER_S) / MS_PER_S,
        rank=_integer(entry.get("priority") or 0),
        retained=entry.get("retained") is True,
        retention_s=_finite(entry.get("retention_s") or 60.0),
        resumable=entry.get("resumable") is True,
        public=entry.get("public") is True,
    )


def _decode_organisations(entries: list[dict[str, Any]]) -> KeyTable | None:
    """Return the table of the organisations' keys, or None if there are no organisations.

    Raises:
        ValueError: A name occurs twice, or two organisations have the same key. Their requests
            and kept turns could not be told apart.

    """
    if not isinstance(entries, list):
        raise ValueError("tenants is not a list")
    digests: list[tuple[bytes, Organisation]] = []
    used = set()
    for entry in entries:
        organisation = _decode_organisation(entry)
        if organisation.name in used:
            raise ValueError(f"two organisations are called {_shorten(organisation.name)}")
        used.add(organisation.name)
        digests += [(digest, organisation) for digest in _key_digests(entry)]
    return KeyTable(digests) if entries else None


def _key_digests(entry: dict[str, Any]) -> list[bytes]:
    """Return the digests of an organisation's keys; other gateways send only these."""
    keys, digests = entry.get("api_keys") or [], entry.get("api_key_digests") or []
    # An error must not contain any of the keys.
    if not _are_texts(keys) or not _are_texts(digests):
        raise ValueError("the keys of an organisation are not a list of texts")
    return [key_digest(key.encode()) for key in keys] + [bytes.fromhex(text) for text in digests]


def _are_texts(values: Any) -> bool:
    return isinstance(values, list) and all(isinstance(value, str) and value for value in values)


def _decode_organisation(entry: dict[str, Any]) -> Organisation:
    name = _require_text(entry["name"])
    # Engines receive the name in a header.
    if not name or not name.isprintable() or name != name.strip():
        raise ValueError(f"{_shorten(name)} cannot be sent as the name of an organisation")
    priority = entry.get("priority")
    return Organisation(
        name,
        None if priority is None else _integer(priority),
        _require_duration(entry.get("rate_per_s") or 0.0),
        _require_duration(entry.get("burst") or 0.0),
    )


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get("engine")
    model = None
    if engine:
        model = ModelServing(
            slots=_integer(engine["slots"]),
            chunk_tokens=_integer(engine["chunk_tokens"]),
            kv_cache_tokens=_integer(engine["kv_cache_tokens"]),
        )
    return ServiceSpec(
        _require_text(entry["name"]),
        _integer(entry.get("connection_limit") or 64),
        model,
        _health_path(entry.get("health_path")),
    )


def _health_path(value: Any) -> str | None:
    """Return a path that can be sent, or None, since a service works without one as well."""
    if not isinstance(value, str) or not value.startswith("/"):
        return None
    return value if value.isascii() and value.isprintable() and " " not in value else None


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=_integer(entry.get("max_header_bytes") or default.max_header_bytes),
        max_body_bytes=_integer(entry.get("max_body_bytes") or default.max_body_bytes),
        idle_timeout_s=_finite(entry.get("idle_timeout_ms") or default.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
        header_timeout_s=_finite(entry["header_timeout_ms"]) / MS_PER_S
        if entry.get("header_timeout_ms")
        else None,
    )


def _require_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"{_shorten(value)} is not a whole number from 0 to {MAX_INTEGER}")
    return value


def _require_duration(value: Any) -> float:
    if type(value) not in (int, float) or value < 0:
        raise ValueError(f"{_shorten(value)} is not a duration")
    return _finite(value)


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{_shorten(value)} is not a text")
    # JSON may contain half of a surrogate pair, which no message or log line can carry.
    value.encode()
    return value


def _require_id(value: str) -> None:
    # Ids are sent in headers.
    if not value.isascii() or not value.isprintable() or value != value.strip():
        raise ValueError(f"{_shorten(value)} cannot be sent as an id")


def _finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{_shorten(value)} is not finite")
    return number


def _integer(value: Any) -> int:
    """Return a whole number that floating-point arithmetic and messages can carry."""
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError(f"{_shorten(value)} is larger than {MAX_INTEGER}")
    return number


def _shorten(value: Any) -> str:
    return repr(value)[:80]
