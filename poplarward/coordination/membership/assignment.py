"""Decides which entry host watches which process, and who speaks for a data centre."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ...hashing import rendezvous_ranking
from ...protocol.heartbeats import MemberRecord, MemberState

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
    without entry hosts are watched from the others. A decision holds until the entry
    hosts change, so agents that come and go cost little.
    """

    def __init__(self, watcher: str):
        self._watcher = watcher
        self._entries: dict[str, list[str]] = {}
        self._decisions: dict[tuple[str, str], bool] = {}

    def watched(self, records: Collection[MemberRecord]) -> set[str]:
        """Return the names of the processes to watch."""
        entries = _entries_by_data_centre(records)
        if entries != self._entries:
            self._entries = entries
            self._decisions.clear()
        watched = set()
        for record in records:
            key = record.name, record.data_centre
            if key not in self._decisions:
                self._decisions[key] = self._decide(record)
            if self._decisions[key]:
                watched.add(record.name)
        return watched

    def _decide(self, record: MemberRecord) -> bool:
        if record.name == self._watcher:
            return False
        near = self._entries.get(record.data_centre, [])
        others = [name for name in near if name != record.name]
        if not others:
            others = [name for names in self._entries.values() for name in names]
        if self._watcher not in others:
            return False
        n = N_ENTRY_WATCHERS if record.role == "entry" else N_AGENT_WATCHERS
        return self._watcher in rendezvous_ranking(record.name, others)[:n]


def delegates_of(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    """Return the entry hosts that speak for each data centre, by data centre."""
    return {
        data_centre: rendezvous_ranking(data_centre, names)[:N_DELEGATES]
        for data_centre, names in _entries_by_data_centre(records).items()
    }
