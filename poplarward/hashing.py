"""Rendezvous hashing: every process ranks the same names alike, without a table."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Set
from functools import lru_cache
from typing import NamedTuple

import xxhash

__all__ = ["RankingCache", "rendezvous_ranking"]


def rendezvous_ranking(key: str, names: Iterable[str]) -> list[str]:
    """Return names by falling rendezvous weight for a key.

    When a name leaves, only the keys that it came first for move. The method is
    highest random weight hashing (Thaler and Ravishankar, "Using name-based mappings
    to increase hit rates", IEEE/ACM Transactions on Networking, 1998).

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
    """The first names for many keys, kept while names come and go.

    A name that joins is weighed against the first ones, and only a key that has lost
    one of these is ranked anew.

    Attributes
    ----------
    n_weighed : int
        Pairs of key and name weighed so far.

    Examples
    --------
    >>> rankings = RankingCache()
    >>> names = frozenset({"entry-1", "entry-2", "entry-3"})
    >>> rankings.first("group-7", names, 2) == rendezvous_ranking("group-7", names)[:2]
    True
    """

    def __init__(self) -> None:
        self.n_weights_computed = 0
        self._held: dict[str, _Held] = {}

    def first(self, key: str, names: frozenset[str], n: int) -> list[str]:
        """Return the first `n` names of a key's ranking."""
        held = self._held.get(key)
        if held is None or held.names is not names or held.n < n:
            held = self._held[key] = self._rank(key, names, n, held)
        return [name for _, name in held.firsts[:n]]

    def retain(self, keys: Set[str]) -> None:
        """Forget all keys but these."""
        for key in self._held.keys() - keys:
            del self._held[key]

    def _rank(
        self, key: str, names: frozenset[str], n: int, held: _Held | None
    ) -> _Held:
        to_weigh: Iterable[str] = names
        kept: list[tuple[int, str]] = []
        if held is not None and held.n >= n:
            joined, left = _difference(held.names, names)
            if not any(name in left for _, name in held.firsts):
                n, to_weigh, kept = held.n, joined, held.firsts
        weighed = [(_weight(key, name), name) for name in to_weigh]
        self.n_weights_computed += len(weighed)
        firsts = heapq.nlargest(n, kept + weighed) if weighed else kept
        return _Held(names, n, firsts)


class _Held(NamedTuple):
    """The first names of a key and their weights, among all names of one moment."""

    names: frozenset[str]
    n: int
    firsts: list[tuple[int, str]]


# All keys that were ranked at one moment ask for the same difference.
@lru_cache(maxsize=16)
def _difference(
    held: frozenset[str], names: frozenset[str]
) -> tuple[frozenset[str], frozenset[str]]:
    return names - held, held - names


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
