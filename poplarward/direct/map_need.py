"""Tells how much the evenness of an expert map is worth to callers now.

Load pattern: demand for experts shifts every few seconds while a group runs far below
what its pause objective allows. A map that is even again some passes sooner makes no
stream on time that would have been late, but its copies lengthen the passes, and each
change of map stands the group still if its coordinator fails in the middle. So a calm
group gets a new map only for a large gain; one whose slots or pauses come near their
limits gets every gain.
"""

from __future__ import annotations

__all__ = ["is_strained", "min_skew_gain"]

# Of the pause objective; above it, a shift of demand may make all streams late.
STRAINED_PAUSE_FRACTION = 0.6
# Of the slots; passes that are longer by half would fill them.
STRAINED_FILL_FRACTION = 0.6
STRAINED_SKEW_GAIN = 0.07  # Less saves 1 or 2 ms a pass, and a change has a cost.
# About the skew of a map that was made for other demand over that of an even one.
CALM_SKEW_GAIN = 0.8


def is_strained(
    pause_ms: float | None, objective_ms: float, n_running: float, n_slots: int
) -> bool:
    """Whether the streams of a group are close to what they can bear.

    Parameters
    ----------
    pause_ms : float or None
        Longest recent pause between events, None if it is not known.
    objective_ms : float
        Longest pause that is on time; 0 without one.
    n_running : float
        Requests that run on all ranks.
    n_slots : int
        Request slots of all ranks.

    Examples
    --------
    >>> is_strained(pause_ms=50.0, objective_ms=120.0, n_running=30, n_slots=72)
    False
    >>> is_strained(pause_ms=80.0, objective_ms=120.0, n_running=30, n_slots=72)
    True
    >>> is_strained(pause_ms=50.0, objective_ms=120.0, n_running=50, n_slots=72)
    True
    """
    if n_running > STRAINED_FILL_FRACTION * n_slots:
        return True
    return (
        pause_ms is not None and pause_ms > STRAINED_PAUSE_FRACTION * objective_ms > 0
    )


def min_skew_gain(is_strained: bool) -> float:
    """Return by how much a new map must lower the skew to be worth its change."""
    return STRAINED_SKEW_GAIN if is_strained else CALM_SKEW_GAIN
