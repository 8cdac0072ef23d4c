"""Load of a service, and how many requests it may run at once."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .batch_limit import max_running, max_running_before_shift
from .model import EngineProfile
from .pause_tracker import PauseTracker
from .placement import Candidate

__all__ = ["ServiceLoad", "base_load", "service_load"]


class ServiceLoad(NamedTuple):
    """Load of a service.

    Attributes
    ----------
    n_running : float
        Requests that all entry hosts have in flight there, as far as known.
    most_running : float
        Requests that may run at once and still meet the pause objective.
    pause_ms : float or None
        Pause between the events of its streams, None if it is not known.
    """

    n_running: float
    most_running: float
    pause_ms: float | None


def service_load(
    engine: EngineProfile | None,
    ranks: Sequence[Candidate],
    pause_tracker: PauseTracker,
    objective_ms: float,
    post_shift_skew: float,
) -> ServiceLoad:
    """Return a service's load, and its limit for streams with a pause objective."""
    n_running = sum([rank.n_in_flight for rank in ranks])
    pause_ms = pause_tracker.peak_ms()
    if engine is None or objective_ms <= 0:
        return ServiceLoad(n_running, float("inf"), pause_ms)
    n_slots = sum([rank.n_slots for rank in ranks])
    slowest = max([rank.slowness for rank in ranks], default=1.0)
    fixed_ms = engine.step_ms * engine.steps_per_pass * slowest
    most_running = min(
        max_running(n_running, n_slots, pause_ms, fixed_ms, objective_ms),
        max_running_before_shift(
            engine, len(ranks), n_slots, fixed_ms, objective_ms, post_shift_skew
        ),
    )
    return ServiceLoad(n_running, most_running, pause_ms)


def base_load(engine: EngineProfile | None) -> float:
    """Return the fixed time of a token step, as a number of requests."""
    if engine is None or engine.per_sequence_ms <= 0:
        return 0.0
    return engine.step_ms / engine.per_sequence_ms
