"""Tables with the same merged records are equal, whatever the order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.table import MemberTable
from poplarward.transport import Address

ADDRESS = Address("10.0.0.1", 9000)

records = st.builds(
    lambda name, incarnation, state: MemberRecord(
        name, "agent", "brest", ADDRESS, "", 1, incarnation, state
    ),
    st.sampled_from("ab"),
    st.integers(0, 3),
    st.sampled_from(MemberState),
)
live = [
    MemberRecord(name, "agent", "brest", ADDRESS, "", 1, 0, MemberState.LIVE)
    for name in "ab"
]


@given(st.lists(records), st.randoms(use_true_random=False))
def test_merge_is_independent_of_order(updates, rng):
    tables = [MemberTable(), MemberTable()]
    for table in tables:
        table.merge(live)
        rng.shuffle(updates)
        for record in updates:
            table.merge([record])
    assert tables[0].records == tables[1].records
    assert tables[0].digest() == tables[1].digest()
    assert tables[0].differing(tables[1].part_digests()) == []


def test_removed_process_is_not_merged_again_while_gone():
    table = MemberTable()
    gone = live[0]._replace(state=MemberState.GONE)
    table.merge([live[0]])
    table.merge([gone])
    table.forget("a")
    assert table.digest() == MemberTable().digest()
    assert table.merge([gone]) == []
    assert table.merge([live[0]]) == [live[0]]
