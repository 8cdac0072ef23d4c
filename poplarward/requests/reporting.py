"""Reports an agent's load to the entry hosts that are connected to it."""

from __future__ import annotations

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

log = get_logger("reporting")


class LoadReporter:
    """Sends reports to each entry host, as often as it asked for.

    Parameters
    ----------
    peers : Peers
        Connections of entry hosts.
    make_report : callable
        Returns a report of the load as it is now, with the next number.
    """

    def __init__(self, peers: Peers, make_report: Callable[[], AgentReport]):
        self._peers = peers
        self._make_report = make_report
        self._n_received = 0
        self._last_sequences: dict[Connection, int] = {}
        self._intervals_ms: dict[Connection, float] = {}
        self._due: dict[Connection, float] = {}
        peers.register(ReportInterval, self._on_interval)
        peers.on_lost.append(self._on_lost)

    def note_received(self, connection: Connection, request_id: RequestId) -> None:
        """Count a request that arrived on a connection."""
        self._n_received += 1
        last = self._last_sequences.get(connection, 0)
        self._last_sequences[connection] = max(last, request_id.sequence)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            now = trio.current_time()
            for connection in list(self._peers.accepted):
                if self._due.get(connection, 0.0) <= now:
                    interval_ms = self._intervals_ms.get(connection, MIN_INTERVAL_MS)
                    self._due[connection] = now + interval_ms / 1000
                    await self._send(connection)
            await trio.sleep(MIN_INTERVAL_MS / 1000)

    async def report_now(self) -> None:
        """Report to every entry host at once, since the state has changed."""
        for connection in list(self._peers.accepted):
            await self._send(connection)

    async def _send(self, connection: Connection) -> None:
        report = replace(
            self._make_report(),
            last_sequence=self._last_sequences.get(connection, 0),
            n_received=self._n_received,
        )
        try:
            await connection.notify(report)
        except PeerUnreachable as error:
            log.info("report.failed", reason=str(error))

    async def _on_interval(
        self, connection: Connection, message: ReportInterval
    ) -> None:
        interval_ms = min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, message.interval_ms))
        self._intervals_ms[connection] = interval_ms

    def _on_lost(self, connection: Connection) -> None:
        for held in (self._last_sequences, self._intervals_ms, self._due):
            held.pop(connection, None)
