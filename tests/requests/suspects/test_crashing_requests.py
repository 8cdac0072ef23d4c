"""Requests that crash upstreams, from entry host to engine in virtual time."""

from __future__ import annotations

import json
from collections import Counter

import trio

from benchmarks.crashing_path import MARKER, CrashingEngines, draft_until_answered
from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    draft,
    payment,
)
from poplarward.errors import UpstreamUnreachable
from poplarward.protocol import RequestId
from poplarward.protocol.requests import Submit
from poplarward.protocol.suspects import Suspicions, Verdict
from poplarward.requests.in_flight import InFlightAttempt
from poplarward.requests.suspects import SuspectGossip, SuspectTable, request_digest
from poplarward.requests.suspects.table import VERDICT_TTL_MS
from poplarward.standins.engine import completion_words
from poplarward.standins.ledger import LedgerStandin

CRASHING = f"A grey cat, {MARKER}."


async def start(nursery, n_engines=4, n_entries=3, **options):
    path = MemoryPath(nursery)
    engines = CrashingEngines(path)
    await engines.start(n_engines, **options)
    entries = [
        await path.start_entry(f"entry-{n}", f"10.1.0.{n}")
        for n in range(1, n_entries + 1)
    ]
    return path, engines, entries


def digest_of(request):
    return request_digest(
        request.upstream,
        request.workspace,
        request.method,
        request.path,
        request.body,
    )


async def send(entry, prompt=CRASHING, workspace="ateliers"):
    caller = RecordingResponder()
    await entry.run(draft(prompt)._replace(workspace=workspace), caller)
    return caller


async def test_second_crash_identifies_the_request_and_others_finish(
    nursery, autojump_clock
):
    path, engines, entries = await start(nursery)
    outcomes = Counter()
    async with trio.open_nursery() as callers:
        for number in range(24):
            prompt = f"A quiet dog ({number})."
            callers.start_soon(
                draft_until_answered, entries[number % 3 :], prompt, outcomes
            )
        await trio.sleep(0.1)
        crashing = Counter()
        callers.start_soon(draft_until_answered, entries, CRASHING, crashing, 10)
    assert outcomes == {"whole": 24}
    assert crashing == {"refused": 1}
    assert engines.n_crashes == 2
    await trio.sleep(2)
    for entry in entries:
        began = trio.current_time()
        caller = await send(entry)
        assert trio.current_time() - began < 0.1
        assert (caller.status, caller.outcome) == (422, "not-run")
        assert 0 < json.loads(caller.body)["retry_after_ms"] <= VERDICT_TTL_MS
        assert int(caller.headers["retry-after"]) > 0
    assert engines.n_crashes == 2
    for executor in path.agents.values():
        digests = executor.suspects.changes_since(0)
        assert Verdict.SUSPECT not in {entry.verdict for entry in digests}
    nursery.cancel_scope.cancel()


async def test_crashing_request_sent_at_every_entry_host_at_once(
    nursery, autojump_clock
):
    _, engines, entries = await start(nursery, n_engines=6)
    first = Counter()
    await draft_until_answered(entries[:1], CRASHING, first, 1)
    assert first == {"refused": 1}
    outcomes = Counter()
    async with trio.open_nursery() as callers:
        for entry in entries:
            callers.start_soon(draft_until_answered, [entry], CRASHING, outcomes, 5)
    assert outcomes == {"refused": 3}
    assert engines.n_crashes == 2
    nursery.cancel_scope.cancel()


async def test_suspect_sent_at_every_entry_host_causes_one_more_crash(
    nursery, autojump_clock
):
    """All entry hosts route a suspect to the same agent, which runs one at a time."""
    _, engines, entries = await start(nursery, n_engines=6)
    for entry in entries:
        entry.suspects.suspect([digest_of(draft(CRASHING))])
    outcomes = Counter()
    async with trio.open_nursery() as callers:
        for entry in entries:
            callers.start_soon(draft_until_answered, [entry], CRASHING, outcomes, 5)
    assert outcomes == {"refused": 3}
    assert engines.n_crashes == 1
    nursery.cancel_scope.cancel()


async def test_other_workspace_with_the_same_body_is_served(nursery, autojump_clock):
    _, engines, entries = await start(nursery)
    table = entries[0].suspects
    table.quarantine(digest_of(draft("A grey cat.")))
    assert (await send(entries[0], "A grey cat.")).status == 422
    caller = await send(entries[0], "A grey cat.", workspace="owners")
    assert caller.words() == completion_words("A grey cat.", 20)
    nursery.cancel_scope.cancel()


