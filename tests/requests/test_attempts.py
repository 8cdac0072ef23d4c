"""Attempts from entry hosts to agents under failures of connections and processes."""

from __future__ import annotations

import json

import trio

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    draft,
    payment,
)
from poplarward.requests.batching import ResponseBatcher
from poplarward.requests.supervision import BAR_TIMEOUT_MS
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words
from poplarward.standins.ledger import LedgerStandin

WORDS = completion_words("A grey cat.", 20)


async def start_engines(path, n=2, step_ms=50.0, n_slots=8):
    clients = {}
    for number in range(1, n + 1):
        engine = EngineStandin(EngineTiming(step_ms, n_slots))
        path.nursery.start_soon(engine.run)
        client = MemoryUpstream(path.nursery, engine.handle)
        name = f"agent-{number}"
        await path.start_agent(
            name, f"10.2.0.{number}", "engine", "drafts", client, n_slots
        )
        clients[name] = client
    return clients


async def start_ledgers(path, work_ms=500.0, n=2, n_slots=8):
    ledger = LedgerStandin(work_ms)
    scopes = {}
    for number in range(1, n + 1):
        name = f"agent-{number}"
        client = MemoryUpstream(path.nursery, ledger.handle)
        _, scopes[name] = await path.start_agent(
            name, f"10.2.0.{number}", "plain", "ledger", client, n_slots
        )
    return ledger, scopes


def busy(path):
    """Return the agents with attempts in flight."""
    return [name for name, executor in path.agents.items() if executor.n_attempts]


async def test_stream_resumes_complete_after_the_engine_crashes(
    nursery, autojump_clock
):
    path = MemoryPath(nursery)
    clients = await start_engines(path)
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, draft(), caller)
    await caller.body_started.wait()
    [name] = busy(path)
    clients[name].crash()
    await trio.sleep(5)
    assert caller.words() == WORDS
    assert caller.body.endswith(b"data: [DONE]\n\n")
    assert entry.n_attempts == 2
    nursery.cancel_scope.cancel()


async def test_stream_resumes_wherever_the_connection_is_lost(nursery, autojump_clock):
    path = MemoryPath(nursery)
    await start_engines(path)
    entry = await path.start_entry()
    for delay_ms in range(0, 1300, 130):
        caller = RecordingResponder()
        nursery.start_soon(entry.run, draft(), caller)
        await trio.sleep(delay_ms / 1000)
        hosts = {path.addresses[name].host for name in busy(path)}
        path.cut |= hosts
        await trio.sleep(4)
        path.cut.clear()
        assert caller.words() == WORDS, delay_ms
        assert caller.body.count(b"[DONE]") == 1
        await trio.sleep(2)
        assert not busy(path)
    nursery.cancel_scope.cancel()


async def test_stream_resumes_when_the_agent_stops_sending(nursery, autojump_clock):
    path = MemoryPath(nursery)
    await start_engines(path)
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, draft(), caller)
    await caller.body_started.wait()
    path.faults.loss = 1.0
    await trio.sleep(2.9)
    path.faults.loss = 0.0
    await trio.sleep(10)
    assert caller.words() == WORDS
    nursery.cancel_scope.cancel()


async def test_response_whose_end_is_lost_is_complete(
    nursery, autojump_clock, monkeypatch
):
    monkeypatch.setattr(ResponseBatcher, "add_end", lambda self, end: None)
    path = MemoryPath(nursery)
    await start_engines(path)
    entry = await path.start_entry()
    caller = RecordingResponder()
    await entry.run(draft(), caller)
    assert caller.words() == WORDS
    assert caller.body.endswith(b"data: [DONE]\n\n")
    assert entry.n_attempts == 1
    nursery.cancel_scope.cancel()


