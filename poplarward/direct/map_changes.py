"""Switches all ranks of a group to a new expert map in the same pass.

The pass at which the ranks switch is held on one rank before any rank is armed, and
released only once every rank is known to be armed, or none is. So the group can't begin
that pass with two maps, whichever commands are lost, late or sent by another
coordinator. A command may be carried out seconds after its sender gave up on it. A rank
then refuses one of a former epoch, and one that arms a version that a newer one has
replaced. So a change is rolled back by disarming every rank and preparing the map in
use under a newer version, all under a hold, before the group goes on.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import trio

from ..coordination.rebalancing.placement import Layer
from ..telemetry.logs import get_logger
from .rank_group import CommandResult, RankControl, RankReport

__all__ = ["GroupView", "MapChangeCoordinator", "group_view"]

COMMAND_ATTEMPTS = 6  # With 1/3 of responses lost, 1 in 700 commands stays unknown.
REPORT_DELAY_S = 0.30  # A report shows the effect of a command only after this.
# Beyond the estimated copy time; a rank that takes longer is armed again until ready.
PREPARE_MARGIN_S = 0.02
PREPARE_TIMEOUT_S = 4.0  # Copies take under a second, a few times that when slow.
ARM_TIMEOUT_S = 0.8  # A rank that can't be armed by then would delay the group.
POLL_S = 0.06
HOLD_LEAD_TIME_S = 0.08  # Time to arm all ranks before the held pass is reached.
HOLD_ATTEMPTS = 3
MIN_PASS_S = 0.012  # The shortest likely pass, if none was measured.
RESOLVE_ROUNDS = 8
VERSIONS_PER_CHANGE = 4_096  # Two coordinators draw different versions from these.

log = get_logger("maps")


class GroupView(NamedTuple):
    """The reports of all ranks of a working group, by rank."""

    name: str
    epoch: int
    ranks: tuple[RankReport, ...]

    @property
    def upstream_ids(self) -> list[str]:
        """Ids of the ranks' upstreams, by rank."""
        return [report.upstream_id for report in self.ranks]

    @property
    def step(self) -> int:
        """Latest pass that a rank reports to have begun."""
        return max(report.step for report in self.ranks)

    @property
    def map_version(self) -> int | None:
        """Map in use on all ranks, None if their reports differ."""
        versions = {report.map_version for report in self.ranks}
        return versions.pop() if len(versions) == 1 else None

    @property
    def is_quiescent(self) -> bool:
        """Whether no rank is armed or holds a pass."""
        return all(r.armed is None and r.held_step is None for r in self.ranks)

    @property
    def highest_version(self) -> int:
        """Highest version that a rank reports as in use, prepared or armed."""
        found = [report.map_version for report in self.ranks]
        found += [r.prepared_version for r in self.ranks if r.prepared_version]
        found += [r.armed.version for r in self.ranks if r.armed]
        return max(found)


def group_view(reports: Sequence[RankReport]) -> GroupView | None:
    """Return the group if every rank reports it open in the same epoch, else None."""
    by_rank = {report.rank: report for report in reports}
    epochs = {report.epoch for report in reports}
    if len(epochs) != 1 or not all(report.is_open for report in reports):
        return None
    n_ranks = reports[0].n_ranks
    if len(by_rank) != n_ranks or len(reports) != n_ranks:
        return None
    ordered = tuple(by_rank[rank] for rank in sorted(by_rank))
    return GroupView(reports[0].group, epochs.pop(), ordered)


def _is_committed(group: GroupView) -> bool:
    """Whether all ranks are armed alike and none holds the pass."""
    armed = {report.armed for report in group.ranks}
    return len(armed) == 1 and all(r.held_step is None for r in group.ranks)


Command = Callable[[str, int], Awaitable[CommandResult]]


class _ChangeFailed(Exception):
    """The change can't be completed and has to be rolled back."""


