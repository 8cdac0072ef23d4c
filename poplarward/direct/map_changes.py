"""Puts a new expert map in force on all ranks of a group in the same pass.

The pass at which the ranks switch is held on one rank before any rank is armed, and
let go only once every rank is known to be armed, or none is. So the group can't begin
that pass with two maps, whichever orders are lost, late or given by another
coordinator. An order may be carried out seconds after it was given up. One of a former
epoch is refused then, and so is one that arms a version that a newer one has replaced:
a change is taken back by disarming every rank and preparing the map in use under a
newer version, all under a hold, before the group goes on.
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

COMMAND_ATTEMPTS = 6  # With a third of the answers lost, one order in 700 stays open.
REPORT_DELAY_S = 0.30  # A report is older than an order that was given before this.
PREPARE_MARGIN_S = 0.02  # Beyond the copies' own time; ranks that need more are asked.
PREPARE_TIMEOUT_S = 4.0  # Copies take under a second, a few times that when slowed.
ARM_TIMEOUT_S = 0.8  # A rank that is not ready to be armed by then delays the group.
POLL_S = 0.06
HOLD_LEAD_TIME_S = 0.08  # Orders to all ranks before the pass is reached.
HOLD_ATTEMPTS = 3
MIN_PASS_S = 0.012  # Without a measured pass time: the fastest that is likely.
RESOLVE_ROUNDS = 8
VERSIONS_PER_CHANGE = 4_096  # Room to make versions of two coordinators differ.

log = get_logger("maps")


class GroupView(NamedTuple):
    """A whole group by rank, and whether it works."""

    name: str
    epoch: int
    ranks: tuple[RankReport, ...]

    @property
    def upstream_ids(self) -> list[str]:
        """The ranks' upstreams, by rank."""
        return [report.upstream_id for report in self.ranks]

    @property
    def step(self) -> int:
        """Last pass that is known to have begun."""
        return max(report.step for report in self.ranks)

    @property
    def map_version(self) -> int | None:
        """Map in use on all ranks, None if their reports differ."""
        versions = {report.map_version for report in self.ranks}
        return versions.pop() if len(versions) == 1 else None

    @property
    def is_quiescent(self) -> bool:
        """Whether no rank is armed or held."""
        return all(r.armed is None and r.held_step is None for r in self.ranks)

    @property
    def highest_version(self) -> int:
        """Greatest version that a rank speaks of."""
        found = [report.map_version for report in self.ranks]
        found += [r.prepared_version for r in self.ranks if r.prepared_version]
        found += [r.armed.version for r in self.ranks if r.armed]
        return max(found)


def group_view(reports: Sequence[RankReport]) -> GroupView | None:
    """Return a group if all its ranks work together, else None."""
    by_rank = {report.rank: report for report in reports}
    epochs = {report.epoch for report in reports}
    if len(epochs) != 1 or not all(report.is_open for report in reports):
        return None
    n_ranks = reports[0].n_ranks
    if len(by_rank) != n_ranks or len(reports) != n_ranks:
        return None
    ordered = tuple(by_rank[rank] for rank in sorted(by_rank))
    return GroupView(reports[0].group, epochs.pop(), ordered)


def _is_under_way(group: GroupView) -> bool:
    """Whether all ranks switch alike as soon as the pass begins."""
    armed = {report.armed for report in group.ranks}
    return len(armed) == 1 and all(r.held_step is None for r in group.ranks)


Command = Callable[[str, int], Awaitable[CommandResult]]


class _Failed(Exception):
    """The change can't be completed; it has to be taken back."""


