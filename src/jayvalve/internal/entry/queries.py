"""Handlers of requests that only read."""

import json
from collections.abc import Callable
from typing import Any

from jayvalve.internal.entry.authentication import TokenTable
from jayvalve.internal.entry.http import CallerHandler, ErrorHandler
from jayvalve.internal.metrics import Metrics

__all__ = [
    "HealthHandler",
    "MetricsHandler",
    "ModelsHandler",
    "ProgramQueryHandler",
    "StatusHandler",
    "TimelineHandler",
]


class ModelsHandler(ErrorHandler):
    """``GET /v1/models``."""

    def initialize(self, tokens: TokenTable, models: Callable[[], list[str]]) -> None:
        """Receive the token table and the source of model names."""
        self._tokens = tokens
        self._models = models

    def get(self) -> None:
        """List the models that the inventory offers."""
        self._tokens.organisation(self.request.headers.get("Authorization"))
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": "jayvalve"}
            for name in self._models()
        ]
        self.finish({"object": "list", "data": entries})


class ProgramQueryHandler(CallerHandler):
    """``GET /v1/programs/{id}``, ``.../history`` and ``GET /v1/keys/{key}``."""

    async def get(self, *_: str) -> None:
        """Return what the owner knows."""
        await self.relay()


class HealthHandler(ErrorHandler):
    """``GET /healthz``."""

    def initialize(self, state: Callable[[], str]) -> None:
        """Receive the source of the process state."""
        self._state = state

    def get(self) -> None:
        """Answer 200 while the process takes new work, else 503."""
        state = self._state()
        self.set_status(200 if state == "live" else 503)
        self.finish({"state": state})


class MetricsHandler(ErrorHandler):
    """``GET /metrics``."""

    def initialize(self, metrics: Metrics) -> None:
        """Receive the metrics of this process."""
        self._metrics = metrics

    def get(self) -> None:
        """Return the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.render())


class StatusHandler(ErrorHandler):
    """``GET /status``."""

    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        """Receive the source of the status document."""
        self._status = status

    def get(self) -> None:
        """Return the status document as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._status(), sort_keys=True))


class TimelineHandler(ErrorHandler):
    """``GET /programs/{id}``, for operators."""

    def initialize(self, find: Callable[[str, str | None], list[dict[str, Any]]]) -> None:
        """Receive the lookup of timelines."""
        self._find = find

    def get(self, program: str) -> None:
        """Return the timelines of the owned programs of that name, of all organisations."""
        organisation = self.get_query_argument("organisation", None)
        self.finish({"programs": self._find(program, organisation)})
