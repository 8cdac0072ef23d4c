"""Enforces the rate limits of workspaces across all entry hosts.

Each entry host admits requests within its share of a workspace's limit. Once a second
it reports its demand to an allocator of its data centre, which replies with its shares.
Workspaces are partitioned among a few allocators, which are chosen from the entry hosts
by rendezvous hashing; one message covers all workspaces of a partition that have
demand. The allocators of the data centres obtain their totals from one of them in the
same way. No request waits for a message, and the store is not involved.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import trio

from ...errors import CallRefused, PeerTimeout, PeerUnreachable, Refused
from ...hashing import rendezvous_ranking
from ...protocol import Peers, ProcessIdentity
from ...protocol.limits import (
    DemandEntry,
    Demands,
    ShareEntry,
    SplitLevel,
    round_down_to_float16,
)
from ...state import ConfigurationView
from ..caller import CallerRequest
from .allocator import ShareAllocator
from .shares import DecayingShare, TokenBucket

__all__ = ["WorkspaceLimits"]

N_PARTITIONS = 16
DEMAND_INTERVAL_MS = 1_000.0
MIN_DEMAND_INTERVAL_MS = 100.0
DEMAND_TIMEOUT_MS = 500.0
# Fraction of a limit that all entry hosts without a granted share may use together.
UNALLOCATED_FRACTION = 0.05
DEMAND_SMOOTHING = 0.3
MIN_DEMAND = 1e-4
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 10_000.0


class _Usage:
    """Usage of one workspace at this entry host."""

    def __init__(self) -> None:
        self.requests = TokenBucket()
        self.tokens = TokenBucket()
        self.share = DecayingShare()
        self.demand = 0.0
        self.requested = 0.0

    def update_demand(self, elapsed_s: float) -> None:
        """Update the mean demand by the requests since the last call."""
        rate = self.requested / elapsed_s
        self.demand += DEMAND_SMOOTHING * (rate - self.demand) if self.demand else rate
        self.requested = 0.0


class WorkspaceLimits:
    """Admits requests within this entry host's shares of the limits.

    Parameters
    ----------
    peers : Peers
    configuration : ConfigurationView
        Provides the workspaces and their limits.
    entries : callable
        Returns the live entry hosts, including this one.
    """

    def __init__(
        self,
        peers: Peers,
        configuration: ConfigurationView,
        entries: Callable[[], Sequence[ProcessIdentity]],
    ):
        self._peers = peers
        self._configuration = configuration
        self._entries = entries
        self._live_entries: list[ProcessIdentity] = []
        self._usages: dict[str, _Usage] = {}
        self._totals: dict[str, DecayingShare] = {}
        self._allocator = ShareAllocator(peers, self._allocatable_share)
        self._share_needed = trio.Event()
        self._reported_at = 0.0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to report demand and receive shares."""
        self._reported_at = trio.current_time()
        self._live_entries = list(self._entries())
        nursery.start_soon(self._run)

    def check(self, request: CallerRequest) -> None:
        """Admit a request; raises `Refused` at once if it exceeds the limit."""
        spec = self._configuration.get("workspaces", request.workspace)
        if spec is None:
            return
        now_ms = trio.current_time() * 1000
        usage = self._usages.setdefault(request.workspace, _Usage())
        per_s, tokens_per_s = spec["requests_per_s"], spec["tokens_per_s"]
        usage.requested += max(1 / per_s, request.n_tokens / tokens_per_s)
        share = usage.share.value(now_ms, self._ungranted_share())
        usage.requests.refill(share * per_s, now_ms)
        usage.tokens.refill(share * tokens_per_s, now_ms)
        wait_ms = max(
            usage.requests.wait_ms(share * per_s),
            usage.tokens.wait_ms(share * tokens_per_s),
        )
        if wait_ms > 0:
            if not usage.share.is_granted:
                self._share_needed.set()
            wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
            raise Refused(f"workspace {request.workspace} is over its limit", wait_ms)
        usage.requests.consume(1)
        usage.tokens.consume(request.n_tokens)

    def _ungranted_share(self) -> float:
        return UNALLOCATED_FRACTION / max(1, len(self._live_entries))

    def _allocatable_share(self, level: SplitLevel, workspace: str) -> float:
        """Return the share of a limit that this process may allocate to others."""
        granted = 1 - UNALLOCATED_FRACTION
        data_centres = _data_centres(self._live_entries)
        if level is SplitLevel.DATA_CENTRES or len(data_centres) <= 1:
            return granted
        share = self._totals.setdefault(workspace, DecayingShare())
        return share.value(trio.current_time() * 1000, granted / len(data_centres))

    async def _run(self) -> None:
        while True:
            with trio.move_on_after(DEMAND_INTERVAL_MS / 1000):
                await trio.sleep(MIN_DEMAND_INTERVAL_MS / 1000)
                await self._share_needed.wait()
            self._share_needed = trio.Event()
            await self._report_demand()

    async def _report_demand(self) -> None:
        self._live_entries = list(self._entries())
        now = trio.current_time()
        elapsed_s = max(MIN_DEMAND_INTERVAL_MS / 1000, now - self._reported_at)
        self._reported_at = now
        own_demands, totals_demanded = [], []
        for name, usage in list(self._usages.items()):
            usage.update_demand(elapsed_s)
            if usage.demand < MIN_DEMAND:
                del self._usages[name]
                continue
            share = usage.share.value(now * 1000, self._ungranted_share())
            own_demands.append(_entry(name, usage.demand, share))
        for name, demand in self._allocator.demands(SplitLevel.ENTRY_HOSTS).items():
            total = self._allocatable_share(SplitLevel.ENTRY_HOSTS, name)
            totals_demanded.append(_entry(name, demand, total))
        async with trio.open_nursery() as nursery:
            for level, entries in (
                (SplitLevel.ENTRY_HOSTS, own_demands),
                (SplitLevel.DATA_CENTRES, totals_demanded),
            ):
                for partition, partition_entries in _group_by_partition(
                    entries
                ).items():
                    nursery.start_soon(
                        self._request_shares, level, partition, partition_entries
                    )

    async def _request_shares(
        self, level: SplitLevel, partition: int, entries: list[DemandEntry]
    ) -> None:
        allocator = self._choose_allocator(level, partition)
        message = Demands(level, entries)
        if allocator.name == self._peers.identity.name:
            reply = self._allocator.allocate(allocator.name, message)
        else:
            try:
                reply = await self._peers.call(
                    allocator.address, message, DEMAND_TIMEOUT_MS
                )
            except (PeerTimeout, PeerUnreachable, CallRefused):
                # The last granted shares remain in use and decay.
                return
        self._apply_shares(level, reply.entries)

    def _choose_allocator(self, level: SplitLevel, partition: int) -> ProcessIdentity:
        """Return the entry host that allocates a partition's limits at a level."""
        own = self._peers.identity
        entries = {own.name: own, **{entry.name: entry for entry in self._live_entries}}
        scope = "all"
        if level is SplitLevel.ENTRY_HOSTS:
            scope = own.data_centre
            entries = {n: e for n, e in entries.items() if e.data_centre == scope}
        key = f"limits/{scope}/{partition}"
        return entries[rendezvous_ranking(key, entries)[0]]

    def _apply_shares(self, level: SplitLevel, entries: Iterable[ShareEntry]) -> None:
        now_ms = trio.current_time() * 1000
        for workspace, share in entries:
            if level is SplitLevel.DATA_CENTRES:
                self._totals.setdefault(workspace, DecayingShare()).grant(share, now_ms)
            elif workspace in self._usages:
                self._usages[workspace].share.grant(share, now_ms)


def _entry(workspace: str, demand: float, share: float) -> DemandEntry:
    return DemandEntry(
        workspace, round_down_to_float16(demand), round_down_to_float16(share)
    )


def _group_by_partition(entries: Iterable[DemandEntry]) -> dict[int, list[DemandEntry]]:
    """Group entries by the partition of their workspaces."""
    names = [str(partition) for partition in range(N_PARTITIONS)]
    by_partition: dict[int, list[DemandEntry]] = {}
    for entry in entries:
        partition = int(rendezvous_ranking(entry.workspace, names)[0])
        by_partition.setdefault(partition, []).append(entry)
    return by_partition


def _data_centres(entries: Iterable[ProcessIdentity]) -> set[str]:
    return {entry.data_centre for entry in entries}
