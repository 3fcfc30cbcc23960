"""Messages between gateways about the limits that engines name."""

import math
from typing import Any

from jayvalve.internal.gateway.engine_limits import EngineLimits, LimitReport
from jayvalve.internal.gateway.model import EngineKey

__all__ = ["LIMIT_NOTICES", "LimitMessages", "decode_report", "encode_report"]

LIMIT_NOTICES = "limits"
# Stands for an engine without a limit.
_NO_LIMIT = -1.0
_MAX_PER_S = 1e6


def encode_report(report: LimitReport) -> list[Any]:
    """Return the fields of a report as they are sent."""
    per_s = _NO_LIMIT if report.per_s is None else report.per_s
    return [report.key.id, report.key.born_ms, per_s, report.age_s]


def decode_report(fields: list[Any]) -> LimitReport:
    """Return a report from its fields.

    Raises:
        ValueError, TypeError: the fields are malformed.

    """
    engine_id, born_ms, per_s, age_s = fields
    limit, age = float(per_s), float(age_s)
    if type(born_ms) is not int or not math.isfinite(limit) or limit > _MAX_PER_S:
        raise ValueError(f"{fields!r} does not describe a limit of an engine")
    if not (math.isfinite(age) and age >= 0.0):
        raise ValueError(f"{age_s!r} is not the age of an observation")
    return LimitReport(EngineKey(str(engine_id), born_ms), None if limit < 0 else limit, age)


class LimitMessages:
    """Translates between the limits of this gateway and notices."""

    def __init__(self, limits: EngineLimits) -> None:
        self._limits = limits

    def items(self) -> list[Any]:
        """Return what the engines recently named to this gateway."""
        return [encode_report(report) for report in self._limits.report()]

    def receive(self, items: list[Any]) -> None:
        """Learn what the engines named to another gateway."""
        for fields in items:
            self._limits.learn(decode_report(fields))
