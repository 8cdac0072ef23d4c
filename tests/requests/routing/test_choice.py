from __future__ import annotations

import random
from collections import Counter

import pytest

from benchmarks.routing import Setup, run_policy
from benchmarks.routing_model import arrivals
from benchmarks.routing_policies import POLICIES
from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState
from poplarward.requests.routing.choice import Candidate, choose_candidate
from poplarward.requests.routing.load import AgentLoad, unreported_requests
from poplarward.requests.routing.subset import PoolMember, choose_subset


def report(number, n_waiting=0, n_running=0, last_sequence=0, n_received=0):
    return AgentReport(
        UpstreamKind.ENGINE,
        "drafts",
        UpstreamState.LIVE,
        n_running,
        n_waiting,
        0,
        32,
        0,
        0,
        number,
        last_sequence,
        n_received,
    )


def test_own_requests_correct_load_until_reported():
    load = AgentLoad()
    load.apply_report(report(1, n_running=5), 0.0)
    load.begin(1, 10.0)
    load.begin(2, 20.0)
    assert load.occupancy == 5 + 2 * 4
    # The second request was still in transit when this report was created.
    load.apply_report(report(2, n_running=6, last_sequence=1), 100.0)
    assert load.occupancy == 6 + 4
    load.end(1)
    assert load.occupancy == 5 + 4
    load.apply_report(report(3, n_running=6, last_sequence=2), 200.0)
    assert load.occupancy == 6
    assert load.n_in_flight == 1
    load.end(2)
    assert load.n_in_flight == 0


def test_unreported_requests_follow_from_delay_and_rate():
    load = AgentLoad()
    load.apply_report(report(1), 0.0)
    for number in range(2, 80):
        now_ms = 100.0 * number
        load.begin(number, now_ms - 150.0)
        load.apply_report(
            report(number, last_sequence=number, n_received=4 * number), now_ms
        )
    # 40 requests per second, each reported 150 ms after it was sent.
    assert unreported_requests([load]) == pytest.approx(6.0, rel=0.02)


def test_stale_reports_spread_and_fresh_reports_choose_the_least_loaded():
    rng = random.Random(1)
    candidates = [Candidate("a", 0.0), Candidate("b", 1.0), Candidate("c", 9.0)]
    chosen_counts = {
        arriving: Counter(
            choose_candidate(candidates, (), arriving, rng).name for _ in range(3000)
        )
        for arriving in (0.0, 3.0, 300.0)
    }
    assert set(chosen_counts[0.0]) == {"a"}
    assert chosen_counts[3.0]["a"] / chosen_counts[3.0]["b"] == pytest.approx(
        2.0, rel=0.15
    )
    assert chosen_counts[3.0]["c"] == 0
    assert chosen_counts[300.0]["c"] > 900


def test_hot_prefix_spills_over_before_its_agents_are_overloaded():
    rng = random.Random(1)
    loads = dict.fromkeys("abcdefgh", 0.0)
    for _ in range(800):
        candidates = [Candidate(name, load) for name, load in loads.items()]
        chosen = choose_candidate(candidates, ("a", "b"), 0.0, rng)
        loads[chosen.name] += 1
    assert max(loads.values()) <= 800 / 8 + 3
    assert choose_candidate([Candidate("a", 5.0)], ("a",), 0.0, rng).name == "a"
    even = [Candidate(name, 0.1) for name in "abcdefghij"]
    assert choose_candidate(even, ("g",), 0.0, rng).name == "g"
    assert choose_candidate([], ("a",), 0.0, rng) is None


def members(role, n, n_sites):
    return [PoolMember(f"{role}-{i}", f"site-{i % n_sites}") for i in range(n)]


def test_subset_of_a_small_pool_is_complete():
    entries, agents = members("entry", 13, 3), members("agent", 19, 3)
    for entry in entries:
        assert len(choose_subset(entry, entries, agents)) == 19


def test_subset_is_bounded_even_and_stable():
    entries, agents = members("entry", 90, 3), members("agent", 900, 3)
    before = {e: set(choose_subset(e, entries, agents)) for e in entries}
    n_entries_by_agent = Counter(name for names in before.values() for name in names)
    assert max(len(names) for names in before.values()) <= 2 * (24 + 8)
    assert min(len(names) for names in before.values()) >= 12
    assert len(n_entries_by_agent) == len(agents)
    assert max(n_entries_by_agent.values()) - min(n_entries_by_agent.values()) <= 1
    # Removing an entry host moves only its own connections.
    fewer = entries[1:]
    after = {e: set(choose_subset(e, fewer, agents)) for e in fewer}
    n_lost = sum(len(before[e] - after[e]) for e in fewer)
    n_gained = sum(len(after[e] - before[e]) for e in fewer)
    assert n_lost <= len(before[entries[0]])
    assert n_gained <= len(before[entries[0]]) + n_lost


@pytest.mark.parametrize("n_entries", [13, 21])
def test_first_tokens_come_sooner_than_with_every_baseline(n_entries):
    setup = Setup(16, n_entries, 50.0, 0.02, 8_000.0, seed=5)
    requests = arrivals(16, n_entries, setup.duration_ms, setup.seed)
    results = {name: run_policy(setup, p, requests) for name, p in POLICIES.items()}
    ours = results.pop("ours")
    for other in results.values():
        for kind in ("urgent", "drafting"):
            key = "first_token_p95_ms"
            assert ours[kind][key] < other[kind][key]
        assert ours["fullest_rank_ms"] < other["fullest_rank_ms"]
        assert ours["cache_hit_share"] > other["cache_hit_share"]
