"""Selection of the readers of the object API, and of each process's source."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

from ...hashing import rendezvous_ranking
from ...protocol import ProcessIdentity

__all__ = ["choose_comparison_peer", "choose_source", "readers_of"]

N_READERS_PER_DATA_CENTRE = 2


def readers_of(data_centre: str, entry_hosts: Sequence[ProcessIdentity]) -> list[str]:
    """Return the names of a data centre's readers: entry hosts that watch the store.

    Examples
    --------
    >>> from poplarward.transport import Address
    >>> def entry(name):
    ...     return ProcessIdentity("entry", name, 1, Address("10.0.0.1", 1), "brest")
    >>> readers_of("brest", [entry("a"), entry("b"), entry("c")])
    ['a', 'c']
    """
    names = [host.name for host in entry_hosts if host.data_centre == data_centre]
    ranking = rendezvous_ranking(f"configuration-readers/{data_centre}", names)
    return ranking[:N_READERS_PER_DATA_CENTRE]


def choose_source(
    own_name: str, candidates: Collection[str], avoided: Collection[str]
) -> str | None:
    """Return the source that a process follows; the choice is stable and balanced.

    Candidates to avoid, which have failed recently, are chosen only if there is no
    other.
    """
    ranking = rendezvous_ranking(own_name, candidates)
    for name in ranking:
        if name not in avoided:
            return name
    return ranking[0] if ranking else None


def choose_comparison_peer(
    own: ProcessIdentity,
    entry_hosts: Sequence[ProcessIdentity],
    avoided: Collection[str],
    rng: random.Random,
    *,
    prefers_remote: bool,
) -> ProcessIdentity | None:
    """Return an entry host to compare with, of another or of the own data centre.

    The comparison covers cases that the distribution tree does not: data centres whose
    readers cannot reach the store, and hosts that follow a stale source.
    """
    others = [host for host in entry_hosts if host.name != own.name]
    usable = [host for host in others if host.name not in avoided] or others
    local = [e for e in usable if e.data_centre == own.data_centre]
    remote = [e for e in usable if e.data_centre != own.data_centre]
    pool = (remote or local) if prefers_remote else (local or remote)
    return rng.choice(pool) if pool else None
