"""Operators' changes have a known outcome, also when responses are lost."""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import NotFound, StoreUnavailable, WriteUnknown
from poplarward.operations.changes import ResourceWriter, VersionConflict
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import Writer

KIND, NAME = "workspaces", "ateliers"


def make_changes():
    store = MemoryObjectStore()
    return store, ResourceWriter(store, Writer(store))


async def test_history_keeps_the_last_versions_without_internal_fields(autojump_clock):
    _, changes = make_changes()
    version = 0
    for share in range(8):
        version = (await changes.put(KIND, NAME, {"share": share}, version)).version
    versions = await changes.history(KIND, NAME)
    assert [r.spec for r in versions] == [{"share": n} for n in (7, 6, 5, 4, 3, 2)]
    assert [r.version for r in versions] == [8, 7, 6, 5, 4, 3]


async def test_losing_writer_receives_the_current_resource(autojump_clock):
    _, changes = make_changes()
    first = await changes.put(KIND, NAME, {"share": 1}, 0)
    outcomes = []

    async def write(share):
        try:
            spec = {"share": share}
            outcomes.append(await changes.put(KIND, NAME, spec, first.version))
        except VersionConflict as error:
            outcomes.append(error.current)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write, 2)
        nursery.start_soon(write, 3)
    assert outcomes[0] == outcomes[1]


async def test_deletion_with_lost_response_is_confirmed(autojump_clock):
    store, changes = make_changes()
    version = (await changes.put(KIND, NAME, {"share": 1}, 0)).version
    store.faults.lost_answers = 1.0
    revision = await changes.delete(KIND, NAME, version)
    assert revision == store.revision == 2
    with pytest.raises(NotFound):
        await changes.delete(KIND, NAME, version)


async def test_deletion_with_the_store_down_is_refused_or_unknown(autojump_clock):
    store, changes = make_changes()
    version = (await changes.put(KIND, NAME, {"share": 1}, 0)).version
    store.set_down(True)
    with pytest.raises(StoreUnavailable):
        await changes.delete(KIND, NAME, version)
    store.set_down(False)
    store.faults.writes_per_s = 0
    with pytest.raises(WriteUnknown):
        await changes.delete(KIND, NAME, version)


async def test_set_or_delete_is_idempotent_under_races(autojump_clock):
    store, changes = make_changes()
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(
                changes.set_or_delete, "hostdrains", "h", {"drain": True}
            )
    written = store.revision
    await changes.set_or_delete("hostdrains", "h", {"drain": True})
    assert store.revision == written == 1
    await changes.set_or_delete("hostdrains", "h", None)
    assert await changes.set_or_delete("hostdrains", "h", None) == 0
