"""Detects from refused connections whether an upstream is down."""

from __future__ import annotations

__all__ = ["UpstreamHealth"]

MIN_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 8_000.0


class UpstreamHealth:
    """Whether an upstream accepts connections.

    A refused connection marks the upstream as down for a backoff time, after which
    requests may be sent to it again. The backoff doubles with each refusal until a
    connection succeeds. An upstream that is down has no load, so without the mark it
    would attract requests.

    Attributes
    ----------
    down_until_ms : float
        When requests may be sent to it again.

    Examples
    --------
    >>> health = UpstreamHealth()
    >>> health.record_failure(now_ms=0)
    >>> health.is_down(now_ms=499), health.is_down(now_ms=500)
    (True, False)
    """

    def __init__(self) -> None:
        self.down_until_ms = float("-inf")
        self._backoff_ms = MIN_BACKOFF_MS

    def is_down(self, now_ms: float) -> bool:
        """Return whether new requests should be sent elsewhere."""
        return now_ms < self.down_until_ms

    def record_failure(self, now_ms: float) -> None:
        """Record a refused connection."""
        if self.is_down(now_ms):
            return
        self.down_until_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, self._backoff_ms * 2)

    def record_success(self) -> None:
        """Record a response."""
        self.down_until_ms = float("-inf")
        self._backoff_ms = MIN_BACKOFF_MS
