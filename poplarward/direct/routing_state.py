"""Configuration, upstreams and admission state of one entry host."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..telemetry.logs import get_logger
from ..transport.http1_client import SAFE_IDLE_S
from ..transport.http1_exchange import CallerLimits
from .admission_queue import (
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Refused,
    SlotEstimate,
    Ticket,
)
from .batch_limit import DEFAULT_POST_SHIFT_SKEW
from .clock import now_ms
from .configuration_lag import ConfigurationLag
from .late_starts import LateStarts, late_starts_per_pass
from .model import Configuration, EngineProfile, Service
from .pause_tracker import PauseTracker, can_end_in_time
from .placement import Candidate, choose_upstream
from .retry_budgets import RetryBudgets, ServiceRetryBudget
from .routing_table import RoutingTable
from .service_load import ServiceLoad, base_load, service_load
from .slot_turnover import SlotTurnover
from .upstream_limits import LimitedUpstream, LimitUse, UpstreamLimits
from .upstreams import Upstream, UpstreamTable

__all__ = ["RoutingState"]

ENGINE_MAX_FILL = 1.0  # A request queued at a rank can't move to a less loaded one.
PLAIN_SERVICE_MAX_FILL = 2.0  # Plain services have short queues of their own.
# Fraction of the running limit that late requests may fill; the rest has room for the
# arrivals of about 0.1 s.
LATE_REQUEST_FRACTION = 0.93
GROUP_CLOSED_MS = 700.0  # Each attempt at a closed group costs one or two calls.
# Crashed ranks need seconds to come back, and callers retry only once.
GROUP_RETRY_AFTER_MS = 2_500.0
IDLE_DROP_MEMORY_MS = 20_000.0  # A service that dropped idle connections repeats it.
POLL_MS = 25.0  # Limits and pauses of upstreams end with time alone.
NO_UPSTREAM_RETRY_AFTER_MS = 500.0  # Upstreams re-register within about 2 s.

log = get_logger("beliefs")


class RoutingState:
    """Tracks configuration and upstreams, and admits requests to upstream slots.

    Parameters
    ----------
    max_age_ms : float
        Age of the configuration beyond which requests with a key are refused.
    read_age_ms : callable
        Returns how long ago the store confirmed the configuration.
    retry_budgets : RetryBudgets
    rng : random.Random
    limits : UpstreamLimits, optional
        Limits that upstreams name, shared with the other entry hosts.

    Attributes
    ----------
    configuration_lag : ConfigurationLag
        How the applied configuration compares with those of the other hosts.
    is_stopping : bool
        Set once new requests could not finish before the host shuts down.
    stops_at_ms : float or None
        Time of `now_ms` at which the host shuts down, once it is told to.
    """

    def __init__(
        self,
        max_age_ms: float,
        read_age_ms: Callable[[], float],
        retry_budgets: RetryBudgets,
        rng: random.Random,
        limits: UpstreamLimits | None = None,
    ):
        self.upstream_limits = limits or UpstreamLimits("")
        self.is_stopping = False
        self.stops_at_ms: float | None = None
        self.configuration_lag = ConfigurationLag()
        self.routing_table: RoutingTable | None = None
        self.upstreams = UpstreamTable(self._dispatch_all)
        self.on_load_change: Callable[[], None] = lambda: None
        self._max_age_ms = max_age_ms
        self._read_age_ms = read_age_ms
        self._retry_budgets = retry_budgets
        self._rng = rng
        self._pause_trackers: dict[str, PauseTracker] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._turnovers: dict[str, SlotTurnover] = {}
        self._late_starts: dict[str, LateStarts] = {}
        self._post_shift_skews: dict[str, float] = {}
        self._dropped_at_ms: dict[str, float] = {}
        self._group_closed_until_ms: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version of the applied configuration, 0 without one."""
        return self.routing_table.configuration.version if self.routing_table else 0

    def configuration_age_ms(self) -> float:
        """Return how long ago the store confirmed the configuration."""
        return self._read_age_ms()

    def is_configuration_stale(self) -> bool:
        """Whether keys and routes may have changed without this host's knowledge."""
        return (
            self.configuration_age_ms() > self._max_age_ms
            or self.configuration_lag.has_started_behind(self.version)
        )

    def is_behind(self) -> bool:
        """Whether other hosts have a newer configuration, which may allow more."""
        return self.configuration_lag.is_behind(self.version)

    def limits(self) -> CallerLimits:
        """Return the limits on callers' connections and requests."""
        if self.routing_table is None:
            return CallerLimits()
        return self.routing_table.configuration.limits

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration, unless a newer one is applied already."""
        if configuration.version <= self.version:
            if configuration.version < self.version:
                log.warning(
                    "configuration.older_ignored",
                    version=configuration.version,
                    in_force=self.version,
                )
            return
        log.info(
            "configuration.applied",
            version=configuration.version,
            replaced=self.version,
            n_routes=len(configuration.routes),
            n_workspaces=len(configuration.workspaces),
        )
        self.routing_table = RoutingTable(configuration)
        self._dispatch_all()

    def allows_key(self, key: str) -> bool:
        """Whether a key is valid and the configuration that says so is not stale."""
        table = self.routing_table
        return (
            table is not None
            and table.knows_key(key)
            and not self.is_configuration_stale()
        )

    def service(self, name: str) -> Service | None:
        """Return a service as configured, None if it is unknown."""
        return (
            self.routing_table.configuration.services.get(name)
            if self.routing_table
            else None
        )

    def pause_objective_ms(self, service: str) -> float:
        """Return the shortest pause objective of a service's routes, 0 without any."""
        routes = self.routing_table.configuration.routes if self.routing_table else ()
        objectives = [
            route.pause_objective_ms
            for route in routes
            if route.pause_objective_ms > 0
            and any(target.service == service for target in route.targets)
        ]
        return min(objectives, default=0.0)

    def pause_tracker(self, service: str) -> PauseTracker:
        """Return the tracker of the pauses between a service's events on this host."""
        return self._pause_trackers.setdefault(service, PauseTracker())

    def record_pause(self, service: str, pause_ms: float) -> None:
        """Record the pause before an event of one of a service's streams."""
        tracker = self.pause_tracker(service)
        had_jumped = tracker.has_jumped()
        tracker.record(pause_ms)
        if tracker.has_jumped() and not had_jumped:
            self.on_load_change()

    def slowed_services(self) -> list[str]:
        """Return the services whose streams have suddenly become slower."""
        return [
            name
            for name, tracker in self._pause_trackers.items()
            if tracker.has_jumped()
        ]

    def max_idle_s(self, service: str) -> float:
        """Return how long a connection may have been idle and still be reused."""
        dropped_at_ms = self._dropped_at_ms.get(service, float("-inf"))
        if now_ms() - dropped_at_ms < IDLE_DROP_MEMORY_MS:
            return SAFE_IDLE_S
        return float("inf")

    def record_dropped_connection(self, service: str, idle_s: float) -> None:
        """Record that an upstream silently dropped an idle connection."""
        if self.max_idle_s(service) > SAFE_IDLE_S:
            log.warning(
                "connection.dropped_when_idle",
                service=service,
                idle_ms=int(1000 * idle_s),
            )
        self._dropped_at_ms[service] = now_ms()

    def retry_budget(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget towards a service."""
        return self._retry_budgets.for_service(service)

    async def admit(
        self, service: str, request: AdmissionRequest
    ) -> Admitted | Refused:
        """Wait for a slot at one of a service's upstreams; return it or a refusal."""
        at_ms = now_ms()
        closed_ms = self._group_closed_until_ms.get(service, at_ms) - at_ms
        queue = self._queue(service)
        if closed_ms > 0:
            return queue.refuse_until(
                "its rank group is not open", GROUP_RETRY_AFTER_MS
            )
        if not self.upstreams.candidates(service, at_ms):
            retry_after_ms = self.upstreams.next_available_ms(service, at_ms)
            if retry_after_ms is None or retry_after_ms > request.max_wait_ms:
                return queue.refuse_until(
                    "no upstream takes requests",
                    retry_after_ms or NO_UPSTREAM_RETRY_AFTER_MS,
                )
        wait_ms = self._limits_wait_ms(service, at_ms)
        if wait_ms > request.max_wait_ms:
            return queue.refuse_at_rate(
                "the limits of its upstreams are used up",
                wait_ms,
                self._limits_rate_per_s(service, at_ms),
            )
        return await queue.admit(request)

    def limit_uses(self, service: str | None = None) -> list[LimitUse]:
        """Return the limits that upstreams name, of one service or all."""
        upstreams = (
            self.upstreams.all()
            if service is None
            else self.upstreams.of_service(service)
        )
        return self.upstream_limits.uses(upstream.limited for upstream in upstreams)

    def services_with_queue(self) -> list[str]:
        """Return the services that requests wait for."""
        return [name for name, queue in self._queues.items() if queue.n_waiting]

    def load_of(self, service: str, objective_ms: float) -> ServiceLoad:
        """Return a service's load, and its limit for streams with a pause objective."""
        candidates = self.upstreams.candidates(service, now_ms())
        return self._load(service, candidates, objective_ms)

    def update_post_shift_skews(self, skews: dict[str, float]) -> None:
        """Update the skew that services' expert maps had after shifts of demand."""
        self._post_shift_skews |= skews

    def can_end_in_time(
        self, service: str, expected_tokens: int | None, left_ms: float
    ) -> bool:
        """Whether a stream of the expected length can end before its deadline."""
        configured = self.service(service)
        if expected_tokens is None or configured is None or configured.engine is None:
            return True
        n_events = expected_tokens / max(configured.engine.steps_per_pass, 1)
        return can_end_in_time(n_events, self.pause_tracker(service).mean_ms(), left_ms)

    def release(
        self, service: str, upstream: Upstream | None, held_ms: float | None = None
    ) -> None:
        """Release the slot of a request that has ended.

        `held_ms` is how long it was used, None if it was not.
        """
        self._queue(service).record_release()
        if held_ms is not None:
            self._turnover(service).record(held_ms)
        if upstream is not None:
            self.upstreams.end(upstream)
        self.on_load_change()

    def record_group_fault(self, service: str, upstream_id: str) -> float:
        """Record that a rank group can't work; returns the retry-after delay."""
        until_ms = now_ms() + GROUP_CLOSED_MS
        if until_ms > self._group_closed_until_ms.get(service, 0.0) + GROUP_CLOSED_MS:
            log.warning("group.closed", service=service, upstream=upstream_id)
        self._group_closed_until_ms[service] = until_ms
        return GROUP_RETRY_AFTER_MS

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = AdmissionQueue(
                lambda ticket: self._acquire_slot(service, ticket),
                self._return_slot,
                lambda: self._begin_waiting(service),
                lambda: self._slot_estimate(service),
                lambda ticket: self._may_start(service, ticket),
            )
            self._queues[service] = queue
        return queue

    def _turnover(self, service: str) -> SlotTurnover:
        return self._turnovers.setdefault(service, SlotTurnover())

    def _slot_estimate(self, service: str) -> SlotEstimate:
        """Return how many of a service's slots are free, and how soon others are."""
        if self.has_limit(service):
            return SlotEstimate(0.0, None)  # Free slots may not be used.
        candidates = self.upstreams.candidates(service, now_ms())
        load = self._load(service, candidates, self.pause_objective_ms(service))
        n_slots = sum(candidate.n_slots for candidate in candidates)
        n_hosts_waiting = 1 + self.upstream_limits.n_waiting_hosts(service)
        freed_per_s = self._turnover(service).freed_per_s(
            load.n_running, n_hosts_waiting, self._usual_held_ms(service)
        )
        n_free = max(0.0, min(load.most_running, n_slots) - load.n_running)
        return SlotEstimate(n_free / n_hosts_waiting, freed_per_s)

    def _usual_held_ms(self, service: str) -> float | None:
        """Return how long a stream of usual length takes, None if that is not known."""
        configured = self.service(service)
        pause_ms = self.pause_tracker(service).mean_ms()
        if configured is None or configured.engine is None or pause_ms is None:
            return None
        engine = configured.engine
        return engine.mean_answer_tokens / max(engine.steps_per_pass, 1) * pause_ms

    def _may_start(self, service: str, ticket: Ticket) -> bool:
        """Whether a request need not leave the next passes to others."""
        at_ms = now_ms()
        if not ticket.request.is_late(at_ms) or not self._runs_in_passes(service):
            return True
        return self._late_starts_of(service).may_start(at_ms)

    def _runs_in_passes(self, service: str) -> bool:
        """Whether each request of a service lengthens the pauses of all others."""
        configured = self.service(service)
        return configured is not None and configured.engine is not None

    def _late_starts_of(self, service: str) -> LateStarts:
        starts = self._late_starts.get(service)
        if starts is None:
            starts = self._late_starts[service] = LateStarts(self._rng)
        return starts

    def _late_start_interval_ms(self, service: str, engine: EngineProfile) -> float:
        """Return the time between two starts of late requests at this host."""
        objective_ms = self.pause_objective_ms(service)
        if objective_ms <= 0:
            return 0.0
        pause_ms = self.pause_tracker(service).mean_ms() or objective_ms / 2
        starts_per_pass = late_starts_per_pass(
            engine,
            len(self.upstreams.candidates(service, now_ms())),
            pause_ms,
            objective_ms,
            self._post_shift_skew(service),
        )
        n_hosts_waiting = 1 + self.upstream_limits.n_waiting_hosts(service)
        return n_hosts_waiting * pause_ms / starts_per_pass

    def _acquire_slot(self, service: str, ticket: Ticket) -> str | None:
        configured = self.service(service)
        engine = configured.engine if configured is not None else None
        candidates = self.upstreams.candidates(service, now_ms(), base_load(engine))
        objective_ms = ticket.request.pause_objective_ms
        load = self._load(service, candidates, objective_ms)
        # The last slots are reserved, at every host, for requests not yet late.
        is_late = ticket.request.is_late(now_ms())
        fraction = LATE_REQUEST_FRACTION if is_late else 1.0
        if load.n_running >= fraction * load.most_running:
            return None
        chosen = choose_upstream(
            self._within_limits(candidates, ticket.request.yields),
            ticket.request.tried,
            self._rng,
            PLAIN_SERVICE_MAX_FILL if engine is None else ENGINE_MAX_FILL,
        )
        if chosen is None:
            return None
        upstream = self.upstreams.get(chosen.id)
        self.upstreams.begin(upstream)
        self.upstream_limits.record_send(upstream.limited, now_ms())
        if is_late and engine is not None:
            interval_ms = self._late_start_interval_ms(service, engine)
            self._late_starts_of(service).record_start(now_ms(), interval_ms)
        self.on_load_change()
        return chosen.id

    def _within_limits(
        self, candidates: Sequence[Candidate], yields: bool
    ) -> Sequence[Candidate]:
        """Return the candidates that take another request now."""
        if self.upstream_limits.is_empty:
            return candidates
        at_ms = now_ms()
        return [
            candidate
            for candidate in candidates
            if self.upstream_limits.may_send(
                self.upstreams.get(candidate.id).limited, at_ms, yields
            )
        ]

    def _candidates(self, service: str, at_ms: float) -> list[LimitedUpstream]:
        candidates = self.upstreams.candidates(service, at_ms)
        return [self.upstreams.get(c.id).limited for c in candidates]

    def has_limit(self, service: str) -> bool:
        """Whether upstreams of a service have named limits."""
        return not self.upstream_limits.is_empty and bool(self.limit_uses(service))

    def _limits_wait_ms(self, service: str, at_ms: float) -> float:
        """Return the time until an upstream's limit allows another request."""
        if self.upstream_limits.is_empty:
            return 0.0
        limits, candidates = self.upstream_limits, self._candidates(service, at_ms)
        return min((limits.wait_ms(u, at_ms) for u in candidates), default=0.0)

    def _limits_rate_per_s(self, service: str, at_ms: float) -> float:
        """Return this host's part of the limits of a service's upstreams."""
        limits, candidates = self.upstream_limits, self._candidates(service, at_ms)
        rate_per_s = sum(limits.rate_per_s(u) for u in candidates)
        return rate_per_s / (1 + limits.n_waiting_hosts(service))

    def _begin_waiting(self, service: str) -> float | None:
        """Tell the other hosts that requests wait; returns when to look again."""
        self.on_load_change()
        is_timed = (
            self.has_limit(service)
            or self._runs_in_passes(service)
            or self.upstreams.next_available_ms(service, now_ms()) is not None
        )
        return POLL_MS if is_timed else None

    def _load(
        self, service: str, candidates: Sequence[Candidate], objective_ms: float
    ) -> ServiceLoad:
        configured = self.service(service)
        return service_load(
            configured.engine if configured is not None else None,
            candidates,
            self.pause_tracker(service),
            objective_ms,
            self._post_shift_skew(service),
        )

    def _post_shift_skew(self, service: str) -> float:
        return self._post_shift_skews.get(service, DEFAULT_POST_SHIFT_SKEW)

    def _return_slot(self, upstream_id: str) -> None:
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            self.upstreams.end(upstream)
        self.on_load_change()

    def _dispatch_all(self) -> None:
        for queue in self._queues.values():
            queue.dispatch()
