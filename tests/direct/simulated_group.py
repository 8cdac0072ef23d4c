"""A simulated rank group with the platform's documented behaviour.

Commands may be lost and carried out late. The group runs passes on its own and records
those in which its ranks had different maps.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio

from poplarward.direct.rank_group import ArmedMap, CommandResult, RankReport

COMMAND_TIMEOUT_S = 0.15


@dataclass
class Rank:
    index: int
    version: int = 0
    content: tuple = ()
    prepared: tuple[int, tuple] | None = None
    highest_version: int = 0
    armed: ArmedMap | None = None
    held_step: int | None = None
    history: list = field(default_factory=list)


class SimulatedGroup:
    """Ranks that run passes in lock-step; implements `RankControl`."""

    def __init__(
        self,
        n_ranks=4,
        *,
        lost_share=0.0,
        pass_s=0.06,
        report_lag_s=0.2,
        seed=1,
    ):
        self.lost_share = lost_share
        self.pass_s = pass_s
        self.report_lag_s = report_lag_s
        self.rng = random.Random(seed)
        self.epoch = 1
        self.step = 0
        self.layers = [tuple((rank,) for rank in range(n_ranks))]
        self.ranks = [Rank(n, content=_content(self.layers)) for n in range(n_ranks)]
        self.mixed_passes = []
        self.n_stalled = 0
        self.late_commands = None
        self.snapshots = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run passes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.late_commands = nursery
            task_status.started()
            while True:
                self._snapshot()
                await trio.sleep(self.pass_s)
                self._begin_pass()

    def _begin_pass(self):
        if any(rank.held_step == self.step + 1 for rank in self.ranks):
            self.n_stalled += 1
            return
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == self.step:
                rank.version, rank.content = rank.prepared
                rank.armed = None
        if len({(rank.version, rank.content) for rank in self.ranks}) > 1:
            self.mixed_passes.append(self.step)

    def _snapshot(self):
        reports = [self._report(rank) for rank in self.ranks]
        self.snapshots.append((trio.current_time(), reports))
        del self.snapshots[:-40]

    def _report(self, rank):
        return RankReport(
            upstream_id=f"u{rank.index}",
            group="g",
            epoch=self.epoch,
            rank=rank.index,
            n_ranks=len(self.ranks),
            is_open=True,
            step=self.step,
            map_version=rank.version,
            prepared_version=rank.prepared[0] if rank.prepared else None,
            armed=rank.armed,
            held_step=rank.held_step,
            slowness=1.0,
        )

    def lagged_reports(self):
        """Return the reports as of `report_lag_s` ago."""
        due = trio.current_time() - self.report_lag_s
        latest = self.snapshots[0][1]
        for at, reports in self.snapshots:
            if at <= due:
                latest = reports
        return latest

    def reform(self):
        """Re-form the group in a new epoch, as after a crash of a rank."""
        self.epoch += 1
        for rank in self.ranks:
            rank.version, rank.content = 0, _content(self.layers)
            rank.prepared = rank.armed = rank.held_step = None
            rank.highest_version = 0

    # Methods of `RankControl`.

    async def report(self, upstream_id):
        await trio.sleep(0.002)
        return self.lagged_reports()[int(upstream_id[1:])]

    async def counts(self, upstream_id):
        await trio.sleep(0.002)
        return self.step, []

    async def prepare(self, upstream_id, epoch, version, layers):
        def carry_out(rank):
            if version <= rank.highest_version or rank.armed is not None:
                return False
            rank.highest_version = version
            rank.prepared = version, _content(layers)
            return True

        return await self._send(upstream_id, epoch, carry_out)

    async def arm(self, upstream_id, epoch, version, step):
        def carry_out(rank):
            if rank.armed == ArmedMap(version, step):
                return True
            is_prepared = rank.prepared is not None and rank.prepared[0] == version
            if not is_prepared or step <= self.step:
                return False
            rank.armed = ArmedMap(version, step)
            return True

        return await self._send(upstream_id, epoch, carry_out)

    async def disarm(self, upstream_id, epoch, version):
        def carry_out(rank):
            if rank.version == version:
                return False
            if rank.armed is not None and rank.armed.version == version:
                rank.armed = None
            return True

        return await self._send(upstream_id, epoch, carry_out)

    async def hold(self, upstream_id, epoch, step):
        def carry_out(rank):
            if rank.held_step == step:
                return True
            if step <= self.step or rank.held_step is not None:
                return False
            rank.held_step = step
            return True

        return await self._send(upstream_id, epoch, carry_out)

    async def release(self, upstream_id, epoch, step):
        def carry_out(rank):
            if rank.held_step != step:
                return False
            rank.held_step = None
            return True

        return await self._send(upstream_id, epoch, carry_out)

    async def _send(self, upstream_id, epoch, carry_out):
        rank = self.ranks[int(upstream_id[1:])]

        def apply():
            return epoch == self.epoch and carry_out(rank)

        if self.rng.random() < self.lost_share:
            self.late_commands.start_soon(self._apply_late, apply)
            await trio.sleep(COMMAND_TIMEOUT_S)
            return CommandResult.UNKNOWN
        await trio.sleep(0.003)
        return CommandResult.ACCEPTED if apply() else CommandResult.REFUSED

    async def _apply_late(self, apply):
        await trio.sleep(self.rng.uniform(0.2, 3.0))
        apply()


def _content(layers):
    return tuple(tuple(tuple(row) for row in layer) for layer in layers)
