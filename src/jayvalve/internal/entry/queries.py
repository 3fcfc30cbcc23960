"""Handlers of requests that change nothing."""

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
        """Set the token table and the function that returns the model names."""
        self._tokens = tokens
        self._models = models

    def get(self) -> None:
        """List the models of the inventory."""
        self._tokens.organisation(self.request.headers.get("Authorization"))
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": "jayvalve"}
            for name in self._models()
        ]
        self.finish({"object": "list", "data": entries})


class ProgramQueryHandler(CallerHandler):
    """``GET /v1/programs/{id}``, ``.../history`` and ``GET /v1/keys/{key}``."""

    async def get(self, *_: str) -> None:
        """Return the state or history of a program, or the state of a key."""
        await self.relay()


class HealthHandler(ErrorHandler):
    """``GET /healthz``."""

    def initialize(self, state: Callable[[], str]) -> None:
        """Set the function that returns the state of the process."""
        self._state = state

    def get(self) -> None:
        """Return status 200 while the process accepts new work, else 503."""
        state = self._state()
        self.set_status(200 if state == "live" else 503)
        self.finish({"state": state})


class MetricsHandler(ErrorHandler):
    """``GET /metrics``."""

    def initialize(self, metrics: Metrics) -> None:
        """Set the metrics of this process."""
        self._metrics = metrics

    def get(self) -> None:
        """Return the metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.render())


class StatusHandler(ErrorHandler):
    """``GET /status`` and ``GET /slo``."""

    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        """Set the function that returns the document."""
        self._status = status

    def get(self) -> None:
        """Return the document as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._status(), sort_keys=True))


class TimelineHandler(ErrorHandler):
    """``GET /programs/{id}``, for operators."""

    def initialize(self, find: Callable[[str, str | None], list[dict[str, Any]]]) -> None:
        """Set the function that looks up timelines."""
        self._find = find

    def get(self, program: str) -> None:
        """Return the timelines of the programs of that name that this entry owns.

        The query argument organisation limits them to one organisation.
        """
        organisation = self.get_query_argument("organisation", None)
        self.finish({"programs": self._find(program, organisation)})
