"""Sends attempts to agents and hands each answer to the attempt it belongs to."""

from __future__ import annotations

import itertools

import trio

from ..errors import CallRefused, PeerTimeout, PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.attempts import AttemptQuery
from ..protocol.requests import Bar, Cancel, End, Head, Outcome, Pieces, Submit
from ..telemetry import get_logger
from .streams import AttemptStream

__all__ = ["Relay"]

BAR_PAUSE_MS = 100.0
QUERY_TIMEOUT_MS = 1_000.0

log = get_logger("relay")


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

    @property
    def n_streams(self) -> int:
        """Attempts whose answers are awaited."""
        return len(self._streams)

    def new_request_id(self) -> RequestId:
        """Return an identity that no other attempt has."""
        identity = self._peers.identity
        return RequestId(identity.name, identity.start_id, next(self._sequences))

    async def submit(self, connection: Connection, submit: Submit) -> AttemptStream:
        """Send an attempt to an agent; a failure breaks the stream returned."""
        stream = AttemptStream(submit.request_id, submit.n_pieces_received)
        self._streams[submit.request_id.sequence] = (connection, stream)
        try:
            await connection.notify(submit)
        except PeerUnreachable:
            # What was written before the connection closed may have arrived.
            stream.fail("the connection to the agent was lost")
        except BaseException:
            self.discard(stream)
            raise
        return stream

    async def cancel(self, stream: AttemptStream) -> None:
        """Tell the agent that the answer is not wanted any more."""
        held = self._streams.get(stream.request_id.sequence)
        if held is None:
            return
        try:
            await held[0].notify(Cancel(stream.request_id))
        except PeerUnreachable as error:
            log.info("cancel.failed", request=str(stream.request_id), reason=str(error))

    async def is_in_flight(self, stream: AttemptStream) -> bool:
        """Ask the agent whether it still has an attempt in hand."""
        connection, _ = self._streams[stream.request_id.sequence]
        query = AttemptQuery(stream.request_id)
        try:
            return (await connection.call(query, QUERY_TIMEOUT_MS)).is_held
        except (PeerTimeout, PeerUnreachable, CallRefused):
            return False

    async def bar(
        self, used: Connection, request_id: RequestId, timeout_ms: float
    ) -> Outcome:
        """Learn what became of an attempt, and that it never start if it has not.

        Dials again until the agent answers or the time is over. `used` is the
        connection that carried the attempt: an agent that has restarted since can
        not tell what its earlier start ran, so the outcome is then unknown.
        """
        expires_at = trio.current_time() + timeout_ms / 1000
        with trio.move_on_at(expires_at):
            while True:
                try:
                    connection = await self._peers.connection(used.identity.address)
                    if connection.identity.start_id != used.identity.start_id:
                        return Outcome.UNKNOWN
                    left_ms = (expires_at - trio.current_time()) * 1000
                    bar = Bar(request_id, wait_ms=int(left_ms / 2))
                    return (await connection.call(bar, left_ms)).outcome
                except (PeerTimeout, PeerUnreachable, CallRefused) as error:
                    log.info("bar.failed", request=str(request_id), reason=str(error))
                await trio.sleep(BAR_PAUSE_MS / 1000)
        return Outcome.UNKNOWN

    def discard(self, stream: AttemptStream) -> None:
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
