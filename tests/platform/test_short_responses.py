"""A response of the store or of a rank that is cut short stands for nothing."""

from __future__ import annotations

import json
import random
from contextlib import asynccontextmanager

import pytest
import trio

from poplarward.direct.feed_watcher import FeedWatcher
from poplarward.direct.model import UpstreamEntry
from poplarward.direct.rank_group import CommandResult
from poplarward.direct.upstreams import UpstreamTable
from poplarward.errors import StoreUnavailable
from poplarward.platform.headers import PlatformHeaders
from poplarward.platform.rank_control import PlatformRankControl
from poplarward.platform.store import PlatformStore, StoreFeed
from poplarward.platform.upstream_calls import UpstreamCalls
from poplarward.state.budget import Backoff, RetryBudget
from tests.raw_server import RawServer, unframed

NESTED = b"[" * 200_000


def item(name, value=1):
    return {"metadata": {"name": name, "revision": 5}, "spec": {"value": value}}


LAST_PAGE = {"items": [item("b")], "hasMore": False, "storeRevision": 7}
FIRST_PAGE = {"items": [item("a")], "hasMore": True, "storeRevision": 6}
CHANGES = {"events": [{"object": item("a"), "deleted": True}], "storeRevision": 8}
REPORT = {
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 2,
    "step": 3,
    "map": 0,
    "sequence": 1,
}


def encode(document):
    return json.dumps(document).encode()


def cuts(document):
    whole = encode(document)
    return [whole[:n_bytes] for n_bytes in range(len(whole))]


@asynccontextmanager
async def open_feed(nursery, *responses, **options):
    """Yield a feed whose store sends the given responses, one a call."""
    server = await RawServer(*responses, **options).start(nursery)
    store = PlatformStore(server.address)
    yield StoreFeed(store, "things", lambda _, spec: spec["value"])
    await store.close()
    nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_server(nursery, *responses):
    """Yield a function that returns a new feed of a store with the given responses.

    After a failed call, a feed asks for no changes until it has listed all objects.
    """
    server = await RawServer(*responses).start(nursery)

    def new_feed():
        store = PlatformStore(server.address)
        return StoreFeed(store, "things", lambda _, spec: spec["value"])

    yield new_feed
    assert server.n_requests == len(responses)
    nursery.cancel_scope.cancel()


async def test_list_whose_page_is_cut_short_is_no_list(nursery):
    short = [unframed(body) for body in cuts(LAST_PAGE)]
    responses = [r for s in short for r in (unframed(encode(FIRST_PAGE)), s)]
    async with open_feed(nursery, *responses) as feed:
        for _ in short:
            with pytest.raises(StoreUnavailable):
                await feed.list()


async def test_changes_that_are_cut_short_are_none(nursery):
    short = [unframed(body) for body in cuts(CHANGES)]
    async with open_server(nursery, *short) as new_feed:
        for _ in short:
            with pytest.raises(StoreUnavailable):
                await new_feed().changes(5, 100)


async def test_response_that_is_reset_is_not_used_though_it_could_be_read(nursery):
    response = unframed(encode(LAST_PAGE))
    async with open_feed(nursery, response, is_reset=True) as feed:
        with pytest.raises(StoreUnavailable):
            await feed.list()


@pytest.mark.parametrize(
    "body",
    [
        b"null",
        b"[]",
        b"{}",
        NESTED,
        b'{"storeRevision": 7}',
        b'{"items": null, "events": null, "storeRevision": 7}',
        b'{"items": {}, "events": {}, "storeRevision": 7}',
        b'{"items": [], "hasMore": true, "storeRevision": 7}',
        b'{"items": [1, {}], "hasMore": true, "storeRevision": 7}',
    ],
)
async def test_document_of_another_shape_is_neither_a_list_nor_changes(nursery, body):
    async with open_server(nursery, unframed(body), unframed(body)) as new_feed:
        with trio.fail_after(5):
            with pytest.raises(StoreUnavailable):
                await new_feed().list()
            with pytest.raises(StoreUnavailable):
                await new_feed().changes(5, 100)


