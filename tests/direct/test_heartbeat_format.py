"""Datagrams of any content are heartbeats or are refused."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarward.direct.heartbeat_format import (
    FORMAT,
    HostHeartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from poplarward.errors import DecodeError

HEARTBEAT = HostHeartbeat("entry-1", "a1", 7, "10.0.0.1:80", True, {}, {}, False)
HUGE = 10**400

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


# Guards against LOST: a number that is no 64-bit one ended the process.
@pytest.mark.parametrize(
    "changes",
    [
        {"loads": {"u-1": float("inf")}},
        {"slowness": {"u-1": HUGE}},
        {"post_shift_skews": {"app": HUGE}},
        {"link_mbps": HUGE},
        {"verdicts": [([float("inf")] * 5, [])]},
        {"limits": [(1, HUGE, 1, 1)]},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_heartbeat_with_a_number_out_of_range_is_refused(changes):
    data = cbor2.dumps([FORMAT, *HEARTBEAT._replace(**changes)])
    with pytest.raises(DecodeError):
        decode_heartbeat(data)


@given(st.sampled_from(HostHeartbeat._fields), values)
def test_heartbeat_with_any_field_is_read_or_refused(name, value):
    data = cbor2.dumps([FORMAT, *HEARTBEAT._replace(**{name: value})])
    try:
        heartbeat = decode_heartbeat(data)
    except DecodeError:
        return
    assert heartbeat.host == HEARTBEAT.host or name == "host"


@given(st.binary(max_size=200))
def test_any_datagram_is_read_or_refused(data):
    try:
        decode_heartbeat(data)
    except DecodeError:
        return


def test_heartbeat_is_read_as_it_was_sent():
    assert decode_heartbeat(encode_heartbeat(HEARTBEAT)) == HEARTBEAT
