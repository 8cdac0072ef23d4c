from __future__ import annotations

import random
from typing import NamedTuple

from benchmarks.worst_load import ENGINE
from poplarward.direct.admission_queue import AdmissionRequest, Admitted, Refused
from poplarward.direct.batch_limit import max_running, max_running_before_shift
from poplarward.direct.model import Service, UpstreamEntry
from poplarward.direct.pause_tracker import PauseTracker
from poplarward.direct.retry_budgets import RetryBudgets
from poplarward.direct.routing_state import RoutingState
from tests.direct.relay_harness import configuration

N_RANKS = 16
N_SLOTS = 6
N_PLACES = N_RANKS * N_SLOTS
OBJECTIVE_MS = 120.0
FIXED_MS = 29.0
PER_REQUEST_MS = 0.27  # Of a pass, when experts are evenly loaded.
RANK_REQUEST_MS = 5.3  # Of its rank; from passes of 147 ms, all taken, skew 4.2.
ARRIVALS_PER_S = 55.0
EVENTS = 26
SHIFT_AT_MS = 3_000.0
SHIFT_MS = 1_500.0  # Until the next map is in force.
SKEW = 4.0


def test_group_that_is_full_when_demand_shifts_is_not_late():
    """A backlog fills the group; the shift comes before any of it has ended."""
    most = max_running_before_shift(ENGINE, N_RANKS, N_PLACES, FIXED_MS, OBJECTIVE_MS)

    def pass_ms(n_running, skew):
        work_ms = n_running / N_RANKS * RANK_REQUEST_MS
        return FIXED_MS + work_ms * (1 + ENGINE.expert_share * (skew - 1))

    assert pass_ms(N_PLACES, SKEW) > OBJECTIVE_MS
    assert pass_ms(most, SKEW) <= OBJECTIVE_MS
    # What is left to run is enough for most of the answers of a full group.
    full, limited = N_PLACES / pass_ms(N_PLACES, 1.2), most / pass_ms(most, 1.2)
    assert limited > 0.85 * full


class Day(NamedTuple):
    """Streams of a replayed day."""

    n_on_time: int
    n_late: int
    n_sent_away: int


def replay(is_limited):
    """Play steady arrivals through a shift of demand that makes passes longer."""
    rng = random.Random(7)
    running = []  # Pairs: events left, longest pause.
    n_on_time = n_late = n_sent_away = 0
    at_ms, next_arrival_ms, pause_ms = 0.0, 0.0, None
    while at_ms < 10_000.0:
        while next_arrival_ms <= at_ms:
            next_arrival_ms += rng.expovariate(ARRIVALS_PER_S) * 1_000
            limit = N_PLACES
            if is_limited:
                limit = min(
                    limit,
                    max_running(
                        len(running), N_PLACES, pause_ms, FIXED_MS, OBJECTIVE_MS
                    ),
                )
            if len(running) < limit:
                running.append([EVENTS, 0.0])
            else:
                n_sent_away += 1
        is_shifted = SHIFT_AT_MS <= at_ms < SHIFT_AT_MS + SHIFT_MS
        skew = SKEW if is_shifted else 1.0
        pause_ms = FIXED_MS + PER_REQUEST_MS * skew * len(running)
        at_ms += pause_ms
        for stream in running:
            stream[0] -= 1
            stream[1] = max(stream[1], pause_ms)
        for n_left, longest_ms in running:
            if n_left == 0:
                n_on_time += longest_ms <= OBJECTIVE_MS
                n_late += longest_ms > OBJECTIVE_MS
        running = [stream for stream in running if stream[0]]
    return Day(n_on_time, n_late, n_sent_away)


def test_shift_of_demand_makes_no_stream_late():
    unlimited, limited = replay(is_limited=False), replay(is_limited=True)
    assert unlimited.n_late > 40
    assert limited.n_late == 0
    # Those that are sent away are fewer than those that would have been late.
    assert limited.n_sent_away < unlimited.n_late
    assert limited.n_on_time > unlimited.n_on_time


