"""Reports an agent's load to the entry hosts that are connected to it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.reports import AgentReport, ReportInterval
from ..telemetry import get_logger

__all__ = ["LoadReporter"]

MIN_INTERVAL_MS = 100.0
MAX_INTERVAL_MS = 5_000.0
IDLE_INTERVAL_MS = 1_000.0
EARLY_WITH_ANSWERS_MS = 50.0

log = get_logger("reporting")


class LoadReporter:
    """Reports to each entry host, as often as it asked for while the load changes.

    A report that is due goes along with the next answers to that entry host, since a
    message of its own costs the receiver about ten times as much. Only where no
    answer comes in time is it sent alone, and while the load does not change only
    each `IDLE_INTERVAL_MS`.

    Parameters
    ----------
    peers : Peers
        Connections of entry hosts.
    read_load : callable
        Returns a report of the load as it is now, with number 0.
    """

    def __init__(self, peers: Peers, read_load: Callable[[], AgentReport]):
        self._peers = peers
        self._read_load = read_load
        self._n_reports = 0
        self._n_received = 0
        self._last_sequences: dict[Connection, int] = {}
        self._intervals_ms: dict[Connection, float] = {}
        self._due: dict[Connection, float] = {}
        self._sent: dict[Connection, AgentReport] = {}
        self._sent_at: dict[Connection, float] = {}
        peers.register(ReportInterval, self._on_interval)
        peers.on_lost.append(self._on_lost)

    def note_received(self, connection: Connection, request_id: RequestId) -> None:
        """Count a request that arrived on a connection."""
        self._n_received += 1
        last = self._last_sequences.get(connection, 0)
        self._last_sequences[connection] = max(last, request_id.sequence)

    def due_report(self, connection: Connection) -> AgentReport | None:
        """Return the report to send along with answers, None if none is due."""
        earliest = trio.current_time() + EARLY_WITH_ANSWERS_MS / 1000
        if self._due.get(connection, 0.0) > earliest:
            return None
        return self._next_report(connection)

    async def run(self) -> None:
        """Send the reports that no answer has carried, until cancelled."""
        while True:
            now = trio.current_time()
            for connection in list(self._peers.accepted):
                if self._due.get(connection, 0.0) <= now:
                    await self._send_if_news(connection)
            await trio.sleep(MIN_INTERVAL_MS / 1000)

    async def report_now(self) -> None:
        """Report to every entry host at once, since the state has changed."""
        for connection in list(self._peers.accepted):
            await self._send(connection)

    async def _send_if_news(self, connection: Connection) -> None:
        idle_since = self._sent_at.get(connection, -math.inf)
        is_quiet = trio.current_time() - idle_since < IDLE_INTERVAL_MS / 1000
        if is_quiet and self._load_of(connection) == self._sent.get(connection):
            return
        await self._send(connection)

    async def _send(self, connection: Connection) -> None:
        try:
            await connection.notify(self._next_report(connection))
        except PeerUnreachable as error:
            log.info("report.failed", reason=str(error))

    def _next_report(self, connection: Connection) -> AgentReport:
        now = trio.current_time()
        interval_ms = self._intervals_ms.get(connection, MIN_INTERVAL_MS)
        self._due[connection] = now + interval_ms / 1000
        self._sent_at[connection] = now
        self._sent[connection] = self._load_of(connection)
        self._n_reports += 1
        return replace(self._sent[connection], report_number=self._n_reports)

    def _load_of(self, connection: Connection) -> AgentReport:
        """Return the report without its number, to compare loads."""
        return replace(
            self._read_load(),
            last_sequence=self._last_sequences.get(connection, 0),
            n_received=self._n_received,
        )

    async def _on_interval(
        self, connection: Connection, message: ReportInterval
    ) -> None:
        interval_ms = min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, message.interval_ms))
        self._intervals_ms[connection] = interval_ms

    def _on_lost(self, connection: Connection) -> None:
        for held in (
            self._last_sequences,
            self._intervals_ms,
            self._due,
            self._sent,
            self._sent_at,
        ):
            held.pop(connection, None)
