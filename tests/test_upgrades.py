"""Two releases run side by side, and one writes fields unknown to the other."""

from __future__ import annotations

import itertools
import random

import pytest
import trio

from poplarward.coordination import Lease, LeaseTiming
from poplarward.coordination.configuration.reader import StoreReader
from poplarward.coordination.expert_maps import MapRecord
from poplarward.coordination.expert_maps.record import RecordedMap
from poplarward.errors import CallRefused, FormatUnsupported, StoreUnavailable
from poplarward.operations.changes import ResourceWriter
from poplarward.protocol import Peers, ProcessIdentity, codec, message
from poplarward.protocol.expert_maps import MapId
from poplarward.requests.payments import Forward, Record, RecordState, Replay, journal
from poplarward.requests.payments.partition import Partition
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import ConfigurationView, Writer
from poplarward.transport import Address, MemoryNetwork

WEIGHTS = {"skew_weight": 3.0, "rebalance_cost_weight": 1.0}
TIMING = LeaseTiming(length_ms=600, renew_interval_ms=200, poll_interval_ms=200)
MAX_WAIT_S = 30
LATER_FORMATS = {"configuration": 2, "leases": 2, "expertmaps": 2, "payments": 3}


@message(9_101)
class KnownMessage:
    text: str
    priority: int = 7


@message(9_102)
class UnknownMessage:
    text: str


class LaterStore:
    """A store client that writes objects as the next release does."""

    def __init__(self, store):
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def put(self, kind, name, spec, expected_version):
        later = {"format": LATER_FORMATS[kind], "added": ["by a later release"]}
        return await self._store.put(kind, name, {**spec, **later}, expected_version)


def set_format(store, kind, name, number):
    """Change the format of an object to that of a distant release."""
    found = store._objects[(kind, name)]
    store._objects[(kind, name)] = found._replace(spec={**found.spec, "format": number})


@pytest.fixture
def store():
    return MemoryObjectStore()


@pytest.fixture
def both(store):
    """Store clients of a process of this release and of one of the next release."""
    return store, LaterStore(store)


async def spec_of(store, kind, name):
    return (await store.get(kind, name)).spec


async def wait_for(condition):
    with trio.fail_after(MAX_WAIT_S):
        while not condition():
            await trio.sleep(0.05)


async def test_configuration_changes_by_both(both, store, autojump_clock):
    changes = [ResourceWriter(each, Writer(each, n)) for n, each in enumerate(both)]
    version = 0
    for turn, change in zip(range(5), itertools.cycle(changes)):
        weights = {**WEIGHTS, "skew_weight": float(turn)}
        version = (await change.put("deployments", "armor", weights, version)).version
    spec = await spec_of(store, "configuration", "deployments.armor")
    assert spec["added"] == ["by a later release"]
    assert spec["format"] == 2
    view = ConfigurationView()
    await StoreReader(store, view, random.Random(1)).list_until(trio.Event())
    assert view.get("deployments", "armor")["skew_weight"] == 4.0


async def test_configuration_of_an_unsupported_format_is_kept(
    store, nursery, autojump_clock
):
    changes = ResourceWriter(store, Writer(store))
    stored = await changes.put("deployments", "armor", WEIGHTS, 0)
    view = ConfigurationView()
    reader = StoreReader(store, view, random.Random(1))
    await reader.list_until(trio.Event())
    set_format(store, "configuration", "deployments.armor", 3)
    with pytest.raises(FormatUnsupported):
        await changes.put("deployments", "armor", WEIGHTS, stored.version)
    with pytest.raises(FormatUnsupported):
        await changes.set_or_delete("deployments", "armor", None)
    assert (await spec_of(store, "configuration", "deployments.armor"))["format"] == 3
    await changes.put("deployments", "other", WEIGHTS, 0)
    ready = trio.Event()
    nursery.start_soon(reader.list_until, ready)
    await trio.sleep(5)
    assert reader.has_failed
    assert view.get("deployments", "armor") == WEIGHTS
    nursery.cancel_scope.cancel()


async def test_lease_passes_between_both(both, store, nursery, autojump_clock):
    fences = []
    for number, each in zip(range(5), itertools.cycle(both)):
        lease = Lease(each, "map/drafts", f"p-{number}", timing=TIMING)
        await lease.start(nursery)
        await wait_for(lambda lease=lease: lease.fence is not None)
        await trio.sleep(2)
        fences.append(lease.fence)
        await lease.close()
    assert fences == sorted(set(fences))
    assert (await spec_of(store, "leases", "map/drafts"))["added"]


async def test_lease_of_an_unsupported_format_is_not_acquired(
    store, nursery, autojump_clock
):
    first = Lease(store, "map/drafts", "p-1", timing=TIMING)
    await first.start(nursery)
    await wait_for(lambda: first.fence is not None)
    await first.close()
    set_format(store, "leases", "map/drafts", 3)
    second = Lease(store, "map/drafts", "p-2", timing=TIMING)
    await second.start(nursery)
    await trio.sleep(20)
    assert second.fence is None
    assert (await spec_of(store, "leases", "map/drafts"))["holder"] == ""
    nursery.cancel_scope.cancel()


