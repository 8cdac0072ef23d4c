"""Replays callers that come back together after an outage, in virtual time."""

from __future__ import annotations

import random

import pytest

from benchmarks.worst_load import ENGINE
from poplarward.direct.late_starts import (
    MAX_FIRST_DELAY_MS,
    MIN_STARTS_PER_PASS,
    LateStarts,
    late_starts_per_pass,
)

N_HOSTS = 21
N_RANKS = 12
N_RUNNING = 15
OBJECTIVE_MS = 120.0
SKEW = 4.0
POLL_MS = 25
HEARTBEAT_MS = 60
RETURNING_MAX_WAIT_MS = 1_700
ENGINE = ENGINE._replace(step_ms=5.85, prefill_tokens_per_s=61_200.0, steps_per_pass=5)


def pass_ms(n_started, n_running):
    """Return the time of a pass that also prefills the prompts of some requests."""
    skew_factor = 1 + ENGINE.expert_share * (SKEW - 1)
    prompt_ms = 1000 * ENGINE.mean_prompt_tokens / ENGINE.prefill_tokens_per_s
    request_ms = ENGINE.per_sequence_ms * ENGINE.steps_per_pass
    work_ms = n_started * prompt_ms + n_running * request_ms
    fixed_ms = ENGINE.step_ms * ENGINE.steps_per_pass
    return fixed_ms + work_ms * skew_factor / N_RANKS


class AtOnce:
    """The former policy: a late request starts as soon as a slot is free."""

    def may_start(self, at_ms):
        return True

    def record_start(self, at_ms, interval_ms):
        pass


def replay(arrivals, make_starts):
    """Return the longest pass and the last start, in ms.

    `arrivals` has the number of callers by host and time. Each host looks again each
    25 ms, and hears 60 ms later which others have requests waiting.
    """
    starts = [make_starts(random.Random(n)) for n in range(N_HOSTS)]
    waiting = [0] * N_HOSTS
    known = [[0] * N_HOSTS] * (HEARTBEAT_MS + 1)
    usual_ms = pass_ms(0, N_RUNNING)
    per_pass = late_starts_per_pass(ENGINE, N_RANKS, usual_ms, OBJECTIVE_MS, SKEW)
    longest_ms, last_ms = 0.0, 0
    n_started, n_running, pass_ends_ms = 0, N_RUNNING, usual_ms
    for at_ms in range(4_000):
        for host in range(N_HOSTS):
            waiting[host] += arrivals.get((host, at_ms), 0)
            if not waiting[host] or at_ms % POLL_MS != host % POLL_MS:
                continue
            if starts[host].may_start(at_ms):
                others = [n for n in range(N_HOSTS) if n != host and known[0][n]]
                interval_ms = (1 + len(others)) * usual_ms / per_pass
                starts[host].record_start(at_ms, interval_ms)
                waiting[host] -= 1
                n_started, last_ms = n_started + 1, at_ms
        known = [*known[1:], list(waiting)]
        if at_ms >= pass_ends_ms:
            took_ms = pass_ms(n_started, n_running)
            longest_ms = max(longest_ms, took_ms)
            n_running, n_started = n_running + n_started, 0
            pass_ends_ms = at_ms + took_ms
    assert not any(waiting)
    return longest_ms, last_ms


def callers_back(seed, n_callers=40, hosts=range(N_HOSTS)):
    """Return callers that all come back within 100 ms, at random hosts."""
    rng, arrivals = random.Random(seed), {}
    for _ in range(n_callers):
        key = rng.choice(hosts), 1_000 + rng.randrange(100)
        arrivals[key] = arrivals.get(key, 0) + 1
    return arrivals


@pytest.mark.parametrize("seed", range(12))
def test_callers_who_come_back_together_make_no_pass_too_long(seed):
    arrivals = callers_back(seed)
    longest_ms, _ = replay(arrivals, lambda rng: AtOnce())
    assert longest_ms > OBJECTIVE_MS
    longest_ms, last_ms = replay(arrivals, LateStarts)
    assert longest_ms <= OBJECTIVE_MS
    assert last_ms < 1_100 + RETURNING_MAX_WAIT_MS


@pytest.mark.parametrize("seed", range(4))
def test_callers_who_all_come_back_to_one_host_are_started_in_time(seed):
    arrivals = callers_back(seed, n_callers=25, hosts=[3])
    longest_ms, last_ms = replay(arrivals, LateStarts)
    assert longest_ms <= OBJECTIVE_MS
    assert last_ms < 1_100 + RETURNING_MAX_WAIT_MS


def test_single_late_caller_starts_soon():
    _, last_ms = replay({(3, 1_000): 1}, LateStarts)
    assert last_ms <= 1_000 + MAX_FIRST_DELAY_MS + POLL_MS


def test_starts_are_few_where_passes_are_long_and_never_none():
    def per_pass(pause_ms, skew):
        return late_starts_per_pass(ENGINE, N_RANKS, pause_ms, OBJECTIVE_MS, skew)

    assert per_pass(50.0, 1.3) > per_pass(50.0, 4.0) > per_pass(90.0, 4.0)
    assert per_pass(500.0, 4.0) == MIN_STARTS_PER_PASS
