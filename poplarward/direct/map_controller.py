"""Keeps the expert maps of a deployment's rank groups balanced.

Only the leader does this, one entry host at a time; see
`HeartbeatExchange.update_leadership`. Two hosts may both be leader for a moment, when a
heartbeat is late. That is safe: see `map_changes`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from ..coordination.rebalancing.placement import Layer
from ..telemetry.logs import get_logger
from .clock import now_ms
from .host_heartbeats import HeartbeatExchange
from .map_changes import GroupView, MapChangeCoordinator, group_view
from .map_need import is_strained, min_skew_gain
from .map_planner import GroupPlanner
from .model import EngineProfile
from .rank_group import RankControl, RankReport
from .routing_state import RoutingState

__all__ = ["MapController"]

SLOWDOWN_POLL_S = 0.03
# A change shows in reports once its pass has begun; reports are some hundred ms old.
MAX_REPORT_DELAY_S = 0.8
IDLE_WAKE_DELAY_S = 0.15  # A few passes of a group that was idle.
MIN_ALERT_INTERVAL_S = 0.5  # By then a host's mean pause has followed a step change.
# A single host relays few streams, and one long prompt can delay them all.
MIN_HOSTS_SLOWED = 2
ALERT_SAMPLE_S = 0.11  # One or two passes of a group that has slowed down.
ALERT_POLL_S = 0.05
MAX_ALERT_SAMPLES = 4
# Demand may shift every few seconds, but each sample of it has a cost.
LONG_CYCLE_S = 2.0
# While demand is unsteady, pauses are near their objective, or a group is incomplete:
# the first new map matters most.
SHORT_CYCLE_S = 0.35
N_SAMPLED_RANKS = 3  # Enough requests to estimate the load of the hottest experts.
N_ALERT_RANKS = 6  # One or two passes have fewer requests, so more ranks are read.
# Without a leader, a group may stay held or on its first map.
LEADERSHIP_POLL_S = 0.1
LEADERSHIP_SETTLE_S = 0.3  # By then every live host has sent a heartbeat.
# By then a former leader that is only slow has finished its map change.
FORMER_LEADER_WAIT_MS = 1_000.0
MAX_PASS_S = 0.15  # Longer measurements come from slow ranks or idle time.
RECENT_PASSES = 40  # Counts since a rank's start are recent for some seconds only.
SKEW_WINDOW_S = 30.0  # Demand shifts every few seconds, or hardly ever.
# Some seconds of samples, of which one or two fall just after a shift.
MIN_SKEW_SAMPLES = 6
MIN_SLOWNESS = 1.1  # Smaller differences change no decision.
DEFAULT_PASS_S = 0.05  # Until a busy group has reported twice.

log = get_logger("maps")


class _GroupState:
    """State of one rank group, as the leader knows it."""

    def __init__(self, service: str, profile: EngineProfile):
        self.service = service
        self.profile = profile
        self.planner = GroupPlanner(profile)
        self.layers: list[Layer] | None = None
        self.layers_version: tuple[int, int] | None = None
        self.counts: dict[str, tuple[int, list[int]]] = {}
        self.pass_s = DEFAULT_PASS_S
        self.last_step: tuple[int, float] | None = None
        self.n_known_shifts = 0
        self.is_steady = False
        self.is_idle = False
        self.planned_epoch: int | None = None
        self.switched_at = float("-inf")
        self._skews: deque[tuple[float, float]] = deque()

    def record_skew(self) -> None:
        """Record the skew of the map in use under current demand."""
        now = trio.current_time()
        self._skews.append((now, self.planner.skew(self.layers)))
        while now - self._skews[0][0] > SKEW_WINDOW_S:
            self._skews.popleft()

    def post_shift_skew(self) -> float | None:
        """Return the highest recent skew, or None with too few samples."""
        if len(self._skews) < MIN_SKEW_SAMPLES:
            return None
        return max(skew for _, skew in self._skews)

    def has_unreported_switch(self, view: GroupView) -> bool:
        """Whether a map was switched that the ranks' reports do not show yet."""
        if trio.current_time() - self.switched_at > MAX_REPORT_DELAY_S:
            return False
        return self.layers_version != (view.epoch, view.map_version)


class _CountIncrease(NamedTuple):
    """Tokens by expert that some ranks counted since they were last read."""

    tokens: list[float]
    n_passes: int
    at_step: int


