"""Cached rankings equal newly computed ones."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.hashing import RankingCache, rendezvous_ranking

KEYS = ["agent-1", "agent-2", "agent-3"]
names = st.frozensets(st.sampled_from([f"entry-{i}" for i in range(12)]))


@given(st.lists(st.tuples(names, st.integers(1, 4)), max_size=8))
def test_cached_rankings_equal_new_ones(steps):
    rankings = RankingCache()
    for entries, n in steps:
        for key in KEYS:
            assert (
                rankings.first(key, entries, n) == rendezvous_ranking(key, entries)[:n]
            )


def test_only_an_added_name_is_weighed():
    rankings = RankingCache()
    entries = frozenset(f"entry-{i}" for i in range(50))
    rankings.first("agent-1", entries, 3)
    n_before = rankings.n_weights_computed
    rankings.first("agent-1", entries | {"entry-50"}, 3)
    assert rankings.n_weights_computed - n_before == 1


def test_discarded_keys_are_ranked_again():
    rankings = RankingCache()
    entries = frozenset(["entry-1", "entry-2"])
    rankings.first("agent-1", entries, 1)
    rankings.retain(set())
    rankings.first("agent-1", entries, 1)
    assert rankings.n_weights_computed == 4