async def test_pages_that_do_not_advance_end_the_list(nursery):
    async with open_feed(nursery, unframed(encode(FIRST_PAGE))) as feed:
        with trio.fail_after(5), pytest.raises(StoreUnavailable):
            await feed.list()


async def test_short_response_neither_changes_nor_confirms_the_copy(nursery):
    whole = [unframed(encode(LAST_PAGE))]
    short = [unframed(body) for body in cuts(CHANGES)[::20]]
    lists, changes = [], []
    async with open_feed(nursery, *whole, *short) as feed:
        watcher = FeedWatcher(
            "things",
            feed,
            100,
            lists.append,
            changes.append,
            Backoff(RetryBudget(1_000.0), random.Random(1), max_backoff_ms=20.0),
        )
        async with trio.open_nursery() as watching:
            watching.start_soon(watcher.run)
            with trio.fail_after(5):
                while watcher.confirmed_at_ms is None:
                    await trio.sleep(0.01)
            confirmed_at_ms = watcher.confirmed_at_ms
            await trio.sleep(0.5)
            watching.cancel_scope.cancel()
        assert watcher.confirmed_at_ms == confirmed_at_ms
    assert lists == [{"b": 1}]
    assert changes == []


@asynccontextmanager
async def open_rank(nursery, *responses, **options):
    """Yield a control of one rank that sends the given responses, one a call."""
    server = await RawServer(*responses, **options).start(nursery)
    table = UpstreamTable()
    table.put(UpstreamEntry("u0", "llm", server.address, "a", 5, False, 1))
    yield PlatformRankControl(UpstreamCalls(table, PlatformHeaders()), 1_000.0)
    await table.get("u0").pool.close()
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("document", "call"),
    [
        (REPORT, lambda control: control.report("u0")),
        (
            {"step": 1, "epoch": 1, "counts": [4, 5]},
            lambda control: control.counts("u0"),
        ),
        (
            {"map": {"version": 1, "experts": [[0, 1]]}},
            lambda control: control.layers("u0"),
        ),
    ],
    ids=["report", "counts", "layers"],
)
async def test_document_of_a_rank_that_is_cut_short_is_none(nursery, document, call):
    bodies = [*cuts(document), NESTED, b"null", b"3"]
    async with open_rank(nursery, *map(unframed, bodies)) as control:
        for _ in bodies:
            assert await call(control) is None


async def test_document_of_a_rank_that_is_reset_is_none(nursery):
    response = unframed(encode(REPORT))
    async with open_rank(nursery, response, is_reset=True) as control:
        assert await control.report("u0") is None


async def test_command_whose_response_breaks_off_is_neither_accepted_nor_refused(
    nursery,
):
    head = b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n"
    responses = [head + b"{}", head, head[:-2], head[:12], b"", b"nonsense"]
    async with open_rank(nursery, *responses) as control:
        for _ in responses:
            result = await control.arm("u0", 1, 2, 3)
            assert result is CommandResult.UNKNOWN


@pytest.mark.parametrize("kind", ["body", "head", "digits"])
async def test_rank_that_sends_bytes_without_end_is_given_up(nursery, kind):
    server = RawServer()
    head = b"HTTP/1.1 200 OK\r\n"
    response = {
        "body": server.endless(head + b"\r\n", b"x" * 65_536),
        "head": server.endless(head + b"X: ", b"x" * 65_536),
        "digits": head + b"Keep-Alive: timeout=%s\r\n\r\n{}" % (b"9" * 5_000),
    }[kind]
    async with open_rank(nursery, response) as control:
        with trio.fail_after(5):
            assert await control.report("u0") is None
            assert await control.arm("u0", 1, 2, 3) is not CommandResult.REFUSED


@pytest.mark.parametrize("part", [b"x" * 65_536, b'{"items": ['])
async def test_store_that_sends_bytes_without_end_is_given_up(nursery, part):
    server = RawServer()
    response = server.endless(b"HTTP/1.1 200 OK\r\n\r\n", part)
    server.responses.append(response)
    await server.start(nursery)
    store = PlatformStore(server.address)
    with trio.fail_after(10), pytest.raises(StoreUnavailable):
        await store.list_page("things", None)
    assert server.n_sent_bytes < 20_000_000
    await store.close()
    nursery.cancel_scope.cancel()
