"""Finds, move by move, the changes that relieve a layer's busiest rank."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .placement import Layer, Move, replica_counts

__all__ = ["LayerSearch", "MoveStep"]

N_TARGET_RANKS = 2
RECEIVED_WEIGHT = 0.6  # Of the mean work, for each expert that a rank has to copy.
PENALTY_POWER = 8
MIN_PENALTY_DECREASE = 1e-6


class MoveStep(NamedTuple):
    """A layer after one more change.

    Attributes
    ----------
    moves : tuple of Move
        All moves from the layer's first placement to this one.
    max_work : float
        The busiest rank's work.
    """

    moves: tuple[Move, ...]
    max_work: float


class _Change(NamedTuple):
    """A candidate: the new expert of some slots, and each touched rank's work."""

    slots: tuple[tuple[int, int, int], ...]
    work: dict[int, float]


class LayerSearch:
    """Improves one layer step by step.

    A step either gives an expert of the busiest rank one replica more, in a slot of
    an expert that can spare one, or exchanges two experts. Candidates are compared
    by the decrease of a penalty that grows steeply with a rank's work, so that
    progress shows also where several ranks are equally busy.

    Parameters
    ----------
    index : int
        Number of the layer, for the moves.
    layer : Layer
        Where its experts are.
    loads : sequence of float
        Tokens of each expert in a step.
    slowness : sequence of float
        Each rank's time for a token over that of an ordinary rank.
    max_new_per_rank : int, optional
        Experts that a rank may get; None without a bound.
    n_received : sequence of int, optional
        Experts that each rank gets in other layers of the same plan. A plan is in
        force once the rank with most of them has its copies, so ranks with fewer are
        preferred.

    Attributes
    ----------
    work : list of float
        Time of each rank, in tokens of an ordinary rank.
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
        self._first = layer
        self._rows = [list(row) for row in layer]
        self._touched: set[tuple[int, int]] = set()
        self._loads = loads
        self._counts = replica_counts(layer, len(loads))
        self._units = [
            load / max(n, 1) for load, n in zip(loads, self._counts, strict=True)
        ]
        self._holders: list[set[int]] = [set() for _ in loads]
        for rank, row in enumerate(self._rows):
            for expert in row:
                self._holders[expert].add(rank)
        self._slowness = slowness
        self.work = [
            factor * sum([self._units[expert] for expert in row])
            for row, factor in zip(self._rows, slowness, strict=True)
        ]
        self.mean_work = sum(loads) / len(layer)
        scale = 1 / (self.mean_work or 1.0)
        self._penalty = [(work * scale) ** PENALTY_POWER for work in self.work]

    def next_step(self) -> MoveStep | None:
        """Make the best change; returns None if no candidate is an improvement."""
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
            if self._rows[rank][slot] != self._first[rank][slot]
        )

    def _is_within_bound(self, change: _Change) -> bool:
        if self._max_new_per_rank is None:
            return True
        for rank in {rank for rank, _, _ in change.slots}:
            row = list(self._rows[rank])
            for changed_rank, slot, expert in change.slots:
                if changed_rank == rank:
                    row[slot] = expert
            if len(set(row) - set(self._first[rank])) > self._max_new_per_rank:
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
        cheaper = self._units[other] < self._units[expert]
        return cheaper and busiest not in self._holders[other]

    def _replicate(self, expert: int, target: int, slot: int) -> _Change:
        other = self._rows[target][slot]
        n_expert, n_other = self._counts[expert], self._counts[other]
        unit = self._loads[expert] / (n_expert + 1)
        relief = self._units[expert] - unit
        burden = self._loads[other] / (n_other - 1) - self._units[other]
        slowness = self._slowness
        work = {
            rank: self.work[rank] - relief * slowness[rank]
            for rank in self._holders[expert]
        }
        for rank in self._holders[other]:
            work[rank] = work.get(rank, self.work[rank]) + burden * slowness[rank]
        change = unit - self._units[other]
        work[target] = self.work[target] + change * slowness[target]
        return _Change(((target, slot, expert),), work)

    def _swap(self, busiest: int, slot: int, target: int, target_slot: int) -> _Change:
        expert = self._rows[busiest][slot]
        other = self._rows[target][target_slot]
        relief = self._units[expert] - self._units[other]
        work = {
            busiest: self.work[busiest] - relief * self._slowness[busiest],
            target: self.work[target] + relief * self._slowness[target],
        }
        return _Change(((busiest, slot, other), (target, target_slot, expert)), work)

    def _penalty_change(self, change: _Change) -> float:
        total = 0.0
        scale, held = 1 / self.mean_work, self._penalty
        for rank, after in change.work.items():
            total += (after * scale) ** PENALTY_POWER - held[rank]
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
            self._units[expert] = self._loads[expert] / self._counts[expert]
        for rank, after in change.work.items():
            self.work[rank] = after
            self._penalty[rank] = (after / self.mean_work) ** PENALTY_POWER
