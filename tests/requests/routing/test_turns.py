from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.routing import Setup, run_policy
from benchmarks.routing_model import arrivals
from benchmarks.routing_policies import POLICIES
from poplarward.coordination.hosts import HostEntry
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.routing.choice import Candidate, choose_candidate
from poplarward.requests.routing.turns import TURN_MS, PrefillTurns

DRAFTING = PriorityClass.DRAFTING


def agent(name, group, upstream="drafts"):
    address = "10.0.0.1:9000"
    return HostEntry(name, "agent", "rennes", "live", address, "", upstream, group)


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def next_turn(self):
        self.now_s += TURN_MS / 1000


def turns_of(groups, clock):
    turns = PrefillTurns(clock)
    turns.take_hosts([agent(f"agent-{name}", name) for name in groups])
    return turns


@given(st.integers(2, 9), st.randoms(use_true_random=False))
def test_each_group_has_its_turn_equally_often(n_groups, rng):
    names = [f"group-{number}" for number in range(n_groups)]
    rng.shuffle(names)
    clock = Clock()
    turns = turns_of(names, clock)
    agents = [f"agent-{name}" for name in names]
    counts = dict.fromkeys(agents, 0)
    for _ in range(n_groups):
        chosen = turns.preferred(agents, DRAFTING)
        assert len(chosen) == n_groups // 2
        for name in chosen:
            counts[name] += 1
        clock.next_turn()
    assert set(counts.values()) == {n_groups // 2}


def test_entry_hosts_with_other_subsets_agree_on_the_turns():
    clock = Clock()
    turns = turns_of("abcd", clock)
    everyone = turns.preferred([f"agent-{name}" for name in "abcd"], DRAFTING)
    assert turns.preferred(["agent-a", "agent-b"], DRAFTING) == everyone & {
        "agent-a",
        "agent-b",
    }


def test_urgent_prompts_go_to_the_groups_that_have_no_turn():
    clock = Clock()
    turns = turns_of("abc", clock)
    agents = {"agent-a", "agent-b", "agent-c"}
    for _ in range(3):
        drafting = turns.preferred(agents, DRAFTING)
        assert turns.preferred(agents, PriorityClass.URGENT) == agents - drafting
        clock.next_turn()


def test_pool_without_groups_takes_no_turns():
    clock = Clock()
    turns = PrefillTurns(clock)
    assert turns.preferred(["agent-1"], DRAFTING) == set()
    turns.take_hosts([agent("agent-1", ""), agent("agent-2", "one")])
    assert turns.preferred(["agent-1", "agent-2"], DRAFTING) == set()
    turns.take_hosts([agent("a", "one"), agent("b", "one"), agent("c", "x", "other")])
    assert turns.preferred(["a", "b", "c"], DRAFTING) == set()


def test_agent_without_a_group_always_has_its_turn():
    clock = Clock()
    turns = PrefillTurns(clock)
    turns.take_hosts([agent("a", "one"), agent("b", "two"), agent("c", "")])
    for _ in range(4):
        assert "c" in turns.preferred(["a", "b", "c"], DRAFTING)
        clock.next_turn()


def test_homes_go_before_turns_and_busy_groups_lose_theirs():
    rng = random.Random(1)
    even = [Candidate(name, 1.0) for name in "abcd"]

    def drawn(candidates, homes):
        return {
            choose_candidate(candidates, homes, 0.0, rng, {"a", "b"}).name
            for _ in range(100)
        }

    assert drawn(even, ()) == {"a", "b"}
    assert drawn(even, ("c", "d")) <= {"c", "d"}
    assert drawn(even, ("b", "d")) == {"b"}
    busy = [Candidate("a", 20.0), Candidate("b", 20.0), *even[2:]]
    assert drawn(busy, ()) == {"c", "d"}


@pytest.mark.parametrize("n_entries", [13, 21])
def test_steps_and_work_are_more_even_than_power_of_twos(n_entries):
    steps = {"ours": 0.0, "power_of_two": 0.0}
    works = dict(steps)
    for seed in (5, 6, 7):
        setup = Setup(16, n_entries, 50.0, 0.02, 20_000.0, seed)
        requests = arrivals(16, n_entries, setup.duration_ms, setup.seed)
        for name in steps:
            result = run_policy(setup, POLICIES[name], requests)
            steps[name] += result["step_skew"]
            works[name] += result["work_skew_1s"]
    assert steps["ours"] < steps["power_of_two"]
    assert works["ours"] < works["power_of_two"]
