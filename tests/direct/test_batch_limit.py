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
N_ALL_SLOTS = N_RANKS * N_SLOTS
OBJECTIVE_MS = 120.0
FIXED_MS = 29.0
PER_REQUEST_MS = 0.27  # Of a pass, with evenly loaded experts.
RANK_REQUEST_MS = 5.3  # On its rank; from passes of 147 ms, all slots used, skew 4.2.
ARRIVALS_PER_S = 55.0
EVENTS = 26
SHIFT_AT_MS = 3_000.0
SHIFT_MS = 1_500.0  # Until the next map is applied.
SKEW = 4.0


def test_group_that_is_full_when_demand_shifts_is_not_late():
    """A backlog fills the group, and demand shifts before any request has ended."""
    most = max_running_before_shift(
        ENGINE, N_RANKS, N_ALL_SLOTS, FIXED_MS, OBJECTIVE_MS
    )

    def pass_ms(n_running, skew):
        work_ms = n_running / N_RANKS * RANK_REQUEST_MS
        return FIXED_MS + work_ms * (1 + ENGINE.expert_share * (skew - 1))

    assert pass_ms(N_ALL_SLOTS, SKEW) > OBJECTIVE_MS
    assert pass_ms(most, SKEW) <= OBJECTIVE_MS
    # The limited group still has most of the throughput of a full one.
    full, limited = N_ALL_SLOTS / pass_ms(N_ALL_SLOTS, 1.2), most / pass_ms(most, 1.2)
    assert limited > 0.85 * full


class ReplayResult(NamedTuple):
    """Numbers of streams of a replay."""

    n_on_time: int
    n_late: int
    n_refused: int


def replay(is_limited):
    """Simulate steady arrivals during a shift of demand that lengthens the passes."""
    rng = random.Random(7)
    running = []  # Pairs: events left, longest pause.
    n_on_time = n_late = n_refused = 0
    at_ms, next_arrival_ms, pause_ms = 0.0, 0.0, None
    while at_ms < 10_000.0:
        while next_arrival_ms <= at_ms:
            next_arrival_ms += rng.expovariate(ARRIVALS_PER_S) * 1_000
            limit = N_ALL_SLOTS
            if is_limited:
                limit = min(
                    limit,
                    max_running(
                        len(running), N_ALL_SLOTS, pause_ms, FIXED_MS, OBJECTIVE_MS
                    ),
                )
            if len(running) < limit:
                running.append([EVENTS, 0.0])
            else:
                n_refused += 1
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
    return ReplayResult(n_on_time, n_late, n_refused)


def test_shift_of_demand_makes_no_stream_late():
    unlimited, limited = replay(is_limited=False), replay(is_limited=True)
    assert unlimited.n_late > 40
    assert limited.n_late == 0
    # Fewer are refused than would have been late.
    assert limited.n_refused < unlimited.n_late
    assert limited.n_on_time > unlimited.n_on_time


def test_nothing_is_refused_while_half_of_the_slots_are_free():
    limit = max_running(1, N_ALL_SLOTS, 900.0, FIXED_MS, OBJECTIVE_MS)
    assert limit >= N_ALL_SLOTS / 2


def test_objective_that_can_not_be_met_sets_no_limit():
    """With a rank ten times slower, even empty passes exceed the objective."""
    assert max_running(60, N_ALL_SLOTS, 500.0, 10 * FIXED_MS, OBJECTIVE_MS) == float(
        "inf"
    )
    assert max_running(60, N_ALL_SLOTS, None, FIXED_MS, OBJECTIVE_MS) == float("inf")
    most = max_running_before_shift(
        ENGINE, N_RANKS, N_ALL_SLOTS, 5 * FIXED_MS, OBJECTIVE_MS
    )
    assert most == float("inf")


def test_uneven_pauses_are_bounded_by_the_longest():
    """Prefill work lengthens every fourth pass."""
    tracker = PauseTracker()
    for number in range(40):
        tracker.record(118.0 if number % 4 == 0 else 90.0, at_ms=95.0 * number)
    assert tracker.mean_ms(95.0 * 39) < 105.0
    assert tracker.peak_ms(95.0 * 39) > 108.0


def test_packet_lost_on_one_stream_is_not_taken_for_a_long_pass():
    tracker = PauseTracker()
    for number in range(40):
        tracker.record(900.0 if number == 38 else 60.0, at_ms=30.0 * number)
    assert tracker.peak_ms(30.0 * 39) < 2.5 * 60.0


def _routing_state(n_running):
    routing_state = RoutingState(
        1_000.0,
        lambda: 0.0,
        RetryBudgets(0.2, 10.0, 10.0, lambda: 1),
        random.Random(1),
    )
    declared = configuration()
    routing_state.apply_configuration(
        declared._replace(services={"llm": Service("llm", 100, ENGINE)})
    )
    for n in range(N_RANKS):
        routing_state.upstreams.put(
            UpstreamEntry(f"u{n}", "llm", f"127.0.0.1:{n + 1}", "a", N_SLOTS, False, 1)
        )
    routing_state.upstreams.update_peer_loads(
        {f"u{n}": n_running / N_RANKS for n in range(N_RANKS)}
    )
    return routing_state


async def _admit(routing_state, pause_objective_ms, latest_start_ms=1e12):
    return await routing_state.admit(
        "llm",
        AdmissionRequest(
            1, latest_start_ms, 10.0, pause_objective_ms=pause_objective_ms
        ),
    )


async def test_streams_get_no_slot_while_passes_are_too_long():
    routing_state = _routing_state(n_running=64)
    assert isinstance(await _admit(routing_state, OBJECTIVE_MS), Admitted)
    routing_state.record_pause("llm", 119.0)
    assert isinstance(await _admit(routing_state, OBJECTIVE_MS), Refused)
    # A resumed stream or a plain request is not limited.
    assert isinstance(await _admit(routing_state, 0.0), Admitted)


async def test_last_slots_are_reserved_for_requests_that_can_be_on_time():
    """After an outage, returning callers are late already, at all hosts."""
    most = _routing_state(0).load_of("llm", OBJECTIVE_MS).most_running
    routing_state = _routing_state(n_running=0.96 * most)
    late = await _admit(routing_state, OBJECTIVE_MS, latest_start_ms=0.0)
    assert isinstance(late, Refused)
    assert isinstance(await _admit(routing_state, OBJECTIVE_MS), Admitted)


def test_group_with_low_post_shift_skew_may_run_more():
    """With a low post-shift skew, a shift lengthens passes only a little."""
    routing_state = _routing_state(0)
    unknown = routing_state.load_of("llm", OBJECTIVE_MS).most_running
    routing_state.update_post_shift_skews({"llm": 1.6})
    assert (
        routing_state.load_of("llm", OBJECTIVE_MS).most_running > N_ALL_SLOTS > unknown
    )
    routing_state.update_post_shift_skews({"llm": 3.8})
    assert routing_state.load_of("llm", OBJECTIVE_MS).most_running < N_ALL_SLOTS
