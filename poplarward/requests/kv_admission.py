"""Admits streams by the space that they take in an engine's KV cache.

A stream occupies the cache with its prompt and each generated token until it ends, and
its final length is not known. If too many streams run at once, the cache overflows, and
the engine evicts a stream and recomputes it. A stream is therefore admitted only while
the tokens of all streams, including its prompt, stay below a limit. The headroom above
the limit is for the tokens that they generate until some of them have ended.
"""

from __future__ import annotations

__all__ = ["HEADROOM_SHARE", "KvMemory", "KvReservation"]

HEADROOM_SHARE = 0.2


class KvMemory:
    """The KV cache of one engine.

    Parameters
    ----------
    limit_tokens : int
        Tokens that the cache holds at once; 0 for no limit.
    headroom_share : float
        Fraction of the cache that is kept free when a stream is admitted.

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
        self._limit_with_headroom = (1 - headroom_share) * limit_tokens
        self._n_reservations = 0

    def has_room(self, n_tokens: int, *, use_headroom: bool = False) -> bool:
        """Whether a prompt may be admitted; always true for an empty cache.

        Parameters
        ----------
        n_tokens : int
        use_headroom : bool
            Whether it may take the headroom, as urgent requests may.
        """
        if not self.limit_tokens or not self._n_reservations:
            return True
        limit = self.limit_tokens if use_headroom else self._limit_with_headroom
        return self.n_used_tokens + n_tokens <= limit

    def take(self, n_tokens: int) -> KvReservation:
        """Reserve a prompt's tokens until the reservation is released."""
        self._n_reservations += 1
        self.n_used_tokens += n_tokens
        return KvReservation(self, n_tokens)

    def _release(self, n_tokens: int) -> None:
        self._n_reservations -= 1
        self.n_used_tokens -= n_tokens


class KvReservation:
    """The tokens of one stream in the KV cache.

    Attributes
    ----------
    n_tokens : int
        Tokens of its prompt and generated tokens.
    """

    def __init__(self, memory: KvMemory, n_tokens: int):
        self.n_tokens = n_tokens
        self._memory = memory

    def grow(self, n_tokens: int = 1) -> None:
        """Add tokens that the stream has generated."""
        self.n_tokens += n_tokens
        self._memory.n_used_tokens += n_tokens

    def release(self) -> None:
        """Release the tokens of the stream."""
        self._memory._release(self.n_tokens)
        self.n_tokens = 0
