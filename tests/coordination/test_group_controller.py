from __future__ import annotations

import trio
from prometheus_client import CollectorRegistry

from poplarward.coordination.group_controller import GroupController
from poplarward.coordination.rebalancing import CostModel, PlannerWeights
from poplarward.telemetry import GroupMetrics
from tests.coordination.expert_maps.harness import Group

COSTS = CostModel(1_000_000, 1e9, 1e8, step_ms=20.0, slowed_share=0.2)


async def start_controller(nursery, frozen=False, metrics=None):
    group = Group(nursery)
    group.ranks.loads = [300.0, 50.0, 40.0, 60.0]
    await group.start()
    await trio.sleep(1)
    leader = await group.start_coordinator()
    controller = GroupController(
        leader.coordinator, PlannerWeights(3, 1), COSTS, lambda: frozen, metrics
    )
    await controller.start(nursery)
    return group, controller


async def test_controller_reduces_skew_and_then_is_stable(nursery, autojump_clock):
    group, controller = await start_controller(nursery)
    await trio.sleep(5)
    before = controller.state().skew
    await trio.sleep(60)
    state = controller.state()
    assert state.is_leading and state.map_version > 1 and state.reason == ""
    assert state.skew < before
    await trio.sleep(120)
    later = controller.state()
    # The packed counts of the earlier and the later map differ slightly.
    assert abs(later.skew - state.skew) < 1e-5
    assert later == state._replace(skew=later.skew)
    assert group.ranks.mixed_steps() == []
    nursery.cancel_scope.cancel()


async def test_step_time_and_skew_are_recorded(nursery, autojump_clock):
    registry = CollectorRegistry()
    group, _ = await start_controller(nursery, metrics=GroupMetrics(registry))
    await trio.sleep(60)
    labels = {"group": "drafts"}
    n_seen = registry.get_sample_value("poplarward_step_seconds_count", labels)
    total_s = registry.get_sample_value("poplarward_step_seconds_sum", labels)
    assert n_seen >= 10
    assert 0 < total_s / n_seen < 1
    skew = registry.get_sample_value("poplarward_step_skew_ratio_sum", labels)
    assert skew / n_seen >= 1
    nursery.cancel_scope.cancel()


async def test_frozen_group_is_rebalanced_only_on_request(nursery, autojump_clock):
    group, controller = await start_controller(nursery, frozen=True)
    await trio.sleep(60)
    assert controller.state().map_version == 1
    assert controller.state().skew > 1.1
    group.ranks.engines[1].fails_weights = True
    result = await controller.rebalance()
    assert result.outcome == "aborted"
    assert "WeightsUnavailable" in controller.state().reason
    assert controller.state().map_version == 1
    group.ranks.engines[1].fails_weights = False
    assert (await controller.rebalance()).outcome == "committed"
    await trio.sleep(10)
    assert controller.state().map_version == 2
    assert controller.state().n_experts_moved > 0
    nursery.cancel_scope.cancel()
