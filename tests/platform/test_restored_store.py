"""Entry processes follow a store that ends and comes back from an older copy.

The store then gives out revisions again that it has given out before, for other
changes.
"""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import StoreInterrupted
from poplarward.platform.store import PlatformStore, StoreFeed
from tests.direct.relay_harness import (
    ScriptedUpstream,
    read_response,
    request_bytes,
)
from tests.platform.documents import config_document, server_document
from tests.platform.entry_process import EntryProcess, free_ports
from tests.platform.store_standin import StoreStandin
from tests.platform.test_entry_process import STABLE_WINDOW_S, running_entry


async def wait_in_force(entry, key):
    """Wait until a request with a key of the newest version is served."""
    while (await entry.call("/read/1", key=key)).status != 200:
        await trio.sleep(0.02)


async def go_back(store, copy, upstream):
    """Restore a copy and have operator and workers write until it is passed."""
    passed = store.revision
    store.restore(copy)
    store.put("config", "main", config_document(9, key="k-9"))
    store.put("config", "main", config_document(10, key="k-10"))
    spec = server_document(f"127.0.0.1:{upstream.port}")
    while store.revision < passed + 2:
        store.put("servers", "i-0", spec)


# Guards against CONFIG: a host asked for changes after a revision that the restored
# store had given out again, and never saw those before it.
@pytest.mark.parametrize("outage_s", (0.0, 1.0))
async def test_change_under_a_reused_revision_is_applied(tmp_path, outage_s):
    store, upstream = StoreStandin(), ScriptedUpstream()
    async with running_entry(tmp_path, store, upstream) as entry:
        copy = store.copy()
        for number in range(10):
            store.put("operator", f"note-{number}", {})
        store.put("config", "main", config_document(9, key="k-9"))
        await wait_in_force(entry, "k-9")
        await store.stop()
        await go_back(store, copy, upstream)
        await trio.sleep(outage_s)
        await store.start()
        with trio.fail_after(STABLE_WINDOW_S):
            await wait_in_force(entry, "k-10")


async def open_feed(nursery):
    """Return a store, its client, a feed of both, and a copy that lacks a change."""
    store = StoreStandin()
    await nursery.start(store.serve)
    client = PlatformStore(store.address)
    store.put("operator", "a", 1)
    copy = store.copy()
    store.put("operator", "a", 2)
    return store, client, StoreFeed(client, "operator", lambda name, spec: spec), copy


async def test_revision_is_not_used_after_the_store_has_closed_an_idle_connection(
    nursery,
):
    store, client, feed, copy = await open_feed(nursery)
    revision = (await feed.list()).revision
    await store.stop()
    store.restore(copy)
    for value in (3, 4):
        store.put("operator", "a", value)
    await store.start()
    with pytest.raises(StoreInterrupted):
        await feed.changes(revision, 100)
    assert (await feed.list()).objects == {"a": 4}
    assert not (await feed.changes(store.revision, 100)).changes
    await client.close()
    nursery.cancel_scope.cancel()


async def test_revision_below_the_one_held_is_not_followed(nursery):
    store, client, feed, copy = await open_feed(nursery)
    revision = (await feed.list()).revision

    async def go_back():
        await trio.sleep(0.02)
        store.restore(copy)

    nursery.start_soon(go_back)
    with pytest.raises(StoreInterrupted):
        await feed.changes(revision, 100)
    await client.close()
    nursery.cancel_scope.cancel()


# Guards against CONFIG: a host that started while the store was back with an older copy
# refused for good what the version in force at the others allows.
async def test_host_that_starts_before_an_older_store_denies_nothing(tmp_path):
    store, upstream = StoreStandin(), ScriptedUpstream()
    (port,) = free_ports(1, "127.0.1.1")
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        await nursery.start(upstream.serve)
        store.put("servers", "i-0", server_document(f"127.0.0.1:{upstream.port}"))
        store.put("config", "main", config_document(7))
        hosts = [
            EntryProcess(tmp_path, n, port, f"127.0.1.{3 - n}", store.address)
            for n in (1, 2)
        ]
        try:
            await hosts[0].start()
            copy = store.copy()
            store.put("config", "main", config_document(9, key="k-9"))
            while await status_of(hosts[0], "k-9") != 200:
                await trio.sleep(0.02)
            await store.stop()
            store.restore(copy)
            await store.start()
            nursery.start_soon(hosts[1].start)
            while not await status_of(hosts[1], "k-9"):
                await trio.sleep(0.02)
            while "hosts.peer_appeared" not in hosts[1].log():
                await trio.sleep(0.02)
            statuses = set()
            with trio.move_on_after(STABLE_WINDOW_S):
                while True:
                    statuses.add(await status_of(hosts[1], "k-9"))
                    statuses.add(await status_of(hosts[1], "k-1"))
                    await trio.sleep(0.05)
            assert statuses == {503}
            # The operator writes the lost version again.
            store.put("config", "main", config_document(9, key="k-9"))
            while await status_of(hosts[1], "k-9") != 200:
                await trio.sleep(0.02)
            assert await status_of(hosts[1], "k-1") == 401
        finally:
            for host in hosts:
                host.kill()
            nursery.cancel_scope.cancel()


async def status_of(host, key):
    """Return the status of a request with a key, 0 if the host does not listen yet."""
    ip, _, port = host.front.rpartition(":")
    try:
        stream = await trio.open_tcp_stream(ip, int(port))
    except OSError:
        return 0
    async with stream:
        await stream.send_all(request_bytes("/read/1", key=key))
        return (await read_response(stream)).status
