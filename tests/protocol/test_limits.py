"""Parts of limits are rounded down, by little, and take few bytes."""

from __future__ import annotations

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol.limits import MAX_PART, brief_part


@given(st.floats(1e-4, MAX_PART))
def test_part_is_rounded_down_by_less_than_a_thousandth(part):
    assert part * 0.999 < brief_part(part) <= part
    assert len(cbor2.dumps(brief_part(part), canonical=True)) == 3


@given(st.lists(st.floats(0, 1), min_size=1, max_size=40))
def test_rounded_shares_sum_to_no_more(parts):
    assert sum(map(brief_part, parts)) <= sum(parts)
