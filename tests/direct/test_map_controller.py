from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from benchmarks.worst_load import ENGINE
from poplarward.direct.map_controller import MapController
from poplarward.direct.model import Service, UpstreamEntry
from poplarward.direct.retry_budgets import RetryBudgets
from poplarward.direct.routing_state import RoutingState
from tests.direct.relay_harness import configuration
from tests.direct.simulated_group import SimulatedGroup

N_RANKS = 4
PROFILE = ENGINE._replace(
    n_layers=1, n_experts=N_RANKS, n_expert_slots=2, n_spare_slots=2, steps_per_pass=6
)
TOKENS_PER_PASS = 4_000
EVEN = [0.25, 0.25, 0.25, 0.25]
SHIFTED = [0.7, 0.1, 0.1, 0.1]


@pytest.fixture
def autojump_clock():
    return MockClock(autojump_threshold=0)


class Exchange:
    """Other hosts, as the one that tends the maps hears of them."""

    def __init__(self):
        self.is_slowed = False
        self.has_lead = True
        self.other_led_ms_ago = float("inf")

    def update_leadership(self):
        return self.has_lead

    def ms_since_other_leader(self):
        return self.other_led_ms_ago

    def live(self):
        return []

    def n_hosts_slowed(self, service):
        return int(self.is_slowed)


class Control:
    """A simulated group's calls, with counts of the experts in demand."""

    def __init__(self, group):
        self.group = group
        self.demand = [(0, EVEN)]
        self.n_counts_read = 0

    def shift(self, demand):
        """Have other experts in demand from the next pass on."""
        self.demand.append((self.group.step, demand))

    async def counts(self, upstream_id):
        step, _ = await self.group.counts(upstream_id)
        self.n_counts_read += 1
        ends = [since for since, _ in self.demand[1:]] + [step]
        counts = [0] * N_RANKS
        for (since, shares), end in zip(self.demand, ends, strict=True):
            for expert, share in enumerate(shares):
                counts[expert] += int(share * TOKENS_PER_PASS * (end - since))
        return step, counts

    async def layers(self, upstream_id):
        rank = self.group.ranks[int(upstream_id[1:])]
        return [rank.content[0][rank.number]]

    def __getattr__(self, name):
        return getattr(self.group, name)


class Site:
    """A steward, the group that it tends, and what it hears of the hosts."""

    def __init__(self, **group_arguments):
        self.group = SimulatedGroup(N_RANKS, **group_arguments)
        self.control = Control(self.group)
        self.exchange = Exchange()
        self.beliefs = RoutingState(
            1_000.0,
            lambda: 0.0,
            RetryBudgets(0.2, 10.0, 10.0, lambda: 1),
            random.Random(1),
        )
        declared = configuration()._replace(
            services={"llm": Service("llm", 100, PROFILE)}
        )
        self.beliefs.apply_configuration(declared)
        for n in range(N_RANKS):
            self.beliefs.upstreams.put(
                UpstreamEntry(f"u{n}", "llm", f"127.0.0.1:{n + 1}", "a", 6, False, 1)
            )
        self.set_busy(True)
        self.steward = MapController(
            self.beliefs, self.control, self.exchange, random.Random(1)
        )

    def set_busy(self, is_busy):
        self.beliefs.upstreams.update_peer_loads({"u0": 1.0} if is_busy else {})

    async def start(self, nursery):
        await nursery.start(self.group.run)
        nursery.start_soon(self.steward.run)

    def hot_ranks(self):
        """Return the ranks that hold the expert in most demand."""
        return [r.number for r in self.group.ranks if 0 in r.content[0][r.number]]


async def test_shift_that_slows_streams_is_answered_within_a_second(
    autojump_clock, nursery
):
    """Demand moves to one expert just after a look, and two hosts' streams slow."""
    site = Site()
    await site.start(nursery)
    await trio.sleep(6.0)
    assert site.hot_ranks() == [0]
    n_read = site.control.n_counts_read
    while site.control.n_counts_read == n_read:
        await trio.sleep(0.01)
    await trio.sleep(0.1)
    site.control.shift(SHIFTED)
    await trio.sleep(0.15)
    site.exchange.is_slowed = True
    await trio.sleep(0.75)
    assert len(site.hot_ranks()) > 1
    assert site.group.mixed_passes == []
    nursery.cancel_scope.cancel()


async def test_group_that_forms_anew_gets_a_map_without_new_counts(
    autojump_clock, nursery
):
    """A rank crashes; the demand that was known before is planned for at once."""
    site = Site()
    await site.start(nursery)
    await trio.sleep(2.0)
    site.control.shift(SHIFTED)
    await trio.sleep(4.0)
    assert len(site.hot_ranks()) > 1
    site.control.shift([0.0] * N_RANKS)  # The group gets no requests.
    await trio.sleep(1.5)
    site.group.reform()
    assert site.hot_ranks() == [0]
    await trio.sleep(2.0)
    assert len(site.hot_ranks()) > 1
    assert site.group.mixed_passes == []
    nursery.cancel_scope.cancel()


async def test_new_holder_of_the_lead_has_a_map_in_force_soon(autojump_clock, nursery):
    """All hosts lost power; the ranks went on, and demand has shifted meanwhile."""
    site = Site()
    site.exchange.has_lead = False
    await site.start(nursery)
    await trio.sleep(3.0)
    site.control.shift(SHIFTED)
    await trio.sleep(1.0)
    site.exchange.has_lead = True
    await trio.sleep(1.5)
    assert len(site.hot_ranks()) > 1
    nursery.cancel_scope.cancel()


async def test_no_change_begins_while_another_host_may_be_at_one(
    autojump_clock, nursery
):
    site = Site()
    site.exchange.other_led_ms_ago = 100.0
    site.control.shift(SHIFTED)
    await site.start(nursery)
    await trio.sleep(4.0)
    assert site.hot_ranks() == [0]
    site.exchange.other_led_ms_ago = 5_000.0
    await trio.sleep(2.0)
    assert len(site.hot_ranks()) > 1
    nursery.cancel_scope.cancel()


async def test_group_without_work_is_not_asked_for_counts(autojump_clock, nursery):
    site = Site()
    await site.start(nursery)
    await trio.sleep(3.0)
    site.set_busy(False)
    await trio.sleep(2.0)
    n_read = site.control.n_counts_read
    await trio.sleep(20.0)
    assert site.control.n_counts_read == n_read
    site.set_busy(True)
    await trio.sleep(1.0)
    assert site.control.n_counts_read > n_read
    nursery.cancel_scope.cancel()


async def test_skew_after_a_shift_is_told(autojump_clock, nursery):
    site = Site()
    await site.start(nursery)
    await trio.sleep(3.0)
    site.control.shift(SHIFTED)  # For a first map of its own.
    await trio.sleep(8.0)
    site.control.shift(SHIFTED[::-1])
    await trio.sleep(8.0)
    assert site.steward.post_shift_skews()["llm"] > 1.5
    await trio.sleep(60.0)
    assert site.steward.post_shift_skews()["llm"] < 1.5
    nursery.cancel_scope.cancel()
