"""Registry of the stand-ins by kind, as named in settings and on the command line."""

from jayvalve.internal.registry import Registry

__all__ = ["STAND_INS"]

STAND_INS: Registry[type] = Registry("stand-in")
