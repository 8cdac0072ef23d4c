"""Serves ``/metrics``, ``/healthz`` and ``/readyz`` of a program."""

from __future__ import annotations

from collections.abc import Callable

from ..transport import HttpRequest, Responder

__all__ = ["Monitoring"]

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Monitoring:
    """Serves a program's metrics, liveness and readiness over HTTP.

    Parameters
    ----------
    render_metrics : callable
        Returns the metrics in Prometheus' text format.
    missing : callable
        Returns the reasons why the program does not serve; empty if it is ready.
    """

    def __init__(
        self, render_metrics: Callable[[], bytes], missing: Callable[[], list[str]]
    ):
        self._render_metrics = render_metrics
        self._missing = missing

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        match request.path:
            case "/metrics":
                body = self._render_metrics()
                await responder.respond(200, body, content_type=METRICS_CONTENT_TYPE)
            case "/healthz":
                await responder.respond_json(200, {"healthy": True})
            case "/readyz":
                missing = self._missing()
                status = 503 if missing else 200
                await responder.respond_json(
                    status, {"ready": not missing, "missing": missing}
                )
            case _:
                await responder.respond_json(404, {"error": "no such path"})
