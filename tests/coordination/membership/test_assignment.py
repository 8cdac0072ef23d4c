"""The decisions that are kept are those that would be made anew."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.assignment import WatchAssignment
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


@given(st.lists(names, max_size=4))
def test_kept_decisions_are_right(fleets):
    kept = WatchAssignment("entry-0")
    for fleet in fleets:
        records = records_of(fleet | {("entry", 0)})
        assert kept.watched(records) == WatchAssignment("entry-0").watched(records)


def test_everyone_is_watched_by_a_few():
    records = records_of({(role, i) for role in ("entry", "agent") for i in range(9)})
    watched = [WatchAssignment(f"entry-{i}").watched(records) for i in range(9)]
    counts = {r.name: sum(r.name in names for names in watched) for r in records}
    assert all(counts[f"entry-{i}"] == counts[f"agent-{i}"] == 2 for i in range(9))
