"""Placement of a layer's experts on ranks, and the resulting work of each rank.

Every rank has the same number of slots in each layer, and a slot holds one expert.
The tokens of an expert are divided evenly among its replicas. A layer is finished when
its slowest rank is, so each layer is evaluated separately.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = [
    "Layer",
    "Move",
    "apply_moves",
    "initial_layers",
    "rank_work",
    "replica_counts",
    "work_lower_bound",
]

Layer = tuple[tuple[int, ...], ...]
"""Experts of a layer by rank and slot."""


class Move(NamedTuple):
    """One slot that is to hold another expert."""

    layer: int
    rank: int
    slot: int
    expert: int


def initial_layers(
    n_ranks: int, n_experts: int, n_layers: int, n_slots: int
) -> tuple[Layer, ...]:
    """Return a placement that gives every expert about the same number of replicas.

    Examples
    --------
    >>> initial_layers(n_ranks=2, n_experts=3, n_layers=1, n_slots=2)
    (((0, 2), (1, 0)),)
    """
    if n_ranks * n_slots < n_experts:
        raise ValueError(f"{n_ranks * n_slots} slots for {n_experts} experts")
    layer = tuple(
        tuple((slot * n_ranks + rank) % n_experts for slot in range(n_slots))
        for rank in range(n_ranks)
    )
    if any(len(set(row)) < n_slots for row in layer):
        # The stride between slots divides the experts evenly, so rows would repeat
        # experts; place consecutive experts instead.
        layer = tuple(
            tuple((rank * n_slots + slot) % n_experts for slot in range(n_slots))
            for rank in range(n_ranks)
        )
    return (layer,) * n_layers


def replica_counts(layer: Layer, n_experts: int) -> list[int]:
    """Return the number of replicas of each expert."""
    counts = [0] * n_experts
    for row in layer:
        for expert in row:
            counts[expert] += 1
    return counts


def rank_work(layer: Layer, loads: Sequence[float]) -> list[float]:
    """Return the number of tokens that each rank processes per step in a layer.

    Examples
    --------
    >>> rank_work(((0, 1), (0, 2)), [10.0, 1.0, 2.0])
    [6.0, 7.0]
    """
    counts = replica_counts(layer, len(loads))
    unit = [load / max(n, 1) for load, n in zip(loads, counts, strict=True)]
    share = unit.__getitem__
    return [sum(map(share, row)) for row in layer]


def work_lower_bound(loads: Sequence[float], n_ranks: int, n_slots: int) -> float:
    """Return a lower bound of the slowest rank's work over all placements.

    The slowest rank's work is at least the mean, and at least the largest load of a
    single replica when replicas are distributed as evenly as the slots allow.

    Examples
    --------
    >>> work_lower_bound([8.0, 1.0, 1.0], n_ranks=2, n_slots=2)
    5.0
    """
    heap = [(-load, 1, load) for load in loads]
    heapq.heapify(heap)
    for _ in range(n_ranks * n_slots - len(loads)):
        _, n_replicas, load = heap[0]
        if n_replicas == n_ranks:
            break
        heapq.heapreplace(heap, (-load / (n_replicas + 1), n_replicas + 1, load))
    return max(sum(loads) / n_ranks, -heap[0][0])


def apply_moves(layers: Sequence[Layer], moves: Iterable[Move]) -> tuple[Layer, ...]:
    """Return the placement that results from moves."""
    changed: dict[int, list[list[int]]] = {}
    for move in moves:
        rows = changed.get(move.layer)
        if rows is None:
            rows = changed[move.layer] = [list(row) for row in layers[move.layer]]
        rows[move.rank][move.slot] = move.expert
    result = list(layers)
    for index, rows in changed.items():
        result[index] = tuple(tuple(row) for row in rows)
    return tuple(result)
