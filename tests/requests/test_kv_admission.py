from __future__ import annotations

import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.kv_admission import Setup, run_way
from benchmarks.kv_model import arrivals
from benchmarks.kv_ways import WAYS, Measured
from benchmarks.memory_path import MemoryPath, MemoryUpstream, RecordingResponder, draft
from poplarward.errors import Refused
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.fair_queue import Demand, FairQueue
from poplarward.requests.kv_admission import HEADROOM_SHARE, KvMemory
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words


def demand(n_prompt, workspace="a", urgent=False, deadline_ms=1e6, n_tokens=10):
    kind = PriorityClass.URGENT if urgent else PriorityClass.DRAFTING
    return Demand(kind, workspace, 1.0, n_tokens, deadline_ms, n_prompt)


async def run(slots, its_demand, seconds=1.0, order=None, n_generated=0):
    async with slots.hold(its_demand) as reservation:
        if order is not None:
            order.append(its_demand.workspace)
        reservation.grow(n_generated)
        await trio.sleep(seconds)


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 40))))
def test_used_memory_is_the_sum_of_the_reservations(requested):
    memory = KvMemory(100, 0.2)
    reservations = []
    for n_prompt, n_generated in requested:
        n_before = memory.n_used_tokens
        if memory.has_room(n_prompt):
            assert not reservations or n_before + n_prompt <= 80
            reservations.append(memory.take(n_prompt))
            reservations[-1].grow(n_generated)
        elif len(reservations) > 1:
            reservations.pop(0).release()
        assert memory.n_used_tokens == sum(
            reservation.n_tokens for reservation in reservations
        )
    for reservation in reservations:
        reservation.release()
    assert memory.n_used_tokens == 0
    assert memory.has_room(1000)


async def test_drafting_waits_for_memory_and_not_only_for_a_slot(
    autojump_clock, nursery
):
    memory = KvMemory(1000, 0.2)
    slots, order = FairQueue(16, memory), []
    nursery.start_soon(run, slots, demand(300, "first"), 2.0, order, 400)
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(200, "second"), 1.0, order)
    nursery.start_soon(run, slots, demand(0, "third"), 1.0, order)
    await trio.sleep(0.1)
    # There is no room for the second's prompt; the third does not overtake it.
    assert order == ["first"]
    assert slots.n_waiting == 2
    await trio.sleep(5)
    assert sorted(order) == ["first", "second", "third"]
    assert memory.n_used_tokens == 0


async def test_urgent_takes_the_headroom_and_is_not_overtaken_by_drafting(
    autojump_clock, nursery
):
    slots, order = FairQueue(16, KvMemory(1000, 0.2)), []
    nursery.start_soon(run, slots, demand(700, "large"), 2.0, order)
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(250, "urgent", urgent=True), 1.0, order)
    await trio.sleep(0.1)
    assert order == ["large", "urgent"]
    nursery.start_soon(run, slots, demand(300, "waits", urgent=True), 1.0, order)
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(0, "draft"), 1.0, order)
    await trio.sleep(5)
    assert order[2:] == ["waits", "draft"]


async def test_prompt_larger_than_the_memory_runs_alone(autojump_clock, nursery):
    slots, order = FairQueue(16, KvMemory(1000, 0.2)), []
    nursery.start_soon(run, slots, demand(10, "small"), 1.0, order)
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(5000, "large"), 1.0, order)
    await trio.sleep(0.1)
    assert order == ["small"]
    await trio.sleep(5)
    assert order == ["small", "large"]


async def test_cancelled_waiter_lets_those_behind_it_start(autojump_clock, nursery):
    slots, order = FairQueue(16, KvMemory(1000, 0.2)), []
    nursery.start_soon(run, slots, demand(700, "first"), 10.0, order)
    await trio.sleep(0.1)
    scope = trio.CancelScope()
    nursery.start_soon(_run_in, scope, slots, demand(500, "gone"))
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(50, "behind"), 1.0, order)
    await trio.sleep(0.1)
    assert order == ["first"]
    scope.cancel()
    await trio.sleep(0.1)
    assert order == ["first", "behind"]


async def _run_in(scope, slots, its_demand):
    with scope:
        await run(slots, its_demand)


async def test_late_request_is_refused_at_once_while_memory_is_full(
    autojump_clock, nursery
):
    slots = FairQueue(16, KvMemory(1000, 0.2))
    await run(slots, demand(10))
    nursery.start_soon(run, slots, demand(790), 100.0)
    await trio.sleep(0.1)
    nursery.start_soon(run, slots, demand(500, n_tokens=100))
    await trio.sleep(0.1)
    started_at = trio.current_time()
    with pytest.raises(Refused):
        await run(slots, demand(5, deadline_ms=2000, n_tokens=10))
    assert trio.current_time() == started_at


# The target is less than one eviction in 1,000 admissions.
@pytest.mark.parametrize("mix", ["briefs", "even", "summaries"])
@pytest.mark.parametrize("drift", [1.0, 2.0])
def test_evictions_stay_below_the_target_at_more_use_than_peak_allows(mix, drift):
    setup = Setup(32_768, mix, 1.5, drift, 240_000.0, seed=5)
    streams = arrivals(mix, *setup[:1], *setup[2:])
    measured = run_way(setup, Measured(32_768, HEADROOM_SHARE), streams)
    peak = run_way(setup, WAYS["peak"](32_768), streams)
    assert measured["evictions_per_1000"] < 1
    assert measured["kv_use"] > peak["kv_use"]
    # With "peak" the long streams wait too long, so a count of responses favours it.
    assert measured["whole_tokens_per_s"] > peak["whole_tokens_per_s"]


async def test_agent_keeps_an_engine_within_its_memory(nursery, autojump_clock):
    path = MemoryPath(nursery)
    engine = EngineStandin(EngineTiming(50.0, 8))
    nursery.start_soon(engine.run)
    client = MemoryUpstream(nursery, engine.handle)
    await path.start_agent(
        "agent-1", "10.2.0.1", "engine", "drafts", client, 8, kv_limit_tokens=100
    )
    entry = await path.start_entry()
    callers = [RecordingResponder() for _ in range(4)]
    request = draft()._replace(n_prompt_tokens=30, n_tokens=50)
    max_running = 0
    for caller in callers:
        nursery.start_soon(entry.run, request, caller)
    for _ in range(100):
        await trio.sleep(0.05)
        max_running = max(max_running, engine.n_running)
    # Two prompts leave the headroom free; a third would use it.
    assert max_running == 2
    assert all(
        words(caller) == completion_words("A grey cat.", 20) for caller in callers
    )
    # A slot count alone would have run all four at once.
    assert engine.n_running == 0


def words(caller):
    events = caller.body.decode().split("\n\n")
    documents = [json.loads(e[6:]) for e in events if e.startswith("data: {")]
    return [document["choices"][0]["text"] for document in documents]
