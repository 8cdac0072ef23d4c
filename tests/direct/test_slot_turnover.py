from __future__ import annotations

import pytest
import trio

from poplarward.direct.admission_queue import (
    AdmissionQueue,
    AdmissionRequest,
    Admitted,
    Refused,
    SlotEstimate,
)
from poplarward.direct.clock import now_ms
from poplarward.direct.model import UpstreamEntry
from poplarward.direct.slot_turnover import SlotTurnover
from tests.direct.relay_harness import RelayHarness

FAR = 1e12


def test_rate_follows_from_all_requests_and_is_shared_by_the_hosts_that_wait():
    turnover = SlotTurnover()
    turnover.record(1_700.0)
    assert turnover.freed_per_s(60, 1) == pytest.approx(35.3, abs=0.1)
    assert turnover.freed_per_s(60, 21) == pytest.approx(1.68, abs=0.01)
    assert turnover.freed_per_s(0, 1) == 0.0


def test_usual_time_counts_until_a_request_has_ended_here():
    turnover = SlotTurnover()
    assert turnover.freed_per_s(60, 2) is None
    assert turnover.freed_per_s(60, 2, usual_held_ms=2_000.0) == 15.0
    turnover.record(1_000.0)
    assert turnover.freed_per_s(60, 2, usual_held_ms=2_000.0) == 30.0


async def queue_of(freed_per_s, n_callers, max_wait_ms):
    """Return the results of callers that come at once while all slots are taken.

    One slot becomes free after each interval that the rate gives, of which other hosts'
    requests take none.
    """
    n_free = 0
    results = []

    def acquire(ticket):
        nonlocal n_free
        if not n_free:
            return None
        n_free -= 1
        return "u"

    queue = AdmissionQueue(
        acquire,
        lambda upstream_id: None,
        estimate=lambda: SlotEstimate(0.0, freed_per_s),
    )

    async def call():
        request = AdmissionRequest(1, FAR, max_wait_ms)
        results.append(await queue.admit(request))

    async with trio.open_nursery() as nursery:
        for _ in range(n_callers):
            nursery.start_soon(call)
            await trio.testing.wait_all_tasks_blocked()
        for _ in range(n_callers):
            await trio.sleep(1 / 35)
            n_free += 1
            queue.dispatch()
    return results


async def test_host_that_just_started_queues_callers_whom_other_hosts_slots_serve():
    """36 slots a second become free at all hosts, none of them yet at this one.

    By its own releases it would have refused all but the first.
    """
    results = await queue_of(35.0, n_callers=4, max_wait_ms=180.0)
    assert [type(result) for result in results] == [Admitted] * 4
    results = await queue_of(None, n_callers=4, max_wait_ms=180.0)
    assert [type(result) for result in results].count(Refused) == 3


async def test_callers_are_refused_at_once_where_a_limit_keeps_slots_free():
    """The upstream takes 8 requests a second, and has just had one."""
    harness = RelayHarness([])
    state = harness.routing_state
    state.upstreams.put(UpstreamEntry("u0", "app", "127.0.0.1:1", "a", 6, False, 1))
    limited = state.upstreams.get("u0").limited
    state.upstream_limits.record_response(limited, 8.0, now_ms(), now_ms())
    results = []

    async def call():
        request = AdmissionRequest(1, FAR, 5_000.0)
        results.append(await state.admit("app", request))

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        assert [type(result) for result in results] == [Refused] * 3
        nursery.cancel_scope.cancel()


async def test_callers_are_refused_where_many_hosts_wait_for_the_same_slots():
    results = await queue_of(35.0 / 21, n_callers=4, max_wait_ms=180.0)
    assert [type(result) for result in results].count(Refused) == 3
