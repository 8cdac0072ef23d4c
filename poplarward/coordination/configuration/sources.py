"""Decides who reads the object API and whom each process follows."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

from ...hashing import rendezvous_ranking
from ...protocol import ProcessIdentity

__all__ = ["choose_comparison_peer", "choose_source", "readers_of"]

N_READERS_PER_DATA_CENTRE = 2


def readers_of(data_centre: str, entries: Sequence[ProcessIdentity]) -> list[str]:
    """Return the names of the entry hosts that read for a data centre.

    Examples
    --------
    >>> from poplarward.transport import Address
    >>> def entry(name):
    ...     return ProcessIdentity("entry", name, 1, Address("10.0.0.1", 1), "brest")
    >>> readers_of("brest", [entry("a"), entry("b"), entry("c")])
    ['a', 'c']
    """
    names = [entry.name for entry in entries if entry.data_centre == data_centre]
    ranking = rendezvous_ranking(f"configuration-readers/{data_centre}", names)
    return ranking[:N_READERS_PER_DATA_CENTRE]


def choose_source(
    own_name: str, candidates: Collection[str], avoided: Collection[str]
) -> str | None:
    """Return whom a process follows: stable, spread evenly, none that just failed.

    Candidates that failed are taken only when no other is left.
    """
    ranking = rendezvous_ranking(own_name, candidates)
    for name in ranking:
        if name not in avoided:
            return name
    return ranking[0] if ranking else None


def choose_comparison_peer(
    own: ProcessIdentity,
    entries: Sequence[ProcessIdentity],
    avoided: Collection[str],
    rng: random.Random,
    *,
    prefers_far: bool,
) -> ProcessIdentity | None:
    """Return an entry host to compare with, of another data centre or the own.

    The comparison brings together what the readers' tree does not: data centres
    whose readers cannot reach the store, and hosts that follow a stale source.
    """
    others = [entry for entry in entries if entry.name != own.name]
    usable = [entry for entry in others if entry.name not in avoided] or others
    near = [e for e in usable if e.data_centre == own.data_centre]
    far = [e for e in usable if e.data_centre != own.data_centre]
    pool = (far or near) if prefers_far else (near or far)
    return rng.choice(pool) if pool else None