async def test_map_record_by_both(both, store, autojump_clock):
    records = [
        MapRecord(each, Writer(each, n), "drafts") for n, each in enumerate(both)
    ]
    maps = [RecordedMap(MapId(n, 1, 1), (((n,),),)) for n in range(5)]
    for each, record in zip(maps, itertools.cycle(records)):
        await record.write(each)
        assert [await r.read() for r in records] == [each, each]
    assert (await spec_of(store, "expertmaps", "drafts"))["added"]
    set_format(store, "expertmaps", "drafts", 3)
    later = RecordedMap(MapId(9, 1, 1), (((9,),),))
    with pytest.raises(FormatUnsupported):
        await records[0].write(later)
    with pytest.raises(StoreUnavailable):
        await records[0].read()
    assert (await spec_of(store, "expertmaps", "drafts"))["map_id"] == [4, 1, 1]


async def pay(partition, key, owner):
    record = Record(f"digest of {key}", owner, RecordState.STARTED, 1_000)
    decision = await partition.begin(key, record)
    if decision == Forward():
        partition.finish(key, record.with_response(201, "text/plain", key.encode()))
        await wait_for(lambda: partition.is_flushed)
    return decision


async def test_journal_by_both(both, store, nursery, autojump_clock, monkeypatch):
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 0)
    partitions = [
        Partition(each, Writer(each, n), "ledger-000", f"a-{n}", lambda: 1_000)
        for n, each in enumerate(both)
    ]
    for partition in partitions:
        nursery.start_soon(partition.run)
    for number in range(13):
        partition = partitions[number % 2]
        assert await pay(partition, f"k-{number}", f"a-{number % 2}") == Forward()
    for number in range(13):
        for n, partition in enumerate(partitions):
            decision = await pay(partition, f"k-{number}", f"a-{n}")
            assert isinstance(decision, Replay)
    spec = await spec_of(store, "payments", "ledger-000")
    assert spec["added"] == ["by a later release"]
    assert spec["format"] == journal.FORMAT_VERSION + 1
    nursery.cancel_scope.cancel()


async def test_journal_of_an_unsupported_format_is_kept(store, nursery, autojump_clock):
    partitions = [
        Partition(store, Writer(store, n), "ledger-000", f"a-{n}", lambda: 1_000)
        for n in range(2)
    ]
    for partition in partitions:
        nursery.start_soon(partition.run)
    assert await pay(partitions[0], "k-1", "a-0") == Forward()
    set_format(store, "payments", "ledger-000", journal.FORMAT_VERSION + 2)
    before = await store.get("payments", "ledger-000")
    decision = await pay(partitions[1], "k-2", "a-1")
    assert "written by a release too far" in decision.reason
    assert await store.get("payments", "ledger-000") == before
    nursery.cancel_scope.cancel()


def test_records_preserve_values_of_a_later_format():
    spec = {
        "format": 3,
        "open": {"a/k": ["d", "a-0", "done", 5, 201, "text/plain", "", False, "new"]},
        "segments": [[4, 5, 1, "new"]],
        "added": 1,
    }
    read = journal.Journal.from_spec(spec)
    assert read.to_spec() == spec


async def start_peers(nursery, handlers):
    network = MemoryNetwork()
    peers = []
    for number in (1, 2):
        address = Address(f"10.0.0.{number}", 0)
        identity = ProcessIdentity("entry", f"e-{number}", 1, address, "brest")
        peers.append(Peers(network.host(address.host), identity, "s"))
    for message_type, handler in handlers.items():
        peers[1].register(message_type, handler)
    for each in peers:
        await each.start(nursery)
    return peers


async def test_connection_survives_unknown_messages(
    nursery, autojump_clock, monkeypatch
):
    received = []

    async def receive(connection, known):
        received.append(known)
        return (
            UnknownMessage("reply") if known.text == "later" else KnownMessage("reply")
        )

    client, server = await start_peers(nursery, {KnownMessage: receive})
    connection = await client.connection(server.identity.address)
    monkeypatch.delitem(codec._classes, 9_102)
    with pytest.raises(CallRefused):
        await connection.call(UnknownMessage("call"), 1_000)
    with pytest.raises(CallRefused):
        await connection.call(KnownMessage("later"), 1_000)
    await connection.notify(UnknownMessage("notice"))
    await connection.notify_all(
        [KnownMessage("one"), UnknownMessage("two"), KnownMessage("three")]
    )
    assert await connection.call(KnownMessage("call"), 1_000) == KnownMessage("reply")
    assert [known.text for known in received] == ["later", "one", "three", "call"]
    assert not connection.closed.is_set()
    nursery.cancel_scope.cancel()


async def test_connection_survives_messages_with_other_fields(nursery, autojump_clock):
    received = []

    async def receive(connection, known):
        received.append(known)
        return known

    client, server = await start_peers(nursery, {KnownMessage: receive})
    connection = await client.connection(server.identity.address)
    for array in ([9_101, "a", 1, "added"], [9_101, "b"], [9_101], [9_101, 5, "x"]):
        await connection._send(0, 0, array)
    assert await connection.call(KnownMessage("c"), 1_000) == KnownMessage("c")
    assert received == [KnownMessage("a", 1), KnownMessage("b", 7), KnownMessage("c")]
    nursery.cancel_scope.cancel()
