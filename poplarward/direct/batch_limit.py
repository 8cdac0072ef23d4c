"""Limits the requests that run at once, so that streams meet their pause objective.

Load pattern: demand for experts shifts, and until the next map is applied each pass of
a rank group takes at least twice as long. Streams end later, new ones keep arriving,
and each of them lengthens the passes, until the pauses of every stream exceed the
objective. With fewer requests at once the passes stay short enough: those that run are
on time, and only the others have to retry. Requests that run already when demand shifts
can't be revoked, and a group that is full then is late for as long as its streams last,
so capacity for a shift is reserved beforehand.
"""

from __future__ import annotations

from .model import EngineProfile

__all__ = ["max_running", "max_running_before_shift"]

# Fraction of the objective that the longest recent pause may reach, so that the pauses
# of the next passes meet it.
PEAK_OBJECTIVE_FRACTION = 0.95
# Fraction of the objective that the mean pause may reach for the second or so until the
# next map is applied.
SHIFT_OBJECTIVE_FRACTION = 0.9
MIN_FILL_FRACTION = 0.5  # Of all slots; with fewer in use a pass is mostly fixed time.
DEFAULT_POST_SHIFT_SKEW = 4.0  # That of a first map, until a group's own is known.


def max_running(
    n_running: float,
    n_slots: int,
    pause_ms: float | None,
    fixed_ms: float,
    objective_ms: float,
) -> float:
    """Return how many requests a group may run and still meet the pause objective.

    A pass takes a fixed time plus a time that grows with its requests.

    Parameters
    ----------
    n_running : float
        Requests that now run on all ranks.
    n_slots : int
        Request slots of all ranks.
    pause_ms : float or None
        Longest recent pause between events, None if it is not known.
    fixed_ms : float
        Time of a pass without requests.
    objective_ms : float
        Longest pause that is on time; 0 without one.

    Returns
    -------
    float
        Infinite if the pause is not known, or if the objective can't be met with any
        number of requests.

    Examples
    --------
    >>> round(max_running(60, 96, pause_ms=90.0, fixed_ms=30.0, objective_ms=120.0))
    84
    >>> round(max_running(80, 96, pause_ms=150.0, fixed_ms=30.0, objective_ms=120.0))
    56
    >>> max_running(80, 96, pause_ms=400.0, fixed_ms=300.0, objective_ms=120.0)
    inf
    """
    budget_ms = PEAK_OBJECTIVE_FRACTION * objective_ms - fixed_ms
    if pause_ms is None or pause_ms <= fixed_ms or budget_ms <= 0:
        return float("inf")
    return max(
        MIN_FILL_FRACTION * n_slots, n_running * budget_ms / (pause_ms - fixed_ms)
    )


def max_running_before_shift(
    engine: EngineProfile,
    n_ranks: int,
    n_slots: int,
    fixed_ms: float,
    objective_ms: float,
    post_shift_skew: float = DEFAULT_POST_SHIFT_SKEW,
) -> float:
    """Return how many requests may run so that no pass is too long after a shift.

    The time that a request adds to its rank's passes follows from the engine's
    published figures: its tokens, their context, and its part of the prefill work. The
    experts' share of that time grows with the skew.

    Parameters
    ----------
    engine : EngineProfile
    n_ranks, n_slots : int
        Ranks of the group, and request slots of all of them.
    fixed_ms : float
        Time of a pass without requests; a slow rank makes it longer.
    objective_ms : float
        Longest pause that is on time.
    post_shift_skew : float
        Work of the busiest rank over the mean, on a map made for other demand.
    """
    n_steps = engine.steps_per_pass
    n_passes = max(1.0, engine.mean_answer_tokens / n_steps)
    mean_context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    decode_ms = engine.per_sequence_ms
    decode_ms += engine.context_ms_per_k_tokens * mean_context / 1000
    prefill_ms = (
        1000 * engine.mean_prompt_tokens / engine.prefill_tokens_per_s / n_passes
    )
    skew_factor = 1 + engine.expert_share * (post_shift_skew - 1)
    request_ms = (decode_ms * n_steps + prefill_ms) * skew_factor
    budget_ms = SHIFT_OBJECTIVE_FRACTION * objective_ms - fixed_ms
    if budget_ms <= 0 or request_ms <= 0:
        return float("inf")
    return max(MIN_FILL_FRACTION * n_slots, n_ranks * budget_ms / request_ms)
