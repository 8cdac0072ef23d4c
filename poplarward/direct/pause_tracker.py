"""Measures the pauses between stream events, and predicts which streams end in time.

Load pattern: a rank becomes slow, or a group is overloaded, and the pauses between
events grow for all its streams. A long stream that is started then is aborted at its
deadline after having occupied a slot all the while. A request that is known not to end
in time is refused at once instead, with a retry-after delay.
"""

from __future__ import annotations

from .clock import now_ms

__all__ = ["PauseTracker", "can_end_in_time"]

SMOOTHING_MS = 600.0  # About ten passes; a slow rank is visible within a second.
RECENT_SMOOTHING_MS = 120.0  # Two passes; a change of demand is visible at once.
PEAK_SMOOTHING_MS = 800.0  # Several passes; prefill lengthens one in a few of them.
MAX_OUTLIER_RATIO = 3.0  # Of a pause over the mean; a lost packet causes longer ones.
MAX_PEAK_RATIO = 1.25  # Passes under steady load differ by less.
JUMP_RATIO = 1.3  # Under steady load, pauses of successive passes differ by less.
STALE_AFTER_MS = 1_500.0  # Without events for so long, the pause is unknown.
ESTIMATE_TOLERANCE_RATIO = 1.25  # Callers' length estimates are right only at median.


class PauseTracker:
    """Smoothed pauses between the events of a service's streams, weighted by recency.

    Examples
    --------
    >>> tracker = PauseTracker()
    >>> tracker.record(60.0, at_ms=0.0)
    >>> tracker.mean_ms(at_ms=10.0)
    60.0
    >>> tracker.mean_ms(at_ms=5_000.0) is None
    True
    """

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._recent_ms = 0.0
        self._peak_ms = 0.0
        self._recorded_at_ms: float | None = None

    def record(self, pause_ms: float, at_ms: float | None = None) -> None:
        """Record the pause before an event."""
        at_ms = now_ms() if at_ms is None else at_ms
        previous_at_ms = self._recorded_at_ms
        if previous_at_ms is None or at_ms - previous_at_ms > STALE_AFTER_MS:
            self._mean_ms = self._recent_ms = self._peak_ms = pause_ms
        else:
            elapsed_ms = at_ms - previous_at_ms
            pause_ms = min(pause_ms, MAX_OUTLIER_RATIO * self._mean_ms)
            fraction = min(1.0, elapsed_ms / SMOOTHING_MS)
            self._mean_ms += fraction * (pause_ms - self._mean_ms)
            fraction = min(1.0, elapsed_ms / RECENT_SMOOTHING_MS)
            self._recent_ms += fraction * (pause_ms - self._recent_ms)
            fraction = min(1.0, elapsed_ms / PEAK_SMOOTHING_MS)
            self._peak_ms += fraction * (self._mean_ms - self._peak_ms)
            self._peak_ms = max(self._peak_ms, pause_ms)
        self._recorded_at_ms = at_ms

    def mean_ms(self, at_ms: float | None = None) -> float | None:
        """Return the smoothed mean pause, None without recent events."""
        at_ms = now_ms() if at_ms is None else at_ms
        if (
            self._recorded_at_ms is None
            or at_ms - self._recorded_at_ms > STALE_AFTER_MS
        ):
            return None
        return self._mean_ms

    def peak_ms(self, at_ms: float | None = None) -> float | None:
        """Return the longest pause of the last passes.

        A pause far above all others is that of a single stream, such as after a lost
        packet, and counts only as far as passes can differ.
        """
        mean_ms = self.mean_ms(at_ms)
        if mean_ms is None:
            return None
        level_ms = max(mean_ms, self._recent_ms)
        return min(max(level_ms, self._peak_ms), MAX_PEAK_RATIO * level_ms)

    def has_jumped(self, at_ms: float | None = None) -> bool:
        """Whether the latest pauses are clearly longer than those before.

        Examples
        --------
        >>> tracker = PauseTracker()
        >>> for number in range(30):
        ...     tracker.record(60.0 if number < 25 else 120.0, at_ms=30.0 * number)
        >>> tracker.has_jumped(at_ms=870.0)
        True
        """
        mean_ms = self.mean_ms(at_ms)
        return mean_ms is not None and self._recent_ms > JUMP_RATIO * mean_ms


def can_end_in_time(n_events: float, pause_ms: float | None, left_ms: float) -> bool:
    """Whether a stream can be expected to end before its deadline.

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
