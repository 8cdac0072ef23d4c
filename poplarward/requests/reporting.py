"""Reports an agent's load to the entry hosts that are connected to it."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.reports import AgentReport, ReportInterval
from ..telemetry import get_logger

__all__ = ["LoadReporter"]

MIN_INTERVAL_MS = 100.0
MAX_INTERVAL_MS = 5_000.0
UNCHANGED_LOAD_INTERVAL_MS = 1_000.0
IDLE_INTERVAL_MS = 5_000.0
PIGGYBACK_WINDOW_MS = 50.0

log = get_logger("reporting")


class LoadReporter:
    """Reports to each entry host, at the interval it requested while the load changes.

    A report that is due is piggybacked on the next responses to that entry host, since
    a separate message costs the receiver about ten times as much. Only if no response
    is sent in time is it sent separately. While the load does not change, this happens
    only every `UNCHANGED_LOAD_INTERVAL_MS`, or every `IDLE_INTERVAL_MS` without load.

    Parameters
    ----------
    peers : Peers
        The connections from entry hosts.
    read_load : callable
        Returns a report of the current load, with number 0.
    """

    def __init__(self, peers: Peers, read_load: Callable[[], AgentReport]):
        self._peers = peers
        self._read_load = read_load
        self._n_reports = 0
        self._n_received = 0
        self._receivers: defaultdict[Connection, _Receiver] = defaultdict(_Receiver)
        peers.register(ReportInterval, self._on_interval)
        peers.on_lost.append(self._on_lost)

    def record_arrival(self, connection: Connection, request_id: RequestId) -> None:
        """Record a request that arrived on a connection."""
        self._n_received += 1
        receiver = self._receivers[connection]
        receiver.last_sequence = max(receiver.last_sequence, request_id.sequence)

    def due_report(self, connection: Connection) -> AgentReport | None:
        """Return the report to piggyback on responses, or None if none is due."""
        window_end = trio.current_time() + PIGGYBACK_WINDOW_MS / 1000
        if self._receivers[connection].due_at > window_end:
            return None
        return self._next_report(connection)

    async def run(self) -> None:
        """Send the reports that were not piggybacked, until cancelled."""
        while True:
            now = trio.current_time()
            for connection in list(self._peers.accepted):
                if self._receivers[connection].due_at <= now:
                    await self._send_if_needed(connection)
            await trio.sleep(MIN_INTERVAL_MS / 1000)

    async def report_now(self) -> None:
        """Report to every entry host at once, after a change of state."""
        for connection in list(self._peers.accepted):
            await self._send(connection)

    async def _send_if_needed(self, connection: Connection) -> None:
        receiver = self._receivers[connection]
        load = self._load_for(receiver)
        # A lost connection is detected only by sending. Requests waiting at this agent
        # depend on that, so the interval is shorter while there are any.
        has_requests = load.n_running or load.n_waiting
        interval_ms = UNCHANGED_LOAD_INTERVAL_MS if has_requests else IDLE_INTERVAL_MS
        since_sent_s = trio.current_time() - receiver.sent_at
        if since_sent_s < interval_ms / 1000 and load == receiver.sent:
            return
        await self._send(connection)

    async def _send(self, connection: Connection) -> None:
        try:
            await connection.notify(self._next_report(connection))
        except PeerUnreachable as error:
            log.info("report.failed", reason=str(error))

    def _next_report(self, connection: Connection) -> AgentReport:
        receiver = self._receivers[connection]
        now = trio.current_time()
        receiver.due_at = now + receiver.interval_ms / 1000
        receiver.sent_at = now
        receiver.sent = self._load_for(receiver)
        self._n_reports += 1
        return replace(receiver.sent, report_number=self._n_reports)

    def _load_for(self, receiver: _Receiver) -> AgentReport:
        """Return the report without its number, to compare loads."""
        return replace(
            self._read_load(),
            last_sequence=receiver.last_sequence,
            n_received=self._n_received,
        )

    async def _on_interval(
        self, connection: Connection, message: ReportInterval
    ) -> None:
        interval_ms = min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, message.interval_ms))
        self._receivers[connection].interval_ms = interval_ms

    def _on_lost(self, connection: Connection) -> None:
        self._receivers.pop(connection, None)


@dataclass
class _Receiver:
    """What was reported to a connected entry host, and when the next report is due.

    Attributes
    ----------
    last_sequence : int
        Sequence number of the last request that arrived from it.
    interval_ms : float
        The report interval that it requested.
    due_at, sent_at : float
        When the next report is due and when the last one was sent, in seconds.
    sent : AgentReport, optional
        The last report, without its number.
    """

    last_sequence: int = 0
    interval_ms: float = MIN_INTERVAL_MS
    due_at: float = 0.0
    sent_at: float = -math.inf
    sent: AgentReport | None = None
