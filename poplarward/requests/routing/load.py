"""Estimates the requests that an agent has in hand from reports that lag or are lost.

A report tells the last request of this entry host that the agent had received. What
was sent after it is not in the report and is added; what has ended since is taken
off. A lost report leaves the corrections in place, and the next one replaces them.

The time from sending a request to the first report that tells of it is how old the
knowledge is on average: lag, interval and lost reports together, without comparing
the clocks of two hosts.
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
    """What an entry host knows of one agent's load.

    Attributes
    ----------
    requests_per_s : float
        Rate at which the agent gets requests from all entry hosts.
    report_delay_ms : float, optional
        Mean time from sending a request to the report that tells of it.
    """

    def __init__(self) -> None:
        self.requests_per_s = 0.0
        self.report_delay_ms: float | None = None
        self._reported_at_ms = 0.0
        self._reported = 0.0
        self._n_received: int | None = None
        self._n_ended = 0
        self._unseen: dict[int, float] = {}
        self._seen: set[int] = set()

    @property
    def n_in_flight(self) -> int:
        """Requests of this entry host at the agent."""
        return len(self._unseen) + len(self._seen)

    @property
    def occupancy(self) -> float:
        """Requests of all entry hosts that the agent is thought to have in hand.

        One that has no token yet counts for several, since its prefill is to come.
        """
        n_unseen = PREFILL_WEIGHT * len(self._unseen)
        return max(float(self.n_in_flight), self._reported - self._n_ended + n_unseen)

    def begin(self, sequence: int, now_ms: float) -> None:
        """Count a request in, before it is sent."""
        self._unseen[sequence] = now_ms

    def end(self, sequence: int) -> None:
        """Count a request out."""
        if sequence in self._seen:
            self._seen.remove(sequence)
            self._n_ended += 1
        self._unseen.pop(sequence, None)

    def apply_report(self, report: AgentReport, now_ms: float) -> None:
        """Replace what was known by a newer report."""
        self._note_rate(report, now_ms)
        self._reported = report.n_running + PREFILL_WEIGHT * report.n_waiting
        self._n_ended = 0
        for sequence in list(self._unseen):
            if sequence <= report.last_sequence:
                self._note_delay(now_ms - self._unseen.pop(sequence))
                self._seen.add(sequence)

    def _note_delay(self, delay_ms: float) -> None:
        delay_ms = min(delay_ms, MAX_DELAY_MS)
        if self.report_delay_ms is None:
            self.report_delay_ms = delay_ms
        self.report_delay_ms += DELAY_SMOOTHING * (delay_ms - self.report_delay_ms)

    def _note_rate(self, report: AgentReport, now_ms: float) -> None:
        elapsed_s = (now_ms - self._reported_at_ms) / 1000
        if self._n_received is not None and elapsed_s > 0:
            rate = (report.n_received - self._n_received) / elapsed_s
            self.requests_per_s += RATE_SMOOTHING * (rate - self.requests_per_s)
        self._n_received = report.n_received
        self._reported_at_ms = now_ms


def unreported_requests(loads: Sequence[AgentLoad]) -> float:
    """Return how many requests reach the agents while knowledge of them is on its way.

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
