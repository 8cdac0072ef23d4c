"""Rebalancing policies that the benchmark compares."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from poplarward.coordination.rebalancing import (
    CostModel,
    Layer,
    LoadEstimator,
    Move,
    Planner,
    PlannerWeights,
    SpeedEstimator,
    rank_work,
)

__all__ = [
    "Never",
    "Observed",
    "PackagePlanner",
    "PeriodicGreedy",
    "Policy",
    "ThresholdGreedy",
]

PACKAGE_PLANNER_PERIOD_STEPS = 100


class Observed(NamedTuple):
    """Estimates of load and speed that a policy plans with."""

    loads: LoadEstimator
    speeds: SpeedEstimator


class Policy(Protocol):
    """Plans the moves of experts between ranks."""

    name: str

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves to make at this step."""
        ...


class Never:
    """Keeps the initial placement."""

    name = "never"

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return no moves."""
        return ()


class PeriodicGreedy:
    """Computes a new greedy placement of all experts at fixed intervals."""

    name = "periodic_greedy"

    def __init__(self, period_steps: int):
        self._period_steps = period_steps

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves to a new placement of every layer, if one is due."""
        if step % self._period_steps:
            return ()
        moves: list[Move] = []
        for index, layer in enumerate(layers):
            moves += _moves_to_greedy(index, layer, observed.loads.loads(index))
        return moves


class ThresholdGreedy:
    """Computes a new placement of a layer when its estimated skew is too large."""

    name = "threshold_greedy"

    def __init__(self, threshold: float):
        self._threshold = threshold

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves to a new placement of the layers above the threshold."""
        moves: list[Move] = []
        for index, layer in enumerate(layers):
            loads = observed.loads.loads(index)
            work = rank_work(layer, loads)
            if max(work) > self._threshold * sum(work) / len(work):
                moves += _moves_to_greedy(index, layer, loads)
        return moves


class PackagePlanner:
    """Plans with `poplarward.coordination.rebalancing.Planner`."""

    name = "ours"

    def __init__(self, weights: PlannerWeights, costs: CostModel):
        self._planner = Planner(weights, costs)

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves whose benefit exceeds their cost."""
        observed.loads.update_drift(step)
        if step % PACKAGE_PLANNER_PERIOD_STEPS:
            return ()
        plan = self._planner.plan(layers, observed.loads, observed.speeds.slowness())
        return () if plan is None else plan.moves


def _moves_to_greedy(index: int, layer: Layer, loads: list[float]) -> list[Move]:
    """Return the moves to a greedy placement; experts that stay keep their slot."""
    rows = _greedy_placement(loads, len(layer), len(layer[0]))
    moves = []
    for rank, (old, new) in enumerate(zip(layer, rows, strict=True)):
        added = [expert for expert in new if expert not in old]
        freed = [slot for slot, expert in enumerate(old) if expert not in new]
        moves += [
            Move(index, rank, slot, expert)
            for slot, expert in zip(freed, added, strict=True)
        ]
    return moves


def _greedy_placement(
    loads: list[float], n_ranks: int, n_slots: int
) -> list[list[int]]:
    """Assign replicas by load; place the largest first, on the least loaded rank."""
    heap = [(-load, 1, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    on_all_ranks = []
    for _ in range(n_ranks * n_slots - len(loads)):
        replica_load, n_replicas, expert = heap[0]
        load = -replica_load * n_replicas
        n_replicas += 1
        item = (-load / n_replicas, n_replicas, expert)
        if n_replicas == n_ranks:
            heapq.heappop(heap)
            on_all_ranks.append(item)
        else:
            heapq.heapreplace(heap, item)
    rows: list[list[int]] = [[] for _ in range(n_ranks)]
    ranks = [(0.0, rank) for rank in range(n_ranks)]
    heapq.heapify(ranks)
    for replica_load, n_replicas, expert in sorted(heap + on_all_ranks):
        for _ in range(n_replicas):
            _place_replica(rows, ranks, expert, -replica_load, n_slots)
    return rows


def _place_replica(
    rows: list[list[int]],
    ranks: list[tuple[float, int]],
    expert: int,
    replica_load: float,
    n_slots: int,
) -> None:
    """Place a replica on the least loaded rank with a free slot, without the expert."""
    popped = []
    while ranks:
        work, rank = heapq.heappop(ranks)
        if expert not in rows[rank]:
            rows[rank].append(expert)
            if len(rows[rank]) < n_slots:
                popped.append((work + replica_load, rank))
            break
        popped.append((work, rank))
    else:
        _place_by_exchange(rows, expert, n_slots)
    for item in popped:
        heapq.heappush(ranks, item)


def _place_by_exchange(rows: list[list[int]], expert: int, n_slots: int) -> None:
    """Swap experts when every rank with a free slot already has the expert."""
    incomplete = next(row for row in rows if len(row) < n_slots)
    for row in rows:
        if expert not in row:
            for slot, other in enumerate(row):
                if other not in incomplete:
                    row[slot] = expert
                    incomplete.append(other)
                    return
    raise ValueError("no rank has an expert to exchange for a replica of the expert")
