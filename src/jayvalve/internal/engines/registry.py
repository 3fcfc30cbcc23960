"""Registry of engine adapters, keyed by the adapter name in a sidecar's settings."""

from jayvalve.internal.registry import Registry

__all__ = ["ENGINE_ADAPTERS"]

ENGINE_ADAPTERS: Registry[type] = Registry("engine adapter")
