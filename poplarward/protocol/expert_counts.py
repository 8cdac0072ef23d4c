"""Packs counts of tokens into one byte each, with a bounded relative error.

Small counts are exact; above, neighbouring levels differ by `LEVEL_RATIO`. Counts of
a step are noisy by more than that, and a host has some hundreds of them.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Sequence

from ..errors import DecodeError

__all__ = ["pack_counts", "unpack_counts"]

LEVEL_RATIO = 1.05
N_LEVELS = 256


def _levels() -> list[int]:
    levels = [0]
    while len(levels) < N_LEVELS:
        levels.append(max(levels[-1] + 1, round(levels[-1] * LEVEL_RATIO)))
    return levels


_LEVELS = _levels()
_BOUNDS = [(a + b) / 2 for a, b in zip(_LEVELS, _LEVELS[1:], strict=False)]


def pack_counts(counts: Iterable[Sequence[Sequence[int]]]) -> bytes:
    """Return the counts of some ranks, by rank, layer and slot, as bytes.

    Examples
    --------
    >>> pack_counts([[[0, 7], [20, 1000]]])
    b'\\x00\\x07\\x14f'
    """
    return bytes(
        bisect(_BOUNDS, n) for layers in counts for slots in layers for n in slots
    )


def unpack_counts(packed: bytes, n_ranks: int, n_slots: int) -> list[list[list[int]]]:
    """Return counts by rank, layer and slot; raises `DecodeError`.

    Examples
    --------
    >>> unpack_counts(pack_counts([[[0, 7], [20, 1000]]]), n_ranks=1, n_slots=2)
    [[[0, 7], [20, 1021]]]
    """
    n_a_rank, rest = divmod(len(packed), max(1, n_ranks))
    if rest or n_slots < 1 or n_a_rank % n_slots:
        raise DecodeError(f"{len(packed)} counts of {n_ranks} ranks")
    counts = [_LEVELS[byte] for byte in packed]
    return [
        [counts[at : at + n_slots] for at in range(first, first + n_a_rank, n_slots)]
        for first in range(0, len(counts), max(1, n_a_rank))
    ]
