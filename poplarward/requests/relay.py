"""Runs attempts at agents and puts their answers together, piece by piece."""

from __future__ import annotations

import itertools
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.requests import Cancel, End, Head, Outcome, Pieces, Submit
from ..telemetry import get_logger

__all__ = ["AttemptStream", "Relay"]

MAX_BUFFERED_BYTES = 1024 * 1024

log = get_logger("relay")


@dataclass(frozen=True, slots=True)
class Piece:
    """The next piece of an answer."""

    data: bytes


class AttemptStream:
    """The answer to one attempt, as it arrives.

    Wrong, late and doubled pieces are dropped. A gap, or an end that counts more
    pieces than arrived, ends the stream with an error.
    """

    def __init__(self, request_id: RequestId, n_pieces_received: int):
        self.request_id = request_id
        self.n_pieces = n_pieces_received
        self._send, self._receive = trio.open_memory_channel[Head | Piece | End](
            math.inf
        )
        self._n_buffered_bytes = 0
        self._ended = False

    async def events(self) -> AsyncIterator[Head | Piece | End]:
        """Yield the head, the pieces and the end."""
        async for event in self._receive:
            if isinstance(event, Piece):
                self._n_buffered_bytes -= len(event.data)
            yield event
            if isinstance(event, End):
                return

    def put_head(self, head: Head) -> None:
        """Take the head from the agent."""
        if not self._ended:
            self._send.send_nowait(head)

    def put_pieces(self, first_piece: int, pieces: list[bytes]) -> None:
        """Take pieces from the agent."""
        for number, data in enumerate(pieces, start=first_piece):
            if self._ended or number < self.n_pieces:
                continue
            if number > self.n_pieces:
                self.fail("a piece is missing")
                return
            self.n_pieces += 1
            self._n_buffered_bytes += len(data)
            self._send.send_nowait(Piece(data))
        if self._n_buffered_bytes > MAX_BUFFERED_BYTES:
            self.fail("the caller reads too slowly")

    def put_end(self, end: End) -> None:
        """Take the end from the agent."""
        if self._ended:
            return
        if end.n_pieces != self.n_pieces and not end.error:
            self.fail("the answer is short")
            return
        self._ended = True
        self._send.send_nowait(end)

    def fail(self, reason: str) -> None:
        """End the stream with an error; the attempt may have run."""
        if not self._ended:
            self._ended = True
            end = End(self.request_id, Outcome.UNKNOWN, self.n_pieces, reason)
            self._send.send_nowait(end)


class Relay:
    """The attempts that an entry host has at agents.

    Parameters
    ----------
    peers : Peers
        Connections to agents.
    """

    def __init__(self, peers: Peers):
        self._peers = peers
        self._sequences = itertools.count(1)
        self._streams: dict[int, tuple[Connection, AttemptStream]] = {}
        peers.register(Head, self._on_head)
        peers.register(Pieces, self._on_pieces)
        peers.register(End, self._on_end)
        peers.on_lost.append(self._on_lost)

    def new_request_id(self) -> RequestId:
        """Return an identity that no other attempt has."""
        identity = self._peers.identity
        return RequestId(identity.name, identity.start_id, next(self._sequences))

    async def submit(self, connection: Connection, submit: Submit) -> AttemptStream:
        """Send an attempt to an agent; raises `PeerUnreachable`."""
        stream = AttemptStream(submit.request_id, submit.n_pieces_received)
        self._streams[submit.request_id.sequence] = (connection, stream)
        try:
            await connection.notify(submit)
        except BaseException:
            self.forget(stream)
            raise
        return stream

    async def cancel(self, stream: AttemptStream) -> None:
        """Tell the agent that the caller has left."""
        held = self._streams.get(stream.request_id.sequence)
        if held is None:
            return
        try:
            await held[0].notify(Cancel(stream.request_id))
        except PeerUnreachable as error:
            log.info("cancel.failed", request=str(stream.request_id), reason=str(error))

    def forget(self, stream: AttemptStream) -> None:
        """Drop whatever still arrives for an attempt."""
        self._streams.pop(stream.request_id.sequence, None)

    def _find(
        self, connection: Connection, request_id: RequestId
    ) -> AttemptStream | None:
        held = self._streams.get(request_id.sequence)
        if held is None or held[0] is not connection:
            return None
        return held[1] if held[1].request_id == request_id else None

    async def _on_head(self, connection: Connection, head: Head) -> None:
        stream = self._find(connection, head.request_id)
        if stream is not None:
            stream.put_head(head)

    async def _on_pieces(self, connection: Connection, pieces: Pieces) -> None:
        if pieces.start_id != self._peers.identity.start_id:
            return
        for batch in pieces.batches:
            held = self._streams.get(batch.sequence)
            if held is not None and held[0] is connection:
                held[1].put_pieces(batch.first_piece, batch.pieces)

    async def _on_end(self, connection: Connection, end: End) -> None:
        stream = self._find(connection, end.request_id)
        if stream is not None:
            stream.put_end(end)

    def _on_lost(self, connection: Connection) -> None:
        for holder, stream in list(self._streams.values()):
            if holder is connection:
                stream.fail("the connection to the agent was lost")
