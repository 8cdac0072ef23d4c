"""An agent whose host leaves gives back what it has not started, in virtual time."""

from __future__ import annotations

import trio

from benchmarks.memory_path import Caller, MemoryPath, MemoryUpstream, draft
from poplarward.protocol.reports import UpstreamState
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words

WORDS = completion_words("A grey cat.", 20)


class Engines:
    """Two engines with agents, whose hosts' standing the test sets."""

    def __init__(self, path, step_ms=50.0, n_slots=8):
        self.path = path
        self.timing = EngineTiming(step_ms, n_slots)
        self.engines = {}
        self.standings = {}

    async def start(self, name, standing=UpstreamState.LIVE):
        engine = self.engines[name] = EngineStandin(self.timing)
        self.path.nursery.start_soon(engine.run)
        self.standings[name] = standing
        await self.path.start_agent(
            name,
            f"10.2.0.{len(self.engines)}",
            "engine",
            "drafts",
            MemoryUpstream(self.path.nursery, engine.handle),
            self.timing.n_slots,
            standing=lambda: self.standings[name],
        )


async def test_leaving_host_starts_nothing_and_finishes_what_runs(
    nursery, autojump_clock
):
    path = MemoryPath(nursery)
    engines = Engines(path, n_slots=2)
    await engines.start("agent-1")
    entry = await path.start_entry()
    callers = [Caller() for _ in range(6)]
    for caller in callers:
        nursery.start_soon(entry.run, draft(), caller)
    await trio.sleep(0.3)
    assert engines.engines["agent-1"].n_requests == 2
    await engines.start("agent-2")
    await trio.sleep(0.5)
    engines.standings["agent-1"] = UpstreamState.LEAVING
    await trio.sleep(10)
    # Those that waited for a slot went to the other agent at once.
    assert [caller.words() for caller in callers] == [WORDS] * 6
    assert engines.engines["agent-1"].n_requests == 2
    assert engines.engines["agent-2"].n_requests == 4
    engines.standings["agent-1"] = UpstreamState.LIVE
    engines.standings["agent-2"] = UpstreamState.LEAVING
    await trio.sleep(1)
    caller = Caller()
    await entry.run(draft(), caller)
    assert caller.words() == WORDS
    assert engines.engines["agent-1"].n_requests == 3
    nursery.cancel_scope.cancel()


async def test_agent_that_is_not_ready_takes_no_work(nursery, autojump_clock):
    path = MemoryPath(nursery)
    engines = Engines(path)
    await engines.start("agent-1", UpstreamState.DOWN)
    entry = await path.start_entry()
    caller = Caller()
    await entry.run(draft(), caller)
    assert (caller.status, caller.outcome) == (503, "not-run")
    assert engines.engines["agent-1"].n_requests == 0
    engines.standings["agent-1"] = UpstreamState.LIVE
    await trio.sleep(1)
    caller = Caller()
    await entry.run(draft(), caller)
    assert caller.words() == WORDS
    nursery.cancel_scope.cancel()
