"""The specialized queries of the view agree with the members that it returns."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.reachability import Reachability
from poplarward.coordination.membership.table import MemberTable
from poplarward.coordination.membership.view import MemberView
from poplarward.transport import Address

DATA_CENTRES = ["rennes", "brest"]
processes = st.lists(
    st.tuples(
        st.sampled_from(["entry", "agent"]),
        st.sampled_from(DATA_CENTRES),
        st.sampled_from(list(MemberState)),
    ),
    max_size=12,
)


@given(processes, st.sets(st.sampled_from(DATA_CENTRES)))
def test_queries_agree(fleet, unreachable):
    table, reachability = MemberTable(), Reachability()
    for i, (role, data_centre, state) in enumerate(fleet):
        live = MemberRecord(
            f"p-{i}", role, data_centre, Address("h", i), "", 1, 1, MemberState.LIVE
        )
        table.merge([live])
        table.merge([live._replace(state=state)])
    reachability.unreachable |= unreachable
    view = MemberView(table, reachability)
    for role in ("entry", "agent"):
        members = view.members(role, None)
        live = [m for m in members if m.state is MemberState.LIVE]
        assert view.live(role, None) == live
        assert view.not_live(role) == {m.identity.name for m in members} - {
            m.identity.name for m in live
        }
        assert view.gone(role) == {
            m.identity.name for m in members if m.state is MemberState.GONE
        }
        for data_centre in DATA_CENTRES:
            assert view.live(role, data_centre) == [
                m for m in live if m.identity.data_centre == data_centre
            ]
    assert len(view.members(None, None)) == len(fleet)
