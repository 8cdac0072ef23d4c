"""Keeps workspaces within their limits over all entry hosts.

Each entry host uses a part of a workspace's limit. Once a second it tells the splitter
of its data centre what is asked of it, and gets its parts: one message for all
workspaces that have demand, to one of a few splitters that are chosen by rendezvous
hashing. The splitters of the data centres get their parts from one among them in the
same way. No request waits for a message, and the store takes no part.
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
    brief_part,
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
# What entry hosts without a grant may use together.
UNALLOCATED_FRACTION = 0.05
DEMAND_SMOOTHING = 0.3
MIN_DEMAND = 1e-4
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 10_000.0


class _Usage:
    """One workspace at this entry host."""

    def __init__(self) -> None:
        self.requests = TokenBucket()
        self.tokens = TokenBucket()
        self.share = DecayingShare()
        self.demand = 0.0
        self.asked = 0.0

    def smooth(self, elapsed_s: float) -> None:
        """Take what was asked for since the last time into the mean."""
        rate = self.asked / elapsed_s
        self.demand += DEMAND_SMOOTHING * (rate - self.demand) if self.demand else rate
        self.asked = 0.0


class WorkspaceLimits:
    """Admits requests within this entry host's part of the limits.

    Parameters
    ----------
    peers : Peers
    configuration : ConfigurationView
        The workspaces and their limits.
    entries : callable
        Returns the live entry hosts, this one included.
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
        self._live: list[ProcessIdentity] = []
        self._usages: dict[str, _Usage] = {}
        self._totals: dict[str, DecayingShare] = {}
        self._splitter = ShareAllocator(peers, self._total)
        self._wake = trio.Event()
        self._asked_at = 0.0

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to ask for shares."""
        self._asked_at = trio.current_time()
        self._live = list(self._entries())
        nursery.start_soon(self._run)

    def check(self, request: CallerRequest) -> None:
        """Count a request; raises `Refused` at once if it is over the limit."""
        spec = self._configuration.get("workspaces", request.workspace)
        if spec is None:
            return
        now_ms = trio.current_time() * 1000
        usage = self._usages.setdefault(request.workspace, _Usage())
        per_s, tokens_per_s = spec["requests_per_s"], spec["tokens_per_s"]
        usage.asked += max(1 / per_s, request.n_tokens / tokens_per_s)
        share = usage.share.value(now_ms, self._ungranted())
        usage.requests.refill(share * per_s, now_ms)
        usage.tokens.refill(share * tokens_per_s, now_ms)
        wait_ms = max(
            usage.requests.wait_ms(share * per_s),
            usage.tokens.wait_ms(share * tokens_per_s),
        )
        if wait_ms > 0:
            if not usage.share.is_granted:
                self._wake.set()
            wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
            raise Refused(f"workspace {request.workspace} is over its limit", wait_ms)
        usage.requests.consume(1)
        usage.tokens.consume(request.n_tokens)

    def _ungranted(self) -> float:
        return UNALLOCATED_FRACTION / max(1, len(self._live))

    def _total(self, level: SplitLevel, workspace: str) -> float:
        """Return the part of a limit that this process may divide as a splitter."""
        granted = 1 - UNALLOCATED_FRACTION
        sites = _data_centres(self._live)
        if level is SplitLevel.DATA_CENTRES or len(sites) <= 1:
            return granted
        held = self._totals.setdefault(workspace, DecayingShare())
        return held.value(trio.current_time() * 1000, granted / len(sites))

    async def _run(self) -> None:
        while True:
            with trio.move_on_after(DEMAND_INTERVAL_MS / 1000):
                await trio.sleep(MIN_DEMAND_INTERVAL_MS / 1000)
                await self._wake.wait()
            self._wake = trio.Event()
            await self._ask_for_shares()

    async def _ask_for_shares(self) -> None:
        self._live = list(self._entries())
        now = trio.current_time()
        elapsed_s = max(MIN_DEMAND_INTERVAL_MS / 1000, now - self._asked_at)
        self._asked_at = now
        wanted, sums = [], []
        for name, usage in list(self._usages.items()):
            usage.smooth(elapsed_s)
            if usage.demand < MIN_DEMAND:
                del self._usages[name]
                continue
            share = usage.share.value(now * 1000, self._ungranted())
            wanted.append(_entry(name, usage.demand, share))
        for name, demand in self._splitter.demands(SplitLevel.ENTRY_HOSTS).items():
            total = self._total(SplitLevel.ENTRY_HOSTS, name)
            sums.append(_entry(name, demand, total))
        async with trio.open_nursery() as nursery:
            for level, entries in (
                (SplitLevel.ENTRY_HOSTS, wanted),
                (SplitLevel.DATA_CENTRES, sums),
            ):
                for partition, part in _partitions(entries).items():
                    nursery.start_soon(self._ask, level, partition, part)

    async def _ask(
        self, level: SplitLevel, partition: int, entries: list[DemandEntry]
    ) -> None:
        splitter = self._chosen_splitter(level, partition)
        message = Demands(level, entries)
        if splitter.name == self._peers.identity.name:
            reply = self._splitter.allocate(splitter.name, message)
        else:
            try:
                reply = await self._peers.call(
                    splitter.address, message, DEMAND_TIMEOUT_MS
                )
            except (PeerTimeout, PeerUnreachable, CallRefused):
                # The last shares stay in use and decay.
                return
        self._take(level, reply.entries)

    def _chosen_splitter(self, level: SplitLevel, partition: int) -> ProcessIdentity:
        """Return the entry host that divides some workspaces' limits at a level."""
        own = self._peers.identity
        entries = {own.name: own, **{entry.name: entry for entry in self._live}}
        scope = "all"
        if level is SplitLevel.ENTRY_HOSTS:
            scope = own.data_centre
            entries = {n: e for n, e in entries.items() if e.data_centre == scope}
        key = f"limits/{scope}/{partition}"
        return entries[rendezvous_ranking(key, entries)[0]]

    def _take(self, level: SplitLevel, entries: Iterable[ShareEntry]) -> None:
        now_ms = trio.current_time() * 1000
        for workspace, share in entries:
            if level is SplitLevel.DATA_CENTRES:
                self._totals.setdefault(workspace, DecayingShare()).grant(share, now_ms)
            elif workspace in self._usages:
                self._usages[workspace].share.grant(share, now_ms)


def _entry(workspace: str, demand: float, share: float) -> DemandEntry:
    return DemandEntry(workspace, brief_part(demand), brief_part(share))


def _partitions(entries: Iterable[DemandEntry]) -> dict[int, list[DemandEntry]]:
    """Group workspaces by the splitter that is in charge of them."""
    names = [str(partition) for partition in range(N_PARTITIONS)]
    parts: dict[int, list[DemandEntry]] = {}
    for entry in entries:
        partition = int(rendezvous_ranking(entry.workspace, names)[0])
        parts.setdefault(partition, []).append(entry)
    return parts


def _data_centres(entries: Iterable[ProcessIdentity]) -> set[str]:
    return {entry.data_centre for entry in entries}
