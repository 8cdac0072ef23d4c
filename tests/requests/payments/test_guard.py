"""At-most-once payments under one fault at a time."""

from __future__ import annotations

import json

import pytest
import trio

from benchmarks.naive_payments import NaivePayments
from poplarward.protocol import ProcessIdentity
from poplarward.requests.payments import (
    Forward,
    IssuedKey,
    Journal,
    Record,
    RecordState,
    journal,
    keys,
    parse_issued_key,
    partition,
)
from poplarward.requests.payments.decisions import UNKNOWN
from poplarward.requests.payments.issued import IssuedCalls
from poplarward.requests.payments.journal import RETENTION_MS, Segment
from poplarward.requests.payments.partition import Partition
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state.writer import Writer
from poplarward.transport import Address
from tests.requests.payments.ledger_cluster import N_AGENTS, NO_KEY, LedgerCluster

STARTED = Record("d", "agent-0:1", RecordState.STARTED, 1_000)


async def start(nursery, make_payments=None):
    cluster = LedgerCluster(nursery, make_payments)
    await cluster.start()
    return cluster


def n_postings(cluster, key):
    return sum(p["reference"] == key for p in cluster.ledger.postings)


async def issue(cluster):
    return await cluster.entries[0].keys.issue("ledger")


async def test_resends_at_two_entry_hosts_run_once(nursery, autojump_clock):
    cluster = await start(nursery)
    both = [cluster.send("k-1", entry) for entry in (0, 1)]
    await trio.sleep(1)
    assert sorted(caller.status for caller in both) == [201, 409]
    again = [cluster.send("k-1", entry) for entry in (0, 1)]
    await trio.sleep(1)
    first = next(caller for caller in both if caller.status == 201)
    assert [(c.status, c.body) for c in again] == [(201, first.body)] * 2
    assert n_postings(cluster, "k-1") == 1
    nursery.cancel_scope.cancel()


async def test_key_with_another_body_is_refused(nursery, autojump_clock):
    cluster = await start(nursery)
    cluster.send("k-1", 0, cents=1)
    await trio.sleep(0.5)
    other = cluster.send("k-1", 1, cents=2)
    await trio.sleep(0.5)
    assert (other.status, other.outcome) == (422, "not-run")
    assert [p["cents"] for p in cluster.ledger.postings] == [1]
    nursery.cancel_scope.cancel()


async def test_killed_owner_leaves_its_call_unknown(nursery, autojump_clock):
    cluster = await start(nursery)
    caller = cluster.send("k-1", 0)
    await trio.sleep(0.02)
    assert n_postings(cluster, "k-1") == 1
    await cluster.kill_agent(cluster.owner_of("k-1"))
    await trio.sleep(4)
    again = cluster.send("k-1", 1)
    await trio.sleep(1)
    assert (caller.outcome, again.outcome) == ("unknown", "unknown")
    assert n_postings(cluster, "k-1") == 1
    nursery.cancel_scope.cancel()


async def test_crashed_ledger_leaves_its_call_unknown(nursery, autojump_clock):
    cluster = await start(nursery)
    callers = [cluster.send(key, 0) for key in ("k-1", await issue(cluster))]
    await trio.sleep(0.02)
    for upstream in cluster.upstreams:
        upstream.crash()
        upstream.is_up = True
    await trio.sleep(1)
    callers += [cluster.send(key, 1) for key, _, _ in list(cluster.sent)]
    await trio.sleep(1)
    assert {caller.outcome for caller in callers} == {"unknown"}
    assert len(cluster.ledger.postings) == 2
    nursery.cancel_scope.cancel()


async def test_release_leaves_the_record_of_another_agent(nursery, autojump_clock):
    store = MemoryObjectStore()
    owners = ["agent-0:1", "agent-1:2"]
    first, second = (
        Partition(store, Writer(store, number), "ledger-000", owner, lambda: 1_000)
        for number, owner in enumerate(owners)
    )
    nursery.start_soon(first.run)
    nursery.start_soon(second.run)
    record = STARTED._replace(owner=owners[1])
    assert await second.begin("a/k-1", record) == Forward()
    first.release("a/k-1")
    await trio.sleep(1)
    assert await first.begin("a/k-1", STARTED) == UNKNOWN
    nursery.cancel_scope.cancel()


async def test_agent_refuses_keys_of_another_incarnation(autojump_clock):
    identity = ProcessIdentity("agent", "agent-0", 2, Address("10.0.0.1", 1), "brest")
    calls = IssuedCalls(identity)
    earlier = IssuedKey("agent-0", 1, 0, 1)
    assert calls.begin(str(earlier), earlier, STARTED) == UNKNOWN
    key = calls.issue()
    issued = parse_issued_key(key)
    assert calls.begin(key, issued, STARTED) == Forward()
    await trio.sleep(RETENTION_MS / 1000)
    assert calls.begin(key, issued, STARTED) == UNKNOWN


