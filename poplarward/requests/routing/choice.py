"""Chooses one upstream among candidates whose load is known late.

An upstream that is likely to hold the prompt's prefix is taken while it is hardly
busier than the mean: all ranks of a group wait for the longest prefill, so a cache hit
shortens everyone's step. Other prompts go to the rank groups whose turn fits them,
unless these are too busy.

Otherwise every entry host sees reports of about the same age. If each sent its
requests to the upstream that was least loaded then, all would choose the same one
until the next report. So the requests that arrive before the next look are spread
the way they would fill up the emptiest upstreams to one level, and an upstream is
drawn with a probability proportional to what it lacks of that level. Fresh knowledge
makes this the choice of the least loaded; old knowledge makes it uniform. The method
is load interpretation (Dahlin, "Interpreting stale load information", IEEE
Transactions on Parallel and Distributed Systems, 2000).
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = ["Candidate", "choose_candidate", "fill_level"]

AFFINITY_SLACK_REQUESTS = 0.1
PREFILL_WINDOW_SLACK_REQUESTS = 4.0


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes
    ----------
    name : str
    load : float
        Requests in hand, estimated, scaled by its slots, distance included.
    """

    name: str
    load: float


def fill_level(loads: Sequence[float], arriving: float) -> float:
    """Return the level to which arriving requests fill up the least loaded.

    Examples
    --------
    >>> fill_level([1.0, 2.0, 9.0], 5.0)
    4.0
    >>> fill_level([3.0, 5.0], 0.0)
    3.0
    """
    total = arriving
    ordered = sorted(loads)
    level = ordered[0]
    for n_filled, load in enumerate(ordered, start=1):
        total += load
        level = total / n_filled
        if n_filled == len(ordered) or level <= ordered[n_filled]:
            break
    return level


def choose_candidate(
    candidates: Sequence[Candidate],
    homes: Collection[str],
    arriving: float,
    rng: random.Random,
    preferred: Collection[str] = (),
) -> Candidate | None:
    """Return a candidate, or None without any.

    Parameters
    ----------
    candidates : sequence of Candidate
    homes : collection of str
        Names of those that are likely to hold the prompt's prefix.
    arriving : float
        Requests that all entry hosts sent to the candidates since their reports.
    rng : random.Random
    preferred : collection of str
        Names of those whose rank group the prompt should go to; empty without turns.
    """
    if not candidates:
        return None
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = mean + AFFINITY_SLACK_REQUESTS
    at_home = [c for c in candidates if c.name in homes and c.load <= bound]
    if at_home:
        near = [candidate for candidate in at_home if candidate.name in preferred]
        return min(near or at_home, key=lambda candidate: candidate.load)
    turn = [candidate for candidate in candidates if candidate.name in preferred]
    if (
        turn
        and sum(c.load for c in turn) / len(turn)
        <= mean + PREFILL_WINDOW_SLACK_REQUESTS
    ):
        arriving *= len(turn) / len(candidates)
        candidates = turn
    level = fill_level([candidate.load for candidate in candidates], arriving)
    gaps = [max(0.0, level - candidate.load) for candidate in candidates]
    if sum(gaps) > 0.0:
        return rng.choices(candidates, gaps)[0]
    least = min(candidate.load for candidate in candidates)
    return rng.choice([c for c in candidates if c.load == least])
