"""Metrics of an agent: its load, and times per workspace and priority class."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Gauge, Histogram, generate_latest

from .metrics import WorkspaceLabels

__all__ = ["AgentLoadSample", "AgentMetrics"]

_LABELS = ("workspace", "priority_class")
_WAIT_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
_STEP_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.25, 1.0)


class AgentLoadSample(NamedTuple):
    """Load of an agent at one moment.

    Attributes
    ----------
    n_running, n_waiting : int
        Requests that have received a piece of their response, and the others.
    n_slots : int
        Requests that the upstream runs concurrently.
    takes_work : bool
        Whether the agent accepts new requests.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    takes_work: bool


class AgentMetrics:
    """Metrics of one agent.

    Parameters
    ----------
    read_load : callable
        Returns the current load.

    Examples
    --------
    >>> metrics = AgentMetrics(lambda: AgentLoadSample(1, 2, 8, True))
    >>> metrics.observe("ateliers", "drafting", wait_ms=5, run_ms=400, n_pieces=40)
    >>> b"poplarward_agent_waiting_requests 2.0" in metrics.render()
    True
    """

    def __init__(self, read_load: Callable[[], AgentLoadSample]):
        self.registry = CollectorRegistry()
        self._label = WorkspaceLabels().label
        for name, field, text in (
            ("running_requests", "n_running", "Requests with a piece of their answer"),
            ("waiting_requests", "n_waiting", "Requests without one yet"),
            ("slots", "n_slots", "Requests that the upstream runs at once"),
            ("takes_work", "takes_work", "1 while new requests are taken"),
        ):
            gauge = Gauge(f"poplarward_agent_{name}", text, registry=self.registry)
            gauge.set_function(lambda field=field: float(getattr(read_load(), field)))
        self._wait = Histogram(
            "poplarward_agent_queue_wait_seconds",
            "Time from a request's arrival until it had a slot",
            _LABELS,
            registry=self.registry,
            buckets=_WAIT_BUCKETS_S,
        )
        self._step = Histogram(
            "poplarward_agent_step_seconds",
            "Mean time between the pieces of an answer, from its slot on",
            _LABELS,
            registry=self.registry,
            buckets=_STEP_BUCKETS_S,
        )

    def observe(
        self,
        workspace: str,
        priority_class: str,
        wait_ms: float,
        run_ms: float,
        n_pieces: int,
    ) -> None:
        """Record a request that has run."""
        labels = (self._label(workspace), priority_class)
        self._wait.labels(*labels).observe(wait_ms / 1000)
        if n_pieces:
            self._step.labels(*labels).observe(run_ms / 1000 / n_pieces)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
