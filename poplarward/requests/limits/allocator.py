"""Divides workspaces' limits among the processes that ask for a part.

A splitter keeps nothing that it could not learn again within seconds: the demands
that were reported to it last, and what it granted. A process that it hears no more
from may still use its decaying share, so that part is left out for as long. One that
has just taken over grants nothing above what a process holds until it has heard from
all.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from ...protocol import Connection, Peers
from ...protocol.limits import Demands, ShareEntry, Shares, SplitLevel, brief_part
from .shares import DecayingShare, allocate_shares

__all__ = ["ShareAllocator"]

REPORT_TIMEOUT_MS = 2_500.0
MIN_CLAIMED_SHARE = 0.001
WARM_UP_MS = 2_000.0


class _Reporter:
    """What a process asked for last, and what it was granted."""

    def __init__(self) -> None:
        self.demand = 0.0
        self.reported_at_ms = 0.0
        self.share = DecayingShare()


class _Division:
    """One workspace's limit at one level."""

    def __init__(self, now_ms: float):
        self.begun_at_ms = now_ms
        self._reporters: dict[str, _Reporter] = {}

    def demands(self, now_ms: float) -> dict[str, float]:
        """Return the demands of those that still report."""
        return {
            name: reporter.demand
            for name, reporter in self._reporters.items()
            if now_ms - reporter.reported_at_ms <= REPORT_TIMEOUT_MS
        }

    def claimed(self, now_ms: float) -> float:
        """Return what those that have fallen silent may still use."""
        claims = {
            name: reporter.share.value(now_ms, 0.0)
            for name, reporter in self._reporters.items()
            if now_ms - reporter.reported_at_ms > REPORT_TIMEOUT_MS
        }
        for name, share in claims.items():
            if share < MIN_CLAIMED_SHARE:
                del self._reporters[name]
        return sum(claims.values())

    def note(self, name: str, demand: float, now_ms: float) -> None:
        """Take a report."""
        reporter = self._reporters.setdefault(name, _Reporter())
        reporter.demand = demand
        reporter.reported_at_ms = now_ms

    def grant(self, name: str, share: float, now_ms: float) -> None:
        """Remember what a process was granted."""
        self._reporters[name].share.grant(share, now_ms)


class ShareAllocator:
    """Answers the entry hosts or splitters that chose this process.

    Parameters
    ----------
    peers : Peers
    total : callable
        Returns the part of a workspace's limit that this process may divide at a
        level.
    """

    def __init__(self, peers: Peers, total: Callable[[SplitLevel, str], float]):
        self._total = total
        self._divisions: dict[tuple[SplitLevel, str], _Division] = {}
        peers.register(Demands, self._on_demands)

    def demands(self, level: SplitLevel) -> dict[str, float]:
        """Return the sum of what is asked of each workspace's limit at a level."""
        now_ms = trio.current_time() * 1000
        sums: dict[str, float] = {}
        for key, division in list(self._divisions.items()):
            demands = division.demands(now_ms)
            if not demands and not division.claimed(now_ms):
                del self._divisions[key]
            elif key[0] is level:
                sums[key[1]] = sum(demands.values())
        return sums

    async def _on_demands(self, connection: Connection, message: Demands) -> Shares:
        return self.allocate(connection.identity.name, message)

    def allocate(self, name: str, message: Demands) -> Shares:
        """Return the shares of one process."""
        now_ms = trio.current_time() * 1000
        entries = []
        for workspace, demand, held in message.entries:
            key = (message.level, workspace)
            division = self._divisions.setdefault(key, _Division(now_ms))
            division.note(name, demand, now_ms)
            claimed = division.claimed(now_ms)
            total = max(0.0, self._total(message.level, workspace) - claimed)
            share = allocate_shares(division.demands(now_ms), total)[name]
            if now_ms - division.begun_at_ms < WARM_UP_MS and held > 0:
                share = min(share, held)
            division.grant(name, share, now_ms)
            entries.append(ShareEntry(workspace, brief_part(share)))
        return Shares(entries)
