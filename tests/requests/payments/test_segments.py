"""Closed segments of a journal, with faults at each step of closing one."""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import NotFound
from poplarward.protocol.requests import Outcome
from poplarward.requests.payments import Forward, Record, RecordState, Replay, journal
from poplarward.requests.payments.decisions import UNKNOWN
from poplarward.requests.payments.journal import DELETION_DELAY_MS, RETENTION_MS
from poplarward.requests.payments.partition import FULL, STORE_UNAVAILABLE, Partition
from poplarward.standins.object_store import MemoryObjectStore, StoreFaults
from poplarward.state.writer import Writer

NAME = "ledger-000"
KIND = "payments"
MAX_WAIT_S = 60


class PausingStore:
    """Store of one agent that pauses before or after a selected write."""

    def __init__(self, store):
        self.is_selected = lambda name: False
        self.pauses_after = False
        self.reached = trio.Event()
        self.resumed = trio.Event()
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def put(self, kind, name, spec, expected_version):
        is_selected = self.is_selected(name) and not self.reached.is_set()
        if is_selected and not self.pauses_after:
            await self._pause()
        stored = await self._store.put(kind, name, spec, expected_version)
        if is_selected and self.pauses_after:
            await self._pause()
        return stored

    async def wait_reached(self):
        with trio.fail_after(MAX_WAIT_S):
            await self.reached.wait()

    async def _pause(self):
        self.reached.set()
        await self.resumed.wait()


class Clock:
    """Wall clock that follows virtual time."""

    def __call__(self):
        return int(trio.current_time() * 1000) + 1


class Agent:
    """An agent with its own instance of the partition."""

    def __init__(self, nursery, store, number):
        self.store = PausingStore(store)
        self.owner = f"agent-{number}:{number}"
        self.partition = Partition(
            self.store, Writer(self.store, number), NAME, self.owner, Clock()
        )
        nursery.start_soon(self.partition.run)

    def record(self, key):
        return Record(f"digest of {key}", self.owner, RecordState.STARTED, Clock()())

    async def begin(self, key):
        return await self.partition.begin(key, self.record(key))

    async def pay(self, key):
        """Run a call and record its response; returns the decision."""
        decision = await self.begin(key)
        if decision == Forward():
            result = self.record(key).with_response(201, "text/plain", key.encode())
            self.partition.finish(key, result)
        return decision

    async def wait_flushed(self):
        with trio.fail_after(MAX_WAIT_S):
            while not self.partition.is_flushed:
                await trio.sleep(0.1)


@pytest.fixture
def store():
    return MemoryObjectStore(
        StoreFaults(delay_ms=3.0, writes_per_s=1e6, reads_per_s=1e6)
    )


@pytest.fixture
def agents(nursery, store, monkeypatch):
    """Two agents that close a segment with each update if possible."""
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 0)
    return [Agent(nursery, store, number) for number in range(2)]


async def segments_of(store):
    _, items = await store.list(KIND)
    return {item.name for item in items if item.name != NAME}


async def listed_segments(store):
    spec = (await store.get(KIND, NAME)).spec
    return {f"{NAME}.{number}" for number, *_ in spec["segments"]}


def response_to(key):
    return (201, key.encode())


def response_in(decision):
    assert isinstance(decision, Replay), decision
    return (decision.record.status, decision.record.body)


async def pay_and_close(agent, *keys):
    """Pay keys, and one more so that their records are moved to closed segments."""
    for key in keys:
        assert await agent.pay(key) == Forward()
    await agent.wait_flushed()
    assert await agent.pay(f"after {keys[-1]}") == Forward()
    await agent.wait_flushed()


async def test_every_agent_replays_keys_in_segments(
    agents, store, nursery, autojump_clock
):
    await pay_and_close(agents[0], "k-1", "k-2")
    spec = (await store.get(KIND, NAME)).spec
    assert not {"k-1", "k-2"} & spec["open"].keys()
    for agent in (*agents, Agent(nursery, store, 2)):
        for key in ("k-1", "k-2"):
            assert response_in(await agent.pay(key)) == response_to(key)
    nursery.cancel_scope.cancel()


