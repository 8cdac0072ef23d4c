"""Assembles the response of one attempt from messages that may be faulty."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from ..protocol import RequestId
from ..protocol.requests import End, Head

__all__ = ["AttemptStream", "Chunk", "StreamEvent", "StreamFailure"]

MAX_BUFFERED_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive pieces of a response, joined; ``last_piece`` is the last of them."""

    data: bytes
    n_pieces: int
    last_piece: bytes


@dataclass(frozen=True, slots=True)
class StreamFailure:
    """The response can not be completed; the attempt may have run.

    Attributes
    ----------
    is_final : bool
        Whether another attempt would fail in the same way.
    """

    reason: str
    is_final: bool = False


StreamEvent = Head | Chunk | End | StreamFailure


class AttemptStream:
    """The response of one attempt, as it arrives.

    Wrong, late and duplicate messages are dropped. A gap, a piece before the head, or
    an end whose number of pieces differs from those received fails the stream.

    Attributes
    ----------
    n_pieces : int
        Pieces of the whole response received so far, including those of earlier
        attempts.
    """

    def __init__(self, request_id: RequestId, n_pieces_received: int = 0):
        self.request_id = request_id
        self.n_pieces = n_pieces_received
        self._head: Head | None = None
        self._has_head = False
        self._pieces: list[bytes] = []
        self._n_buffered_bytes = 0
        self._final_event: End | StreamFailure | None = None
        self._event_arrived = trio.Event()

    @property
    def has_end(self) -> bool:
        """Whether the end has been received from the agent."""
        return isinstance(self._final_event, End)

    async def next_event(self) -> StreamEvent:
        """Wait for and return the head, all pieces received since, or the end."""
        while True:
            event = self._take()
            if event is not None:
                return event
            self._event_arrived = trio.Event()
            await self._event_arrived.wait()

    def put_head(self, head: Head) -> None:
        """Process the head received from the agent."""
        if self._final_event is None and not self._has_head:
            self._has_head = True
            self._head = head
            self._event_arrived.set()

    def put_pieces(self, first_piece: int, pieces: list[bytes]) -> None:
        """Process pieces received from the agent."""
        if self._final_event is not None:
            return
        if not self._has_head:
            self.fail("a piece came before the head")
            return
        if first_piece > self.n_pieces:
            self.fail("a piece is missing")
            return
        new_pieces = pieces[self.n_pieces - first_piece :]
        self.n_pieces += len(new_pieces)
        self._pieces += new_pieces
        self._n_buffered_bytes += sum(map(len, new_pieces))
        self._event_arrived.set()
        if self._n_buffered_bytes > MAX_BUFFERED_BYTES:
            self.fail("the caller reads too slowly", is_final=True)

    def put_end(self, end: End) -> None:
        """Process the end received from the agent."""
        if self._final_event is not None:
            return
        if not end.error and (end.n_pieces != self.n_pieces or not self._has_head):
            self.fail("the answer is short")
            return
        self._final_event = end
        self._event_arrived.set()

    def fail(self, reason: str, is_final: bool = False) -> None:
        """Fail the stream, unless it has ended."""
        if self._final_event is None:
            self._final_event = StreamFailure(reason, is_final)
            self._event_arrived.set()

    def _take(self) -> StreamEvent | None:
        if self._head is not None:
            head, self._head = self._head, None
            return head
        if self._pieces:
            pieces, self._pieces = self._pieces, []
            self._n_buffered_bytes = 0
            return Chunk(b"".join(pieces), len(pieces), pieces[-1])
        return self._final_event
