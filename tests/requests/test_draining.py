"""A draining agent returns the attempts that it has not started, in virtual time."""

from __future__ import annotations

import trio

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    draft,
    payment,
)
from poplarward.protocol.reports import UpstreamState
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words
from poplarward.standins.ledger import LedgerStandin

WORDS = completion_words("A grey cat.", 20)


class Engines:
    """Engines with agents, whose host state is set by the test."""

    def __init__(self, path, step_ms=50.0, n_slots=8):
        self.path = path
        self.timing = EngineTiming(step_ms, n_slots)
        self.engines = {}
        self.n_started = 0
        self.host_states = {}

    async def start(self, name, state=UpstreamState.LIVE):
        self.n_started += 1
        engine = self.engines[name] = EngineStandin(self.timing)
        self.path.nursery.start_soon(engine.run)
        self.host_states[name] = state
        await self.path.start_agent(
            name,
            f"10.2.0.{self.n_started}",
            "engine",
            "drafts",
            MemoryUpstream(self.path.nursery, engine.handle),
            self.timing.n_slots,
            standing=lambda: self.host_states[name],
        )


async def test_draining_host_starts_nothing_and_finishes_running_requests(
    nursery, autojump_clock
):
    path = MemoryPath(nursery)
    engines = Engines(path, n_slots=2)
    await engines.start("agent-1")
    entry = await path.start_entry()
    callers = [RecordingResponder() for _ in range(6)]
    for caller in callers:
        nursery.start_soon(entry.run, draft(), caller)
    await trio.sleep(0.3)
    assert engines.engines["agent-1"].n_requests == 2
    await engines.start("agent-2")
    await trio.sleep(0.5)
    engines.host_states["agent-1"] = UpstreamState.LEAVING
    await trio.sleep(10)
    # The requests waiting for a slot were sent to the other agent at once.
    assert [caller.words() for caller in callers] == [WORDS] * 6
    assert engines.engines["agent-1"].n_requests == 2
    assert engines.engines["agent-2"].n_requests == 4
    engines.host_states["agent-1"] = UpstreamState.LIVE
    engines.host_states["agent-2"] = UpstreamState.LEAVING
    await trio.sleep(1)
    caller = RecordingResponder()
    await entry.run(draft(), caller)
    assert caller.words() == WORDS
    assert engines.engines["agent-1"].n_requests == 3
    nursery.cancel_scope.cancel()


async def test_agent_that_is_not_ready_takes_no_work(nursery, autojump_clock):
    path = MemoryPath(nursery)
    engines = Engines(path)
    await engines.start("agent-1", UpstreamState.DOWN)
    entry = await path.start_entry()
    caller = RecordingResponder()
    await entry.run(draft(), caller)
    assert (caller.status, caller.outcome) == (503, "not-run")
    assert engines.engines["agent-1"].n_requests == 0
    engines.host_states["agent-1"] = UpstreamState.LIVE
    await trio.sleep(1)
    caller = RecordingResponder()
    await entry.run(draft(), caller)
    assert caller.words() == WORDS
    nursery.cancel_scope.cancel()


async def drain(path, engines, name, wait_ms):
    """Drain an agent as its program does; return how long that took, in seconds."""
    started_at = trio.current_time()
    await path.agents[name].drain(wait_ms)
    assert engines.engines[name].n_running == 0
    return trio.current_time() - started_at


async def test_streams_that_outlast_draining_are_resumed_elsewhere(
    nursery, autojump_clock
):
    """More moves than the retry budget and the limit of four attempts allow."""
    path = MemoryPath(nursery)
    engines = Engines(path, n_slots=40)
    for i in range(6):
        await engines.start(f"agent-{i}")
    entry = await path.start_entry()
    callers = [RecordingResponder() for _ in range(30)]
    for caller in callers:
        request = draft(n_tokens=400, deadline_ms=60_000)
        nursery.start_soon(entry.run, request, caller)
    await trio.sleep(1)
    for i in range(5):
        assert await drain(path, engines, f"agent-{i}", 500) < 1
        await trio.sleep(0.5)
    await trio.sleep(30)
    words = completion_words("A grey cat.", 400)
    assert [caller.words() for caller in callers] == [words] * 30
    assert all(caller.body.count(b"[DONE]") == 1 for caller in callers)
    nursery.cancel_scope.cancel()


async def test_stream_of_the_only_engine_waits_for_its_restart(nursery, autojump_clock):
    path = MemoryPath(nursery)
    engines = Engines(path)
    await engines.start("agent-1")
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, draft(n_tokens=100), caller)
    await trio.sleep(1)
    await drain(path, engines, "agent-1", 500)
    await trio.sleep(3)
    path.cut.add(path.addresses["agent-1"].host)
    await engines.start("agent-1")
    await trio.sleep(12)
    assert caller.words() == completion_words("A grey cat.", 100)
    nursery.cancel_scope.cancel()


async def test_running_payment_is_not_moved(nursery, autojump_clock):
    path = MemoryPath(nursery)
    ledger = LedgerStandin(work_ms=5000)
    client = MemoryUpstream(nursery, ledger.handle)
    await path.start_agent("agent-1", "10.2.0.1", "plain", "ledger", client)
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, payment("r-1", deadline_ms=20_000), caller)
    await trio.sleep(1)
    await path.agents["agent-1"].drain(500)
    await trio.sleep(0.1)
    assert (caller.status, caller.outcome) == (201, "ran")
    assert len(ledger.postings) == 1
    nursery.cancel_scope.cancel()
