"""The limit of requests per second that an upstream names, as far as it is known.

Responses overtake each other on their way, and other hosts report what they have seen
some time later. So each observation is kept with the time within which the upstream
sent it, and one that may be older can lower the limit but not raise it.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NamedLimit"]


class NamedLimit(NamedTuple):
    """A limit, and when the upstream named it.

    Attributes
    ----------
    limit_per_s : float
        Infinite if the upstream names none.
    earliest_ms, latest_ms : float
        The response that named it was sent between these times.
    """

    limit_per_s: float
    earliest_ms: float
    latest_ms: float

    def update(self, other: NamedLimit) -> NamedLimit:
        """Return what is known after another observation of the same upstream.

        Examples
        --------
        >>> known = NamedLimit(3.0, earliest_ms=100.0, latest_ms=150.0)
        >>> known.update(NamedLimit(8.0, 120.0, 160.0)).limit_per_s
        3.0
        >>> known.update(NamedLimit(8.0, 150.0, 160.0)).limit_per_s
        8.0
        >>> known.update(NamedLimit(1.0, 120.0, 160.0)).limit_per_s
        1.0
        """
        if other.latest_ms < self.earliest_ms:
            return self
        if other.limit_per_s == self.limit_per_s:
            return max(self, other, key=lambda named: named.latest_ms)
        is_later = other.earliest_ms >= self.latest_ms
        return other if is_later or other.limit_per_s < self.limit_per_s else self
