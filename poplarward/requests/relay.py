"""Sends attempts to agents and passes each response to the stream of its attempt."""

from __future__ import annotations

import itertools

import trio

from ..errors import CallRefused, PeerTimeout, PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.attempts import AttemptQuery
from ..protocol.requests import BlockAttempt, Cancel, End, Head, Outcome, Pieces, Submit
from ..telemetry import get_logger
from .streams import AttemptStream

__all__ = ["Relay"]

BAR_BACKOFF_MS = 100.0
QUERY_TIMEOUT_MS = 1_000.0

log = get_logger("relay")


class Relay:
    """The attempts of an entry host that are in flight at agents.

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
        """Attempts whose response is not complete yet."""
        return len(self._streams)

    def new_request_id(self) -> RequestId:
        """Return a unique identity for an attempt."""
        identity = self._peers.identity
        return RequestId(identity.name, identity.start_id, next(self._sequences))

    async def submit(self, connection: Connection, submit: Submit) -> AttemptStream:
        """Send an attempt to an agent; on failure the returned stream has failed."""
        stream = AttemptStream(submit.request_id, submit.n_pieces_received)
        self._streams[submit.request_id.sequence] = (connection, stream)
        try:
            await connection.notify(submit)
        except PeerUnreachable:
            # The message may have arrived before the connection was closed.
            stream.fail("the connection to the agent was lost")
        except BaseException:
            self.discard(stream)
            raise
        return stream

    async def cancel(self, stream: AttemptStream) -> None:
        """Notify the agent that the response is no longer needed."""
        entry = self._streams.get(stream.request_id.sequence)
        if entry is None:
            return
        try:
            await entry[0].notify(Cancel(stream.request_id))
        except PeerUnreachable as error:
            log.info("cancel.failed", request=str(stream.request_id), reason=str(error))

    async def is_in_flight(self, stream: AttemptStream) -> bool:
        """Ask the agent whether an attempt is still in flight there."""
        connection, _ = self._streams[stream.request_id.sequence]
        query = AttemptQuery(stream.request_id)
        try:
            return (await connection.call(query, QUERY_TIMEOUT_MS)).is_in_flight
        except (PeerTimeout, PeerUnreachable, CallRefused):
            return False

    async def bar(
        self, used: Connection, request_id: RequestId, timeout_ms: float
    ) -> Outcome:
        """Return the outcome of an attempt; one not started yet will never start.

        Reconnects until the agent replies or the time-out ends. `used` is the
        connection on which the attempt was sent. An agent that has restarted since
        does not know what it ran before, so the outcome is then unknown.
        """
        timeout_at = trio.current_time() + timeout_ms / 1000
        with trio.move_on_at(timeout_at):
            while True:
                try:
                    connection = await self._peers.connection(used.identity.address)
                    if connection.identity.start_id != used.identity.start_id:
                        return Outcome.UNKNOWN
                    remaining_ms = (timeout_at - trio.current_time()) * 1000
                    bar = BlockAttempt(request_id, wait_ms=int(remaining_ms / 2))
                    return (await connection.call(bar, remaining_ms)).outcome
                except (PeerTimeout, PeerUnreachable, CallRefused) as error:
                    log.info("bar.failed", request=str(request_id), reason=str(error))
                await trio.sleep(BAR_BACKOFF_MS / 1000)
        return Outcome.UNKNOWN

    def discard(self, stream: AttemptStream) -> None:
        """Discard an attempt's stream and whatever is received for it later."""
        self._streams.pop(stream.request_id.sequence, None)

    def _find_stream(
        self, connection: Connection, request_id: RequestId
    ) -> AttemptStream | None:
        entry = self._streams.get(request_id.sequence)
        if entry is None or entry[0] is not connection:
            return None
        return entry[1] if entry[1].request_id == request_id else None

    async def _on_head(self, connection: Connection, head: Head) -> None:
        stream = self._find_stream(connection, head.request_id)
        if stream is not None:
            stream.put_head(head)

    async def _on_pieces(self, connection: Connection, pieces: Pieces) -> None:
        if pieces.start_id != self._peers.identity.start_id:
            return
        for batch in pieces.batches:
            entry = self._streams.get(batch.sequence)
            if entry is not None and entry[0] is connection:
                entry[1].put_pieces(batch.first_piece, batch.pieces)

    async def _on_end(self, connection: Connection, end: End) -> None:
        stream = self._find_stream(connection, end.request_id)
        if stream is not None:
            stream.put_end(end)

    def _on_lost(self, connection: Connection) -> None:
        for stream_connection, stream in list(self._streams.values()):
            if stream_connection is connection:
                stream.fail("the connection to the agent was lost")
