"""Packs the pieces of all answers to one entry host into few messages."""

from __future__ import annotations

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, RequestId
from ..protocol.requests import End, Head, PieceBatch, Pieces

__all__ = ["PiecePacker"]

FLUSH_INTERVAL_MS = 4.0


class PiecePacker:
    """Collects answers for one connection and sends them together.

    Of each answer the head goes first, then its pieces in order, then its end. Once
    the connection is lost, whatever is added is dropped, so that an upstream's call
    goes on undisturbed.
    """

    def __init__(self, connection: Connection):
        self._connection = connection
        self._heads: list[Head] = []
        self._batches: dict[int, PieceBatch] = {}
        self._ends: list[End] = []
        self._wake = trio.Event()
        self._is_closed = False

    def head(self, head: Head) -> None:
        """Add an answer's head."""
        self._heads.append(head)
        self._wake.set()

    def add(self, request_id: RequestId, piece_number: int, piece: bytes) -> None:
        """Add the next piece of an answer."""
        if self._is_closed:
            return
        batch = self._batches.get(request_id.sequence)
        if batch is None:
            batch = PieceBatch(request_id.sequence, piece_number, [])
            self._batches[request_id.sequence] = batch
        batch.pieces.append(piece)
        self._wake.set()

    def end(self, end: End) -> None:
        """Add an answer's end."""
        self._ends.append(end)
        self._wake.set()

    def close(self) -> None:
        """Drop what was collected and stop sending."""
        self._is_closed = True
        self._wake.set()

    async def run(self) -> None:
        """Send what was collected, until closed or the connection is lost."""
        try:
            while not self._is_closed:
                await self._wake.wait()
                self._wake = trio.Event()
                await self._flush()
                await trio.sleep(FLUSH_INTERVAL_MS / 1000)
        except PeerUnreachable:
            self._is_closed = True

    async def _flush(self) -> None:
        heads, self._heads = self._heads, []
        batches, self._batches = self._batches, {}
        ends, self._ends = self._ends, []
        if self._is_closed:
            return
        for head in heads:
            await self._connection.notify(head)
        if batches:
            start_id = self._connection.identity.start_id
            await self._connection.notify(Pieces(start_id, list(batches.values())))
        for end in ends:
            await self._connection.notify(end)
