"""Carries verdicts on requests to every process that this one is connected to."""

from __future__ import annotations

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable
from ...protocol import Connection, Peers
from ...protocol.suspects import Suspicions, SuspicionsTaken
from ...telemetry import get_logger
from .table import SuspectTable

__all__ = ["SuspectGossip"]

RETRY_INTERVAL_MS = 1_000.0
CALL_TIMEOUT_MS = 1_000.0

log = get_logger("suspects")


class SuspectGossip:
    """Passes on what the table learns, until each connected process has confirmed it.

    What is learnt from one connection goes to all others, so that it reaches every
    process over any path. A message that is lost is sent again with whatever was
    learnt meanwhile; a connection that is new gets everything, so a process that
    restarted learns it from those it connects to.

    Parameters
    ----------
    peers : Peers
    table : SuspectTable
    """

    def __init__(self, peers: Peers, table: SuspectTable):
        self._peers = peers
        self._table = table
        self._confirmed: dict[Connection, int] = {}
        self._told: dict[Connection, int] = {}
        self._sending: set[Connection] = set()
        peers.register(Suspicions, self._on_suspicions)
        peers.on_lost.append(self._on_lost)

    async def run(self) -> None:
        """Pass on changes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._table.changed
                self._table.drop_expired()
                if self._table.n_changes:
                    self._send_to_all(nursery)
                with trio.move_on_after(RETRY_INTERVAL_MS / 1000):
                    await changed.wait()

    async def push(self, connection: Connection) -> None:
        """Tell one process what it may not know, before anything sent after this."""
        n_changes = self._table.n_changes
        if self._told.get(connection, 0) >= n_changes:
            return
        self._told[connection] = n_changes
        known = self._confirmed.get(connection, 0)
        try:
            await connection.notify(Suspicions(self._table.changes_since(known)))
        except PeerUnreachable as error:
            log.info("suspects.untold", reason=str(error))

    def _send_to_all(self, nursery: trio.Nursery) -> None:
        for connection in self._peers.open_connections():
            is_behind = self._confirmed.get(connection, 0) < self._table.n_changes
            if is_behind and connection not in self._sending:
                self._sending.add(connection)
                nursery.start_soon(self._send, connection)

    async def _send(self, connection: Connection) -> None:
        n_changes = self._table.n_changes
        try:
            entries = self._table.changes_since(self._confirmed.get(connection, 0))
            if entries:
                await connection.call(Suspicions(entries), CALL_TIMEOUT_MS)
            if not connection.closed.is_set():
                self._confirmed[connection] = n_changes
        except (PeerTimeout, PeerUnreachable, CallRefused) as error:
            log.info("suspects.unsent", reason=str(error))
        finally:
            self._sending.discard(connection)

    async def _on_suspicions(
        self, connection: Connection, message: Suspicions
    ) -> SuspicionsTaken:
        before = self._table.n_changes
        self._table.merge(message.entries)
        if self._confirmed.get(connection, 0) == before:
            # The sender knows what it sent.
            self._confirmed[connection] = self._table.n_changes
        return SuspicionsTaken(len(message.entries))

    def _on_lost(self, connection: Connection) -> None:
        self._confirmed.pop(connection, None)
        self._told.pop(connection, None)
