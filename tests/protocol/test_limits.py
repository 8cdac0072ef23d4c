"""Parts of limits are rounded down, by little, and take few bytes."""

from __future__ import annotations

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol.limits import MAX_FRACTION, round_down_to_float16


@given(st.floats(1e-4, MAX_FRACTION))
def test_part_is_rounded_down_by_less_than_a_thousandth(part):
    assert part * 0.999 < round_down_to_float16(part) <= part
    assert len(cbor2.dumps(round_down_to_float16(part), canonical=True)) == 3


@given(st.lists(st.floats(0, 1), min_size=1, max_size=40))
def test_rounded_shares_sum_to_no_more(parts):
    assert sum(map(round_down_to_float16, parts)) <= sum(parts)
