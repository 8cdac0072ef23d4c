"""Documents with parts that can't be read."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarward.transport.decoding import (
    MAX_DEPTH,
    MAX_NUMBER_LENGTH,
    decode_json,
    decode_json_partly,
)

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
EXTREMES = {
    "lists": 50_000 * "[" + 50_000 * "]",
    "tables": 50_000 * '{"]":' + "1" + 50_000 * "}",
    "digits": "-" + "9" * 5_000,
}


@given(values)
def test_sound_document_is_read_as_ever(value):
    text = json.dumps(value)
    assert decode_json_partly(text) == decode_json(text) == value


@given(values, values, st.sampled_from(sorted(EXTREMES)))
def test_parts_beside_an_extreme_one_are_read(before, after, extreme):
    text = f"[{json.dumps(before)}, {EXTREMES[extreme]}, {json.dumps(after)}]"
    with pytest.raises(ValueError):
        decode_json(text)
    read = decode_json_partly(text)
    assert [read[0], read[2]] == [before, after]
    assert extreme != "digits" or read[1] is None


@pytest.mark.parametrize("n_levels", (MAX_DEPTH - 1, MAX_DEPTH, MAX_DEPTH + 1))
def test_only_what_is_too_deep_is_left_out(n_levels):
    nested = n_levels * "[" + n_levels * "]"
    read = decode_json_partly(f"[{EXTREMES['digits']}, {nested}]")[1]
    kept = min(n_levels, MAX_DEPTH - 1)
    expected = kept * "[" + ("null" if n_levels >= MAX_DEPTH else "") + kept * "]"
    assert read == json.loads(expected)


def test_long_numbers_in_texts_are_kept():
    digits = "9" * (MAX_NUMBER_LENGTH + 1)
    document = {"a": digits, "b": "[" * 100, "c": '\\"' + digits}
    text = json.dumps(document)[:-1] + f', "d": {EXTREMES["digits"]}}}'
    assert decode_json_partly(text) == {**document, "d": None}


@pytest.mark.parametrize(
    "text", ["", "[", "[1, ", 50_000 * "[", 50_000 * "]", '"', "9" * 5_000 + ",", "]["]
)
def test_what_is_no_document_is_refused(text):
    with pytest.raises(ValueError):
        decode_json_partly(text)
    with pytest.raises(ValueError):
        decode_json_partly(text.encode() + b"\xff")
