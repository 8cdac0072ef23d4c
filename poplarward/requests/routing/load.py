"""Estimates an agent's requests in flight from late or lost load reports.

A report names the last request of this entry host that the agent had received.
Requests sent after that one are added to the reported load, and reported requests that
have ended since are subtracted. If a report is lost, the corrections remain until the
next one replaces them.

The time from sending a request to the first report that includes it measures the mean
staleness of reports: it covers delay, report interval and lost reports, and needs no
comparison of the clocks of two hosts.
"""

from __future__ import annotations

from collections.abc import Sequence

from ...protocol.reports import AgentReport

__all__ = ["AgentLoad", "unreported_requests"]

PREFILL_WEIGHT = 4.0
RATE_SMOOTHING = 0.3
DELAY_SMOOTHING = 0.1
MAX_DELAY_MS = 5_000.0


class AgentLoad:
    """Estimate of one agent's load at an entry host.

    Attributes
    ----------
    requests_per_s : float
        Rate at which the agent receives requests from all entry hosts.
    report_delay_ms : float, optional
        Mean time from sending a request to the first report that includes it.
    """

    def __init__(self) -> None:
        self.requests_per_s = 0.0
        self.report_delay_ms: float | None = None
        self._reported_at_ms = 0.0
        self._reported = 0.0
        self._n_received: int | None = None
        self._n_ended_since = 0
        self._unreported: dict[int, float] = {}
        self._reported_sequences: set[int] = set()

    @property
    def n_in_flight(self) -> int:
        """Requests of this entry host in flight at the agent."""
        return len(self._unreported) + len(self._reported_sequences)

    @property
    def occupancy(self) -> float:
        """Estimated requests of all entry hosts in flight at the agent.

        A request without a token counts several times, since its prefill is pending.
        """
        unreported_load = PREFILL_WEIGHT * len(self._unreported)
        return max(
            float(self.n_in_flight),
            self._reported - self._n_ended_since + unreported_load,
        )

    def begin(self, sequence: int, now_ms: float) -> None:
        """Add a request before it is sent."""
        self._unreported[sequence] = now_ms

    def end(self, sequence: int) -> None:
        """Remove a request that has ended."""
        if sequence in self._reported_sequences:
            self._reported_sequences.remove(sequence)
            self._n_ended_since += 1
        self._unreported.pop(sequence, None)

    def apply_report(self, report: AgentReport, now_ms: float) -> None:
        """Replace the reported load by that of a newer report."""
        self._update_rate(report, now_ms)
        self._reported = report.n_running + PREFILL_WEIGHT * report.n_waiting
        self._n_ended_since = 0
        for sequence in list(self._unreported):
            if sequence <= report.last_sequence:
                self._update_delay(now_ms - self._unreported.pop(sequence))
                self._reported_sequences.add(sequence)

    def _update_delay(self, delay_ms: float) -> None:
        delay_ms = min(delay_ms, MAX_DELAY_MS)
        if self.report_delay_ms is None:
            self.report_delay_ms = delay_ms
        self.report_delay_ms += DELAY_SMOOTHING * (delay_ms - self.report_delay_ms)

    def _update_rate(self, report: AgentReport, now_ms: float) -> None:
        elapsed_s = (now_ms - self._reported_at_ms) / 1000
        if self._n_received is not None and elapsed_s > 0:
            rate = (report.n_received - self._n_received) / elapsed_s
            self.requests_per_s += RATE_SMOOTHING * (rate - self.requests_per_s)
        self._n_received = report.n_received
        self._reported_at_ms = now_ms


def unreported_requests(loads: Sequence[AgentLoad]) -> float:
    """Return the expected requests that reach the agents before a report includes them.

    Examples
    --------
    >>> unreported_requests([AgentLoad()])
    0.0
    """
    delays_ms = [load.report_delay_ms for load in loads]
    known_ms = [delay_ms for delay_ms in delays_ms if delay_ms is not None]
    if not known_ms:
        return 0.0
    mean_s = sum(known_ms) / len(known_ms) / 1000
    return mean_s * sum(load.requests_per_s for load in loads)
