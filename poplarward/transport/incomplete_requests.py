"""Requests that a server is still reading, and the memory of their bodies."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..errors import BufferFull
from .buffer_budget import BufferShare

__all__ = ["UNCOUNTED_BODY_BYTES", "IncompleteRequest", "IncompleteRequests"]

UNCOUNTED_BODY_BYTES = 8_192  # Of each body; usual ones are shorter.


class IncompleteRequest:
    """A request that is being read.

    Attributes
    ----------
    body : bytearray
        What was received of the body.
    is_dropped : bool
        Whether the request was dropped in favour of others. It must not be served then,
        as its body is gone.
    share : BufferShare
        Counts the bytes of the body.

    Parameters
    ----------
    share : BufferShare
    scope : trio.CancelScope
        Cancelled when the request is dropped.
    """

    def __init__(self, share: BufferShare, scope: trio.CancelScope):
        self.body = bytearray()
        self.is_dropped = False
        self.share = share
        self._scope = scope

    def drop(self) -> None:
        """Free the memory of the body, and have the reading cancelled."""
        self.is_dropped = True
        self.body.clear()
        self.share.clear()
        self._scope.cancel()


class IncompleteRequests:
    """The requests that a server is reading, in the order in which they began.

    A caller that stops short of the end of its request keeps memory and a connection.
    Where either is needed, the request that has been incomplete for longest is dropped.

    Examples
    --------
    >>> from .buffer_budget import BufferBudget
    >>> budget = BufferBudget(1_000, n_uncounted_bytes=0)
    >>> requests = IncompleteRequests()
    >>> with requests.reading(BufferShare(budget), trio.CancelScope()) as first:
    ...     requests.add(first, bytes(900))
    ...     with requests.reading(BufferShare(budget), trio.CancelScope()) as second:
    ...         requests.add(second, bytes(200)), first.is_dropped
    True
    (True, True)
    """

    def __init__(self) -> None:
        self._requests: dict[IncompleteRequest, None] = {}

    @contextmanager
    def reading(
        self, share: BufferShare, scope: trio.CancelScope
    ) -> Iterator[IncompleteRequest]:
        """Return a context in which a request is read."""
        request = IncompleteRequest(share, scope)
        self._requests[request] = None
        try:
            yield request
        finally:
            self._requests.pop(request, None)

    def add(self, request: IncompleteRequest, data: bytes) -> bool:
        """Add to a request's body; returns False if it was dropped or has no room.

        A request that is the only one to hold counted memory always finds room.
        """
        if request.is_dropped:
            return False
        while True:
            try:
                request.share.add(len(data))
                break
            except BufferFull:
                if request.share.is_only_one:
                    break
                longest = next(
                    r
                    for r in self._requests
                    if r is request or r.share.n_counted_bytes > 0
                )
                if longest is request:
                    return False
                self._drop(longest)
        request.body += data
        return True

    def drop_longest(self) -> bool:
        """Drop the request that has been incomplete for longest, if there is one."""
        longest = next(iter(self._requests), None)
        if longest is not None:
            self._drop(longest)
        return longest is not None

    def _drop(self, request: IncompleteRequest) -> None:
        del self._requests[request]
        request.drop()
