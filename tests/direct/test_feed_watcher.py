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
    # The host is never suspended here, so both clocks agree.
    monkeypatch.setattr(feed_watcher, "now_ms", lambda: trio.current_time() * 1000)
    monkeypatch.setattr(
        feed_watcher, "elapsed_ms", lambda since: trio.current_time() * 1000 - since
    )
    return clock


class ScriptedFeed:
    """Changes at set times, and times without an answer."""

    def __init__(self, change_times_s=(), away_s=(0, 0), drop_at_s=None):
        self.change_times_s = list(change_times_s)
        self.away_s = away_s
        self.drop_at_s = drop_at_s
        self.n_calls = 0

    def _check(self):
        self.n_calls += 1
        if self.away_s[0] <= trio.current_time() < self.away_s[1]:
            raise StoreUnavailable("away")

    async def list(self):
        self._check()
        return FeedListing(1, {"main": 0})

    async def changes(self, after_revision, wait_ms):
        self._check()
        now = trio.current_time()
        if self.drop_at_s is not None and now >= self.drop_at_s:
            self.drop_at_s = None
            raise RevisionTooOld("dropped")
        due = [t for t in self.change_times_s if t >= now]
        if due and due[0] - now < wait_ms / 1000:
            await trio.sleep(due[0] - now + 0.001)
            return FeedChanges(after_revision + 1, [FeedChange("main", due[0])])
        await trio.sleep(wait_ms / 1000)
        return FeedChanges(after_revision, [])


class SeriesFeed(ScriptedFeed):
    """Changes at set times, none of which is lost between two calls."""

    async def changes(self, after_revision, wait_ms):
        self._check()
        end = trio.current_time() + wait_ms / 1000
        while True:
            now = trio.current_time()
            due = [t for t in self.change_times_s[after_revision - 1 :] if t <= now]
            if due or now >= end:
                changes = [FeedChange("main", t) for t in due]
                return FeedChanges(after_revision + len(due), changes)
            await trio.sleep(0.01)


def follower_of(feed, seen):
    return FeedWatcher(
        "test",
        feed,
        3_000,
        seen.append,
        lambda change: seen.append(change.value),
        Backoff(RetryBudget(3.0), random.Random(1), max_pause_ms=1_000.0),
        200,
    )


async def oldest_age(follower, for_s):
    oldest = 0.0
    end = trio.current_time() + for_s
    while trio.current_time() < end:
        await trio.sleep(0.05)
        oldest = max(oldest, follower.age_ms())
    return oldest


async def test_confirmation_never_gets_too_old(autojump_clock, nursery):
    """Changes come just before a held call would have ended without any."""
    feed = ScriptedFeed(change_times_s=[2.9, 6.2, 9.8, 13.0])
    seen = []
    follower = follower_of(feed, seen)
    assert follower.age_ms() == float("inf")
    nursery.start_soon(follower.run)
    await trio.sleep(0.01)
    assert await oldest_age(follower, 20) < 4_000
    assert seen[1:] == [2.9, 6.2, 9.8, 13.0]
    assert feed.n_calls < 20
    nursery.cancel_scope.cancel()


async def test_store_that_is_away_is_noticed_and_asked_with_pauses(
    autojump_clock, nursery
):
    feed = ScriptedFeed(away_s=(5, 15))
    follower = follower_of(feed, [])
    nursery.start_soon(follower.run)
    await trio.sleep(14.9)
    assert follower.age_ms() > 8_000
    assert feed.n_calls < 50
    assert not follower.is_recovering
    await trio.sleep(3)
    assert follower.age_ms() < 3_500
    assert follower.is_recovering
    await trio.sleep(5)
    assert not follower.is_recovering
    nursery.cancel_scope.cancel()


async def test_dropped_history_is_made_up_for_by_a_list(autojump_clock, nursery):
    seen = []
    follower = follower_of(ScriptedFeed(drop_at_s=4), seen)
    nursery.start_soon(follower.run)
    await trio.sleep(10)
    assert seen == [{"main": 0}, {"main": 0}]
    nursery.cancel_scope.cancel()


async def test_long_series_of_changes_takes_few_calls_and_is_applied_in_time(
    autojump_clock, nursery
):
    """Nineteen upstreams register one after the other as all hosts start."""
    times_s = [1.0 + 0.16 * number for number in range(19)]
    feed = SeriesFeed(times_s)
    delays_s = []
    follower = FeedWatcher(
        "test",
        feed,
        2_400,
        lambda objects: None,
        lambda change: delays_s.append(trio.current_time() - change.value),
        Backoff(RetryBudget(3.0), random.Random(1), max_pause_ms=1_000.0),
    )
    nursery.start_soon(follower.run)
    await trio.sleep(6.0)
    assert len(delays_s) == 19
    assert max(delays_s) < 0.8
    assert feed.n_calls <= 12
    nursery.cancel_scope.cancel()
