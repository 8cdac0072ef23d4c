"""What an entry host holds to be in force, and the places it gives to requests."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..telemetry.logs import get_logger
from ..transport.http1_client import SAFE_IDLE_S
from ..transport.http1_server import CallerLimits
from .admission_queue import AdmissionQueue, AdmissionRequest, Admitted, Refused, Ticket
from .batch_limit import DEFAULT_POST_SHIFT_SKEW
from .clock import now_ms
from .model import Configuration, Service
from .pause_tracker import PauseTracker, can_end_in_time
from .placement import Candidate, choose_upstream
from .retry_budgets import RetryBudgets, ServiceRetryBudget
from .routing_table import RoutingTable
from .service_load import ServiceLoad, base_load, service_load
from .upstreams import Upstream, UpstreamTable

__all__ = ["RoutingState"]

ENGINE_MAX_FILL = 1.0  # A request that waits at a rank can't go to a freer one.
PLAIN_SERVICE_MAX_FILL = 2.0  # Plain services have short queues of their own.
LATE_REQUEST_FRACTION = (
    0.93  # Of what may run; the arrivals of some 0.1 s fit in the rest.
)
GROUP_CLOSED_MS = 700.0  # A request that tries a closed group costs a call or two.
GROUP_RETRY_AFTER_MS = (
    2_500.0  # Crashed ranks are away for seconds; callers return once.
)
IDLE_DROP_MEMORY_MS = 20_000.0  # Upstreams of a service that did so do so again.
NO_UPSTREAM_RETRY_AFTER_MS = 500.0  # Registrations return within about two seconds.

log = get_logger("beliefs")


class RoutingState:
    """Configuration, upstreams and places.

    Parameters
    ----------
    max_age_ms : float
        Age of the configuration beyond which no request with a key is taken.
    read_age_ms : callable
        Returns how long ago the store confirmed the configuration.
    retry_bounds : RetryBudgets
    rng : random.Random

    Attributes
    ----------
    is_stopping : bool
        Set once new requests could not be finished before the host's end.
    """

    def __init__(
        self,
        max_age_ms: float,
        read_age_ms: Callable[[], float],
        retry_bounds: RetryBudgets,
        rng: random.Random,
    ):
        self.is_stopping = False
        self.routing_table: RoutingTable | None = None
        self.upstreams = UpstreamTable(self._wake_all)
        self.on_load_change: Callable[[], None] = lambda: None
        self._max_age_ms = max_age_ms
        self._read_age_ms = read_age_ms
        self._retry_bounds = retry_bounds
        self._rng = rng
        self._paces: dict[str, PauseTracker] = {}
        self._rooms: dict[str, AdmissionQueue] = {}
        self._shifted_skews: dict[str, float] = {}
        self._dropped_at_ms: dict[str, float] = {}
        self._group_closed_until_ms: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.routing_table.configuration.version if self.routing_table else 0

    def configuration_age_ms(self) -> float:
        """Return how long ago the store confirmed the configuration."""
        return self._read_age_ms()

    def is_configuration_stale(self) -> bool:
        """Whether keys may have been taken away without this host's knowledge."""
        return self.configuration_age_ms() > self._max_age_ms

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        if self.routing_table is None:
            return CallerLimits()
        return self.routing_table.configuration.limits

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force, unless a newer one is."""
        if configuration.version <= self.version:
            if configuration.version < self.version:
                log.warning(
                    "configuration.older_ignored",
                    version=configuration.version,
                    in_force=self.version,
                )
            return
        log.info(
            "configuration.in_force",
            version=configuration.version,
            replaced=self.version,
            n_routes=len(configuration.routes),
            n_workspaces=len(configuration.workspaces),
        )
        self.routing_table = RoutingTable(configuration)
        self._wake_all()

    def allows_key(self, key: str) -> bool:
        """Whether a key still stands, as far as this host may trust that it knows."""
        table = self.routing_table
        return (
            table is not None
            and table.knows_key(key)
            and not self.is_configuration_stale()
        )

    def service(self, name: str) -> Service | None:
        """Return a service's declaration."""
        return (
            self.routing_table.configuration.services.get(name)
            if self.routing_table
            else None
        )

    def pause_objective_ms(self, service: str) -> float:
        """Return the shortest of the pauses' objectives of a service's routes."""
        routes = self.routing_table.configuration.routes if self.routing_table else ()
        objectives = [
            route.pause_objective_ms
            for route in routes
            if route.pause_objective_ms > 0
            and any(target.service == service for target in route.targets)
        ]
        return min(objectives, default=0.0)

    def pause_tracker(self, service: str) -> PauseTracker:
        """Return the pauses between a service's events, as seen here."""
        return self._paces.setdefault(service, PauseTracker())

    def record_pause(self, service: str, pause_ms: float) -> None:
        """Take in the pause before an event of one of a service's streams."""
        pace = self.pause_tracker(service)
        was_jumping = pace.has_jumped()
        pace.record(pause_ms)
        if pace.has_jumped() and not was_jumping:
            self.on_load_change()

    def slowed_services(self) -> list[str]:
        """Return the services whose streams have all at once become slower."""
        return [name for name, pace in self._paces.items() if pace.has_jumped()]

    def max_idle_s(self, service: str) -> float:
        """Return how long a connection may have been idle to be used again."""
        dropped_at_ms = self._dropped_at_ms.get(service, float("-inf"))
        if now_ms() - dropped_at_ms < IDLE_DROP_MEMORY_MS:
            return SAFE_IDLE_S
        return float("inf")

    def record_dropped_connection(self, service: str, rested_s: float) -> None:
        """Note that an upstream had dropped an idle connection without a word."""
        if self.max_idle_s(service) > SAFE_IDLE_S:
            log.warning(
                "connections.dropped_idle",
                service=service,
                rested_ms=int(1000 * rested_s),
            )
        self._dropped_at_ms[service] = now_ms()

    def retry_budget(self, service: str) -> ServiceRetryBudget:
        """Return the retries left towards a service."""
        return self._retry_bounds.for_service(service)

    async def admit(self, service: str, wanted: AdmissionRequest) -> Admitted | Refused:
        """Return a place at one of a service's upstreams, or a refusal."""
        at_ms = now_ms()
        closed_ms = self._group_closed_until_ms.get(service, at_ms) - at_ms
        room = self._room(service)
        if closed_ms > 0:
            return room.refuse_until("its rank group is not open", GROUP_RETRY_AFTER_MS)
        if not self.upstreams.candidates(service, at_ms):
            return_ms = self.upstreams.next_retry_ms(service, at_ms)
            return room.refuse_until(
                "no upstream takes requests", return_ms or NO_UPSTREAM_RETRY_AFTER_MS
            )
        return await room.admit(wanted)

    def load_of(self, service: str, objective_ms: float) -> ServiceLoad:
        """Return how busy a service is, for streams with a pauses' objective."""
        candidates = self.upstreams.candidates(service, now_ms())
        return self._load(service, candidates, objective_ms)

    def update_post_shift_skews(self, skews: dict[str, float]) -> None:
        """Take in how uneven services' maps were when their demand had shifted."""
        self._shifted_skews |= skews

    def can_end_in_time(
        self, service: str, expected_tokens: int | None, left_ms: float
    ) -> bool:
        """Whether a stream of about so many tokens can end before its deadline."""
        declared = self.service(service)
        if expected_tokens is None or declared is None or declared.engine is None:
            return True
        n_events = expected_tokens / max(declared.engine.steps_per_pass, 1)
        return can_end_in_time(n_events, self.pause_tracker(service).mean_ms(), left_ms)

    def release(self, service: str, upstream: Upstream | None) -> None:
        """Give a place back."""
        self._room(service).record_release()
        if upstream is not None:
            self.upstreams.end(upstream)
        self.on_load_change()

    def record_group_fault(self, service: str, upstream_id: str) -> float:
        """Note that a rank group can't work; returns when to come back."""
        until_ms = now_ms() + GROUP_CLOSED_MS
        if until_ms > self._group_closed_until_ms.get(service, 0.0) + GROUP_CLOSED_MS:
            log.warning("group.closed", service=service, upstream=upstream_id)
        self._group_closed_until_ms[service] = until_ms
        return GROUP_RETRY_AFTER_MS

    def _room(self, service: str) -> AdmissionQueue:
        room = self._rooms.get(service)
        if room is None:
            room = AdmissionQueue(
                lambda ticket: self._take_place(service, ticket), self._give_back
            )
            self._rooms[service] = room
        return room

    def _take_place(self, service: str, ticket: Ticket) -> str | None:
        declared = self.service(service)
        engine = declared.engine if declared is not None else None
        candidates = self.upstreams.candidates(service, now_ms(), base_load(engine))
        objective_ms = ticket.request.pause_objective_ms
        load = self._load(service, candidates, objective_ms)
        # The last places are left to those who can still be on time, at any host.
        part = LATE_REQUEST_FRACTION if ticket.request.is_late(now_ms()) else 1.0
        if load.n_running >= part * load.most_running:
            return None
        chosen = choose_upstream(
            candidates,
            ticket.request.tried,
            self._rng,
            PLAIN_SERVICE_MAX_FILL if engine is None else ENGINE_MAX_FILL,
        )
        if chosen is None:
            return None
        self.upstreams.begin(self.upstreams.get(chosen.id))
        self.on_load_change()
        return chosen.id

    def _load(
        self, service: str, candidates: Sequence[Candidate], objective_ms: float
    ) -> ServiceLoad:
        declared = self.service(service)
        return service_load(
            declared.engine if declared is not None else None,
            candidates,
            self.pause_tracker(service),
            objective_ms,
            self._shifted_skews.get(service, DEFAULT_POST_SHIFT_SKEW),
        )

    def _give_back(self, upstream_id: str) -> None:
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            self.upstreams.end(upstream)
        self.on_load_change()

    def _wake_all(self) -> None:
        for room in self._rooms.values():
            room.dispatch()
