"""Tells from refused connections whether an upstream is down."""

from __future__ import annotations

__all__ = ["UpstreamHealth"]

MIN_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 8_000.0


class UpstreamHealth:
    """Whether an upstream takes connections.

    A refused connection marks it down for a pause, after which requests may try it
    again; the pause doubles with each refusal until one succeeds. An upstream that is
    down has no load, so without the mark it would draw requests.

    Attributes
    ----------
    down_until_ms : float
        When requests may try it again.

    Examples
    --------
    >>> health = UpstreamHealth()
    >>> health.record_failure(now_ms=0)
    >>> health.is_down(now_ms=499), health.is_down(now_ms=500)
    (True, False)
    """

    def __init__(self) -> None:
        self.down_until_ms = float("-inf")
        self._pause_ms = MIN_BACKOFF_MS

    def is_down(self, now_ms: float) -> bool:
        """Return whether new requests are to go elsewhere."""
        return now_ms < self.down_until_ms

    def record_failure(self, now_ms: float) -> None:
        """Note a refused connection."""
        if self.is_down(now_ms):
            return
        self.down_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(MAX_BACKOFF_MS, self._pause_ms * 2)

    def record_success(self) -> None:
        """Note an answer."""
        self.down_until_ms = float("-inf")
        self._pause_ms = MIN_BACKOFF_MS
