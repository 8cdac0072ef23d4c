"""The ways to rebalance that are compared."""

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

__all__ = ["Never", "Observed", "Ours", "PeriodicGreedy", "Policy", "ThresholdGreedy"]

OURS_PERIOD_STEPS = 100


class Observed(NamedTuple):
    """What a policy knows of the group."""

    loads: LoadEstimator
    speeds: SpeedEstimator


class Policy(Protocol):
    """Decides on moves when it is asked."""

    name: str

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves to make now."""
        ...


class Never:
    """Keeps the first placement."""

    name = "never"

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return no moves."""
        return ()


class PeriodicGreedy:
    """Places all experts anew at fixed intervals, the largest first."""

    name = "periodic_greedy"

    def __init__(self, period_steps: int):
        self._period_steps = period_steps

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the difference to a new placement of every layer."""
        if step % self._period_steps:
            return ()
        moves: list[Move] = []
        for index, layer in enumerate(layers):
            moves += _replace(index, layer, observed.loads.loads(index))
        return moves


class ThresholdGreedy:
    """Places the experts of a layer anew when its estimated skew is too large."""

    name = "threshold_greedy"

    def __init__(self, threshold: float):
        self._threshold = threshold

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the difference to a new placement of the layers concerned."""
        moves: list[Move] = []
        for index, layer in enumerate(layers):
            loads = observed.loads.loads(index)
            work = rank_work(layer, loads)
            if max(work) > self._threshold * sum(work) / len(work):
                moves += _replace(index, layer, loads)
        return moves


class Ours:
    """The planner of the package."""

    name = "ours"

    def __init__(self, weights: PlannerWeights, costs: CostModel):
        self._planner = Planner(weights, costs)

    def plan(
        self, layers: Sequence[Layer], observed: Observed, step: int
    ) -> Sequence[Move]:
        """Return the moves that pay."""
        observed.loads.update_drift(step)
        if step % OURS_PERIOD_STEPS:
            return ()
        plan = self._planner.plan(layers, observed.loads, observed.speeds.slowness())
        return () if plan is None else plan.moves


def _replace(index: int, layer: Layer, loads: list[float]) -> list[Move]:
    """Return the moves to a greedy placement that keeps what it can in place."""
    rows = _greedy(loads, len(layer), len(layer[0]))
    moves = []
    for rank, (old, new) in enumerate(zip(layer, rows, strict=True)):
        added = [expert for expert in new if expert not in old]
        freed = [slot for slot, expert in enumerate(old) if expert not in new]
        moves += [
            Move(index, rank, slot, expert)
            for slot, expert in zip(freed, added, strict=True)
        ]
    return moves


def _greedy(loads: list[float], n_ranks: int, n_slots: int) -> list[list[int]]:
    """Deal out replicas by load, then put the largest on the least busy rank."""
    heap = [(-load, 1, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    everywhere = []
    for _ in range(n_ranks * n_slots - len(loads)):
        unit, n_replicas, expert = heap[0]
        load = -unit * n_replicas
        n_replicas += 1
        item = (-load / n_replicas, n_replicas, expert)
        if n_replicas == n_ranks:
            heapq.heappop(heap)
            everywhere.append(item)
        else:
            heapq.heapreplace(heap, item)
    rows: list[list[int]] = [[] for _ in range(n_ranks)]
    ranks = [(0.0, rank) for rank in range(n_ranks)]
    heapq.heapify(ranks)
    for unit, n_replicas, expert in sorted(heap + everywhere):
        for _ in range(n_replicas):
            _put(rows, ranks, expert, -unit, n_slots)
    return rows


def _put(
    rows: list[list[int]],
    ranks: list[tuple[float, int]],
    expert: int,
    unit: float,
    n_slots: int,
) -> None:
    """Put a replica on the least busy rank with room that lacks the expert."""
    passed = []
    while ranks:
        work, rank = heapq.heappop(ranks)
        if expert not in rows[rank]:
            rows[rank].append(expert)
            if len(rows[rank]) < n_slots:
                passed.append((work + unit, rank))
            break
        passed.append((work, rank))
    else:
        _put_by_exchange(rows, expert, n_slots)
    for item in passed:
        heapq.heappush(ranks, item)


def _put_by_exchange(rows: list[list[int]], expert: int, n_slots: int) -> None:
    """Make room when every rank with room holds the expert already."""
    short = next(row for row in rows if len(row) < n_slots)
    for row in rows:
        if expert not in row:
            for slot, other in enumerate(row):
                if other not in short:
                    row[slot] = expert
                    short.append(other)
                    return
    raise ValueError("no placement found")