class MapController:
    """Reads rank reports and token counts, plans expert maps and switches to them.

    Parameters
    ----------
    routing_state : RoutingState
    control : RankControl
    exchange : HeartbeatExchange
        Decides whether this host is the leader, and tells what other hosts see.
    rng : random.Random
    on_slowness : callable
        Called when a rank becomes slow or normal.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        control: RankControl,
        exchange: HeartbeatExchange,
        rng: random.Random,
        on_slowness: Callable[[], None] = lambda: None,
    ):
        self._on_slowness = on_slowness
        self._routing_state = routing_state
        self._control = control
        self._exchange = exchange
        self._rng = rng
        self._groups: dict[str, _GroupState] = {}
        self._leader_since: float | None = None
        self._alerts_reset_at = float("-inf")
        self._n_incomplete = 0
        self._slowness: dict[str, float] = {}

    def slowness(self) -> dict[str, float]:
        """Return the slowness of the slow ranks, by upstream."""
        return self._slowness

    def post_shift_skews(self) -> dict[str, float]:
        """Return the highest recent skew of any group, by service."""
        found: dict[str, float] = {}
        for group in self._groups.values():
            skew = group.post_shift_skew()
            if skew is not None:
                found[group.service] = max(skew, found.get(group.service, 0.0))
        return found

    async def run(self) -> None:
        """Reconcile the groups for as long as this host is the leader."""
        while True:
            slowed = await self._wait_for_next_cycle()
            if not self._update_leadership():
                continue
            for service, profile in self._expert_services():
                await self._reconcile_service(service, profile, service in slowed)

    async def _wait_for_next_cycle(self) -> list[str]:
        """Wait for a cycle, or until the streams of a service slow down together.

        A shift of demand shows first in the pauses of the streams that the hosts relay,
        and those cost nothing to watch. Returns the services that slowed down.
        """
        if self._leader_since is None:
            await trio.sleep(LEADERSHIP_POLL_S)
            return []
        groups = self._groups.values()
        is_steady = self._n_incomplete == 0 and all(group.is_steady for group in groups)
        began_at = trio.current_time()
        while True:
            await trio.sleep(SLOWDOWN_POLL_S)
            if any(group.is_idle and self._has_work(group.service) for group in groups):
                await trio.sleep(IDLE_WAKE_DELAY_S)
                return []
            now = trio.current_time()
            if now - self._alerts_reset_at >= MIN_ALERT_INTERVAL_S and (
                slowed := self._slowed_services()
            ):
                return slowed
            is_calm = is_steady and not any(
                self._is_strained(group.service) for group in groups
            )
            if now - began_at >= (LONG_CYCLE_S if is_calm else SHORT_CYCLE_S):
                return []

    def _is_strained(self, service: str) -> bool:
        """Whether a service's streams are close to what its group can bear."""
        routing_state = self._routing_state
        ranks = routing_state.upstreams.candidates(service, now_ms())
        return is_strained(
            routing_state.pause_tracker(service).peak_ms(),
            routing_state.pause_objective_ms(service),
            sum(rank.n_in_flight for rank in ranks),
            sum(rank.n_slots for rank in ranks),
        )

    def _slowed_services(self) -> list[str]:
        n_needed = min(MIN_HOSTS_SLOWED, 1 + len(self._exchange.live_heartbeats()))
        return [
            service
            for service, _ in self._expert_services()
            if self._exchange.n_hosts_slowed(service) >= n_needed
        ]

    def _update_leadership(self) -> bool:
        """Take or give up leadership; returns whether this host is the leader."""
        if not self._exchange.update_leadership():
            if self._leader_since is not None:
                log.info("maps.leadership_lost")
            self._leader_since = None
            self._groups.clear()
            self._slowness = {}
            return False
        if self._leader_since is None:
            self._leader_since = trio.current_time()
            log.info("maps.leadership_acquired")
        return True

    def _may_switch_map(self) -> bool:
        """Whether any former leader must know by now that it no longer leads."""
        since = self._leader_since
        if since is None or trio.current_time() - since < LEADERSHIP_SETTLE_S:
            return False
        return self._exchange.ms_since_other_leader() >= FORMER_LEADER_WAIT_MS

    def _expert_services(self) -> list[tuple[str, EngineProfile]]:
        table = self._routing_state.routing_table
        if table is None:
            return []
        return [
            (service.name, service.engine)
            for service in table.configuration.services.values()
            if service.engine is not None and service.engine.n_experts
        ]

    async def _reconcile_service(
        self, service: str, profile: EngineProfile, is_slowed: bool
    ) -> None:
        reports = await self._read_reports(
            [u.entry.id for u in self._routing_state.upstreams.of_service(service)]
        )
        for report in reports:
            self._record_slowness(report)
        by_group: dict[str, list[RankReport]] = {}
        for report in reports:
            by_group.setdefault(report.group, []).append(report)
        self._n_incomplete = 0
        for name, members in by_group.items():
            view = group_view(members)
            if view is None:
                self._n_incomplete += 1
                log.info(
                    "maps.group_incomplete",
                    group=name,
                    n_reports=len(members),
                    n_open=sum(report.is_open for report in members),
                )
            else:
                group = self._groups.setdefault(name, _GroupState(service, profile))
                if not group.is_idle or self._has_work(service):
                    await self._reconcile_group(group, view, is_slowed)
                group.is_idle = not self._has_work(service)

    def _has_work(self, service: str) -> bool:
        """Whether any host has requests in flight at a service."""
        upstreams = self._routing_state.upstreams.of_service(service)
        return any(u.n_own_in_flight or u.n_peer_in_flight for u in upstreams)

    def _record_slowness(self, report: RankReport) -> None:
        previous = self._slowness.pop(report.upstream_id, 1.0)
        if report.slowness >= MIN_SLOWNESS:
            self._slowness[report.upstream_id] = report.slowness
        if previous != self._slowness.get(report.upstream_id, 1.0):
            log.info(
                "maps.rank_slowness_changed",
                upstream=report.upstream_id,
                slowness=report.slowness,
            )
            self._on_slowness()

    async def _read_reports(self, upstream_ids: list[str]) -> list[RankReport]:
        reports: list[RankReport] = []

        async def read(upstream_id: str) -> None:
            report = await self._control.report(upstream_id)
            if report is not None:
                reports.append(report)

        async with trio.open_nursery() as nursery:
            for upstream_id in upstream_ids:
                nursery.start_soon(read, upstream_id)
        return reports

    async def _reconcile_group(
        self, group: _GroupState, view: GroupView, is_slowed: bool
    ) -> None:
        ids = [report.upstream_id for report in view.ranks]

        async def read_group() -> GroupView | None:
            reports = await self._read_reports(ids)
            return group_view(reports) if len(reports) == len(ids) else None

        coordinator = MapChangeCoordinator(self._control, read_group, self._rng)
        if group.has_unreported_switch(view):
            return
        if not await self._read_layers(group, view):
            return
        if not view.is_quiescent:
            await coordinator.resolve(group.layers)
            return
        self._update_pass_time(group, view)
        is_new = await self._sample_demand(group, view, is_slowed)
        # The first map of an epoch was not made for any demand, so its skew does not
        # measure a shift.
        if is_new and group.planned_epoch == view.epoch and view.map_version:
            group.record_skew()
            self._routing_state.update_post_shift_skews(self.post_shift_skews())
        # A group that re-forms is back on its first map, mostly under the same demand.
        is_planned = group.planned_epoch == view.epoch
        if not (is_new or not is_planned) or not self._may_switch_map():
            return
        slowness = [report.slowness for report in view.ranks]
        min_gain = min_skew_gain(is_slowed or self._is_strained(group.service))
        plan = group.planner.plan(group.layers, slowness, group.pass_s, min_gain)
        group.planned_epoch = view.epoch
        facts = {
            "group": view.name,
            "in_use": view.map_version,
            "slowed": is_slowed,
            "n_shifts": group.planner.n_shifts,
            "pass_ms": round(group.pass_s * 1000, 1),
            "min_gain": min_gain,
        }
        if plan is None:
            log.info("maps.map_kept", **facts, steady=group.is_steady)
            return
        log.info(
            "maps.map_planned",
            **facts,
            n_copies=plan.n_copies,
            copy_ms=int(plan.copy_s * 1000),
            skew_before=round(plan.skew_before, 3),
            skew_after=round(plan.skew_after, 3),
        )
        version = await coordinator.switch_map(
            view, plan.layers, group.layers, plan.copy_s, group.pass_s
        )
        self._alerts_reset_at = trio.current_time()
        if version is not None:
            group.layers, group.layers_version = plan.layers, (view.epoch, version)
            group.switched_at = trio.current_time()

    def _update_pass_time(self, group: _GroupState, view: GroupView) -> None:
        now = trio.current_time()
        if group.last_step is not None:
            step, at = group.last_step
            if view.step > step:
                # An idle group begins no passes, so the time per pass is capped.
                group.pass_s = min((now - at) / (view.step - step), MAX_PASS_S)
            elif view.step < step:
                group.counts.clear()
        group.last_step = (view.step, now)

    async def _read_layers(self, group: _GroupState, view: GroupView) -> bool:
        """Read the map in use unless it is known; returns whether it is."""
        if view.map_version is None:
            return False
        wanted = (view.epoch, view.map_version)
        if group.layers_version == wanted:
            return True
        rows: dict[int, list[tuple[int, ...]]] = {}

        async def read(report: RankReport) -> None:
            rank_layers = await self._control.layers(report.upstream_id)
            if rank_layers is not None:
                rows[report.rank] = rank_layers

        async with trio.open_nursery() as nursery:
            for report in view.ranks:
                nursery.start_soon(read, report)
        if len(rows) < len(view.ranks):
            return False
        group.layers = [
            tuple(rows[rank][layer] for rank in sorted(rows))
            for layer in range(group.profile.n_layers)
        ]
        group.layers_version = wanted
        return True

    async def _sample_demand(
        self, group: _GroupState, view: GroupView, is_slowed: bool
    ) -> bool:
        """Sample the demand for experts; returns whether there were new counts.

        After a slowdown, counts from before it are discarded: they say little about the
        demand that caused it.
        """
        if not is_slowed:
            ranks = _every_nth(view.ranks, N_SAMPLED_RANKS)
            counts = await self._read_counts(group, ranks)
        else:
            ranks = _every_nth(view.ranks, N_ALERT_RANKS)
            self._alerts_reset_at = trio.current_time()
            await self._read_counts(group, ranks)
            await trio.sleep(ALERT_SAMPLE_S)
            for _ in range(MAX_ALERT_SAMPLES):
                if (counts := await self._read_counts(group, ranks)) is not None:
                    break
                await trio.sleep(ALERT_POLL_S)
        if counts is None:
            return False
        group.planner.observe(counts.tokens, counts.n_passes, counts.at_step)
        # Just after a shift, only the next sample shows the new demand alone.
        n_shifts = group.planner.n_shifts
        group.is_steady = n_shifts == group.n_known_shifts and not is_slowed
        group.n_known_shifts = n_shifts
        return True

    async def _read_counts(
        self, group: _GroupState, ranks: Sequence[RankReport]
    ) -> _CountIncrease | None:
        """Read some ranks' counts; returns the increase, or None if there is none."""
        responses: dict[str, tuple[int, list[int]]] = {}

        async def read(upstream_id: str) -> None:
            response = await self._control.counts(upstream_id)
            if response is not None:
                responses[upstream_id] = response

        async with trio.open_nursery() as nursery:
            for report in ranks:
                nursery.start_soon(read, report.upstream_id)
        total: list[float] = []
        n_passes, at_step = 0, 0
        for upstream_id, (step, counts) in responses.items():
            last_step, last = group.counts.get(upstream_id, (0, []))
            group.counts[upstream_id] = step, counts
            if len(last) == len(counts) and last_step <= step:
                new = [a - b for a, b in zip(counts, last, strict=True)]
            elif step <= RECENT_PASSES:
                new, last_step = counts, 0
            else:
                # Totals since the rank's start say little about current demand.
                continue
            total = [a + b for a, b in zip(total, new, strict=True)] if total else new
            n_passes, at_step = max(n_passes, step - last_step), max(at_step, step)
        if n_passes < 1 or sum(total) <= 0:
            return None
        return _CountIncrease(total, n_passes, at_step)


def _every_nth(ranks: Sequence[RankReport], n_wanted: int) -> Sequence[RankReport]:
    """Return about `n_wanted` ranks, evenly spaced."""
    return ranks[:: max(1, len(ranks) // n_wanted)]