class MapChangeCoordinator:
    """Switches one group between expert maps by commands to its ranks.

    Parameters
    ----------
    control : RankControl
    read_group : callable
        Returns the group as its ranks report it now, or None if it is incomplete.
    rng : random.Random
        Draws versions, so that those of two coordinators differ.
    """

    def __init__(
        self,
        control: RankControl,
        read_group: Callable[[], Awaitable[GroupView | None]],
        rng: random.Random,
    ):
        self._control = control
        self._read_group = read_group
        self._rng = rng

    def next_version(self, group: GroupView) -> int:
        """Return a newer version that another coordinator is unlikely to choose."""
        base = group.highest_version // VERSIONS_PER_CHANGE + 1
        return base * VERSIONS_PER_CHANGE + self._rng.randrange(VERSIONS_PER_CHANGE)

    async def switch_map(
        self,
        group: GroupView,
        layers: list[Layer],
        in_use: list[Layer],
        copy_s: float,
        pass_s: float,
    ) -> int | None:
        """Switch the group to a map; returns its version if all ranks were armed.

        Parameters
        ----------
        group : GroupView
            Quiescent, and just read.
        layers, in_use : list of Layer
            The new map and the one in use.
        copy_s : float
            Time in which the busiest rank copies its new experts.
        pass_s : float
            Duration of a pass.
        """
        version = self.next_version(group)
        if not await self._send_prepare(group, version, layers):
            return None
        await trio.sleep(copy_s + PREPARE_MARGIN_S)
        fresh = await self._read_group()
        if fresh is None or fresh.epoch != group.epoch or not fresh.is_quiescent:
            return None
        holder = group.ranks[0].upstream_id
        step, hold_result = await self._hold_upcoming_pass(fresh, holder, pass_s)
        if hold_result is CommandResult.REFUSED:
            log.info("maps.hold_refused", group=group.name, step=step)
            return None
        try:
            if hold_result is CommandResult.UNKNOWN:
                raise _ChangeFailed("no response to the hold command")
            await self._arm_all(group, version, step)
        except _ChangeFailed as error:
            log.warning(
                "maps.change_rolled_back",
                group=group.name,
                version=version,
                reason=str(error),
            )
            await self.resolve(in_use)
            return None
        released = await self._release(group.epoch, holder, step)
        log.info(
            "maps.map_armed",
            group=group.name,
            epoch=group.epoch,
            version=version,
            step=step,
            reported_step=fresh.step,
            released=released.value,
        )
        if released is not CommandResult.ACCEPTED:
            await self.resolve(in_use)
        return version

    async def resolve(self, in_use: list[Layer]) -> bool:
        """Resolve changes in progress; returns whether the group can go on.

        Afterwards no pass is held, and either all ranks are armed alike or none is.
        """
        for _ in range(RESOLVE_ROUNDS):
            await trio.sleep(REPORT_DELAY_S)
            group = await self._read_group()
            if group is None:
                return False
            if group.is_quiescent or _is_committed(group):
                return True
            await self._resolve_round(group, in_use)
        log.error("maps.unsettled", n_rounds=RESOLVE_ROUNDS)
        return False

    async def _resolve_round(self, group: GroupView, in_use: list[Layer]) -> None:
        armed = {report.armed for report in group.ranks}
        log.info(
            "maps.change_resolving",
            group=group.name,
            step=group.step,
            n_armed=sum(r.armed is not None for r in group.ranks),
            n_held=sum(r.held_step is not None for r in group.ranks),
        )
        is_armed_alike = len(armed) == 1 and None not in armed
        if not is_armed_alike and not await self._roll_back(group, in_use):
            return
        for report in group.ranks:
            if report.held_step is not None:
                await self._release(group.epoch, report.upstream_id, report.held_step)

    async def _roll_back(self, group: GroupView, in_use: list[Layer]) -> bool:
        """Disarm every rank for good, under a hold of our own.

        Returns whether no command of the change can take effect any more.
        """
        steps = [r.armed.step for r in group.ranks if r.armed and r.armed.step]
        steps += [r.held_step for r in group.ranks if r.held_step is not None]
        free = [r.upstream_id for r in group.ranks if r.held_step is None]
        step = min(steps, default=None)
        if step is not None and free:
            hold_result = await self._send(
                group.epoch, free[0], lambda u, e: self._control.hold(u, e, step)
            )
            if hold_result is not CommandResult.ACCEPTED:
                return False
        for version in {r.armed.version for r in group.ranks if r.armed}:
            results = await self._send_to_all(
                group,
                group.upstream_ids,
                lambda u, e, v=version: self._control.disarm(u, e, v),
            )
            if CommandResult.UNKNOWN in results.values():
                return False
        prepared = await self._prepare(group, self.next_version(group), in_use)
        if prepared is None:
            return False
        if step is not None and free:
            await self._release(group.epoch, free[0], step)
        return True

    async def _hold_upcoming_pass(
        self, fresh: GroupView, holder: str, pass_s: float
    ) -> tuple[int, CommandResult]:
        """Hold a pass that the group will reach soon; returns its number and result."""
        lead_time_s = HOLD_LEAD_TIME_S
        # The step in a response with counts is current; that in a report is older.
        counted = await self._control.counts(holder)
        if counted is None:
            lead_time_s += REPORT_DELAY_S
        step = fresh.step if counted is None else max(fresh.step, counted[0])
        for _ in range(HOLD_ATTEMPTS):
            step += math.ceil(lead_time_s / max(pass_s, MIN_PASS_S))
            hold_result = await self._send(
                fresh.epoch, holder, lambda u, e, n=step: self._control.hold(u, e, n)
            )
            if hold_result is not CommandResult.REFUSED:
                break
        return step, hold_result

    async def _send_prepare(
        self, group: GroupView, version: int, layers: list[Layer]
    ) -> bool:
        """Command all ranks to copy a map's experts; returns whether none refused."""
        results = await self._send_to_all(
            group,
            group.upstream_ids,
            lambda u, e: self._control.prepare(u, e, version, layers),
        )
        if CommandResult.REFUSED in results.values():
            log.info("maps.prepare_refused", group=group.name, version=version)
            return False
        return True

    async def _prepare(
        self, group: GroupView, version: int, layers: list[Layer]
    ) -> GroupView | None:
        """Prepare a map on all ranks; returns the group once every rank has done so."""
        if not await self._send_prepare(group, version, layers):
            return None
        started_at = trio.current_time()
        while trio.current_time() - started_at < PREPARE_TIMEOUT_S:
            view = await self._read_group()
            if view is None or view.epoch != group.epoch:
                return None
            if all(report.prepared_version == version for report in view.ranks):
                return view
            await trio.sleep(POLL_S)
        log.warning("maps.prepare_timed_out", group=group.name, version=version)
        return None

    async def _arm_all(self, group: GroupView, version: int, step: int) -> None:
        """Arm all ranks, retrying those that are still copying."""
        unarmed = group.upstream_ids
        deadline_s = trio.current_time() + ARM_TIMEOUT_S
        while True:
            results = await self._send_to_all(
                group, unarmed, lambda u, e: self._control.arm(u, e, version, step)
            )
            unarmed = [u for u, r in results.items() if r is not CommandResult.ACCEPTED]
            if not unarmed:
                return
            if trio.current_time() > deadline_s:
                break
            await trio.sleep(POLL_S)
            view = await self._read_group()
            if view is None or view.step >= step:
                # This host was suspended meanwhile, and another released the hold.
                raise _ChangeFailed("the pass has begun, or the group is incomplete")
        # A command without a response may still have been carried out.
        await trio.sleep(REPORT_DELAY_S)
        view = await self._read_group()
        if view is None or view.epoch != group.epoch:
            raise _ChangeFailed("the group is incomplete or has re-formed")
        for report in view.ranks:
            if report.armed is None or report.armed.version != version:
                raise _ChangeFailed(f"rank {report.rank} is not armed with the map")

    async def _release(self, epoch: int, upstream_id: str, step: int) -> CommandResult:
        return await self._send(
            epoch, upstream_id, lambda u, e: self._control.release(u, e, step)
        )

    async def _send_to_all(
        self, group: GroupView, upstream_ids: Sequence[str], command: Command
    ) -> dict[str, CommandResult]:
        results: dict[str, CommandResult] = {}

        async def send_one(upstream_id: str) -> None:
            results[upstream_id] = await self._send(group.epoch, upstream_id, command)

        async with trio.open_nursery() as nursery:
            for upstream_id in upstream_ids:
                nursery.start_soon(send_one, upstream_id)
        return results

    async def _send(
        self, epoch: int, upstream_id: str, command: Command
    ) -> CommandResult:
        """Send a command until there is a response; all may safely be repeated."""
        is_in_doubt = False
        for _ in range(COMMAND_ATTEMPTS):
            result = await command(upstream_id, epoch)
            if result is CommandResult.ACCEPTED:
                return result
            if result is CommandResult.REFUSED:
                # An earlier attempt may have been carried out and cause the refusal.
                return CommandResult.UNKNOWN if is_in_doubt else result
            is_in_doubt = True
        return CommandResult.UNKNOWN
