"""The registry of stand-ins, by the kind named in settings and on the command line."""

from jayvalve.internal.registry import Registry

__all__ = ["STAND_INS"]

STAND_INS: Registry[type] = Registry("stand-in")