async def test_quarantine_expires(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    assert (await send(entries[0])).status == 422
    await trio.sleep(VERDICT_TTL_MS / 1000 - 5)
    assert (await send(entries[1])).status == 422
    assert engines.n_crashes == 2
    await trio.sleep(10)
    tables = [entry.suspects for entry in entries]
    tables += [executor.suspects for executor in path.agents.values()]
    assert all(table.is_empty for table in tables)
    await send(entries[1])
    assert engines.n_crashes == 4
    nursery.cancel_scope.cancel()


async def test_new_entry_host_receives_verdicts_from_its_peers(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    assert (await send(entries[0])).status == 422
    late = await path.start_entry("entry-9", "10.1.0.9")
    await trio.sleep(2)
    verdict = late.suspects.verdict(digest_of(draft(CRASHING)))
    assert verdict is Verdict.QUARANTINED
    assert (await send(late)).status == 422
    assert engines.n_crashes == 2
    nursery.cancel_scope.cancel()


async def test_agent_refuses_for_an_entry_host_without_the_verdict(
    nursery, autojump_clock
):
    path, engines, entries = await start(nursery)
    assert (await send(entries[0])).status == 422
    await trio.sleep(2)
    empty_table = SuspectTable(keep_ms=0)
    entry = await path.start_entry("entry-9", "10.1.0.9", suspects=empty_table)
    await trio.sleep(2)
    assert empty_table.is_empty
    caller = await send(entry)
    assert (caller.status, caller.outcome) == (422, "not-run")
    assert engines.n_crashes == 2
    nursery.cancel_scope.cancel()


async def test_verdicts_arrive_after_lost_messages(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    path.faults.loss = 0.5
    for executor in path.agents.values():
        executor.suspects.quarantine(digest_of(draft(CRASHING)))
        break
    await trio.sleep(20)
    path.faults.loss = 0.0
    await trio.sleep(3)
    digest = digest_of(draft(CRASHING))
    for entry in entries:
        assert entry.suspects.verdict(digest) is Verdict.QUARANTINED
        assert (await send(entry)).status == 422
    assert engines.n_crashes == 0
    nursery.cancel_scope.cancel()


async def test_verdicts_spread_after_a_network_partition(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    path.cut.add("10.1.0.3")
    assert (await send(entries[0])).status == 422
    await trio.sleep(5)
    assert entries[2].suspects.is_empty
    path.cut.clear()
    await trio.sleep(5)
    verdict = entries[2].suspects.verdict(digest_of(draft(CRASHING)))
    assert verdict is Verdict.QUARANTINED
    assert (await send(entries[2])).status == 422
    assert engines.n_crashes == 2
    nursery.cancel_scope.cancel()


async def test_caller_that_disconnects_makes_no_suspect(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    with trio.move_on_after(0.2):
        await send(entries[0], "A grey cat.")
    await trio.sleep(1)
    assert all(executor.suspects.is_empty for executor in path.agents.values())
    nursery.cancel_scope.cancel()


async def test_planned_stop_makes_no_suspect(nursery, autojump_clock):
    path, engines, entries = await start(nursery)
    nursery.start_soon(send, entries[0], "A grey cat.")
    await trio.sleep(0.2)
    [name] = [n for n, executor in path.agents.items() if executor.n_attempts]
    nursery.start_soon(path.agents[name].drain)
    await trio.sleep(0.05)
    engines.crash(name)
    await trio.sleep(1)
    assert all(executor.suspects.is_empty for executor in path.agents.values())
    nursery.cancel_scope.cancel()


async def test_one_lost_connection_makes_no_suspect(nursery, autojump_clock):
    path, engines, entries = await start(nursery, n_engines=1)
    caller = RecordingResponder()
    async with trio.open_nursery() as callers:
        callers.start_soon(entries[0].run, draft("A grey cat."), caller)
        callers.start_soon(send, entries[0], "A quiet dog.")
        await trio.sleep(0.2)
        client = engines.clients["agent-1"]
        assert len(client._open) == 2
        next(iter(client._open)).send_nowait(None)
        await trio.sleep(1)
        assert path.agents["agent-1"].suspects.is_empty
        callers.cancel_scope.cancel()
    nursery.cancel_scope.cancel()


async def test_time_out_makes_no_suspect(nursery, autojump_clock):
    path = MemoryPath(nursery)

    class Silent(MemoryUpstream):
        def stream(self, *args, **options):
            raise UpstreamUnreachable("timed out", sent=True, broke_off=False)

    client = Silent(nursery, None)
    await path.start_agent("agent-1", "10.2.0.1", "engine", "drafts", client)
    entry = await path.start_entry()
    assert (await send(entry)).status >= 500
    assert path.agents["agent-1"].suspects.is_empty
    nursery.cancel_scope.cancel()


async def test_payment_that_crashed_is_not_run_again(nursery, autojump_clock):
    """Its outcome remains unknown, also when it is sent again and refused."""
    path = MemoryPath(nursery)
    ledger = LedgerStandin(500)
    clients = [MemoryUpstream(nursery, ledger.handle) for _ in range(2)]
    for number, client in enumerate(clients, start=1):
        name, host = f"agent-{number}", f"10.2.0.{number}"
        await path.start_agent(name, host, "plain", "ledger", client)
    entry = await path.start_entry()
    for is_last in (False, True):
        caller = RecordingResponder()
        nursery.start_soon(entry.run, payment("b-1"), caller)
        await trio.sleep(0.1)
        [client] = [client for client in clients if client._open]
        client.crash()
        await trio.sleep(0.4)
        assert caller.outcome == "unknown"
        assert caller.status == (422 if is_last else 502)
        client.is_up = True
        await trio.sleep(1)
    n_postings = len(ledger.postings)
    caller = RecordingResponder()
    await entry.run(payment("b-1"), caller)
    assert (caller.status, caller.outcome) == (422, "unknown")
    assert len(ledger.postings) == n_postings
    nursery.cancel_scope.cancel()


async def test_planned_kill_of_an_engine_loses_nothing(nursery, autojump_clock):
    """All requests that ran there become suspects and are cleared when they finish."""
    path, engines, entries = await start(nursery, n_slots=32)
    outcomes = Counter()
    async with trio.open_nursery() as callers:
        for number in range(60):
            callers.start_soon(
                draft_until_answered,
                entries[number % 3 :],
                f"A quiet dog ({number}).",
                outcomes,
            )
        await trio.sleep(0.2)
        engines.crash("agent-1")
    assert outcomes == {"whole": 60}
    await trio.sleep(2)
    for table in (entry.suspects for entry in entries):
        assert {e.verdict for e in table.changes_since(0)} == {Verdict.CLEARED}
    nursery.cancel_scope.cancel()


async def test_late_verdict_does_not_undo_a_newer_one(nursery, autojump_clock):
    first, second = SuspectTable(), SuspectTable()
    first.suspect([7])
    late = Suspicions(first.changes_since(0))
    first.clear(7)
    second.merge(first.changes_since(0))
    second.merge(late.entries)
    assert second.verdict(7) is Verdict.CLEARED
    nursery.cancel_scope.cancel()


async def test_digest_is_the_same_for_all_groups_of_a_pool():
    request = draft(CRASHING)
    submit = Submit(
        RequestId("entry-1", 1, 1),
        request.workspace,
        request.priority_class,
        request.method,
        request.path,
        request.headers,
        request.body,
        1000,
        True,
        pool=request.upstream,
    )
    attempt = InFlightAttempt(submit, connection=None, packer=None)
    assert attempt.digest() == digest_of(request)


async def test_lost_verdict_is_sent_again(nursery, autojump_clock):
    path, engines, entries = await start(nursery, n_engines=1, n_entries=1)
    path.faults.loss = 1.0
    path.agents["agent-1"].suspects.quarantine(digest_of(draft(CRASHING)))
    await trio.sleep(0.5)
    path.faults.loss = 0.0
    assert entries[0].suspects.is_empty
    await trio.sleep(3)
    verdict = entries[0].suspects.verdict(digest_of(draft(CRASHING)))
    assert verdict is Verdict.QUARANTINED
    nursery.cancel_scope.cancel()


async def test_entry_host_has_the_verdict_before_it_retries(
    nursery, autojump_clock, monkeypatch
):
    """Also if the broadcast of verdicts is delayed."""
    monkeypatch.setattr(SuspectGossip, "_send_to_all", lambda self, nursery: None)
    _, engines, entries = await start(nursery)
    assert (await send(entries[0])).status == 422
    assert engines.n_crashes == 2
    nursery.cancel_scope.cancel()
