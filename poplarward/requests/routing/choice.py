"""Chooses an upstream among candidates from stale load reports.

An upstream with affinity to the prompt's prefix is chosen while its load is at most
slightly above the mean: all ranks of a group wait for the longest prefill, so a cache
hit shortens the step of the whole group. Other prompts go to the rank groups whose
prefill window fits them, unless these are too busy.

Among the rest, choosing the least loaded upstream would lead to herding: all entry
hosts see reports of about the same age and would choose the same upstream until the
next report. Instead, the requests that arrive until then are distributed by water
filling: they would raise the least loaded upstreams to a common level, and an upstream
is drawn with a probability proportional to its distance from that level. With fresh
reports this chooses the least loaded upstream, with very stale ones the choice is
uniform. The method is load interpretation (Dahlin, "Interpreting stale load
information", IEEE Transactions on Parallel and Distributed Systems, 2000).
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
        Estimated requests in flight, scaled by its slots, plus the cost of distance.
    """

    name: str
    load: float


def fill_level(loads: Sequence[float], arriving: float) -> float:
    """Return the level to which arriving requests raise the least loaded upstreams.

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
    affine: Collection[str],
    arriving: float,
    rng: random.Random,
    preferred: Collection[str] = (),
) -> Candidate | None:
    """Return a candidate, or None without any.

    Parameters
    ----------
    candidates : sequence of Candidate
    affine : collection of str
        Names of candidates that are likely to have the prompt's prefix cached.
    arriving : float
        Requests that all entry hosts sent to the candidates since their reports.
    rng : random.Random
    preferred : collection of str
        Names of candidates whose rank group fits the prompt by its prefill window;
        empty without prefill windows.
    """
    if not candidates:
        return None
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = mean + AFFINITY_SLACK_REQUESTS
    cached = [c for c in candidates if c.name in affine and c.load <= bound]
    if cached:
        cached_in_window = [
            candidate for candidate in cached if candidate.name in preferred
        ]
        return min(cached_in_window or cached, key=lambda candidate: candidate.load)
    in_window = [candidate for candidate in candidates if candidate.name in preferred]
    if (
        in_window
        and sum(c.load for c in in_window) / len(in_window)
        <= mean + PREFILL_WINDOW_SLACK_REQUESTS
    ):
        arriving *= len(in_window) / len(candidates)
        candidates = in_window
    level = fill_level([candidate.load for candidate in candidates], arriving)
    gaps = [max(0.0, level - candidate.load) for candidate in candidates]
    if sum(gaps) > 0.0:
        return rng.choices(candidates, gaps)[0]
    least = min(candidate.load for candidate in candidates)
    return rng.choice([c for c in candidates if c.load == least])
