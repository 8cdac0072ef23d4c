"""Histograms and counters per workspace and priority class."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import trio
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

__all__ = ["GroupMetrics", "RequestMetrics", "RequestTimer", "WorkspaceLabels"]

MAX_LABELLED_WORKSPACES = 200
OTHER_WORKSPACES = "other"

_LABELS = ("workspace", "priority_class")
_SHORT_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.044, 0.1, 0.25, 1.0)
_LONG_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
_SKEW_BUCKETS = (1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 4.0)


class WorkspaceLabels:
    """Assigns metric labels to workspaces and limits the number of labels.

    Only the first `MAX_LABELLED_WORKSPACES` workspaces get their own label; the others
    share one.
    """

    def __init__(self) -> None:
        self._labelled: set[str] = set()

    def label(self, workspace: str) -> str:
        """Return the label of a workspace."""
        if workspace in self._labelled:
            return workspace
        if len(self._labelled) < MAX_LABELLED_WORKSPACES:
            self._labelled.add(workspace)
            return workspace
        return OTHER_WORKSPACES


class LimitReading(Protocol):
    """A limit that an upstream names, and how many requests were sent under it."""

    upstream_id: str
    limit_per_s: float
    n_sent: int


class _LimitCollector(Collector):
    """Reads the limits when the metrics are collected, so that old ones vanish."""

    def __init__(self, read: Callable[[], Iterable[LimitReading]]):
        self._read = read

    def collect(self) -> Iterator[Metric]:
        limits = GaugeMetricFamily(
            "poplarward_upstream_limit_per_second",
            "Requests per second that an upstream takes from all hosts together",
            labels=["upstream"],
        )
        sent = CounterMetricFamily(
            "poplarward_limited_sends",
            "Requests that this host has sent to an upstream since it named a limit",
            labels=["upstream"],
        )
        for reading in self._read():
            limits.add_metric([reading.upstream_id], reading.limit_per_s)
            sent.add_metric([reading.upstream_id], reading.n_sent)
        yield from (limits, sent)


class RequestMetrics:
    """Request metrics of an entry host, as seen by callers.

    Only the first `MAX_LABELLED_WORKSPACES` workspaces get their own label, so that
    memory stays bounded; the others share one.

    Examples
    --------
    >>> metrics = RequestMetrics()
    >>> metrics.count_outcome("ateliers", "urgent", "ran")
    >>> b'outcome="ran"' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._label = WorkspaceLabels().label

        def histogram(name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
            return Histogram(
                f"poplarward_{name}_seconds",
                text,
                _LABELS,
                registry=self.registry,
                buckets=buckets,
            )

        self._queue_wait = histogram(
            "queue_wait", "Time before a request was sent to an agent", _SHORT_BUCKETS_S
        )
        self._first_token = histogram(
            "time_to_first_token", "Time to the first piece", _LONG_BUCKETS_S
        )
        self._between_tokens = histogram(
            "time_between_tokens", "Time between pieces", _SHORT_BUCKETS_S
        )
        self._whole_answer = histogram(
            "whole_answer", "Time to the end of the answer", _LONG_BUCKETS_S
        )
        self._outcomes = Counter(
            "poplarward_requests",
            "Requests by outcome",
            (*_LABELS, "outcome"),
            registry=self.registry,
        )
        self._retries = Counter(
            "poplarward_retries",
            "Retries by service, and whether the retry budget allowed them",
            ("service", "decision"),
            registry=self.registry,
        )
        self._disconnects = Counter(
            "poplarward_disconnects",
            "Attempts that upstreams broke off, by how the connection ended and where",
            ("service", "connection", "place"),
            registry=self.registry,
        )
        self.open_requests = Gauge(
            "poplarward_open_requests", "Requests in progress", registry=self.registry
        )

    def observe_quarantine(self, count: Callable[[], int]) -> None:
        """Show the number of quarantined requests, which `count` returns."""
        quarantined = Gauge(
            "poplarward_quarantined_requests",
            "Requests that are refused because they crash upstreams",
            registry=self.registry,
        )
        quarantined.set_function(count)

    def observe_limits(self, read: Callable[[], Iterable[LimitReading]]) -> None:
        """Show the limits that upstreams name, which `read` returns."""
        self.registry.register(_LimitCollector(read))

    def timer(self, workspace: str, priority_class: str) -> RequestTimer:
        """Return a started timer for one request."""
        label = self._label(workspace)
        return RequestTimer(
            self._queue_wait.labels(label, priority_class),
            self._first_token.labels(label, priority_class),
            self._between_tokens.labels(label, priority_class),
            self._whole_answer.labels(label, priority_class),
        )

    def count_outcome(self, workspace: str, priority_class: str, outcome: str) -> None:
        """Count a request that has received its final response."""
        self._outcomes.labels(self._label(workspace), priority_class, outcome).inc()

    def count_retry(self, service: str, is_allowed: bool) -> None:
        """Count a retry that the retry budget of a service allowed or refused."""
        decision = "allowed" if is_allowed else "refused"
        self._retries.labels(service, decision).inc()

    def count_disconnect(self, service: str, connection: str, place: str) -> None:
        """Count an attempt that an upstream broke off.

        `connection` tells how the connection ended, `place` where in the response.
        """
        self._disconnects.labels(service, connection, place).inc()

    def observe_answer(
        self,
        workspace: str,
        priority_class: str,
        first_ms: float | None,
        total_ms: float,
        outcome: str,
    ) -> None:
        """Record a request whose times are known at its end."""
        label = self._label(workspace)
        if first_ms is not None:
            self._first_token.labels(label, priority_class).observe(first_ms / 1000)
        self._whole_answer.labels(label, priority_class).observe(total_ms / 1000)
        self._outcomes.labels(label, priority_class, outcome).inc()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class RequestTimer:
    """Times one request from its arrival to the end of its response."""

    def __init__(
        self,
        queue_wait: Histogram,
        first_token: Histogram,
        between_tokens: Histogram,
        whole_answer: Histogram,
    ):
        self._queue_wait = queue_wait
        self._first_token = first_token
        self._between_tokens = between_tokens
        self._whole_answer = whole_answer
        self._started_at = trio.current_time()
        self._last_piece_at: float | None = None

    def admitted(self) -> None:
        """Record that the request was admitted."""
        self._queue_wait.observe(trio.current_time() - self._started_at)

    def piece(self) -> None:
        """Record that a piece was sent to the caller."""
        now = trio.current_time()
        if self._last_piece_at is None:
            self._first_token.observe(now - self._started_at)
        else:
            self._between_tokens.observe(now - self._last_piece_at)
        self._last_piece_at = now

    def ended(self) -> None:
        """Record the end of the response."""
        self._whole_answer.observe(trio.current_time() - self._started_at)


class GroupMetrics:
    """Step metrics of the model groups that a process observes."""

    def __init__(self, registry: CollectorRegistry):
        self._step_time = Histogram(
            "poplarward_step_seconds",
            "Time of a step of a model group",
            ("group",),
            registry=registry,
            buckets=_SHORT_BUCKETS_S,
        )
        self._skew = Histogram(
            "poplarward_step_skew_ratio",
            "Greatest rank's work in a step over the mean",
            ("group",),
            registry=registry,
            buckets=_SKEW_BUCKETS,
        )

    def observe_step(self, group: str, step_ms: float, skew_ratio: float) -> None:
        """Record one step of a group."""
        self._step_time.labels(group).observe(step_ms / 1000)
        self._skew.labels(group).observe(skew_ratio)
