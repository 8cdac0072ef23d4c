"""Entries of other writers that can't be read end no process and hide no others."""

from __future__ import annotations

import json

import cbor2
import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarward.direct.upstreams import UpstreamTable
from poplarward.errors import FindingsError, StoreUnavailable
from poplarward.platform.configuration import decode_host, decode_upstream
from poplarward.platform.store import PlatformStore, StoreFeed
from tests.raw_server import RawServer, unframed

SPEC = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
UNREADABLE = ("w-\udcff", "w-\x00", "w\r\nX: y", "w ", "", "\ud800", "w\x7f", "w\u2028")

texts = st.text(st.characters(exclude_categories=()), max_size=8)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=6,
)
specs = values | st.fixed_dictionaries({}, optional=dict.fromkeys(SPEC, values)).map(
    lambda changes: {**SPEC, **changes}
)


@given(texts, specs)
def test_any_entry_is_decoded_or_found_invalid(name, spec):
    table = UpstreamTable()
    try:
        entry = decode_upstream(name, spec)
    except FindingsError:
        return
    table.put(entry)
    h11.Request(
        method="GET",
        target="/",
        headers=[("Host", "x"), ("Poplarward-Expect-Instance", entry.id.encode())],
    )
    cbor2.dumps(entry)
    table.remove(name, None)


@given(texts, specs | values)
def test_any_host_is_decoded_or_found_invalid(name, spec):
    try:
        ip, port = decode_host(name, spec)
    except FindingsError:
        return
    assert ip.count(".") == 3
    assert 0 < port < 65_536


# Guards against LOST: an entry whose id can't be read ended every entry process.
@pytest.mark.parametrize("name", UNREADABLE)
def test_entry_whose_id_can_not_be_read_names_no_upstream(name):
    with pytest.raises(FindingsError):
        decode_upstream(name, SPEC)


@pytest.mark.parametrize("is_raw", (False, True))
@pytest.mark.parametrize("has_more", (False, True))
async def test_unreadable_entry_hides_no_others(nursery, is_raw, has_more):
    def encode(document):
        text = json.dumps(document)
        return text.replace("\\udcff", "\udcff").encode(errors="surrogateescape")

    def page(*names, **more):
        items = [{"metadata": {"name": n, "revision": 5}, "spec": SPEC} for n in names]
        document = {"items": items, "hasMore": False, "storeRevision": 6, **more}
        return unframed(encode(document) if is_raw else json.dumps(document).encode())

    if has_more:
        pages = [page("w-1", "w-\udcff", hasMore=True), page("x-2")]
    else:
        pages = [page("w-1", "w-\udcff", "x-2")]
    server = await RawServer(*pages).start(nursery)
    store = PlatformStore(server.address)
    listing = await StoreFeed(store, "servers", decode_upstream).list()
    assert sorted(listing.objects) == ["w-1", "x-2"]
    await store.close()
    nursery.cancel_scope.cancel()


async def test_changes_with_bytes_of_another_encoding_are_read(nursery):
    item = {"metadata": {"name": "w-1"}, "spec": {**SPEC, "zone": "\udcff"}}
    document = {"events": [{"object": item}], "storeRevision": 7}
    body = json.dumps(document).replace("\\udcff", "\udcff")
    server = await RawServer(unframed(body.encode(errors="surrogateescape"))).start(
        nursery
    )
    store = PlatformStore(server.address)
    changes = await StoreFeed(store, "servers", decode_upstream).changes(5, 100)
    assert [(c.name, c.value) for c in changes.changes] == [("w-1", None)]
    await store.close()
    nursery.cancel_scope.cancel()


async def test_response_that_is_no_document_is_still_none(nursery):
    server = await RawServer(unframed(b'{"events": [\xff')).start(nursery)
    store = PlatformStore(server.address)
    with pytest.raises(StoreUnavailable):
        await StoreFeed(store, "servers", decode_upstream).changes(5, 100)
    await store.close()
    nursery.cancel_scope.cancel()


NESTED = 100_000 * "[" + 100_000 * "]"
ODD_VALUES = {
    "nested": NESTED,
    "nested-tables": 50_000 * '{"a":' + "1" + 50_000 * "}",
    "nested-as-far-as-the-parser-goes": 900 * "[" + 900 * "]",
    "digits": "9" * 5_000,
    "large": "9" * 400,
    "fraction": "0." + "9" * 5_000,
    "exponent": "1e999",
    "infinity": "Infinity",
    "nan": "NaN",
    "port": '"127.0.0.1:65536"',
    "digits-in-port": '"127.0.0.1:%s"' % ("9" * 5_000),
}
ODD_FIELDS = ("spec", "service", "address", "zone", "slots", "state", "born")


def with_odd_entry(field, value):
    """Return the bytes of an entry with a value that JSON libraries don't write."""
    spec = "@" if field == "spec" else {**SPEC, field: "@"}
    item = json.dumps({"metadata": {"name": "w-9", "revision": 6}, "spec": spec})
    return item.replace('"@"', value)


# Guards against LOST: one odd entry ended the processes that read it, or made them stop
# following all others.
@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("field", ODD_FIELDS)
async def test_odd_entry_of_another_writer_hides_no_others(nursery, field, value):
    odd = with_odd_entry(field, ODD_VALUES[value])
    sound = json.dumps({"metadata": {"name": "w-1", "revision": 5}, "spec": SPEC})
    page = f'{{"items": [{sound}, {odd}, {sound}], "storeRevision": 6}}'
    changes = f'{{"events": [{{"object": {odd}}}, {{"object": {sound}}}], '
    changes += '"storeRevision": 7}'
    server = await RawServer(unframed(page.encode()), unframed(changes.encode())).start(
        nursery
    )
    store = PlatformStore(server.address)
    feed = StoreFeed(store, "servers", decode_upstream)
    listing = await feed.list()
    assert "w-1" in listing.objects
    events = (await feed.changes(6, 100)).changes
    assert events[-1].name == "w-1" and events[-1].value is not None
    for entry in (listing.objects.get("w-9"), events[0].value):
        # Whether an odd field matters depends on the field; what is read can be used.
        if entry is not None:
            table = UpstreamTable()
            table.put(entry)
            assert float(entry.n_slots) and float(entry.started_at_ms) >= 0
    await store.close()
    nursery.cancel_scope.cancel()