def test_nobody_is_sent_away_while_half_of_the_places_are_free():
    limit = max_running(1, N_PLACES, 900.0, FIXED_MS, OBJECTIVE_MS)
    assert limit >= N_PLACES / 2


def test_objective_that_can_not_be_met_limits_nothing():
    """A rank ten times slower makes even empty passes longer than the objective."""
    assert max_running(60, N_PLACES, 500.0, 10 * FIXED_MS, OBJECTIVE_MS) == float("inf")
    assert max_running(60, N_PLACES, None, FIXED_MS, OBJECTIVE_MS) == float("inf")
    most = max_running_before_shift(
        ENGINE, N_RANKS, N_PLACES, 5 * FIXED_MS, OBJECTIVE_MS
    )
    assert most == float("inf")


def test_pauses_that_differ_are_bounded_by_their_longest():
    """Prompts that are read in between lengthen every fourth pass."""
    pace = PauseTracker()
    for number in range(40):
        pace.record(118.0 if number % 4 == 0 else 90.0, at_ms=95.0 * number)
    assert pace.mean_ms(95.0 * 39) < 105.0
    assert pace.peak_ms(95.0 * 39) > 108.0


def test_packet_lost_on_one_stream_is_not_taken_for_a_long_pass():
    pace = PauseTracker()
    for number in range(40):
        pace.record(900.0 if number == 38 else 60.0, at_ms=30.0 * number)
    assert pace.peak_ms(30.0 * 39) < 2.5 * 60.0


def _beliefs(n_running):
    beliefs = RoutingState(
        1_000.0,
        lambda: 0.0,
        RetryBudgets(0.2, 10.0, 10.0, lambda: 1),
        random.Random(1),
    )
    declared = configuration()
    beliefs.apply_configuration(
        declared._replace(services={"llm": Service("llm", 100, ENGINE)})
    )
    for n in range(N_RANKS):
        beliefs.upstreams.put(
            UpstreamEntry(f"u{n}", "llm", f"127.0.0.1:{n + 1}", "a", N_SLOTS, False, 1)
        )
    beliefs.upstreams.update_peer_loads(
        {f"u{n}": n_running / N_RANKS for n in range(N_RANKS)}
    )
    return beliefs


async def _place(beliefs, pause_objective_ms, on_time_until_ms=1e12):
    return await beliefs.admit(
        "llm",
        AdmissionRequest(
            1, on_time_until_ms, 10.0, pause_objective_ms=pause_objective_ms
        ),
    )


async def test_streams_get_no_place_while_passes_are_too_long():
    beliefs = _beliefs(n_running=64)
    assert isinstance(await _place(beliefs, OBJECTIVE_MS), Admitted)
    beliefs.record_pause("llm", 119.0)
    assert isinstance(await _place(beliefs, OBJECTIVE_MS), Refused)
    # One that goes on after a failure, or a plain call, is not held back.
    assert isinstance(await _place(beliefs, 0.0), Admitted)


async def test_last_places_are_left_to_those_who_can_be_on_time():
    """After an outage callers return to all hosts, and are late already."""
    most = _beliefs(0).load_of("llm", OBJECTIVE_MS).most_running
    beliefs = _beliefs(n_running=0.96 * most)
    late = await _place(beliefs, OBJECTIVE_MS, on_time_until_ms=0.0)
    assert isinstance(late, Refused)
    assert isinstance(await _place(beliefs, OBJECTIVE_MS), Admitted)


def test_group_whose_shifts_are_mild_may_run_more():
    """More experts share the load: a shift makes passes little longer."""
    beliefs = _beliefs(0)
    unknown = beliefs.load_of("llm", OBJECTIVE_MS).most_running
    beliefs.update_post_shift_skews({"llm": 1.6})
    assert beliefs.load_of("llm", OBJECTIVE_MS).most_running > N_PLACES > unknown
    beliefs.update_post_shift_skews({"llm": 3.8})
    assert beliefs.load_of("llm", OBJECTIVE_MS).most_running < N_PLACES
