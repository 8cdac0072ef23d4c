"""Packs the pieces of all answers to one entry host into few messages."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, RequestId
from ..protocol.reports import AgentReport
from ..protocol.requests import End, Head, PieceBatch, Pieces
from ..telemetry import get_logger

__all__ = ["ResponseBatcher"]

FLUSH_INTERVAL_MS = 4.0
FLUSH_THRESHOLD_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 1024 * 1024
WRITE_TIMEOUT_MS = 5_000.0

log = get_logger("packing")


class ResponseBatcher:
    """Collects answers for one connection and sends them together.

    Of each answer the head goes first, then its pieces in order, then its end. Once
    the connection is lost, whatever is added is dropped, so that an upstream's call
    goes on undisturbed.

    Parameters
    ----------
    connection : Connection
        Where answers go.
    due_report : callable
        Returns the load report to send along, None if none is due.
    """

    def __init__(
        self,
        connection: Connection,
        due_report: Callable[[Connection], AgentReport | None],
    ):
        self._connection = connection
        self._due_report = due_report
        self._heads: list[Head] = []
        self._batches: dict[int, PieceBatch] = {}
        self._ends: list[End] = []
        self._n_bytes = 0
        self._wake = trio.Event()
        self._has_room = trio.Event()
        self._is_closed = False
        self._is_sending = False

    @property
    def is_idle(self) -> bool:
        """Whether all that was added is sent, or can't be sent any more."""
        is_empty = not (self._heads or self._batches or self._ends)
        return self._is_closed or (is_empty and not self._is_sending)

    def head(self, head: Head) -> None:
        """Add an answer's head; it is sent with what comes after it."""
        self._heads.append(head)

    async def wait_for_room(self) -> None:
        """Return once a piece may be added.

        A connection that takes nothing for `STORE_TIMEOUT_MS` while the buffer is full
        is closed: its entry host learns from the cut what became of its requests.
        """
        if self._n_bytes < MAX_BUFFERED_BYTES:
            return
        with trio.move_on_after(WRITE_TIMEOUT_MS / 1000):
            while self._n_bytes >= MAX_BUFFERED_BYTES and not self._is_closed:
                await self._has_room.wait()
            return
        peer = self._connection.identity.name
        log.warning("connection.too_slow", peer=peer, n_bytes=self._n_bytes)
        self.close()
        await self._connection.close()

    def add(
        self, request_id: RequestId, piece_number: int, piece: bytes, is_stream: bool
    ) -> None:
        """Add the next piece of an answer.

        A piece of a stream is sent at once. Others wait for the answer's end, unless
        they become many.
        """
        if self._is_closed:
            return
        batch = self._batches.get(request_id.sequence)
        if batch is None:
            batch = PieceBatch(request_id.sequence, piece_number, [])
            self._batches[request_id.sequence] = batch
        batch.pieces.append(piece)
        self._n_bytes += len(piece)
        if is_stream or self._n_bytes > FLUSH_THRESHOLD_BYTES:
            self._wake.set()

    def end(self, end: End) -> None:
        """Add an answer's end."""
        self._ends.append(end)
        self._wake.set()

    def close(self) -> None:
        """Drop what was collected and stop sending."""
        self._is_closed = True
        self._wake.set()
        self._has_room.set()

    async def run(self) -> None:
        """Send what was collected, until closed or the connection is lost.

        The first message after a pause goes out at once; under load one goes out
        each `FLUSH_INTERVAL_MS`.
        """
        next_flush_at = trio.current_time()
        try:
            while not self._is_closed:
                await self._wake.wait()
                await trio.sleep_until(next_flush_at)
                self._wake = trio.Event()
                next_flush_at = trio.current_time() + FLUSH_INTERVAL_MS / 1000
                await self._flush()
        except PeerUnreachable:
            self.close()

    async def _flush(self) -> None:
        heads, self._heads = self._heads, []
        batches, self._batches = self._batches, {}
        ends, self._ends = self._ends, []
        self._n_bytes = 0
        self._has_room.set()
        self._has_room = trio.Event()
        if self._is_closed:
            return
        start_id = self._connection.identity.start_id
        pieces = [Pieces(start_id, list(batches.values()))] if batches else []
        report = self._due_report(self._connection)
        reports = [report] if report is not None else []
        self._is_sending = True
        try:
            await self._connection.notify_all([*heads, *pieces, *ends, *reports])
        finally:
            self._is_sending = False
