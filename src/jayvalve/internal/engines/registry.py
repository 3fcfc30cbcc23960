"""The registry of engine adapters, by the kind named in the inventory."""

from jayvalve.internal.registry import Registry

__all__ = ["ENGINE_ADAPTERS"]

ENGINE_ADAPTERS: Registry[type] = Registry("engine adapter")
