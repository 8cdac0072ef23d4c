"""Limits the bytes that messages in progress hold in memory together."""

from __future__ import annotations

from ..errors import BufferFull

__all__ = ["BufferBudget", "BufferShare"]

UNCOUNTED_BYTES = 65_536  # Usual responses are smaller.


class BufferBudget:
    """Limits the bytes that messages in progress hold in memory together.

    The first bytes of each are not counted, so that usual messages always find room.

    Parameters
    ----------
    max_bytes : int
    n_uncounted_bytes : int
        Of each message.

    Examples
    --------
    >>> budget = BufferBudget(1_000)
    >>> share = BufferShare(budget)
    >>> share.add(UNCOUNTED_BYTES + 400)
    >>> budget.n_free_bytes
    600
    >>> share.clear()
    >>> budget.n_free_bytes
    1000
    """

    def __init__(self, max_bytes: int, n_uncounted_bytes: int = UNCOUNTED_BYTES):
        self.max_bytes = max_bytes
        self.n_free_bytes = max_bytes
        self.n_uncounted_bytes = n_uncounted_bytes


class BufferShare:
    """The part of a `BufferBudget` that one message holds, until it is cleared.

    Attributes
    ----------
    n_counted_bytes : int
    """

    def __init__(self, budget: BufferBudget):
        self.n_counted_bytes = 0
        self._budget = budget
        self._n_bytes = 0

    @property
    def is_only_one(self) -> bool:
        """Whether no other share holds counted bytes."""
        budget = self._budget
        return budget.n_free_bytes + self.n_counted_bytes >= budget.max_bytes

    def add(self, n_bytes: int) -> None:
        """Count further bytes; raises `BufferFull` if there is no room for them."""
        budget = self._budget
        n_total = self._n_bytes + n_bytes
        n_more = max(0, n_total - budget.n_uncounted_bytes) - self.n_counted_bytes
        if n_more > budget.n_free_bytes:
            raise BufferFull(f"no memory for a message of {n_total} bytes")
        self._n_bytes = n_total
        budget.n_free_bytes -= n_more
        self.n_counted_bytes += n_more

    def clear(self) -> None:
        """Give back everything."""
        self._budget.n_free_bytes += self.n_counted_bytes
        self._n_bytes = self.n_counted_bytes = 0
