"""Replicates verdicts on requests to all connected processes."""

from __future__ import annotations

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable
from ...protocol import Connection, Peers
from ...protocol.suspects import Suspicions, SuspicionsAcknowledged
from ...telemetry import get_logger
from .table import SuspectTable

__all__ = ["SuspectGossip"]

RETRY_INTERVAL_MS = 1_000.0
CALL_TIMEOUT_MS = 1_000.0

log = get_logger("suspects")


class SuspectGossip:
    """Sends the table's changes until each connected process has acknowledged them.

    Verdicts received on one connection are forwarded on all others, so that they reach
    every process over any path. Lost messages are sent again, together with the changes
    since. A new connection is sent the whole table, so that a restarted process gets it
    from the processes it connects to.

    Parameters
    ----------
    peers : Peers
    table : SuspectTable
    """

    def __init__(self, peers: Peers, table: SuspectTable):
        self._peers = peers
        self._table = table
        self._acknowledged: dict[Connection, int] = {}
        self._pushed: dict[Connection, int] = {}
        self._sending: set[Connection] = set()
        peers.register(Suspicions, self._on_suspicions)
        peers.on_lost.append(self._on_lost)

    async def run(self) -> None:
        """Send changes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._table.changed
                self._table.drop_expired()
                if self._table.n_changes:
                    self._send_to_all(nursery)
                with trio.move_on_after(RETRY_INTERVAL_MS / 1000):
                    await changed.wait()

    async def push(self, connection: Connection) -> None:
        """Send unacknowledged changes on one connection, ahead of later messages."""
        n_changes = self._table.n_changes
        if self._pushed.get(connection, 0) >= n_changes:
            return
        self._pushed[connection] = n_changes
        acknowledged = self._acknowledged.get(connection, 0)
        try:
            await connection.notify(self._message(acknowledged))
        except PeerUnreachable as error:
            log.info("suspects.push_failed", reason=str(error))

    def _send_to_all(self, nursery: trio.Nursery) -> None:
        for connection in self._peers.open_connections():
            is_behind = self._acknowledged.get(connection, 0) < self._table.n_changes
            if is_behind and connection not in self._sending:
                self._sending.add(connection)
                nursery.start_soon(self._send, connection)

    async def _send(self, connection: Connection) -> None:
        n_changes = self._table.n_changes
        try:
            message = self._message(self._acknowledged.get(connection, 0))
            if message.entries or message.shared:
                await connection.call(message, CALL_TIMEOUT_MS)
            if not connection.closed.is_set():
                self._acknowledged[connection] = n_changes
        except (PeerTimeout, PeerUnreachable, CallRefused) as error:
            log.info("suspects.sync_failed", reason=str(error))
        finally:
            self._sending.discard(connection)

    async def _on_suspicions(
        self, connection: Connection, message: Suspicions
    ) -> SuspicionsAcknowledged:
        before = self._table.n_changes
        self._table.merge(message.entries)
        self._table.merge_shared(message.shared)
        if self._acknowledged.get(connection, 0) == before:
            # The sender has the verdicts that it sent.
            self._acknowledged[connection] = self._table.n_changes
        return SuspicionsAcknowledged(len(message.entries))

    def _message(self, n_changes: int) -> Suspicions:
        return Suspicions(
            self._table.changes_since(n_changes), self._table.shared_since(n_changes)
        )

    def _on_lost(self, connection: Connection) -> None:
        self._acknowledged.pop(connection, None)
        self._pushed.pop(connection, None)
