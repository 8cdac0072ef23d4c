"""Outcomes reported by the writer match the store's history."""

from __future__ import annotations

from functools import partial

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from trio.testing import MockClock

from poplarward.errors import ConflictError, StoreUnavailable, WriteUnknown
from poplarward.standins.object_store import MemoryObjectStore, StoreFaults
from poplarward.state import RetryBudget, Writer

KIND, NAME = "workspaces", "ateliers"


def marks_in_history(store):
    return [
        (event.object.spec["mark"], event.object.version)
        for event in store.history()
        if not event.deleted
    ]


class ResponseLosingStore(MemoryObjectStore):
    """Loses the responses to the first puts, then lets another writer write."""

    def __init__(self, n_lost, n_followers=0, delete=False):
        super().__init__()
        self.n_lost, self.n_followers, self.delete_after = n_lost, n_followers, delete

    async def put(self, kind, name, spec, expected_version):
        stored = await super().put(kind, name, spec, expected_version)
        if self.n_lost:
            self.n_lost -= 1
            followers, self.n_followers = self.n_followers, 0
            version = stored.version
            other = Writer(self)
            for i in range(followers):
                content = {"mark": f"other-{i}"}
                followed = await other.put(kind, name, content, version, 1000)
                version = followed.version
            if self.delete_after:
                await super().delete(kind, name, version)
            raise StoreUnavailable("the answer was lost")
        return stored


@pytest.mark.parametrize("n_followers", [0, 1, 7, 8, 30])
@pytest.mark.parametrize("delete", [False, True])
async def test_lost_response_then_other_writers(autojump_clock, n_followers, delete):
    store = ResponseLosingStore(0)
    first = await Writer(store).put(KIND, NAME, {"mark": "first"}, 0, 1000)
    store.n_lost, store.n_followers, store.delete_after = 1, n_followers, delete
    mine = await Writer(store).put(KIND, NAME, {"mark": "mine"}, first.version, 5000)
    assert ("mine", mine.version) in marks_in_history(store)
    assert len(marks_in_history(store)) == n_followers + 2


async def test_lost_response_to_a_creation(autojump_clock):
    store = ResponseLosingStore(1, n_followers=20)
    mine = await Writer(store).put(KIND, NAME, {"mark": "mine"}, 0, 5000)
    assert ("mine", mine.version) in marks_in_history(store)


async def test_second_creation_conflicts(autojump_clock):
    store = ResponseLosingStore(0)
    await store.put(KIND, NAME, {"mark": "theirs"}, 0)
    with pytest.raises(ConflictError):
        await Writer(store).put(KIND, NAME, {"mark": "mine"}, 0, 5000)


async def test_write_that_takes_effect_after_the_read_back(autojump_clock):
    store = MemoryObjectStore(StoreFaults(delay_ms=150, late_writes=1.0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_late_writes, store)
        mine = await Writer(store).put(KIND, NAME, {"mark": "mine"}, 0, 5000)
    assert marks_in_history(store) == [("mine", mine.version)]
    assert store.counts.n_conflicts == 1


async def end_late_writes(store):
    await trio.sleep(0.2)
    store.faults.late_writes = 0.0


async def test_outage_gives_unknown_outcomes_with_few_calls(autojump_clock):
    store = MemoryObjectStore(StoreFaults(is_down=True))
    budget = RetryBudget(retries_per_s=1, max_burst_retries=5)
    writer = Writer(store, budget=budget)
    with pytest.raises(StoreUnavailable):
        await writer.put(KIND, NAME, {"mark": "m"}, 7, 3000)
    async with trio.open_nursery() as nursery:
        for _ in range(50):
            nursery.start_soon(expect_unknown, writer)
    assert trio.current_time() == pytest.approx(63)
    assert store.counts.n_writes == 50
    assert store.counts.n_reads <= 1 + 5 + 63


async def expect_unknown(writer):
    with pytest.raises(WriteUnknown):
        await writer.put(KIND, NAME, {"mark": "m"}, 0, 60_000)


class RacingWriters(RuleBasedStateMachine):
    """Several writers in separate processes write concurrently under store faults."""

    def __init__(self):
        super().__init__()
        self.clock = MockClock(autojump_threshold=0)
        self.store = MemoryObjectStore()
        self.writers = [Writer(self.store, seed) for seed in range(4)]
        self.n_marks = 0
        self.outcomes = {}

    @rule(
        starts_ms=st.lists(st.integers(0, 300), min_size=1, max_size=4),
        wrong_version=st.booleans(),
        delete_at_ms=st.none() | st.integers(0, 300),
        outage=st.none() | st.tuples(st.integers(0, 300), st.integers(1, 5000)),
        lost_answers=st.sampled_from([0.0, 0.3, 0.8]),
        late_writes=st.sampled_from([0.0, 0.3]),
    )
    def race(self, **scenario):
        trio.run(partial(self.run_race, **scenario), clock=self.clock)
        self.check()

    async def run_race(
        self, starts_ms, wrong_version, delete_at_ms, outage, lost_answers, late_writes
    ):
        faults = self.store.faults
        faults.lost_answers, faults.late_writes = lost_answers, late_writes
        version = self.current_version()
        async with trio.open_nursery() as nursery:
            for i, start_ms in enumerate(starts_ms):
                expected = version + 1 if wrong_version and i == 0 else version
                nursery.start_soon(self.write, self.writers[i], start_ms, expected)
            if delete_at_ms is not None and version:
                nursery.start_soon(self.delete, delete_at_ms, version)
            if outage is not None:
                nursery.start_soon(self.fail, *outage)
        faults.lost_answers = faults.late_writes = 0.0
        # Wait for the last late write; it is applied by the next call.
        await trio.sleep(1)
        await self.store.list(KIND)

    def current_version(self):
        history = self.store.history()
        if not history or history[-1].deleted:
            return 0
        return history[-1].object.version

    async def write(self, writer, start_ms, expected_version):
        await trio.sleep(start_ms / 1000)
        self.n_marks += 1
        mark = self.n_marks
        try:
            stored = await writer.put(
                KIND, NAME, {"mark": mark}, expected_version, 4000
            )
            self.outcomes[mark] = stored.version
        except (ConflictError, StoreUnavailable, WriteUnknown) as error:
            self.outcomes[mark] = type(error)

    async def delete(self, at_ms, version):
        await trio.sleep(at_ms / 1000)
        try:
            await self.store.delete(KIND, NAME, version)
        except (ConflictError, StoreUnavailable):
            pass

    async def fail(self, at_ms, length_ms):
        await trio.sleep(at_ms / 1000)
        self.store.set_down(True)
        await trio.sleep(length_ms / 1000)
        self.store.set_down(False)

    def check(self):
        effects = {}
        for mark, version in marks_in_history(self.store):
            effects.setdefault(mark, []).append(version)
        for mark, outcome in self.outcomes.items():
            versions = effects.get(mark, [])
            if outcome is WriteUnknown:
                assert len(versions) <= 1
            elif isinstance(outcome, int):
                assert versions == [outcome]
            else:
                assert versions == []


def test_racing_writers():
    run_state_machine_as_test(
        RacingWriters, settings=settings(max_examples=80, stateful_step_count=8)
    )
