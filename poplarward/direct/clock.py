"""A clock that continues while the host is suspended.

trio's clock stops while a host is suspended. Callers' deadlines and the age of a
configuration do not stop, so they are measured with this clock.
"""

from __future__ import annotations

import time

__all__ = ["elapsed_ms", "now_ms"]


def now_ms() -> float:
    """Return milliseconds since the host booted, including time suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def elapsed_ms(since_ms: float) -> float:
    """Return the milliseconds elapsed since a time of `now_ms`."""
    return now_ms() - since_ms
