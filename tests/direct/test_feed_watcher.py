from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from poplarward.direct import feed_watcher
from poplarward.direct.feed_watcher import FeedWatcher
from poplarward.direct.ports import FeedChange, FeedChanges, FeedListing
from poplarward.errors import RevisionTooOld, StoreUnavailable
from poplarward.state.budget import Backoff, RetryBudget


@pytest.fixture
def autojump_clock(monkeypatch):
    clock = MockClock(autojump_threshold=0)
    # The host is not suspended here, so both clocks agree.
    monkeypatch.setattr(feed_watcher, "now_ms", lambda: trio.current_time() * 1000)
    monkeypatch.setattr(
        feed_watcher, "elapsed_ms", lambda since: trio.current_time() * 1000 - since
    )
    return clock


class ScriptedFeed:
    """A feed with changes at set times and outages."""

    def __init__(self, change_times_s=(), outage_s=(0, 0), expire_at_s=None):
        self.change_times_s = list(change_times_s)
        self.outage_s = outage_s
        self.expire_at_s = expire_at_s
        self.n_calls = 0

    def _begin_call(self):
        self.n_calls += 1
        if self.outage_s[0] <= trio.current_time() < self.outage_s[1]:
            raise StoreUnavailable("outage")

    async def list(self):
        self._begin_call()
        return FeedListing(1, {"main": 0})

    async def changes(self, after_revision, wait_ms):
        self._begin_call()
        now = trio.current_time()
        if self.expire_at_s is not None and now >= self.expire_at_s:
            self.expire_at_s = None
            raise RevisionTooOld("dropped")
        due = [t for t in self.change_times_s if t >= now]
        if due and due[0] - now < wait_ms / 1000:
            await trio.sleep(due[0] - now + 0.001)
            return FeedChanges(after_revision + 1, [FeedChange("main", due[0])])
        await trio.sleep(wait_ms / 1000)
        return FeedChanges(after_revision, [])


class GaplessFeed(ScriptedFeed):
    """A feed that also returns changes made between two calls."""

    async def changes(self, after_revision, wait_ms):
        self._begin_call()
        end = trio.current_time() + wait_ms / 1000
        while True:
            now = trio.current_time()
            due = [t for t in self.change_times_s[after_revision - 1 :] if t <= now]
            if due or now >= end:
                changes = [FeedChange("main", t) for t in due]
                return FeedChanges(after_revision + len(due), changes)
            await trio.sleep(0.01)


def watcher_of(feed, seen):
    return FeedWatcher(
        "test",
        feed,
        3_000,
        seen.append,
        lambda change: seen.append(change.value),
        Backoff(RetryBudget(3.0), random.Random(1), max_backoff_ms=1_000.0),
        200,
    )


async def oldest_age(watcher, for_s):
    oldest = 0.0
    end = trio.current_time() + for_s
    while trio.current_time() < end:
        await trio.sleep(0.05)
        oldest = max(oldest, watcher.age_ms())
    return oldest


async def test_copy_is_confirmed_often_enough(autojump_clock, nursery):
    """Changes happen just before a held call would have ended without any."""
    feed = ScriptedFeed(change_times_s=[2.9, 6.2, 9.8, 13.0])
    seen = []
    watcher = watcher_of(feed, seen)
    assert watcher.age_ms() == float("inf")
    nursery.start_soon(watcher.run)
    await trio.sleep(0.01)
    assert await oldest_age(watcher, 20) < 4_000
    assert seen[1:] == [2.9, 6.2, 9.8, 13.0]
    assert feed.n_calls < 20
    nursery.cancel_scope.cancel()


async def test_outage_of_the_store_is_noticed_and_retried_with_backoff(
    autojump_clock, nursery
):
    feed = ScriptedFeed(outage_s=(5, 15))
    watcher = watcher_of(feed, [])
    nursery.start_soon(watcher.run)
    await trio.sleep(14.9)
    assert watcher.age_ms() > 8_000
    assert feed.n_calls < 50
    assert not watcher.is_recovering
    await trio.sleep(3)
    assert watcher.age_ms() < 3_500
    assert watcher.is_recovering
    await trio.sleep(5)
    assert not watcher.is_recovering
    nursery.cancel_scope.cancel()


async def test_objects_are_listed_again_when_the_revision_has_expired(
    autojump_clock, nursery
):
    seen = []
    watcher = watcher_of(ScriptedFeed(expire_at_s=4), seen)
    nursery.start_soon(watcher.run)
    await trio.sleep(10)
    assert seen == [{"main": 0}, {"main": 0}]
    nursery.cancel_scope.cancel()


async def test_long_series_of_changes_takes_few_calls_and_is_applied_in_time(
    autojump_clock, nursery
):
    """Nineteen upstreams register one after another as all hosts start."""
    times_s = [1.0 + 0.16 * number for number in range(19)]
    feed = GaplessFeed(times_s)
    delays_s = []
    watcher = FeedWatcher(
        "test",
        feed,
        2_400,
        lambda objects: None,
        lambda change: delays_s.append(trio.current_time() - change.value),
        Backoff(RetryBudget(3.0), random.Random(1), max_backoff_ms=1_000.0),
    )
    nursery.start_soon(watcher.run)
    await trio.sleep(6.0)
    assert len(delays_s) == 19
    assert max(delays_s) < 0.8
    assert feed.n_calls <= 12
    nursery.cancel_scope.cancel()
