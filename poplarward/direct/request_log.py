"""Logs each decision on a request and updates the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..telemetry.logs import get_logger
from ..telemetry.metrics import RequestMetrics
from .clock import elapsed_ms
from .job import Job, ResponsePart

if TYPE_CHECKING:
    from ..requests.retries import Failure
    from ..transport.http1_client import Http1Connection
    from .model import CallerRequest
    from .routing_state import RoutingState

__all__ = ["RequestLog"]

log = get_logger("request")


class RequestLog:
    """Logs what became of each request.

    Parameters
    ----------
    routing_state : RoutingState
        Supplies the configuration's version and age for each line.
    metrics : RequestMetrics
    """

    def __init__(self, routing_state: RoutingState, metrics: RequestMetrics):
        self._routing_state = routing_state
        self._metrics = metrics

    def log_denied(self, request: CallerRequest, status: int, reason: str) -> None:
        """Log a request that was refused before an upstream was chosen."""
        log.info(
            "request.denied",
            request=request.id,
            host=request.host,
            path=request.path,
            status=status,
            reason=reason,
            **_configuration_fields(self._routing_state),
        )
        self._metrics.count_outcome("none", "none", f"denied-{status}")

    def log_disconnect(
        self, job: Job, upstream_id: str, connection: Http1Connection, reason: str
    ) -> None:
        """Log an attempt whose response an upstream broke off."""
        place = _place(job)
        log.info(
            "attempt.disconnected",
            request=job.request.id,
            digest=f"{job.digest:016x}",
            parts=",".join(job.request.shared_parts) or None,
            upstream=upstream_id,
            reason=reason,
            connection=connection.end.value,
            framing=None if job.framing is None else job.framing.value,
            place=place,
            ran_ms=int(elapsed_ms(job.sent_at_ms)),
            idle_ms=int(1000 * connection.idle_before_use_s),
        )
        self._metrics.count_disconnect(job.service, connection.end.value, place)

    def log_retry(self, job: Job, failure: Failure) -> None:
        """Log a failed attempt that is followed by another."""
        log.info(
            "request.retried",
            request=job.request.id,
            service=job.service,
            tried=",".join(job.tried),
            reason=failure.reason,
            outcome=job.outcome.value,
            in_budget=not failure.is_planned,
            left_ms=int(job.left_ms()),
        )

    def log_end(self, job: Job, result: str, status: int) -> None:
        """Log the final response to a request; a second end is ignored."""
        if job.is_logged:
            return
        job.is_logged = True
        total_ms = elapsed_ms(job.arrived_at_ms)
        log.info(
            "request.ended",
            request=job.request.id,
            route=job.route.name,
            workspace=job.workspace,
            service=job.service,
            result=result,
            status=status,
            outcome="ran" if result == "answered" else job.outcome.value,
            tried=",".join(job.tried),
            prompt_tokens=job.request.prompt_tokens or None,
            answer_tokens=job.request.max_answer_tokens or None,
            expected_tokens=job.request.expected_tokens,
            n_events=job.stream.n_events if job.stream else None,
            framing=None if job.framing is None else job.framing.value,
            without_chunks=None if job.exchange.can_have_chunks else True,
            waited_ms=int(job.waited_ms) or None,
            longest_pause_ms=int(job.longest_pause_ms) or None,
            first_ms=None if job.first_sent_ms is None else int(job.first_sent_ms),
            total_ms=int(total_ms),
            since_first_asked_ms=int(job.arrived_at_ms - job.first_asked_at_ms) or None,
            **(self._load_fields(job) if status == 503 else {}),
            **_configuration_fields(self._routing_state),
        )
        self._metrics.observe_answer(
            job.workspace or "none",
            str(job.priority),
            job.first_sent_ms,
            total_ms,
            result.partition(":")[0],
        )

    def _load_fields(self, job: Job) -> dict[str, object]:
        """Return the load figures that a refusal depends on."""
        load = self._routing_state.load_of(job.service, job.route.pause_objective_ms)
        is_limited = load.most_running != float("inf")
        limits = self._routing_state.limit_uses(job.service)
        return {
            "n_running": int(load.n_running),
            "most_running": int(load.most_running) if is_limited else None,
            "pause_ms": None if load.pause_ms is None else int(load.pause_ms),
            "n_limited": len(limits) or None,
            "limits_per_s": sum(u.limit_per_s for u in limits) if limits else None,
        }


def _place(job: Job) -> str:
    """Return where an upstream's response stopped."""
    match job.reading:
        case ResponsePart.HEAD:
            return "before-head"
        case ResponsePart.BODY:
            return "inside-body"
        case ResponsePart.EVENTS:
            return job.stream.place.value


def _configuration_fields(routing_state: RoutingState) -> dict[str, int | None]:
    age_ms = routing_state.configuration_age_ms()
    return {
        "version": routing_state.version,
        "confirmed_ms_ago": None if age_ms == float("inf") else int(age_ms),
    }
