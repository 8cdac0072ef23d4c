"""Sources of the weights of moved experts, and the amount of data to transfer.

A peer rank that holds the expert is preferred; the rate-limited weight store serves
only experts that no reachable rank holds.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from .placement import Layer, Move

__all__ = ["Transfer", "TransferSummary", "plan_transfers"]


class Transfer(NamedTuple):
    """A move with the rank that provides the weights; None means the weight store."""

    move: Move
    source_rank: int | None


class TransferSummary(NamedTuple):
    """The transfers of a plan and their sizes.

    Attributes
    ----------
    transfers : tuple of Transfer
        In the order of the moves.
    busiest_link_bytes : int
        Maximum number of bytes that one rank sends or receives.
    store_bytes : int
        Bytes that the weight store serves.
    """

    transfers: tuple[Transfer, ...]
    busiest_link_bytes: int
    store_bytes: int


def plan_transfers(
    layers: Sequence[Layer],
    moves: Sequence[Move],
    expert_bytes: int,
    unreachable_ranks: Collection[int] = (),
) -> TransferSummary:
    """Choose a source for each move, balanced over the ranks that hold the expert.

    Examples
    --------
    >>> layers = (((0,), (1,), (0,)),)
    >>> plan_transfers(layers, [Move(0, 0, 0, 1)], expert_bytes=8).transfers
    (Transfer(move=Move(layer=0, rank=0, slot=0, expert=1), source_rank=1),)
    """
    sent: dict[int, int] = {}
    received: dict[int, int] = {}
    sources: dict[Move, int | None] = {}
    candidates = _candidates(layers, moves, unreachable_ranks)
    # Moves with the fewest candidates go first, as they can't avoid a busy source.
    for move in sorted(moves, key=lambda move: len(candidates[move])):
        received[move.rank] = received.get(move.rank, 0) + 1
        source = min(
            candidates[move], key=lambda rank: (sent.get(rank, 0), rank), default=None
        )
        sources[move] = source
        if source is not None:
            sent[source] = sent.get(source, 0) + 1
    busiest = max([*sent.values(), *received.values()], default=0)
    n_from_store = sum(source is None for source in sources.values())
    return TransferSummary(
        tuple(Transfer(move, sources[move]) for move in moves),
        busiest * expert_bytes,
        n_from_store * expert_bytes,
    )


def _candidates(
    layers: Sequence[Layer], moves: Sequence[Move], unreachable: Collection[int]
) -> dict[Move, list[int]]:
    holders = _holders(layers, {(move.layer, move.expert) for move in moves})
    return {
        move: [
            rank
            for rank in holders.get((move.layer, move.expert), [])
            if rank not in unreachable and rank != move.rank
        ]
        for move in moves
    }


def _holders(
    layers: Sequence[Layer], wanted: Collection[tuple[int, int]]
) -> dict[tuple[int, int], list[int]]:
    found: dict[tuple[int, int], list[int]] = {}
    for index in {layer for layer, _ in wanted}:
        for rank, row in enumerate(layers[index]):
            for expert in row:
                if (index, expert) in wanted:
                    found.setdefault((index, expert), []).append(rank)
    return found
