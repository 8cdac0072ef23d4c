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


class FakeExchange:
    """Heartbeats of the other hosts, as the leader receives them."""

    def __init__(self):
        self.is_slowed = False
        self.is_leader = True
        self.ms_since_leader = float("inf")

    def update_leadership(self):
        return self.is_leader

    def ms_since_other_leader(self):
        return self.ms_since_leader

    def live_heartbeats(self):
        return []

    def n_hosts_slowed(self, service):
        return int(self.is_slowed)


class ControlWithDemand:
    """Calls to a simulated group, with token counts for a set demand."""

    def __init__(self, group):
        self.group = group
        self.demand = [(0, EVEN)]
        self.n_counts_read = 0

    def shift(self, demand):
        """Change the experts in demand from the next pass on."""
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
        return [rank.content[0][rank.index]]

    def __getattr__(self, name):
        return getattr(self.group, name)


class Deployment:
    """A controller, its group, and the heartbeats that it receives."""

    def __init__(self, **group_arguments):
        self.group = SimulatedGroup(N_RANKS, **group_arguments)
        self.control = ControlWithDemand(self.group)
        self.exchange = FakeExchange()
        self.routing_state = RoutingState(
            1_000.0,
            lambda: 0.0,
            RetryBudgets(0.2, 10.0, 10.0, lambda: 1),
            random.Random(1),
        )
        declared = configuration()._replace(
            services={"llm": Service("llm", 100, PROFILE)}
        )
        self.routing_state.apply_configuration(declared)
        for n in range(N_RANKS):
            self.routing_state.upstreams.put(
                UpstreamEntry(f"u{n}", "llm", f"127.0.0.1:{n + 1}", "a", 6, False, 1)
            )
        self.set_busy(True)
        self.controller = MapController(
            self.routing_state, self.control, self.exchange, random.Random(1)
        )

    def set_busy(self, is_busy):
        self.routing_state.upstreams.update_peer_loads({"u0": float(is_busy)})

    async def start(self, nursery):
        await nursery.start(self.group.run)
        nursery.start_soon(self.controller.run)

    def hot_ranks(self):
        """Return the ranks that have the hottest expert."""
        return [r.index for r in self.group.ranks if 0 in r.content[0][r.index]]


async def test_shift_that_slows_streams_changes_the_map_within_a_second(
    autojump_clock, nursery
):
    """Demand shifts just after counts were read, and then streams slow down."""
    deployment = Deployment()
    await deployment.start(nursery)
    await trio.sleep(6.0)
    assert deployment.hot_ranks() == [0]
    n_read = deployment.control.n_counts_read
    while deployment.control.n_counts_read == n_read:
        await trio.sleep(0.01)
    await trio.sleep(0.1)
    deployment.control.shift(SHIFTED)
    await trio.sleep(0.15)
    deployment.exchange.is_slowed = True
    await trio.sleep(0.75)
    assert len(deployment.hot_ranks()) > 1
    assert deployment.group.mixed_passes == []
    nursery.cancel_scope.cancel()


async def test_re_formed_group_gets_a_map_without_new_counts(autojump_clock, nursery):
    """After a rank's crash, the map is planned for the demand known before."""
    deployment = Deployment()
    await deployment.start(nursery)
    await trio.sleep(2.0)
    deployment.control.shift(SHIFTED)
    await trio.sleep(4.0)
    assert len(deployment.hot_ranks()) > 1
    deployment.control.shift([0.0] * N_RANKS)  # No more requests.
    await trio.sleep(1.5)
    deployment.group.reform()
    assert deployment.hot_ranks() == [0]
    await trio.sleep(2.0)
    assert len(deployment.hot_ranks()) > 1
    assert deployment.group.mixed_passes == []
    nursery.cancel_scope.cancel()


async def test_new_leader_switches_to_a_map_soon(autojump_clock, nursery):
    """All hosts lost power; the ranks went on, and demand has shifted meanwhile."""
    deployment = Deployment()
    deployment.exchange.is_leader = False
    await deployment.start(nursery)
    await trio.sleep(3.0)
    deployment.control.shift(SHIFTED)
    await trio.sleep(1.0)
    deployment.exchange.is_leader = True
    await trio.sleep(1.5)
    assert len(deployment.hot_ranks()) > 1
    nursery.cancel_scope.cancel()


async def test_no_map_change_begins_while_a_former_leader_may_have_one_in_progress(
    autojump_clock, nursery
):
    deployment = Deployment()
    deployment.exchange.ms_since_leader = 100.0
    deployment.control.shift(SHIFTED)
    await deployment.start(nursery)
    await trio.sleep(4.0)
    assert deployment.hot_ranks() == [0]
    deployment.exchange.ms_since_leader = 5_000.0
    await trio.sleep(2.0)
    assert len(deployment.hot_ranks()) > 1
    nursery.cancel_scope.cancel()


async def test_counts_of_an_idle_group_are_not_read(autojump_clock, nursery):
    deployment = Deployment()
    await deployment.start(nursery)
    await trio.sleep(3.0)
    deployment.set_busy(False)
    await trio.sleep(2.0)
    n_read = deployment.control.n_counts_read
    await trio.sleep(20.0)
    assert deployment.control.n_counts_read == n_read
    deployment.set_busy(True)
    await trio.sleep(1.0)
    assert deployment.control.n_counts_read > n_read
    nursery.cancel_scope.cancel()


async def test_post_shift_skew_is_reported(autojump_clock, nursery):
    deployment = Deployment()
    await deployment.start(nursery)
    await trio.sleep(3.0)
    deployment.control.shift(SHIFTED)  # So that a first planned map is in use.
    await trio.sleep(8.0)
    deployment.control.shift(SHIFTED[::-1])
    await trio.sleep(8.0)
    assert deployment.controller.post_shift_skews()["llm"] > 1.5
    await trio.sleep(60.0)
    assert deployment.controller.post_shift_skews()["llm"] < 1.5
    nursery.cancel_scope.cancel()
