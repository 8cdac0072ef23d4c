"""Spaces the starts of requests that are late already.

Load pattern: after an outage dozens of callers come back within a tenth of a second,
one or two at each entry host, and find free slots. A rank group prefills all their
prompts in the same pass, which then takes longer than the pause objective, so that
every stream that runs becomes late for the sake of some that are late already. These
lose nothing if they start a few passes later, one after the other.

Hosts don't coordinate. Each spaces its own starts by the number of hosts that have
requests waiting, which it knows from heartbeats, and begins after a random delay that
is long enough to hear of them.
"""

from __future__ import annotations

import random

from .model import EngineProfile

__all__ = ["LateStarts", "late_starts_per_pass"]

# Of the time by which passes may be longer; the rest is for requests not yet late.
LATE_PREFILL_FRACTION = 0.25
MAX_FIRST_DELAY_MS = 500.0  # Many passes, and heartbeats of hosts with changed load.
MIN_STARTS_PER_PASS = 1.0


def late_starts_per_pass(
    engine: EngineProfile,
    n_ranks: int,
    pause_ms: float,
    objective_ms: float,
    post_shift_skew: float,
) -> float:
    """Return how many prompts a pass may prefill for requests that are late already.

    Parameters
    ----------
    engine : EngineProfile
    n_ranks : int
        Ranks of the group.
    pause_ms : float
        Mean pause between events.
    objective_ms : float
        Longest pause that is on time.
    post_shift_skew : float
        Work of the busiest rank over the mean, on a map made for other demand.
    """
    prompt_ms = 1000 * engine.mean_prompt_tokens / engine.prefill_tokens_per_s
    skew_factor = 1 + engine.expert_share * (post_shift_skew - 1)
    added_ms = prompt_ms * skew_factor / max(1, n_ranks)
    if added_ms <= 0:
        return float("inf")
    spare_ms = LATE_PREFILL_FRACTION * max(0.0, objective_ms - pause_ms)
    return max(MIN_STARTS_PER_PASS, spare_ms / added_ms)


class LateStarts:
    """Decides when this host may start the next late request of a service.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> starts = LateStarts(random.Random(1))
    >>> starts.may_start(0.0), starts.may_start(500.0)
    (False, True)
    >>> starts.record_start(500.0, interval_ms=100.0)
    >>> starts.may_start(549.0), starts.may_start(650.0)
    (False, True)
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_ms = float("-inf")
        self._asked_at_ms = float("-inf")

    def may_start(self, at_ms: float) -> bool:
        """Whether a late request may start now."""
        if at_ms - self._asked_at_ms > MAX_FIRST_DELAY_MS:
            # No late request has been waiting for a while.
            first_delay_ms = self._rng.uniform(0.0, MAX_FIRST_DELAY_MS)
            self._next_ms = max(self._next_ms, at_ms + first_delay_ms)
        self._asked_at_ms = at_ms
        return at_ms >= self._next_ms

    def record_start(self, at_ms: float, interval_ms: float) -> None:
        """Record a start; the next is to follow after about `interval_ms`."""
        self._next_ms = at_ms + self._rng.uniform(0.5, 1.5) * interval_ms
