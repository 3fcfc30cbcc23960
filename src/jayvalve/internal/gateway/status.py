"""Readiness and metrics over HTTP."""

from collections.abc import Callable

from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from jayvalve.internal.gateway.client_guard import GuardedServer, GuardFactory, default_guard
from jayvalve.internal.metrics import Metrics

__all__ = ["StatusServer"]

METRICS_PATH = "/metrics"
MAX_HEADER_BYTES = 16 * 1024
# Requests for the status have no bodies.
MAX_BODY_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60.0
BODY_TIMEOUT_S = 10.0


class StatusServer:
    """HTTP server for the readiness and the metrics of the process.

    Args:
        guard: Creates the guard of the connections.

    """

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Metrics,
        readiness_path: str,
        guard: GuardFactory = default_guard,
    ) -> None:
        class ReadinessHandler(RequestHandler):
            def get(self) -> None:
                self.set_status(200 if ready() else 503)
                self.finish("ready\n" if ready() else "not ready\n")

        class MetricsHandler(RequestHandler):
            def get(self) -> None:
                self.set_header("Content-Type", "text/plain; version=0.0.4")
                self.finish(metrics.render())

        application = Application(
            [(readiness_path, ReadinessHandler), (METRICS_PATH, MetricsHandler)],
            log_function=lambda handler: None,
        )
        self._guard = guard(application)
        self._server = GuardedServer(
            self._guard,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )

    def listen(self, address: tuple[str, int]) -> None:
        """Accept connections."""
        self._server.add_sockets(bind_sockets(address[1], address[0]))
        self._guard.start()

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()
        self._guard.stop()
