"""Quantises token counts to one byte each, with a bounded relative error.

Small counts are exact; above these, neighbouring levels differ by `LEVEL_RATIO`. The
counts of a step vary by more than that from step to step, and a host sends several
hundred of them.
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
_LEVEL_BOUNDARIES = [(a + b) / 2 for a, b in zip(_LEVELS, _LEVELS[1:], strict=False)]


def pack_counts(counts: Iterable[Sequence[Sequence[int]]]) -> bytes:
    """Pack counts, indexed by rank, layer and slot, into bytes.

    Examples
    --------
    >>> pack_counts([[[0, 7], [20, 1000]]])
    b'\\x00\\x07\\x14f'
    """
    return bytes(
        bisect(_LEVEL_BOUNDARIES, n)
        for layers in counts
        for slots in layers
        for n in slots
    )


def unpack_counts(packed: bytes, n_ranks: int, n_slots: int) -> list[list[list[int]]]:
    """Unpack counts indexed by rank, layer and slot; raises `DecodeError`.

    Examples
    --------
    >>> unpack_counts(pack_counts([[[0, 7], [20, 1000]]]), n_ranks=1, n_slots=2)
    [[[0, 7], [20, 1021]]]
    """
    n_per_rank, remainder = divmod(len(packed), max(1, n_ranks))
    if remainder or n_slots < 1 or n_per_rank % n_slots:
        raise DecodeError(f"{len(packed)} counts of {n_ranks} ranks")
    counts = [_LEVELS[byte] for byte in packed]
    return [
        [
            counts[start : start + n_slots]
            for start in range(first, first + n_per_rank, n_slots)
        ]
        for first in range(0, len(counts), max(1, n_per_rank))
    ]
