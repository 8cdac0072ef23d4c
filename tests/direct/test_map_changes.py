from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from poplarward.direct.map_changes import MapChangeCoordinator, group_view
from poplarward.direct.rank_group import ArmedMap, CommandResult
from tests.direct.simulated_group import SimulatedGroup

NEW_LAYERS = [((1,), (0,), (3,), (2,))]


@pytest.fixture
def autojump_clock():
    return MockClock(autojump_threshold=0)


def coordinator_of(group, seed=1):
    async def read_group():
        return group_view([await group.report(f"u{n}") for n in range(4)])

    return MapChangeCoordinator(group, read_group, random.Random(seed)), read_group


async def change_map(group, seed=1):
    coordinator, read_group = coordinator_of(group, seed)
    view = await read_group()
    if not view.is_quiescent:
        await coordinator.resolve(group.layers)
        return None
    return await coordinator.switch_map(
        view, NEW_LAYERS, group.layers, 0.1, group.pass_s
    )


async def test_all_ranks_switch_in_one_pass(autojump_clock, nursery):
    group = SimulatedGroup()
    await nursery.start(group.run)
    await trio.sleep(1)
    version = await change_map(group)
    await trio.sleep(2)
    assert version is not None
    assert {rank.version for rank in group.ranks} == {version}
    assert group.mixed_passes == []
    assert group.n_stalled == 0
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(40))
async def test_lost_and_late_commands_never_mix_maps(autojump_clock, nursery, seed):
    group = SimulatedGroup(lost_share=0.5, seed=seed)
    await nursery.start(group.run)
    await trio.sleep(1)
    for number in range(6):
        await change_map(group, seed=100 * seed + number)
        await trio.sleep(0.5)
    coordinator, _ = coordinator_of(group)
    await coordinator.resolve(group.layers)
    step = group.step
    await trio.sleep(10)
    assert group.mixed_passes == []
    assert group.step > step, "a hold was never released"
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("killed_after_s", [0.01 * n for n in range(4, 100, 3)])
async def test_change_of_a_killed_coordinator_is_resolved(
    autojump_clock, nursery, killed_after_s
):
    group = SimulatedGroup(lost_share=0.2, seed=int(killed_after_s * 1000))
    await nursery.start(group.run)
    await trio.sleep(1)
    with trio.move_on_after(killed_after_s):
        await change_map(group, seed=1)
    await trio.sleep(1.5)
    coordinator, read_group = coordinator_of(group, seed=2)
    for _ in range(4):
        await coordinator.resolve(group.layers)
        await trio.sleep(1)
    step = group.step
    await trio.sleep(5)
    assert group.mixed_passes == []
    assert group.step > step, "a hold was never released"
    assert (await read_group()).is_quiescent
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(12))
async def test_two_coordinators_at_once_never_mix_maps(autojump_clock, nursery, seed):
    group = SimulatedGroup(seed=seed)
    await nursery.start(group.run)
    await trio.sleep(1)
    rng = random.Random(seed)

    async def coordinate(number):
        for turn in range(4):
            await trio.sleep(rng.uniform(0, 0.6))
            await change_map(group, seed=1000 * seed + 10 * number + turn)

    async with trio.open_nursery() as coordinators:
        coordinators.start_soon(coordinate, 1)
        coordinators.start_soon(coordinate, 2)
    assert group.mixed_passes == []
    nursery.cancel_scope.cancel()


async def test_re_forming_of_the_group_ends_the_change(autojump_clock, nursery):
    group = SimulatedGroup()
    await nursery.start(group.run)
    await trio.sleep(1)
    async with trio.open_nursery() as inner:
        inner.start_soon(change_map, group)
        await trio.sleep(0.2)
        group.reform()
    await trio.sleep(2)
    assert group.mixed_passes == []
    assert {rank.version for rank in group.ranks} == {0}
    nursery.cancel_scope.cancel()


class GroupWithRefusingRank(SimulatedGroup):
    """Rank 2 refuses every arm command."""

    async def arm(self, upstream_id, epoch, version, step):
        if upstream_id == "u2":
            return CommandResult.REFUSED
        return await super().arm(upstream_id, epoch, version, step)


async def test_change_is_rolled_back_if_a_rank_refuses_to_arm(autojump_clock, nursery):
    group = GroupWithRefusingRank()
    await nursery.start(group.run)
    await trio.sleep(1)
    assert await change_map(group) is None
    step = group.step
    await trio.sleep(2)
    assert all(rank.armed is None for rank in group.ranks)
    assert group.step > step
    assert group.mixed_passes == []
    nursery.cancel_scope.cancel()


class GroupWithLateArms(SimulatedGroup):
    """The pass has begun by the time the first arm commands arrive."""

    n_arms = 0

    async def arm(self, upstream_id, epoch, version, step):
        self.n_arms += 1
        for rank in self.ranks:
            rank.held_step = None
        while self.step < step:
            await trio.sleep(0.01)
        return await super().arm(upstream_id, epoch, version, step)


async def test_arm_commands_are_not_repeated_once_the_pass_has_begun(
    autojump_clock, nursery
):
    group = GroupWithLateArms()
    await nursery.start(group.run)
    await trio.sleep(1)
    assert await change_map(group) is None
    assert group.n_arms <= 3 * len(group.ranks)
    assert group.mixed_passes == []
    nursery.cancel_scope.cancel()


def test_group_view_needs_every_rank():
    group = SimulatedGroup()
    reports = [group._report(rank) for rank in group.ranks]
    assert group_view(reports).map_version == 0
    assert group_view(reports[:3]) is None
    assert group_view([reports[0]._replace(epoch=2), *reports[1:]]) is None
    assert group_view([reports[0]._replace(is_open=False), *reports[1:]]) is None
    armed = [report._replace(armed=ArmedMap(9, 4)) for report in reports]
    assert group_view(armed).highest_version == 9
