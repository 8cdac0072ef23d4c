"""Prefill windows of rank groups, and their effect on the evenness of steps."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.routing import Setup, run_policy
from benchmarks.routing_model import arrivals
from benchmarks.routing_policies import POLICIES
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.routing.choice import Candidate, choose_candidate
from poplarward.requests.routing.prefill_schedule import (
    PREFILL_WINDOW_MS,
    PrefillSchedule,
)

DRAFTING = PriorityClass.DRAFTING


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def next_window(self):
        self.now_s += PREFILL_WINDOW_MS / 1000


def group_of(groups):
    return {f"agent-{name}": name for name in groups}


@given(st.integers(2, 9))
def test_each_group_has_equally_many_windows(n_groups):
    names = [f"group-{number}" for number in range(n_groups)]
    clock = Clock()
    schedule = PrefillSchedule(clock)
    agents = group_of(names)
    counts = dict.fromkeys(agents, 0)
    for _ in range(n_groups):
        chosen = schedule.preferred_agents(agents, names, DRAFTING)
        assert len(chosen) == n_groups // 2
        for name in chosen:
            counts[name] += 1
        clock.next_window()
    assert set(counts.values()) == {n_groups // 2}


def test_entry_hosts_with_different_subsets_agree_on_the_windows():
    schedule = PrefillSchedule(Clock())
    everyone = schedule.preferred_agents(group_of("abcd"), "abcd", DRAFTING)
    some = schedule.preferred_agents(group_of("ab"), "abcd", DRAFTING)
    assert some == everyone & {"agent-a", "agent-b"}


def test_urgent_prompts_go_to_groups_outside_their_window():
    clock = Clock()
    schedule = PrefillSchedule(clock)
    agents = group_of("abc")
    for _ in range(3):
        drafting = schedule.preferred_agents(agents, "abc", DRAFTING)
        urgent = schedule.preferred_agents(agents, "abc", PriorityClass.URGENT)
        assert urgent == set(agents) - drafting
        clock.next_window()


def test_pool_of_one_group_has_no_windows():
    schedule = PrefillSchedule(Clock())
    assert schedule.preferred_agents(group_of("a"), (), DRAFTING) == set()
    assert schedule.preferred_agents(group_of("a"), "a", DRAFTING) == set()


def test_agent_of_an_unknown_group_is_always_preferred():
    clock = Clock()
    schedule = PrefillSchedule(clock)
    for _ in range(4):
        assert "agent-c" in schedule.preferred_agents(group_of("abc"), "ab", DRAFTING)
        clock.next_window()


def test_affinity_takes_precedence_and_busy_groups_lose_their_window():
    rng = random.Random(1)
    even = [Candidate(name, 1.0) for name in "abcd"]

    def drawn(candidates, affine):
        return {
            choose_candidate(candidates, affine, 0.0, rng, {"a", "b"}).name
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
