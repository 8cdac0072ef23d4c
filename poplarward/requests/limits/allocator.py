"""Allocates workspaces' limits to the processes that report demand.

An allocator has only soft state, which it rebuilds within seconds: the latest demand of
each process and the share granted to it. A process that has stopped reporting may still
use its decaying share, so that share is reserved until it has decayed. An allocator
that has just taken over grants no process more than the share it holds, until all have
had time to report.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from ...protocol import Connection, Peers
from ...protocol.limits import (
    Demands,
    ShareEntry,
    Shares,
    SplitLevel,
    round_down_to_float16,
)
from .shares import DecayingShare, allocate_shares

__all__ = ["ShareAllocator"]

REPORT_TIMEOUT_MS = 2_500.0
MIN_RESERVED_SHARE = 0.001
WARM_UP_MS = 2_000.0


class _Process:
    """Latest demand of a process and the share granted to it."""

    def __init__(self) -> None:
        self.demand = 0.0
        self.reported_at_ms = 0.0
        self.share = DecayingShare()


class _Allocation:
    """Allocation of one workspace's limit at one level."""

    def __init__(self, now_ms: float):
        self.started_at_ms = now_ms
        self._processes: dict[str, _Process] = {}

    def demands(self, now_ms: float) -> dict[str, float]:
        """Return the demands of the processes that still report."""
        return {
            name: process.demand
            for name, process in self._processes.items()
            if now_ms - process.reported_at_ms <= REPORT_TIMEOUT_MS
        }

    def reserved_share(self, now_ms: float) -> float:
        """Return the sum of the shares of processes that have stopped reporting."""
        reserved = {
            name: process.share.value(now_ms, 0.0)
            for name, process in self._processes.items()
            if now_ms - process.reported_at_ms > REPORT_TIMEOUT_MS
        }
        for name, share in reserved.items():
            if share < MIN_RESERVED_SHARE:
                del self._processes[name]
        return sum(reserved.values())

    def record_demand(self, name: str, demand: float, now_ms: float) -> None:
        """Record a reported demand."""
        process = self._processes.setdefault(name, _Process())
        process.demand = demand
        process.reported_at_ms = now_ms

    def grant(self, name: str, share: float, now_ms: float) -> None:
        """Record the share granted to a process."""
        self._processes[name].share.grant(share, now_ms)


class ShareAllocator:
    """Allocates shares to the entry hosts or allocators that chose this process.

    Parameters
    ----------
    peers : Peers
    total : callable
        Returns the share of a workspace's limit that this process may allocate at a
        level.
    """

    def __init__(self, peers: Peers, total: Callable[[SplitLevel, str], float]):
        self._total = total
        self._allocations: dict[tuple[SplitLevel, str], _Allocation] = {}
        peers.register(Demands, self._on_demands)

    def demands(self, level: SplitLevel) -> dict[str, float]:
        """Return the total demand on each workspace's limit at a level."""
        now_ms = trio.current_time() * 1000
        totals: dict[str, float] = {}
        for key, allocation in list(self._allocations.items()):
            demands = allocation.demands(now_ms)
            if not demands and not allocation.reserved_share(now_ms):
                del self._allocations[key]
            elif key[0] is level:
                totals[key[1]] = sum(demands.values())
        return totals

    async def _on_demands(self, connection: Connection, message: Demands) -> Shares:
        return self.allocate(connection.identity.name, message)

    def allocate(self, name: str, message: Demands) -> Shares:
        """Record the demands of one process and return its shares."""
        now_ms = trio.current_time() * 1000
        entries = []
        for workspace, demand, held_share in message.entries:
            key = (message.level, workspace)
            allocation = self._allocations.setdefault(key, _Allocation(now_ms))
            allocation.record_demand(name, demand, now_ms)
            reserved_share = allocation.reserved_share(now_ms)
            total = max(0.0, self._total(message.level, workspace) - reserved_share)
            share = allocate_shares(allocation.demands(now_ms), total)[name]
            if now_ms - allocation.started_at_ms < WARM_UP_MS and held_share > 0:
                share = min(share, held_share)
            allocation.grant(name, share, now_ms)
            entries.append(ShareEntry(workspace, round_down_to_float16(share)))
        return Shares(entries)
