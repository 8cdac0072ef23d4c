"""Cached watch assignments equal those that are computed from scratch."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.assignment import WatchAssignment
from poplarward.hashing import rendezvous_ranking
from poplarward.slices import run_at_once, run_in_slices
from poplarward.transport import Address

ADDRESS = Address("10.0.0.1", 9000)
names = st.sets(st.tuples(st.sampled_from(["entry", "agent"]), st.integers(0, 9)))


def records_of(fleet):
    return [
        MemberRecord(
            f"{role}-{i}", role, f"dc-{i % 3}", ADDRESS, "", 1, 1, MemberState.LIVE
        )
        for role, i in sorted(fleet)
    ]


def watched_by(watcher, records):
    return run_at_once(WatchAssignment(watcher).watched(records))


def is_watched(watcher, record, records):
    """Return whether a host watches a process, by the ranking of all candidates."""
    entries = [r for r in records if r.role == "entry"]
    local = [
        r.name
        for r in entries
        if r.data_centre == record.data_centre and r.name != record.name
    ]
    candidates = local or [r.name for r in entries if r.name != record.name]
    n = 3 if record.role == "entry" else 2
    return watcher in rendezvous_ranking(record.name, candidates)[:n]


@given(st.lists(names, max_size=4))
def test_cached_assignment_is_correct(fleets):
    cached = WatchAssignment("entry-0")
    for fleet in fleets:
        records = records_of(fleet | {("entry", 0)})
        watched = run_at_once(cached.watched(records))
        assert watched == watched_by("entry-0", records)
        assert watched == {
            record.name
            for record in records
            if record.name != "entry-0" and is_watched("entry-0", record, records)
        }


def test_every_process_has_two_watchers():
    records = records_of({(role, i) for role in ("entry", "agent") for i in range(9)})
    watched = [watched_by(f"entry-{i}", records) for i in range(9)]
    counts = {r.name: sum(r.name in names for names in watched) for r in records}
    assert all(counts[f"entry-{i}"] == counts[f"agent-{i}"] == 2 for i in range(9))


async def test_sliced_assignment_equals_unsliced():
    fleet = {("entry", i) for i in range(60)} | {("agent", i) for i in range(600)}
    cached = WatchAssignment("entry-0")
    for records in records_of(fleet), records_of(fleet - {("entry", 3)}):
        watched = await run_in_slices(cached.watched(records))
        assert watched == watched_by("entry-0", records)
