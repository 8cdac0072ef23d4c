"""Payments under one failure at a time."""

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
from tests.requests.payments.ledger_path import N_AGENTS, NO_KEY, LedgerPath

STARTED = Record("d", "agent-0:1", RecordState.STARTED, 1_000)


async def start(nursery, make_payments=None):
    ledger_path = LedgerPath(nursery, make_payments)
    await ledger_path.start()
    return ledger_path


def n_postings(ledger_path, key):
    return sum(p["reference"] == key for p in ledger_path.ledger.postings)


async def issue(ledger_path):
    return await ledger_path.entries[0].keys.issue("ledger")


async def test_resends_at_two_entry_hosts_run_once(nursery, autojump_clock):
    ledger_path = await start(nursery)
    both = [ledger_path.send("k-1", entry) for entry in (0, 1)]
    await trio.sleep(1)
    assert sorted(caller.status for caller in both) == [201, 409]
    again = [ledger_path.send("k-1", entry) for entry in (0, 1)]
    await trio.sleep(1)
    first = next(caller for caller in both if caller.status == 201)
    assert [(c.status, c.body) for c in again] == [(201, first.body)] * 2
    assert n_postings(ledger_path, "k-1") == 1
    nursery.cancel_scope.cancel()


async def test_key_with_another_body_is_refused(nursery, autojump_clock):
    ledger_path = await start(nursery)
    ledger_path.send("k-1", 0, cents=1)
    await trio.sleep(0.5)
    other = ledger_path.send("k-1", 1, cents=2)
    await trio.sleep(0.5)
    assert (other.status, other.outcome) == (422, "not-run")
    assert [p["cents"] for p in ledger_path.ledger.postings] == [1]
    nursery.cancel_scope.cancel()


async def test_killed_owner_leaves_its_call_unknown(nursery, autojump_clock):
    ledger_path = await start(nursery)
    caller = ledger_path.send("k-1", 0)
    await trio.sleep(0.02)
    assert n_postings(ledger_path, "k-1") == 1
    await ledger_path.kill_agent(ledger_path.owner_of("k-1"))
    await trio.sleep(4)
    again = ledger_path.send("k-1", 1)
    await trio.sleep(1)
    assert (caller.outcome, again.outcome) == ("unknown", "unknown")
    assert n_postings(ledger_path, "k-1") == 1
    nursery.cancel_scope.cancel()


async def test_crashed_ledger_leaves_its_call_unknown(nursery, autojump_clock):
    ledger_path = await start(nursery)
    callers = [ledger_path.send(key, 0) for key in ("k-1", await issue(ledger_path))]
    await trio.sleep(0.02)
    for upstream in ledger_path.upstreams:
        upstream.crash()
        upstream.is_up = True
    await trio.sleep(1)
    callers += [ledger_path.send(key, 1) for key, _, _ in list(ledger_path.sent)]
    await trio.sleep(1)
    assert {caller.outcome for caller in callers} == {"unknown"}
    assert len(ledger_path.ledger.postings) == 2
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


async def test_agent_refuses_keys_of_another_start(autojump_clock):
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
    """Every agent is struck at every millisecond while it has such a payment."""
    ledger_path = await start(nursery)
    faults = {
        "kill": ledger_path.kill_agent,
        "cut": lambda number: set_cut_for_a_while(ledger_path, number),
        "pause": lambda number: set_paused_for_a_while(ledger_path, number),
    }
    for fault in faults.values():
        for wait_ms in range(0, 40, 3):
            for _ in range(N_AGENTS):
                ledger_path.send(NO_KEY, 0)
            await trio.sleep(wait_ms / 1000)
            for number in range(N_AGENTS):
                await fault(number)
            await trio.sleep(4)
    await trio.sleep(10)
    ledger_path.check()
    outcomes = {caller.outcome for _, _, caller in ledger_path.sent}
    assert outcomes == {"ran", "unknown", "not-run"}
    nursery.cancel_scope.cancel()


async def set_cut_for_a_while(ledger_path, number):
    ledger_path.set_cut(number, True)
    await trio.sleep(1)
    ledger_path.set_cut(number, False)


async def set_paused_for_a_while(ledger_path, number):
    ledger_path.set_paused(number, True)
    await trio.sleep(1)
    ledger_path.set_paused(number, False)


