"""Batches the pieces of all responses to one entry host into few messages."""

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

log = get_logger("batching")


class ResponseBatcher:
    """Collects responses for one connection and sends them together.

    Of each response the head is sent first, then its pieces in order, then its end.
    Once the connection is lost, everything added is dropped, so that the call to the
    upstream continues without an error.

    Parameters
    ----------
    connection : Connection
        Where responses are sent.
    due_report : callable
        Returns the load report to piggyback, or None if none is due.
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
        self._flush_requested = trio.Event()
        self._has_room = trio.Event()
        self._is_closed = False
        self._is_sending = False

    @property
    def is_idle(self) -> bool:
        """Whether everything added is sent, or the connection is closed."""
        is_empty = not (self._heads or self._batches or self._ends)
        return self._is_closed or (is_empty and not self._is_sending)

    def add_head(self, head: Head) -> None:
        """Add the head of a response; it is sent with the piece or end that follows."""
        self._heads.append(head)

    async def wait_for_room(self) -> None:
        """Wait until a piece may be added.

        A connection that accepts no data for `WRITE_TIMEOUT_MS` while the buffer is
        full is closed. Because of the lost connection, its entry host then determines
        the outcomes of its attempts.
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

    def add_piece(
        self, request_id: RequestId, piece_number: int, piece: bytes, is_stream: bool
    ) -> None:
        """Add the next piece of a response.

        A piece of an event stream is sent at once. Other pieces are buffered until the
        response ends or the buffer exceeds `FLUSH_THRESHOLD_BYTES`.
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
            self._flush_requested.set()

    def add_end(self, end: End) -> None:
        """Add the end of a response."""
        self._ends.append(end)
        self._flush_requested.set()

    def close(self) -> None:
        """Drop what is buffered and stop sending."""
        self._is_closed = True
        self._flush_requested.set()
        self._has_room.set()

    async def run(self) -> None:
        """Send what is buffered, until closed or until the connection is lost.

        After an idle time the first message is sent at once; under load one is sent
        every `FLUSH_INTERVAL_MS`.
        """
        next_flush_at = trio.current_time()
        try:
            while not self._is_closed:
                await self._flush_requested.wait()
                await trio.sleep_until(next_flush_at)
                self._flush_requested = trio.Event()
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
