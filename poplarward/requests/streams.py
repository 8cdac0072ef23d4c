"""Puts the answer to one attempt together from messages that may be wrong."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from ..protocol import RequestId
from ..protocol.requests import End, Head

__all__ = ["AttemptStream", "Chunk", "StreamEvent", "StreamFailure"]

MAX_BUFFERED_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive pieces of an answer, joined; ``last_piece`` is the last of them."""

    data: bytes
    n_pieces: int
    last_piece: bytes


@dataclass(frozen=True, slots=True)
class StreamFailure:
    """The answer can not be completed; the attempt may have run.

    Attributes
    ----------
    is_final : bool
        Whether another attempt would break off likewise.
    """

    reason: str
    is_final: bool = False


StreamEvent = Head | Chunk | End | StreamFailure


class AttemptStream:
    """The answer to one attempt, as it arrives.

    Wrong, late and doubled messages are dropped. A gap, a piece before the head, or
    an end that counts other pieces than arrived breaks the stream.

    Attributes
    ----------
    n_pieces : int
        Pieces of the whole answer received so far, those of earlier attempts
        included.
    """

    def __init__(self, request_id: RequestId, n_pieces_received: int = 0):
        self.request_id = request_id
        self.n_pieces = n_pieces_received
        self._head: Head | None = None
        self._has_head = False
        self._pieces: list[bytes] = []
        self._n_buffered_bytes = 0
        self._last: End | StreamFailure | None = None
        self._arrived = trio.Event()

    @property
    def has_end(self) -> bool:
        """Whether the agent has told how the attempt ended."""
        return isinstance(self._last, End)

    async def next(self) -> StreamEvent:
        """Return the head, all pieces that have arrived since, or the end."""
        while True:
            event = self._take()
            if event is not None:
                return event
            self._arrived = trio.Event()
            await self._arrived.wait()

    def put_head(self, head: Head) -> None:
        """Take the head from the agent."""
        if self._last is None and not self._has_head:
            self._has_head = True
            self._head = head
            self._arrived.set()

    def put_pieces(self, first_piece: int, pieces: list[bytes]) -> None:
        """Take pieces from the agent."""
        if self._last is not None:
            return
        if not self._has_head:
            self.fail("a piece came before the head")
            return
        if first_piece > self.n_pieces:
            self.fail("a piece is missing")
            return
        new = pieces[self.n_pieces - first_piece :]
        self.n_pieces += len(new)
        self._pieces += new
        self._n_buffered_bytes += sum(map(len, new))
        self._arrived.set()
        if self._n_buffered_bytes > MAX_BUFFERED_BYTES:
            self.fail("the caller reads too slowly", is_final=True)

    def put_end(self, end: End) -> None:
        """Take the end from the agent."""
        if self._last is not None:
            return
        if not end.error and (end.n_pieces != self.n_pieces or not self._has_head):
            self.fail("the answer is short")
            return
        self._last = end
        self._arrived.set()

    def fail(self, reason: str, is_final: bool = False) -> None:
        """Break the stream, if it has not ended."""
        if self._last is None:
            self._last = StreamFailure(reason, is_final)
            self._arrived.set()

    def _take(self) -> StreamEvent | None:
        if self._head is not None:
            head, self._head = self._head, None
            return head
        if self._pieces:
            pieces, self._pieces = self._pieces, []
            self._n_buffered_bytes = 0
            return Chunk(b"".join(pieces), len(pieces), pieces[-1])
        return self._last
