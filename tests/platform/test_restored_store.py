"""Entry processes follow a store that ends and comes back from an older copy.

The store then gives out revisions again that it has given out before, for other
changes.
"""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import StoreInterrupted
from poplarward.platform.store import PlatformStore, StoreFeed
from tests.direct.relay_harness import ScriptedUpstream
from tests.platform.documents import config_document, server_document
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
