"""Counts what streams hold of an engine's memory for attention state.

A stream holds its prompt and each token it has made until it ends, and how long it
will be isn't known. Too many at once overflow the memory: the engine evicts a stream
and computes it anew. A stream is admitted while what all hold now, with its prompt,
stays below a bound; the headroom above is for what they make until some have ended.
"""

from __future__ import annotations

__all__ = ["HEADROOM_SHARE", "KvMemory", "KvReservation"]

HEADROOM_SHARE = 0.2


class KvMemory:
    """The memory of one engine.

    Parameters
    ----------
    limit_tokens : int
        Tokens that the engine holds at once; 0 for no limit.
    headroom_share : float
        Part of it that is kept free when a stream is admitted.

    Examples
    --------
    >>> memory = KvMemory(limit_tokens=100, headroom_share=0.2)
    >>> first = memory.take(50)
    >>> first.grow(10)
    >>> memory.has_room(20), memory.has_room(21)
    (True, False)
    >>> first.release()
    >>> memory.n_used_tokens
    0
    """

    def __init__(self, limit_tokens: int, headroom_share: float = HEADROOM_SHARE):
        self.limit_tokens = limit_tokens
        self.n_used_tokens = 0
        self._bound = (1 - headroom_share) * limit_tokens
        self._n_shares = 0

    def has_room(self, n_tokens: int, *, use_headroom: bool = False) -> bool:
        """Whether a prompt may be admitted; always if nothing is held.

        Parameters
        ----------
        n_tokens : int
        use_headroom : bool
            Whether it may take what is kept free, as urgent work does.
        """
        if not self.limit_tokens or not self._n_shares:
            return True
        bound = self.limit_tokens if use_headroom else self._bound
        return self.n_used_tokens + n_tokens <= bound

    def take(self, n_tokens: int) -> KvReservation:
        """Hold a prompt's tokens until the share is released."""
        self._n_shares += 1
        self.n_used_tokens += n_tokens
        return KvReservation(self, n_tokens)

    def _release(self, n_tokens: int) -> None:
        self._n_shares -= 1
        self.n_used_tokens -= n_tokens


class KvReservation:
    """What one stream holds.

    Attributes
    ----------
    n_tokens : int
        Tokens of its prompt and those made.
    """

    def __init__(self, memory: KvMemory, n_tokens: int):
        self.n_tokens = n_tokens
        self._memory = memory

    def grow(self, n_tokens: int = 1) -> None:
        """Count tokens that the stream has made."""
        self.n_tokens += n_tokens
        self._memory.n_used_tokens += n_tokens

    def release(self) -> None:
        """Give back what the stream holds."""
        self._memory._release(self.n_tokens)
        self.n_tokens = 0
