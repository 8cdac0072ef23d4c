"""Assignment of watched processes to entry hosts, and delegates of data centres."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ...hashing import RankingCache, rendezvous_ranking
from ...protocol.heartbeats import MemberRecord, MemberState
from ...slices import Work

__all__ = ["WatchAssignment", "delegates_of"]

N_ENTRY_WATCHERS = 3
N_AGENT_WATCHERS = 2
N_DELEGATES = 2


def _entry_hosts_by_data_centre(
    records: Iterable[MemberRecord],
) -> dict[str, list[str]]:
    entry_hosts: dict[str, list[str]] = {}
    for record in records:
        if record.role == "entry" and record.state is not MemberState.GONE:
            entry_hosts.setdefault(record.data_centre, []).append(record.name)
    return entry_hosts


class WatchAssignment:
    """The processes that an entry host watches.

    A process is watched by a few entry hosts of its own data centre, so a partitioned
    data centre still knows the state of its own processes. Agents of a data centre
    without entry hosts are watched from the other data centres. Rankings are cached,
    so that processes that join or leave cost little.
    """

    def __init__(self, watcher: str):
        self._watcher = watcher
        self._rankings = RankingCache()
        self._entry_hosts: dict[str, frozenset[str]] = {}
        self._all_entry_hosts: frozenset[str] = frozenset()

    def watched(self, records: Collection[MemberRecord]) -> Work[set[str]]:
        """Return the names of the processes to watch."""
        self._update_entry_hosts(records)
        watched, ranked = set(), set()
        for record in records:
            candidates = self._candidates(record)
            n_before = self._rankings.n_weights_computed
            if self._watcher in candidates and record.name != self._watcher:
                ranked.add(record.name)
                if self._is_watcher(record, candidates):
                    watched.add(record.name)
            yield 1 + self._rankings.n_weights_computed - n_before
        self._rankings.retain(ranked)
        return watched

    def _update_entry_hosts(self, records: Iterable[MemberRecord]) -> None:
        """Update the sets of entry hosts, reusing the sets that are unchanged."""
        entry_hosts = {
            data_centre: frozenset(names)
            for data_centre, names in _entry_hosts_by_data_centre(records).items()
        }
        if entry_hosts == self._entry_hosts:
            return
        for data_centre, names in entry_hosts.items():
            if names == self._entry_hosts.get(data_centre):
                entry_hosts[data_centre] = self._entry_hosts[data_centre]
        self._entry_hosts = entry_hosts
        self._all_entry_hosts = frozenset().union(*entry_hosts.values())

    def _candidates(self, record: MemberRecord) -> frozenset[str]:
        """Return the entry hosts that may watch a process, possibly itself included."""
        local = self._entry_hosts.get(record.data_centre)
        if not local or (len(local) == 1 and record.name in local):
            return self._all_entry_hosts
        return local

    def _is_watcher(self, record: MemberRecord, candidates: frozenset[str]) -> bool:
        n = N_ENTRY_WATCHERS if record.role == "entry" else N_AGENT_WATCHERS
        watchers = self._rankings.first(record.name, candidates, n + 1)
        if record.name in watchers:
            watchers.remove(record.name)
        return self._watcher in watchers[:n]


def delegates_of(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    """Return the delegates of each data centre: entry hosts that represent it."""
    return {
        data_centre: rendezvous_ranking(data_centre, names)[:N_DELEGATES]
        for data_centre, names in _entry_hosts_by_data_centre(records).items()
    }