async def test_ten_thousand_keys_fit_into_a_partition(nursery, store, autojump_clock):
    """A single object of at most 900 kB holds only about 3,000 keys."""
    agent = Agent(nursery, store, 0)
    for first in range(0, 10_000, 500):
        async with trio.open_nursery() as calls:
            for number in range(first, first + 500):
                calls.start_soon(agent.pay, f"k-{number}")
        await agent.wait_flushed()
    assert FULL not in [await agent.pay("last")]
    _, items = await store.list(KIND)
    n_keys = sum(len(item.spec["open"]) for item in items)
    assert n_keys == 10_001
    successor = Agent(nursery, store, 1)
    for number in range(0, 10_000, 999):
        assert response_in(await successor.pay(f"k-{number}"))[0] == 201
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("pauses_after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("place", ["segment", "journal"])
async def test_take_over_while_a_segment_is_closed(
    agents, store, nursery, autojump_clock, place, pauses_after
):
    """The owner is paused at a write, a successor takes over, the owner resumes."""
    owner, successor = agents
    assert await owner.pay("k-1") == Forward()
    await owner.wait_flushed()
    owner.store.pauses_after = pauses_after
    owner.store.is_selected = lambda name: (name == NAME) == (place == "journal")
    decisions = {}

    async def pay(agent, key):
        decisions[agent, key] = await agent.pay(key)

    nursery.start_soon(pay, owner, "k-2")
    await owner.store.wait_reached()
    for key in ("k-1", "k-2", "k-3"):
        await pay(successor, key)
    await successor.wait_flushed()
    owner.store.resumed.set()
    await trio.sleep(5)
    assert response_in(decisions[successor, "k-1"]) == response_to("k-1")
    ran = [agent for agent in agents if decisions[agent, "k-2"] == Forward()]
    assert len(ran) == 1
    if ran == [owner]:
        assert decisions[successor, "k-2"] == UNKNOWN
    for agent in (*agents, Agent(nursery, store, 2)):
        for key in ("k-1", "k-2", "k-3"):
            assert response_in(await agent.pay(key)) == response_to(key)
    await trio.sleep(1)
    assert await listed_segments(store) <= await segments_of(store)
    nursery.cancel_scope.cancel()


async def test_unlisted_segment_is_deleted(
    agents, store, nursery, autojump_clock, monkeypatch
):
    owner, successor = agents
    assert await owner.pay("k-1") == Forward()
    await owner.wait_flushed()
    owner.store.is_selected = lambda name: name == NAME
    nursery.start_soon(owner.pay, "k-2")
    await owner.store.wait_reached()
    assert len(await segments_of(store)) == 1
    with monkeypatch.context() as patch:
        patch.setattr(journal, "SEGMENT_BYTES", 1_000_000)
        assert await successor.pay("k-3") == Forward()
        await successor.wait_flushed()
    owner.store.resumed.set()
    await trio.sleep(2)
    await pay_and_close(owner, "k-4")
    await trio.sleep(2)
    assert await owner.pay("k-5") == Forward()
    await owner.wait_flushed()
    assert await segments_of(store) == await listed_segments(store)
    for key in ("k-1", "k-2", "k-3", "k-4"):
        assert response_in(await successor.pay(key)) == response_to(key)
    nursery.cancel_scope.cancel()


async def test_lost_store_responses_while_segments_are_closed(
    agents, store, nursery, autojump_clock
):
    store.faults.lost_answers = 0.4
    ran = []
    for number in range(60):
        key = f"k-{number % 20}"
        decision = await agents[number % 2].pay(key)
        if decision == Forward():
            ran.append(key)
        await trio.sleep(0.7)
    store.faults.lost_answers = 0.0
    await trio.sleep(10)
    assert len(ran) == len(set(ran)) > 10
    for agent in (*agents, Agent(nursery, store, 2)):
        for key in ran:
            assert response_in(await agent.pay(key)) == response_to(key)
    nursery.cancel_scope.cancel()


async def test_store_unavailable_between_segment_and_journal(
    agents, store, nursery, autojump_clock
):
    owner, successor = agents
    assert await owner.pay("k-1") == Forward()
    await owner.wait_flushed()
    owner.store.is_selected = lambda name: name == NAME
    decisions = []

    async def pay():
        decisions.append(await owner.pay("k-2"))

    nursery.start_soon(pay)
    await owner.store.wait_reached()
    store.set_down(True)
    owner.store.resumed.set()
    await trio.sleep(5)
    assert decisions == [STORE_UNAVAILABLE]
    store.set_down(False)
    await trio.sleep(5)
    assert await successor.pay("k-2") == Forward()
    assert response_in(await owner.pay("k-1")) == response_to("k-1")
    nursery.cancel_scope.cancel()


async def test_expired_segments_are_deleted(agents, store, nursery, autojump_clock):
    owner, successor = agents
    await pay_and_close(owner, "k-1")
    first = await segments_of(store)
    await trio.sleep((RETENTION_MS + DELETION_DELAY_MS) / 1000 + 1)
    for number in range(4):
        await pay_and_close(owner, f"late-{number}")
    assert not first & await segments_of(store)
    assert not first & await listed_segments(store)
    assert await successor.pay("k-1") == Forward()
    nursery.cancel_scope.cancel()


async def test_deleted_segment_that_has_expired_is_not_required(
    agents, store, nursery, autojump_clock
):
    owner, successor = agents
    await pay_and_close(owner, "k-1")
    await trio.sleep(RETENTION_MS / 1000 + 1)
    await delete_segments(store)
    assert await successor.pay("k-2") == Forward()
    nursery.cancel_scope.cancel()


async def test_no_key_runs_while_a_live_segment_is_missing(
    agents, store, nursery, autojump_clock
):
    owner, successor = agents
    await pay_and_close(owner, "k-1")
    await delete_segments(store)
    decision = await successor.pay("k-1")
    assert decision.outcome is Outcome.NOT_RUN
    with pytest.raises(NotFound):
        await store.get(KIND, f"{NAME}.0")
    nursery.cancel_scope.cancel()


async def delete_segments(store):
    _, items = await store.list(KIND)
    for item in items:
        if item.name != NAME:
            await store.delete(KIND, item.name, item.version)