async def test_payment_waiting_at_a_lost_connection_runs_elsewhere(
    nursery, autojump_clock
):
    path = MemoryPath(nursery)
    ledger, _ = await start_ledgers(path, work_ms=1500, n=1, n_slots=1)
    entry = await path.start_entry()
    callers = [RecordingResponder(), RecordingResponder()]
    nursery.start_soon(entry.run, payment("b-1"), callers[0])
    await trio.sleep(0.1)
    nursery.start_soon(entry.run, payment("b-2"), callers[1])
    await trio.sleep(0.1)
    assert len(ledger.postings) == 1
    client = MemoryUpstream(nursery, ledger.handle)
    await path.start_agent("agent-2", "10.2.0.2", "plain", "ledger", client)
    await trio.sleep(0.5)
    path.cut.add("10.2.0.1")
    # Longer than the report interval of an agent with waiting requests, so that the
    # lost connection is detected.
    await trio.sleep(1.2)
    path.cut.clear()
    await trio.sleep(6)
    assert callers[1].status == 201
    # The first payment kept running; only its response was lost.
    assert (callers[0].status, callers[0].outcome) == (502, "ran")
    assert [p["reference"] for p in ledger.postings] == ["b-1", "b-2"]
    nursery.cancel_scope.cancel()


async def test_payment_at_an_unreachable_agent_is_unknown(nursery, autojump_clock):
    path = MemoryPath(nursery)
    ledger, _ = await start_ledgers(path)
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, payment("b-1"), caller)
    await trio.sleep(0.1)
    [name] = busy(path)
    path.cut.add(path.addresses[name].host)
    await trio.sleep(BAR_TIMEOUT_MS / 1000 + 1)
    assert (caller.status, caller.outcome) == (502, "unknown")
    assert len(ledger.postings) == 1
    nursery.cancel_scope.cancel()


async def test_payment_at_a_restarted_agent_is_unknown(nursery, autojump_clock):
    path = MemoryPath(nursery)
    ledger, scopes = await start_ledgers(path, n=1)
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, payment("b-1"), caller)
    await trio.sleep(0.1)
    scopes["agent-1"].cancel()
    await trio.sleep(0.05)
    client = MemoryUpstream(nursery, ledger.handle)
    await path.start_agent("agent-1", "10.2.0.1", "plain", "ledger", client)
    await trio.sleep(5)
    assert caller.outcome == "unknown"
    assert len(ledger.postings) == 1
    nursery.cancel_scope.cancel()


async def test_deadline_gives_a_final_response_at_once(nursery, autojump_clock):
    path = MemoryPath(nursery)
    ledger, _ = await start_ledgers(path, work_ms=2000, n=1, n_slots=1)
    entry = await path.start_entry()
    running, waiting = RecordingResponder(), RecordingResponder()
    nursery.start_soon(entry.run, payment("b-1"), running)
    await trio.sleep(0.1)
    with trio.fail_after(1.3):
        await entry.run(payment("b-2", deadline_ms=1000), waiting)
    assert (waiting.status, waiting.outcome) == (504, "not-run")
    assert json.loads(waiting.body)["retry_after_ms"] > 0
    await trio.sleep(5)
    assert [p["reference"] for p in ledger.postings] == ["b-1"]
    assert running.status == 201
    nursery.cancel_scope.cancel()


async def reject_request(request, responder):
    await responder.respond_json(503, {"error": "overloaded"})


async def test_retries_stay_within_their_budget(nursery, autojump_clock):
    path = MemoryPath(nursery)
    for number in range(1, 5):
        client = MemoryUpstream(nursery, reject_request)
        name, host = f"agent-{number}", f"10.2.0.{number}"
        await path.start_agent(name, host, "engine", "drafts", client)
    entry = await path.start_entry()
    for _ in range(200):
        caller = RecordingResponder()
        with trio.fail_after(1):
            await entry.run(draft(), caller)
        assert caller.status == 503
        assert json.loads(caller.body)["retry_after_ms"] > 0
    assert 200 < entry.n_attempts <= 1.2 * 200 + 10
    nursery.cancel_scope.cancel()


async def test_engine_that_is_down_attracts_no_requests(nursery, autojump_clock):
    path = MemoryPath(nursery)
    clients = await start_engines(path, n=4, step_ms=1.0)
    clients["agent-1"].is_up = False
    entry = await path.start_entry()
    for _ in range(200):
        caller = RecordingResponder()
        await entry.run(draft(), caller)
        assert caller.words() == WORDS
    # At most one attempt with the first request and one after each backoff.
    assert entry.n_attempts <= 200 + 10
    nursery.cancel_scope.cancel()
