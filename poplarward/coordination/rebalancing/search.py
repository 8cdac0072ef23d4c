"""Greedy search for moves that reduce the load of a layer's busiest rank."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .placement import Layer, Move, replica_counts

__all__ = ["LayerSearch", "MoveStep"]

N_TARGET_RANKS = 2
RECEIVED_WEIGHT = 0.6  # Fraction of the mean work, for each expert a rank receives.
PENALTY_POWER = 8
MIN_PENALTY_DECREASE = 1e-6


class MoveStep(NamedTuple):
    """State of a layer new_work a step of the search.

    Attributes
    ----------
    moves : tuple of Move
        All moves from the layer's initial placement to this one.
    max_work : float
        Work of the busiest rank.
    """

    moves: tuple[Move, ...]
    max_work: float


class _Change(NamedTuple):
    """A candidate: new experts of slots, and the resulting work of affected ranks."""

    slots: tuple[tuple[int, int, int], ...]
    work: dict[int, float]


class LayerSearch:
    """Improves the placement of one layer step by step.

    A step either adds a replica of an expert of the busiest rank, in a slot of an
    expert that has several replicas, or swaps two experts. Candidates are compared by
    the decrease of a penalty that grows steeply with a rank's work, so that progress is
    visible even if several ranks are equally busy.

    Parameters
    ----------
    index : int
        Index of the layer, used in the moves.
    layer : Layer
        Initial placement of its experts.
    loads : sequence of float
        Tokens of each expert per step.
    slowness : sequence of float
        Ratio of each rank's time per token to that of a normal rank.
    max_new_per_rank : int, optional
        Maximum number of experts that a rank may receive; None means no limit.
    n_received : sequence of int, optional
        Number of experts that each rank receives in other layers of the same plan. A
        plan becomes active only when the rank that receives most has its copies, so
        ranks that receive fewer are preferred.

    Attributes
    ----------
    work : list of float
        Time of each rank, in units of a token on a normal rank.
    """

    def __init__(
        self,
        index: int,
        layer: Layer,
        loads: Sequence[float],
        slowness: Sequence[float],
        max_new_per_rank: int | None = None,
        n_received: Sequence[int] | None = None,
    ):
        self._n_received = n_received or [0] * len(layer)
        self._max_new_per_rank = max_new_per_rank
        self._index = index
        self._initial = layer
        self._rows = [list(row) for row in layer]
        self._touched: set[tuple[int, int]] = set()
        self._loads = loads
        self._counts = replica_counts(layer, len(loads))
        self._replica_loads = [
            load / max(n, 1) for load, n in zip(loads, self._counts, strict=True)
        ]
        self._holders: list[set[int]] = [set() for _ in loads]
        for rank, row in enumerate(self._rows):
            for expert in row:
                self._holders[expert].add(rank)
        self._slowness = slowness
        self.work = [
            factor * sum([self._replica_loads[expert] for expert in row])
            for row, factor in zip(self._rows, slowness, strict=True)
        ]
        self.mean_work = sum(loads) / len(layer)
        scale = 1 / (self.mean_work or 1.0)
        self._penalty = [(work * scale) ** PENALTY_POWER for work in self.work]

    def next_step(self) -> MoveStep | None:
        """Apply the best change; returns None if no candidate is an improvement."""
        if self.mean_work <= 0:
            return None
        best = self._best_change(self._target_cost)
        if best is None and any(self._n_received):
            best = self._best_change(self.work.__getitem__)
        if best is None:
            return None
        self._apply(best)
        return MoveStep(self._moves(), max(self.work))

    def _best_change(self, target_cost: Callable[[int], float]) -> _Change | None:
        best, best_rate = None, -MIN_PENALTY_DECREASE
        for change in self._candidates(target_cost):
            if not self._is_within_bound(change):
                continue
            rate = self._penalty_change(change) / len(change.slots)
            if rate < best_rate:
                best, best_rate = change, rate
        return best

    def _moves(self) -> tuple[Move, ...]:
        return tuple(
            Move(self._index, rank, slot, self._rows[rank][slot])
            for rank, slot in sorted(self._touched)
            if self._rows[rank][slot] != self._initial[rank][slot]
        )

    def _is_within_bound(self, change: _Change) -> bool:
        if self._max_new_per_rank is None:
            return True
        for rank in {rank for rank, _, _ in change.slots}:
            row = list(self._rows[rank])
            for changed_rank, slot, expert in change.slots:
                if changed_rank == rank:
                    row[slot] = expert
            if len(set(row) - set(self._initial[rank])) > self._max_new_per_rank:
                return False
        return True

    def _candidates(self, target_cost: Callable[[int], float]) -> list[_Change]:
        busiest = max(range(len(self.work)), key=self.work.__getitem__)
        targets = heapq.nsmallest(
            N_TARGET_RANKS, range(len(self.work)), key=target_cost
        )
        changes = []
        for slot, expert in enumerate(self._rows[busiest]):
            for target in targets:
                if target == busiest or target in self._holders[expert]:
                    continue
                for target_slot, other in enumerate(self._rows[target]):
                    if self._counts[other] > 1:
                        changes.append(self._replicate(expert, target, target_slot))
                    if self._can_swap(expert, busiest, other):
                        changes.append(self._swap(busiest, slot, target, target_slot))
        return changes

    def _target_cost(self, rank: int) -> float:
        received = RECEIVED_WEIGHT * self.mean_work * self._n_received[rank]
        return self.work[rank] + received

    def _can_swap(self, expert: int, busiest: int, other: int) -> bool:
        cheaper = self._replica_loads[other] < self._replica_loads[expert]
        return cheaper and busiest not in self._holders[other]

    def _replicate(self, expert: int, target: int, slot: int) -> _Change:
        other = self._rows[target][slot]
        n_expert, n_other = self._counts[expert], self._counts[other]
        replica_load = self._loads[expert] / (n_expert + 1)
        removed_load = self._replica_loads[expert] - replica_load
        added_load = self._loads[other] / (n_other - 1) - self._replica_loads[other]
        slowness = self._slowness
        work = {
            rank: self.work[rank] - removed_load * slowness[rank]
            for rank in self._holders[expert]
        }
        for rank in self._holders[other]:
            work[rank] = work.get(rank, self.work[rank]) + added_load * slowness[rank]
        change = replica_load - self._replica_loads[other]
        work[target] = self.work[target] + change * slowness[target]
        return _Change(((target, slot, expert),), work)

    def _swap(self, busiest: int, slot: int, target: int, target_slot: int) -> _Change:
        expert = self._rows[busiest][slot]
        other = self._rows[target][target_slot]
        removed_load = self._replica_loads[expert] - self._replica_loads[other]
        work = {
            busiest: self.work[busiest] - removed_load * self._slowness[busiest],
            target: self.work[target] + removed_load * self._slowness[target],
        }
        return _Change(((busiest, slot, other), (target, target_slot, expert)), work)

    def _penalty_change(self, change: _Change) -> float:
        total = 0.0
        scale, current = 1 / self.mean_work, self._penalty
        for rank, new_work in change.work.items():
            total += (new_work * scale) ** PENALTY_POWER - current[rank]
        return total

    def _apply(self, change: _Change) -> None:
        removed = [(rank, self._rows[rank][slot]) for rank, slot, _ in change.slots]
        for rank, expert in removed:
            self._holders[expert].discard(rank)
            self._counts[expert] -= 1
        for rank, slot, expert in change.slots:
            self._touched.add((rank, slot))
            self._rows[rank][slot] = expert
            self._holders[expert].add(rank)
            self._counts[expert] += 1
        touched = {expert for _, expert in removed} | {e for _, _, e in change.slots}
        for expert in touched:
            self._replica_loads[expert] = self._loads[expert] / self._counts[expert]
        for rank, new_work in change.work.items():
            self.work[rank] = new_work
            self._penalty[rank] = (new_work / self.mean_work) ** PENALTY_POWER