async def test_payments_without_a_key_run_once(nursery, autojump_clock):
    """Each fault hits all agents, 0 to 39 ms after payments were sent to them."""
    cluster = await start(nursery)
    faults = {
        "kill": cluster.kill_agent,
        "cut": lambda number: set_cut_for_a_while(cluster, number),
        "pause": lambda number: set_paused_for_a_while(cluster, number),
    }
    for fault in faults.values():
        for wait_ms in range(0, 40, 3):
            for _ in range(N_AGENTS):
                cluster.send(NO_KEY, 0)
            await trio.sleep(wait_ms / 1000)
            for number in range(N_AGENTS):
                await fault(number)
            await trio.sleep(4)
    await trio.sleep(10)
    cluster.check()
    outcomes = {caller.outcome for _, _, caller in cluster.sent}
    assert outcomes == {"ran", "unknown", "not-run"}
    nursery.cancel_scope.cancel()


async def set_cut_for_a_while(cluster, number):
    cluster.set_cut(number, True)
    await trio.sleep(1)
    cluster.set_cut(number, False)


async def set_paused_for_a_while(cluster, number):
    cluster.set_paused(number, True)
    await trio.sleep(1)
    cluster.set_paused(number, False)


async def test_paused_owner_that_wakes_after_takeover(nursery, autojump_clock):
    """The owner is paused 0 to 11 ms after a send, between receipt and forwarding."""
    cluster = await start(nursery)
    for pause_ms in range(12):
        key = f"k-{pause_ms}"
        owner = cluster.owner_of(key)
        cluster.send(key, 0)
        await trio.sleep(pause_ms / 1000)
        cluster.set_paused(owner, True)
        await trio.sleep(4)
        cluster.send(key, 1)
        await trio.sleep(1)
        cluster.set_paused(owner, False)
        await trio.sleep(4)
        cluster.send(key, 0)
        await trio.sleep(1)
        assert n_postings(cluster, key) == 1, pause_ms
    cluster.check()
    nursery.cancel_scope.cancel()


async def test_unavailable_store_refuses_own_keys_and_runs_issued_ones(
    nursery, autojump_clock
):
    cluster = await start(nursery)
    cluster.store.set_down(True)
    own = cluster.send("k-1", 0)
    issued = await issue(cluster)
    paid = [cluster.send(issued, entry) for entry in (0, 1)]
    await trio.sleep(0.5)
    assert (own.status, own.outcome) == (503, "not-run")
    assert json.loads(own.body)["retry_after_ms"] > 0
    assert sorted(caller.status for caller in paid) == [201, 409]
    assert n_postings(cluster, issued) == 1
    nursery.cancel_scope.cancel()


async def test_issued_key_of_an_earlier_incarnation_is_unknown(nursery, autojump_clock):
    cluster = await start(nursery)
    issued = await issue(cluster)
    number = int(issued.rpartition("-")[2])
    cluster.send(issued, 0)
    await trio.sleep(0.02)
    await cluster.kill_agent(number)
    await trio.sleep(4)
    again = cluster.send(issued, 1)
    await trio.sleep(1)
    assert (again.status, again.outcome) == (409, "unknown")
    assert n_postings(cluster, issued) == 1
    cluster.check()
    nursery.cancel_scope.cancel()


async def test_lost_store_responses_run_nothing_twice(nursery, autojump_clock):
    cluster = await start(nursery)
    cluster.store.faults.lost_answers = 0.5
    for number in range(20):
        for entry in (0, 1):
            cluster.send(f"k-{number}", entry)
        await trio.sleep(0.3)
    cluster.heal()
    await trio.sleep(10)
    cluster.check()
    assert len(cluster.ledger.postings) >= 15
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("segment_bytes", [journal.SEGMENT_BYTES, 400, 0])
async def test_responses_match_naive_payments(
    nursery, autojump_clock, monkeypatch, segment_bytes
):
    """Differential test against payments with one stored object per key."""
    monkeypatch.setattr(journal, "SEGMENT_BYTES", segment_bytes)
    monkeypatch.setattr(keys, "N_PARTITIONS", 2)
    responses = []
    for make_payments in (None, NaivePayments):
        cluster = await start(nursery, make_payments)
        for number in range(12):
            cents = 1 + (number % 5 == 4)
            cluster.send(f"k-{number % 4}", number % 2, cents)
            await trio.sleep(0.5)
        responses.append([(c.status, c.outcome, c.body) for _, _, c in cluster.sent])
        for executor in cluster.scopes:
            executor.cancel()
        await trio.sleep(0.1)
    assert responses[0] == responses[1]
    assert {status for status, _, _ in responses[0]} == {201, 422}
    nursery.cancel_scope.cancel()


def test_journal_round_trip_and_pruning():
    done = STARTED._replace(started_at_ms=5_000).with_response(
        201, "application/json", b"{}"
    )
    stored = Journal({"a/k-1": STARTED, "a/k-2": done}, (Segment(3, 900, 7),))
    assert Journal.from_spec(json.loads(json.dumps(stored.to_spec()))) == stored
    assert stored.pruned(RETENTION_MS + 2_000).records == {"a/k-2": done}


async def test_full_journal_refuses_new_keys(nursery, autojump_clock, monkeypatch):
    monkeypatch.setattr(partition, "MAX_JOURNAL_BYTES", 0)
    cluster = await start(nursery)
    for number in range(100):
        cluster.send(f"k-{number}", 0)
    await trio.sleep(2)
    callers = [caller for _, _, caller in cluster.sent]
    full = [c for c in callers if b"journal of the key is full" in c.body]
    assert {caller.status for caller in callers} == {201, 503}
    assert {caller.outcome for caller in full} == {"not-run"}
    cluster.check()
    nursery.cancel_scope.cancel()
