"""Keeps the rank groups of a deployment on even expert maps.

One entry host at a time does this, see `HeartbeatExchange.update_leadership`. Two that
do so for a
moment, because a beat was late, harm nothing: see `map_changes`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from ..coordination.rebalancing.placement import Layer
from ..telemetry.logs import get_logger
from .host_heartbeats import HeartbeatExchange
from .map_changes import GroupView, MapChangeCoordinator, group_view
from .map_planner import GroupPlanner
from .model import EngineProfile
from .rank_group import RankControl, RankReport
from .routing_state import RoutingState

__all__ = ["MapController"]

SLOWDOWN_POLL_S = 0.03
MAX_REPORT_DELAY_S = 0.8  # Reports are some hundred ms old, and the pass has to begin.
IDLE_WAKE_DELAY_S = 0.15  # A few passes of a group that had nothing to do.
MIN_ALERT_INTERVAL_S = 0.5  # A host's mean pause has followed a jump by then.
MIN_HOSTS_SLOWED = 2  # One host alone sees few streams, and a long prompt delays them.
ALERT_SAMPLE_S = 0.11  # A pass or two of a group that has turned slow.
ALERT_POLL_S = 0.05
MAX_ALERT_SAMPLES = 4
LONG_CYCLE_S = 1.0  # Demand may change every few seconds; each look at it has a price.
SHORT_CYCLE_S = 0.35  # Until a first map is in force, which matters most.
STRAINED_FRACTION = (
    0.6  # Of the pauses' objective; a shift now may make all streams late.
)
N_SAMPLED_RANKS = 3  # Enough requests for the popularity of the hottest experts.
N_ALERT_RANKS = 6  # Of one or two passes, as many requests take more ranks.
LEADERSHIP_POLL_S = 0.2  # A group may be held, or on its first map, while nobody leads.
LEADERSHIP_SETTLE_S = 0.3  # Beats of all hosts that live have come by then.
FORMER_LEADER_WAIT_MS = (
    1_000.0  # A holder that is only slow has ended its change by then.
)
MAX_PASS_S = 0.15  # Longer ones come from slow ranks, or from idle times.
RECENT_PASSES = 40  # Counts since a rank's start are of use for some seconds.
SKEW_WINDOW_S = 30.0  # Shifts of demand come every few seconds, or hardly ever.
MIN_SKEW_SAMPLES = 6  # Looks in some seconds, of which one or two fall after a shift.
MIN_SLOWNESS = 1.1  # Smaller differences change no choice.
DEFAULT_PASS_S = 0.05  # Before two reports of a busy group are known.

log = get_logger("maps")


class _Group:
    """What is known of one group."""

    def __init__(self, service: str, profile: EngineProfile):
        self.service = service
        self.profile = profile
        self.planner = GroupPlanner(profile)
        self.layers: list[Layer] | None = None
        self.layers_of: tuple[int, int] | None = None
        self.counts: dict[str, tuple[int, list[int]]] = {}
        self.pass_s = DEFAULT_PASS_S
        self.seen: tuple[int, float] | None = None
        self.n_shifts_seen = 0
        self.is_steady = False
        self.is_idle = False
        self.planned_epoch: int | None = None
        self.changed_at = float("-inf")
        self._skews: deque[tuple[float, float]] = deque()

    def note_skew(self) -> None:
        """Note how uneven the map in use is for the present demand."""
        now = trio.current_time()
        self._skews.append((now, self.planner.skew(self.layers)))
        while now - self._skews[0][0] > SKEW_WINDOW_S:
            self._skews.popleft()

    def shifted_skew(self) -> float | None:
        """Return the greatest skew of late, None before enough is known."""
        if len(self._skews) < MIN_SKEW_SAMPLES:
            return None
        return max(skew for _, skew in self._skews)

    def is_ahead_of(self, view: GroupView) -> bool:
        """Whether a change was made that the ranks' reports don't show yet."""
        if trio.current_time() - self.changed_at > MAX_REPORT_DELAY_S:
            return False
        return self.layers_of != (view.epoch, view.map_version)


class _Counts(NamedTuple):
    """What some ranks counted since they were last asked."""

    tokens: list[float]
    n_passes: int
    at_step: int


class MapController:
    """Reads reports and counts, plans maps and puts them in force.

    Parameters
    ----------
    beliefs : RoutingState
    control : RankControl
    exchange : HeartbeatExchange
        Tells whether this host is the one to do it, and what the others see.
    rng : random.Random
    on_slowness : callable
        Called when a rank turns slow or ordinary.
    """

    def __init__(
        self,
        beliefs: RoutingState,
        control: RankControl,
        exchange: HeartbeatExchange,
        rng: random.Random,
        on_slowness: Callable[[], None] = lambda: None,
    ):
        self._on_slowness = on_slowness
        self._beliefs = beliefs
        self._control = control
        self._exchange = exchange
        self._rng = rng
        self._groups: dict[str, _Group] = {}
        self._leading_since: float | None = None
        self._looked_at = float("-inf")
        self._n_closed = 0
        self._slowness: dict[str, float] = {}

    def slowness(self) -> dict[str, float]:
        """Return the ranks that report to be slower than others."""
        return self._slowness

    def post_shift_skews(self) -> dict[str, float]:
        """Return how uneven groups were at their worst of late, by service."""
        found: dict[str, float] = {}
        for group in self._groups.values():
            skew = group.shifted_skew()
            if skew is not None:
                found[group.service] = max(skew, found.get(group.service, 0.0))
        return found

    async def run(self) -> None:
        """Tend the groups whenever this host is the one to do it."""
        while True:
            slowed = await self._wait_for_next_look()
            if not self._takes_lead():
                continue
            for service, profile in self._engines():
                await self._tend_service(service, profile, service in slowed)

    async def _wait_for_next_look(self) -> list[str]:
        """Wait for a cycle, or until streams of a service turn slower all at once.

        Demand that has changed shows first in the pauses of the streams that the hosts
        relay, which cost nothing to look at. Returns the services that turned slower.
        """
        if self._leading_since is None:
            await trio.sleep(LEADERSHIP_POLL_S)
            return []
        groups = self._groups.values()
        is_steady = self._n_closed == 0 and all(group.is_steady for group in groups)
        began_at = trio.current_time()
        while True:
            await trio.sleep(SLOWDOWN_POLL_S)
            if any(group.is_idle and self._has_work(group.service) for group in groups):
                await trio.sleep(IDLE_WAKE_DELAY_S)
                return []
            now = trio.current_time()
            if now - self._looked_at >= MIN_ALERT_INTERVAL_S and (
                slowed := self._slowed()
            ):
                return slowed
            is_calm = is_steady and not any(
                self._is_strained(group.service) for group in groups
            )
            if now - began_at >= (LONG_CYCLE_S if is_calm else SHORT_CYCLE_S):
                return []

    def _is_strained(self, service: str) -> bool:
        """Whether a service's streams have pauses not far below their objective."""
        pause_ms = self._beliefs.pause_tracker(service).peak_ms()
        objective_ms = self._beliefs.pause_objective_ms(service)
        return pause_ms is not None and pause_ms > STRAINED_FRACTION * objective_ms > 0

    def _slowed(self) -> list[str]:
        n_needed = min(MIN_HOSTS_SLOWED, 1 + len(self._exchange.live()))
        return [
            service
            for service, _ in self._engines()
            if self._exchange.n_hosts_slowed(service) >= n_needed
        ]

    def _takes_lead(self) -> bool:
        """Whether this host tends the groups now."""
        if not self._exchange.update_leadership():
            if self._leading_since is not None:
                log.info("maps.lead_lost")
            self._leading_since = None
            self._groups.clear()
            self._slowness = {}
            return False
        if self._leading_since is None:
            self._leading_since = trio.current_time()
            log.info("maps.lead_taken")
        return True

    def _may_change(self) -> bool:
        """Whether a former holder of the lead has surely heard that it is not."""
        since = self._leading_since
        if since is None or trio.current_time() - since < LEADERSHIP_SETTLE_S:
            return False
        return self._exchange.ms_since_other_leader() >= FORMER_LEADER_WAIT_MS

    def _engines(self) -> list[tuple[str, EngineProfile]]:
        table = self._beliefs.routing_table
        if table is None:
            return []
        return [
            (service.name, service.engine)
            for service in table.configuration.services.values()
            if service.engine is not None and service.engine.n_experts
        ]

    async def _tend_service(
        self, service: str, profile: EngineProfile, is_slowed: bool
    ) -> None:
        reports = await self._reports(
            [u.entry.id for u in self._beliefs.upstreams.of_service(service)]
        )
        for report in reports:
            self._note_slowness(report)
        by_group: dict[str, list[RankReport]] = {}
        for report in reports:
            by_group.setdefault(report.group, []).append(report)
        self._n_closed = 0
        for name, members in by_group.items():
            view = group_view(members)
            if view is None:
                self._n_closed += 1
                log.info(
                    "maps.group_not_whole",
                    group=name,
                    n_reports=len(members),
                    n_open=sum(report.is_open for report in members),
                )
            else:
                group = self._groups.setdefault(name, _Group(service, profile))
                if not group.is_idle or self._has_work(service):
                    await self._tend(group, view, is_slowed)
                group.is_idle = not self._has_work(service)

    def _has_work(self, service: str) -> bool:
        """Whether any host has requests at a service."""
        upstreams = self._beliefs.upstreams.of_service(service)
        return any(u.n_own_in_flight or u.n_peer_in_flight for u in upstreams)

    def _note_slowness(self, report: RankReport) -> None:
        held = self._slowness.pop(report.upstream_id, 1.0)
        if report.slowness >= MIN_SLOWNESS:
            self._slowness[report.upstream_id] = report.slowness
        if held != self._slowness.get(report.upstream_id, 1.0):
            log.info(
                "maps.rank_slowness",
                upstream=report.upstream_id,
                slowness=report.slowness,
            )
            self._on_slowness()

    async def _reports(self, upstream_ids: list[str]) -> list[RankReport]:
        reports: list[RankReport] = []

        async def read(upstream_id: str) -> None:
            report = await self._control.report(upstream_id)
            if report is not None:
                reports.append(report)

        async with trio.open_nursery() as nursery:
            for upstream_id in upstream_ids:
                nursery.start_soon(read, upstream_id)
        return reports

    async def _tend(self, group: _Group, view: GroupView, is_slowed: bool) -> None:
        ids = [report.upstream_id for report in view.ranks]

        async def read_group() -> GroupView | None:
            reports = await self._reports(ids)
            return group_view(reports) if len(reports) == len(ids) else None

        changes = MapChangeCoordinator(self._control, read_group, self._rng)
        if group.is_ahead_of(view):
            return
        if not await self._know_layers(group, view):
            return
        if not view.is_quiescent:
            await changes.settle(group.layers)
            return
        self._note_pace(group, view)
        is_new = await self._observe(group, view, is_slowed)
        # The first map of an epoch says nothing of a shift.
        if is_new and group.planned_epoch == view.epoch and view.map_version:
            group.note_skew()
            self._beliefs.update_post_shift_skews(self.post_shift_skews())
        # A group that forms anew has its first map again, and mostly the same demand.
        is_planned = group.planned_epoch == view.epoch
        if not (is_new or not is_planned) or not self._may_change():
            return
        slowness = [report.slowness for report in view.ranks]
        found = group.planner.plan(group.layers, slowness, group.pass_s)
        group.planned_epoch = view.epoch
        facts = {
            "group": view.name,
            "in_use": view.map_version,
            "slowed": is_slowed,
            "n_shifts": group.planner.n_shifts,
            "pass_ms": round(group.pass_s * 1000, 1),
        }
        if found is None:
            log.info("maps.kept", **facts, steady=group.is_steady)
            return
        log.info(
            "maps.planned",
            **facts,
            n_copies=found.n_copies,
            copy_ms=int(found.copy_s * 1000),
            skew_before=round(found.skew_before, 3),
            skew_after=round(found.skew_after, 3),
        )
        version = await changes.change(
            view, found.layers, group.layers, found.copy_s, group.pass_s
        )
        self._looked_at = trio.current_time()
        if version is not None:
            group.layers, group.layers_of = found.layers, (view.epoch, version)
            group.changed_at = trio.current_time()

    def _note_pace(self, group: _Group, view: GroupView) -> None:
        now = trio.current_time()
        if group.seen is not None:
            step, at = group.seen
            if view.step > step:
                # A group that was idle meanwhile made no passes.
                group.pass_s = min((now - at) / (view.step - step), MAX_PASS_S)
            elif view.step < step:
                group.counts.clear()
        group.seen = (view.step, now)

    async def _know_layers(self, group: _Group, view: GroupView) -> bool:
        """Learn the experts of the map in use, unless they are known."""
        if view.map_version is None:
            return False
        wanted = (view.epoch, view.map_version)
        if group.layers_of == wanted:
            return True
        rows: dict[int, list[tuple[int, ...]]] = {}

        async def read(report: RankReport) -> None:
            held = await self._control.layers(report.upstream_id)
            if held is not None:
                rows[report.rank] = held

        async with trio.open_nursery() as nursery:
            for report in view.ranks:
                nursery.start_soon(read, report)
        if len(rows) < len(view.ranks):
            return False
        group.layers = [
            tuple(rows[rank][layer] for rank in sorted(rows))
            for layer in range(group.profile.n_layers)
        ]
        group.layers_of = wanted
        return True

    async def _observe(self, group: _Group, view: GroupView, is_slowed: bool) -> bool:
        """Take in what is in demand; returns whether there was anything new.

        What was counted before the streams turned slower says little of the demand
        that made them so, and is passed over.
        """
        if not is_slowed:
            ranks = _every_nth(view.ranks, N_SAMPLED_RANKS)
            counts = await self._read_counts(group, ranks)
        else:
            ranks = _every_nth(view.ranks, N_ALERT_RANKS)
            self._looked_at = trio.current_time()
            await self._read_counts(group, ranks)
            await trio.sleep(ALERT_SAMPLE_S)
            for _ in range(MAX_ALERT_SAMPLES):
                if (counts := await self._read_counts(group, ranks)) is not None:
                    break
                await trio.sleep(ALERT_POLL_S)
        if counts is None:
            return False
        group.planner.observe(counts.tokens, counts.n_passes, counts.at_step)
        # Just after demand has changed, the next look is the first clear one.
        n_shifts = group.planner.n_shifts
        group.is_steady = n_shifts == group.n_shifts_seen and not is_slowed
        group.n_shifts_seen = n_shifts
        return True

    async def _read_counts(
        self, group: _Group, ranks: Sequence[RankReport]
    ) -> _Counts | None:
        """Read some ranks' counts; returns what is new in them, if there is any."""
        answers: dict[str, tuple[int, list[int]]] = {}

        async def read(upstream_id: str) -> None:
            answer = await self._control.counts(upstream_id)
            if answer is not None:
                answers[upstream_id] = answer

        async with trio.open_nursery() as nursery:
            for report in ranks:
                nursery.start_soon(read, report.upstream_id)
        total: list[float] = []
        n_passes, at_step = 0, 0
        for upstream_id, (step, counts) in answers.items():
            held_step, held = group.counts.get(upstream_id, (0, []))
            group.counts[upstream_id] = step, counts
            if len(held) == len(counts) and held_step <= step:
                new = [a - b for a, b in zip(counts, held, strict=True)]
            elif step <= RECENT_PASSES:
                new, held_step = counts, 0
            else:
                # What was in demand since the rank's start says little of now.
                continue
            total = [a + b for a, b in zip(total, new, strict=True)] if total else new
            n_passes, at_step = max(n_passes, step - held_step), max(at_step, step)
        if n_passes < 1 or sum(total) <= 0:
            return None
        return _Counts(total, n_passes, at_step)


def _every_nth(ranks: Sequence[RankReport], n_wanted: int) -> Sequence[RankReport]:
    """Return about so many ranks, spread over all."""
    return ranks[:: max(1, len(ranks) // n_wanted)]
