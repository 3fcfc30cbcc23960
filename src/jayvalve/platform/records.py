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

__all__ = ["decode_configuration", "decode_engine"]

MS_PER_S = 1000.0


def decode_engine(engine_id: str, value: bytes) -> EngineRecord | None:
    """Return the engine that a record describes, or None if the record is not valid.

    Records may come from other writers: they may be unreadable, lack fields or have fields of
    another type.
    """
    try:
        entry = json.loads(value)
        host, _, port = entry["address"].rpartition(":")
        slots = entry["slots"]
        if type(slots) is not int or slots < 1 or not isinstance(entry["service"], str):
            return None
        return EngineRecord(
            key=EngineKey(engine_id, _require_integer(entry.get("born", 0))),
            service=entry["service"],
            address=checked_address(host, port),
            data_centre=entry["zone"] if isinstance(entry.get("zone"), str) else "",
            slots=slots,
            state=EngineState(entry["state"]),
            warm_up_s=_number_or_zero(entry.get("cold_remaining_ms", 0)) / MS_PER_S,
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
        services = {entry["name"]: _decode_service(entry) for entry in document["services"]}
        return RoutingTable(
            version=_require_integer(document["version"]),
            routes=tuple(_decode_route(entry) for entry in document["routes"]),
            services=services,
            limits=_decode_limits(document.get("limits") or {}),
        )
    except MALFORMED_ERRORS as error:
        raise InvalidSettingsError(f"configuration cannot be read: {error!r}") from error


def _decode_route(entry: dict[str, Any]) -> Route:
    split = entry.get("traffic_split")
    if split:
        services = tuple((part["service"], float(part["weight"])) for part in split)
    else:
        services = ((entry["service"], 1.0),)
    timeout_s = float(entry["timeout_ms"]) / MS_PER_S
    return Route(
        name=_require_text(entry["name"]),
        host=entry["host"].lower(),
        path_prefix=_require_text(entry["path_prefix"]),
        kind=RouteKind(entry["type"]),
        services=services,
        max_attempts=max(1, int(entry.get("max_attempts") or 1)),
        timeout_s=timeout_s,
        target_s=float(entry.get("target_latency_ms") or timeout_s * MS_PER_S) / MS_PER_S,
        rank=int(entry.get("priority") or 0),
        retained=entry.get("retained") is True,
        retention_s=float(entry.get("retention_s") or 60.0),
        resumable=entry.get("resumable") is True,
    )


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get("engine")
    model = None
    if engine:
        model = ModelServing(
            slots=int(engine["slots"]),
            chunk_tokens=int(engine["chunk_tokens"]),
            kv_cache_tokens=int(engine["kv_cache_tokens"]),
        )
    return ServiceSpec(entry["name"], int(entry.get("connection_limit") or 64), model)


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(entry.get("max_header_bytes") or default.max_header_bytes),
        max_body_bytes=int(entry.get("max_body_bytes") or default.max_body_bytes),
        idle_timeout_s=float(entry.get("idle_timeout_ms") or default.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
    )


def _require_integer(value: Any) -> int:
    if type(value) is not int:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _number_or_zero(value: Any) -> float:
    number = float(value) if isinstance(value, int | float) else 0.0
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value
