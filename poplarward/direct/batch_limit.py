"""Bounds the requests that run at once by the pauses that their streams may have.

Load pattern: demand for experts shifts, and until the next map is in force each pass of
a rank group takes twice its time or more. Streams end later, new ones keep coming, and
with each of them the passes get longer, until every stream's pauses are over their
objective. With fewer at once the passes stay short enough: those that run are on time,
and only those beyond have to come back. What runs already when demand shifts can't be
taken back, so a group that is full then is late for as long as its streams last; room
for a shift is left beforehand.
"""

from __future__ import annotations

from .model import EngineProfile

__all__ = ["max_running", "max_running_before_shift"]

PEAK_OBJECTIVE_FRACTION = (
    0.95  # Of peaks, so that those of the next passes are within it.
)
SHIFT_OBJECTIVE_FRACTION = (
    0.9  # Of means, for the second or so until the next map is in force.
)
MIN_FILL_FRACTION = (
    0.5  # Of all places; with fewer taken a pass is mostly its fixed time.
)
DEFAULT_POST_SHIFT_SKEW = 4.0  # Of a first map; until a group's own is known.


def max_running(
    n_running: float,
    n_places: int,
    pause_ms: float | None,
    fixed_ms: float,
    objective_ms: float,
) -> float:
    """Return how many requests a group may run for pauses within their objective.

    A pass takes a fixed time and one that grows with the requests in it.

    Parameters
    ----------
    n_running : float
        Requests that run now, on all ranks.
    n_places : int
        Requests that fit on all ranks.
    pause_ms : float or None
        Longest pause between events of late, None if it is not known.
    fixed_ms : float
        Time of a pass without requests.
    objective_ms : float
        Longest pause that is on time; 0 without one.

    Returns
    -------
    float
        Infinite if nothing is known, or if the objective can't be met with any number
        of requests.

    Examples
    --------
    >>> round(max_running(60, 96, pause_ms=90.0, fixed_ms=30.0, objective_ms=120.0))
    84
    >>> round(max_running(80, 96, pause_ms=150.0, fixed_ms=30.0, objective_ms=120.0))
    56
    >>> max_running(80, 96, pause_ms=400.0, fixed_ms=300.0, objective_ms=120.0)
    inf
    """
    room_ms = PEAK_OBJECTIVE_FRACTION * objective_ms - fixed_ms
    if pause_ms is None or pause_ms <= fixed_ms or room_ms <= 0:
        return float("inf")
    return max(
        MIN_FILL_FRACTION * n_places, n_running * room_ms / (pause_ms - fixed_ms)
    )


def max_running_before_shift(
    engine: EngineProfile,
    n_ranks: int,
    n_places: int,
    fixed_ms: float,
    objective_ms: float,
    shifted_skew: float = DEFAULT_POST_SHIFT_SKEW,
) -> float:
    """Return how many may run so that a shift of demand makes no pass too long.

    The time that a request adds to its rank's passes follows from the engine's
    published figures: its tokens, their context, and its part of reading prompts. The
    experts' share of it grows with the skew.

    Parameters
    ----------
    engine : EngineProfile
    n_ranks, n_places : int
        Ranks of the group, and requests that fit on all of them.
    fixed_ms : float
        Time of a pass without requests; a slow rank makes it longer.
    objective_ms : float
        Longest pause that is on time.
    shifted_skew : float
        Busiest rank's work over the mean on a map that was made for another demand.
    """
    n_steps = engine.steps_per_pass
    passes = max(1.0, engine.mean_answer_tokens / n_steps)
    mean_context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    write_ms = engine.per_sequence_ms
    write_ms += engine.context_ms_per_k_tokens * mean_context / 1000
    read_ms = 1000 * engine.mean_prompt_tokens / engine.prefill_tokens_per_s / passes
    skew_factor = 1 + engine.expert_share * (shifted_skew - 1)
    request_ms = (write_ms * n_steps + read_ms) * skew_factor
    room_ms = SHIFT_OBJECTIVE_FRACTION * objective_ms - fixed_ms
    if room_ms <= 0 or request_ms <= 0:
        return float("inf")
    return max(MIN_FILL_FRACTION * n_places, n_ranks * room_ms / request_ms)
