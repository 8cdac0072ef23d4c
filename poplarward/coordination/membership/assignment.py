"""Decides which entry host watches which process, and who speaks for a data centre."""

from __future__ import annotations

from collections.abc import Iterable

from ...hashing import rendezvous_ranking
from ...protocol.heartbeats import MemberRecord, MemberState

__all__ = ["delegates_of", "watched_by"]

N_ENTRY_WATCHERS = 3
N_AGENT_WATCHERS = 2
N_DELEGATES = 2


def _entries_by_data_centre(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    entries: dict[str, list[str]] = {}
    for record in records:
        if record.role == "entry" and record.state is not MemberState.GONE:
            entries.setdefault(record.data_centre, []).append(record.name)
    return entries


def watched_by(watcher: str, records: Iterable[MemberRecord]) -> set[str]:
    """Return the names of the processes that an entry host watches.

    A process is watched by a few entry hosts of its own data centre, so that a data
    centre that is cut off goes on knowing its own processes. Agents of a data centre
    without entry hosts are watched from the others.
    """
    records = list(records)
    entries = _entries_by_data_centre(records)
    everywhere = [name for names in entries.values() for name in names]
    watched = set()
    for record in records:
        if record.name == watcher:
            continue
        near = entries.get(record.data_centre, [])
        others = [name for name in near if name != record.name] or everywhere
        if watcher not in others:
            continue
        n = N_ENTRY_WATCHERS if record.role == "entry" else N_AGENT_WATCHERS
        if watcher in rendezvous_ranking(record.name, others)[:n]:
            watched.add(record.name)
    return watched


def delegates_of(records: Iterable[MemberRecord]) -> dict[str, list[str]]:
    """Return the entry hosts that speak for each data centre, by data centre."""
    return {
        data_centre: rendezvous_ranking(data_centre, names)[:N_DELEGATES]
        for data_centre, names in _entries_by_data_centre(records).items()
    }
