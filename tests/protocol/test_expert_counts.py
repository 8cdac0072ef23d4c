"""Packed counts are accurate, and older releases receive unpacked counts."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarward.errors import DecodeError
from poplarward.protocol.codec import decode, encode, from_array, to_array
from poplarward.protocol.expert_counts import pack_counts, unpack_counts
from poplarward.protocol.expert_maps import (
    ExpertCounts,
    GetExpertCounts,
    MapId,
    RankCounts,
)

MAP_ID = MapId(1, 1, 1)


@given(st.integers(0, 1_000_000))
def test_error_is_bounded(n):
    [[[found]]] = unpack_counts(pack_counts([[[n]]]), 1, 1)
    assert abs(found - n) <= max(1, 0.026 * n) and (n > 20 or found == n)


@given(st.integers(1, 4), st.integers(1, 5), st.integers(1, 3))
def test_counts_keep_their_positions(n_ranks, n_layers, n_slots):
    tokens = [
        [[(r * n_layers + i) % 20 + s for s in range(n_slots)] for i in range(n_layers)]
        for r in range(n_ranks)
    ]
    ranks = [RankCounts(r, 5, layers) for r, layers in enumerate(tokens)]
    sent = ExpertCounts(7, MAP_ID, ranks).to_packed()
    received = decode(encode(sent))
    assert received.unpack_ranks() == ranks
    assert received.step == 7


def test_ranks_of_different_sizes_are_not_packed():
    ranks = [RankCounts(0, 5, [[1, 2]]), RankCounts(1, 5, [[1]])]
    counts = ExpertCounts(7, MAP_ID, ranks)
    assert counts.to_packed() == counts
    assert ExpertCounts(7, MAP_ID, []).to_packed().unpack_ranks() == []


def test_older_release_receives_unpacked_counts():
    array = to_array(GetExpertCounts("group", accepts_packed=True))
    assert not from_array(array[:2]).accepts_packed
    ranks = [RankCounts(0, 5, [[1, 2]])]
    unpacked_array = to_array(ExpertCounts(7, MAP_ID, ranks))[:4]
    assert from_array(unpacked_array).unpack_ranks() == ranks


def test_truncated_counts_are_refused():
    ranks = [RankCounts(r, 5, [[1, 2], [3, 4]]) for r in range(2)]
    packed_counts = ExpertCounts(7, MAP_ID, ranks).to_packed()
    truncated = dataclasses.replace(packed_counts, packed=packed_counts.packed[:-1])
    with pytest.raises(DecodeError):
        truncated.unpack_ranks()


def test_packing_halves_the_bytes_of_eight_ranks():
    ranks = [RankCounts(r, 40_000, [[97, 300]] * 58) for r in range(8)]
    counts = ExpertCounts(100_000, MAP_ID, ranks)
    assert len(encode(counts.to_packed())) < len(encode(counts)) / 2
