"""Adapters through which a sidecar communicates with its endpoint."""

from jayvalve.internal.engines.http import AdapterSettings, HttpAdapter
from jayvalve.internal.engines.messages import (
    CacheEvent,
    CachePage,
    EngineHead,
    EngineLoad,
    EngineRequest,
    end_to_end_headers,
)
from jayvalve.internal.engines.openai import OpenaiAdapter
from jayvalve.internal.engines.registry import ENGINE_ADAPTERS

__all__ = [
    "ENGINE_ADAPTERS",
    "AdapterSettings",
    "CacheEvent",
    "CachePage",
    "EngineHead",
    "EngineLoad",
    "EngineRequest",
    "HttpAdapter",
    "OpenaiAdapter",
    "end_to_end_headers",
]
