"""How fast a model engine writes, and which streams can still end in time.

Load pattern: a rank turns slow, or a group has more to do than it can, and the pauses
between events grow for all its streams. A long answer that is begun then is cut off at
its deadline after having taken a place all the while. What is known not to end in time
is refused at once instead, and its caller told when to come back.
"""

from __future__ import annotations

from .clock import now_ms

__all__ = ["PauseTracker", "can_end_in_time"]

SMOOTHING_MS = 600.0  # Some ten passes; a slow rank shows within a second.
RECENT_SMOOTHING_MS = 120.0  # Two passes; a change of demand shows at once.
PEAK_SMOOTHING_MS = 800.0  # Some passes; prompts lengthen one in a few of them.
MAX_OUTLIER_RATIO = 3.0  # Of one pause over the mean; a lost packet makes a longer one.
MAX_PEAK_RATIO = 1.25  # Passes of a steady load differ by less.
JUMP_RATIO = 1.3  # Pauses of steady work differ less from one pass to the next.
STALE_AFTER_MS = 1_500.0  # Without events so long, nothing is known.
ESTIMATE_TOLERANCE_RATIO = 1.25  # Callers' estimates are right at the median only.


class PauseTracker:
    """Mean pause between the events of a service's streams, recent ones weighing more.

    Examples
    --------
    >>> pace = PauseTracker()
    >>> pace.record(60.0, at_ms=0.0)
    >>> pace.mean_ms(at_ms=10.0)
    60.0
    >>> pace.mean_ms(at_ms=5_000.0) is None
    True
    """

    def __init__(self) -> None:
        self._pause_ms = 0.0
        self._recent_ms = 0.0
        self._peak_ms = 0.0
        self._noted_at_ms: float | None = None

    def record(self, pause_ms: float, at_ms: float | None = None) -> None:
        """Take in the pause before an event."""
        at_ms = now_ms() if at_ms is None else at_ms
        held_at_ms = self._noted_at_ms
        if held_at_ms is None or at_ms - held_at_ms > STALE_AFTER_MS:
            self._pause_ms = self._recent_ms = self._peak_ms = pause_ms
        else:
            elapsed_ms = at_ms - held_at_ms
            pause_ms = min(pause_ms, MAX_OUTLIER_RATIO * self._pause_ms)
            part = min(1.0, elapsed_ms / SMOOTHING_MS)
            self._pause_ms += part * (pause_ms - self._pause_ms)
            part = min(1.0, elapsed_ms / RECENT_SMOOTHING_MS)
            self._recent_ms += part * (pause_ms - self._recent_ms)
            part = min(1.0, elapsed_ms / PEAK_SMOOTHING_MS)
            self._peak_ms += part * (self._pause_ms - self._peak_ms)
            self._peak_ms = max(self._peak_ms, pause_ms)
        self._noted_at_ms = at_ms

    def mean_ms(self, at_ms: float | None = None) -> float | None:
        """Return the mean pause, None if there were no events of late."""
        at_ms = now_ms() if at_ms is None else at_ms
        if self._noted_at_ms is None or at_ms - self._noted_at_ms > STALE_AFTER_MS:
            return None
        return self._pause_ms

    def peak_ms(self, at_ms: float | None = None) -> float | None:
        """Return the longest pause of the last passes.

        One that is far above all others is that of one stream, such as after a lost
        packet, and counts as far as passes may differ only.
        """
        mean_ms = self.mean_ms(at_ms)
        if mean_ms is None:
            return None
        level_ms = max(mean_ms, self._recent_ms)
        return min(max(level_ms, self._peak_ms), MAX_PEAK_RATIO * level_ms)

    def has_jumped(self, at_ms: float | None = None) -> bool:
        """Whether the last pauses are clearly longer than those before.

        Examples
        --------
        >>> pace = PauseTracker()
        >>> for number in range(30):
        ...     pace.record(60.0 if number < 25 else 120.0, at_ms=30.0 * number)
        >>> pace.has_jumped(at_ms=870.0)
        True
        """
        mean_ms = self.mean_ms(at_ms)
        return mean_ms is not None and self._recent_ms > JUMP_RATIO * mean_ms


def can_end_in_time(n_events: float, pause_ms: float | None, left_ms: float) -> bool:
    """Return whether a stream can be expected to end before its deadline.

    Examples
    --------
    >>> can_end_in_time(n_events=26, pause_ms=60.0, left_ms=8_000.0)
    True
    >>> can_end_in_time(n_events=26, pause_ms=600.0, left_ms=8_000.0)
    False
    """
    if pause_ms is None:
        return True
    return n_events * pause_ms <= ESTIMATE_TOLERANCE_RATIO * left_ms
