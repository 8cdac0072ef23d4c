"""Chooses the upstream of a request from what is known of their loads.

Load pattern: many entry hosts send to the same few upstreams at once. Each knows its
own requests and, some milliseconds late, those of the others, so the emptiest upstream
is the same for all of them. Drawing among those that are nearly as empty keeps hosts
that decide at the same moment apart, and the least loaded by a wide margin still wins.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = ["Candidate", "choose_upstream"]

TIE_MARGIN = 0.01  # Loads that differ by less are equal; half a slot in 50.


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes
    ----------
    id : str
    n_in_hand : float
        Requests that all entry hosts have there, as far as known.
    n_slots : int
        Requests that it runs at once.
    slowness : float
        Its time for a request over that of the others; 1 is ordinary.
    failure_share : float
        Part of its last answers that were failures of its own.
    n_base : float
        Requests whose time a step takes even without any; a slow rank without requests
        still holds its group up.
    """

    id: str
    n_in_flight: float
    n_slots: int
    slowness: float = 1.0
    failure_share: float = 0.0
    base_load: float = 0.0


FAILURE_WEIGHT = 8.0  # A fifth of failures weighs as much as 1.6 full batches.


def _cost(candidate: Candidate) -> float:
    fill = (candidate.base_load + candidate.n_in_flight + 1) / max(candidate.n_slots, 1)
    return fill * candidate.slowness + FAILURE_WEIGHT * candidate.failure_share


def _room(candidate: Candidate, max_fill: float) -> float:
    return max(1.0, max_fill * candidate.n_slots / max(candidate.slowness, 1.0))


def choose_upstream(
    candidates: Sequence[Candidate],
    tried: Collection[str],
    rng: random.Random,
    max_fill: float = float("inf"),
) -> Candidate | None:
    """Return the best candidate with room, or None.

    Parameters
    ----------
    candidates : sequence of Candidate
    tried : collection of str
        Upstreams that this request was sent to; taken only if there is no other.
    rng : random.Random
        Breaks ties, so that hosts that decide at once don't choose alike.
    max_fill : float
        Requests in hand over slots at which an upstream has no room. A slow one has as
        much less as it is slower: in a rank group, what it runs holds up all others.

    Examples
    --------
    >>> idle, busy = Candidate("a", 0, 6), Candidate("b", 6, 6)
    >>> choose_upstream([idle, busy], (), random.Random(1)).id
    'a'
    >>> choose_upstream([busy], (), random.Random(1), max_fill=1.0) is None
    True
    """
    open_ones = [c for c in candidates if c.n_in_flight < _room(c, max_fill)]
    fresh = [c for c in open_ones if c.id not in tried] or open_ones
    if not fresh:
        return None
    least = min(map(_cost, fresh))
    return rng.choice([c for c in fresh if _cost(c) <= least + TIE_MARGIN])