async def test_paused_owner_that_wakes_after_takeover(nursery, autojump_clock):
    """The pause falls at every millisecond from the receipt to the forwarding."""
    ledger_path = await start(nursery)
    for pause_ms in range(12):
        key = f"k-{pause_ms}"
        owner = ledger_path.owner_of(key)
        ledger_path.send(key, 0)
        await trio.sleep(pause_ms / 1000)
        ledger_path.set_paused(owner, True)
        await trio.sleep(4)
        ledger_path.send(key, 1)
        await trio.sleep(1)
        ledger_path.set_paused(owner, False)
        await trio.sleep(4)
        ledger_path.send(key, 0)
        await trio.sleep(1)
        assert n_postings(ledger_path, key) == 1, pause_ms
    ledger_path.check()
    nursery.cancel_scope.cancel()


async def test_store_away_refuses_own_keys_and_runs_issued_ones(
    nursery, autojump_clock
):
    ledger_path = await start(nursery)
    ledger_path.store.set_down(True)
    own = ledger_path.send("k-1", 0)
    issued = await issue(ledger_path)
    paid = [ledger_path.send(issued, entry) for entry in (0, 1)]
    await trio.sleep(0.5)
    assert (own.status, own.outcome) == (503, "not-run")
    assert json.loads(own.body)["retry_after_ms"] > 0
    assert sorted(caller.status for caller in paid) == [201, 409]
    assert n_postings(ledger_path, issued) == 1
    nursery.cancel_scope.cancel()


async def test_issued_key_of_an_earlier_start_is_unknown(nursery, autojump_clock):
    ledger_path = await start(nursery)
    issued = await issue(ledger_path)
    number = int(issued.rpartition("-")[2])
    ledger_path.send(issued, 0)
    await trio.sleep(0.02)
    await ledger_path.kill_agent(number)
    await trio.sleep(4)
    again = ledger_path.send(issued, 1)
    await trio.sleep(1)
    assert (again.status, again.outcome) == (409, "unknown")
    assert n_postings(ledger_path, issued) == 1
    ledger_path.check()
    nursery.cancel_scope.cancel()


async def test_lost_answers_of_the_store_run_nothing_twice(nursery, autojump_clock):
    ledger_path = await start(nursery)
    ledger_path.store.faults.lost_answers = 0.5
    for number in range(20):
        for entry in (0, 1):
            ledger_path.send(f"k-{number}", entry)
        await trio.sleep(0.3)
    ledger_path.heal()
    await trio.sleep(10)
    ledger_path.check()
    assert len(ledger_path.ledger.postings) >= 15
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("segment_bytes", [journal.SEGMENT_BYTES, 400, 0])
async def test_answers_are_those_of_one_record_a_key(
    nursery, autojump_clock, monkeypatch, segment_bytes
):
    """Differential: the journal answers as the naive way does."""
    monkeypatch.setattr(journal, "SEGMENT_BYTES", segment_bytes)
    monkeypatch.setattr(keys, "N_PARTITIONS", 2)
    scripts = []
    for make_payments in (None, NaivePayments):
        ledger_path = await start(nursery, make_payments)
        for number in range(12):
            cents = 1 + (number % 5 == 4)
            ledger_path.send(f"k-{number % 4}", number % 2, cents)
            await trio.sleep(0.5)
        scripts.append([(c.status, c.outcome, c.body) for _, _, c in ledger_path.sent])
        for executor in ledger_path.scopes:
            executor.cancel()
        await trio.sleep(0.1)
    assert scripts[0] == scripts[1]
    assert {status for status, _, _ in scripts[0]} == {201, 422}
    nursery.cancel_scope.cancel()


def test_journal_survives_coding_and_drops_old_records():
    done = STARTED._replace(started_at_ms=5_000).with_response(
        201, "application/json", b"{}"
    )
    held = Journal({"a/k-1": STARTED, "a/k-2": done}, (Segment(3, 900, 7),))
    assert Journal.from_spec(json.loads(json.dumps(held.to_spec()))) == held
    assert held.pruned(RETENTION_MS + 2_000).records == {"a/k-2": done}


async def test_full_journal_refuses_new_keys(nursery, autojump_clock, monkeypatch):
    monkeypatch.setattr(partition, "MAX_JOURNAL_BYTES", 0)
    ledger_path = await start(nursery)
    for number in range(100):
        ledger_path.send(f"k-{number}", 0)
    await trio.sleep(2)
    callers = [caller for _, _, caller in ledger_path.sent]
    full = [c for c in callers if b"journal of the key is full" in c.body]
    assert {caller.status for caller in callers} == {201, 503}
    assert {caller.outcome for caller in full} == {"not-run"}
    ledger_path.check()
    nursery.cancel_scope.cancel()
