"""Chooses the upstream of a request by load.

Load pattern: many entry hosts send to the same few upstreams at once. Each knows its
own requests and, some milliseconds late, those of the other hosts, so all of them see
the same upstream as the least loaded. A random choice among upstreams with almost equal
load spreads hosts that decide at the same time; an upstream whose load is clearly lower
is still chosen.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = ["Candidate", "choose_upstream"]

TIE_MARGIN = 0.01  # Loads that differ by less count as equal; half a slot in 50.


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes
    ----------
    id : str
    n_in_flight : float
        Requests that all entry hosts have in flight there, as far as known.
    n_slots : int
        Requests that it runs at once.
    slowness : float
        Its time for a request over that of the other upstreams; 1 is normal.
    failure_share : float
        Share of its recent responses that were failures of its own.
    base_load : float
        Fixed time of a step, as a number of requests; a slow rank delays its group even
        without requests.
    """

    id: str
    n_in_flight: float
    n_slots: int
    slowness: float = 1.0
    failure_share: float = 0.0
    base_load: float = 0.0


FAILURE_WEIGHT = 8.0  # A failure share of 0.2 costs as much as 1.6 full batches.


def _cost(candidate: Candidate) -> float:
    _, n_in_flight, n_slots, slowness, failure_share, base_load = candidate
    fill = (base_load + n_in_flight + 1) / (n_slots or 1)
    return fill * slowness + FAILURE_WEIGHT * failure_share


def _capacity(candidate: Candidate, max_fill: float) -> float:
    """Return how many requests it may have; if it has none, it may have one."""
    return max_fill * candidate.n_slots / max(candidate.slowness, 1.0)


def choose_upstream(
    candidates: Sequence[Candidate],
    tried: Collection[str],
    rng: random.Random,
    max_fill: float = float("inf"),
) -> Candidate | None:
    """Return the best candidate with capacity, or None.

    Parameters
    ----------
    candidates : sequence of Candidate
    tried : collection of str
        Upstreams that this request was sent to; chosen only if there is no other.
    rng : random.Random
        Breaks ties, so that hosts that decide at the same time choose differently.
    max_fill : float
        In-flight requests over slots at which an upstream is full. For a slow one it is
        divided by its slowness: in a rank group, its requests delay all others.

    Examples
    --------
    >>> idle, busy = Candidate("a", 0, 6), Candidate("b", 6, 6)
    >>> choose_upstream([idle, busy], (), random.Random(1)).id
    'a'
    >>> choose_upstream([busy], (), random.Random(1), max_fill=1.0) is None
    True
    """
    available = [
        (_cost(c), c)
        for c in candidates
        if c.n_in_flight < 1 or c.n_in_flight < _capacity(c, max_fill)
    ]
    if tried:
        available = [pair for pair in available if pair[1].id not in tried] or available
    if not available:
        return None
    limit = min([cost for cost, _ in available]) + TIE_MARGIN
    return rng.choice([candidate for cost, candidate in available if cost <= limit])
