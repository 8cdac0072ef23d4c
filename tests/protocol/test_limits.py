"""Fractions of limits are rounded down slightly and encoded in three bytes."""

from __future__ import annotations

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol.limits import MAX_FRACTION, round_down_to_float16


@given(st.floats(1e-4, MAX_FRACTION))
def test_fraction_is_rounded_down_by_less_than_a_thousandth(fraction):
    assert fraction * 0.999 < round_down_to_float16(fraction) <= fraction
    assert len(cbor2.dumps(round_down_to_float16(fraction), canonical=True)) == 3


@given(st.lists(st.floats(0, 1), min_size=1, max_size=40))
def test_rounding_does_not_increase_the_sum(fractions):
    assert sum(map(round_down_to_float16, fractions)) <= sum(fractions)
