from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.expert_workload import WorkloadOptions
from benchmarks.rebalance import COSTS, run
from benchmarks.rebalance_policies import Never, PeriodicGreedy, ThresholdGreedy
from poplarward.coordination.rebalancing import (
    CostModel,
    LayerSearch,
    LoadEstimator,
    Move,
    Planner,
    PlannerWeights,
    apply_moves,
    initial_layers,
    plan_transfers,
    rank_work,
    work_lower_bound,
)

WEIGHTS = PlannerWeights(skew_weight=3, rebalance_cost_weight=1)
N_RANKS, N_EXPERTS, N_LAYERS, N_SLOTS = 8, 16, 3, 3
LAYERS = initial_layers(N_RANKS, N_EXPERTS, N_LAYERS, N_SLOTS)
EQUAL_SPEED = [1.0] * N_RANKS

loads_lists = st.lists(st.floats(0.1, 1000), min_size=N_EXPERTS, max_size=N_EXPERTS)


def estimator_of(loads, n_layers=N_LAYERS):
    estimator = LoadEstimator(n_layers, len(loads))
    for layer in range(n_layers):
        estimator.observe(layer, loads, at_step=0)
    return estimator


@given(st.permutations(range(6)), st.integers(0, 2**30))
def test_order_of_arrival_does_not_change_the_estimate(order, seed):
    rng = random.Random(seed)
    counts = [
        (step, [rng.choice([None, rng.uniform(1, 99)]) for _ in range(4)])
        for step in range(0, 600, 100)
    ]
    in_order, shuffled = LoadEstimator(1, 4), LoadEstimator(1, 4)
    for step, tokens in counts:
        in_order.observe(0, tokens, step)
    for index in order:
        shuffled.observe(0, counts[index][1], counts[index][0])
    assert shuffled.loads(0) == pytest.approx(in_order.loads(0))


@given(loads_lists, st.lists(st.floats(1, 2), min_size=N_RANKS, max_size=N_RANKS))
def test_search_tracks_work_correctly(loads, slowness):
    layer = LAYERS[0]
    search = LayerSearch(0, layer, loads, slowness)
    for _ in range(12):
        step = search.next_step()
        if step is None:
            break
        (after,) = apply_moves([layer], step.moves)
        expected = [
            w * s for w, s in zip(rank_work(after, loads), slowness, strict=True)
        ]
        assert search.work == pytest.approx(expected)
        assert step.max_work == pytest.approx(max(expected))
        assert {e for row in after for e in row} == set(range(N_EXPERTS))
        assert all(len(set(row)) == N_SLOTS for row in after)


def test_work_of_every_placement_is_above_the_lower_bound():
    rng = random.Random(1)
    for _ in range(20):
        loads = [rng.expovariate(1) for _ in range(3)]
        bound = work_lower_bound(loads, n_ranks=3, n_slots=2)
        pairs = list(itertools.combinations(range(3), 2))
        works = [
            max(rank_work(layer, loads))
            for layer in itertools.product(pairs, repeat=3)
            if {e for row in layer for e in row} == {0, 1, 2}
        ]
        assert min(works) >= bound - 1e-9


def test_plan_is_made_only_if_worthwhile():
    uneven = [50.0] + [5.0] * (N_EXPERTS - 1)
    planner = Planner(WEIGHTS, COSTS)
    plan = planner.plan(LAYERS, estimator_of(uneven), EQUAL_SPEED)
    assert plan is not None and plan.moves
    after = apply_moves(LAYERS, plan.moves)
    for index, layer in enumerate(after):
        assert max(rank_work(layer, uneven)) < max(rank_work(LAYERS[index], uneven))
    high_cost = PlannerWeights(skew_weight=3, rebalance_cost_weight=1e6)
    assert (
        Planner(high_cost, COSTS).plan(LAYERS, estimator_of(uneven), EQUAL_SPEED)
        is None
    )
    balanced = initial_layers(N_RANKS, N_EXPERTS, N_LAYERS, n_slots=2)
    even = [5.0] * N_EXPERTS
    assert planner.plan(balanced, estimator_of(even), EQUAL_SPEED) is None


def test_rank_slow_regardless_of_load_causes_no_endless_moves():
    loads = [5.0 + expert % 3 for expert in range(N_EXPERTS)]
    slowness = [1.0] * N_RANKS
    slowness[2] = 1.4
    planner, layers = Planner(WEIGHTS, COSTS), LAYERS
    n_plans = 0
    before = max(rank_work(LAYERS[0], loads)[2] * 1.4, *rank_work(LAYERS[0], loads))
    for _ in range(40):
        plan = planner.plan(layers, estimator_of(loads), slowness)
        if plan is not None:
            n_plans += 1
            layers = apply_moves(layers, plan.moves)
    work = rank_work(layers[0], loads)
    work[2] *= 1.4
    assert max(work) < before
    assert n_plans <= 4


def test_peers_are_preferred_to_the_weight_store():
    layers = (((0, 1), (2, 3), (0, 2)),)
    moves = [Move(0, 1, 0, 0), Move(0, 2, 0, 1)]
    reachable = plan_transfers(layers, moves, expert_bytes=10)
    assert [t.source_rank for t in reachable.transfers] == [2, 0]
    unreachable = plan_transfers(layers, moves, expert_bytes=10, unreachable_ranks={0})
    assert [t.source_rank for t in unreachable.transfers] == [2, None]
    assert unreachable.store_bytes == 10
    costs = CostModel(10, 1000.0, 5.0, step_ms=100.0, slowed_share=0.1)
    assert costs.transfer_steps(reachable) == 1
    assert costs.transfer_steps(unreachable) == 20


@pytest.mark.parametrize("weights", [(3, 1), (1, 3)])
def test_planner_beats_the_baselines_on_the_weighted_sum(weights):
    options = WorkloadOptions(
        n_ranks=16, n_experts=64, n_layers=2, drift=0.15, n_steps=8000, seed=100
    )
    baselines = [Never(), PeriodicGreedy(500), ThresholdGreedy(1.15)]
    document = run(options, 5, PlannerWeights(*weights), baselines)
    sums = {name: f["weighted_sum"] for name, f in document["policies"].items()}
    assert min(sums, key=sums.__getitem__) == "ours"
    assert sums["ours"] >= document["best_possible"]["weighted_sum"]
