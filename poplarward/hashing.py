"""Rendezvous hashing: every process ranks the same names alike, without a table."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_ranking"]


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
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name

    return sorted(names, key=weight, reverse=True)
