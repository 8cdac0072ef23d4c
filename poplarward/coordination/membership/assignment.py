"""Decides which entry host watches which process, and who speaks for a data centre."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ...hashing import KeptRankings, rendezvous_ranking
from ...protocol.heartbeats import MemberRecord, MemberState
from ...slices import Work

__all__ = ["WatchAssignment", "delegates_of"]

N_ENTRY_WATCHERS = 3
N_AGENT_WATCHERS = 2
N_DELEGATES = 2


def _entries_by_data_centre(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    entries: dict[str, list[str]] = {}
    for record in records:
        if record.role == "entry" and record.state is not MemberState.GONE:
            entries.setdefault(record.data_centre, []).append(record.name)
    return entries


class WatchAssignment:
    """The processes that an entry host watches.

    A process is watched by a few entry hosts of its own data centre, so that a data
    centre that is cut off goes on knowing its own processes. Agents of a data centre
    without entry hosts are watched from the others. Rankings are kept, so that
    processes that come and go cost little.
    """

    def __init__(self, watcher: str):
        self._watcher = watcher
        self._rankings = KeptRankings()
        self._entries: dict[str, frozenset[str]] = {}
        self._all_entries: frozenset[str] = frozenset()

    def watched(self, records: Collection[MemberRecord]) -> Work[set[str]]:
        """Return the names of the processes to watch."""
        self._take_entries(records)
        watched, ranked = set(), set()
        for record in records:
            candidates = self._candidates(record)
            n_before = self._rankings.n_weighed
            if self._watcher in candidates and record.name != self._watcher:
                ranked.add(record.name)
                if self._is_first(record, candidates):
                    watched.add(record.name)
            yield 1 + self._rankings.n_weighed - n_before
        self._rankings.keep(ranked)
        return watched

    def _take_entries(self, records: Iterable[MemberRecord]) -> None:
        """Take over which entry hosts there are, keeping the sets that are equal."""
        entries = {
            data_centre: frozenset(names)
            for data_centre, names in _entries_by_data_centre(records).items()
        }
        if entries == self._entries:
            return
        for data_centre, names in entries.items():
            if names == self._entries.get(data_centre):
                entries[data_centre] = self._entries[data_centre]
        self._entries = entries
        self._all_entries = frozenset().union(*entries.values())

    def _candidates(self, record: MemberRecord) -> frozenset[str]:
        """Return the entry hosts that may watch a process, itself perhaps included."""
        near = self._entries.get(record.data_centre)
        if not near or (len(near) == 1 and record.name in near):
            return self._all_entries
        return near

    def _is_first(self, record: MemberRecord, candidates: frozenset[str]) -> bool:
        n = N_ENTRY_WATCHERS if record.role == "entry" else N_AGENT_WATCHERS
        firsts = self._rankings.first(record.name, candidates, n + 1)
        if record.name in firsts:
            firsts.remove(record.name)
        return self._watcher in firsts[:n]


def delegates_of(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    """Return the entry hosts that speak for each data centre, by data centre."""
    return {
        data_centre: rendezvous_ranking(data_centre, names)[:N_DELEGATES]
        for data_centre, names in _entries_by_data_centre(records).items()
    }