class MapChangeCoordinator:
    """Gives the orders of map changes to one group.

    Parameters
    ----------
    control : RankControl
    read_group : callable
        Returns the group as it reports itself now, None unless it works as a whole.
    rng : random.Random
        Makes the versions of two coordinators differ.
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
        """Return a version that no other coordinator chooses."""
        base = group.highest_version // VERSIONS_PER_CHANGE + 1
        return base * VERSIONS_PER_CHANGE + self._rng.randrange(VERSIONS_PER_CHANGE)

    async def change(
        self,
        group: GroupView,
        layers: list[Layer],
        in_use: list[Layer],
        copy_s: float,
        pass_s: float,
    ) -> int | None:
        """Put a map in force; returns its version if all ranks were armed.

        Parameters
        ----------
        group : GroupView
            Settled, and just read.
        layers, in_use : list of Layer
            The new map and the one in use.
        copy_s : float
            Time in which the busiest rank copies its new experts.
        pass_s : float
            Time of a pass.
        """
        version = self.next_version(group)
        if not await self._order_prepare(group, version, layers):
            return None
        await trio.sleep(copy_s + PREPARE_MARGIN_S)
        fresh = await self._read_group()
        if fresh is None or fresh.epoch != group.epoch or not fresh.is_quiescent:
            return None
        holder = group.ranks[0].upstream_id
        step, held = await self._hold_ahead(fresh, holder, pass_s)
        if held is CommandResult.REFUSED:
            log.info("maps.hold_refused", group=group.name, step=step)
            return None
        try:
            if held is CommandResult.UNKNOWN:
                raise _Failed("the hold had no answer")
            await self._arm_all(group, version, step)
        except _Failed as error:
            log.warning(
                "maps.taken_back", group=group.name, version=version, reason=str(error)
            )
            await self.settle(in_use)
            return None
        released = await self._go(group.epoch, holder, step)
        log.info(
            "maps.armed",
            group=group.name,
            epoch=group.epoch,
            version=version,
            step=step,
            reported_step=fresh.step,
            released=released.value,
        )
        if released is not CommandResult.ACCEPTED:
            await self.settle(in_use)
        return version

    async def settle(self, in_use: list[Layer]) -> bool:
        """End every hold, with all ranks armed alike or none; returns whether done."""
        for _ in range(RESOLVE_ROUNDS):
            await trio.sleep(REPORT_DELAY_S)
            group = await self._read_group()
            if group is None:
                return False
            if group.is_quiescent or _is_under_way(group):
                return True
            await self._settle_round(group, in_use)
        log.error("maps.unsettled", n_rounds=RESOLVE_ROUNDS)
        return False

    async def _settle_round(self, group: GroupView, in_use: list[Layer]) -> None:
        armed = {report.armed for report in group.ranks}
        log.info(
            "maps.settling",
            group=group.name,
            step=group.step,
            n_armed=sum(r.armed is not None for r in group.ranks),
            n_held=sum(r.held_step is not None for r in group.ranks),
        )
        is_armed_alike = len(armed) == 1 and None not in armed
        if not is_armed_alike and not await self._take_back(group, in_use):
            return
        for report in group.ranks:
            if report.held_step is not None:
                await self._go(group.epoch, report.upstream_id, report.held_step)

    async def _take_back(self, group: GroupView, in_use: list[Layer]) -> bool:
        """Disarm every rank for good, under a hold of our own.

        Returns whether no order of the change can take effect any more.
        """
        steps = [r.armed.step for r in group.ranks if r.armed and r.armed.step]
        steps += [r.held_step for r in group.ranks if r.held_step is not None]
        free = [r.upstream_id for r in group.ranks if r.held_step is None]
        step = min(steps, default=None)
        if step is not None and free:
            held = await self._order_one(
                group.epoch, free[0], lambda u, e: self._control.hold(u, e, step)
            )
            if held is not CommandResult.ACCEPTED:
                return False
        for version in {r.armed.version for r in group.ranks if r.armed}:
            results = await self._order_all(
                group,
                group.upstream_ids,
                lambda u, e, v=version: self._control.disarm(u, e, v),
            )
            if CommandResult.UNKNOWN in results.values():
                return False
        is_replaced = await self._prepare(group, self.next_version(group), in_use)
        if is_replaced is None:
            return False
        if step is not None and free:
            await self._go(group.epoch, free[0], step)
        return True

    async def _hold_ahead(
        self, fresh: GroupView, holder: str, pass_s: float
    ) -> tuple[int, CommandResult]:
        """Hold a pass that the group will reach soon; returns it and the result."""
        lead_s = HOLD_LEAD_TIME_S
        # The step that comes with counts is that of now, unlike the reports'.
        counted = await self._control.counts(holder)
        if counted is None:
            lead_s += REPORT_DELAY_S
        step = fresh.step if counted is None else max(fresh.step, counted[0])
        for _ in range(HOLD_ATTEMPTS):
            step += math.ceil(lead_s / max(pass_s, MIN_PASS_S))
            held = await self._order_one(
                fresh.epoch, holder, lambda u, e, n=step: self._control.hold(u, e, n)
            )
            if held is not CommandResult.REFUSED:
                break
        return step, held

    async def _order_prepare(
        self, group: GroupView, version: int, layers: list[Layer]
    ) -> bool:
        """Have all ranks begin to copy a map's experts."""
        results = await self._order_all(
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
        """Have all ranks hold a map's experts; returns the group once they do."""
        if not await self._order_prepare(group, version, layers):
            return None
        started_at = trio.current_time()
        while trio.current_time() - started_at < PREPARE_TIMEOUT_S:
            view = await self._read_group()
            if view is None or view.epoch != group.epoch:
                return None
            if all(report.prepared_version == version for report in view.ranks):
                return view
            await trio.sleep(POLL_S)
        log.warning("maps.prepare_late", group=group.name, version=version)
        return None

    async def _arm_all(self, group: GroupView, version: int, step: int) -> None:
        """Arm all ranks; a rank that is still copying is asked again."""
        waiting = group.upstream_ids
        give_up_at = trio.current_time() + ARM_TIMEOUT_S
        while True:
            results = await self._order_all(
                group, waiting, lambda u, e: self._control.arm(u, e, version, step)
            )
            waiting = [u for u, r in results.items() if r is not CommandResult.ACCEPTED]
            if not waiting:
                return
            if trio.current_time() > give_up_at:
                break
            await trio.sleep(POLL_S)
            view = await self._read_group()
            if view is None or view.step >= step:
                # This host was suspended, and another one has ended the hold.
                raise _Failed("the pass has begun")
        # An order without an answer may have been carried out all the same.
        await trio.sleep(REPORT_DELAY_S)
        view = await self._read_group()
        if view is None or view.epoch != group.epoch:
            raise _Failed("the group has changed")
        for report in view.ranks:
            if report.armed is None or report.armed.version != version:
                raise _Failed(f"rank {report.rank} is not armed")

    async def _go(self, epoch: int, upstream_id: str, step: int) -> CommandResult:
        return await self._order_one(
            epoch, upstream_id, lambda u, e: self._control.release(u, e, step)
        )

    async def _order_all(
        self, group: GroupView, upstream_ids: Sequence[str], order: Command
    ) -> dict[str, CommandResult]:
        results: dict[str, CommandResult] = {}

        async def order_one(upstream_id: str) -> None:
            results[upstream_id] = await self._order_one(
                group.epoch, upstream_id, order
            )

        async with trio.open_nursery() as nursery:
            for upstream_id in upstream_ids:
                nursery.start_soon(order_one, upstream_id)
        return results

    async def _order_one(
        self, epoch: int, upstream_id: str, order: Command
    ) -> CommandResult:
        """Give an order until it has an answer; all orders may be repeated."""
        had_no_answer = False
        for _ in range(COMMAND_ATTEMPTS):
            result = await order(upstream_id, epoch)
            if result is CommandResult.ACCEPTED:
                return result
            if result is CommandResult.REFUSED:
                # A try before may have been carried out and be the reason.
                return CommandResult.UNKNOWN if had_no_answer else result
            had_no_answer = True
        return CommandResult.UNKNOWN
