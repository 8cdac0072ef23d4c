"""Packs the pieces of all answers to one entry host into few messages."""

from __future__ import annotations

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, RequestId
from ..protocol.requests import End, PieceBatch, Pieces

__all__ = ["PiecePacker"]

FLUSH_INTERVAL_MS = 4.0


class PiecePacker:
    """Collects pieces for one connection and sends them together.

    Pieces of one answer keep their order, and an answer's end goes after its pieces.
    """

    def __init__(self, connection: Connection):
        self._connection = connection
        self._batches: dict[int, PieceBatch] = {}
        self._ends: list[End] = []
        self._wake = trio.Event()

    def add(self, request_id: RequestId, piece_number: int, piece: bytes) -> None:
        """Add the next piece of an answer."""
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

    async def run(self) -> None:
        """Send what was collected, until the connection is lost."""
        try:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                await self._flush()
                await trio.sleep(FLUSH_INTERVAL_MS / 1000)
        except PeerUnreachable:
            return

    async def _flush(self) -> None:
        batches = list(self._batches.values())
        ends = self._ends
        self._batches = {}
        self._ends = []
        if batches:
            start_id = self._connection.identity.start_id
            await self._connection.notify(Pieces(start_id, batches))
        for end in ends:
            await self._connection.notify(end)
