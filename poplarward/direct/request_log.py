"""One line for each decision on a request, and the counters beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..telemetry.logs import get_logger
from ..telemetry.metrics import RequestMetrics
from .clock import elapsed_ms

if TYPE_CHECKING:
    from .job import Job
    from .model import CallerRequest
    from .routing_state import RoutingState

__all__ = ["RequestLog"]

log = get_logger("request")


class RequestLog:
    """Notes what became of each request.

    Parameters
    ----------
    beliefs : RoutingState
        Their version and age stand in each line.
    metrics : RequestMetrics
    """

    def __init__(self, beliefs: RoutingState, metrics: RequestMetrics):
        self._beliefs = beliefs
        self._metrics = metrics

    def log_denied(self, request: CallerRequest, status: int, reason: str) -> None:
        """Note a request that was answered without looking for an upstream."""
        log.info(
            "request.denied",
            request=request.id,
            host=request.host,
            path=request.path,
            status=status,
            reason=reason,
            **_age_of(self._beliefs),
        )
        self._metrics.count_outcome("none", "none", f"denied-{status}")

    def log_retry(self, job: Job, reason: str) -> None:
        """Note an attempt that failed and is followed by another."""
        log.info(
            "request.retried",
            request=job.request.id,
            tried=",".join(job.tried),
            reason=reason,
            outcome=job.outcome.value,
            left_ms=int(job.left_ms()),
        )

    def log_end(self, job: Job, result: str, status: int) -> None:
        """Note the final answer of a request."""
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
            max_answer_tokens=job.request.max_answer_tokens or None,
            expected_tokens=job.request.expected_tokens,
            n_events=job.n_events or None,
            longest_pause_ms=int(job.longest_pause_ms) or None,
            first_ms=None if job.first_sent_ms is None else int(job.first_sent_ms),
            total_ms=int(total_ms),
            asked_before_ms=int(job.arrived_at_ms - job.first_asked_at_ms) or None,
            **(self._load_of(job) if status == 503 else {}),
            **_age_of(self._beliefs),
        )
        self._metrics.observe_answer(
            job.workspace or "none",
            str(job.priority),
            job.first_sent_ms,
            total_ms,
            result.partition(":")[0],
        )

    def _load_of(self, job: Job) -> dict[str, object]:
        """Return what a refusal was decided by."""
        load = self._beliefs.load_of(job.service, job.route.pause_objective_ms)
        is_bounded = load.most_running != float("inf")
        return {
            "n_running": int(load.n_running),
            "most_running": int(load.most_running) if is_bounded else None,
            "pause_ms": None if load.pause_ms is None else int(load.pause_ms),
        }


def _age_of(beliefs: RoutingState) -> dict[str, int | None]:
    age_ms = beliefs.configuration_age_ms()
    return {
        "version": beliefs.version,
        "confirmed_ms_ago": None if age_ms == float("inf") else int(age_ms),
    }
