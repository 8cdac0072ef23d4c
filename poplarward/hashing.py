"""Rendezvous hashing: all processes rank names identically, without a shared table."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Set
from functools import lru_cache
from typing import NamedTuple

import xxhash

__all__ = ["RankingCache", "rendezvous_ranking"]


def rendezvous_ranking(key: str, names: Iterable[str]) -> list[str]:
    """Return names by decreasing rendezvous weight for a key.

    If a name is removed, only the keys that it ranked first for are reassigned. The
    method is highest random weight hashing (Thaler and Ravishankar, "Using name-based
    mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998).

    Examples
    --------
    >>> ranking = rendezvous_ranking("group-7", ["entry-1", "entry-2", "entry-3"])
    >>> sorted(ranking)
    ['entry-1', 'entry-2', 'entry-3']
    """

    def weight(name: str) -> tuple[int, str]:
        return _weight(key, name), name

    return sorted(names, key=weight, reverse=True)


class RankingCache:
    """Caches the first names for many keys while names are added and removed.

    An added name is compared only with the cached first names, and a key is ranked
    again only if one of its cached names was removed.

    Attributes
    ----------
    n_weighed : int
        Number of weights computed so far, one per pair of key and name.

    Examples
    --------
    >>> rankings = RankingCache()
    >>> names = frozenset({"entry-1", "entry-2", "entry-3"})
    >>> rankings.first("group-7", names, 2) == rendezvous_ranking("group-7", names)[:2]
    True
    """

    def __init__(self) -> None:
        self.n_weights_computed = 0
        self._cache: dict[str, _CachedRanking] = {}

    def first(self, key: str, names: frozenset[str], n: int) -> list[str]:
        """Return the first `n` names of a key's ranking."""
        cached = self._cache.get(key)
        if cached is None or cached.names is not names or cached.n < n:
            cached = self._cache[key] = self._rank(key, names, n, cached)
        return [name for _, name in cached.ranked[:n]]

    def retain(self, keys: Set[str]) -> None:
        """Discard all keys except the given ones."""
        for key in self._cache.keys() - keys:
            del self._cache[key]

    def _rank(
        self, key: str, names: frozenset[str], n: int, cached: _CachedRanking | None
    ) -> _CachedRanking:
        to_weigh: Iterable[str] = names
        kept: list[tuple[int, str]] = []
        if cached is not None and cached.n >= n:
            added, removed = _difference(cached.names, names)
            if not any(name in removed for _, name in cached.ranked):
                n, to_weigh, kept = cached.n, added, cached.ranked
        weighed = [(_weight(key, name), name) for name in to_weigh]
        self.n_weights_computed += len(weighed)
        ranked = heapq.nlargest(n, kept + weighed) if weighed else kept
        return _CachedRanking(names, n, ranked)


class _CachedRanking(NamedTuple):
    """The first names of a key with their weights, among a set of names."""

    names: frozenset[str]
    n: int
    ranked: list[tuple[int, str]]


# Keys that were ranked with the same set of names need the same difference.
@lru_cache(maxsize=16)
def _difference(
    cached: frozenset[str], names: frozenset[str]
) -> tuple[frozenset[str], frozenset[str]]:
    return names - cached, cached - names


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
